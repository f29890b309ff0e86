//! Results as JSON and as a table, with fits of each figure against the swept variables.

use super::experiment::{Experiment, Point};
use super::figures::{Figures, Window};
use super::fit::{fit, Fit};
use super::runner::ScaleOptions;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Largest relative difference between real and hollow sidecars that passes the calibration.
const MAX_RELATIVE_DIFFERENCE: f64 = 0.1;

/// Points with their figures.
type Results = [(Point, Figures)];

/// Collects the numbers of a JSON value by their paths.
fn flatten(value: &Value, path: &str, into: &mut BTreeMap<String, f64>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(value, &path, into);
            }
        }
        Value::Number(number) => {
            if let Some(number) = number.as_f64() {
                into.insert(path.to_owned(), number);
            }
        }
        _ => {}
    }
}

/// All figures of a run by their paths, without the series of seconds.
fn numbers(figures: &Figures) -> BTreeMap<String, f64> {
    let mut value = serde_json::to_value(figures).unwrap_or(Value::Null);
    if let Some(fields) = value.as_object_mut() {
        fields.remove("seconds");
        fields.remove("first_violations");
    }
    let mut numbers = BTreeMap::new();
    flatten(&value, "", &mut numbers);
    numbers
}

/// Fits of each figure against each swept variable: by variable, then by the figure's path.
fn fits(results: &Results) -> BTreeMap<String, BTreeMap<String, Fit>> {
    let keys: BTreeSet<&String> =
        results.iter().filter_map(|(p, _)| p.swept.as_ref()).map(|(key, _)| key).collect();
    let mut fits = BTreeMap::new();
    for key in keys {
        let mut points: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
        for (point, figures) in results {
            let Some((_, x)) = point.swept.as_ref().filter(|(swept, _)| swept == key) else { continue };
            for (path, y) in numbers(figures) {
                points.entry(path).or_default().push((*x, y));
            }
        }
        let of_key = points.into_iter().filter_map(|(path, points)| Some((path, fit(&points)?)));
        fits.insert(key.clone(), of_key.collect());
    }
    fits
}

/// Formats the results as JSON.
pub fn json(base: &Experiment, results: &Results) -> Result<String, String> {
    let points: Vec<Value> = results
        .iter()
        .map(|(point, figures)| {
            let fleet = &point.experiment.fleet;
            json!({"swept": point.swept, "fleet": fleet, "calls_per_s": point.experiment.calls.per_s,
                   "changes_per_day": point.experiment.changes.per_day, "figures": figures})
        })
        .collect();
    let value = json!({"experiment": base, "points": points, "fits": fits(results)});
    serde_json::to_string_pretty(&value).map(|t| t + "\n").map_err(|e| e.to_string())
}

