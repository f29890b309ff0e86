//! Experiments: runs every variant with every scenario and seed, in parallel on all cores, and compares results.

use crate::report::comparison_chart;
use crate::run::{run_scenario, write_file, write_results, CompletedRun, RunOptions};
use crate::stats::{bootstrap, mean, metric_value, quantile};
use crate::strategies::Strategy;
use indicatif::ProgressBar;
use roseproxy_emulator::scenario::Scenario;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// An experiment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, as shown in the table and the chart.
    pub name: String,
    /// Scenario files, relative to the experiment file.
    #[serde(rename = "days")]
    pub scenarios: Vec<PathBuf>,
    /// First and last seed.
    pub seeds: [u64; 2],
    /// Metrics in the table, as paths in `result.json`.
    #[serde(default = "default_metrics")]
    pub metrics: Vec<String>,
    /// Variants to compare.
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

fn default_metrics() -> Vec<String> {
    ["service", "worst_window", "refusals.tries_share", "latency.p99", "violations"]
        .map(String::from)
        .to_vec()
}

/// One variant of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name of the variant, and of its folder of results.
    pub name: String,
    /// Strategy of all sidecars.
    #[serde(default)]
    pub strategy: Strategy,
    /// Keys of the scenario that the variant sets, by path: `"load.of_capacity" = 0.6`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
    /// Sidecar program to run on real sockets instead of virtual time, for example another build.
    #[serde(default)]
    pub program: Option<PathBuf>,
}

/// One run of a scenario.
#[derive(Clone, Debug)]
pub struct Task {
    /// Name of the variant.
    pub variant: String,
    /// The scenario, with the variant's keys set.
    pub scenario: Scenario,
    /// Seed of all random draws.
    pub seed: u64,
    /// How the scenario is run.
    pub options: RunOptions,
}

/// Runs tasks on all cores with a progress bar. The results are in the order of the tasks.
pub fn run_tasks(tasks: &[Task], threads: Option<usize>) -> Vec<Result<CompletedRun, String>> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let real = tasks.iter().any(|t| t.options.program.is_some());
    // Runs on real sockets would distort each other's timing, so they run one at a time.
    let threads = if real { 1 } else { threads.unwrap_or(cores).clamp(1, tasks.len().max(1)) };
    let (next_task, bar) = (AtomicUsize::new(0), ProgressBar::new(tasks.len() as u64));
    let results: Mutex<Vec<Option<Result<CompletedRun, String>>>> =
        Mutex::new((0..tasks.len()).map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next_task.fetch_add(1, Ordering::Relaxed);
                let Some(task) = tasks.get(index) else { return };
                let completed = run_scenario(&task.scenario, task.seed, &task.options);
                bar.inc(1);
                // A poisoned lock is safe to use: each slot is only ever assigned as a whole.
                results.lock().unwrap_or_else(|e| e.into_inner())[index] = Some(completed);
            });
        }
    });
    bar.finish_and_clear();
    let results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results
        .into_iter()
        .map(|r| r.unwrap_or_else(|| Err("the thread of this run ended without a result".into())))
        .collect()
}

/// Sets a key of a TOML table by its path, such as `load.of_capacity`.
pub fn set_key(table: &mut toml::Table, key: &str, value: &toml::Value) -> Result<(), String> {
    let mut at = table;
    let mut parts: Vec<&str> = key.split('.').collect();
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        let inner = at.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        at = inner.as_table_mut().ok_or_else(|| format!("set {key}: {part} is no table"))?;
    }
    at.insert(last.into(), value.clone());
    Ok(())
}

/// Loads a scenario file with some keys set.
pub fn load_scenario_with(path: &Path, set: &BTreeMap<String, toml::Value>) -> Result<Scenario, String> {
    if set.is_empty() {
        return Scenario::load(path).map_err(|e| e.to_string());
    }
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let mut table: toml::Table = text.parse().map_err(|e| format!("{name}: {e}"))?;
    for (key, value) in set {
        set_key(&mut table, key, value)?;
    }
    let text = toml::to_string(&table).map_err(|e| format!("{name}: {e}"))?;
    Scenario::parse(&format!("{name} with {set:?}"), &text).map_err(|e| e.to_string())
}

