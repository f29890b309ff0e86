//! Computed, not measured: the latency that a chain of several layers adds, from that of one layer.
//!
//! Layers are assumed to be independent and identically distributed. The added latency of a chain is the
//! sum of one draw from the measured distribution per layer; its quantiles come from many such sums.

use crate::error::{check_range, Error, Result};
use crate::quantiles::TimeHistogram;
use crate::report::{Report, Table};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// The arguments of the computation.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Path of a JSON result of the `latency` or the `decisions` measurement.
    pub result: PathBuf,
    /// Numbers of layers.
    pub depths: Vec<usize>,
    /// Number of sums drawn for each number of layers.
    pub draws: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Draws `draws` sums of `depth` values each from a distribution (µs).
pub fn draw_sums(distribution: &[f64], depth: usize, draws: usize, seed: u64) -> TimeHistogram {
    let (mut rng, mut times) = (ChaCha8Rng::seed_from_u64(seed), TimeHistogram::default());
    if distribution.is_empty() {
        return times;
    }
    for _ in 0..draws {
        let draw = |_| distribution[rng.random_range(0..distribution.len())];
        times.record((0..depth).map(draw).sum());
    }
    times
}

/// The added latency of one call path at one rate over all rounds, or of one cell of the decisions.
struct AddedLatency {
    name: String,
    /// Times less the median of the direct calls in the same round, or computed delays (µs).
    times_us: Vec<f64>,
}

fn parse_numbers(value: &Value) -> Vec<f64> {
    value.as_array().map_or(Vec::new(), |list| list.iter().filter_map(Value::as_f64).collect())
}

/// Reads the distributions of a result and subtracts the median of the direct calls, if those were measured.
fn read_result(path: &Path) -> Result<Vec<AddedLatency>> {
    let file_error = |source| Error::File { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(file_error)?;
    let format_error =
        |reason: String| file_error(std::io::Error::new(std::io::ErrorKind::InvalidData, reason));
    let result: Value = serde_json::from_str(&text).map_err(|e| format_error(e.to_string()))?;
    let turns = result["samples"].as_array().ok_or_else(|| format_error("has no samples".into()))?;
    let mut all: Vec<AddedLatency> = Vec::new();
    for turn in turns {
        let direct = turns
            .iter()
            .find(|t| t["way"] == "None" && t["rate"] == turn["rate"] && t["round"] == turn["round"]);
        let base_us = direct.and_then(|t| t["times"]["p50"].as_f64()).unwrap_or(0.0);
        let name = match turn.get("cell") {
            Some(cell) => cell.to_string(),
            None => format!("{} at {}/s", turn["way"], turn["rate"]),
        };
        let added = parse_numbers(&turn["distribution"]).into_iter().map(|t| (t - base_us).max(0.0));
        match all.iter_mut().find(|m| m.name == name) {
            Some(known) => known.times_us.extend(added),
            None => all.push(AddedLatency { name, times_us: added.collect() }),
        }
    }
    Ok(all)
}

/// Computes all numbers of layers for every distribution of the result.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("draws", options.draws, 1_000, 1_000_000)?;
    options.depths.iter().try_for_each(|n| check_range("depths", *n, 1, 100).map(drop))?;
    let mut report = Report::start("layers", options);
    let mut table = Table::new(
        "Computed: added latency of a chain of calls, layers independent and alike (µs)",
        &["way", "layers", "sum of p50s", "p50", "p99", "p99.9"],
    );
    for measured in read_result(&options.result)? {
        let one_layer_p50 = draw_sums(&measured.times_us, 1, options.draws, options.seed).quantile(0.5);
        for &depth in &options.depths {
            let sum = draw_sums(&measured.times_us, depth, options.draws, options.seed);
            let figures =
                [one_layer_p50 * depth as f64, sum.quantile(0.5), sum.quantile(0.99), sum.quantile(0.999)];
            let head = [measured.name.replace('"', ""), depth.to_string()];
            table.add_row(head.into_iter().chain(figures.map(|f| format!("{f:.0}"))));
        }
    }
    report.tables.push(table);
    Ok(report.finish())
}
