//! What came of a day: `result.json`, and the series by second.

use crate::fabric::Fabric;
use crate::ledger::{AttemptEnd, Ledger, Regret, Rule, Try, TryEnd, Violation};
use crate::plan::Plan;
use crate::world::{Sample, World};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The window that the worst is looked for in (s), and the least worth that counts as one.
const WINDOW: usize = 10;

/// Counts of flows; every arrival is one of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Flows {
    /// Arrivals whose application ran.
    pub asked: u64,
    /// Arrivals whose application was down.
    pub unasked: u64,
    /// Taken by a sidecar, in one try at least.
    pub taken: u64,
    /// Served within the class's aim, counted from the first try.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Refused in the last try.
    pub refused: u64,
    /// Failed in the last try, or without an answer.
    pub failed: u64,
}

/// A share of the traffic: a class, or a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Worth answered within the aim over the worth asked for.
    pub service: f64,
    /// Counts.
    pub flows: Flows,
    /// Time from the first try to the answer (ms).
    pub latency: Latency,
    #[serde(skip)]
    worth: (f64, f64),
}

/// Percentiles (ms) of the time from the first try to the answer of flows that were served at all.
/// Arrivals do not wait for answers, so nothing is omitted while a server stalls.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Half are faster.
    pub p50: f64,
    /// Nine in ten are faster.
    pub p90: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
    /// 999 in 1000 are faster.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

/// What came of tries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tries {
    /// Sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed with an answer.
    pub failed: u64,
    /// Ended without an answer.
    pub nothing: u64,
    /// No connection came up.
    pub no_connection: u64,
    /// In hand at a sidecar that was killed.
    pub excused: u64,
}

/// Refused tries, and which of them are to be regretted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Refusals {
    /// Refused of all tries.
    pub tries_share: f64,
    /// Of the refused: those that a server in service would have answered in time.
    pub regretted_share: f64,
    /// By what the tries had behind them, and by what the emulator knew at that moment.
    pub by_cause: BTreeMap<String, u64>,
    /// By time from the try's begin to the refusal.
    pub by_wait: BTreeMap<String, u64>,
}

/// What came of attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Attempts {
    /// Attempts that came whole to a server.
    pub sent: u64,
    /// By end.
    pub by_end: BTreeMap<String, u64>,
    /// Sent while an earlier one was out.
    pub second_copies: u64,
    /// Most for one request.
    pub most: usize,
    /// Work sent that brought no answer, of all that was sent.
    pub wasted_share: f64,
    /// Sent to another zone, of all.
    pub crossed_share: f64,
}

/// What the servers went through.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Servers {
    /// Probes for each server and second.
    pub probes_per_s: f64,
    /// Connections opened for each try.
    pub connections_per_try: f64,
    /// How often servers turned slow.
    pub chokes: u64,
    /// Share of the cores in service that was idle, as a mean over the day.
    pub idle_share: f64,
    /// Calls answered by discovery, and those that failed.
    pub calls: (u64, u64),
}

/// What came of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The day.
    pub day: String,
    /// Who decided.
    pub strategy: String,
    /// The seed.
    pub seed: u64,
    /// Worth answered within its aim over worth asked for; retries belong to their first try.
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
    /// Most descriptors that a sidecar held.
    pub descriptors: usize,
    /// Bad requests sent, and those answered by an error or a close in time.
    pub bad: (u64, u64),
    /// Spoilt answers by kind.
    pub spoilt: BTreeMap<String, u64>,
    /// Broken rules by name.
    pub violation_counts: BTreeMap<String, u64>,
    /// Broken rules; the first of them, if there are many.
    pub violations: Vec<Violation>,
}

/// One second of the day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Which.
    pub second: usize,
    /// Worth asked for.
    pub worth: f64,
    /// Worth answered within its aim, by the second of the first try.
    pub served: f64,
    /// Tries sent and refused in it.
    pub tries: u64,
    /// Refused tries.
    pub refused: u64,
    /// Latency of flows that began in it (ms): half, and 99 in 100, are faster.
    pub p50: f64,
    /// See above.
    pub p99: f64,
    /// The fleet.
    pub fleet: Sample,
}

fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// A part of something; `empty` where there is nothing to be a part of.
fn part(part: f64, of: f64, empty: f64) -> f64 {
    if of > 0.0 {
        round(part / of)
    } else {
        empty
    }
}

/// Worth earned of the worth asked for; nothing asked for is nothing lost.
fn share(earned: f64, asked: f64) -> f64 {
    part(earned, asked, 1.0)
}

fn ratio(some: f64, of: f64) -> f64 {
    part(some, of, 0.0)
}

/// A histogram of times in microseconds, up to a minute, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl Latency {
    fn of(times: &Histogram<u64>) -> Latency {
        let at = |q: f64| round(times.value_at_quantile(q) as f64 / 1e3);
        if times.is_empty() {
            return Latency::default();
        }
        Latency {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: round(times.max() as f64 / 1e3),
        }
    }
}

