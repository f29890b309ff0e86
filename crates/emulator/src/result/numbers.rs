//! Rounded ratios and percentiles.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Rounds to six decimal places.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// A rounded ratio; `empty` if the denominator is not above 0.
fn ratio_or(numerator: f64, denominator: f64, empty: f64) -> f64 {
    if denominator > 0.0 {
        round(numerator / denominator)
    } else {
        empty
    }
}

/// Earned share of the requested worth; 1 if nothing was requested.
pub(super) fn share(earned: f64, requested: f64) -> f64 {
    ratio_or(earned, requested, 1.0)
}

/// A rounded ratio; 0 if the denominator is not above 0.
pub(super) fn ratio(numerator: f64, denominator: f64) -> f64 {
    ratio_or(numerator, denominator, 0.0)
}

/// Percentiles (ms) of the time from arrival to response, over all served flows.
///
/// The load is open-loop, so stalls of a server cause no coordinated omission.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// Creates a histogram of times from 1 us to a minute with three significant digits.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl Latency {
    pub(super) fn from_histogram(latencies: &Histogram<u64>) -> Latency {
        let quantile = |q: f64| round(latencies.value_at_quantile(q) as f64 / 1e3);
        if latencies.is_empty() {
            return Latency::default();
        }
        Latency {
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: round(latencies.max() as f64 / 1e3),
        }
    }
}
