//! The cost of one request in the decision module, by the number of endpoints known and the number of keys.
//!
//! The module is driven directly in virtual time, and each event is timed by the thread's processor clock.
//! Requests arrive as a Poisson process. As the sidecar has one thread, a queue with one server then yields
//! how long each request waits for the module, including the processing of its own events. This delay is
//! computed from measured costs; it holds on a core that nothing else uses.

use crate::error::{check_range, Error, Result};
use crate::fit::{least_squares, power_law_exponent};
use crate::quantiles::{evenly_spaced_points, Quantiles, TimeHistogram};
use crate::report::{Report, Table};
use crate::usage::thread_cpu_us;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use roseproxy_decision::interface::{
    Action, Class, Event, Load, Micros, Outcome, Request, Server, ServerId, Settings, Update,
};
use roseproxy_decision::policy::Balancer;
use roseproxy_fleet::key_homes::{Candidates, HomeCandidate, KeyHomes};
use serde::Serialize;
use std::collections::BinaryHeap;

/// Virtual time before anything is counted, in which the module learns its keys and endpoints (µs).
const WARM_UP_US: Micros = 15_000_000;
/// Latency goal of the request class (µs).
const LATENCY_GOAL_US: Micros = 600_000;
/// Time after which the client of a request gives up (µs).
const CLIENT_TIMEOUT_US: Micros = 1_500_000;
/// Zipf exponent of the keys' popularity.
const KEY_ZIPF_EXPONENT: f64 = 1.0;
/// Virtual time between two runs, long enough that the homes of keys are filled again (µs).
const REFILL_INTERVAL_US: i64 = 1_500_000;

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Request rates (requests per second).
    pub rates: Vec<f64>,
    /// Numbers of keys; 0 for requests without a key.
    pub keys: Vec<usize>,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
    /// Mean time that an endpoint takes for a request (ms).
    pub service_ms: f64,
    /// Measured virtual time, in seconds.
    pub seconds: u64,
    /// Processor time of a request outside the module, for the computed delay (µs).
    pub other_us: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// One combination of the parameters.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cell {
    /// Number of endpoints known.
    pub endpoints: usize,
    /// Request rate (requests per second).
    pub rate: f64,
    /// Number of keys; 0 for requests without a key.
    pub keys: usize,
}

/// The figures of one cell; times in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct CellResult {
    /// The combination of parameters.
    pub cell: Cell,
    /// Processor time of handling a request's arrival.
    pub decision: Quantiles,
    /// Processor time of handling an answer.
    pub answer: Quantiles,
    /// Computed: the time from a request's arrival to its decision plus the time from its answer to the end
    /// of that event, including the wait for earlier work of the single thread.
    pub delay: Quantiles,
    /// Evenly spaced points of the sorted delays (µs).
    pub distribution: Vec<f64>,
}

/// An answer that is still to come. The earliest is the greatest, so that a max-heap yields it first.
#[derive(PartialEq, Eq)]
struct PendingAnswer {
    at: Micros,
    request: u64,
    server: ServerId,
    sent: Micros,
}

impl Ord for PendingAnswer {
    fn cmp(&self, other: &PendingAnswer) -> std::cmp::Ordering {
        (other.at, other.request).cmp(&(self.at, self.request))
    }
}

