//! Rounded shares and percentiles, as a result states them.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Rounds to six digits behind the point.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// A part of something; `empty` where there is nothing to be a part of.
fn part(part: f64, of: f64, empty: f64) -> f64 {
    if of > 0.0 {
        round(part / of)
    } else {
        empty
    }
}

/// Worth earned of the worth asked for; nothing asked for is nothing lost.
pub(super) fn share(earned: f64, asked: f64) -> f64 {
    part(earned, asked, 1.0)
}

/// A part of something; nothing of nothing is nothing.
pub(super) fn ratio(some: f64, of: f64) -> f64 {
    part(some, of, 0.0)
}

/// Percentiles (ms) of the time from the first try to the answer of flows that were served at all.
/// Arrivals do not wait for answers, so nothing is omitted while a server stalls.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Half are faster.
    pub p50: f64,
    /// Nine in ten are faster.
    pub p90: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
    /// 999 in 1000 are faster.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

/// A histogram of times in microseconds, up to a minute, to three digits.
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
