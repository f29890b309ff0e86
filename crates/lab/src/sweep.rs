//! Experiments: variants times days times seeds, in parallel on all cores; and the comparison of two.

use crate::report::bars;
use crate::run::{keep, play, write, How, Played};
use crate::stats::{bootstrap, figure, mean, quantile};
use crate::strategies::Strategy;
use indicatif::ProgressBar;
use roseproxy_emulator::day::Day;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// An experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// Day files, relative to the experiment's own.
    pub days: Vec<PathBuf>,
    /// First and last seed.
    pub seeds: [u64; 2],
    /// What is shown of each result, by its path in `result.json`.
    #[serde(default = "service")]
    pub metrics: Vec<String>,
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

fn service() -> Vec<String> {
    ["service", "worst_window", "refusals.tries_share", "latency.p99", "violations"]
        .map(String::from)
        .to_vec()
}

/// One variant of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    #[serde(default)]
    pub strategy: Strategy,
    /// Keys of the day that it sets, by their path: `"load.of_capacity" = 0.6`.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
    /// A program to start on real sockets, in place of virtual time: another build.
    #[serde(default)]
    pub program: Option<PathBuf>,
}

/// One thing to play.
#[derive(Clone, Debug)]
pub struct Task {
    pub variant: String,
    pub day: Day,
    pub seed: u64,
    pub how: How,
}

/// Plays tasks on all cores, each where it stands in the list; a bar shows how far it is.
pub fn play_all(tasks: &[Task], threads: Option<usize>) -> Vec<Result<Played, String>> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let real = tasks.iter().any(|t| t.how.program.is_some());
    // Real sockets want the machine for themselves.
    let threads = if real { 1 } else { threads.unwrap_or(cores).clamp(1, tasks.len().max(1)) };
    let (next, bar) = (AtomicUsize::new(0), ProgressBar::new(tasks.len() as u64));
    let results: Mutex<Vec<Option<Result<Played, String>>>> =
        Mutex::new((0..tasks.len()).map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(task) = tasks.get(at) else { return };
                let played = play(&task.day, task.seed, &task.how);
                bar.inc(1);
                // A thread that panicked has left its results whole: they are only ever put in.
                results.lock().unwrap_or_else(|e| e.into_inner())[at] = Some(played);
            });
        }
    });
    bar.finish_and_clear();
    let results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.into_iter().map(|r| r.unwrap_or_else(|| Err("its thread ended".into()))).collect()
}

/// Sets a key of a TOML table by its path, as `load.of_capacity`.
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

/// A day's file with some keys set.
pub fn day_with(path: &Path, set: &BTreeMap<String, toml::Value>) -> Result<Day, String> {
    if set.is_empty() {
        return Day::load(path).map_err(|e| e.to_string());
    }
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let mut table: toml::Table = text.parse().map_err(|e| format!("{name}: {e}"))?;
    for (key, value) in set {
        set_key(&mut table, key, value)?;
    }
    let text = toml::to_string(&table).map_err(|e| format!("{name}: {e}"))?;
    Day::parse(&format!("{name} with {set:?}"), &text).map_err(|e| e.to_string())
}