/// A flow with its end.
struct Ended {
    served_at: Option<f64>,
    in_time: bool,
    last: TryEnd,
    taken: bool,
}

fn ended(plan: &Plan, tries: &[&Try], arrived: f64, flow: usize) -> Ended {
    let aim = plan.class(&plan.arrivals[flow]).aim_ms;
    let served_at = tries.iter().find(|t| t.end == TryEnd::Served).map(|t| t.ended - arrived);
    Ended {
        served_at,
        in_time: served_at.is_some_and(|at| at <= aim),
        last: tries.last().map_or(TryEnd::Nothing, |t| t.end),
        taken: tries.iter().any(|t| t.taken),
    }
}

impl Flows {
    fn add(&mut self, one: &Ended) {
        self.asked += 1;
        self.taken += u64::from(one.taken);
        match (one.in_time, one.served_at, one.last) {
            (true, ..) => self.served += 1,
            (false, Some(_), _) => self.late += 1,
            (_, _, TryEnd::Refused(_)) => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

/// What a refused try had behind it, as the servers saw it.
fn behind(one: &Try) -> &'static str {
    match one.attempts.last().map(|a| a.end) {
        None => "at_once",
        Some(AttemptEnd::Full) => "after_full",
        Some(AttemptEnd::Draining | AttemptEnd::Crowded) => "after_turned_away",
        Some(AttemptEnd::Error) => "after_error",
        Some(AttemptEnd::Spoilt) => "after_spoilt",
        Some(AttemptEnd::Cut) => "after_cut",
        Some(AttemptEnd::HungUp) => "after_time_out",
        Some(AttemptEnd::Open | AttemptEnd::Served) => "after_running",
    }
}

fn refusals(tries: &[Try]) -> Refusals {
    let mut by = Refusals::default();
    let (mut refused, mut regretted) = (0.0, 0.0);
    for one in tries {
        let (TryEnd::Refused(_), Some(regret)) = (one.end, one.regret) else { continue };
        refused += 1.0;
        let (word, regrets) = match regret {
            Regret::CoreIdle => ("core_idle", true),
            Regret::WouldFit => ("would_fit", true),
            Regret::Full => ("full", false),
            Regret::Nobody => ("nobody", false),
        };
        regretted += f64::from(u8::from(regrets));
        *by.by_cause.entry(format!("{}.{word}", behind(one))).or_default() += 1;
        let wait = match one.ended - one.sent {
            w if w < 10.0 => "under_10_ms",
            w if w < 100.0 => "under_100_ms",
            w if w < 400.0 => "under_400_ms",
            _ => "longer",
        };
        *by.by_wait.entry(wait.into()).or_default() += 1;
    }
    by.tries_share = ratio(refused, tries.len() as f64);
    by.regretted_share = ratio(regretted, refused);
    by
}

fn attempts(ledger: &Ledger) -> Attempts {
    let (mut all, mut ends) = (Attempts::default(), BTreeMap::<AttemptEnd, u64>::new());
    for one in &ledger.tries {
        all.most = all.most.max(one.attempts.len());
        for attempt in &one.attempts {
            all.sent += 1;
            all.second_copies += u64::from(attempt.second_copy);
            *ends.entry(attempt.end).or_default() += 1;
        }
    }
    let named = |end: AttemptEnd| serde_json::to_value(end).ok()?.as_str().map(str::to_owned);
    all.by_end = ends.into_iter().filter_map(|(end, count)| Some((named(end)?, count))).collect();
    all.wasted_share = ratio(ledger.work.1, ledger.work.0);
    all.crossed_share = ratio(ledger.crossed as f64, all.sent as f64);
    all
}

/// What came of a day that was played.
pub fn outcome<F: Fabric>(world: &World<F>, strategy: &str) -> (Outcome, Vec<Second>) {
    let (plan, ledger) = (&world.plan, world.ledger.borrow());
    let unasked = world.unasked.borrow();
    let samples = world.samples.borrow();
    let mut by_flow: Vec<Vec<&Try>> = vec![Vec::new(); plan.arrivals.len()];
    ledger.tries.iter().for_each(|t| by_flow[t.flow].push(t));
    let seconds = plan.day.length_s.ceil() as usize;
    let mut series: Vec<Second> = (0..seconds).map(|second| Second { second, ..Second::default() }).collect();
    let mut by_second: Vec<Histogram<u64>> = (0..seconds).map(|_| histogram()).collect();
    let mut out = Outcome {
        day: plan.day.name.clone(),
        strategy: strategy.into(),
        seed: plan.seed,
        ..Outcome::default()
    };
    let (mut all, mut worth) = (histogram(), (0.0, 0.0));
    let mut part_times: BTreeMap<(bool, String), Histogram<u64>> = BTreeMap::new();
    for (flow, arrival) in plan.arrivals.iter().enumerate() {
        if unasked.contains(&flow) {
            out.flows.unasked += 1;
            continue;
        }
        let arrived = world.day_at(arrival.at);
        let one = ended(plan, &by_flow[flow], arrived, flow);
        let earned = if one.in_time { arrival.worth } else { 0.0 };
        worth = (worth.0 + arrival.worth, worth.1 + earned);
        let second = ((arrival.at / 1e3) as usize).min(seconds - 1);
        series[second].worth += arrival.worth;
        series[second].served += earned;
        out.flows.add(&one);
        let time = one.served_at.map(|at| (at.max(0.001) * 1e3) as u64);
        if let Some(time) = time {
            all.saturating_record(time);
            by_second[second].saturating_record(time);
        }
        let class = plan.class(arrival).name.clone();
        let tenant = plan.day.tenants[arrival.tenant].name.clone();
        for (of_class, name) in [(true, class), (false, tenant)] {
            if !of_class && arrival.over_share {
                continue;
            }
            let parts = if of_class { &mut out.classes } else { &mut out.tenants };
            let part = parts.entry(name.clone()).or_default();
            part.flows.add(&one);
            part.worth = (part.worth.0 + arrival.worth, part.worth.1 + earned);
            let times = part_times.entry((of_class, name)).or_insert_with(histogram);
            time.into_iter().for_each(|t| times.saturating_record(t));
        }
    }
    for ((of_class, name), times) in &part_times {
        let parts = if *of_class { &mut out.classes } else { &mut out.tenants };
        if let Some(part) = parts.get_mut(name) {
            part.latency = Latency::of(times);
            part.service = share(part.worth.1, part.worth.0);
        }
    }
    let worst = |parts: &BTreeMap<String, Part>| parts.values().map(|p| p.service).fold(1.0, f64::min);
    (out.worst_class, out.worst_tenant) = (worst(&out.classes), worst(&out.tenants));
    out.service = share(worth.1, worth.0);
    let windows = series.windows(WINDOW.min(seconds)).map(|w| {
        let sum = |f: fn(&Second) -> f64| w.iter().map(f).sum::<f64>();
        share(sum(|s| s.served), sum(|s| s.worth))
    });
    out.worst_window = windows.fold(1.0, f64::min);
    out.latency = Latency::of(&all);
    for one in &ledger.tries {
        let second = ((one.sent - world.day_start()) / 1e3).max(0.0) as usize;
        let second = second.min(seconds - 1);
        series[second].tries += 1;
        out.tries.sent += 1;
        match one.end {
            TryEnd::Served => out.tries.served += 1,
            TryEnd::Refused(_) => {
                out.tries.refused += 1;
                series[second].refused += 1;
            }
            TryEnd::Failed(_) => out.tries.failed += 1,
            TryEnd::NoConnection => out.tries.no_connection += 1,
            TryEnd::Nothing | TryEnd::Open => out.tries.nothing += 1,
            TryEnd::Excused => out.tries.excused += 1,
        }
    }
    for (second, times) in series.iter_mut().zip(&by_second) {
        let latency = Latency::of(times);
        (second.p50, second.p99) = (latency.p50, latency.p99);
        (second.worth, second.served) = (round(second.worth), round(second.served));
        if let Some(sample) = samples.get(second.second) {
            second.fleet = sample.clone();
            (second.fleet.capacity, second.fleet.idle) = (round(sample.capacity), round(sample.idle));
        }
    }
    out.refusals = refusals(&ledger.tries);
    out.attempts = attempts(&ledger);
    let members = world.members();
    let probes: u64 = ledger.probes.values().sum();
    let connections: u64 = ledger.connections.values().sum();
    out.servers = Servers {
        probes_per_s: ratio(probes as f64, members.len() as f64 * plan.day.length_s),
        connections_per_try: ratio(connections as f64, ledger.tries.len() as f64),
        chokes: members.iter().map(|m| m.model.borrow().chokes).sum(),
        idle_share: ratio(samples.iter().map(|s| s.idle).sum(), samples.len() as f64),
        calls: ledger.calls,
    };
    out.descriptors = ledger.descriptors.values().copied().max().unwrap_or(0);
    (out.bad, out.spoilt) = (ledger.bad, ledger.spoilt.clone());
    out.violation_counts = ledger.counts.iter().map(|(rule, n)| (rule.to_string(), *n)).collect();
    out.violations = ledger.violations.clone();
    for violation in &mut out.violations {
        violation.at = round(violation.at);
    }
    (out, series)
}

/// The rules that were broken, each once.
pub fn broken(outcome: &Outcome) -> BTreeSet<Rule> {
    outcome.violations.iter().map(|v| v.rule).collect()
}
