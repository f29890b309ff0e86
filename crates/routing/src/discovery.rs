//! Discovery as the host sees it: how calls and watches end, and what that does to the list in hand.

use super::kinds::name_of;
use super::timers::Due;
use super::{time, EventKind, Host};
use roseproxy_decision::interface::{Event, Update};
use roseproxy_fleet::list_lease::{Failure, LeaseTerms, ListLease};
use std::fmt;

/// How a call to discovery, or the watch that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No connection came up.
    Unreachable,
    /// This machine could not make the connection; that tells nothing of discovery.
    NotMade,
    /// No answer began within the time for it.
    NoAnswer,
    /// It was answered with another status than 200.
    TurnedAway,
    /// The connection broke before the answer or in the middle of it.
    Broken,
    /// Its answer was no list.
    Unreadable,
    /// An open watch ended.
    WatchEnded,
    /// An open watch fell silent.
    WatchSilent,
    /// Discovery was moved by a new configuration.
    Moved,
}

/// All ends with the names that they are counted under.
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
    /// Its name in counters and in the event log.
    pub fn name(self) -> &'static str {
        name_of(&CALL_ENDS, self)
    }

    /// What it tells of whether discovery is there; `None` where it tells nothing.
    fn failure(self) -> Option<Failure> {
        match self {
            CallEnd::Unreachable => Some(Failure::Unreachable),
            CallEnd::NoAnswer => Some(Failure::NoAnswer),
            CallEnd::TurnedAway | CallEnd::Broken | CallEnd::Unreadable => Some(Failure::Unanswered),
            CallEnd::WatchEnded => Some(Failure::WatchEnded),
            CallEnd::NotMade | CallEnd::WatchSilent | CallEnd::Moved => None,
        }
    }
}

/// What happened between this sidecar and discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The sidecar started on a list that was kept from before; revision 0 where there was none.
    KeptList {
        /// Its revision.
        revision: u64,
        /// How many endpoints it names.
        endpoints: usize,
    },
    /// A call goes out, for the changes after this revision, or for the whole list.
    CallStarted(Option<u64>),
    /// A watch was opened, this long (ms) after its call.
    WatchOpened(f64),
    /// A list or changes were taken over.
    ListTaken {
        /// Their revision.
        revision: u64,
        /// Whether they name all endpoints there are.
        complete: bool,
        /// How many entries they have.
        entries: usize,
        /// How many of those could not be read.
        unread: usize,
        /// Whether they are older than what was in hand.
        behind: bool,
    },
    /// A call or a watch ended, this long (ms) after the call.
    CallEnded(CallEnd, f64),
    /// Nothing was heard for so long (ms) that the list in hand may not be acted on any more.
    ListExpired(f64),
    /// It may be acted on again.
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
            DiscoveryEvent::ListTaken { revision, complete, entries, unread, behind } => {
                write!(f, "list_taken revision={revision} complete={complete} entries={entries}")?;
                write!(f, " unread={unread} behind={behind}")
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
    pub fn discovery_event(&mut self, now: f64, event: DiscoveryEvent) {
        self.events.record(now, None, EventKind::Discovery(event));
    }

    /// From now on discovery is followed: the list in hand is one that was kept from before the start, at this time. Without
    /// this, whoever gives the list answers for its age.
    pub fn follow_discovery(&mut self, now: f64, began: f64) {
        let asked = self.settings.must_subscribe;
        let unwatched = if asked { time::to_millis(self.settings.max_poll_interval) } else { 0.0 };
        let terms = LeaseTerms { grace: self.notice_grace(), unwatched };
        self.lease = Some(ListLease::of_kept_list(began, terms));
        self.watch_lease(now);
    }

    /// Discovery has told of a change, or that there is none.
    pub fn list_confirmed(&mut self, now: f64) {
        self.change_lease(now, |lease| lease.confirmed(now));
    }

    /// A call to discovery goes out, for the changes after this revision, or for the whole list.
    pub fn call_started(&mut self, now: f64, revision: Option<u64>) {
        self.book.calls += 1;
        self.discovery_event(now, DiscoveryEvent::CallStarted(revision));
        self.change_lease(now, |lease| lease.call_started(now));
    }

    /// Whether the list in hand is too old to be acted on.
    pub(super) fn list_expired(&self, now: f64) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.expired(now))
    }

    /// For how long the list in hand has been too old to be acted on (ms); 0 while it may be.
    pub(super) fn list_expired_for(&self, now: f64) -> f64 {
        let since = self.lease.as_ref().and_then(|lease| lease.expired_since(now));
        since.map_or(0.0, |since| now - since)
    }

    /// Whether discovery has confirmed the list since the start, or is away, and the list may be acted on.
    pub(super) fn list_settled(&self, now: f64) -> bool {
        self.lease.as_ref().is_none_or(|lease| lease.settled(now))
    }

    /// How long ago discovery has confirmed the list in hand (ms).
    pub fn list_age(&self, now: f64) -> f64 {
        self.lease.as_ref().map_or(0.0, |lease| lease.age(now))
    }

    /// How long sends may go on after word that an endpoint leaves, or after which a list is too old (ms): half of what the
    /// platform allows, as a process may be held up between this check and its write.
    pub(super) fn notice_grace(&self) -> f64 {
        time::to_millis(self.settings.network.drain_grace) / 2.0
    }

    fn change_lease(&mut self, now: f64, change: impl FnOnce(&mut ListLease)) {
        if let Some(lease) = self.lease.as_mut() {
            change(lease);
            self.watch_lease(now);
        }
    }

    /// Has the lease looked at when it ends, and records where it has ended or begun anew.
    pub(super) fn watch_lease(&mut self, now: f64) {
        let Some(lease) = self.lease.as_ref() else { return };
        let (expired, age) = (lease.expired(now), lease.age(now));
        if let Some(change) = lease.next_change(now) {
            self.timers.set(change, Due::ListLease);
        }
        if expired != std::mem::replace(&mut self.list_was_expired, expired) {
            self.book.lists_expired += u64::from(expired);
            let event = if expired { DiscoveryEvent::ListExpired(age) } else { DiscoveryEvent::ListRenewed };
            self.discovery_event(now, event);
        }
    }

    /// A call to discovery failed or the watch broke; the list in hand stays.
    pub fn targets_failed(&mut self, now: f64, end: CallEnd) {
        self.book.list_failures += 1;
        self.book.call_ended(end);
        if let Some(failure) = end.failure() {
            self.change_lease(now, |lease| lease.failed(now, failure));
        }
        if !self.settings.must_subscribe {
            // The module asks for no list where they are pushed.
            let pause = time::to_millis(self.pushed_calls.failed());
            self.timers.set(now + pause, Due::Watch);
        }
        self.tell(now, Event::Servers { update: Update::Failed, servers: &[] });
    }

    /// Discovery was moved; `calling` is whether a call or a watch was open, which has ended by that.
    pub fn discovery_moved(&mut self, now: f64, calling: bool) {
        if calling {
            self.book.call_ended(CallEnd::Moved);
        }
        self.change_lease(now, |lease| lease.moved(now));
    }

    /// The watch ended so, and is opened anew without a pause; the list in hand stays.
    pub fn watch_reopened(&mut self, now: f64, end: CallEnd) {
        self.book.call_ended(end);
        self.tell(now, Event::Servers { update: Update::Reopened, servers: &[] });
    }
}
