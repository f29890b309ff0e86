//! Routing: a thin host round the decision module.
//!
//! [`Host`] owns the [`Balancer`], the open flows, the forwards and the timers. A front (today the
//! platform's HTTP) tells it what happened; it turns that into the module's events, carries out the
//! actions in order, and leaves [`Order`]s for the network. It does no I/O and knows no protocol, so
//! a second front can go through the same decisions and rules. A flow passes the stages [`take_in`],
//! [`admit`], [`route`], [`send`], [`relay`] and [`book`], a file each.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admit;
pub mod book;
pub mod decide;
pub mod discovery;
pub mod event_log;
pub mod flow;
pub mod guard;
pub mod invariants;
pub mod kinds;
pub mod relay;
pub mod route;
pub mod send;
mod slow_start;
pub mod start_times;
pub mod take_in;
pub mod time;
mod timers;

use book::Book;
use decide::Decider;
use event_log::{Activity, EventKind, EventLog, RefusalReason};
use flow::{FlowId, ForwardId, Order, Target};
use roseproxy_decision::interface::{Action, ClassId, Micros, Outcome, Readiness, ServerId, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_fleet::calls::PushedCalls;
use roseproxy_fleet::list_lease::ListLease;
use roseproxy_fleet::slow_start::SlowStart;
use std::collections::{HashMap, VecDeque};
use timers::{Due, Timers};

/// Kept back from the client's time, so that the answer's last byte is there before it gives up, and from a key's
/// window, so that a repeat's is inside it (ms).
pub const SPARE: f64 = 20.0;
/// How long a probe may take (ms): a report that comes later tells nothing of now.
pub const PROBE_PATIENCE: f64 = 300.0;

/// How long the one thread must have done nothing else for that to be recorded (ms): requests wait unread meanwhile, and what
/// was checked before may not hold any more.
const HELD_UP: f64 = 20.0;

#[derive(Debug)]
struct Flow {
    /// When its answer must be out, in clock time.
    deadline: f64,
    /// Its class.
    class: ClassId,
    /// Forwards sent so far.
    attempts: usize,
    /// Those of them that may have run, or may yet.
    written: Vec<Written>,
}

#[derive(Debug)]
struct Forward {
    target: ServerId,
    sent: f64,
    /// Whether its first byte has gone out, as far as this host was asked.
    written: bool,
}

/// A forward that was written to a target, as the rules on repeats see it.
#[derive(Debug)]
struct Written {
    attempt: usize,
    /// When it was sent.
    sent: f64,
    /// The groups that its target belongs to.
    zone: u32,
    cell: u32,
    /// Whether it is still out.
    out: bool,
}

#[derive(Debug)]
struct Member {
    target: Target,
    /// When this instance was told that it wants nothing new.
    leaving_since: Option<f64>,
    /// Number and time of the probe that is out.
    probe: Option<(u64, f64)>,
}

/// What routing itself makes happen while it carries out actions; told to the module afterwards.
#[derive(Debug)]
struct Ending {
    id: ForwardId,
    target: ServerId,
    outcome: Outcome,
    elapsed: f64,
}

/// The host of one instance of the module.
pub struct Host {
    balancer: Box<dyn Decider>,
    settings: Settings,
    flows: HashMap<FlowId, Flow>,
    forwards: HashMap<ForwardId, Forward>,
    members: HashMap<ServerId, Member>,
    timers: Timers,
    endings: VecDeque<Ending>,
    actions: Vec<Action>,
    orders: VecDeque<Order>,
    last_flow: FlowId,
    last_probe: u64,
    /// Where lists are pushed: the pauses between calls to discovery.
    pushed_calls: PushedCalls,
    /// How long the list in hand may be acted on; `None` where nobody follows discovery.
    lease: Option<ListLease>,
    /// Whether it had expired when it was looked at last.
    list_was_expired: bool,
    /// What endpoints that have just started may be sent, and when what warm ones serve was last taken in.
    slow_start: SlowStart,
    observed_at: f64,
    /// Whether the process is about to end.
    ending: bool,
    /// What came in, went out and was answered.
    pub book: Book,
    /// What happened of late, and why.
    pub events: EventLog,
}

impl Host {
    /// A host of the decision module that knows no target yet.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Host {
        let balancer = Balancer::new(settings.clone(), seed, time::to_micros(now));
        Host::with(settings, Box::new(balancer))
    }

    /// A host of whoever decides.
    pub fn with(settings: Settings, balancer: Box<dyn Decider>) -> Host {
        // Where lists are pushed the module asks for none, and what discovery has to tell counts as told from
        // the first moment on: the host itself keeps the watch open then.
        let first = (!settings.must_subscribe).then_some(Order::Watch);
        Host {
            balancer,
            slow_start: SlowStart::new(settings.sidecars, settings.ramp()),
            observed_at: 0.0,
            ending: false,
            settings,
            flows: HashMap::new(),
            forwards: HashMap::new(),
            members: HashMap::new(),
            timers: Timers::default(),
            endings: VecDeque::new(),
            actions: Vec::new(),
            orders: first.into_iter().collect(),
            last_flow: 0,
            last_probe: 0,
            pushed_calls: PushedCalls::default(),
            lease: None,
            list_was_expired: false,
            book: Book::default(),
            events: EventLog::default(),
        }
    }

    /// The next thing to do on the network, in order.
    pub fn next_order(&mut self) -> Option<Order> {
        self.orders.pop_front()
    }

    /// When [`Host::tick`] is next wanted.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Lets every timer that is due go off.
    pub fn tick(&mut self, now: f64) {
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Module(token) => self.module_timer(now, token),
                Due::Forward(id) => self.forward_overdue(now, id),
                Due::Flow(id) => self.flow_overdue(now, id),
                Due::Probe(target, number) => self.probe_overdue(now, target, number),
                Due::Watch => self.orders.push_back(Order::Watch),
                Due::ListLease => self.watch_lease(now),
            }
        }
    }

    /// Flows that have no answer yet.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Their numbers, in order.
    pub fn open_ids(&self) -> Vec<FlowId> {
        let mut open: Vec<FlowId> = self.flows.keys().copied().collect();
        open.sort_unstable(); // nothing may depend on the order of a hash table
        open
    }

    /// Endpoints that the list in hand names.
    pub fn endpoints(&self) -> usize {
        self.members.len()
    }

    /// Whether a request would find an endpoint in service, by a list that may be acted on.
    pub fn can_serve(&self, now: f64) -> bool {
        self.list_settled(now) && self.members.values().any(|m| m.target.readiness == Readiness::Ready)
    }

    /// What the module makes of the target group, in whole numbers by name: to be held against the
    /// traffic on the sockets.
    pub fn picture(&self) -> Vec<(String, u64)> {
        let p = self.balancer.picture();
        let millis = |micros: Micros| time::to_millis(micros).max(0.0) as u64;
        [
            ("picture_ready", p.ready as u64),
            ("picture_set_aside", p.set_aside as u64),
            ("picture_forwards_open", u64::from(p.attempts_in_flight)),
            ("picture_report_age_ms", millis(p.mean_report_age)),
            ("picture_oldest_report_ms", millis(p.oldest_report_age)),
            ("picture_load_percent", (p.mean_load * 100.0) as u64),
            ("picture_stay_ms", millis(p.response_time as Micros)),
            ("picture_spread_percent", (p.forecast_error * 100.0) as u64),
            ("picture_late_percent", (p.late_share * 100.0) as u64),
            ("picture_tables", p.tables_built),
            ("picture_trust_percent", (p.report_trust * 100.0) as u64),
            ("flows_open", self.flows.len() as u64),
            ("forwards_open", self.forwards.len() as u64),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec()
    }

    /// The one thread was busy with this for so long (ms).
    pub fn held_up(&mut self, now: f64, activity: Activity, millis: f64) {
        if millis >= HELD_UP {
            self.book.held_up(activity, millis);
            self.events.record(now, None, EventKind::HeldUp { activity, millis });
        }
    }

    /// Timers went off so late (ms).
    pub fn timers_late(&mut self, now: f64, millis: f64) {
        if millis >= HELD_UP {
            self.book.timers_late(millis);
            self.events.record(now, None, EventKind::TimersLate { millis });
        }
    }

    /// Times and figures that the platform set.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}

fn micros_since(then: f64, now: f64) -> Micros {
    time::to_micros((now - then).max(0.0))
}
