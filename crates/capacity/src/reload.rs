//! The cost of the whole list that sidecars request when a reload moves them to another discovery: bytes,
//! time and processor time, for one sidecar and for several at once.

use crate::error::{check_range, Result};
use crate::fit::median;
use crate::messages::sidecar_settings;
use crate::report::{Report, Table};
use crate::sidecar::{Sidecar, TempFolder};
use crate::stand_ins::{run_local, StandInConfig, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time in which all sidecars must have applied the list.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks whether all sidecars have the list.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes per second that a sidecar may use for control traffic.
pub const CONTROL_BYTES_PER_S: f64 = 15_000.0;

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Path of the sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints in the list.
    pub endpoints: Vec<usize>,
    /// Numbers of sidecars reloaded at once.
    pub at_once: Vec<usize>,
    /// Number of runs of each combination; the medians are reported.
    pub runs: usize,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
}

/// The figures of one reload.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Number of endpoints in the list.
    pub endpoints: usize,
    /// Number of sidecars reloaded at once.
    pub at_once: usize,
    /// Bytes that discovery sent per sidecar.
    pub bytes: f64,
    /// Wall time from the signals until every sidecar has opened its watch, which follows the list (ms).
    pub all_ms: f64,
    /// Mean processor time of a sidecar (µs).
    pub cpu_us: f64,
    /// Number of whole lists requested.
    pub lists: u64,
}

async fn sample(options: &Options, folder: &TempFolder, endpoints: usize, at_once: usize) -> Result<Sample> {
    let config =
        StandInConfig { listed_endpoints: endpoints, served_endpoints: 0, service_time: Duration::ZERO };
    let (before, after) = (StandIns::start(config)?, StandIns::start(config)?);
    let mut sidecars = Vec::new();
    for number in 0..at_once {
        let settings = sidecar_settings(options.sidecars, false);
        let name = format!("reload-{number}");
        sidecars.push(Sidecar::start(&options.program, folder, &name, before.discovery.address, settings)?);
    }
    for sidecar in &sidecars {
        sidecar.wait_until_ready().await?;
    }
    let mut usage_before = Vec::new();
    for sidecar in &sidecars {
        usage_before.push(sidecar.process.usage()?);
    }
    let started = Instant::now();
    for sidecar in &sidecars {
        sidecar.reload(after.discovery.address)?;
    }
    // A sidecar opens its watch once it has applied the whole list.
    while (after.discovery.counts.watches.load(Ordering::Relaxed) as usize) < at_once {
        if started.elapsed() > RELOAD_TIMEOUT {
            return Err(sidecars[0].process.error("or another one did not move to the new discovery"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let all_ms = started.elapsed().as_secs_f64() * 1e3;
    let bytes = after.discovery.bytes() as f64 / at_once as f64;
    let mut cpu_us = 0.0;
    for (sidecar, before) in sidecars.iter().zip(&usage_before) {
        cpu_us += sidecar.process.usage()?.since(before).cpu_us;
    }
    let lists = after.discovery.counts.lists.load(Ordering::Relaxed);
    Ok(Sample { endpoints, at_once, bytes, all_ms, cpu_us: cpu_us / at_once as f64, lists })
}

/// Measures all combinations in turn, once per run, and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("runs", options.runs, 1, 20)?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 4_096).map(drop))?;
    options.at_once.iter().try_for_each(|n| check_range("at-once", *n, 1, 100).map(drop))?;
    let mut report = Report::start("reload", options);
    let folder = TempFolder::new()?;
    let mut samples = Vec::new();
    for _ in 0..options.runs {
        for &endpoints in &options.endpoints {
            for &at_once in &options.at_once {
                samples.push(run_local(sample(options, &folder, endpoints, at_once))??);
            }
        }
    }
    let mut table = Table::new(
        "A reload that moves sidecars to another discovery (middle of the runs)",
        &[
            "endpoints",
            "sidecars at once",
            "whole lists asked for",
            "bytes for each",
            "seconds of the 15 KB/s budget",
            "until all have it, ms",
            "processor time of each, ms",
        ],
    );
    for &endpoints in &options.endpoints {
        for &at_once in &options.at_once {
            let median_of = |figure: fn(&Sample) -> f64| {
                let selected = samples.iter().filter(|s| s.endpoints == endpoints && s.at_once == at_once);
                median(&selected.map(figure).collect::<Vec<f64>>()).unwrap_or(f64::NAN)
            };
            let bytes = median_of(|s| s.bytes);
            table.add_row([
                endpoints.to_string(),
                at_once.to_string(),
                format!("{:.0}", median_of(|s| s.lists as f64)),
                format!("{bytes:.0}"),
                format!("{:.1}", bytes / CONTROL_BYTES_PER_S),
                format!("{:.1}", median_of(|s| s.all_ms)),
                format!("{:.1}", median_of(|s| s.cpu_us) / 1e3),
            ]);
        }
    }
    report.tables.push(table);
    report.samples = serde_json::to_value(&samples).unwrap_or_default();
    Ok(report.finish())
}
