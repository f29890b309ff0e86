//! Computed, not measured: what several layers of calls make of one layer's added latency.
//!
//! Layers are taken as independent and alike. A chain's added latency is the sum of one draw from
//! the measured distribution for each layer; its quantiles come from many such sums.

use crate::error::{within, Error, Result};
use crate::quantiles::Times;
use crate::report::{Report, Table};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// What to compute.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// A result of the `latency` or of the `decisions` measurement.
    pub result: PathBuf,
    /// Numbers of layers.
    pub depths: Vec<usize>,
    /// Sums that are drawn for each.
    pub draws: usize,
    /// For random numbers.
    pub seed: u64,
}

/// Quantiles of the sum of so many draws from a distribution (µs).
pub fn sums(distribution: &[f64], depth: usize, draws: usize, seed: u64) -> Times {
    let (mut rng, mut times) = (ChaCha8Rng::seed_from_u64(seed), Times::default());
    if distribution.is_empty() {
        return times;
    }
    for _ in 0..draws {
        let one = |_| distribution[rng.random_range(0..distribution.len())];
        times.add((0..depth).map(one).sum());
    }
    times
}

/// One way at one rate, all rounds together; or one cell of the decisions.
struct Measured {
    name: String,
    /// Times less the middle time of no relay in the same round, or computed delays (µs).
    added: Vec<f64>,
}

fn numbers(value: &Value) -> Vec<f64> {
    value.as_array().map_or(Vec::new(), |list| list.iter().filter_map(Value::as_f64).collect())
}

/// Reads the distributions of a result and takes off what no relay took, where that was measured.
fn read(path: &Path) -> Result<Vec<Measured>> {
    let file = |source| Error::File { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(file)?;
    let wrong = |what: String| file(std::io::Error::new(std::io::ErrorKind::InvalidData, what));
    let result: Value = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    let turns = result["samples"].as_array().ok_or_else(|| wrong("has no samples".into()))?;
    let mut all: Vec<Measured> = Vec::new();
    for turn in turns {
        let direct = turns
            .iter()
            .find(|t| t["way"] == "None" && t["rate"] == turn["rate"] && t["round"] == turn["round"]);
        let base = direct.and_then(|t| t["times"]["p50"].as_f64()).unwrap_or(0.0);
        let name = match turn.get("cell") {
            Some(cell) => cell.to_string(),
            None => format!("{} at {}/s", turn["way"], turn["rate"]),
        };
        let added = numbers(&turn["distribution"]).into_iter().map(|t| (t - base).max(0.0));
        match all.iter_mut().find(|m| m.name == name) {
            Some(known) => known.added.extend(added),
            None => all.push(Measured { name, added: added.collect() }),
        }
    }
    Ok(all)
}

/// Computes all depths for all that was measured.
pub fn measure(options: &Options) -> Result<Report> {
    within("draws", options.draws, 1_000, 1_000_000)?;
    options.depths.iter().try_for_each(|n| within("depths", *n, 1, 100).map(drop))?;
    let mut report = Report::begin("layers", options);
    let mut table = Table::new(
        "Computed: added latency of a chain of calls, layers independent and alike (µs)",
        &["way", "layers", "sum of p50s", "p50", "p99", "p99.9"],
    );
    for measured in read(&options.result)? {
        let one = sums(&measured.added, 1, options.draws, options.seed).quantile(0.5);
        for &depth in &options.depths {
            let sum = sums(&measured.added, depth, options.draws, options.seed);
            let figures = [one * depth as f64, sum.quantile(0.5), sum.quantile(0.99), sum.quantile(0.999)];
            let head = [measured.name.replace('"', ""), depth.to_string()];
            table.row(head.into_iter().chain(figures.map(|f| format!("{f:.0}"))));
        }
    }
    report.tables.push(table);
    Ok(report.end())
}
