//! Quantiles of times, in microseconds.

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time told apart from longer ones: 100 s, in nanoseconds.
const LONGEST_NS: u64 = 100_000_000_000;
/// Significant decimal digits kept of each time.
const DIGITS: u8 = 3;
/// Points of a distribution that are kept for later computations.
const KEPT: usize = 2_000;

/// Times, collected in a histogram of high dynamic range.
#[derive(Clone, Debug)]
pub struct Times(Option<Histogram<u64>>);

impl Default for Times {
    fn default() -> Times {
        Times(Histogram::new_with_bounds(1, LONGEST_NS, DIGITS).ok())
    }
}

/// The quantiles that capacity is planned by, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many times there are.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// Half are no longer than this.
    pub p50: f64,
    /// 99 in 100 are no longer than this.
    pub p99: f64,
    /// 999 in 1,000 are no longer than this.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Times {
    /// Adds a time in microseconds; negative ones count as nothing.
    pub fn add(&mut self, micros: f64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((micros.max(0.0) * 1e3) as u64);
        }
    }

    /// A quantile, 0 to 1, in microseconds.
    pub fn quantile(&self, part: f64) -> f64 {
        self.0.as_ref().map_or(0.0, |h| h.value_at_quantile(part) as f64 / 1e3)
    }

    /// The quantiles that capacity is planned by.
    pub fn quantiles(&self) -> Quantiles {
        let Some(histogram) = &self.0 else { return Quantiles::default() };
        Quantiles {
            count: histogram.len(),
            mean: histogram.mean() / 1e3,
            p50: self.quantile(0.5),
            p99: self.quantile(0.99),
            p999: self.quantile(0.999),
            max: if histogram.is_empty() { 0.0 } else { histogram.max() as f64 / 1e3 },
        }
    }
}

/// Evenly spaced points of the sorted samples, the greatest among them.
pub fn thinned(mut samples: Vec<f64>) -> Vec<f64> {
    samples.sort_unstable_by(f64::total_cmp);
    let count = samples.len().min(KEPT);
    let at = |i: usize| ((i + 1) * samples.len() / count).saturating_sub(1);
    let tenth = |micros: f64| (micros * 10.0).round() / 10.0;
    (0..count).map(|i| tenth(samples[at(i)])).collect()
}
