//! The time series of a simulation, by second.

use super::flows::FlowEnd;
use super::numbers::{histogram, round, share, Latency};
use crate::accounting::TryEnd;
use crate::schedule::Arrival;
use crate::simulation::Sample;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Length of the sliding window for the worst service (s).
const WINDOW_S: usize = 10;

/// The figures of one second of the scenario. The field names are keys of the series.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// The second, counted from 0.
    pub second: usize,
    /// Worth of the flows that arrived in it.
    pub worth: f64,
    /// Worth of those flows that were served within their latency goal.
    pub served: f64,
    /// Tries sent in it.
    pub tries: u64,
    /// Tries sent in it that were rejected.
    pub refused: u64,
    /// Median latency of the flows that arrived in it (ms).
    pub p50: f64,
    /// 99th percentile of their latency (ms).
    pub p99: f64,
    /// The state of the fleet.
    pub fleet: Sample,
}

/// Accumulates the time series; events after the end count towards the last second.
pub(super) struct Series {
    seconds: Vec<Second>,
    latencies: Vec<Histogram<u64>>,
}

impl Series {
    /// Creates a series of `seconds` seconds, at least one.
    pub(super) fn new(seconds: usize) -> Series {
        Series {
            seconds: (0..seconds).map(|second| Second { second, ..Second::default() }).collect(),
            latencies: (0..seconds).map(|_| histogram()).collect(),
        }
    }

    /// The index of the second that contains a time since the start of the scenario (ms).
    fn second_of(&self, at: f64) -> usize {
        ((at / 1e3).max(0.0) as usize).min(self.seconds.len() - 1)
    }

    /// Adds a flow to the second of its arrival.
    pub(super) fn add_flow(&mut self, arrival: &Arrival, end: &FlowEnd) {
        let second = self.second_of(arrival.at);
        self.seconds[second].worth += arrival.worth;
        self.seconds[second].served += end.earned(arrival);
        end.latency_us().into_iter().for_each(|time| self.latencies[second].saturating_record(time));
    }

    /// Adds a try sent at a time since the start of the scenario (ms).
    pub(super) fn add_try(&mut self, sent: f64, end: TryEnd) {
        let second = self.second_of(sent);
        self.seconds[second].tries += 1;
        self.seconds[second].refused += u64::from(matches!(end, TryEnd::Refused(_)));
    }

    /// The lowest share of worth served in any window of [`WINDOW_S`] seconds.
    pub(super) fn worst_window(&self) -> f64 {
        let windows = self.seconds.windows(WINDOW_S.min(self.seconds.len())).map(|w| {
            let sum = |f: fn(&Second) -> f64| w.iter().map(f).sum::<f64>();
            share(sum(|s| s.served), sum(|s| s.worth))
        });
        windows.fold(1.0, f64::min)
    }

    /// Finishes the series: rounds its figures and adds the samples of the fleet.
    pub(super) fn finish(mut self, samples: &[Sample]) -> Vec<Second> {
        for (second, latencies) in self.seconds.iter_mut().zip(&self.latencies) {
            let latency = Latency::from_histogram(latencies);
            (second.p50, second.p99) = (latency.p50, latency.p99);
            (second.worth, second.served) = (round(second.worth), round(second.served));
            if let Some(sample) = samples.get(second.second) {
                second.fleet = sample.clone();
                (second.fleet.capacity, second.fleet.idle) = (round(sample.capacity), round(sample.idle));
            }
        }
        self.seconds
    }
}
