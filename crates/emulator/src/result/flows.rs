//! Flows by their end, in all and by class and tenant.

use super::numbers::{histogram, share, Latency};
use crate::accounting::{Try, TryEnd};
use crate::schedule::{Arrival, Schedule};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

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

/// A flow with its end.
pub(super) struct Ended {
    /// Time from its arrival to the answer that served it (ms).
    served_at: Option<f64>,
    /// Whether that was within the class's aim.
    in_time: bool,
    last: TryEnd,
    taken: bool,
}

/// How the flow of an arrival (ms of the simulation) ended, by its tries.
pub(super) fn ended(schedule: &Schedule, tries: &[&Try], arrived: f64, flow: usize) -> Ended {
    let aim = schedule.class(&schedule.arrivals[flow]).aim_ms;
    let served_at = tries.iter().find(|t| t.end == TryEnd::Served).map(|t| t.ended - arrived);
    Ended {
        served_at,
        in_time: served_at.is_some_and(|at| at <= aim),
        last: tries.last().map_or(TryEnd::Nothing, |t| t.end),
        taken: tries.iter().any(|t| t.taken),
    }
}

impl Flows {
    pub(super) fn add(&mut self, one: &Ended) {
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

impl Ended {
    /// What of its worth the flow of an arrival earned.
    pub(super) fn earned(&self, arrival: &Arrival) -> f64 {
        if self.in_time {
            arrival.worth
        } else {
            0.0
        }
    }

    /// The same in microseconds, as histograms count.
    pub(super) fn micros(&self) -> Option<u64> {
        self.served_at.map(|at| (at.max(0.001) * 1e3) as u64)
    }
}

/// Shares of the traffic by name, with the times of their flows.
#[derive(Default)]
pub(super) struct Parts(BTreeMap<String, (Part, Times)>);

/// Times of flows that were served (us).
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(histogram())
    }
}

impl Parts {
    /// Counts a flow to a share of the traffic.
    pub(super) fn add(&mut self, name: &str, arrival: &Arrival, one: &Ended) {
        let (part, times) = self.0.entry(name.to_owned()).or_default();
        part.flows.add(one);
        part.worth = (part.worth.0 + arrival.worth, part.worth.1 + one.earned(arrival));
        one.micros().into_iter().for_each(|t| times.0.saturating_record(t));
    }

    /// What came of each.
    pub(super) fn finish(self) -> BTreeMap<String, Part> {
        let finished = self.0.into_iter().map(|(name, (mut part, times))| {
            part.latency = Latency::of(&times.0);
            part.service = share(part.worth.1, part.worth.0);
            (name, part)
        });
        finished.collect()
    }
}

/// The service of the worst; 1 where there is none.
pub(super) fn worst(parts: &BTreeMap<String, Part>) -> f64 {
    parts.values().map(|p| p.service).fold(1.0, f64::min)
}
