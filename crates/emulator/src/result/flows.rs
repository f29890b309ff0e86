//! Flows by their end, in total and by class and tenant.

use super::numbers::{histogram, share, Latency};
use crate::accounting::{Try, TryEnd};
use crate::schedule::{Arrival, Schedule};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts of flows by their end; every arrival is counted once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Flows {
    /// Arrivals whose application was running.
    pub asked: u64,
    /// Arrivals whose application was down.
    pub unasked: u64,
    /// Flows of which at least one try was written completely to a sidecar.
    pub taken: u64,
    /// Served within the latency goal of the class, counted from the arrival.
    pub served: u64,
    /// Served later.
    pub late: u64,
    /// Not served, and the last try was rejected.
    pub refused: u64,
    /// Not served, and the last try failed or got no response.
    pub failed: u64,
}

/// The outcome of one class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    /// Share of the requested worth that was served within the latency goal.
    pub service: f64,
    /// Counts of flows.
    pub flows: Flows,
    /// Time from the arrival to the response (ms).
    pub latency: Latency,
    /// Requested and earned worth.
    #[serde(skip)]
    worth: (f64, f64),
}

/// How a flow ended.
pub(super) struct FlowEnd {
    /// Time from the arrival to the response that served it (ms).
    served_at: Option<f64>,
    /// Whether that was within the latency goal of the class.
    in_time: bool,
    last_try: TryEnd,
    written: bool,
}

/// Determines how a flow that arrived at `arrived` (ms) ended from its tries.
pub(super) fn flow_end(schedule: &Schedule, tries: &[&Try], arrived: f64, flow: usize) -> FlowEnd {
    let latency_goal = schedule.class(&schedule.arrivals[flow]).aim_ms;
    let served_at = tries.iter().find(|t| t.end == TryEnd::Served).map(|t| t.ended - arrived);
    FlowEnd {
        served_at,
        in_time: served_at.is_some_and(|at| at <= latency_goal),
        last_try: tries.last().map_or(TryEnd::Nothing, |t| t.end),
        written: tries.iter().any(|t| t.written),
    }
}

impl Flows {
    pub(super) fn add(&mut self, end: &FlowEnd) {
        self.asked += 1;
        self.taken += u64::from(end.written);
        match (end.in_time, end.served_at, end.last_try) {
            (true, ..) => self.served += 1,
            (false, Some(_), _) => self.late += 1,
            (_, _, TryEnd::Refused(_)) => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

impl FlowEnd {
    /// The worth that the flow earned.
    pub(super) fn earned(&self, arrival: &Arrival) -> f64 {
        if self.in_time {
            arrival.worth
        } else {
            0.0
        }
    }

    /// The time to the response in microseconds, the unit of the histograms; `None` if not served.
    pub(super) fn latency_us(&self) -> Option<u64> {
        self.served_at.map(|at| (at.max(0.001) * 1e3) as u64)
    }
}

/// Accumulates the outcomes of classes or tenants by name.
#[derive(Default)]
pub(super) struct Parts(BTreeMap<String, (Part, Latencies)>);

/// Latencies of served flows (us).
struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Latencies {
        Latencies(histogram())
    }
}

impl Parts {
    /// Adds a flow to the class or tenant with a name.
    pub(super) fn add(&mut self, name: &str, arrival: &Arrival, end: &FlowEnd) {
        let (part, latencies) = self.0.entry(name.to_owned()).or_default();
        part.flows.add(end);
        part.worth = (part.worth.0 + arrival.worth, part.worth.1 + end.earned(arrival));
        end.latency_us().into_iter().for_each(|t| latencies.0.saturating_record(t));
    }

    /// Computes the outcome of each class or tenant.
    pub(super) fn finish(self) -> BTreeMap<String, Part> {
        let finished = self.0.into_iter().map(|(name, (mut part, latencies))| {
            part.latency = Latency::from_histogram(&latencies.0);
            part.service = share(part.worth.1, part.worth.0);
            (name, part)
        });
        finished.collect()
    }
}

/// The lowest service of all classes or tenants; 1 if there are none.
pub(super) fn worst_service(parts: &BTreeMap<String, Part>) -> f64 {
    parts.values().map(|p| p.service).fold(1.0, f64::min)
}
