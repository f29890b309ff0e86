//! The watch on discovery.

use super::connection::Connection;
use super::connector::{connect, ConnectError};
use super::counters::increment;
use super::duration_from_ms;
use super::gateway::Gateway;
use super::network::Network;
use crate::connection::ExchangeResult;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery::{self, Listing, WatchDecoder, WatchFrame};
use roseproxy_platform::request::Outgoing;
use roseproxy_routing::discovery::{CallEnd, DiscoveryEvent};
use roseproxy_routing::event_log::{Activity, EventKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Time for a connection to come up, and for an answer to begin: calls wait in turn there (ms).
const CONNECT_TIMEOUT_MS: f64 = 1_000.0;
const ANSWER_TIMEOUT_MS: f64 = 3_000.0;
/// A watch beats every 2 s; without a line, or with an object that does not end, for this long it is dead (ms).
const WATCH_SILENCE_TIMEOUT_MS: f64 = 3_000.0;
/// A watch that was open for so long may be opened anew without a pause where it told what cannot be read (ms).
const MIN_HEALTHY_WATCH_MS: f64 = 4_500.0;
/// Longest list that is read (bytes): three times that of the largest fleets, indented; against one without end.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Keeps up with the target group.
pub struct Watcher<N> {
    gateway: Rc<Gateway<N>>,
    /// Where discovery is; a reload may move it.
    address: watch::Receiver<SocketAddr>,
    /// The version in hand. `None` has the whole list asked for first, which is dear: every line is work
    /// for discovery, and when all sidecars start at once it answers few calls a second.
    revision: Option<u64>,
    /// The version of the list taken last, whoever it came from.
    last_revision: u64,
    /// The version for which the whole list was asked for, as an entry could not be read.
    refetched_for: Option<u64>,
    /// When the process began (ms): what changed before may count as told from then on.
    process_start: f64,
}

impl<N: Network> Watcher<N> {
    /// A watcher of discovery at this address, for a sidecar that has the list of this version in hand.
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
            refetched_for: None,
            process_start,
        }
    }

    /// The same for a process that began earlier, at this time (ms).
    pub fn with_process_start(self, process_start: f64) -> Watcher<N> {
        Watcher { process_start, ..self }
    }

    /// Watches whenever routing wants it, and tells it of failures; routing's timers, which the
    /// module sets with jitter and ever longer, say when to try again. A new address is no failure
    /// and is asked at once. Runs as long as the program.
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
            // A wish from before this failure was met by the watch that has just ended: what it left behind would
            // start the next one at once, beside the pauses that keep all sidecars from calling together.
            self.gateway.clear_watch_request();
            self.gateway.discovery_failed(end);
        }
    }

    /// Watches, and opens the watch anew where it fell silent or discovery was moved, until a call fails.
    async fn watch_until_failure(&mut self) -> CallEnd {
        loop {
            let address = *self.address.borrow_and_update();
            let mut address_changes = self.address.clone();
            let began = self.gateway.now();
            tokio::select! {
                biased;
                // It only ever ends by failing. One that was open and fell silent is broken, and what it misses
                // counts as told 6 s after that: it is opened anew at once. The beats of sidecars differ, which
                // spreads their calls; one that finds no answer is a failure like others, with their pauses.
                end = self.run_watch(address, began) => {
                    let after = self.gateway.now() - began;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(end, after));
                    // What could not be read is told again from the revision in hand; once is cheap for discovery.
                    let isolated_decode_error = end == CallEnd::Unreadable && after >= MIN_HEALTHY_WATCH_MS && self.revision.is_some();
                    if end != CallEnd::WatchSilent && !isolated_decode_error {
                        return end;
                    }
                    self.gateway.clear_watch_request();
                    self.gateway.watch_reopened(end);
                }
                // Another discovery may count its versions otherwise: the whole list is asked for.
                () = address_changed(&mut address_changes) => {
                    let after = self.gateway.now() - began;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(CallEnd::Moved, after));
                    self.gateway.discovery_moved(true);
                    self.revision = None;
                }
            }
        }
    }

    /// Follows the list until that fails; the call began at this time.
    async fn run_watch(&mut self, address: SocketAddr, began: f64) -> CallEnd {
        match self.open_watch(address, began).await {
            Ok((_connection, body)) => self.read_watch(body).await,
            Err(end) => end,
        }
    }

    /// Calls discovery, and returns the answer that tells of changes with its connection.
    async fn open_watch(
        &mut self,
        address: SocketAddr,
        began: f64,
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
        let answer = connection.send(Outgoing::get(&discovery::watch_path(known_revision), &host));
        let answer = tokio::time::timeout(duration_from_ms(ANSWER_TIMEOUT_MS), answer).await;
        let answer = answer.map_err(|_| CallEnd::NoAnswer)?.map_err(|_| CallEnd::Broken)?;
        if answer.status() != StatusCode::OK {
            if answer.status().is_client_error() {
                // It knows nothing of that version: begin anew from the whole list.
                self.revision = None;
            }
            return Err(CallEnd::TurnedAway);
        }
        self.gateway.discovery_event(DiscoveryEvent::WatchOpened(self.gateway.now() - began));
        Ok((connection, answer.into_body()))
    }

    /// Asks for the whole list, and returns its revision.
    async fn fetch_list(&mut self, connection: &mut Connection, host: &str) -> Result<u64, CallEnd> {
        let fetch = connection.exchange_with_limit(Outgoing::get(discovery::LIST, host), MAX_LIST_BYTES);
        let answer = tokio::time::timeout(duration_from_ms(ANSWER_TIMEOUT_MS), fetch).await;
        match answer.map_err(|_| CallEnd::NoAnswer)? {
            ExchangeResult::Answered(StatusCode::OK, _, body) => self.apply(&body)?,
            ExchangeResult::Answered(..) => return Err(CallEnd::TurnedAway),
            ExchangeResult::Broken { .. } => return Err(CallEnd::Broken),
        }
        self.revision.ok_or(CallEnd::Unreadable)
    }

    /// Takes over what an open watch tells, until it ends.
    async fn read_watch(&mut self, mut body: Incoming) -> CallEnd {
        let mut decoder = WatchDecoder::default();
        // Half a line, or an object whose end does not come, is no sign of life.
        let mut last_message_at = self.gateway.now();
        loop {
            let left = last_message_at + WATCH_SILENCE_TIMEOUT_MS - self.gateway.now();
            let Ok(frame) = tokio::time::timeout(duration_from_ms(left), body.frame()).await else {
                return CallEnd::WatchSilent;
            };
            let Some(Ok(frame)) = frame else { return CallEnd::WatchEnded };
            let Ok(data) = frame.into_data() else { continue };
            // The version to go on from, where something is missing behind it.
            let mut resume_from: Option<Option<u64>> = None;
            decoder.take(&data, |frame| {
                match frame {
                    WatchFrame::Partial => return,
                    WatchFrame::Heartbeat => self.gateway.list_confirmed(),
                    WatchFrame::Object(text) => {
                        if self.apply(&text).is_err() {
                            let before = resume_from.unwrap_or(self.revision);
                            resume_from = Some(self.revision.and(before));
                        }
                    }
                }
                last_message_at = self.gateway.now();
            });
            // What came behind it holds, but its version would hide that something is missing.
            if let Some(revision) = resume_from {
                self.revision = revision;
                return CallEnd::Unreadable;
            }
            if decoder.held() > MAX_LIST_BYTES {
                increment(&self.gateway.counters.lists_unread);
                return CallEnd::Unreadable;
            }
        }
    }

    /// Takes over a list. What cannot be read is counted, and has to be asked for again: the list in hand stays, but it is
    /// known to lack something.
    fn apply(&mut self, text: &[u8]) -> Result<(), CallEnd> {
        let counters = &self.gateway.counters;
        let began = self.gateway.now();
        let listing = discovery::read(text);
        self.gateway.note_held_up(Activity::ReadingList, began);
        match listing {
            Ok(Listing { revision, update, targets, unread }) => {
                counters.lists_unread.set(counters.lists_unread.get() + unread as u64);
                // One that is behind the list in hand may be older than the word of a drain. It may also come from a
                // discovery that counts anew, so that it is taken for all the rest.
                let behind = revision < self.last_revision;
                (self.revision, self.last_revision) = (Some(revision), revision);
                let (complete, entries) = (update == Update::Complete, targets.len());
                let taken = DiscoveryEvent::ListTaken { revision, complete, entries, unread, behind };
                self.gateway.discovery_event(taken);
                self.gateway.set_revision(revision);
                // Before what waits for a list is sent by it.
                self.gateway.list_confirmed();
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

    /// Where entries could not be read, the whole list is asked for: once for each version, as they may not be readable in
    /// that either.
    fn check_unreadable_entries(&mut self, unread: usize) -> Result<(), CallEnd> {
        if unread == 0 || self.refetched_for == Some(self.last_revision) {
            return Ok(());
        }
        (self.refetched_for, self.revision) = (Some(self.last_revision), None);
        Err(CallEnd::Unreadable)
    }
}

/// Waits for another address; for ever where none can come any more.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}