impl PartialOrd for PendingAnswer {
    fn partial_cmp(&self, other: &PendingAnswer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The single thread of a sidecar, as a queue with one server.
#[derive(Default)]
struct SidecarThread {
    free_at: f64,
}

impl SidecarThread {
    /// Adds work that arrives at `at` and takes `cost` µs; returns the time from its arrival to its end (µs).
    fn add_work(&mut self, at: Micros, cost: f64) -> f64 {
        self.free_at = self.free_at.max(at as f64) + cost;
        self.free_at - at as f64
    }
}

/// Returns the module's settings for a fleet of this many sidecars.
pub fn module_settings(sidecars: usize, keyed: bool) -> Settings {
    let class = Class {
        latency_goal: LATENCY_GOAL_US,
        client_timeout: CLIENT_TIMEOUT_US,
        worth: 2.0,
        ..Class::default()
    };
    Settings { sidecars, classes: vec![class], warm_keys: keyed, fall_multiple: 4.0, ..Settings::default() }
}

/// Builds a list of `count` servers in the form of the decision module.
pub fn server_list(count: usize) -> Vec<Server> {
    (0..count as u64)
        .map(|n| Server {
            id: ServerId((n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            power: 1.0,
            zone: (n % 8) as u32,
            ..Server::default()
        })
        .collect()
}

/// Measures one combination of the parameters.
pub fn measure_cell(options: &Options, cell: Cell) -> Result<CellResult> {
    let invalid = |name: &'static str, value: f64| Error::Argument {
        name,
        value: value.to_string(),
        expected: "above 0".into(),
    };
    let interval = Exp::new(cell.rate / 1e6).map_err(|_| invalid("rates", cell.rate))?;
    let service =
        Exp::new(1.0 / (options.service_ms * 1e3)).map_err(|_| invalid("service-ms", options.service_ms))?;
    let popularity = Zipf::new(cell.keys.max(1) as f64, KEY_ZIPF_EXPONENT)
        .map_err(|_| invalid("keys", cell.keys as f64))?;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut balancer = Balancer::new(module_settings(options.sidecars, cell.keys > 0), options.seed, 0);
    let (mut actions, mut pending, mut thread) =
        (Vec::new(), BinaryHeap::<PendingAnswer>::new(), SidecarThread::default());
    let list = server_list(cell.endpoints);
    balancer.handle(0, Event::Servers { update: Update::Complete, servers: &list }, &mut actions);
    let (mut decision, mut answer, mut delay) =
        (TimeHistogram::default(), TimeHistogram::default(), TimeHistogram::default());
    let (mut arrival_delays, mut delays) = (std::collections::HashMap::<u64, f64>::new(), Vec::new());
    let end = WARM_UP_US + options.seconds as Micros * 1_000_000;
    let (mut now, mut id) = (0.0_f64, 0_u64);
    loop {
        now += interval.sample(&mut rng);
        let arrival = now as Micros;
        // Handle the answers that come before this request.
        while pending.peek().is_some_and(|d| d.at <= arrival) {
            let Some(PendingAnswer { at, request, server, sent }) = pending.pop() else { break };
            let event = Event::AttemptEnded {
                request,
                attempt: 0,
                server,
                outcome: Outcome::Served,
                elapsed: at - sent,
                finished: true,
                load: Some(Load { in_flight: Some(1.0), ..Load::default() }),
            };
            actions.clear();
            let started = thread_cpu_us();
            balancer.handle(at, event, &mut actions);
            let cost = thread_cpu_us() - started;
            let delay_us = thread.add_work(at, cost + options.other_us / 2.0);
            if let Some(before) = arrival_delays.remove(&request).filter(|_| sent > WARM_UP_US) {
                answer.record(cost);
                delay.record(before + delay_us);
                delays.push(before + delay_us);
            }
        }
        if arrival > end {
            break;
        }
        id += 1;
        let key = (cell.keys > 0).then(|| (popularity.sample(&mut rng) as u64).wrapping_mul(7_919));
        let request = Request { id, key, time_left: CLIENT_TIMEOUT_US, ..Request::default() };
        actions.clear();
        let started = thread_cpu_us();
        balancer.handle(arrival, Event::Request(request), &mut actions);
        let cost = thread_cpu_us() - started;
        let delay_us = thread.add_work(arrival, cost + options.other_us / 2.0);
        if arrival > WARM_UP_US {
            decision.record(cost);
        }
        for action in &actions {
            if let Action::Send { request, server, .. } = action {
                let at = arrival + service.sample(&mut rng) as Micros;
                pending.push(PendingAnswer { at, request: *request, server: *server, sent: arrival });
                arrival_delays.insert(*request, delay_us);
            }
        }
    }
    Ok(CellResult {
        cell,
        decision: decision.quantiles(),
        answer: answer.quantiles(),
        delay: delay.quantiles(),
        distribution: evenly_spaced_points(delays),
    })
}

/// Measures the median processor times (µs) of filling the homes of `keys` keys over `endpoints` endpoints,
/// and of drawing one home once they are filled.
pub fn measure_key_homes(endpoints: usize, keys: usize, sidecars: usize, runs: usize) -> (f64, f64) {
    let list = server_list(endpoints);
    let mut places: Vec<HomeCandidate> = list
        .iter()
        .map(|s| HomeCandidate { id: s.id.0, weight: 1.0, capacity: 1.0, max_share: f64::INFINITY })
        .collect();
    places.sort_unstable_by_key(|p| p.id);
    let fleet = Candidates {
        servers: &places,
        generation: 0,
        visibility: roseproxy_fleet::visibility(sidecars),
        load_bound: 2.0,
    };
    let (mut filled, mut drawn) = (Vec::new(), Vec::new());
    for run in 0..runs.max(1) {
        let mut homes = KeyHomes::default();
        (0..keys as u64).for_each(|key| homes.record_request(key.wrapping_mul(7_919)));
        let at = run as i64 * REFILL_INTERVAL_US;
        for times in [&mut filled, &mut drawn] {
            let started = thread_cpu_us();
            std::hint::black_box(homes.choose_home(7_919, fleet, at, 0.5));
            times.push(thread_cpu_us() - started);
        }
    }
    let median = |times: &[f64]| crate::fit::median(times).unwrap_or(f64::NAN);
    (median(&filled), median(&drawn))
}

/// Measures all combinations of the parameters and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("seconds", options.seconds, 1, 600)?;
    check_range("sidecars", options.sidecars, 1, 1_000_000)?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 10_000).map(drop))?;
    options.keys.iter().try_for_each(|n| check_range("keys", *n, 0, 1_024).map(drop))?;
    options.rates.iter().try_for_each(|n| check_range("rates", *n, 1.0, 10_000.0).map(drop))?;
    let mut report = Report::start("decisions", options);
    let mut results = Vec::new();
    for &keys in &options.keys {
        for &rate in &options.rates {
            for &endpoints in &options.endpoints {
                results.push(measure_cell(options, Cell { endpoints, rate, keys })?);
            }
        }
    }
    report.tables.push(results_table(&results));
    add_growth_notes(&results, &mut report.notes);
    report.tables.push(key_homes_table(options));
    report.samples = serde_json::to_value(&results).unwrap_or_default();
    Ok(report.finish())
}

