//! Statistics over seeds.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Resamples of a bootstrap, and the share of them inside of its interval.
const RESAMPLES: usize = 4_000;
const INSIDE: f64 = 0.95;

/// A figure with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Estimate {
    pub value: f64,
    pub low: f64,
    pub high: f64,
    pub n: usize,
}

pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = q * (sorted.len().max(1) - 1) as f64;
    let (low, high) = (at.floor() as usize, at.ceil() as usize);
    match (sorted.get(low), sorted.get(high)) {
        (Some(a), Some(b)) => a + (b - a) * at.fract(),
        _ => f64::NAN,
    }
}

/// The percentile bootstrap (Efron 1979) of a statistic, from a fixed seed: equal figures, equal interval.
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
    let resampled: Vec<f64> = (0..RESAMPLES).map(draw).collect();
    let tail = (1.0 - INSIDE) / 2.0;
    Estimate {
        value,
        low: quantile(&resampled, tail),
        high: quantile(&resampled, 1.0 - tail),
        n: values.len(),
    }
}

/// A figure in a result by its path, as `classes.place-order.service`.
pub fn figure(result: &serde_json::Value, path: &str) -> Option<f64> {
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
    fn quantiles_lie_between_their_neighbours() {
        assert_eq!(quantile(&[3.0, 1.0, 2.0], 0.5), 2.0);
        assert_eq!(quantile(&[1.0, 2.0], 0.25), 1.25);
    }

    #[test]
    fn an_interval_holds_the_mean_and_says_when_there_is_none() {
        let values: Vec<f64> = (0..30).map(|n| f64::from(n % 7)).collect();
        let e = bootstrap(&values, mean);
        assert!(e.low < e.value && e.value < e.high, "{e:?}");
        assert_eq!(bootstrap(&values, mean), e, "the same again");
        assert!(bootstrap(&[1.0], mean).low.is_infinite(), "one figure tells nothing of chance");
    }

    #[test]
    fn figures_are_found_by_their_path() {
        let result = serde_json::json!({"classes": {"a": {"service": 0.5}}, "violation_counts": {"Late": 2, "Lost": 1}});
        assert_eq!(figure(&result, "classes.a.service"), Some(0.5));
        assert_eq!(figure(&result, "violations"), Some(3.0));
        assert_eq!(figure(&result, "nothing.here"), None);
    }
}
