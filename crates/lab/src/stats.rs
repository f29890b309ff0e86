//! Statistics over the results of several seeds.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOOTSTRAP_RESAMPLES: usize = 4_000;
/// Share of the resamples that lie within a confidence interval.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// An estimate with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Estimate {
    /// The statistic of all values.
    pub value: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
    /// Number of values.
    pub n: usize,
}

/// The arithmetic mean; 0 for no values.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The quantile `q` (0 to 1), interpolated between neighbouring values; NaN for no values.
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let position = q * (sorted.len().max(1) - 1) as f64;
    let (low, high) = (position.floor() as usize, position.ceil() as usize);
    match (sorted.get(low), sorted.get(high)) {
        (Some(a), Some(b)) => a + (b - a) * position.fract(),
        _ => f64::NAN,
    }
}

/// The percentile bootstrap (Efron 1979) of a statistic. Its seed is fixed, so equal values give equal intervals;
/// fewer than two values give an infinite one.
pub fn bootstrap(values: &[f64], statistic: impl Fn(&[f64]) -> f64) -> Estimate {
    let mut rng = ChaCha8Rng::seed_from_u64(values.len() as u64);
    let draw = |_| {
        let sample: Vec<f64> = values.iter().map(|_| values[rng.random_range(0..values.len())]).collect();
        statistic(&sample)
    };
    let value = statistic(values);
    if values.len() < 2 {
        return Estimate { value, low: f64::NEG_INFINITY, high: f64::INFINITY, n: values.len() };
    }
    let resampled: Vec<f64> = (0..BOOTSTRAP_RESAMPLES).map(draw).collect();
    let tail = (1.0 - CONFIDENCE_LEVEL) / 2.0;
    Estimate {
        value,
        low: quantile(&resampled, tail),
        high: quantile(&resampled, 1.0 - tail),
        n: values.len(),
    }
}

/// A number in a result by its path, such as `classes.place-order.service`; `violations` is the count of all.
pub fn metric_value(result: &serde_json::Value, path: &str) -> Option<f64> {
    if path == "violations" {
        let counts = result.get("violation_counts")?.as_object()?;
        return Some(counts.values().filter_map(serde_json::Value::as_f64).fold(0.0, |a, b| a + b));
    }
    path.split('.').try_fold(result, |at, key| at.get(key))?.as_f64()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_are_interpolated_between_neighbouring_values() {
        assert_eq!(quantile(&[3.0, 1.0, 2.0], 0.5), 2.0);
        assert_eq!(quantile(&[1.0, 2.0], 0.25), 1.25);
    }

    #[test]
    fn intervals_contain_the_mean_and_are_infinite_for_one_value() {
        let values: Vec<f64> = (0..30).map(|n| f64::from(n % 7)).collect();
        let estimate = bootstrap(&values, mean);
        assert!(estimate.low < estimate.value && estimate.value < estimate.high, "{estimate:?}");
        assert_eq!(bootstrap(&values, mean), estimate, "equal values must give an equal interval");
        assert!(bootstrap(&[1.0], mean).low.is_infinite(), "one value has no confidence interval");
    }

    #[test]
    fn metric_values_are_found_by_path() {
        let result = serde_json::json!({"classes": {"a": {"service": 0.5}}, "violation_counts": {"Late": 2, "Lost": 1}});
        assert_eq!(metric_value(&result, "classes.a.service"), Some(0.5));
        assert_eq!(metric_value(&result, "violations"), Some(3.0));
        assert_eq!(metric_value(&result, "nothing.here"), None);
    }
}
