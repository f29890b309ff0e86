//! The event log: what happened to each request, attempt, connection and endpoint, and why.
//!
//! The latest events are kept in memory and printed on request; where a sink is set, each is also printed as it happens.

use super::discovery::DiscoveryEvent;
use super::flow::FlowId;
use super::guard::Withheld;
use super::invariants::Violation;
use super::kinds::name_of;
use roseproxy_decision::interface::{GiveUpReason, Outcome, Readiness, ServerId};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

/// How many events are kept.
const KEPT: usize = 512;
/// How many notable events are printed in a span (ms): the first ones tell what is wrong, the counters how often.
const MOST_PRINTED: u32 = 100;
const PRINTING_SPAN: f64 = 600_000.0;
/// How much of a client's id is kept (bytes).
const ID_KEPT: usize = 40;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too many requests are open.
    NoRoom,
    /// The client has no time left.
    NoTime,
    /// The module knows no such class.
    UnknownClass,
    /// No endpoint was in service until its time was nearly over.
    NoEndpoint,
    /// Only cold endpoints were left, and they had had their budget.
    SlowStart,
    /// The module forecast an answer that comes too late.
    Crowded,
    /// Discovery was not heard of for so long that the list may be out of date.
    ListExpired,
    /// The module gave it up after attempts that did it no harm.
    AttemptsFailed,
}

/// All reasons of refusals with the names that they are counted under.
pub const REFUSALS: [(RefusalReason, &str); 8] = [
    (RefusalReason::NoRoom, "no_room"),
    (RefusalReason::NoTime, "no_time"),
    (RefusalReason::UnknownClass, "unknown_class"),
    (RefusalReason::NoEndpoint, "no_endpoint"),
    (RefusalReason::SlowStart, "slow_start"),
    (RefusalReason::Crowded, "crowded"),
    (RefusalReason::ListExpired, "list_expired"),
    (RefusalReason::AttemptsFailed, "attempts_failed"),
];

impl From<GiveUpReason> for RefusalReason {
    fn from(reason: GiveUpReason) -> RefusalReason {
        match reason {
            GiveUpReason::UnknownClass => RefusalReason::UnknownClass,
            GiveUpReason::NoServer => RefusalReason::NoEndpoint,
            GiveUpReason::SlowStart => RefusalReason::SlowStart,
            GiveUpReason::Crowded => RefusalReason::Crowded,
            GiveUpReason::AttemptsFailed => RefusalReason::AttemptsFailed,
        }
    }
}

/// Why an attempt was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// It is the request's first one.
    First,
    /// All attempts before it have ended without an answer.
    Retry,
    /// An earlier attempt is still out.
    SecondCopy,
}

/// All reasons of attempts with the names that they are counted under.
pub const ATTEMPTS: [(AttemptReason, &str); 3] = [
    (AttemptReason::First, "first"),
    (AttemptReason::Retry, "retry"),
    (AttemptReason::SecondCopy, "second_copy"),
];

/// What the one thread of the program was busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Taking a request in, and deciding on it.
    Request,
    /// The end of an attempt, and deciding what follows.
    AttemptEnd,
    /// The end of a probe.
    ProbeEnd,
    /// A client's departure.
    Departure,
    /// Timers that were due.
    Timers,
    /// Reading a list from its text.
    ReadingList,
    /// Taking a list over.
    List,
}

/// All activities with the names that they are counted under.
pub const ACTIVITIES: [(Activity, &str); 7] = [
    (Activity::Request, "request"),
    (Activity::AttemptEnd, "attempt_end"),
    (Activity::ProbeEnd, "probe_end"),
    (Activity::Departure, "departure"),
    (Activity::Timers, "timers"),
    (Activity::ReadingList, "reading_list"),
    (Activity::List, "list"),
];

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it broke.
    Client,
    /// The client left while its request was open.
    Departed,
    /// Its last answer said so: the end of the process, a malformed request, or bytes behind the request.
    Answered,
    /// It stood idle for long, or its place was wanted.
    Idle,
    /// Its request did not come whole in time.
    Late,
    /// The process ends.
    Shutdown,
    /// Its client did not read its answer.
    Stalled,
}

/// All reasons of closes with the names that they are counted under.
pub const CLOSES: [(CloseReason, &str); 7] = [
    (CloseReason::Client, "client"),
    (CloseReason::Departed, "departed"),
    (CloseReason::Answered, "answered"),
    (CloseReason::Idle, "idle"),
    (CloseReason::Late, "late"),
    (CloseReason::Shutdown, "shutdown"),
    (CloseReason::Stalled, "stalled"),
];

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A request was taken in.
    Taken {
        /// The start of the client's id.
        client_id: Box<str>,
        /// Its class.
        class: usize,
        /// How long the client waits (ms).
        time_left: f64,
    },
    /// An attempt was ordered.
    AttemptOrdered {
        /// Its number.
        attempt: usize,
        /// Why.
        reason: AttemptReason,
        /// Where it goes.
        endpoint: ServerId,
        /// How long its answer is awaited (ms).
        patience: f64,
    },
    /// An attempt was withheld.
    AttemptWithheld {
        /// Its number.
        attempt: usize,
        /// Why.
        reason: Withheld,
    },
    /// An attempt's first byte went out.
    AttemptBegan {
        /// Its number.
        attempt: usize,
    },
    /// An attempt's last byte went out.
    AttemptWhole {
        /// Its number.
        attempt: usize,
        /// The time told to the endpoint (ms).
        told: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its number.
        attempt: usize,
        /// How.
        outcome: Outcome,
    },
    /// A request was served.
    Served,
    /// A request was refused.
    Refused(RefusalReason),
    /// A request failed.
    Failed,
    /// A request's client left.
    ClientLeft,
    /// A client's connection was closed.
    Closed(CloseReason),
    /// An endpoint's state changed.
    Endpoint {
        /// Which.
        endpoint: ServerId,
        /// To what.
        readiness: Readiness,
    },
    /// Something happened between this sidecar and discovery.
    Discovery(DiscoveryEvent),
    /// Discovery sent what is no list.
    BadList(Box<str>),
    /// The one thread of the program did nothing else for so long (ms).
    HeldUp {
        /// By what.
        activity: Activity,
        /// How long.
        millis: f64,
    },
    /// Timers went off so late (ms), as the thread was busy or had no processor.
    TimersLate {
        /// How late.
        millis: f64,
    },
    /// An invariant was violated.
    Violated(Violation),
}

