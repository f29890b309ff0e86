//! The outcome of a simulation: the contents of `result.json`, and the series by second.

mod attempts;
mod flows;
mod numbers;
mod series;

pub use attempts::{Attempts, Refusals};
pub use flows::{Flows, Part};
pub use numbers::Latency;
pub use series::Second;

use crate::accounting::{RequestAccounting, Rule, Try, TryEnd, Violation};
use crate::fabric::Fabric;
use crate::simulation::Simulation;
use attempts::{attempts, refusals};
use flows::{ended, worst, Parts};
use numbers::{histogram, ratio, round, share};
use serde::Serialize;
use series::Series;
use std::collections::{BTreeMap, BTreeSet};

/// Counts of tries by their end.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tries {
    /// Sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed with an error response.
    pub failed: u64,
    /// Ended without a response.
    pub nothing: u64,
    /// No connection was established.
    pub no_connection: u64,
    /// In flight at a sidecar that was killed.
    pub excused: u64,
}

/// Figures of the servers and of discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Servers {
    /// Probes per server and second.
    pub probes_per_s: f64,
    /// Connections opened per try.
    pub connections_per_try: f64,
    /// How often servers were degraded by long queues.
    pub chokes: u64,
    /// Mean idle share of the cores in service.
    pub idle_share: f64,
    /// Calls answered by discovery, and those that failed.
    pub calls: (u64, u64),
}

/// The outcome of a simulation, as `result.json` has it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub day: String,
    /// The name of the balancing strategy.
    pub strategy: String,
    /// The seed.
    pub seed: u64,
    /// Share of the requested worth that was served within its class's aim, counted from the first try.
    pub service: f64,
    /// The same in the worst ten seconds.
    pub worst_window: f64,
    /// The same of the worst class.
    pub worst_class: f64,
    /// The same of the worst tenant, within its share.
    pub worst_tenant: f64,
    /// Counts of flows.
    pub flows: Flows,
    /// Counts of tries.
    pub tries: Tries,
    /// Refusals.
    pub refusals: Refusals,
    /// Counts of attempts.
    pub attempts: Attempts,
    /// Time from the first try to the answer (ms).
    pub latency: Latency,
    /// By class.
    pub classes: BTreeMap<String, Part>,
    /// By tenant, within its share.
    pub tenants: BTreeMap<String, Part>,
    /// The fleet.
    pub servers: Servers,
    /// Most open descriptors of a sidecar.
    pub descriptors: usize,
    /// Malformed requests sent, and those that got an error or a close in time.
    pub bad: (u64, u64),
    /// Corrupted responses by kind.
    pub spoilt: BTreeMap<String, u64>,
    /// Counts of violations by rule.
    pub violation_counts: BTreeMap<String, u64>,
    /// The violations; only the first ones where there are many.
    pub violations: Vec<Violation>,
}

impl Tries {
    fn add(&mut self, end: TryEnd) {
        self.sent += 1;
        let count = match end {
            TryEnd::Served => &mut self.served,
            TryEnd::Refused(_) => &mut self.refused,
            TryEnd::Failed(_) => &mut self.failed,
            TryEnd::NoConnection => &mut self.no_connection,
            TryEnd::Nothing | TryEnd::Open => &mut self.nothing,
            TryEnd::Excused => &mut self.excused,
        };
        *count += 1;
    }
}

/// Computes the outcome of a simulation that has been played, and its series by second.
pub fn outcome<F: Fabric>(simulation: &Simulation<F>, strategy: &str) -> (Outcome, Vec<Second>) {
    let (schedule, accounting) = (&simulation.plan, simulation.environment.accounting.borrow());
    let mut series = Series::new(schedule.day.length_s.ceil() as usize);
    let mut out = Outcome {
        day: schedule.day.name.clone(),
        strategy: strategy.into(),
        seed: schedule.seed,
        ..Outcome::default()
    };
    count_flows(simulation, &accounting, &mut out, &mut series);
    for one in &accounting.tries {
        series.add_try(one.sent - simulation.day_start(), one.end);
        out.tries.add(one.end);
    }
    out.worst_window = series.worst_window();
    out.refusals = refusals(&accounting.tries);
    out.attempts = attempts(&accounting);
    out.servers = servers(simulation, &accounting);
    out.descriptors = accounting.descriptors.values().copied().max().unwrap_or(0);
    (out.bad, out.spoilt) = (accounting.bad, accounting.spoilt.clone());
    out.violation_counts = accounting.counts.iter().map(|(rule, n)| (rule.to_string(), *n)).collect();
    out.violations = accounting.violations.clone();
    for violation in &mut out.violations {
        violation.at = round(violation.at);
    }
    (out, series.finish(&simulation.samples.borrow()))
}

/// Counts every request: in total, by second, by class and by tenant.
fn count_flows<F: Fabric>(
    simulation: &Simulation<F>,
    accounting: &RequestAccounting,
    out: &mut Outcome,
    series: &mut Series,
) {
    let (schedule, unasked) = (&simulation.plan, simulation.clients.unasked());
    let mut by_flow: Vec<Vec<&Try>> = vec![Vec::new(); schedule.arrivals.len()];
    accounting.tries.iter().for_each(|t| by_flow[t.flow].push(t));
    let (mut times, mut worth) = (histogram(), (0.0, 0.0));
    let (mut classes, mut tenants) = (Parts::default(), Parts::default());
    for (flow, arrival) in schedule.arrivals.iter().enumerate() {
        if unasked.contains(&flow) {
            out.flows.unasked += 1;
            continue;
        }
        let one = ended(schedule, &by_flow[flow], simulation.day_at(arrival.at), flow);
        worth = (worth.0 + arrival.worth, worth.1 + one.earned(arrival));
        out.flows.add(&one);
        series.add_flow(arrival, &one);
        one.micros().into_iter().for_each(|time| times.saturating_record(time));
        classes.add(&schedule.class(arrival).name, arrival, &one);
        if !arrival.over_share {
            tenants.add(&schedule.day.tenants[arrival.tenant].name, arrival, &one);
        }
    }
    (out.classes, out.tenants) = (classes.finish(), tenants.finish());
    (out.worst_class, out.worst_tenant) = (worst(&out.classes), worst(&out.tenants));
    out.service = share(worth.1, worth.0);
    out.latency = Latency::of(&times);
}

fn servers<F: Fabric>(simulation: &Simulation<F>, accounting: &RequestAccounting) -> Servers {
    let (members, samples) = (simulation.members(), simulation.samples.borrow());
    let probes: u64 = accounting.probes.values().sum();
    let connections: u64 = accounting.connections.values().sum();
    Servers {
        probes_per_s: ratio(probes as f64, members.len() as f64 * simulation.plan.day.length_s),
        connections_per_try: ratio(connections as f64, accounting.tries.len() as f64),
        chokes: members.iter().map(|m| m.model.borrow().chokes).sum(),
        idle_share: ratio(samples.iter().map(|s| s.idle).sum(), samples.len() as f64),
        calls: accounting.calls,
    }
}

/// The set of rules that were broken.
pub fn broken(outcome: &Outcome) -> BTreeSet<Rule> {
    outcome.violations.iter().map(|v| v.rule).collect()
}
