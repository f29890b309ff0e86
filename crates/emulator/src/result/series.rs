//! The scenario by second.

use super::flows::Ended;
use super::numbers::{histogram, round, share, Latency};
use crate::accounting::TryEnd;
use crate::schedule::Arrival;
use crate::simulation::Sample;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The window that the worst is looked for in (s).
const WINDOW: usize = 10;

/// One second of the scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Which.
    pub second: usize,
    /// Worth asked for.
    pub worth: f64,
    /// Worth answered within its aim, by the second of the first try.
    pub served: f64,
    /// Tries sent and refused in it.
    pub tries: u64,
    /// Refused tries.
    pub refused: u64,
    /// Latency of flows that began in it (ms): half, and 99 in 100, are faster.
    pub p50: f64,
    /// See above.
    pub p99: f64,
    /// The fleet.
    pub fleet: Sample,
}

/// The seconds of a scenario while they are counted; what lies beyond the last counts to it.
pub(super) struct Series {
    seconds: Vec<Second>,
    times: Vec<Histogram<u64>>,
}

impl Series {
    /// So many seconds, at least one.
    pub(super) fn new(seconds: usize) -> Series {
        Series {
            seconds: (0..seconds).map(|second| Second { second, ..Second::default() }).collect(),
            times: (0..seconds).map(|_| histogram()).collect(),
        }
    }

    /// The second of a time of the scenario (ms).
    fn at(&self, at: f64) -> usize {
        ((at / 1e3).max(0.0) as usize).min(self.seconds.len() - 1)
    }

    /// Counts a flow to the second of its arrival.
    pub(super) fn add_flow(&mut self, arrival: &Arrival, one: &Ended) {
        let second = self.at(arrival.at);
        self.seconds[second].worth += arrival.worth;
        self.seconds[second].served += one.earned(arrival);
        one.micros().into_iter().for_each(|time| self.times[second].saturating_record(time));
    }

    /// Counts a try to the second of the scenario (ms) in which it was sent.
    pub(super) fn add_try(&mut self, sent: f64, end: TryEnd) {
        let second = self.at(sent);
        self.seconds[second].tries += 1;
        self.seconds[second].refused += u64::from(matches!(end, TryEnd::Refused(_)));
    }

    /// The share of the worth that was earned in the worst window.
    pub(super) fn worst_window(&self) -> f64 {
        let windows = self.seconds.windows(WINDOW.min(self.seconds.len())).map(|w| {
            let sum = |f: fn(&Second) -> f64| w.iter().map(f).sum::<f64>();
            share(sum(|s| s.served), sum(|s| s.worth))
        });
        windows.fold(1.0, f64::min)
    }

    /// The seconds, rounded, with the fleet in each.
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
