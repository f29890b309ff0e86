//! What one request costs in the decision module, by the number of endpoints known and of keys.
//!
//! The module is driven directly in virtual time, and each event is timed by the thread's processor
//! clock. Requests arrive at random (Poisson); a queue with one server, as the sidecar has one
//! thread, then tells how long each request waits for the module, its own events included. That
//! delay is computed from measured costs: it holds on a core that nothing else uses.

use crate::cost::thread_micros;
use crate::error::{within, Error, Result};
use crate::fit::{exponent, least_squares};
use crate::quantiles::{thinned, Quantiles, Times};
use crate::report::{Report, Table};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use roseproxy_decision::interface::{
    Action, Class, Event, Load, Micros, Outcome, Request, Server, ServerId, Settings, Update,
};
use roseproxy_decision::policy::Balancer;
use roseproxy_fleet::homes::{Fleet, Homes, Place};
use serde::Serialize;
use std::collections::BinaryHeap;

/// Time that the module gets to know its keys and endpoints before anything is counted (µs).
const WARM_UP: Micros = 15_000_000;
/// A request's class: its aim and when its client gives up (µs).
const AIM: Micros = 600_000;
const GIVE_UP: Micros = 1_500_000;
/// Zipf exponent of the keys' popularity.
const POPULARITY: f64 = 1.0;
/// A time after the last one at which homes were filled, so that they are filled again (µs).
const FILL_AGAIN: i64 = 1_500_000;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Requests a second.
    pub rates: Vec<f64>,
    /// Numbers of keys; 0 for requests without.
    pub keys: Vec<usize>,
    /// Sidecars in the fleet.
    pub sidecars: usize,
    /// Mean time that an endpoint takes (ms).
    pub service_ms: f64,
    /// Virtual seconds counted.
    pub seconds: u64,
    /// Processor time that each request costs outside the module, for the computed delay (µs).
    pub other_us: f64,
    /// For random numbers.
    pub seed: u64,
}

/// One cell of the measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cell {
    /// Endpoints known.
    pub endpoints: usize,
    /// Requests a second.
    pub rate: f64,
    /// Keys; 0 for requests without.
    pub keys: usize,
}

/// What a cell brought; times in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Outcomes {
    /// The cell.
    pub cell: Cell,
    /// Processor time of the event of a request.
    pub decision: Quantiles,
    /// Processor time of the event of an answer.
    pub answer: Quantiles,
    /// Computed: from a request's arrival to its decision and from its answer to the end of that
    /// event, behind whatever the one thread does first.
    pub delay: Quantiles,
    /// Points of the delays' distribution, evenly spaced in order (µs).
    pub distribution: Vec<f64>,
}

