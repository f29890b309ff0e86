//! Discovery as the host sees it: how calls and watches end, and how that affects the current list.

use super::labels::label_of;
use super::timers::TimerKind;
use super::{time, EventKind, Host};
use roseproxy_decision::interface::{Event, Update};
use roseproxy_fleet::list_lease::{DiscoveryFailure, LeaseTerms, ListLease};
use std::fmt;

/// How a call to discovery, or the watch that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No connection was established.
    Unreachable,
    /// This machine could not open the connection, which says nothing about discovery.
    NotMade,
    /// No response began within its time limit.
    NoAnswer,
    /// The response had a status other than 200.
    TurnedAway,
    /// The connection broke before or during the response.
    Broken,
    /// The response was not a valid list.
    Unreadable,
    /// An open watch ended.
    WatchEnded,
    /// An open watch fell silent.
    WatchSilent,
    /// Discovery was moved by a new configuration.
    Moved,
}

/// All ends with their names in the counters and in the event log.
pub const CALL_ENDS: [(CallEnd, &str); 9] = [
    (CallEnd::Unreachable, "unreachable"),
    (CallEnd::NotMade, "not_made"),
    (CallEnd::NoAnswer, "no_answer"),
    (CallEnd::TurnedAway, "turned_away"),
    (CallEnd::Broken, "broken"),
    (CallEnd::Unreadable, "unreadable"),
    (CallEnd::WatchEnded, "watch_ended"),
    (CallEnd::WatchSilent, "watch_silent"),
    (CallEnd::Moved, "moved"),
];

impl CallEnd {
    /// Returns the end's name in the counters and in the event log.
    pub fn name(self) -> &'static str {
        label_of(&CALL_ENDS, self)
    }

    /// Returns what the end says about the availability of discovery; `None` if it says nothing.
    fn failure(self) -> Option<DiscoveryFailure> {
        match self {
            CallEnd::Unreachable => Some(DiscoveryFailure::Unreachable),
            CallEnd::NoAnswer => Some(DiscoveryFailure::NoAnswer),
            CallEnd::TurnedAway | CallEnd::Broken | CallEnd::Unreadable => Some(DiscoveryFailure::Rejected),
            CallEnd::WatchEnded => Some(DiscoveryFailure::WatchEnded),
            CallEnd::NotMade | CallEnd::WatchSilent | CallEnd::Moved => None,
        }
    }
}

/// An event between this sidecar and discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The sidecar started with a list that was kept from before; revision 0 if there was none.
    KeptList {
        /// Revision of the kept list.
        revision: u64,
        /// Number of endpoints in it.
        endpoints: usize,
    },
    /// A call started, for the changes after this revision or for the whole list.
    CallStarted(Option<u64>),
    /// A watch was opened this long after its call (ms).
    WatchOpened(f64),
    /// A list or changes were applied.
    ListTaken {
        /// Revision of the list or changes.
        revision: u64,
        /// Whether all endpoints are named.
        complete: bool,
        /// Number of entries.
        entries: usize,
        /// Number of entries that could not be parsed.
        unreadable_entries: usize,
        /// Whether they are older than the list in use.
        behind: bool,
    },
    /// A call or a watch ended, this long after the call (ms).
    CallEnded(CallEnd, f64),
    /// The lease of the list expired; the list had been unconfirmed for this long (ms).
    ListExpired(f64),
    /// The list may be used again.
    ListRenewed,
}

impl fmt::Display for DiscoveryEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryEvent::KeptList { revision, endpoints } => {
                write!(f, "kept_list revision={revision} endpoints={endpoints}")
            }
            DiscoveryEvent::CallStarted(Some(revision)) => {
                write!(f, "call_started after_revision={revision}")
            }
            DiscoveryEvent::CallStarted(None) => write!(f, "call_started whole_list"),
            DiscoveryEvent::WatchOpened(after) => write!(f, "watch_opened after={after:.0}"),
            DiscoveryEvent::ListTaken { revision, complete, entries, unreadable_entries, behind } => {
                write!(f, "list_taken revision={revision} complete={complete} entries={entries}")?;
                write!(f, " unread={unreadable_entries} behind={behind}")
            }
            DiscoveryEvent::CallEnded(end, after) => {
                write!(f, "call_ended reason={} after={after:.0}", end.name())
            }
            DiscoveryEvent::ListExpired(age) => write!(f, "list_expired unconfirmed_for={age:.0}"),
            DiscoveryEvent::ListRenewed => write!(f, "list_renewed"),
        }
    }
}

impl Host {
    /// Records what happened between this sidecar and discovery.
    pub fn record_discovery_event(&mut self, now: f64, event: DiscoveryEvent) {
        self.events.record(now, None, EventKind::Discovery(event));
    }

