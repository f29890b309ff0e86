//! Checks requests, attempts and answers against the rules, as seen from outside the sidecars.

use super::experiment::Experiment;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Most attempts of one request.
pub const MAX_ATTEMPTS: usize = 3;
/// The class whose requests may run more than once.
pub const SAFE_CLASS: &str = "quote";
/// The class whose requests may run only once.
pub const UNSAFE_CLASS: &str = "place-order";
/// Time after a sidecar is told that a server drains until it may send nothing new to that server.
const DRAIN_GRACE_MS: f64 = 1_500.0;
/// Tolerance for the clocks of both sides and for messages in flight.
const TIMING_TOLERANCE_MS: f64 = 250.0;

/// A rule that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A server received a request that no application had open.
    UnknownRequest,
    /// A request had more than `MAX_ATTEMPTS` attempts.
    TooManyAttempts,
    /// A request of the unsafe class ran a second time.
    SecondRun,
    /// A server received a request after the grace period of its drain.
    SentToDraining,
    /// A request had no answer within its time-out.
    Unanswered,
    /// The connection of a request ended without an answer although its sidecar was running.
    Lost,
}

/// A request that has not ended, or has ended less than the tolerance ago.
struct OpenRequest {
    sidecar: usize,
    safe: bool,
    attempts: usize,
    runs: usize,
}

/// The open requests and drains that were observed, and the rules that were broken.
#[derive(Default)]
pub struct Audit {
    open: HashMap<u64, OpenRequest>,
    /// Ended requests (ms, id) in order, kept until no attempt of them can still be in flight.
    ended: VecDeque<(f64, u64)>,
    /// When each sidecar was first told that a server drains (ms), by sidecar and server.
    draining: HashMap<(usize, usize), f64>,
    violation_counts: BTreeMap<String, u64>,
    first_violations: BTreeMap<String, String>,
    tolerance_ms: f64,
}

impl Audit {
    /// An empty audit; its tolerance includes the longest one-way delay of the network.
    pub fn new(experiment: &Experiment) -> Audit {
        let network = &experiment.network;
        let longest_delay_ms = network.same_region_ms.max(network.cross_region_ms);
        Audit { tolerance_ms: TIMING_TOLERANCE_MS + longest_delay_ms, ..Audit::default() }
    }

    /// Records that a rule was broken; `describe` is used for the first case of each rule.
    pub fn record_violation(&mut self, rule: Rule, describe: impl FnOnce() -> String) {
        let name = format!("{rule:?}");
        self.first_violations.entry(name.clone()).or_insert_with(describe);
        *self.violation_counts.entry(name).or_default() += 1;
    }

    /// Records that an application has sent a request.
    pub fn request_sent(&mut self, id: u64, sidecar: usize, safe: bool) {
        self.open.insert(id, OpenRequest { sidecar, safe, attempts: 0, runs: 0 });
    }

    /// Records that a request has ended. A server that receives an attempt of it later than the tolerance breaks
    /// [`Rule::UnknownRequest`].
    pub fn request_ended(&mut self, now: f64, id: u64) {
        self.ended.push_back((now, id));
        self.remove_ended(now);
    }

    fn remove_ended(&mut self, now: f64) {
        while let Some((_, id)) = self.ended.front().filter(|(at, _)| now - at > self.tolerance_ms) {
            self.open.remove(id);
            self.ended.pop_front();
        }
    }

    /// Records that a sidecar was told the state of a server.
    pub fn server_state_told(&mut self, now: f64, sidecar: usize, server: usize, in_service: bool) {
        if in_service {
            self.draining.remove(&(sidecar, server));
        } else {
            self.draining.entry((sidecar, server)).or_insert(now);
        }
    }

    /// Records that a server has received an attempt and begins to work on it.
    pub fn attempt_received(&mut self, now: f64, id: u64, server: usize) {
        self.remove_ended(now);
        let Some(request) = self.open.get_mut(&id) else {
            return self
                .record_violation(Rule::UnknownRequest, || format!("id {id:016x} at server {server}"));
        };
        request.attempts += 1;
        request.runs += 1;
        let (attempts, sidecar) = (request.attempts, request.sidecar);
        if !request.safe && request.runs > 1 {
            self.record_violation(Rule::SecondRun, || {
                format!("id {id:016x} of sidecar {sidecar} at server {server}")
            });
        }
        if attempts > MAX_ATTEMPTS {
            self.record_violation(Rule::TooManyAttempts, || format!("{attempts} of id {id:016x}"));
        }
        let since = self.draining.get(&(sidecar, server)).copied();
        if let Some(since) = since.filter(|since| now - since > DRAIN_GRACE_MS + self.tolerance_ms) {
            let late_ms = now - since;
            self.record_violation(Rule::SentToDraining, || {
                format!("{late_ms:.0} ms after sidecar {sidecar} was told of server {server}")
            });
        }
    }

    /// How often each rule was broken.
    pub fn violation_counts(&self) -> &BTreeMap<String, u64> {
        &self.violation_counts
    }

    /// Description of the first case of each broken rule.
    pub fn first_violations(&self) -> &BTreeMap<String, String> {
        &self.first_violations
    }
}