/// An answer that is still to come; the earliest is the greatest.
#[derive(PartialEq, Eq)]
struct Due {
    at: Micros,
    request: u64,
    server: ServerId,
    sent: Micros,
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (other.at, other.request).cmp(&(self.at, self.request))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The one thread of a sidecar: what comes while it works waits.
#[derive(Default)]
struct Thread {
    free_at: f64,
}

impl Thread {
    /// Work that arrives at a time and takes so long; returns the time from arrival to its end (µs).
    fn work(&mut self, at: Micros, cost: f64) -> f64 {
        self.free_at = self.free_at.max(at as f64) + cost;
        self.free_at - at as f64
    }
}

/// Settings of the module for such a fleet.
pub fn settings(sidecars: usize, keyed: bool) -> Settings {
    let class = Class { latency_goal: AIM, client_timeout: GIVE_UP, worth: 2.0, ..Class::default() };
    Settings { sidecars, classes: vec![class], warm_keys: keyed, fall_multiple: 4.0, ..Settings::default() }
}

/// Entries of a list as the module takes them.
pub fn servers(count: usize) -> Vec<Server> {
    (0..count as u64)
        .map(|n| Server {
            id: ServerId((n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            power: 1.0,
            zone: (n % 8) as u32,
            ..Server::default()
        })
        .collect()
}

/// Measures one cell.
pub fn play(options: &Options, cell: Cell) -> Result<Outcomes> {
    let bad = |name: &'static str, value: f64| Error::Argument {
        name,
        value: value.to_string(),
        wanted: "above 0".into(),
    };
    let gap = Exp::new(cell.rate / 1e6).map_err(|_| bad("rates", cell.rate))?;
    let service =
        Exp::new(1.0 / (options.service_ms * 1e3)).map_err(|_| bad("service-ms", options.service_ms))?;
    let popularity =
        Zipf::new(cell.keys.max(1) as f64, POPULARITY).map_err(|_| bad("keys", cell.keys as f64))?;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut balancer = Balancer::new(settings(options.sidecars, cell.keys > 0), options.seed, 0);
    let (mut actions, mut due, mut thread) = (Vec::new(), BinaryHeap::<Due>::new(), Thread::default());
    let list = servers(cell.endpoints);
    balancer.handle(0, Event::Servers { update: Update::Complete, servers: &list }, &mut actions);
    let (mut decision, mut answer, mut delay) = (Times::default(), Times::default(), Times::default());
    let (mut waited, mut delays) = (std::collections::HashMap::<u64, f64>::new(), Vec::new());
    let end = WARM_UP + options.seconds as Micros * 1_000_000;
    let (mut now, mut id) = (0.0_f64, 0_u64);
    loop {
        now += gap.sample(&mut rng);
        let arrival = now as Micros;
        // Answers that come before this request.
        while due.peek().is_some_and(|d| d.at <= arrival) {
            let Some(Due { at, request, server, sent }) = due.pop() else { break };
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
            let begun = thread_micros();
            balancer.handle(at, event, &mut actions);
            let cost = thread_micros() - begun;
            let wait = thread.work(at, cost + options.other_us / 2.0);
            if let Some(before) = waited.remove(&request).filter(|_| sent > WARM_UP) {
                answer.add(cost);
                delay.add(before + wait);
                delays.push(before + wait);
            }
        }
        if arrival > end {
            break;
        }
        id += 1;
        let key = (cell.keys > 0).then(|| (popularity.sample(&mut rng) as u64).wrapping_mul(7_919));
        let request = Request { id, key, time_left: GIVE_UP, ..Request::default() };
        actions.clear();
        let begun = thread_micros();
        balancer.handle(arrival, Event::Request(request), &mut actions);
        let cost = thread_micros() - begun;
        let wait = thread.work(arrival, cost + options.other_us / 2.0);
        if arrival > WARM_UP {
            decision.add(cost);
        }
        for action in &actions {
            if let Action::Send { request, server, .. } = action {
                let at = arrival + service.sample(&mut rng) as Micros;
                due.push(Due { at, request: *request, server: *server, sent: arrival });
                waited.insert(*request, wait);
            }
        }
    }
    Ok(Outcomes {
        cell,
        decision: decision.quantiles(),
        answer: answer.quantiles(),
        delay: delay.quantiles(),
        distribution: thinned(delays),
    })
}

/// Processor time (µs) of filling the homes of so many keys over so many endpoints, the middle of
/// `runs`; and of drawing one home when they are filled.
pub fn homes(endpoints: usize, keys: usize, sidecars: usize, runs: usize) -> (f64, f64) {
    let list = servers(endpoints);
    let mut places: Vec<Place> =
        list.iter().map(|s| Place { id: s.id.0, weight: 1.0, capacity: 1.0, most: f64::INFINITY }).collect();
    places.sort_unstable_by_key(|p| p.id);
    let fleet = Fleet { places: &places, generation: 0, sight: roseproxy_fleet::sight(sidecars), bound: 2.0 };
    let (mut filled, mut drawn) = (Vec::new(), Vec::new());
    for run in 0..runs.max(1) {
        let mut homes = Homes::default();
        (0..keys as u64).for_each(|key| homes.saw(key.wrapping_mul(7_919)));
        let at = run as i64 * FILL_AGAIN;
        for times in [&mut filled, &mut drawn] {
            let begun = thread_micros();
            std::hint::black_box(homes.home(7_919, fleet, at, 0.5));
            times.push(thread_micros() - begun);
        }
    }
    let middle = |times: &[f64]| crate::fit::median(times).unwrap_or(f64::NAN);
    (middle(&filled), middle(&drawn))
}

/// Measures all cells.
pub fn measure(options: &Options) -> Result<Report> {
    within("seconds", options.seconds, 1, 600)?;
    within("sidecars", options.sidecars, 1, 1_000_000)?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 10_000).map(drop))?;
    options.keys.iter().try_for_each(|n| within("keys", *n, 0, 1_024).map(drop))?;
    options.rates.iter().try_for_each(|n| within("rates", *n, 1.0, 10_000.0).map(drop))?;
    let mut report = Report::begin("decisions", options);
    let mut outcomes = Vec::new();
    for &keys in &options.keys {
        for &rate in &options.rates {
            for &endpoints in &options.endpoints {
                outcomes.push(play(options, Cell { endpoints, rate, keys })?);
            }
        }
    }
    report.tables.push(cells(&outcomes));
    growth(&outcomes, &mut report.notes);
    report.tables.push(homes_table(options));
    report.samples = serde_json::to_value(&outcomes).unwrap_or_default();
    Ok(report.end())
}

fn cells(outcomes: &[Outcomes]) -> Table {
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
    for Outcomes { cell, decision, answer, delay, .. } in outcomes {
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
        table.row(head.into_iter().chain(figures.map(|f| format!("{f:.0}"))));
    }
    table
}

/// How the middle decision grows with the endpoints, for each rate and number of keys.
fn growth(outcomes: &[Outcomes], notes: &mut Vec<String>) {
    let mut groups = std::collections::BTreeMap::<(usize, u64), Vec<(f64, f64)>>::new();
    for o in outcomes {
        let group = groups.entry((o.cell.keys, o.cell.rate as u64)).or_default();
        group.push((o.cell.endpoints as f64, o.decision.p50));
    }
    for ((keys, rate), points) in groups {
        if let (Some(line), Some(power)) = (least_squares(&points), exponent(&points)) {
            notes.push(format!(
                "decision p50, {keys} keys, {rate} requests/s: {:.1} + {:.4} µs for each endpoint, exponent {power:.2}",
                line.intercept, line.slope
            ));
        }
    }
}

fn homes_table(options: &Options) -> Table {
    const RUNS: usize = 15;
    let mut table = Table::new(
        "Key affinity alone: filling the homes of all keys, and drawing one (µs of processor time, middle of 15)",
        &["endpoints", "keys", "fill", "draw", "fill for each key and endpoint (ns)"],
    );
    for &endpoints in &options.endpoints {
        for keys in [66, 329, 512] {
            let (filled, drawn) = homes(endpoints, keys, options.sidecars, RUNS);
            table.row([
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
