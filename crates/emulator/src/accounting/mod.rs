//! Request accounting, and the oracles that read it: what was asked, tried, run and answered.
//!
//! Nothing here comes from a sidecar's counters. A broken rule becomes a [`Violation`] at the time at which
//! it is observed. The rules are the platform's, with its limits and tolerances.

mod records;

pub use records::{Attempt, AttemptEnd, Place, Regret, Rule, Try, TryEnd, Violation};

use crate::scenario::{Effect, Group};
use crate::schedule::Schedule;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Violations that are kept in full; further ones are only counted.
const KEPT: usize = 200;

/// What became of every request, probe and connection of a simulation.
#[derive(Debug, Default)]
pub struct RequestAccounting {
    /// Tries in the order they were sent.
    pub tries: Vec<Try>,
    by_id: HashMap<u64, usize>,
    /// Violations, the first of them in full.
    pub violations: Vec<Violation>,
    /// How many there were of each.
    pub counts: BTreeMap<Rule, u64>,
    /// Places that a sidecar's list has named: one that is free may be another server's by now.
    listed: BTreeSet<(usize, usize)>,
    /// When a sidecar was told, at the latest, that a server drains or is gone.
    told: BTreeMap<(usize, usize), f64>,
    /// When the list told of it, to anybody who asks.
    leaving: BTreeMap<usize, f64>,
    /// Where and when each request of an unsafe class (by `Request-Id`) or a keyed one (by its flow) first
    /// ran, and how often.
    runs: HashMap<(Effect, u64), (Place, f64, u32)>,
    /// Probes by server.
    pub probes: BTreeMap<usize, u64>,
    /// Connections opened, by server.
    pub connections: BTreeMap<usize, u64>,
    /// Work sent to servers (ms of a standard core), and that of it which brought no answer.
    pub work: (f64, f64),
    /// Attempts in another zone than their sidecar's, of all.
    pub crossed: u64,
    /// Most descriptors held by each sidecar.
    pub descriptors: BTreeMap<usize, usize>,
    /// Calls answered and failed by discovery.
    pub calls: (u64, u64),
    /// Bad requests sent, and those answered by an error or a close in time.
    pub bad: (u64, u64),
    /// Spoilt answers by kind.
    pub spoilt: BTreeMap<String, u64>,
}

impl RequestAccounting {
    /// Records a violation at a time (ms).
    pub fn record_violation(
        &mut self,
        at: f64,
        rule: Rule,
        sidecar: Option<usize>,
        flow: Option<usize>,
        what: String,
    ) {
        *self.counts.entry(rule).or_default() += 1;
        if self.violations.len() < KEPT {
            self.violations.push(Violation { at, rule, sidecar, flow, what });
        }
    }

    /// Records that a client sends a try at `sent`, to be given up at `until` (ms); returns its index in
    /// [`RequestAccounting::tries`].
    pub fn begin(&mut self, id: u64, flow: usize, number: usize, sent: f64, until: f64) -> usize {
        let at = self.tries.len();
        self.tries.push(Try {
            id,
            flow,
            number,
            sent,
            until,
            attempts: Vec::new(),
            ended: f64::NAN,
            end: TryEnd::Open,
            regret: None,
            taken: false,
            bodies: Vec::new(),
        });
        self.by_id.insert(id, at);
        at
    }

    /// The index of the try with a `Request-Id`.
    pub fn find(&self, id: u64) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Records that discovery told a sidecar of a server, as in service or as leaving.
    pub fn list_said(&mut self, now: f64, sidecar: usize, server: usize, place: usize, in_service: bool) {
        self.listed.insert((sidecar, place));
        if in_service {
            self.told.remove(&(sidecar, server));
        } else {
            self.told.entry((sidecar, server)).or_insert(now);
        }
    }

    /// Records that discovery tells anybody who asks of a server, as in service or as leaving.
    pub fn list_has(&mut self, now: f64, server: usize, in_service: bool) {
        if in_service {
            self.leaving.remove(&server);
        } else {
            self.leaving.entry(server).or_insert(now);
        }
    }

