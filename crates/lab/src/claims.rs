//! A subsystem's promises as data: played, measured, and held against their bounds.

use crate::run::{result_text, How};
use crate::scale::{run_virtual, Experiment};
use crate::stats::{bootstrap, figure, mean, quantile};
use crate::strategies::Strategy;
use crate::sweep::{day_with, play_all, Task};
use indicatif::ProgressBar;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// First and last seed, where the command line names none.
    seeds: [u64; 2],
    #[serde(rename = "claim")]
    claims: Vec<Claim>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Claim {
    name: String,
    /// The day's file, relative to the claims' own.
    day: Option<PathBuf>,
    /// In place of a day: a scale experiment's file, run in virtual time.
    scale: Option<PathBuf>,
    #[serde(default)]
    strategy: Strategy,
    #[serde(default)]
    set: BTreeMap<String, toml::Value>,
    /// A path in `result.json` (of a scale experiment, in a point's figures), `violations`, or `deterministic` (1 where a second play gives equal bytes).
    metric: String,
    #[serde(default)]
    statistic: Statistic,
    at_least: Option<f64>,
    at_most: Option<f64>,
    /// Another variant that the figure is compared with, seed by seed.
    against: Option<Against>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Against {
    #[serde(default)]
    strategy: Strategy,
    #[serde(default)]
    set: BTreeMap<String, toml::Value>,
    /// The figure less the other's is at least this.
    at_least: Option<f64>,
    /// The figure less the other's is at most this.
    at_most: Option<f64>,
}

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
    fn of(self, values: &[f64]) -> f64 {
        match self {
            Statistic::Mean => mean(values),
            Statistic::Median => quantile(values, 0.5),
            Statistic::Min => quantile(values, 0.0),
            Statistic::Max => quantile(values, 1.0),
        }
    }
}

fn figures(
    claim: &Claim,
    base: &Path,
    strategy: Strategy,
    set: &BTreeMap<String, toml::Value>,
    seeds: [u64; 2],
) -> Result<Vec<f64>, String> {
    let day = match (&claim.day, &claim.scale) {
        (Some(day), None) => day_with(&base.join(day), set)?,
        (None, Some(scale)) => return scale_figures(claim, &base.join(scale), set, seeds),
        _ => return Err(format!("claim {}: it names a day or a scale experiment", claim.name)),
    };
    let how = How { strategy, ..How::default() };
    let task = |seed| Task { variant: claim.name.clone(), day: day.clone(), seed, how: how.clone() };
    let twice = claim.metric == "deterministic";
    let each = if twice { 2 } else { 1 };
    let tasks: Vec<Task> = (seeds[0]..=seeds[1]).flat_map(|s| (0..each).map(move |_| s)).map(task).collect();
    let played = play_all(&tasks, None).into_iter().collect::<Result<Vec<_>, _>>()?;
    if twice {
        let texts = played.iter().map(|p| result_text(&p.outcome)).collect::<Result<Vec<_>, _>>()?;
        return Ok(texts.chunks(2).map(|pair| f64::from(u8::from(pair[0] == pair[1]))).collect());
    }
    let value = |p: &crate::run::Played| {
        let value = serde_json::to_value(&p.outcome).map_err(|e| e.to_string())?;
        figure(&value, &claim.metric)
            .ok_or_else(|| format!("claim {}: no figure {}", claim.name, claim.metric))
    };
    played.iter().map(value).collect()
}

/// A figure of a scale experiment, for each seed.
fn scale_figures(
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
    let of_seed = |seed: u64| -> Result<f64, String> {
        let result = run(seed)?;
        if claim.metric == "deterministic" {
            return Ok(f64::from(u8::from(run(seed)? == result)));
        }
        let value = figure(&result, &claim.metric);
        value.ok_or_else(|| format!("claim {}: no figure {}", claim.name, claim.metric))
    };
    (seeds[0]..=seeds[1]).map(of_seed).collect()
}

/// Runs all claims of a file. Returns the table, and whether all are kept.
pub fn claims(file: &Path, seeds: Option<[u64; 2]>) -> Result<(String, bool), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let all: File = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let seeds = seeds.unwrap_or(all.seeds);
    let base = file.parent().unwrap_or(Path::new("."));
    let mut table = String::from("| claim | figure | 95% interval | bound | kept |\n|---|---|---|---|---|\n");
    let mut kept_all = true;
    for claim in &all.claims {
        if claim.at_least.is_none() && claim.at_most.is_none() && claim.against.is_none() {
            return Err(format!("{name}: claim {}: no bound", claim.name));
        }
        let values = figures(claim, base, claim.strategy, &claim.set, seeds)?;
        let mut row = |what: &str, values: &[f64], low: Option<f64>, high: Option<f64>| {
            let e = bootstrap(values, |v| claim.statistic.of(v));
            let kept = low.is_none_or(|b| e.value >= b) && high.is_none_or(|b| e.value <= b);
            kept_all &= kept;
            let bound = [low.map(|b| format!("at least {b}")), high.map(|b| format!("at most {b}"))];
            let bound = bound.into_iter().flatten().collect::<Vec<_>>().join(", ");
            let word = if kept { "yes" } else { "NO" };
            let _ = writeln!(
                table,
                "| {}{what} | {:?} {:.4} | [{:.4}, {:.4}] of {} | {bound} | {word} |",
                claim.name, claim.statistic, e.value, e.low, e.high, e.n
            );
        };
        if claim.at_least.is_some() || claim.at_most.is_some() {
            row("", &values, claim.at_least, claim.at_most);
        }
        if let Some(other) = &claim.against {
            let set = if other.set.is_empty() { &claim.set } else { &other.set };
            let others = figures(claim, base, other.strategy, set, seeds)?;
            let differences: Vec<f64> = values.iter().zip(&others).map(|(a, b)| a - b).collect();
            row(&format!(", less {}", other.strategy.name()), &differences, other.at_least, other.at_most);
        }
    }
    Ok((table, kept_all))
}
