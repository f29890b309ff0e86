//! What a whole list costs when sidecars are moved to another discovery: bytes, time and processor
//! time, for one sidecar and for several at once.

use crate::error::{within, Result};
use crate::fit::median;
use crate::messages::settings;
use crate::report::{Report, Table};
use crate::sidecar::{Folder, Sidecar};
use crate::standin::{run_local, Plan, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time that all sidecars together get to have the list.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at who has it.
const LOOK: Duration = Duration::from_millis(2);
/// What a sidecar may spend for control: bytes a second.
pub const BYTES_BUDGET: f64 = 15_000.0;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints in the list.
    pub endpoints: Vec<usize>,
    /// Numbers of sidecars told at once.
    pub at_once: Vec<usize>,
    /// Times that each is measured.
    pub runs: usize,
    /// Sidecars in the fleet that the settings name.
    pub sidecars: usize,
}

/// One reload of some sidecars.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Sidecars told at once.
    pub at_once: usize,
    /// Bytes that discovery sent, for each sidecar.
    pub bytes: f64,
    /// Wall time from the signals until every watch was open, which follows the list (ms).
    pub all_ms: f64,
    /// Processor time of one sidecar, mean (µs).
    pub cpu_us: f64,
    /// Whole lists asked for.
    pub lists: u64,
}

async fn sample(options: &Options, folder: &Folder, endpoints: usize, at_once: usize) -> Result<Sample> {
    let plan = Plan { listed: endpoints, served: 0, service: Duration::ZERO };
    let (before, after) = (StandIns::start(plan)?, StandIns::start(plan)?);
    let mut sidecars = Vec::new();
    for number in 0..at_once {
        let settings = settings(options.sidecars, false);
        let name = format!("reload-{number}");
        sidecars.push(Sidecar::start(&options.program, folder, &name, before.discovery.address, settings)?);
    }
    for sidecar in &sidecars {
        sidecar.ready().await?;
    }
    let mut cpu = Vec::new();
    for sidecar in &sidecars {
        cpu.push(sidecar.process.usage()?);
    }
    let begun = Instant::now();
    for sidecar in &sidecars {
        sidecar.reload(after.discovery.address)?;
    }
    // A watch is opened once the whole list has been taken in.
    while (after.discovery.counts.watches.load(Ordering::Relaxed) as usize) < at_once {
        if begun.elapsed() > TIMEOUT {
            return Err(sidecars[0].process.error("or another one did not move to the new discovery"));
        }
        tokio::time::sleep(LOOK).await;
    }
    let all_ms = begun.elapsed().as_secs_f64() * 1e3;
    let bytes = after.discovery.bytes() as f64 / at_once as f64;
    let mut spent = 0.0;
    for (sidecar, before) in sidecars.iter().zip(&cpu) {
        spent += sidecar.process.usage()?.since(before).cpu_us;
    }
    let lists = after.discovery.counts.lists.load(Ordering::Relaxed);
    Ok(Sample { endpoints, at_once, bytes, all_ms, cpu_us: spent / at_once as f64, lists })
}

/// Measures all combinations, in turn, as often as there are runs.
pub fn measure(options: &Options) -> Result<Report> {
    within("runs", options.runs, 1, 20)?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 4_096).map(drop))?;
    options.at_once.iter().try_for_each(|n| within("at-once", *n, 1, 100).map(drop))?;
    let mut report = Report::begin("reload", options);
    let folder = Folder::new()?;
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
            let figure = |f: fn(&Sample) -> f64| {
                let these = samples.iter().filter(|s| s.endpoints == endpoints && s.at_once == at_once);
                median(&these.map(f).collect::<Vec<f64>>()).unwrap_or(f64::NAN)
            };
            let bytes = figure(|s| s.bytes);
            table.row([
                endpoints.to_string(),
                at_once.to_string(),
                format!("{:.0}", figure(|s| s.lists as f64)),
                format!("{bytes:.0}"),
                format!("{:.1}", bytes / BYTES_BUDGET),
                format!("{:.1}", figure(|s| s.all_ms)),
                format!("{:.1}", figure(|s| s.cpu_us) / 1e3),
            ]);
        }
    }
    report.tables.push(table);
    report.samples = serde_json::to_value(&samples).unwrap_or_default();
    Ok(report.end())
}
