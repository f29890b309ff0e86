//! Quantiles of times, in microseconds.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that the histogram distinguishes: 100 s, in nanoseconds. Longer times count as this long.
const MAX_TIME_NS: u64 = 100_000_000_000;
/// Significant decimal digits that the histogram keeps of each time.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of points that a report keeps of a distribution, for later computations.
const MAX_DISTRIBUTION_POINTS: usize = 2_000;

/// Times, collected in a histogram of high dynamic range.
#[derive(Clone, Debug)]
pub struct TimeHistogram(Option<Histogram<u64>>);

impl Default for TimeHistogram {
    fn default() -> TimeHistogram {
        TimeHistogram(Histogram::new_with_bounds(1, MAX_TIME_NS, SIGNIFICANT_DIGITS).ok())
    }
}

/// The quantiles that capacity is planned by, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of times recorded.
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

impl TimeHistogram {
    /// Records a time in microseconds; negative times count as zero.
    pub fn record(&mut self, micros: f64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((micros.max(0.0) * 1e3) as u64);
        }
    }

    /// Returns a quantile in microseconds; `quantile` is from 0 to 1.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.0.as_ref().map_or(0.0, |h| h.value_at_quantile(quantile) as f64 / 1e3)
    }

    /// Returns the quantiles that capacity is planned by.
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

/// Returns evenly spaced points of the sorted samples, the greatest among them, rounded to a tenth of a
/// microsecond.
pub fn evenly_spaced_points(mut samples: Vec<f64>) -> Vec<f64> {
    samples.sort_unstable_by(f64::total_cmp);
    let count = samples.len().min(MAX_DISTRIBUTION_POINTS);
    let sample_index = |i: usize| ((i + 1) * samples.len() / count).saturating_sub(1);
    let round_to_tenth = |micros: f64| (micros * 10.0).round() / 10.0;
    (0..count).map(|i| round_to_tenth(samples[sample_index(i)])).collect()
}
