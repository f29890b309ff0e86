//! Event log: what happened to each request, attempt, connection and endpoint, and why.
//!
//! The latest events are kept in memory and printed on request. If a sink is set, events are also
//! printed as they happen.

use super::discovery::DiscoveryEvent;
use super::flow::FlowId;
use super::guard::WithheldReason;
use super::invariants::Violation;
use super::labels::label_of;
use roseproxy_decision::interface::{GiveUpReason, Outcome, Readiness, ServerId};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

/// Number of events kept in memory.
const MAX_EVENTS: usize = 512;
/// Limit of notable events printed within a span. The first ones show what is wrong, and the
/// counters show how often it happens.
const MAX_PRINTED_PER_SPAN: u32 = 100;
const PRINT_SPAN_MS: f64 = 600_000.0;
/// Length to which a client's id is truncated (bytes).
const MAX_CLIENT_ID_BYTES: usize = 40;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too many requests are open.
    NoRoom,
    /// The client has no time left.
    NoTime,
    /// The decision module does not know the class.
    UnknownClass,
    /// No endpoint was in service until the request's time was nearly over.
    NoEndpoint,
    /// Only cold endpoints were left, and their call budgets were used up.
    SlowStart,
    /// The decision module predicted that the answer would be too late.
    Crowded,
    /// Discovery had not confirmed the list for so long that it may be outdated.
    ListExpired,
    /// The decision module gave up after attempts that make a retry by the client harmless.
    AttemptsFailed,
}

/// All refusal reasons with their names in the counters.
pub const REFUSAL_REASONS: [(RefusalReason, &str); 8] = [
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
    /// It is the first attempt of the request.
    First,
    /// All earlier attempts have ended without an answer.
    Retry,
    /// An earlier attempt is still open.
    SecondCopy,
}

/// All attempt reasons with their names in the counters.
pub const ATTEMPT_REASONS: [(AttemptReason, &str); 3] = [
    (AttemptReason::First, "first"),
    (AttemptReason::Retry, "retry"),
    (AttemptReason::SecondCopy, "second_copy"),
];

/// Activity of the program's single thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Accepting a request and deciding on it.
    Request,
    /// Handling the end of an attempt and deciding on the next step.
    AttemptEnd,
    /// Handling the end of a probe.
    ProbeEnd,
    /// Handling the departure of a client.
    Departure,
    /// Handling due timers.
    Timers,
    /// Parsing a list.
    ReadingList,
    /// Applying a list.
    List,
}

/// All activities with their names in the counters and in the event log.
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
    /// The last answer announced the close: the process ends, the request was malformed, or bytes
    /// followed the request.
    Answered,
    /// The connection was idle for too long, or its socket was needed for another client.
    Idle,
    /// A request on the connection did not arrive completely in time.
    Late,
    /// The connection had no complete request when its socket was needed for another client.
    Evicted,
    /// The process shuts down.
    Shutdown,
    /// The client did not read its answer.
    Stalled,
}

/// All close reasons with their names in the counters.
pub const CLOSE_REASONS: [(CloseReason, &str); 8] = [
    (CloseReason::Client, "client"),
    (CloseReason::Departed, "departed"),
    (CloseReason::Answered, "answered"),
    (CloseReason::Idle, "idle"),
    (CloseReason::Late, "late"),
    (CloseReason::Shutdown, "shutdown"),
    (CloseReason::Stalled, "stalled"),
    (CloseReason::Evicted, "evicted"),
];

/// How many client sockets are in use, by what they are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketUse {
    /// Connections on which nothing has been received.
    pub silent: usize,
    /// Connections between requests.
    pub idle: usize,
    /// Connections with a request that has arrived in part.
    pub receiving: usize,
    /// Connections whose request is being processed or whose answer is being written.
    pub answering: usize,
    /// Connections that have ended, and whose input is discarded.
    pub draining: usize,
}

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A request was accepted.
    Taken {
        /// Truncated id of the client's request.
        client_id: Box<str>,
        /// Class of the request.
        class: usize,
        /// Time until the client gives up (ms).
        time_left: f64,
    },
    /// An attempt was ordered.
    AttemptOrdered {
        /// Number of the attempt.
        attempt: usize,
        /// Reason.
        reason: AttemptReason,
        /// Endpoint that it goes to.
        endpoint: ServerId,
        /// Time limit for its answer (ms).
        timeout: f64,
    },
    /// An attempt was withheld.
    AttemptWithheld {
        /// Number of the attempt.
        attempt: usize,
        /// Reason.
        reason: WithheldReason,
    },
    /// The first byte of an attempt was written.
    AttemptBegan {
        /// Number of the attempt.
        attempt: usize,
    },
    /// The last byte of an attempt was written.
    AttemptWritten {
        /// Number of the attempt.
        attempt: usize,
        /// Time limit sent to the endpoint (ms).
        announced_ms: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt.
        attempt: usize,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A request was served.
    Served,
    /// A request was refused.
    Refused(RefusalReason),
    /// A request failed.
    Failed,
    /// The client of a request left.
    ClientLeft,
    /// A client's connection was closed.
    Closed(CloseReason),
    /// A client has waited for long because all client sockets are in use.
    ClientWaits(SocketUse),
    /// An endpoint's state changed.
    Endpoint {
        /// The endpoint.
        endpoint: ServerId,
        /// Its new state.
        readiness: Readiness,
    },
    /// An event between this sidecar and discovery.
    Discovery(DiscoveryEvent),
    /// Discovery sent an invalid list, with the reason.
    BadList(Box<str>),
    /// An activity blocked the program's single thread.
    HeldUp {
        /// The activity.
        activity: Activity,
        /// Duration (ms).
        millis: f64,
    },
    /// Timers fired late because the thread was busy or did not get a processor.
    TimersLate {
        /// Delay (ms).
        millis: f64,
    },
    /// An invariant was violated.
    Violated(Violation),
}

