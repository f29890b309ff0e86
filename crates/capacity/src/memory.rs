//! Resident memory of one idle sidecar, by the number of endpoints that it knows.

use crate::error::{within, Result};
use crate::fit::{exponent, least_squares, median};
use crate::messages::settings;
use crate::report::{Report, Table};
use crate::sidecar::{Folder, Sidecar};
use crate::standin::{run_local, Plan, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Processes started for each number.
    pub runs: usize,
    /// How long each is left alone before it is read (ms).
    pub settle_ms: u64,
    /// Sidecars in the fleet.
    pub sidecars: usize,
}

/// Resident memory of one process, in kB.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Endpoints known.
    pub endpoints: usize,
    /// Resident when read.
    pub resident_kb: f64,
    /// The most that was resident.
    pub peak_kb: f64,
}

async fn sample(options: &Options, folder: &Folder, endpoints: usize) -> Result<Sample> {
    let plan = Plan { listed: endpoints, served: 0, service: Duration::ZERO };
    let stand_ins = StandIns::start(plan)?;
    let settings = settings(options.sidecars, false);
    let sidecar = Sidecar::start(&options.program, folder, "memory", stand_ins.discovery.address, settings)?;
    sidecar.ready().await?;
    tokio::time::sleep(Duration::from_millis(options.settle_ms)).await;
    let usage = sidecar.process.usage()?;
    Ok(Sample { endpoints, resident_kb: usage.resident_kb, peak_kb: usage.peak_kb })
}

/// Measures all numbers, in turn, as often as there are runs.
pub fn measure(options: &Options) -> Result<Report> {
    within("runs", options.runs, 1, 100)?;
    within("settle-ms", options.settle_ms, 0, 60_000)?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::begin("memory", options);
    let folder = Folder::new()?;
    let mut samples = Vec::new();
    for _ in 0..options.runs {
        for &endpoints in &options.endpoints {
            samples.push(run_local(sample(options, &folder, endpoints))??);
        }
    }
    tabulate(options, &samples, &mut report);
    report.samples = serde_json::to_value(&samples).unwrap_or_default();
    Ok(report.end())
}

fn tabulate(options: &Options, samples: &[Sample], report: &mut Report) {
    let middle = |endpoints: usize, figure: fn(&Sample) -> f64| {
        let figures: Vec<f64> = samples.iter().filter(|s| s.endpoints == endpoints).map(figure).collect();
        median(&figures).unwrap_or(f64::NAN)
    };
    let resident: Vec<(f64, f64)> =
        options.endpoints.iter().map(|n| (*n as f64, middle(*n, |s| s.resident_kb))).collect();
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
        table.row([
            endpoints.to_string(),
            format!("{rss:.0}"),
            format!("{low:.0} to {high:.0}"),
            format!("{:.0}", middle(endpoints, |s| s.peak_kb)),
            format!("{:.0}", line.at(endpoints as f64)),
            format!("{residual:+.0}"),
        ]);
    }
    report.tables.push(table);
    report.notes.push(format!(
        "VmRSS = {:.0} kB + {:.3} kB for each endpoint (least squares)",
        line.intercept, line.slope
    ));
    // Above the smallest fleet, so that the fixed part does not hide the growth.
    let base = resident.first().copied().unwrap_or_default();
    let growth: Vec<(f64, f64)> = resident.iter().skip(1).map(|(n, kb)| (n - base.0, kb - base.1)).collect();
    if let Some(power) = exponent(&growth) {
        report.notes.push(format!("exponent of the growth above {} endpoints: {power:.2}", base.0));
    }
}
