//! Computed, not measured: how many attempts reach the last layer of a chain of calls for each
//! request that enters the first.
//!
//! The rule is that of the decision module (`COPIES`, `on_request` and `on_ended` in its
//! `policy.rs`): each request earns a part of a repeat, a few can be saved up, a repeat costs the
//! part of the usual time that the attempt before it took, and one repeat is free where the first
//! attempt never ran. [`one_layer`] drives the module itself, to check the rule as it is written here.

use crate::decisions::{servers, settings};
use crate::error::{within, Result};
use crate::report::{Report, Table};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use roseproxy_decision::interface::{Action, Event, Micros, Outcome, Request, RequestId, ServerId, Update};
use roseproxy_decision::policy::Balancer;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Repeats that each request earns.
pub const EARNED: f64 = 0.15;
/// Repeats that can be saved up.
pub const SAVED: f64 = 5.0;
/// The least that a repeat costs.
pub const LEAST_PRICE: f64 = 0.25;
/// Attempts of one request that the platform's settings allow.
pub const MOST_ATTEMPTS: usize = 3;
/// Attempts at the last layer after which a computation ends.
const MOST_CALLS: u64 = 20_000_000;

/// What the attempts of one layer look like when they fail.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Failure {
    /// The part of the usual time that a failed attempt takes: what its repeat costs, within bounds.
    pub price: f64,
    /// Whether the last layer's failures are known never to have run.
    pub last_never_ran: bool,
    /// Whether the layers above pass that knowledge on.
    pub passed_on: bool,
}

/// The budget of one sidecar for repeats.
#[derive(Clone, Copy, Debug)]
pub struct Budget(f64);

impl Budget {
    /// A request has come.
    pub fn earn(&mut self) {
        self.0 = (self.0 + EARNED).min(SAVED);
    }

    /// Pays for a repeat, where it can.
    pub fn pay(&mut self, price: f64) -> bool {
        let affords = self.0 >= price;
        if affords {
            self.0 -= price;
        }
        affords
    }
}

/// A chain of layers, each with one sidecar's budget.
#[derive(Debug)]
pub struct Chain {
    budgets: Vec<Budget>,
    failure: Failure,
    /// Share of attempts at the last layer that fail.
    failing: f64,
    rng: ChaCha8Rng,
    /// Attempts at the last layer.
    pub calls: u64,
}

impl Chain {
    /// A chain that has saved up what it can.
    pub fn new(layers: usize, failing: f64, failure: Failure, seed: u64) -> Chain {
        let budgets = vec![Budget(SAVED); layers];
        Chain { budgets, failure, failing, rng: ChaCha8Rng::seed_from_u64(seed), calls: 0 }
    }

    /// One request at a layer, counted from 0 at the top; whether it was served.
    pub fn request(&mut self, layer: usize) -> bool {
        self.budgets[layer].earn();
        let last = layer + 1 == self.budgets.len();
        let never_ran = if last { self.failure.last_never_ran } else { self.failure.passed_on };
        for attempt in 0..MOST_ATTEMPTS {
            let served = if last { self.attempt_last() } else { self.request(layer + 1) };
            if served {
                return true;
            }
            let free = attempt == 0 && never_ran;
            let price = if free { 0.0 } else { self.failure.price.clamp(LEAST_PRICE, 1.0) };
            if self.calls > MOST_CALLS || attempt + 1 == MOST_ATTEMPTS || !self.budgets[layer].pay(price) {
                return false;
            }
        }
        false
    }

    fn attempt_last(&mut self) -> bool {
        self.calls += 1;
        self.rng.random::<f64>() >= self.failing
    }
}

/// Attempts at the last layer for each request at the first, and the share of requests served.
/// The budgets' savings are spent before anything is counted.
pub fn amplification(layers: usize, failing: f64, failure: Failure, requests: usize) -> (f64, f64) {
    let mut chain = Chain::new(layers, failing, failure, 7);
    for _ in 0..requests / 4 {
        chain.request(0);
    }
    let before = chain.calls;
    let (mut sent, mut served) = (0_u64, 0_u64);
    while (sent as usize) < requests && chain.calls < MOST_CALLS {
        served += u64::from(chain.request(0));
        sent += 1;
    }
    ((chain.calls - before) as f64 / sent.max(1) as f64, served as f64 / sent.max(1) as f64)
}