impl EventKind {
    /// Whether an operator should see the event whatever else is printed: faults, shortages, and
    /// changes in what the sidecar knows from discovery.
    fn notable(&self) -> bool {
        matches!(
            self,
            EventKind::BadList(_)
                | EventKind::Violated(_)
                | EventKind::Discovery(_)
                | EventKind::ClientWaits(_)
        )
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
            EventKind::AttemptOrdered { attempt, reason, endpoint, timeout } => {
                let (reason, endpoint) = (label_of(&ATTEMPT_REASONS, *reason), endpoint.0);
                write!(f, " attempt={attempt} ordered reason={reason} endpoint={endpoint:016x} patience={timeout:.0}")
            }
            EventKind::AttemptWithheld { attempt, reason } => {
                write!(f, " attempt={attempt} withheld reason={}", reason.name())
            }
            EventKind::AttemptBegan { attempt } => write!(f, " attempt={attempt} began"),
            EventKind::AttemptWritten { attempt, announced_ms } => {
                write!(f, " attempt={attempt} whole told={announced_ms:.0}")
            }
            EventKind::AttemptEnded { attempt, outcome } => {
                write!(f, " attempt={attempt} ended outcome={outcome:?}")
            }
            EventKind::Served => write!(f, " served"),
            EventKind::Refused(reason) => write!(f, " refused reason={reason:?}"),
            EventKind::Failed => write!(f, " failed"),
            EventKind::ClientLeft => write!(f, " client_left"),
            EventKind::Closed(reason) => write!(f, " connection_closed reason={reason:?}"),
            EventKind::ClientWaits(SocketUse { silent, idle, receiving, answering, draining }) => {
                write!(f, " client_waits silent={silent} idle={idle} receiving={receiving}")?;
                write!(f, " answering={answering} draining={draining}")
            }
            EventKind::Endpoint { endpoint, readiness } => {
                write!(f, " endpoint={:016x} state={readiness:?}", endpoint.0)
            }
            EventKind::Discovery(event) => write!(f, " discovery {event}"),
            EventKind::BadList(reason) => write!(f, " discovery sent what is no list: {reason}"),
            EventKind::HeldUp { activity, millis } => {
                write!(f, " held_up activity={} for={millis:.1}", label_of(&ACTIVITIES, *activity))
            }
            EventKind::TimersLate { millis } => write!(f, " timers_late by={millis:.1}"),
            EventKind::Violated(violation) => write!(f, " VIOLATED {}", violation.name()),
        }
    }
}

/// Receives each printed event as a line.
pub type Sink = Rc<dyn Fn(&str)>;

/// The latest events, and where to print them.
#[derive(Default)]
pub struct EventLog {
    latest: VecDeque<Record>,
    sink: Option<Sink>,
    /// Whether every event is printed, and not only notable ones.
    every_event: bool,
    /// Start of the present print span (ms), and the number of notable events in it.
    span_began: f64,
    printed_in_span: u32,
}

impl EventLog {
    /// Sets the sink for notable events, or for every event if `every_event` is set.
    pub fn set_sink(&mut self, sink: Sink, every_event: bool) {
        (self.sink, self.every_event) = (Some(sink), every_event);
    }

    /// Records an event.
    pub fn record(&mut self, at: f64, request: Option<FlowId>, kind: EventKind) {
        let print_notable = kind.notable() && self.allow_print(at);
        let record = Record { at, request, kind };
        if let Some(sink) = self.sink.as_ref().filter(|_| print_notable || self.every_event) {
            sink(&format!("event {record}"));
        }
        if self.latest.len() == MAX_EVENTS {
            self.latest.pop_front();
        }
        self.latest.push_back(record);
    }

    /// Counts a notable event and returns whether it may be printed in this span.
    fn allow_print(&mut self, at: f64) -> bool {
        if at - self.span_began >= PRINT_SPAN_MS {
            (self.span_began, self.printed_in_span) = (at, 0);
        }
        self.printed_in_span = self.printed_in_span.saturating_add(1);
        self.printed_in_span <= MAX_PRINTED_PER_SPAN
    }

    /// Returns the latest events, one per line, oldest first.
    pub fn text(&self) -> String {
        self.latest.iter().map(|record| format!("{record}\n")).collect()
    }
}

/// Truncates a client's id for the log.
pub fn truncate_client_id(id: &[u8]) -> Box<str> {
    let start = &id[..id.len().min(MAX_CLIENT_ID_BYTES)];
    String::from_utf8_lossy(start).into()
}
