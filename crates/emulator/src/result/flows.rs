//! Requests by their end, in total and by class and tenant.

use super::numbers::{histogram, share, Latency};
use crate::accounting::{Try, TryEnd};
use crate::schedule::{Arrival, Schedule};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts of requests by their end; every arrival is counted once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Flows {
    /// Arrivals whose application ran.
    pub asked: u64,
    /// Arrivals whose application was down.
    pub unasked: u64,
    /// Accepted by a sidecar in at least one try.
    pub taken: u64,
    /// Served within the class's aim, counted from the first try.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Rejected in the last try.
    pub refused: u64,
    /// Failed in the last try, or without a response.
    pub failed: u64,
}

/// The outcome of a part of the traffic: a class or a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Share of the requested worth that was served within the aim.
    pub service: f64,
    /// Counts.
    pub flows: Flows,
    /// Time from the first try to the response (ms).
    pub latency: Latency,
    #[serde(skip)]
    worth: (f64, f64),
}

/// The end of a request.
pub(super) struct Ended {
    /// Time from its arrival to the response that served it (ms).
    served_at: Option<f64>,
    /// Whether that was within the class's aim.
    in_time: bool,
    last: TryEnd,
    taken: bool,
}

/// How a request that arrived at a time (ms) ended, by its tries.
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
    /// The worth that the request of an arrival earned.
    pub(super) fn earned(&self, arrival: &Arrival) -> f64 {
        if self.in_time {
            arrival.worth
        } else {
            0.0
        }
    }

    /// The time to the response in microseconds, as the histograms record it.
    pub(super) fn micros(&self) -> Option<u64> {
        self.served_at.map(|at| (at.max(0.001) * 1e3) as u64)
    }
}

/// Accumulates the outcomes of parts of the traffic by name.
#[derive(Default)]
pub(super) struct Parts(BTreeMap<String, (Part, Times)>);

/// Times of served requests (us).
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(histogram())
    }
}

impl Parts {
    /// Adds a request to a part of the traffic.
    pub(super) fn add(&mut self, name: &str, arrival: &Arrival, one: &Ended) {
        let (part, times) = self.0.entry(name.to_owned()).or_default();
        part.flows.add(one);
        part.worth = (part.worth.0 + arrival.worth, part.worth.1 + one.earned(arrival));
        one.micros().into_iter().for_each(|t| times.0.saturating_record(t));
    }

    /// Computes the outcome of each part.
    pub(super) fn finish(self) -> BTreeMap<String, Part> {
        let finished = self.0.into_iter().map(|(name, (mut part, times))| {
            part.latency = Latency::of(&times.0);
            part.service = share(part.worth.1, part.worth.0);
            (name, part)
        });
        finished.collect()
    }
}

/// The least service of all parts; 1 where there is none.
pub(super) fn worst(parts: &BTreeMap<String, Part>) -> f64 {
    parts.values().map(|p| p.service).fold(1.0, f64::min)
}