/// Attempts for each request that the decision module itself sends while every attempt ends with
/// this outcome, after so much of the usual time; with the share of requests that it refuses at once.
pub fn one_layer(outcome: Outcome, part: f64, requests: u64) -> (f64, f64) {
    const USUAL: Micros = 20_000;
    const GAP: Micros = 5_900;
    const WARM: u64 = 3_000;
    let list = servers(33);
    let mut balancer = Balancer::new(settings(1_000, false), 7, 0);
    balancer.handle(0, Event::Servers { update: Update::Complete, servers: &list }, &mut Vec::new());
    // Attempts that are out, by when they end; the attempts of each request so far.
    let mut due = BTreeMap::<(Micros, RequestId, usize), ServerId>::new();
    let mut attempts = HashMap::<RequestId, usize>::new();
    let (mut sent, mut refused) = (0_u64, 0_u64);
    for id in 1..=WARM + requests {
        let arrival = id as Micros * GAP;
        let failing = id > WARM;
        let mut actions = Vec::new();
        loop {
            let next = due.first_key_value().map(|(key, server)| (*key, *server));
            let Some(((at, request, attempt), server)) = next.filter(|((at, ..), _)| *at <= arrival) else {
                break;
            };
            due.pop_first();
            let fails = request > WARM;
            let (outcome, elapsed) =
                if fails { (outcome, (USUAL as f64 * part) as Micros) } else { (Outcome::Served, USUAL) };
            let finished = !fails;
            let ended =
                Event::AttemptEnded { request, attempt, server, outcome, elapsed, finished, load: None };
            balancer.handle(at, ended, &mut actions);
            let elapsed = |request| if request > WARM { (USUAL as f64 * part) as Micros } else { USUAL };
            for action in actions.drain(..) {
                if let Action::Send { request, server, .. } = action {
                    let attempt = attempts.entry(request).or_insert(0);
                    due.insert((at + elapsed(request), request, *attempt), server);
                    *attempt += 1;
                    sent += u64::from(request > WARM);
                }
            }
        }
        let request = Request { id, time_left: 1_500_000, ..Request::default() };
        balancer.handle(arrival, Event::Request(request), &mut actions);
        let elapsed = if failing { (USUAL as f64 * part) as Micros } else { USUAL };
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    due.insert((arrival + elapsed, request, 0), server);
                    attempts.insert(request, 1);
                    sent += u64::from(failing);
                }
                Action::Refuse { .. } => refused += u64::from(failing),
                _ => {}
            }
        }
    }
    (sent as f64 / requests as f64, refused as f64 / requests as f64)
}

/// What to compute.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of layers.
    pub depths: Vec<usize>,
    /// Shares of attempts that fail at the last layer.
    pub failing: Vec<f64>,
    /// Requests at the first layer.
    pub requests: usize,
}

/// The ways to fail that are told apart, with their names.
pub const FAILURES: [(&str, Failure); 4] = [
    ("time-outs: a repeat costs 1", Failure { price: 1.0, last_never_ran: false, passed_on: false }),
    ("quick errors: a repeat costs 0.25", Failure { price: 0.0, last_never_ran: false, passed_on: false }),
    (
        "turned away at the last layer (one repeat free), quick errors above",
        Failure { price: 0.0, last_never_ran: true, passed_on: false },
    ),
    (
        "turned away, passed on as such by all layers (one repeat free in each)",
        Failure { price: 0.0, last_never_ran: true, passed_on: true },
    ),
];

/// Computes all combinations.
pub fn measure(options: &Options) -> Result<Report> {
    within("requests", options.requests, 100, 1_000_000)?;
    options.depths.iter().try_for_each(|n| within("depths", *n, 1, 20).map(drop))?;
    options.failing.iter().try_for_each(|n| within("failing", *n, 0.0, 1.0).map(drop))?;
    let mut report = Report::begin("attempts", options);
    let mut table = Table::new(
        "Computed: attempts at the last layer for each request at the first (share served)",
        &["failures", "of attempts at the last layer", "layers", "attempts", "served"],
    );
    for (name, failure) in FAILURES {
        for &failing in &options.failing {
            for &depth in &options.depths {
                let (attempts, served) = amplification(depth, failing, failure, options.requests);
                table.row([
                    name.to_owned(),
                    format!("{failing}"),
                    depth.to_string(),
                    format!("{attempts:.2}"),
                    format!("{served:.3}"),
                ]);
            }
        }
    }
    report.tables.push(table);
    report.tables.push(module_table());
    Ok(report.end())
}

fn module_table() -> Table {
    const REQUESTS: u64 = 5_000;
    let mut table = Table::new(
        "The decision module itself, 33 endpoints, 170 requests/s, every attempt failing",
        &[
            "outcome",
            "after this part of the usual time",
            "attempts a request",
            "refused or failed at arrival",
        ],
    );
    let cases = [
        (Outcome::TimedOut, 20.0),
        (Outcome::Error, 1.0),
        (Outcome::Error, 0.05),
        (Outcome::Rejected, 0.05),
        (Outcome::Unreachable, 0.05),
    ];
    for (outcome, part) in cases {
        let (attempts, refused) = one_layer(outcome, part, REQUESTS);
        table.row([
            format!("{outcome:?}"),
            format!("{part}"),
            format!("{attempts:.2}"),
            format!("{refused:.3}"),
        ]);
    }
    table
}
