//! Claims: performance statements about a subsystem, kept as data, measured and checked against their bounds.

use crate::run::{result_json, CompletedRun, RunOptions};
use crate::scale::{run_virtual, Experiment};
use crate::stats::{bootstrap, mean, metric_value, quantile};
use crate::strategies::Strategy;
use crate::sweep::{load_scenario_with, run_tasks, Task};
use indicatif::ProgressBar;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// A claims file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClaimsFile {
    /// First and last seed, unless the command line gives them.
    seeds: [u64; 2],
    #[serde(rename = "claim")]
    claims: Vec<Claim>,
}

/// One statement: a metric of a scenario or a scale experiment, with its bounds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Claim {
    name: String,
    /// Scenario file, relative to the claims file.
    #[serde(rename = "day")]
    scenario: Option<PathBuf>,
    /// Instead of a scenario: the file of a scale experiment, run in virtual time.
    scale: Option<PathBuf>,
    #[serde(default)]
    strategy: Strategy,
    #[serde(default)]
    set: BTreeMap<String, toml::Value>,
    /// A path in `result.json` (for a scale experiment, in a point's figures), `violations`, or `deterministic`
    /// (1 if a second run gives the same bytes).
    metric: String,
    #[serde(default)]
    statistic: Statistic,
    at_least: Option<f64>,
    at_most: Option<f64>,
    /// Another variant that the metric is compared with, seed by seed.
    against: Option<Comparison>,
}

/// The variant that a claim is compared with.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Comparison {
    #[serde(default)]
    strategy: Strategy,
    #[serde(default)]
    set: BTreeMap<String, toml::Value>,
    /// Lower bound of the claim's metric minus that of this variant.
    at_least: Option<f64>,
    /// Upper bound of the claim's metric minus that of this variant.
    at_most: Option<f64>,
}

/// How the values of the seeds are combined into one.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Statistic {
    #[default]
    Mean,
    Median,
    Min,
    Max,
}

impl Statistic {
    fn apply(self, values: &[f64]) -> f64 {
        match self {
            Statistic::Mean => mean(values),
            Statistic::Median => quantile(values, 0.5),
            Statistic::Min => quantile(values, 0.0),
            Statistic::Max => quantile(values, 1.0),
        }
    }
}

/// The claim's metric for each seed.
fn claim_values(
    claim: &Claim,
    base: &Path,
    strategy: Strategy,
    set: &BTreeMap<String, toml::Value>,
    seeds: [u64; 2],
) -> Result<Vec<f64>, String> {
    let scenario = match (&claim.scenario, &claim.scale) {
        (Some(path), None) => load_scenario_with(&base.join(path), set)?,
        (None, Some(scale)) => return scale_values(claim, &base.join(scale), set, seeds),
        _ => return Err(format!("claim {}: needs either a day or a scale experiment", claim.name)),
    };
    let options = RunOptions { strategy, ..RunOptions::default() };
    let task = |seed| Task {
        variant: claim.name.clone(),
        scenario: scenario.clone(),
        seed,
        options: options.clone(),
    };
    let check_determinism = claim.metric == "deterministic";
    let runs_per_seed = if check_determinism { 2 } else { 1 };
    let tasks: Vec<Task> =
        (seeds[0]..=seeds[1]).flat_map(|s| (0..runs_per_seed).map(move |_| s)).map(task).collect();
    let completed = run_tasks(&tasks, None).into_iter().collect::<Result<Vec<_>, _>>()?;
    if check_determinism {
        let texts = completed.iter().map(|run| result_json(&run.outcome)).collect::<Result<Vec<_>, _>>()?;
        return Ok(texts.chunks(2).map(|pair| f64::from(u8::from(pair[0] == pair[1]))).collect());
    }
    let value = |run: &CompletedRun| {
        let value = serde_json::to_value(&run.outcome).map_err(|e| e.to_string())?;
        metric_value(&value, &claim.metric)
            .ok_or_else(|| format!("claim {}: result has no metric {}", claim.name, claim.metric))
    };
    completed.iter().map(value).collect()
}

/// The claim's metric of a scale experiment, for each seed.
fn scale_values(
    claim: &Claim,
    file: &Path,
    set: &BTreeMap<String, toml::Value>,
    seeds: [u64; 2],
) -> Result<Vec<f64>, String> {
    let experiment = Experiment::load_with(file, set)?;
    let run = |seed: u64| -> Result<serde_json::Value, String> {
        let experiment = Experiment { seed, ..experiment.clone() };
        serde_json::to_value(run_virtual(&experiment, &ProgressBar::hidden())?).map_err(|e| e.to_string())
    };
    let value_for_seed = |seed: u64| -> Result<f64, String> {
        let result = run(seed)?;
        if claim.metric == "deterministic" {
            return Ok(f64::from(u8::from(run(seed)? == result)));
        }
        let value = metric_value(&result, &claim.metric);
        value.ok_or_else(|| format!("claim {}: result has no metric {}", claim.name, claim.metric))
    };
    (seeds[0]..=seeds[1]).map(value_for_seed).collect()
}

/// Checks all claims of a file. Returns the result table, and whether all claims hold.
pub fn check_claims(file: &Path, seeds: Option<[u64; 2]>) -> Result<(String, bool), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let claims_file: ClaimsFile = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let seeds = seeds.unwrap_or(claims_file.seeds);
    let base = file.parent().unwrap_or(Path::new("."));
    let mut table = String::from("| claim | figure | 95% interval | bound | kept |\n|---|---|---|---|---|\n");
    let mut all_hold = true;
    for claim in &claims_file.claims {
        if claim.at_least.is_none() && claim.at_most.is_none() && claim.against.is_none() {
            return Err(format!("{name}: claim {}: has no bound", claim.name));
        }
        let values = claim_values(claim, base, claim.strategy, &claim.set, seeds)?;
        let mut row = |suffix: &str, values: &[f64], low: Option<f64>, high: Option<f64>| {
            let estimate = bootstrap(values, |v| claim.statistic.apply(v));
            let holds = low.is_none_or(|b| estimate.value >= b) && high.is_none_or(|b| estimate.value <= b);
            all_hold &= holds;
            let bound = [low.map(|b| format!("at least {b}")), high.map(|b| format!("at most {b}"))];
            let bound = bound.into_iter().flatten().collect::<Vec<_>>().join(", ");
            let word = if holds { "yes" } else { "NO" };
            let _ = writeln!(
                table,
                "| {}{suffix} | {:?} {:.4} | [{:.4}, {:.4}] of {} | {bound} | {word} |",
                claim.name, claim.statistic, estimate.value, estimate.low, estimate.high, estimate.n
            );
        };
        if claim.at_least.is_some() || claim.at_most.is_some() {
            row("", &values, claim.at_least, claim.at_most);
        }
        if let Some(other) = &claim.against {
            let set = if other.set.is_empty() { &claim.set } else { &other.set };
            let other_values = claim_values(claim, base, other.strategy, set, seeds)?;
            let differences: Vec<f64> = values.iter().zip(&other_values).map(|(a, b)| a - b).collect();
            row(&format!(", less {}", other.strategy.name()), &differences, other.at_least, other.at_most);
        }
    }
    Ok((table, all_hold))
}