    /// Starts to follow discovery with a list that was kept from before the start at `started_at`.
    /// Without this call, the caller is responsible for the age of the lists it provides.
    pub fn follow_discovery(&mut self, now: f64, started_at: f64) {
        let lists_requested = self.settings.must_subscribe;
        let unwatched = if lists_requested { time::to_millis(self.settings.max_poll_interval) } else { 0.0 };
        let terms = LeaseTerms {
            grace_ms: self.notice_grace(),
            unwatched_ms: unwatched,
            local_agent: !lists_requested,
        };
        self.lease = Some(ListLease::of_kept_list(started_at, terms));
        self.refresh_lease(now);
    }

    /// Records that discovery sent the whole list in answer to a call, without a watch.
    pub fn list_fetched(&mut self, now: f64) {
        self.update_lease(now, |lease| lease.on_list_fetched(now));
    }

    /// Records that an open watch sent a change, or confirmed that there is none.
    pub fn list_confirmed(&mut self, now: f64) {
        self.update_lease(now, |lease| lease.on_confirmed(now));
    }

    /// Records that a call to discovery starts, for the changes after this revision or for the
    /// whole list.
    pub fn discovery_call_started(&mut self, now: f64, revision: Option<u64>) {
        self.counters.discovery_calls += 1;
        self.record_discovery_event(now, DiscoveryEvent::CallStarted(revision));
        self.update_lease(now, |lease| lease.on_call_started(now));
    }

    /// Whether the lease of the current list has expired.
    pub(super) fn list_expired(&self, now: f64) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.is_expired(now))
    }

    /// Returns the time since the lease of the current list expired (ms), or 0 if it has not.
    pub(super) fn list_expired_for(&self, now: f64) -> f64 {
        let since = self.lease.as_ref().and_then(|lease| lease.expired_since(now));
        since.map_or(0.0, |since| now - since)
    }

    /// Whether the list may be used and discovery has confirmed it since the start or is
    /// unavailable.
    pub(super) fn list_settled(&self, now: f64) -> bool {
        self.lease.as_ref().is_none_or(|lease| lease.is_settled(now))
    }

    /// Returns the time since discovery last confirmed the current list (ms).
    pub fn list_age(&self, now: f64) -> f64 {
        self.lease.as_ref().map_or(0.0, |lease| lease.age(now))
    }

    /// Returns the time for which attempts may be sent after notice that a target leaves or after a
    /// list counts as outdated (ms). It is half of what the platform allows, since the process may
    /// be delayed between this check and its write.
    pub(super) fn notice_grace(&self) -> f64 {
        time::to_millis(self.settings.network.drain_grace) / 2.0
    }

    fn update_lease(&mut self, now: f64, change: impl FnOnce(&mut ListLease)) {
        if let Some(lease) = self.lease.as_mut() {
            change(lease);
            self.refresh_lease(now);
        }
    }

    /// Sets a timer for the next change of the lease, and records if the lease has expired or
    /// become valid again.
    pub(super) fn refresh_lease(&mut self, now: f64) {
        let Some(lease) = self.lease.as_ref() else { return };
        let (expired, age) = (lease.is_expired(now), lease.age(now));
        if let Some(change) = lease.next_change(now) {
            self.timers.set(change, TimerKind::ListLease);
        }
        if expired != std::mem::replace(&mut self.list_was_expired, expired) {
            self.counters.lists_expired += u64::from(expired);
            let event = if expired { DiscoveryEvent::ListExpired(age) } else { DiscoveryEvent::ListRenewed };
            self.record_discovery_event(now, event);
        }
    }

    /// Records that a call to discovery failed or the watch broke; the current list stays.
    pub fn discovery_failed(&mut self, now: f64, end: CallEnd) {
        self.counters.discovery_failures += 1;
        self.counters.count_call_end(end);
        if let Some(failure) = end.failure() {
            self.update_lease(now, |lease| lease.on_failure(now, failure));
        }
        if !self.settings.must_subscribe {
            // Where lists are pushed, the decision module requests none.
            let pause = time::to_millis(self.push_backoff.on_failure());
            self.timers.set(now + pause, TimerKind::Watch);
        }
        self.notify_module(now, Event::Servers { update: Update::Failed, servers: &[] });
    }

    /// Records that discovery was moved; `calling` is whether a call or a watch was open, which
    /// ended by the move.
    pub fn discovery_moved(&mut self, now: f64, calling: bool) {
        self.update_lease(now, |lease| lease.on_moved(now));
        if calling {
            self.counters.count_call_end(CallEnd::Moved);
            // The new address is called without a pause, and probably by the whole fleet. Between
            // two calls the next one is planned already.
            self.notify_module(now, Event::Servers { update: Update::Reopened, servers: &[] });
        }
    }

    /// Records that the watch ended and is reopened without a pause; the current list stays.
    pub fn watch_reopened(&mut self, now: f64, end: CallEnd) {
        self.counters.count_call_end(end);
        self.notify_module(now, Event::Servers { update: Update::Reopened, servers: &[] });
    }
}
