//! The rules that sends and answers are held against, as seen from outside the sidecars.

use super::experiment::Experiment;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Attempts that one request may have, the classes' names, and whether work of a class may run again.
pub const MAX_ATTEMPTS: usize = 3;
/// The class whose requests may run again, and the one whose may not.
pub const SAFE_CLASS: &str = "quote";
pub const UNSAFE_CLASS: &str = "place-order";
/// Nothing new may be sent to a server this long after its drain was told to the sidecar (ms).
const DRAIN_GRACE: f64 = 1_500.0;
/// What the clocks of both sides, and a message under way, may differ by (ms).
const SLACK: f64 = 250.0;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A server was sent a request that no application asked for.
    UnknownRequest,
    /// A request had more attempts than it may.
    TooManyAttempts,
    /// A request that may not run again did.
    SecondRun,
    /// A server was sent a request after the grace of its drain.
    SentToDraining,
    /// A request had no answer within its time.
    Unanswered,
    /// The connection of a request ended without an answer, though its sidecar ran.
    Lost,
}

/// A request that is open.
struct OpenRequest {
    sidecar: usize,
    safe: bool,
    attempts: usize,
    runs: usize,
}

/// What was seen of requests, and the rules that were broken.
#[derive(Default)]
pub struct Audit {
    open: HashMap<u64, OpenRequest>,
    /// Requests that have ended, in order, until no attempt of theirs can be under way any more (ms).
    ended: VecDeque<(f64, u64)>,
    /// Since when a sidecar knows of a server's drain (ms).
    draining: HashMap<(usize, usize), f64>,
    broken: BTreeMap<String, u64>,
    first: BTreeMap<String, String>,
    slack: f64,
}

impl Audit {
    /// Nothing seen yet; the slack covers the longest way of a message.
    pub fn new(experiment: &Experiment) -> Audit {
        let network = &experiment.network;
        let way = network.same_region_ms.max(network.cross_region_ms);
        Audit { slack: SLACK + way, ..Audit::default() }
    }

    /// A rule was broken.
    pub fn broke(&mut self, rule: Rule, what: impl FnOnce() -> String) {
        let name = format!("{rule:?}");
        self.first.entry(name.clone()).or_insert_with(what);
        *self.broken.entry(name).or_default() += 1;
    }

    /// An application sends a request.
    pub fn sent(&mut self, id: u64, sidecar: usize, safe: bool) {
        self.open.insert(id, OpenRequest { sidecar, safe, attempts: 0, runs: 0 });
    }

    /// A request has ended; an attempt of it that comes much later is one that nobody asked for.
    pub fn ended(&mut self, now: f64, id: u64) {
        self.ended.push_back((now, id));
        self.forget_ended(now);
    }

    fn forget_ended(&mut self, now: f64) {
        while let Some((_, id)) = self.ended.front().filter(|(at, _)| now - at > self.slack) {
            self.open.remove(id);
            self.ended.pop_front();
        }
    }

    /// A sidecar was told of a server.
    pub fn told(&mut self, now: f64, sidecar: usize, server: usize, in_service: bool) {
        if in_service {
            self.draining.remove(&(sidecar, server));
        } else {
            self.draining.entry((sidecar, server)).or_insert(now);
        }
    }

    /// An attempt came to a server, which begins to work on it now.
    pub fn attempt(&mut self, now: f64, id: u64, server: usize) {
        self.forget_ended(now);
        let Some(request) = self.open.get_mut(&id) else {
            return self.broke(Rule::UnknownRequest, || format!("id {id:016x} at server {server}"));
        };
        request.attempts += 1;
        request.runs += 1;
        let (attempts, sidecar) = (request.attempts, request.sidecar);
        if !request.safe && request.runs > 1 {
            self.broke(Rule::SecondRun, || format!("id {id:016x} of sidecar {sidecar} at server {server}"));
        }
        if attempts > MAX_ATTEMPTS {
            self.broke(Rule::TooManyAttempts, || format!("{attempts} of id {id:016x}"));
        }
        let since = self.draining.get(&(sidecar, server)).copied();
        if let Some(since) = since.filter(|since| now - since > DRAIN_GRACE + self.slack) {
            let late = now - since;
            self.broke(Rule::SentToDraining, || {
                format!("{late:.0} ms after sidecar {sidecar} was told of server {server}")
            });
        }
    }

    /// Broken rules with their counts.
    pub fn broken(&self) -> &BTreeMap<String, u64> {
        &self.broken
    }

    /// The first case of each broken rule.
    pub fn first(&self) -> &BTreeMap<String, String> {
        &self.first
    }
}