impl EventKind {
    /// Whether an operator should hear of it, whatever else is printed: faults, and what the sidecar knows of its endpoints.
    fn notable(&self) -> bool {
        matches!(self, EventKind::BadList(_) | EventKind::Violated(_) | EventKind::Discovery(_))
    }
}

/// An event with its time (ms) and its request.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    at: f64,
    request: Option<FlowId>,
    kind: EventKind,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.at)?;
        if let Some(request) = self.request {
            write!(f, " request={request}")?;
        }
        match &self.kind {
            EventKind::Taken { client_id, class, time_left } => {
                write!(f, " taken id={client_id} class={class} time_left={time_left:.0}")
            }
            EventKind::AttemptOrdered { attempt, reason, endpoint, patience } => {
                let (reason, endpoint) = (name_of(&ATTEMPTS, *reason), endpoint.0);
                write!(f, " attempt={attempt} ordered reason={reason} endpoint={endpoint:016x} patience={patience:.0}")
            }
            EventKind::AttemptWithheld { attempt, reason } => {
                write!(f, " attempt={attempt} withheld reason={}", reason.name())
            }
            EventKind::AttemptBegan { attempt } => write!(f, " attempt={attempt} began"),
            EventKind::AttemptWhole { attempt, told } => write!(f, " attempt={attempt} whole told={told:.0}"),
            EventKind::AttemptEnded { attempt, outcome } => {
                write!(f, " attempt={attempt} ended outcome={outcome:?}")
            }
            EventKind::Served => write!(f, " served"),
            EventKind::Refused(reason) => write!(f, " refused reason={reason:?}"),
            EventKind::Failed => write!(f, " failed"),
            EventKind::ClientLeft => write!(f, " client_left"),
            EventKind::Closed(reason) => write!(f, " connection_closed reason={reason:?}"),
            EventKind::Endpoint { endpoint, readiness } => {
                write!(f, " endpoint={:016x} state={readiness:?}", endpoint.0)
            }
            EventKind::Discovery(event) => write!(f, " discovery {event}"),
            EventKind::BadList(reason) => write!(f, " discovery sent what is no list: {reason}"),
            EventKind::HeldUp { activity, millis } => {
                write!(f, " held_up activity={} for={millis:.1}", name_of(&ACTIVITIES, *activity))
            }
            EventKind::TimersLate { millis } => write!(f, " timers_late by={millis:.1}"),
            EventKind::Violated(violation) => write!(f, " VIOLATED {}", violation.name()),
        }
    }
}

/// Takes each event as a line.
pub type Sink = Rc<dyn Fn(&str)>;

/// The latest events.
#[derive(Default)]
pub struct EventLog {
    latest: VecDeque<Record>,
    sink: Option<Sink>,
    /// Whether each event is printed, and not only notable ones.
    every: bool,
    /// When the present span began, and how many notable events it has printed.
    span_began: f64,
    printed: u32,
}

impl EventLog {
    /// Has notable events printed as they happen, or each event.
    pub fn log_to(&mut self, sink: Sink, every: bool) {
        (self.sink, self.every) = (Some(sink), every);
    }

    /// Records an event.
    pub fn record(&mut self, at: f64, request: Option<FlowId>, kind: EventKind) {
        let prints = kind.notable() && self.may_print(at);
        let record = Record { at, request, kind };
        if let Some(sink) = self.sink.as_ref().filter(|_| prints || self.every) {
            sink(&format!("event {record}"));
        }
        if self.latest.len() == KEPT {
            self.latest.pop_front();
        }
        self.latest.push_back(record);
    }

    /// Whether one more notable event may be printed in this span.
    fn may_print(&mut self, at: f64) -> bool {
        if at - self.span_began >= PRINTING_SPAN {
            (self.span_began, self.printed) = (at, 0);
        }
        self.printed = self.printed.saturating_add(1);
        self.printed <= MOST_PRINTED
    }

    /// The latest events, one a line, the oldest first.
    pub fn text(&self) -> String {
        self.latest.iter().map(|record| format!("{record}\n")).collect()
    }
}

/// The start of a client's id, as the log keeps it.
pub fn shortened(id: &[u8]) -> Box<str> {
    let start = &id[..id.len().min(ID_KEPT)];
    String::from_utf8_lossy(start).into()
}
