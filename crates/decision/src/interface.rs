//! What the decision module is told and what it answers: settings, events and actions.
//!
//! All times are microseconds. Points in time come from one clock of the host's; the module has
//! none of its own.

use roseproxy_fleet::slow_start::Ramp;

/// A point in time or a length of time, in microseconds.
pub type Micros = i64;
/// Identifies a request; below 2^60 and never used twice by one instance.
pub type RequestId = u64;
/// Index of a class in [`Settings::classes`].
pub type ClassId = usize;

/// Identifies a server. Equal at every instance and in every process (a stable hash of its name),
/// so that nothing depends on the order in which servers were met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Safe,
    /// Repeats are dropped inside the group, for `window` from the first send that may have run.
    Keyed {
        /// Servers that drop each other's repeats.
        group: Group,
        /// How long they remember.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// Servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits over all its tries.
    pub give_up: Micros,
    /// Worth of a request, or of a unit of its work.
    pub worth: f64,
    /// Share of the worth that a later answer still earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// Points taken off the result for one unit each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// One probe for each request.
    pub probe: f64,
    /// Every request crossing zones once.
    pub cross_zone: f64,
    /// Server work without an answer, as much as was asked for.
    pub waste: f64,
    /// One new connection for each request.
    pub handshake: f64,
    /// 100 open connections for each server.
    pub connection: f64,
}

/// What holds for the connections of an instance; the host's business, not the module's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// A server closes a connection that stood idle for this long.
    pub conn_idle: Micros,
    /// A connection not made after this is none.
    pub connect_timeout: Micros,
    /// Requests that an instance may hold open.
    pub max_open: usize,
    /// Nothing new may go to a server this long after word of its drain or end.
    pub drain_grace: Micros,
}

impl Default for Network {
    fn default() -> Self {
        Network { conn_idle: 5_000_000, connect_timeout: 250_000, max_open: 20_000, drain_grace: 1_500_000 }
    }
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many instances share the servers, this one included.
    pub balancers: usize,
    /// Tag of the zone this instance runs in.
    pub zone: Option<u32>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Each tenant's quota: requests a second over all instances.
    pub tenants: Vec<f64>,
    /// Share of its worth that a request beyond its tenant's quota keeps.
    pub over_share_worth: f64,
    /// What costs points.
    pub prices: Prices,
    /// Weight of the worst-served class in the result, 0 to 1.
    pub worst_class_weight: f64,
    /// Whether the list of servers must be asked for.
    pub must_subscribe: bool,
    /// Without a subscription, an instance must ask at least this often.
    pub ask_within: Micros,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether load reports come with every answer.
    pub inline_reports: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Whether refusals may carry advice, and the longest wait a client honours.
    pub max_retry_after: Micros,
    /// Whether a server that met a key lately does less work for it.
    pub warm_keys: bool,
    /// A final answer may come this much after the deadline.
    pub answer_grace: Micros,
    /// Share of its capacity that a server starts with, at least.
    pub cold_from: f64,
    /// Time after which a started server is warm, at the latest.
    pub warm_up: Micros,
    /// A cold server sent more than this multiple of its present capacity falls over.
    pub fall_multiple: f64,
    /// For this long.
    pub overload_for: Micros,
    /// Figures for the host's connections.
    pub network: Network,
}

impl Settings {
    /// How servers warm up.
    pub fn ramp(&self) -> Ramp {
        Ramp {
            cold_from: self.cold_from,
            warm_up: self.warm_up,
            fall_multiple: self.fall_multiple,
            overload_span: self.overload_for,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            prices: Prices::default(),
            worst_class_weight: 0.0,
            must_subscribe: false,
            ask_within: 10_000_000,
            probes: false,
            inline_reports: true,
            cancel: false,
            second_copies: false,
            max_attempts: 3,
            max_retry_after: 0,
            warm_keys: false,
            answer_grace: 0,
            cold_from: 1.0,
            warm_up: 0,
            fall_multiple: 2.0,
            overload_for: 1_500_000,
            network: Network::default(),
        }
    }
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    #[default]
    Ready,
    /// It completes what it has; send nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Tag of its zone.
    pub zone: u32,
    /// A small set of servers that share which keys they have seen; never spans zones.
    pub cell: u32,
    /// Tag of its machine kind; servers of a kind are alike.
    pub kind: u32,
    /// Capacity compared with the others'; 1 where nothing is known.
    pub power: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Micros>,
    /// Whether it takes new work.
    pub readiness: Readiness,
}

/// How a list of servers reaches an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// All servers; one that is missing is gone.
    Complete,
    /// Changed entries only.
    Changes,
    /// A call failed or the subscription broke; the list in hand stays.
    Failed,
    /// The subscription fell silent and the host calls anew at once; the list in hand stays.
    Reopened,
}

/// What a server said about its load, late and a little noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests held, waiting ones included.
    pub held: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Share of its processors in use.
    pub busy: Option<f64>,
    /// Recent time to serve, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    /// No answer in time; may have run or may yet run.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// The connection broke; may have run.
    Broken,
    /// Cancelled; may have run.
    Cancelled,
    /// Was not sent; never ran.
    NotSent,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Index of its tenant in [`Settings::tenants`], where it has one.
    pub tenant: Option<usize>,
    /// Expected work, in time of a standard core.
    pub work: Option<Micros>,
    /// Stable hash of what it is about; equal for equal subjects.
    pub key: Option<u64>,
    /// Time until the client abandons this try.
    pub time_left: Micros,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// News about the servers.
    Servers {
        /// How to read it.
        update: Update,
        /// The entries.
        servers: &'a [Server],
    },
    /// A request arrived; one final answer is owed from here on.
    Request(Request),
    /// An attempt ended.
    Ended {
        /// The request it belongs to.
        request: RequestId,
        /// Its number, counted from 0 in order of sends.
        attempt: usize,
        /// Where it was sent.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since its send.
        elapsed: Micros,
        /// Whether the request has its final answer, by this outcome or earlier.
        finished: bool,
        /// The server's load, where it said so.
        load: Option<Load>,
    },
    /// The answer to a streamed request has started: it has no deadline any more.
    Opened {
        /// The request.
        request: RequestId,
    },
    /// The client left; nothing more is owed.
    Expired {
        /// The request.
        request: RequestId,
    },
    /// A timer went off.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The server probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The server's load, where it said so.
        load: Option<Load>,
    },
}

/// Why the module gives a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its class is unknown, or it came with no time left.
    UnknownClass,
    /// No server was in service until its time was nearly over.
    NoServer,
    /// Only cold servers were left, and they had had their budget.
    SlowStart,
    /// The forecast says that its answer would come too late.
    Crowded,
    /// Its attempts failed, and no other is allowed or affordable.
    AttemptsFailed,
}

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// To whom.
        server: ServerId,
        /// Give the attempt up after this time; `None` for when the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Micros,
        /// Why: for counters and logs, the client is not told.
        reason: GiveUpReason,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send [`Event::Timer`] with this token after this time.
    Timer {
        /// Chosen by the module.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    Close {
        /// The server.
        server: ServerId,
    },
    /// Ask to be told of changes to the list of servers.
    Subscribe,
}
