//! Rounded ratios and percentiles.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Rounds to six decimal places.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// A rounded ratio; `empty` where the denominator is 0.
fn part(part: f64, of: f64, empty: f64) -> f64 {
    if of > 0.0 {
        round(part / of)
    } else {
        empty
    }
}

/// Earned share of the requested worth; 1 where nothing was requested.
pub(super) fn share(earned: f64, asked: f64) -> f64 {
    part(earned, asked, 1.0)
}

/// A rounded ratio; 0 where the denominator is 0.
pub(super) fn ratio(some: f64, of: f64) -> f64 {
    part(some, of, 0.0)
}

/// Percentiles (ms) of the time from the first try to the response, over all served requests.
/// The load is open-loop, so there is no coordinated omission while a server stalls.
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

/// A histogram of times from 1 us to a minute, with three significant digits.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are in order"))
}

impl Latency {
    pub(super) fn of(times: &Histogram<u64>) -> Latency {
        let at = |q: f64| round(times.value_at_quantile(q) as f64 / 1e3);
        if times.is_empty() {
            return Latency::default();
        }
        Latency {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: round(times.max() as f64 / 1e3),
        }
    }
}