/// Runs an experiment and writes its results, table and chart; returns the table.
pub fn run_sweep(file: &Path, out: &Path, threads: Option<usize>) -> Result<String, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let experiment: Experiment = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let [first, last] = experiment.seeds;
    if first > last || experiment.variants.is_empty() || experiment.scenarios.is_empty() {
        return Err(format!("{name}: needs a first seed up to the last, a variant and a day"));
    }
    let base = file.parent().unwrap_or(Path::new("."));
    let mut tasks = Vec::new();
    for variant in &experiment.variants {
        for file in &experiment.scenarios {
            let scenario = load_scenario_with(&base.join(file), &variant.set)?;
            for seed in first..=last {
                let options = RunOptions {
                    strategy: variant.strategy,
                    program: variant.program.clone(),
                    live_table: false,
                };
                tasks.push(Task { variant: variant.name.clone(), scenario: scenario.clone(), seed, options });
            }
        }
    }
    let results = run_tasks(&tasks, threads);
    let mut outcomes: BTreeMap<(String, String), Vec<serde_json::Value>> = BTreeMap::new();
    for (task, completed) in tasks.iter().zip(results) {
        let completed = completed
            .map_err(|e| format!("{} {} seed {}: {e}", task.variant, task.scenario.name, task.seed))?;
        write_results(
            &completed,
            &out.join(&task.variant).join(&task.scenario.name).join(format!("seed-{}", task.seed)),
        )?;
        let value = serde_json::to_value(&completed.outcome).map_err(|e| e.to_string())?;
        outcomes.entry((task.scenario.name.clone(), task.variant.clone())).or_default().push(value);
    }
    let mut table = format!("| day | variant | {} |\n", experiment.metrics.join(" | "));
    let _ = writeln!(table, "|---|---|{}", "---|".repeat(experiment.metrics.len()));
    for ((scenario, variant), values) in &outcomes {
        let cells = experiment.metrics.iter().map(|metric| {
            let metric_values: Vec<f64> = values.iter().filter_map(|v| metric_value(v, metric)).collect();
            let estimate = bootstrap(&metric_values, mean);
            match metric_values.len() {
                0 => "-".into(),
                1 => format!("{:.3}", estimate.value),
                _ => format!("{:.3} [{:.3}, {:.3}]", estimate.value, estimate.low, estimate.high),
            }
        });
        let _ = writeln!(table, "| {scenario} | {variant} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
    let seeds = last - first + 1;
    let heading =
        format!("# {}\n\nMeans over {seeds} seeds with 95% bootstrap intervals.\n\n", experiment.name);
    write_file(&out.join("table.md"), &(heading.clone() + &table))?;
    let metric = experiment.metrics.first().map_or("", String::as_str);
    let variants: Vec<&str> = experiment.variants.iter().map(|v| v.name.as_str()).collect();
    write_file(&out.join("chart.svg"), &comparison_chart(&experiment.name, metric, &variants, &outcomes)?)?;
    Ok(heading + &table)
}

/// Loads all results below a folder, by scenario and seed.
fn load_results(folder: &Path) -> Result<BTreeMap<(String, u64), serde_json::Value>, String> {
    let mut found = BTreeMap::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(at) = folders.pop() {
        let entries = std::fs::read_dir(&at).map_err(|e| format!("{}: {e}", at.display()))?;
        for entry in entries.flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.file_name().is_some_and(|n| n == "result.json") {
                let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                let value: serde_json::Value =
                    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
                let scenario = value.get("day").and_then(|d| d.as_str()).unwrap_or_default().to_owned();
                let seed = value.get("seed").and_then(serde_json::Value::as_u64).unwrap_or(0);
                found.insert((scenario, seed), value);
            }
        }
    }
    if found.is_empty() {
        return Err(format!("{}: no result.json in this folder or below it", folder.display()));
    }
    Ok(found)
}

/// Compares two folders of results, paired by scenario and seed.
pub fn compare(a: &Path, b: &Path, metric: &str) -> Result<String, String> {
    let (of_a, of_b) = (load_results(a)?, load_results(b)?);
    let mut by_scenario: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (key, value) in &of_a {
        let pair = of_b
            .get(key)
            .and_then(|other| Some((metric_value(value, metric)?, metric_value(other, metric)?)));
        if let Some((x, y)) = pair {
            by_scenario.entry(&key.0).or_default().push(y - x);
        }
    }
    if by_scenario.is_empty() {
        return Err(format!("the two folders share no scenario and seed with a metric {metric}"));
    }
    let mut text = format!("{metric}: {} less {}, paired by day and seed\n", b.display(), a.display());
    let all: Vec<f64> = by_scenario.values().flatten().copied().collect();
    let rows = by_scenario
        .iter()
        .map(|(scenario, d)| (*scenario, d))
        .chain((by_scenario.len() > 1).then_some(("all", &all)));
    for (scenario, differences) in rows {
        let estimate = bootstrap(differences, mean);
        let verdict = match (estimate.low > 0.0, estimate.high < 0.0, estimate.n) {
            (_, _, 0..=2) => "too few pairs to tell",
            (true, ..) => "higher",
            (_, true, _) => "lower",
            _ => "cannot tell them apart",
        };
        let spread = quantile(differences, 0.9) - quantile(differences, 0.1);
        let _ = writeln!(
            text,
            "{scenario:20} {:+.4} [{:+.4}, {:+.4}] from {} pairs, spread {spread:.3}: {verdict}",
            estimate.value, estimate.low, estimate.high, estimate.n
        );
    }
    Ok(text)
}
