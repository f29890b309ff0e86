//! Host of the decision module: it applies the routing rules and keeps flows, forwards and timers.
//!
//! [`Host`] owns the decision module ([`Balancer`]), the open flows, the forwards and the timers. A
//! front end (today the platform's HTTP) reports what happened; the host turns that into events of
//! the decision module, executes the resulting actions in order, and queues [`Order`]s for the
//! network. The crate does no I/O and knows no protocol, so that another front end can use the same
//! decisions and rules. It depends on the decision module and on the fleet crate. Begin with
//! [`Host`]; a flow then passes the stages [`intake`], [`admission`], [`dispatch`], [`send`],
//! [`answers`] and [`counters`], one file each.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod answers;
pub mod counters;
pub mod decider;
mod departed;
pub mod discovery;
pub mod dispatch;
pub mod event_log;
pub mod flow;
pub mod guard;
pub mod intake;
pub mod invariants;
pub mod labels;
pub mod send;
mod slow_start;
pub mod start_times;
pub mod time;
mod timers;

use counters::Counters;
use decider::Decider;
use departed::DepartedTargets;
use event_log::{Activity, EventKind, EventLog, RefusalReason};
use flow::{FlowId, ForwardId, Order, Target, TargetProcess};
use roseproxy_decision::interface::{Action, ClassId, Micros, Outcome, Readiness, ServerId, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_fleet::discovery_calls::PushBackoff;
use roseproxy_fleet::list_lease::ListLease;
use roseproxy_fleet::slow_start::SlowStart;
use std::collections::{HashMap, VecDeque};
use timers::{TimerKind, Timers};

/// Time held back from the client's deadline, so that the last byte of the response arrives in
/// time, and from an idempotency window, so that a repeat falls inside it (ms).
pub const TIME_RESERVE_MS: f64 = 20.0;
/// Time limit of a probe (ms); a later report no longer describes the present load.
pub const PROBE_TIMEOUT_MS: f64 = 300.0;

/// Shortest delay of the event loop that is recorded (ms). During a delay no request is read, and
/// conditions that were checked before the delay may no longer hold.
const MIN_REPORTED_DELAY_MS: f64 = 20.0;

#[derive(Debug)]
struct Flow {
    /// Time by which the answer must be sent (clock time, ms).
    deadline: f64,
    /// Class of the request.
    class: ClassId,
    /// Number of attempts so far.
    attempts: usize,
    /// Attempts that may have run or may still run.
    written: Vec<WrittenAttempt>,
}

#[derive(Debug)]
struct Forward {
    target: ServerId,
    /// The process for which the target was chosen.
    process: TargetProcess,
    sent_at: f64,
    /// Whether writing of the attempt's first byte was permitted.
    written: bool,
}

/// A forward whose writing has begun, as the rules on repeats see it.
#[derive(Debug)]
struct WrittenAttempt {
    attempt: usize,
    /// Time at which the attempt was sent (ms).
    sent_at: f64,
    /// Zone and cell of its target.
    zone: u32,
    cell: u32,
    /// Whether the attempt has not ended yet.
    open: bool,
}

#[derive(Debug)]
struct Member {
    target: Target,
    /// Time at which this sidecar first learned that the target takes no new work (ms).
    leaving_since: Option<f64>,
    /// Whether it has gone only because an outdated list did not name it.
    may_return: bool,
    /// Number and start time of the open probe.
    probe: Option<(u64, f64)>,
}

/// A forward that the host itself ended while it executed actions; reported to the decision module
/// afterwards.
#[derive(Debug)]
struct EndedForward {
    id: ForwardId,
    target: ServerId,
    outcome: Outcome,
    elapsed: f64,
}

/// Host of one instance of the decision module.
pub struct Host {
    balancer: Box<dyn Decider>,
    settings: Settings,
    flows: HashMap<FlowId, Flow>,
    forwards: HashMap<ForwardId, Forward>,
    members: HashMap<ServerId, Member>,
    /// Targets that have gone and are no members any more.
    departed: DepartedTargets,
    timers: Timers,
    ended_forwards: VecDeque<EndedForward>,
    actions: Vec<Action>,
    orders: VecDeque<Order>,
    last_flow: FlowId,
    last_probe_number: u64,
    /// Pauses between calls to discovery where lists are pushed.
    push_backoff: PushBackoff,
    /// Lease of the current list; `None` if discovery is not followed.
    lease: Option<ListLease>,
    /// Whether the lease had expired when it was last checked.
    list_was_expired: bool,
    /// Call budgets of targets that have just started, and the time when the warm targets were last
    /// observed (ms).
    slow_start: SlowStart,
    power_observed_at: f64,
    /// Whether the process is shutting down.
    shutting_down: bool,
    /// Counters of flows, forwards, probes and lists.
    pub counters: Counters,
    /// Recent events and their reasons.
    pub events: EventLog,
}

impl Host {
    /// Creates a host of the decision module without any target.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Host {
        let balancer = Balancer::new(settings.clone(), seed, time::to_micros(now));
        Host::with_decider(settings, Box::new(balancer))
    }

    /// Creates a host of the given decider.
    pub fn with_decider(settings: Settings, balancer: Box<dyn Decider>) -> Host {
        // Where lists are pushed, the decision module requests none, and notice of changes counts as
        // received from the start on. The host then opens the watch itself.
        let first_order = (!settings.must_subscribe).then_some(Order::Watch);
        Host {
            balancer,
            slow_start: SlowStart::new(settings.sidecars, settings.ramp()),
            power_observed_at: 0.0,
            shutting_down: false,
            settings,
            flows: HashMap::new(),
            forwards: HashMap::new(),
            members: HashMap::new(),
            departed: DepartedTargets::default(),
            timers: Timers::default(),
            ended_forwards: VecDeque::new(),
            actions: Vec::new(),
            orders: first_order.into_iter().collect(),
            last_flow: 0,
            last_probe_number: 0,
            push_backoff: PushBackoff::default(),
            lease: None,
            list_was_expired: false,
            counters: Counters::default(),
            events: EventLog::default(),
        }
    }

    /// Returns the next order for the network.
    pub fn next_order(&mut self) -> Option<Order> {
        self.orders.pop_front()
    }

    /// Returns the time at which [`Host::tick`] must next be called.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.next_time()
    }

    /// Handles every timer that is due.
    pub fn tick(&mut self, now: f64) {
        while let Some(due) = self.timers.take_due(now) {
            match due {
                TimerKind::Module(token) => self.module_timer_fired(now, token),
                TimerKind::Forward(id) => self.forward_overdue(now, id),
                TimerKind::Flow(id) => self.flow_overdue(now, id),
                TimerKind::Probe(target, number) => self.probe_overdue(now, target, number),
                TimerKind::Watch => self.orders.push_back(Order::Watch),
                TimerKind::ListLease => self.refresh_lease(now),
            }
        }
    }

    /// Removes timers of what has ended, if there are many: clients may give their requests much time,
    /// and open far more of them meanwhile than are open at once.
    fn prune_timers(&mut self) {
        if !self.timers.pruning_is_due() {
            return;
        }
        let (flows, forwards, balancer) = (&self.flows, &self.forwards, &self.balancer);
        self.timers.prune(|kind| match kind {
            TimerKind::Module(token) => balancer.awaits_timer(token),
            TimerKind::Forward(id) => forwards.contains_key(&id),
            TimerKind::Flow(id) => flows.contains_key(&id),
            TimerKind::Probe(..) | TimerKind::Watch | TimerKind::ListLease => true,
        });
    }

    /// Returns the number of flows without an answer.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the ids of the flows without an answer, in ascending order.
    pub fn open_flow_ids(&self) -> Vec<FlowId> {
        let mut open: Vec<FlowId> = self.flows.keys().copied().collect();
        open.sort_unstable(); // nothing may depend on the order of a hash table
        open
    }

    /// Returns the number of targets known from discovery.
    pub fn endpoint_count(&self) -> usize {
        self.members.len()
    }

    /// Whether the current list may be used and names a target in service.
    pub fn can_serve(&self, now: f64) -> bool {
        self.list_settled(now) && self.members.values().any(|m| m.target.readiness == Readiness::Ready)
    }

    /// Returns the decision module's estimates of the targets as whole numbers by name, for
    /// comparison with the traffic on the sockets.
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let snapshot = self.balancer.snapshot();
        let whole_ms = |micros: Micros| time::to_millis(micros).max(0.0) as u64;
        [
            ("picture_ready", snapshot.ready as u64),
            ("picture_set_aside", snapshot.set_aside as u64),
            ("picture_forwards_open", u64::from(snapshot.attempts_in_flight)),
            ("picture_report_age_ms", whole_ms(snapshot.mean_report_age)),
            ("picture_oldest_report_ms", whole_ms(snapshot.oldest_report_age)),
            ("picture_load_percent", (snapshot.mean_load * 100.0) as u64),
            ("picture_stay_ms", whole_ms(snapshot.response_time as Micros)),
            ("picture_spread_percent", (snapshot.forecast_error * 100.0) as u64),
            ("picture_late_percent", (snapshot.late_share * 100.0) as u64),
            ("picture_tables", snapshot.tables_built),
            ("picture_trust_percent", (snapshot.report_trust * 100.0) as u64),
            ("flows_open", self.flows.len() as u64),
            ("forwards_open", self.forwards.len() as u64),
            ("timers_set", self.timers.len() as u64),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec()
    }

    /// Records that an activity blocked the event loop for this long (ms), if that exceeds the
    /// reporting threshold.
    pub fn record_held_up(&mut self, now: f64, activity: Activity, millis: f64) {
        if millis >= MIN_REPORTED_DELAY_MS {
            self.counters.count_held_up(activity, millis);
            self.events.record(now, None, EventKind::HeldUp { activity, millis });
        }
    }

    /// Records that timers fired this late (ms), if that exceeds the reporting threshold.
    pub fn record_late_timers(&mut self, now: f64, millis: f64) {
        if millis >= MIN_REPORTED_DELAY_MS {
            self.counters.count_late_timers(millis);
            self.events.record(now, None, EventKind::TimersLate { millis });
        }
    }

    /// Returns the settings from the platform.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}

fn micros_since(then: f64, now: f64) -> Micros {
    time::to_micros((now - then).max(0.0))
}