/// Runs an experiment and keeps every result; returns its table.
pub fn sweep(file: &Path, out: &Path, threads: Option<usize>) -> Result<String, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let experiment: Experiment = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
    let [first, last] = experiment.seeds;
    if first > last || experiment.variants.is_empty() || experiment.days.is_empty() {
        return Err(format!("{name}: seeds go from the first to the last, and there is a variant and a day"));
    }
    let base = file.parent().unwrap_or(Path::new("."));
    let mut tasks = Vec::new();
    for variant in &experiment.variants {
        for day in &experiment.days {
            let day = day_with(&base.join(day), &variant.set)?;
            for seed in first..=last {
                let how = How { strategy: variant.strategy, program: variant.program.clone(), live: false };
                tasks.push(Task { variant: variant.name.clone(), day: day.clone(), seed, how });
            }
        }
    }
    let results = play_all(&tasks, threads);
    let mut figures: BTreeMap<(String, String), Vec<serde_json::Value>> = BTreeMap::new();
    for (task, played) in tasks.iter().zip(results) {
        let played =
            played.map_err(|e| format!("{} {} seed {}: {e}", task.variant, task.day.name, task.seed))?;
        keep(&played, &out.join(&task.variant).join(&task.day.name).join(format!("seed-{}", task.seed)))?;
        let value = serde_json::to_value(&played.outcome).map_err(|e| e.to_string())?;
        figures.entry((task.day.name.clone(), task.variant.clone())).or_default().push(value);
    }
    let mut table = format!("| day | variant | {} |\n", experiment.metrics.join(" | "));
    let _ = writeln!(table, "|---|---|{}", "---|".repeat(experiment.metrics.len()));
    for ((day, variant), values) in &figures {
        let cells = experiment.metrics.iter().map(|metric| {
            let of: Vec<f64> = values.iter().filter_map(|v| figure(v, metric)).collect();
            let e = bootstrap(&of, mean);
            match of.len() {
                0 => "-".into(),
                1 => format!("{:.3}", e.value),
                _ => format!("{:.3} [{:.3}, {:.3}]", e.value, e.low, e.high),
            }
        });
        let _ = writeln!(table, "| {day} | {variant} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
    let seeds = last - first + 1;
    let head = format!("# {}\n\nMeans over {seeds} seeds with 95% bootstrap intervals.\n\n", experiment.name);
    write(&out.join("table.md"), &(head.clone() + &table))?;
    let metric = experiment.metrics.first().map_or("", String::as_str);
    let variants: Vec<&str> = experiment.variants.iter().map(|v| v.name.as_str()).collect();
    write(&out.join("chart.svg"), &bars(&experiment.name, metric, &variants, &figures)?)?;
    Ok(head + &table)
}

/// All results below a folder, by day and seed.
fn results(folder: &Path) -> Result<BTreeMap<(String, u64), serde_json::Value>, String> {
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
                let day = value.get("day").and_then(|d| d.as_str()).unwrap_or_default().to_owned();
                let seed = value.get("seed").and_then(serde_json::Value::as_u64).unwrap_or(0);
                found.insert((day, seed), value);
            }
        }
    }
    if found.is_empty() {
        return Err(format!("{}: no result.json below it", folder.display()));
    }
    Ok(found)
}

/// Compares two sets of results, paired by day and seed.
pub fn compare(a: &Path, b: &Path, metric: &str) -> Result<String, String> {
    let (of_a, of_b) = (results(a)?, results(b)?);
    let mut by_day: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for (key, value) in &of_a {
        let pair = of_b.get(key).and_then(|other| Some((figure(value, metric)?, figure(other, metric)?)));
        if let Some((x, y)) = pair {
            by_day.entry(&key.0).or_default().push(y - x);
        }
    }
    if by_day.is_empty() {
        return Err(format!("no day and seed in common with a figure {metric}"));
    }
    let mut text = format!("{metric}: {} less {}, paired by day and seed\n", b.display(), a.display());
    let all: Vec<f64> = by_day.values().flatten().copied().collect();
    let rows = by_day.iter().map(|(day, d)| (*day, d)).chain((by_day.len() > 1).then_some(("all", &all)));
    for (day, differences) in rows {
        let e = bootstrap(differences, mean);
        let verdict = match (e.low > 0.0, e.high < 0.0, e.n) {
            (_, _, 0..=2) => "too few pairs to tell",
            (true, ..) => "higher",
            (_, true, _) => "lower",
            _ => "cannot tell them apart",
        };
        let spread = quantile(differences, 0.9) - quantile(differences, 0.1);
        let _ = writeln!(
            text,
            "{day:20} {:+.4} [{:+.4}, {:+.4}] from {} pairs, spread {spread:.3}: {verdict}",
            e.value, e.low, e.high, e.n
        );
    }
    Ok(text)
}
