//! The outcome of a simulation: the contents of `result.json` and the series by second.

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
use flows::{flow_end, worst_service, Parts};
use numbers::{histogram, ratio, round, share};
use serde::Serialize;
use series::Series;
use std::collections::{BTreeMap, BTreeSet};

/// Counts of tries by their end.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tries {
    /// All tries.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Rejected.
    pub refused: u64,
    /// Failed with an error response.
    pub failed: u64,
    /// Ended without a response.
    pub nothing: u64,
    /// No connection could be used.
    pub no_connection: u64,
    /// In flight when the sidecar was killed or its application stopped.
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
    /// Discovery calls that were answered, and those that failed.
    pub calls: (u64, u64),
}

/// The outcome of a simulation. The field names are keys of `result.json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The name of the scenario.
    pub day: String,
    /// The name of the balancing strategy.
    pub strategy: String,
    /// The seed.
    pub seed: u64,
    /// Share of the requested worth that was served within the latency goal of its class, counted from the
    /// arrival.
    pub service: f64,
    /// The same in the worst window of ten seconds.
    pub worst_window: f64,
    /// The same for the worst class.
    pub worst_class: f64,
    /// The same for the worst tenant, without the traffic beyond its quota.
    pub worst_tenant: f64,
    /// Counts of flows.
    pub flows: Flows,
    /// Counts of tries.
    pub tries: Tries,
    /// Rejected tries.
    pub refusals: Refusals,
    /// Counts of attempts.
    pub attempts: Attempts,
    /// Time from the arrival to the response (ms).
    pub latency: Latency,
    /// Outcomes by class.
    pub classes: BTreeMap<String, Part>,
    /// Outcomes by tenant, without the traffic beyond its quota.
    pub tenants: BTreeMap<String, Part>,
    /// Figures of the servers and of discovery.
    pub servers: Servers,
    /// Maximum number of open descriptors of a sidecar.
    pub descriptors: usize,
    /// Malformed requests sent, and those answered with an error or a close within the time limit.
    pub bad: (u64, u64),
    /// Corrupted responses by kind.
    pub spoilt: BTreeMap<String, u64>,
    /// Counts of violations by rule.
    pub violation_counts: BTreeMap<String, u64>,
    /// The violations; only the first 200 if there are more.
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

/// Computes the outcome of a simulation that has been run and its series by second.
pub fn outcome<F: Fabric>(simulation: &Simulation<F>, strategy: &str) -> (Outcome, Vec<Second>) {
    let (schedule, accounting) = (&simulation.schedule, simulation.environment.accounting.borrow());
    let mut series = Series::new(schedule.scenario.length_s.ceil() as usize);
    let mut outcome = Outcome {
        day: schedule.scenario.name.clone(),
        strategy: strategy.into(),
        seed: schedule.seed,
        ..Outcome::default()
    };
    count_flows(simulation, &accounting, &mut outcome, &mut series);
    for record in &accounting.tries {
        series.add_try(record.sent - simulation.scenario_start(), record.end);
        outcome.tries.add(record.end);
    }
    outcome.worst_window = series.worst_window();
    outcome.refusals = refusals(&accounting.tries);
    outcome.attempts = attempts(&accounting);
    outcome.servers = server_figures(simulation, &accounting);
    outcome.descriptors = accounting.most_descriptors.values().copied().max().unwrap_or(0);
    (outcome.bad, outcome.spoilt) =
        ((accounting.malformed_sent, accounting.malformed_rejected), accounting.corrupted_answers.clone());
    outcome.violation_counts =
        accounting.violation_counts.iter().map(|(rule, n)| (rule.to_string(), *n)).collect();
    outcome.violations = accounting.violations.clone();
    for violation in &mut outcome.violations {
        violation.at = round(violation.at);
    }
    (outcome, series.finish(&simulation.samples.borrow()))
}

/// Counts every flow: in total, by second, by class and by tenant.
fn count_flows<F: Fabric>(
    simulation: &Simulation<F>,
    accounting: &RequestAccounting,
    outcome: &mut Outcome,
    series: &mut Series,
) {
    let (schedule, unsent) = (&simulation.schedule, simulation.clients.unsent());
    let mut by_flow: Vec<Vec<&Try>> = vec![Vec::new(); schedule.arrivals.len()];
    accounting.tries.iter().for_each(|t| by_flow[t.flow].push(t));
    let (mut latencies, mut worth) = (histogram(), (0.0, 0.0));
    let (mut classes, mut tenants) = (Parts::default(), Parts::default());
    for (flow, arrival) in schedule.arrivals.iter().enumerate() {
        if unsent.contains(&flow) {
            outcome.flows.unasked += 1;
            continue;
        }
        let end = flow_end(schedule, &by_flow[flow], simulation.simulation_time(arrival.at), flow);
        worth = (worth.0 + arrival.worth, worth.1 + end.earned(arrival));
        outcome.flows.add(&end);
        series.add_flow(arrival, &end);
        end.latency_us().into_iter().for_each(|time| latencies.saturating_record(time));
        classes.add(&schedule.class(arrival).name, arrival, &end);
        if !arrival.over_share {
            tenants.add(&schedule.scenario.tenants[arrival.tenant].name, arrival, &end);
        }
    }
    (outcome.classes, outcome.tenants) = (classes.finish(), tenants.finish());
    (outcome.worst_class, outcome.worst_tenant) =
        (worst_service(&outcome.classes), worst_service(&outcome.tenants));
    outcome.service = share(worth.1, worth.0);
    outcome.latency = Latency::from_histogram(&latencies);
}

fn server_figures<F: Fabric>(simulation: &Simulation<F>, accounting: &RequestAccounting) -> Servers {
    let (members, samples) = (simulation.members(), simulation.samples.borrow());
    let probes: u64 = accounting.probes.values().sum();
    let connections: u64 = accounting.connections.values().sum();
    Servers {
        probes_per_s: ratio(probes as f64, members.len() as f64 * simulation.schedule.scenario.length_s),
        connections_per_try: ratio(connections as f64, accounting.tries.len() as f64),
        chokes: members.iter().map(|m| m.model.borrow().degradations).sum(),
        idle_share: ratio(samples.iter().map(|s| s.idle).sum(), samples.len() as f64),
        calls: (accounting.calls_answered, accounting.calls_failed),
    }
}

/// The rules that were violated.
pub fn broken_rules(outcome: &Outcome) -> BTreeSet<Rule> {
    outcome.violations.iter().map(|v| v.rule).collect()
}