/// A column of a table: heading, and the figure of a window.
type Column = (&'static str, fn(&Window) -> f64);

/// Columns of the main table.
const MAIN_COLUMNS: [Column; 15] = [
    ("discovery calls/s, peak", |w| w.peak.discovery_calls),
    ("of them failed", |w| w.peak.discovery_failed),
    ("connects/s, peak", |w| w.peak.discovery_connects),
    ("KB/s, peak", |w| w.peak.discovery_bytes / 1e3),
    ("one server calls/s", |w| w.peak.server_calls),
    ("connects/s", |w| w.peak.server_connects),
    ("KB/s", |w| w.peak.server_bytes / 1e3),
    ("in force 50% s", |w| w.in_force.p50_s),
    ("99% s", |w| w.in_force.p99_s),
    ("100% s", |w| w.in_force.last_s),
    ("not in force", |w| w.in_force.not_told),
    ("told 100% s", |w| w.told.last_s),
    ("99% watch again s", |w| w.watching.p99_s),
    ("all", |w| w.watching.all_s),
    ("control B/s a sidecar", |w| w.per_sidecar.control_bytes_per_s),
];

/// Columns of the table of traffic and resources per sidecar.
const COST_COLUMNS: [Column; 8] = [
    ("discovery calls/s", |w| w.per_sidecar.discovery_calls_per_s),
    ("discovery B/s", |w| w.per_sidecar.discovery_bytes_per_s),
    ("probes/s", |w| w.per_sidecar.probes_per_s),
    ("probe B/s", |w| w.per_sidecar.probe_bytes_per_s),
    ("real CPU %", |w| w.per_sidecar.real_cpu_percent),
    ("real MB", |w| w.per_sidecar.real_memory_mb),
    ("hollow CPU %", |w| w.per_sidecar.hollow_cpu_percent),
    ("hollow MB", |w| w.per_sidecar.hollow_memory_mb),
];

fn point_name(point: &Point) -> String {
    point.swept.as_ref().map_or("as it stands".into(), |(key, value)| format!("{key} = {value}"))
}

/// Writes a table with a row for each window of each point.
fn write_table(text: &mut String, results: &Results, columns: &[Column], digits: usize) {
    let names: Vec<&str> = columns.iter().map(|c| c.0).collect();
    let _ =
        writeln!(text, "| point | window | {} |\n|---|---|{}", names.join(" | "), "---|".repeat(names.len()));
    for (point, figures) in results {
        let windows = [("quiet", Some(&figures.quiet)), ("fault", figures.fault.as_ref())];
        for (name, window) in windows.into_iter().filter_map(|(name, w)| Some((name, w?))) {
            let cells: Vec<String> =
                columns.iter().map(|(_, figure)| format!("{:.digits$}", figure(window))).collect();
            let (from, until) = (window.from_s, window.until_s);
            let _ =
                writeln!(text, "| {} | {name} {from}-{until} s | {} |", point_name(point), cells.join(" | "));
        }
    }
}

/// Formats the results as Markdown tables.
pub fn table(base: &Experiment, results: &Results, options: &ScaleOptions) -> String {
    let fleet = &base.fleet;
    let kind = if options.virtual_time { "in virtual time" } else { "on sockets" };
    let mut text = format!(
        "# {}\n\n{} servers, {} sidecars ({} real), {} calls/s, {} changes a day, discovery bears {} calls/s; {kind}\n\n",
        base.name,
        fleet.servers,
        fleet.sidecars,
        if options.virtual_time { 0 } else { fleet.real },
        base.calls.per_s,
        base.changes.per_day,
        base.discovery.calls_per_s
    );
    write_table(&mut text, results, &MAIN_COLUMNS, 2);
    text.push_str("\nEach sidecar, as a mean:\n\n");
    write_table(&mut text, results, &COST_COLUMNS, 3);
    text.push_str("\n| point | calls sent | served | rejected | failed | no sidecar | not sent | rules broken |\n|---|---|---|---|---|---|---|---|\n");
    for (point, figures) in results {
        let mut calls = figures.quiet.calls;
        figures.fault.iter().for_each(|w| calls += w.calls);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {:?} |",
            point_name(point),
            calls.sent,
            calls.served,
            calls.rejected,
            calls.failed,
            calls.no_sidecar,
            calls.not_sent,
            figures.violation_counts
        );
    }
    if options.calibrate {
        text.push_str(&differences(results));
    } else {
        text.push_str(&slopes(results));
    }
    text
}

/// Formats the fits of the main figures against the swept variables.
fn slopes(results: &Results) -> String {
    let mut text = String::new();
    for (key, fits) in fits(results) {
        let _ = writeln!(
            text,
            "\nBy {key}:\n\n| figure | slope | at 0 | R² | largest residual | exponent |\n|---|---|---|---|---|---|"
        );
        let is_shown = |path: &str| {
            (path.starts_with("quiet.per_sidecar")
                || path.contains(".peak.")
                || path.contains(".told.")
                || path.contains(".in_force."))
                && !path.ends_with(".changes")
        };
        for (path, fit) in fits.iter().filter(|(path, fit)| is_shown(path) && (fit.slope != 0.0)) {
            let residual = fit.residuals.iter().fold(0.0_f64, |largest, r| largest.max(r.abs()));
            let exponent = fit.exponent.map_or("-".into(), |e| format!("{e:.2}"));
            let _ = writeln!(
                text,
                "| {path} | {:.5} | {:.3} | {:.3} | {residual:.3} | {exponent} |",
                fit.slope, fit.intercept, fit.r_squared
            );
        }
    }
    text
}

/// Formats the differences between real and hollow sidecars.
fn differences(results: &Results) -> String {
    let [(_, real), (_, hollow)] = results else { return String::new() };
    let (real, hollow) = (numbers(real), numbers(hollow));
    let is_compared = |path: &str| {
        let tail = path.rsplit('.').next().unwrap_or_default();
        let window = path.starts_with("quiet.") || path.starts_with("fault.");
        let counted = path.contains(".discovery.")
            || path.contains(".servers.")
            || path.contains(".told.")
            || path.contains(".in_force.");
        window && counted && tail != "changes" && tail != "not_told"
    };
    let mut text =
        String::from("\n| figure | real | hollow | differs by | within 10% |\n|---|---|---|---|---|\n");
    for (path, a) in real.iter().filter(|(path, _)| is_compared(path)) {
        let b = hollow.get(path).copied().unwrap_or(0.0);
        let larger = a.abs().max(b.abs());
        let relative_difference = if larger > 0.0 { (b - a) / larger } else { 0.0 };
        let verdict = if relative_difference.abs() <= MAX_RELATIVE_DIFFERENCE { "yes" } else { "NO" };
        let _ =
            writeln!(text, "| {path} | {a:.2} | {b:.2} | {:+.1}% | {verdict} |", relative_difference * 100.0);
    }
    text
}
