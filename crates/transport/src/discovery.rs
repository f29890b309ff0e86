//! The watch on discovery.

use super::connecting::{connect, ConnectError};
use super::connection::Connection;
use super::gateway::Gateway;
use super::length;
use super::network::Network;
use super::traffic::count;
use crate::connection::Exchange;
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
use tokio::sync::watch;

/// Time for a connection to come up, and for an answer to begin: calls wait in turn there (ms).
const CONNECT: f64 = 1_000.0;
const ANSWER: f64 = 3_000.0;
/// A watch beats every 2 s; without a line, or with an object that does not end, for this long it is dead (ms).
const SILENCE: f64 = 3_000.0;
/// A watch that was open for so long may be opened anew without a pause where it told what cannot be read (ms).
const WELL_FOR: f64 = 4_500.0;
/// Longest list that is read (bytes): three times that of the largest fleets, indented; against one without end.
const LONGEST_LIST: usize = 4 << 20;

/// Keeps up with the target group.
pub struct Watcher<N> {
    gateway: Rc<Gateway<N>>,
    /// Where discovery is; a reload may move it.
    address: watch::Receiver<SocketAddr>,
    /// The version in hand. `None` has the whole list asked for first, which is dear: every line is work
    /// for discovery, and when all sidecars start at once it answers few calls a second.
    revision: Option<u64>,
    /// The version of the list taken last, whoever it came from.
    last: u64,
    /// The version for which the whole list was asked for, as an entry could not be read.
    asked_again: Option<u64>,
    /// When the process began (ms): what changed before may count as told from then on.
    began: f64,
}

impl<N: Network> Watcher<N> {
    /// A watcher of discovery at this address, for a sidecar that has the list of this version in hand.
    pub fn new(
        gateway: Rc<Gateway<N>>,
        address: watch::Receiver<SocketAddr>,
        known: Option<u64>,
    ) -> Watcher<N> {
        let last = known.unwrap_or(0);
        gateway.set_revision(last);
        let began = gateway.now();
        Watcher { gateway, address, revision: known, last, asked_again: None, began }
    }

    /// The same for a process that began earlier, at this time (ms).
    pub fn of_process_since(self, began: f64) -> Watcher<N> {
        Watcher { began, ..self }
    }

    /// Watches whenever routing wants it, and tells it of failures; routing's timers, which the
    /// module sets with jitter and ever longer, say when to try again. A new address is no failure
    /// and is asked at once. Runs as long as the program.
    pub async fn run(mut self) {
        let (revision, endpoints) = (self.last, self.gateway.endpoints());
        self.gateway.discovery_event(DiscoveryEvent::KeptList { revision, endpoints });
        self.gateway.follow_discovery(self.began);
        loop {
            let mut moves = self.address.clone();
            tokio::select! {
                biased;
                () = self.gateway.watch_wanted() => {}
                () = moved(&mut moves) => {
                    self.gateway.discovery_moved(false);
                    self.revision = None;
                }
            }
            let end = self.watch_until_failure().await;
            // A wish from before this failure was met by the watch that has just ended: what it left behind would
            // start the next one at once, beside the pauses that keep all sidecars from calling together.
            self.gateway.forget_watch_wish();
            self.gateway.targets_failed(end);
        }
    }