fn results_table(results: &[CellResult]) -> Table {
    let mut table = Table::new(
        "Processor time of the decision module, and the delay computed from it (µs)",
        &[
            "keys",
            "requests/s",
            "endpoints",
            "requests",
            "decision p50",
            "p99",
            "p99.9",
            "max",
            "answer p50",
            "mean of both",
            "delay p50",
            "p99",
            "p99.9",
            "max",
        ],
    );
    for CellResult { cell, decision, answer, delay, .. } in results {
        let figures = [
            decision.p50,
            decision.p99,
            decision.p999,
            decision.max,
            answer.p50,
            decision.mean + answer.mean,
            delay.p50,
            delay.p99,
            delay.p999,
            delay.max,
        ];
        let head = [
            cell.keys.to_string(),
            format!("{:.0}", cell.rate),
            cell.endpoints.to_string(),
            decision.count.to_string(),
        ];
        table.add_row(head.into_iter().chain(figures.map(|f| format!("{f:.0}"))));
    }
    table
}

/// Adds notes on how the median decision time grows with the number of endpoints, for each rate and number
/// of keys.
fn add_growth_notes(results: &[CellResult], notes: &mut Vec<String>) {
    let mut groups = std::collections::BTreeMap::<(usize, u64), Vec<(f64, f64)>>::new();
    for result in results {
        let group = groups.entry((result.cell.keys, result.cell.rate as u64)).or_default();
        group.push((result.cell.endpoints as f64, result.decision.p50));
    }
    for ((keys, rate), points) in groups {
        if let (Some(line), Some(power)) = (least_squares(&points), power_law_exponent(&points)) {
            notes.push(format!(
                "decision p50, {keys} keys, {rate} requests/s: {:.1} + {:.4} µs for each endpoint, exponent {power:.2}",
                line.intercept, line.slope
            ));
        }
    }
}

fn key_homes_table(options: &Options) -> Table {
    const RUNS: usize = 15;
    let mut table = Table::new(
        "Key affinity alone: filling the homes of all keys, and drawing one (µs of processor time, middle of 15)",
        &["endpoints", "keys", "fill", "draw", "fill for each key and endpoint (ns)"],
    );
    for &endpoints in &options.endpoints {
        for keys in [66, 329, 512] {
            let (filled, drawn) = measure_key_homes(endpoints, keys, options.sidecars, RUNS);
            table.add_row([
                endpoints.to_string(),
                keys.to_string(),
                format!("{filled:.0}"),
                format!("{drawn:.2}"),
                format!("{:.1}", filled * 1e3 / (keys * endpoints) as f64),
            ]);
        }
    }
    table
}
