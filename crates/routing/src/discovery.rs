//! Discovery as the host sees it: how calls and watches end, and what that does to the list in hand.

use super::kinds::name_of;
use super::timers::Due;
use super::{time, EventKind, Host};
use roseproxy_decision::interface::{Event, Update};
use std::fmt;

/// How a call to discovery, or the watch that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No connection came up.
    Unreachable,
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
pub const CALL_ENDS: [(CallEnd, &str); 8] = [
    (CallEnd::Unreachable, "unreachable"),
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
        }
    }
}

impl Host {
    /// Records what happened between this sidecar and discovery.
    pub fn discovery_event(&mut self, now: f64, event: DiscoveryEvent) {
        self.events.record(now, None, EventKind::Discovery(event));
    }

    /// A call to discovery failed or the watch broke; the list in hand stays.
    pub fn targets_failed(&mut self, now: f64, end: CallEnd) {
        self.book.list_failures += 1;
        self.book.call_ended(end);
        if !self.settings.must_subscribe {
            // The module asks for no list where they are pushed.
            let pause = time::to_millis(self.pushed_calls.failed());
            self.timers.set(now + pause, Due::Watch);
        }
        self.tell(now, Event::Servers { update: Update::Failed, servers: &[] });
    }

    /// Discovery was moved while a call or a watch was open.
    pub fn discovery_moved(&mut self) {
        self.book.call_ended(CallEnd::Moved);
    }

    /// The watch fell silent and is opened anew without a pause; the list in hand stays.
    pub fn watch_reopened(&mut self, now: f64) {
        self.book.call_ended(CallEnd::WatchSilent);
        self.tell(now, Event::Servers { update: Update::Reopened, servers: &[] });
    }
}