    /// Watches, and opens the watch anew where it fell silent or discovery was moved, until a call fails.
    async fn watch_until_failure(&mut self) -> CallEnd {
        loop {
            let address = *self.address.borrow_and_update();
            let mut moves = self.address.clone();
            let began = self.gateway.now();
            tokio::select! {
                biased;
                // It only ever ends by failing. One that was open and fell silent is broken, and what it misses
                // counts as told 6 s after that: it is opened anew at once. The beats of sidecars differ, which
                // spreads their calls; one that finds no answer is a failure like others, with their pauses.
                end = self.watch(address, began) => {
                    let after = self.gateway.now() - began;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(end, after));
                    // What could not be read is told again from the revision in hand; once is cheap for discovery.
                    let spoilt_once = end == CallEnd::Unreadable && after >= WELL_FOR && self.revision.is_some();
                    if end != CallEnd::WatchSilent && !spoilt_once {
                        return end;
                    }
                    self.gateway.forget_watch_wish();
                    self.gateway.watch_reopened(end);
                }
                // Another discovery may count its versions otherwise: the whole list is asked for.
                () = moved(&mut moves) => {
                    let after = self.gateway.now() - began;
                    self.gateway.discovery_event(DiscoveryEvent::CallEnded(CallEnd::Moved, after));
                    self.gateway.discovery_moved(true);
                    self.revision = None;
                }
            }
        }
    }

    /// Follows the list until that fails; the call began at this time.
    async fn watch(&mut self, address: SocketAddr, began: f64) -> CallEnd {
        match self.open_watch(address, began).await {
            Ok((_connection, body)) => self.follow(body).await,
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
        let connection = connect(self.gateway.network(), address, CONNECT).await;
        let mut connection = connection.map_err(|error| match error {
            ConnectError::Here => CallEnd::NotMade,
            ConnectError::There => CallEnd::Unreachable,
        })?;
        let known = match self.revision {
            Some(revision) => revision,
            None => self.fetch_list(&mut connection, &host).await?,
        };
        let answer = connection.send(OutgoingRequest::get(&discovery::watch_path(known), &host));
        let answer = tokio::time::timeout(length(ANSWER), answer).await;
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
        let fetch = connection.exchange_up_to(OutgoingRequest::get(discovery::LIST_PATH, host), LONGEST_LIST);
        let answer = tokio::time::timeout(length(ANSWER), fetch).await;
        match answer.map_err(|_| CallEnd::NoAnswer)? {
            Exchange::Answered(StatusCode::OK, _, body) => self.take(&body)?,
            Exchange::Answered(..) => return Err(CallEnd::TurnedAway),
            Exchange::Broke { .. } => return Err(CallEnd::Broken),
        }
        self.revision.ok_or(CallEnd::Unreadable)
    }

    /// Takes over what an open watch tells, until it ends.
    async fn follow(&mut self, mut body: Incoming) -> CallEnd {
        let mut decoder = WatchDecoder::default();
        // Half a line, or an object whose end does not come, is no sign of life.
        let mut alive = self.gateway.now();
        loop {
            let left = alive + SILENCE - self.gateway.now();
            let Ok(frame) = tokio::time::timeout(length(left), body.frame()).await else {
                return CallEnd::WatchSilent;
            };
            let Some(Ok(frame)) = frame else { return CallEnd::WatchEnded };
            let Ok(data) = frame.into_data() else { continue };
            // The version to go on from, where something is missing behind it.
            let mut complete_up_to: Option<Option<u64>> = None;
            decoder.push(&data, |frame| {
                match frame {
                    WatchFrame::Partial => return,
                    WatchFrame::Heartbeat => self.gateway.list_confirmed(),
                    WatchFrame::Object(text) => {
                        if self.take(&text).is_err() {
                            let before = complete_up_to.unwrap_or(self.revision);
                            complete_up_to = Some(self.revision.and(before));
                        }
                    }
                }
                alive = self.gateway.now();
            });
            // What came behind it holds, but its version would hide that something is missing.
            if let Some(revision) = complete_up_to {
                self.revision = revision;
                return CallEnd::Unreadable;
            }
            if decoder.buffered_bytes() > LONGEST_LIST {
                count(&self.gateway.traffic.bad_lists);
                return CallEnd::Unreadable;
            }
        }
    }

    /// Takes over a list. What cannot be read is counted, and has to be asked for again: the list in hand stays, but it is
    /// known to lack something.
    fn take(&mut self, text: &[u8]) -> Result<(), CallEnd> {
        let traffic = &self.gateway.traffic;
        let began = self.gateway.now();
        let listing = discovery::read(text);
        self.gateway.note_held_up(Activity::ReadingList, began);
        match listing {
            Ok(ListUpdate { revision, update, targets, unreadable_entries: unread }) => {
                traffic.bad_lists.set(traffic.bad_lists.get() + unread as u64);
                // One that is behind the list in hand may be older than the word of a drain. It may also come from a
                // discovery that counts anew, so that it is taken for all the rest.
                let behind = revision < self.last;
                (self.revision, self.last) = (Some(revision), revision);
                let (complete, entries) = (update == Update::Complete, targets.len());
                let taken = DiscoveryEvent::ListTaken { revision, complete, entries, unread, behind };
                self.gateway.discovery_event(taken);
                self.gateway.set_revision(revision);
                // Before what waits for a list is sent by it.
                self.gateway.list_confirmed();
                self.gateway.listed(update, targets, behind);
                self.check_unread(unread)
            }
            Err(reason) => {
                count(&traffic.bad_lists);
                self.gateway.record(EventKind::BadList(reason.into()));
                Err(CallEnd::Unreadable)
            }
        }
    }

    /// Where entries could not be read, the whole list is asked for: once for each version, as they may not be readable in
    /// that either.
    fn check_unread(&mut self, unread: usize) -> Result<(), CallEnd> {
        if unread == 0 || self.asked_again == Some(self.last) {
            return Ok(());
        }
        (self.asked_again, self.revision) = (Some(self.last), None);
        Err(CallEnd::Unreadable)
    }
}

/// Waits for another address; for ever where none can come any more.
async fn moved(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}
