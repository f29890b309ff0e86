//! Follows the target list by a long-lived watch request to discovery.

use super::answer_memory::AnswerMemory;
use super::connection::Connection;
use super::connector::{connect, ConnectError};
use super::counters::increment;
use super::duration_from_ms;
use super::gateway::Gateway;
use super::memory::MessageKind;
use super::network::Network;
use crate::connection::ExchangeResult;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery::{self, ListUpdate, WatchDecoder, WatchFrame};
use roseproxy_platform::request::OutgoingRequest;
use roseproxy_routing::discovery::{CallEnd, DiscoveryEvent};
use roseproxy_routing::event_log::{Activity, EventKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Time allowed for connecting to discovery.
const CONNECT_TIMEOUT_MS: f64 = 1_000.0;
/// Time allowed for discovery to begin an answer: it queues calls and serves them in turn. Where lists
/// are requested, it doubles with each call in a row that got no answer, as discovery may be slow.
const ANSWER_TIMEOUT_MS: f64 = 3_000.0;
/// How often the time allowed for an answer doubles at most.
const MAX_ANSWER_TIMEOUT_DOUBLINGS: u32 = 2;
/// A watch sends a heartbeat every 2 s. A watch that sends no message, or an object that does not
/// end, for this long is considered dead.
const WATCH_SILENCE_TIMEOUT_MS: f64 = 3_000.0;
/// A watch that was open for at least this long may be reopened without a pause if it sent
/// something that could not be decoded.
const MIN_HEALTHY_WATCH_MS: f64 = 4_500.0;
/// Longest time for which a replica of discovery may be behind another one; its lists are several
/// seconds late at most.
const MAX_LIST_LAG_MS: f64 = 60_000.0;
/// Largest list that is read, as a guard against one without end: three times the list of the
/// largest fleets, indented.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Keeps the target list up to date.
pub struct Watcher<N> {
    gateway: Rc<Gateway<N>>,
    /// The address of discovery; a configuration reload may change it.
    address: watch::Receiver<SocketAddr>,
    /// The revision of the current list. With `None` the complete list is requested first, which is
    /// expensive: discovery spends work on every line, and when all sidecars start at once it
    /// answers only a few calls per second.
    revision: Option<u64>,
    /// The revision of the list applied last, whatever its source.
    last_revision: u64,
    /// The highest revision that counts, and since when lists have been behind it (ms).
    highest_revision: u64,
    behind_since: Option<f64>,
    /// The revision for which the complete list was requested because an entry could not be
    /// decoded.
    refetched_for: Option<u64>,
    /// Calls in a row that got no answer in time.
    unanswered_calls: u32,
    /// When the process started (ms): notice of changes made before may count as received by this
    /// sidecar from then on.
    process_start: f64,
}

impl<N: Network> Watcher<N> {
    /// Creates a watcher of discovery at this address, for a sidecar that already has the list of
    /// the given revision.
    pub fn new(
        gateway: Rc<Gateway<N>>,
        address: watch::Receiver<SocketAddr>,
        known_revision: Option<u64>,
    ) -> Watcher<N> {
        let last_revision = known_revision.unwrap_or(0);
        gateway.set_revision(last_revision);
        let process_start = gateway.now();
        Watcher {
            gateway,
            address,
            revision: known_revision,
            last_revision,
            highest_revision: last_revision,
            behind_since: None,
            refetched_for: None,
            unanswered_calls: 0,
            process_start,
        }
    }

    /// Sets the start time of the process (ms), for a process that began earlier.
    pub fn with_process_start(self, process_start: f64) -> Watcher<N> {
        Watcher { process_start, ..self }
    }

    /// Opens a watch whenever routing requests one, and reports failures to routing. Routing's timers,
    /// which the decision module sets with jitter and growing delays, decide when to try again. A
    /// changed address is not a failure and is called at once. Runs as long as the program.
    pub async fn run(mut self) {
        let (revision, endpoints) = (self.last_revision, self.gateway.endpoints());
        self.gateway.discovery_event(DiscoveryEvent::KeptList { revision, endpoints });
        self.gateway.follow_discovery(self.process_start);
        loop {
            let mut address_changes = self.address.clone();
            tokio::select! {
                biased;
                () = self.gateway.watch_requested() => {}
                () = address_changed(&mut address_changes) => {
                    self.gateway.discovery_moved(false);
                    self.revision = None;
                }
            }
            let end = self.watch_until_failure().await;
            // A watch request made before this failure was served by the watch that has just ended.
            // Left pending it would start the next watch at once, bypassing the pauses that keep
            // all sidecars from calling together.
            self.gateway.clear_watch_request();
            self.gateway.discovery_failed(end);
        }
    }

    /// Watches until a call fails. Reopens the watch after it fell silent or after discovery moved.
    async fn watch_until_failure(&mut self) -> CallEnd {
        loop {
            let address = *self.address.borrow_and_update();
            let mut address_changes = self.address.clone();
            let started_at = self.gateway.now();
            tokio::select! {
                biased;
                // A watch only ends by failing. One that was open and fell silent is broken, and
                // notice of the changes that it misses counts as received 6 s later, so the watch is
                // reopened at once.
                // Heartbeats are not aligned across sidecars, which spreads these calls. A reopened
                // watch that gets no answer is an ordinary failure with the usual pauses.
                end = self.run_watch(address, started_at) => {
                    let elapsed = self.gateway.now() - started_at;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(end, elapsed));
                    self.count_unanswered(end);
                    // Discovery resends what could not be decoded, starting from the current
                    // revision; once is cheap for it.
                    let isolated_decode_error = end == CallEnd::Unreadable && elapsed >= MIN_HEALTHY_WATCH_MS && self.revision.is_some();
                    if end != CallEnd::WatchSilent && !isolated_decode_error {
                        return end;
                    }
                    self.gateway.clear_watch_request();
                    self.gateway.watch_reopened(end);
                }
                // Another discovery instance may number its revisions differently, so the complete
                // list is requested.
                () = address_changed(&mut address_changes) => {
                    let elapsed = self.gateway.now() - started_at;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(CallEnd::Moved, elapsed));
                    self.gateway.discovery_moved(true);
                    self.revision = None;
                }
            }
        }
    }

    /// Opens a watch and applies its messages until it fails; `started_at` is when the call began
    /// (ms).
    async fn run_watch(&mut self, address: SocketAddr, started_at: f64) -> CallEnd {
        match self.open_watch(address, started_at).await {
            Ok((_connection, body)) => self.read_watch(body).await,
            Err(end) => end,
        }
    }

    fn count_unanswered(&mut self, end: CallEnd) {
        self.unanswered_calls = match end {
            CallEnd::NoAnswer => self.unanswered_calls.saturating_add(1),
            _ => 0,
        };
    }

    fn answer_timeout(&self) -> Duration {
        let doublings = match self.gateway.requests_lists() {
            true => self.unanswered_calls.min(MAX_ANSWER_TIMEOUT_DOUBLINGS),
            false => 0,
        };
        duration_from_ms(ANSWER_TIMEOUT_MS * f64::from(1 << doublings))
    }

    /// Calls discovery and returns the streamed answer together with its connection.
    async fn open_watch(
        &mut self,
        address: SocketAddr,
        started_at: f64,
    ) -> Result<(Connection, Incoming), CallEnd> {
        let host = address.to_string();
        self.gateway.call_started(self.revision);
        let connection = connect(self.gateway.network(), address, CONNECT_TIMEOUT_MS).await;
        let mut connection = connection.map_err(|error| match error {
            ConnectError::Local => CallEnd::NotMade,
            ConnectError::Remote => CallEnd::Unreachable,
        })?;
        let known_revision = match self.revision {
            Some(revision) => revision,
            None => self.fetch_list(&mut connection, &host).await?,
        };
        let answer = connection.send(OutgoingRequest::get(&discovery::watch_path(known_revision), &host));
        let answer = tokio::time::timeout(self.answer_timeout(), answer).await;
        let answer = answer.map_err(|_| CallEnd::NoAnswer)?.map_err(|_| CallEnd::Broken)?;
        if answer.status() != StatusCode::OK {
            if rejects_revision(answer.status()) {
                // Start over with the complete list.
                self.revision = None;
            }
            return Err(CallEnd::TurnedAway);
        }
        self.gateway.discovery_event(DiscoveryEvent::WatchOpened(self.gateway.now() - started_at));
        Ok((connection, answer.into_body()))
    }

    /// Requests the complete list and returns its revision.
    async fn fetch_list(&mut self, connection: &mut Connection, host: &str) -> Result<u64, CallEnd> {
        let request = OutgoingRequest::get(discovery::LIST_PATH, host);
        let memory = AnswerMemory::of_list(MAX_LIST_BYTES, &self.gateway.memory);
        let fetch = connection.exchange(request, &memory);
        let answer = tokio::time::timeout(self.answer_timeout(), fetch).await;
        match answer.map_err(|_| CallEnd::NoAnswer)? {
            ExchangeResult::Answered(StatusCode::OK, _, body) => self.apply(&body, ListOrigin::Answer)?,
            ExchangeResult::Answered(..) => return Err(CallEnd::TurnedAway),
            ExchangeResult::Broken { .. } => return Err(CallEnd::Broken),
        }
        self.revision.ok_or(CallEnd::Unreadable)
    }

    /// Applies the messages of an open watch until it ends.
    async fn read_watch(&mut self, mut body: Incoming) -> CallEnd {
        let mut decoder = WatchDecoder::default();
        let mut held = self.gateway.memory.hold(MessageKind::List);
        // A partial line, or an object whose end does not arrive, does not count as a message.
        let mut last_message_at = self.gateway.now();
        loop {
            let time_left = last_message_at + WATCH_SILENCE_TIMEOUT_MS - self.gateway.now();
            let Ok(frame) = tokio::time::timeout(duration_from_ms(time_left), body.frame()).await else {
                return CallEnd::WatchSilent;
            };
            let Some(Ok(frame)) = frame else { return CallEnd::WatchEnded };
            let Ok(data) = frame.into_data() else { continue };
            // The revision to resume from, if something after it could not be decoded.
            let mut resume_from: Option<Option<u64>> = None;
            decoder.push(&data, |frame| {
                match frame {
                    WatchFrame::Partial => return,
                    WatchFrame::Heartbeat => self.gateway.list_confirmed(),
                    WatchFrame::Object(text) => {
                        if self.apply(&text, ListOrigin::Watch).is_err() {
                            let before = resume_from.unwrap_or(self.revision);
                            resume_from = Some(self.revision.and(before));
                        }
                    }
                }
                last_message_at = self.gateway.now();
            });
            held.set(decoder.buffered_bytes());
            held.count_part();
            // Objects received after the undecodable one stay applied, but resuming from their
            // revision would hide the gap.
            if let Some(revision) = resume_from {
                self.revision = revision;
                return CallEnd::Unreadable;
            }
            if decoder.buffered_bytes() > MAX_LIST_BYTES {
                increment(&self.gateway.counters.lists_unread);
                return CallEnd::Unreadable;
            }
        }
    }

    /// Applies a list. Whatever cannot be decoded is counted and must be requested again: the
    /// current list stays in use but is known to be incomplete.
    fn apply(&mut self, text: &[u8], origin: ListOrigin) -> Result<(), CallEnd> {
        let counters = &self.gateway.counters;
        let started_at = self.gateway.now();
        let listing = discovery::read(text);
        self.gateway.note_held_up(Activity::ReadingList, started_at);
        match listing {
            Ok(ListUpdate { revision, update, targets, unreadable_entries: unread }) => {
                counters.lists_unread.set(counters.lists_unread.get() + unread as u64);
                let behind = self.is_behind(revision);
                (self.revision, self.last_revision) = (Some(revision), revision);
                let (complete, entries) = (update == Update::Complete, targets.len());
                let taken = DiscoveryEvent::ListTaken {
                    revision,
                    complete,
                    entries,
                    unreadable_entries: unread,
                    behind,
                };
                self.gateway.discovery_event(taken);
                self.gateway.set_revision(revision);
                // Must come before applying the list, which sends the requests that wait for one.
                match origin {
                    ListOrigin::Watch => self.gateway.list_confirmed(),
                    ListOrigin::Answer => self.gateway.list_fetched(),
                }
                self.gateway.apply_discovery_list(update, targets, behind);
                self.check_unreadable_entries(unread)
            }
            Err(reason) => {
                increment(&counters.lists_unread);
                self.gateway.record(EventKind::BadList(reason.into()));
                Err(CallEnd::Unreadable)
            }
        }
    }

    /// Whether a list may predate word that a target leaves: it has an older revision than another one
    /// before it, as from a replica of discovery that still catches up. Where that goes on for long,
    /// discovery has restarted its numbering.
    fn is_behind(&mut self, revision: u64) -> bool {
        let now = self.gateway.now();
        if revision < self.highest_revision {
            let since = *self.behind_since.get_or_insert(now);
            if now - since < MAX_LIST_LAG_MS {
                return true;
            }
        }
        (self.highest_revision, self.behind_since) = (revision, None);
        false
    }

    /// Requests the complete list if entries could not be decoded, but only once per revision, as
    /// they may be undecodable in the complete list too.
    fn check_unreadable_entries(&mut self, unreadable_entries: usize) -> Result<(), CallEnd> {
        if unreadable_entries == 0 || self.refetched_for == Some(self.last_revision) {
            return Ok(());
        }
        (self.refetched_for, self.revision) = (Some(self.last_revision), None);
        Err(CallEnd::Unreadable)
    }
}

/// How a list arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListOrigin {
    /// On an open watch.
    Watch,
    /// In answer to a call for the whole list.
    Answer,
}

/// Whether an answer with this status means that discovery does not know the revision that the call
/// named. Calls that come too often or too late tell nothing of the revision.
fn rejects_revision(status: StatusCode) -> bool {
    let retryable = [StatusCode::TOO_MANY_REQUESTS, StatusCode::REQUEST_TIMEOUT];
    status.is_client_error() && !retryable.contains(&status)
}

/// Waits until the address changes, or forever if the sender is gone.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}
