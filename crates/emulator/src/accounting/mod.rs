//! Request accounting: all tries, attempts, runs and responses, and the rule checks based on them.
//!
//! The records come from the emulator's own observations and never from a sidecar's counters. A broken rule is
//! recorded as a [`Violation`] at the time at which it is observed. The rules, limits and tolerances are those
//! of the platform.

mod records;

pub use records::{Attempt, AttemptEnd, Place, Regret, Rule, Try, TryEnd, Violation};

use crate::scenario::{Effect, Group};
use crate::schedule::Schedule;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of violations stored in full; further ones are only counted.
const MAX_STORED_VIOLATIONS: usize = 200;

/// The records of all requests, probes and connections of a simulation.
#[derive(Debug, Default)]
pub struct RequestAccounting {
    /// Tries in the order in which they were sent.
    pub tries: Vec<Try>,
    /// Index in `tries` by `Request-Id`.
    by_id: HashMap<u64, usize>,
    /// The violations, up to a maximum number stored.
    pub violations: Vec<Violation>,
    /// Number of violations of each rule.
    pub violation_counts: BTreeMap<Rule, u64>,
    /// Pairs of sidecar and address index that a list has named. Addresses are tracked rather than servers, as a
    /// replacement may take over the address of a server that has gone.
    listed_addresses: BTreeSet<(usize, usize)>,
    /// By sidecar and server: when discovery first sent the sidecar a list in which the server drains or is gone.
    notified_leaving_at: BTreeMap<(usize, usize), f64>,
    /// By server: when the registry first listed it as draining or gone.
    registry_leaving_at: BTreeMap<usize, f64>,
    /// Place and time of the first run of each request, and the number of runs. Requests of keyed classes are
    /// identified by their flow, all others by their `Request-Id`.
    runs: HashMap<(Effect, u64), (Place, f64, u32)>,
    /// Number of probes by server.
    pub probes: BTreeMap<usize, u64>,
    /// Number of connections opened, by server.
    pub connections: BTreeMap<usize, u64>,
    /// Work sent to servers (ms of a standard core).
    pub work_sent: f64,
    /// The part of that work that produced no response.
    pub work_wasted: f64,
    /// Attempts sent to a server in another zone than the sidecar's.
    pub cross_zone_attempts: u64,
    /// Maximum number of descriptors held by each sidecar.
    pub most_descriptors: BTreeMap<usize, usize>,
    /// Calls that discovery answered.
    pub calls_answered: u64,
    /// Calls that discovery failed.
    pub calls_failed: u64,
    /// Malformed requests sent.
    pub malformed_sent: u64,
    /// Malformed requests answered with an error or a close within the time limit.
    pub malformed_rejected: u64,
    /// Number of corrupted responses by kind.
    pub corrupted_answers: BTreeMap<String, u64>,
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
        *self.violation_counts.entry(rule).or_default() += 1;
        if self.violations.len() < MAX_STORED_VIOLATIONS {
            self.violations.push(Violation { at, rule, sidecar, flow, what });
        }
    }

    /// Records that a client sends a try at `sent` and gives it up at `until` (ms); returns its index in
    /// [`RequestAccounting::tries`].
    pub fn record_try(&mut self, id: u64, flow: usize, number: usize, sent: f64, until: f64) -> usize {
        let index = self.tries.len();
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
            written: false,
            bodies: Vec::new(),
        });
        self.by_id.insert(id, index);
        index
    }

    /// The index of the try with a `Request-Id`.
    pub fn find_try(&self, id: u64) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Records that discovery sent a sidecar an entry of a server, in service or leaving.
    pub fn record_listed_server(
        &mut self,
        now: f64,
        sidecar: usize,
        server: usize,
        address_index: usize,
        in_service: bool,
    ) {
        self.listed_addresses.insert((sidecar, address_index));
        if in_service {
            self.notified_leaving_at.remove(&(sidecar, server));
        } else {
            self.notified_leaving_at.entry((sidecar, server)).or_insert(now);
        }
    }

    /// Records a change of a server in the registry, to in service or to leaving.
    pub fn record_registry_change(&mut self, now: f64, server: usize, in_service: bool) {
        if in_service {
            self.registry_leaving_at.remove(&server);
        } else {
            self.registry_leaving_at.entry(server).or_insert(now);
        }
    }

    /// Records an attempt that a server has received completely; its first byte arrived at `received_at` (ms).
    /// Returns the index of its try and its number within the try; `None` if no client sent it, which is a
    /// violation.
    pub fn record_attempt(
        &mut self,
        schedule: &Schedule,
        id: u64,
        sidecar: usize,
        (server, address_index): (usize, usize),
        received_at: f64,
        now: f64,
    ) -> Option<(usize, usize)> {
        let Some(index) = self.find_try(id) else {
            let what = format!("id {id:016x} at server {server}");
            self.record_violation(now, Rule::Unknown, Some(sidecar), None, what);
            return None;
        };
        let (flow, number) = (self.tries[index].flow, self.tries[index].attempts.len());
        let limits = &schedule.scenario.limits;
        if !self.listed_addresses.contains(&(sidecar, address_index)) {
            let what = format!("server {server}");
            self.record_violation(now, Rule::Unlisted, Some(sidecar), Some(flow), what);
        }
        let known_at = self.leaving_known_at(sidecar, server, limits.told_within_ms);
        if received_at > known_at + limits.drain_grace_ms + limits.slack_ms {
            let what = format!("server {server}, {:.0} ms after", received_at - known_at);
            self.record_violation(now, Rule::PastDrain, Some(sidecar), Some(flow), what);
        }
        if number >= limits.max_attempts {
            let what = format!("attempt {}", number + 1);
            self.record_violation(now, Rule::Attempts, Some(sidecar), Some(flow), what);
        }
        self.tries[index].open_attempt(server, received_at);
        Some((index, number))
    }

    /// The latest time (ms) at which a sidecar must have known that a server drains or is gone; infinite if it
    /// need not know. A change of the registry counts as known after `told_within_ms`.
    fn leaving_known_at(&self, sidecar: usize, server: usize, told_within_ms: f64) -> f64 {
        let notified_at = self.notified_leaving_at.get(&(sidecar, server)).copied();
        let in_registry = self.registry_leaving_at.get(&server).map(|at| at + told_within_ms);
        notified_at.into_iter().chain(in_registry).fold(f64::INFINITY, f64::min)
    }

    /// Records that a server accepted an attempt, which may run from now on. A second run of unsafe work is a
    /// violation; a second run of keyed work is harmless within the group and time window of the first run.
    pub fn record_run(
        &mut self,
        schedule: &Schedule,
        now: f64,
        (index, number): (usize, usize),
        place: Place,
    ) {
        let record = &mut self.tries[index];
        record.attempts[number].ran = true;
        let (flow, id) = (record.flow, record.id);
        let arrival = &schedule.arrivals[flow];
        let class = schedule.class(arrival);
        let run_key = if class.effect == Effect::Keyed { flow as u64 } else { id };
        let run = self.runs.entry((class.effect, run_key)).or_insert((place, now, 0));
        run.2 += 1;
        let (first_place, first_at, runs) = *run;
        let same_group = match class.group {
            Group::All => true,
            Group::Zone => first_place.zone == place.zone,
            Group::Cell => first_place.cell == place.cell,
        };
        let deduplicated =
            same_group && now - first_at <= class.window_ms + schedule.scenario.limits.slack_ms;
        let harmless =
            runs == 1 || class.effect == Effect::Safe || (class.effect == Effect::Keyed && deduplicated);
        if !harmless {
            let what = format!(
                "run {runs} in {place:?}, {:.0} ms after the first in {first_place:?}",
                now - first_at
            );
            self.record_violation(now, Rule::SecondRun, Some(arrival.sidecar), Some(flow), what);
        }
    }

    /// Records how an attempt ended at its server; later calls for the same attempt have no effect.
    pub fn record_attempt_end(&mut self, now: f64, (index, number): (usize, usize), end: AttemptEnd) {
        let record = &mut self.tries[index].attempts[number];
        if record.end == AttemptEnd::Open {
            (record.end, record.ended) = (end, Some(now));
        }
    }

    /// Records a response body that a server produced for a try.
    pub fn record_body(&mut self, index: usize, body: Bytes) {
        self.tries[index].bodies.push(body);
    }

    /// Whether a server produced this body for a try.
    pub fn has_body(&self, index: usize, body: &[u8]) -> bool {
        self.tries[index].bodies.iter().any(|b| b == body)
    }

    /// Records how a try ended at its client.
    pub fn record_try_end(&mut self, now: f64, index: usize, end: TryEnd, regret: Option<Regret>) {
        let record = &mut self.tries[index];
        (record.ended, record.end, record.regret) = (now, end, regret);
    }

    /// Records the open descriptors of a sidecar; exceeding the limit for the first time is a violation.
    pub fn record_descriptors(&mut self, now: f64, sidecar: usize, descriptors: usize, limit: usize) {
        let maximum = self.most_descriptors.entry(sidecar).or_default();
        let before = *maximum;
        *maximum = before.max(descriptors);
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
