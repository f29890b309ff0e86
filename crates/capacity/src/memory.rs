//! The resident memory of one idle sidecar, by the number of endpoints that it knows.

use crate::error::{check_range, Result};
use crate::fit::{least_squares, median, power_law_exponent};
use crate::messages::sidecar_settings;
use crate::report::{Report, Table};
use crate::sidecar::{Sidecar, TempFolder};
use crate::stand_ins::{run_local, StandInConfig, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Path of the sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Number of processes started for each number of endpoints.
    pub runs: usize,
    /// Time that a process is left idle before its memory is read (ms).
    pub settle_ms: u64,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
}

/// The resident memory of one process, in kB.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Number of endpoints known.
    pub endpoints: usize,
    /// Resident memory when read.
    pub resident_kb: f64,
    /// Peak of the resident memory.
    pub peak_kb: f64,
}

async fn sample(options: &Options, folder: &TempFolder, endpoints: usize) -> Result<Sample> {
    let config =
        StandInConfig { listed_endpoints: endpoints, served_endpoints: 0, service_time: Duration::ZERO };
    let stand_ins = StandIns::start(config)?;
    let settings = sidecar_settings(options.sidecars, false);
    let sidecar = Sidecar::start(&options.program, folder, "memory", stand_ins.discovery.address, settings)?;
    sidecar.wait_until_ready().await?;
    tokio::time::sleep(Duration::from_millis(options.settle_ms)).await;
    let usage = sidecar.process.usage()?;
    Ok(Sample { endpoints, resident_kb: usage.resident_kb, peak_kb: usage.peak_kb })
}

/// Measures all numbers of endpoints in turn, once per run, and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("runs", options.runs, 1, 100)?;
    check_range("settle-ms", options.settle_ms, 0, 60_000)?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::start("memory", options);
    let folder = TempFolder::new()?;
    let mut samples = Vec::new();
    for _ in 0..options.runs {
        for &endpoints in &options.endpoints {
            samples.push(run_local(sample(options, &folder, endpoints))??);
        }
    }
    tabulate(options, &samples, &mut report);
    report.samples = serde_json::to_value(&samples).unwrap_or_default();
    Ok(report.finish())
}

fn tabulate(options: &Options, samples: &[Sample], report: &mut Report) {
    let median_of = |endpoints: usize, figure: fn(&Sample) -> f64| {
        let figures: Vec<f64> = samples.iter().filter(|s| s.endpoints == endpoints).map(figure).collect();
        median(&figures).unwrap_or(f64::NAN)
    };
    let resident: Vec<(f64, f64)> =
        options.endpoints.iter().map(|n| (*n as f64, median_of(*n, |s| s.resident_kb))).collect();
    let Some(line) = least_squares(&resident) else {
        return report.notes.push("a slope needs two numbers of endpoints".into());
    };
    let mut table = Table::new(
        "Resident memory of one idle process (kB, middle of the runs)",
        &["endpoints", "VmRSS", "least to most", "VmHWM", "fitted VmRSS", "residual"],
    );
    for ((&endpoints, (_, rss)), residual) in options.endpoints.iter().zip(&resident).zip(&line.residuals) {
        let runs = samples.iter().filter(|s| s.endpoints == endpoints).map(|s| s.resident_kb);
        let (low, high) = runs.fold((f64::INFINITY, 0.0_f64), |(low, high), kb| (low.min(kb), high.max(kb)));
        table.add_row([
            endpoints.to_string(),
            format!("{rss:.0}"),
            format!("{low:.0} to {high:.0}"),
            format!("{:.0}", median_of(endpoints, |s| s.peak_kb)),
            format!("{:.0}", line.evaluate(endpoints as f64)),
            format!("{residual:+.0}"),
        ]);
    }
    report.tables.push(table);
    report.notes.push(format!(
        "VmRSS = {:.0} kB + {:.3} kB for each endpoint (least squares)",
        line.intercept, line.slope
    ));
    // Relative to the smallest fleet, so that the fixed part does not hide the growth.
    let smallest = resident.first().copied().unwrap_or_default();
    let growth: Vec<(f64, f64)> =
        resident.iter().skip(1).map(|(n, kb)| (n - smallest.0, kb - smallest.1)).collect();
    if let Some(power) = power_law_exponent(&growth) {
        report.notes.push(format!("exponent of the growth above {} endpoints: {power:.2}", smallest.0));
    }
}
