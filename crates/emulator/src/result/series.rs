//! The time series of a simulation, by second.

use super::flows::Ended;
use super::numbers::{histogram, round, share, Latency};
use crate::accounting::TryEnd;
use crate::schedule::Arrival;
use crate::simulation::Sample;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Length of the sliding window for the worst service (s).
const WINDOW: usize = 10;

/// The figures of one second of the scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// The second, counted from 0.
    pub second: usize,
    /// Requested worth.
    pub worth: f64,
    /// Worth served within its aim, by the second of the arrival.
    pub served: f64,
    /// Tries sent.
    pub tries: u64,
    /// Rejected tries, by the second in which they were sent.
    pub refused: u64,
    /// Median latency of the requests that arrived in it (ms).
    pub p50: f64,
    /// 99th percentile of the latency (ms).
    pub p99: f64,
    /// The state of the fleet.
    pub fleet: Sample,
}

/// Accumulates the time series; later events count to the last second.
pub(super) struct Series {
    seconds: Vec<Second>,
    times: Vec<Histogram<u64>>,
}

impl Series {
    /// Creates a series of so many seconds, which must be at least one.
    pub(super) fn new(seconds: usize) -> Series {
        Series {
            seconds: (0..seconds).map(|second| Second { second, ..Second::default() }).collect(),
            times: (0..seconds).map(|_| histogram()).collect(),
        }
    }

    /// The index of the second of a time since the scenario's begin (ms).
    fn at(&self, at: f64) -> usize {
        ((at / 1e3).max(0.0) as usize).min(self.seconds.len() - 1)
    }

    /// Adds a request to the second of its arrival.
    pub(super) fn add_flow(&mut self, arrival: &Arrival, one: &Ended) {
        let second = self.at(arrival.at);
        self.seconds[second].worth += arrival.worth;
        self.seconds[second].served += one.earned(arrival);
        one.micros().into_iter().for_each(|time| self.times[second].saturating_record(time));
    }

    /// Adds a try that was sent at a time since the scenario's begin (ms).
    pub(super) fn add_try(&mut self, sent: f64, end: TryEnd) {
        let second = self.at(sent);
        self.seconds[second].tries += 1;
        self.seconds[second].refused += u64::from(matches!(end, TryEnd::Refused(_)));
    }

    /// The service in the worst window.
    pub(super) fn worst_window(&self) -> f64 {
        let windows = self.seconds.windows(WINDOW.min(self.seconds.len())).map(|w| {
            let sum = |f: fn(&Second) -> f64| w.iter().map(f).sum::<f64>();
            share(sum(|s| s.served), sum(|s| s.worth))
        });
        windows.fold(1.0, f64::min)
    }

    /// The rounded figures, with the sample of the fleet in each second.
    pub(super) fn finish(mut self, samples: &[Sample]) -> Vec<Second> {
        for (second, times) in self.seconds.iter_mut().zip(&self.times) {
            let latency = Latency::of(times);
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