    /// Records an attempt that a server has received whole, its first byte at `came` (ms). Returns the
    /// index of its try and its number in that; `None` where no client sent it, which is a violation.
    pub fn attempt(
        &mut self,
        schedule: &Schedule,
        id: u64,
        sidecar: usize,
        (server, place): (usize, usize),
        came: f64,
        now: f64,
    ) -> Option<(usize, usize)> {
        let Some(at) = self.find(id) else {
            let what = format!("id {id:016x} at server {server}");
            self.record_violation(now, Rule::Unknown, Some(sidecar), None, what);
            return None;
        };
        let (flow, number) = (self.tries[at].flow, self.tries[at].attempts.len());
        let limits = &schedule.day.limits;
        if !self.listed.contains(&(sidecar, place)) {
            let what = format!("server {server}");
            self.record_violation(now, Rule::Unlisted, Some(sidecar), Some(flow), what);
        }
        let told = self.told_of_leaving(sidecar, server, limits.told_within_ms);
        if came > told + limits.drain_grace_ms + limits.slack_ms {
            let what = format!("server {server}, {:.0} ms after", came - told);
            self.record_violation(now, Rule::PastDrain, Some(sidecar), Some(flow), what);
        }
        if number >= limits.max_attempts {
            let what = format!("attempt {}", number + 1);
            self.record_violation(now, Rule::Attempts, Some(sidecar), Some(flow), what);
        }
        self.tries[at].open_attempt(server, came);
        Some((at, number))
    }

    /// When a sidecar knew, at the latest, that a server drains or is gone (ms); infinite where it need not.
    /// Discovery's word counts as known after `told_within` (ms).
    fn told_of_leaving(&self, sidecar: usize, server: usize, told_within: f64) -> f64 {
        let told = self.told.get(&(sidecar, server)).copied();
        let had = self.leaving.get(&server).map(|at| at + told_within);
        told.into_iter().chain(had).fold(f64::INFINITY, f64::min)
    }

    /// Records that a server accepted an attempt, which may run from now on. A second run of unsafe work is a
    /// violation; one of keyed work is harmless inside the first run's group and within its time window.
    pub fn ran(&mut self, schedule: &Schedule, now: f64, (at, number): (usize, usize), place: Place) {
        let one = &mut self.tries[at];
        one.attempts[number].ran = true;
        let (flow, id) = (one.flow, one.id);
        let arrival = &schedule.arrivals[flow];
        let class = schedule.class(arrival);
        let of = if class.effect == Effect::Keyed { flow as u64 } else { id };
        let ran = self.runs.entry((class.effect, of)).or_insert((place, now, 0));
        ran.2 += 1;
        let (first, since, runs) = *ran;
        let together = match class.group {
            Group::All => true,
            Group::Zone => first.zone == place.zone,
            Group::Cell => first.cell == place.cell,
        };
        let dropped = together && now - since <= class.window_ms + schedule.day.limits.slack_ms;
        let harmless =
            runs == 1 || class.effect == Effect::Safe || (class.effect == Effect::Keyed && dropped);
        if !harmless {
            let what = format!("run {runs} in {place:?}, {:.0} ms after the first in {first:?}", now - since);
            self.record_violation(now, Rule::SecondRun, Some(arrival.sidecar), Some(flow), what);
        }
    }

    /// Records how an attempt ended at its server; only the first end counts.
    pub fn attempt_ended(&mut self, now: f64, (at, number): (usize, usize), end: AttemptEnd) {
        let one = &mut self.tries[at].attempts[number];
        if one.end == AttemptEnd::Open {
            (one.end, one.ended) = (end, Some(now));
        }
    }

    /// Records a body that a server produced for a try.
    pub fn made(&mut self, at: usize, body: Bytes) {
        self.tries[at].bodies.push(body);
    }

    /// Whether a server produced this body for a try.
    pub fn is_made(&self, at: usize, body: &[u8]) -> bool {
        self.tries[at].bodies.iter().any(|b| b == body)
    }

    /// Records how a try ended at its client.
    pub fn end(&mut self, now: f64, at: usize, end: TryEnd, regret: Option<Regret>) {
        let one = &mut self.tries[at];
        (one.ended, one.end, one.regret) = (now, end, regret);
    }

    /// Records the open descriptors of a sidecar; the first excess over the limit is a violation.
    pub fn holds(&mut self, now: f64, sidecar: usize, descriptors: usize, limit: usize) {
        let most = self.descriptors.entry(sidecar).or_default();
        let before = *most;
        *most = before.max(descriptors);
        if descriptors > limit && before <= limit {
            self.record_violation(
                now,
                Rule::Descriptors,
                Some(sidecar),
                None,
                format!("{descriptors} of {limit}"),
            );
        }
    }
}
