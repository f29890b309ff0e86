//! Computed, not measured: how many attempts reach the last layer of a chain of calls for each request that
//! enters the first.
//!
//! The retry rule is that of the decision module (its `policy.rs`): each request earns a fraction of a retry,
//! a few retries can be saved up, a retry costs the fraction of the usual time that the previous attempt
//! took, and one retry is free if the first attempt never ran. [`simulate_one_layer`] drives the module
//! itself, to check the rule as it is implemented here.

use crate::decisions::{module_settings, server_list};
use crate::error::{check_range, Result};
use crate::report::{Report, Table};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use roseproxy_decision::interface::{Action, Event, Micros, Outcome, Request, RequestId, ServerId, Update};
use roseproxy_decision::policy::Balancer;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Retries that each request earns.
pub const RETRIES_EARNED_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries that can be saved up.
pub const MAX_SAVED_RETRIES: f64 = 5.0;
/// Minimum cost of a retry.
pub const MIN_RETRY_COST: f64 = 0.25;
/// Maximum number of attempts per request in the platform's settings.
pub const MAX_ATTEMPTS: usize = 3;
/// Number of attempts at the last layer after which a computation ends.
const MAX_LAST_LAYER_ATTEMPTS: u64 = 20_000_000;

/// The properties of failed attempts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Failure {
    /// Fraction of the usual time that a failed attempt takes: the cost of its retry, clamped to [`MIN_RETRY_COST`]
    /// and 1.
    pub price: f64,
    /// Whether attempts that fail at the last layer are known not to have run.
    pub last_never_ran: bool,
    /// Whether the layers above pass this knowledge on.
    pub passed_on: bool,
}

/// The retry budget of one sidecar.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget(f64);

impl RetryBudget {
    /// Adds what one request earns.
    pub fn earn(&mut self) {
        self.0 = (self.0 + RETRIES_EARNED_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Pays for a retry if the budget can afford it, and returns whether it did.
    pub fn pay(&mut self, cost: f64) -> bool {
        let affordable = self.0 >= cost;
        if affordable {
            self.0 -= cost;
        }
        affordable
    }
}

/// A chain of layers, each with the retry budget of one sidecar.
#[derive(Debug)]
pub struct Chain {
    budgets: Vec<RetryBudget>,
    failure: Failure,
    /// Share of attempts at the last layer that fail.
    failure_rate: f64,
    rng: ChaCha8Rng,
    /// Number of attempts at the last layer.
    pub last_layer_attempts: u64,
}

impl Chain {
    /// Creates a chain whose budgets are full.
    pub fn new(layers: usize, failure_rate: f64, failure: Failure, seed: u64) -> Chain {
        let budgets = vec![RetryBudget(MAX_SAVED_RETRIES); layers];
        Chain { budgets, failure, failure_rate, rng: ChaCha8Rng::seed_from_u64(seed), last_layer_attempts: 0 }
    }

    /// Sends one request to a layer, counted from 0 at the top, and returns whether it was served.
    pub fn request(&mut self, layer: usize) -> bool {
        self.budgets[layer].earn();
        let last = layer + 1 == self.budgets.len();
        let never_ran = if last { self.failure.last_never_ran } else { self.failure.passed_on };
        for attempt in 0..MAX_ATTEMPTS {
            let served = if last { self.attempt_last() } else { self.request(layer + 1) };
            if served {
                return true;
            }
            let free = attempt == 0 && never_ran;
            let cost = if free { 0.0 } else { self.failure.price.clamp(MIN_RETRY_COST, 1.0) };
            if self.last_layer_attempts > MAX_LAST_LAYER_ATTEMPTS
                || attempt + 1 == MAX_ATTEMPTS
                || !self.budgets[layer].pay(cost)
            {
                return false;
            }
        }
        false
    }

    fn attempt_last(&mut self) -> bool {
        self.last_layer_attempts += 1;
        self.rng.random::<f64>() >= self.failure_rate
    }
}

/// Computes the attempts at the last layer per request at the first, and the share of requests served.
/// A quarter as many requests are sent first and not counted, to spend the retries that the budgets have
/// saved up.
pub fn amplification(layers: usize, failure_rate: f64, failure: Failure, requests: usize) -> (f64, f64) {
    let mut chain = Chain::new(layers, failure_rate, failure, 7);
    for _ in 0..requests / 4 {
        chain.request(0);
    }
    let attempts_before = chain.last_layer_attempts;
    let (mut sent, mut served) = (0_u64, 0_u64);
    while (sent as usize) < requests && chain.last_layer_attempts < MAX_LAST_LAYER_ATTEMPTS {
        served += u64::from(chain.request(0));
        sent += 1;
    }
    (
        (chain.last_layer_attempts - attempts_before) as f64 / sent.max(1) as f64,
        served as f64 / sent.max(1) as f64,
    )
}

/// Drives the decision module while every attempt ends with `outcome` after the fraction `part` of the usual
/// time. Returns the attempts that the module sends per request and the share of requests that it refuses at
/// arrival.
pub fn simulate_one_layer(outcome: Outcome, part: f64, requests: u64) -> (f64, f64) {
    const USUAL_TIME_US: Micros = 20_000;
    const REQUEST_INTERVAL_US: Micros = 5_900;
    const WARM_UP_REQUESTS: u64 = 3_000;
    let list = server_list(33);
    let mut balancer = Balancer::new(module_settings(1_000, false), 7, 0);
    balancer.handle(0, Event::Servers { update: Update::Complete, servers: &list }, &mut Vec::new());
    // Attempts in flight, ordered by their end.
    let mut in_flight = BTreeMap::<(Micros, RequestId, usize), ServerId>::new();
    // Number of attempts of each request so far.
    let mut attempts = HashMap::<RequestId, usize>::new();
    let (mut sent, mut refused) = (0_u64, 0_u64);
    for id in 1..=WARM_UP_REQUESTS + requests {
        let arrival = id as Micros * REQUEST_INTERVAL_US;
        let failing = id > WARM_UP_REQUESTS;
        let mut actions = Vec::new();
        loop {
            let next = in_flight.first_key_value().map(|(key, server)| (*key, *server));
            let Some(((at, request, attempt), server)) = next.filter(|((at, ..), _)| *at <= arrival) else {
                break;
            };
            in_flight.pop_first();
            let fails = request > WARM_UP_REQUESTS;
            let (outcome, elapsed) = if fails {
                (outcome, (USUAL_TIME_US as f64 * part) as Micros)
            } else {
                (Outcome::Served, USUAL_TIME_US)
            };
            let finished = !fails;
            let ended =
                Event::AttemptEnded { request, attempt, server, outcome, elapsed, finished, load: None };
            balancer.handle(at, ended, &mut actions);
            let elapsed = |request| {
                if request > WARM_UP_REQUESTS {
                    (USUAL_TIME_US as f64 * part) as Micros
                } else {
                    USUAL_TIME_US
                }
            };
            for action in actions.drain(..) {
                if let Action::Send { request, server, .. } = action {
                    let attempt = attempts.entry(request).or_insert(0);
                    in_flight.insert((at + elapsed(request), request, *attempt), server);
                    *attempt += 1;
                    sent += u64::from(request > WARM_UP_REQUESTS);
                }
            }
        }
        let request = Request { id, time_left: 1_500_000, ..Request::default() };
        balancer.handle(arrival, Event::Request(request), &mut actions);
        let elapsed = if failing { (USUAL_TIME_US as f64 * part) as Micros } else { USUAL_TIME_US };
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    in_flight.insert((arrival + elapsed, request, 0), server);
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

/// The arguments of the computation.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Numbers of layers.
    pub depths: Vec<usize>,
    /// Shares of attempts that fail at the last layer.
    pub failing: Vec<f64>,
    /// Requests at the first layer.
    pub requests: usize,
}

/// The kinds of failures that are computed, with their names in the table.
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

/// Computes all combinations and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("requests", options.requests, 100, 1_000_000)?;
    options.depths.iter().try_for_each(|n| check_range("depths", *n, 1, 20).map(drop))?;
    options.failing.iter().try_for_each(|n| check_range("failing", *n, 0.0, 1.0).map(drop))?;
    let mut report = Report::start("attempts", options);
    let mut table = Table::new(
        "Computed: attempts at the last layer for each request at the first (share served)",
        &["failures", "of attempts at the last layer", "layers", "attempts", "served"],
    );
    for (name, failure) in FAILURES {
        for &failing in &options.failing {
            for &depth in &options.depths {
                let (attempts, served) = amplification(depth, failing, failure, options.requests);
                table.add_row([
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
    Ok(report.finish())
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
        let (attempts, refused) = simulate_one_layer(outcome, part, REQUESTS);
        table.add_row([
            format!("{outcome:?}"),
            format!("{part}"),
            format!("{attempts:.2}"),
            format!("{refused:.3}"),
        ]);
    }
    table
}
