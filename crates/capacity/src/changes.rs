//! The cost of list changes for a sidecar: processor time, bytes, and the time until they are applied, by
//! the number of endpoints known.

use crate::error::{check_range, Result};
use crate::fit::{least_squares, median, power_law_exponent};
use crate::messages::{endpoint_address, list_entry, list_message, sidecar_settings, Phase};
use crate::report::{Report, Table};
use crate::sidecar::{CounterConnection, Sidecar, TempFolder};
use crate::stand_ins::{run_local, whole_list, StandInConfig, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Name of the counter of lists and changes applied.
const APPLIED_LISTS_COUNTER: &str = "discovery_lists";
/// Time in which a list must be applied.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a new sidecar to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two timed lists, so that none is still being applied when the next is published.
const TIMED_LIST_PAUSE: Duration = Duration::from_millis(60);
/// Processor time per second (µs) that is one percent of a core.
const CORE_PERCENT_US: f64 = 1e4;

/// The arguments of the measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// Path of the sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Changes of one entry per second.
    pub change_rate: f64,
    /// Whole lists per second.
    pub list_rate: f64,
    /// Length of each phase, in seconds.
    pub seconds: u64,
    /// Number of lists, and of changes, whose application is timed.
    pub timed: usize,
    /// Number of rounds over all numbers of endpoints; the medians are reported.
    pub runs: usize,
    /// Number of sidecars in the fleet, as set in the settings.
    pub sidecars: usize,
}

/// The figures of one sidecar process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Number of endpoints known.
    pub endpoints: usize,
    /// Processor time per second (µs) while only heartbeats arrive.
    pub idle_us: f64,
    /// Bytes received per second while only heartbeats arrive.
    pub idle_bytes: f64,
    /// Processor time of a change of one entry (µs), without that of heartbeats.
    pub change_us: f64,
    /// Size of a change in bytes, heartbeats included.
    pub change_bytes: f64,
    /// Processor time of a whole list (µs), without that of heartbeats.
    pub list_us: f64,
    /// Size of a whole list in bytes, heartbeats included.
    pub list_bytes: f64,
    /// Wall time until a change is applied: median and longest (ms).
    pub change_ms: (f64, f64),
    /// Wall time until a whole list is applied: median and longest (ms).
    pub list_ms: (f64, f64),
    /// Resident memory at the end (kB).
    pub resident_kb: f64,
}

/// Builds changes and lists with increasing revisions.
struct ListWriter {
    endpoints: usize,
    port: u16,
    revision: u64,
}

impl ListWriter {
    /// Builds a change that takes the next entry out of service or, in the next round over all entries, back
    /// into service.
    fn next_change(&mut self) -> String {
        self.revision += 1;
        let round = self.revision as usize / self.endpoints;
        let phase = if round % 2 == 0 { Phase::Terminating } else { Phase::InService };
        let number = self.revision as usize % self.endpoints;
        let member = list_entry(number, endpoint_address(number, self.port), phase);
        list_message(self.revision, false, &[member]).to_string()
    }

    fn next_list(&mut self) -> String {
        self.revision += 1;
        whole_list(self.revision, self.endpoints, self.port)
    }
}

/// Processor time and bytes of one phase.
struct PhaseCost {
    cpu_us: f64,
    bytes: f64,
}

/// A sidecar under measurement, with its stand-ins.
struct Measurement<'a> {
    stand_ins: &'a StandIns,
    sidecar: &'a Sidecar,
    writer: ListWriter,
}

impl Measurement<'_> {
    /// Publishes messages at a rate for a time; returns the cost of the whole phase and the number of
    /// messages.
    async fn run_phase(
        &mut self,
        rate: f64,
        length: Duration,
        next_message: fn(&mut ListWriter) -> String,
    ) -> Result<(PhaseCost, f64)> {
        let count = (rate * length.as_secs_f64()).round().max(0.0) as usize;
        // Built beforehand: building them during the phase would load the machine's other cores more in one
        // phase than in another.
        let objects: Vec<String> = (0..count).map(|_| next_message(&mut self.writer)).collect();
        let (usage_before, bytes_before, started) =
            (self.sidecar.process.usage()?, self.stand_ins.discovery.bytes(), Instant::now());
        for (number, object) in objects.into_iter().enumerate() {
            let due = started + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(due.into()).await;
            self.stand_ins.discovery.publish(object);
        }
        tokio::time::sleep_until((started + length).into()).await;
        let cpu_us = self.sidecar.process.usage()?.since(&usage_before).cpu_us;
        let bytes = (self.stand_ins.discovery.bytes() - bytes_before) as f64;
        Ok((PhaseCost { cpu_us, bytes }, count as f64))
    }

    /// Measures wall times (ms) from publishing a message until the sidecar counts it as applied; returns the
    /// median and the longest.
    async fn measure_apply_times(
        &mut self,
        count: usize,
        next_message: fn(&mut ListWriter) -> String,
    ) -> Result<(f64, f64)> {
        let mut connection = CounterConnection::open(self.sidecar).await?;
        let closed = || self.sidecar.process.error("closed the connection for counters");
        let mut times = Vec::with_capacity(count);
        for _ in 0..count {
            tokio::time::sleep(TIMED_LIST_PAUSE).await;
            let object = next_message(&mut self.writer);
            let before = applied_lists(&connection.read().await.ok_or_else(closed)?);
            let started = Instant::now();
            self.stand_ins.discovery.publish(object);
            while applied_lists(&connection.read().await.ok_or_else(closed)?) <= before {
                if started.elapsed() > APPLY_TIMEOUT {
                    return Err(self.sidecar.process.error("did not apply a list in time"));
                }
            }
            times.push(started.elapsed().as_secs_f64() * 1e3);
        }
        let longest = times.iter().copied().fold(0.0, f64::max);
        Ok((median(&times).unwrap_or(f64::NAN), longest))
    }
}

fn applied_lists(counters: &std::collections::BTreeMap<String, f64>) -> f64 {
    counters.get(APPLIED_LISTS_COUNTER).copied().unwrap_or(0.0)
}

async fn sample(options: &Options, folder: &TempFolder, endpoints: usize) -> Result<Sample> {
    let config =
        StandInConfig { listed_endpoints: endpoints, served_endpoints: 0, service_time: Duration::ZERO };
    let stand_ins = StandIns::start(config)?;
    let settings = sidecar_settings(options.sidecars, false);
    let discovery = stand_ins.discovery.address;
    let sidecar = Sidecar::start(&options.program, folder, "changes", discovery, settings)?;
    sidecar.wait_until_ready().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let writer = ListWriter { endpoints, port: stand_ins.port, revision: endpoints as u64 };
    let mut measurement = Measurement { stand_ins: &stand_ins, sidecar: &sidecar, writer };
    let length = Duration::from_secs(options.seconds);
    let (idle, _) = measurement.run_phase(0.0, length, ListWriter::next_change).await?;
    let (changes, change_count) =
        measurement.run_phase(options.change_rate, length, ListWriter::next_change).await?;
    let (lists, list_count) = measurement.run_phase(options.list_rate, length, ListWriter::next_list).await?;
    let per_message = |phase: f64, idle: f64, count: f64| (phase - idle) / count;
    let change_ms = measurement.measure_apply_times(options.timed, ListWriter::next_change).await?;
    let list_ms = measurement.measure_apply_times(options.timed, ListWriter::next_list).await?;
    Ok(Sample {
        endpoints,
        idle_us: idle.cpu_us / length.as_secs_f64(),
        idle_bytes: idle.bytes / length.as_secs_f64(),
        change_us: per_message(changes.cpu_us, idle.cpu_us, change_count),
        change_bytes: per_message(changes.bytes, 0.0, change_count),
        list_us: per_message(lists.cpu_us, idle.cpu_us, list_count),
        list_bytes: per_message(lists.bytes, 0.0, list_count),
        change_ms,
        list_ms,
        resident_kb: sidecar.process.usage()?.resident_kb,
    })
}

/// Measures all numbers of endpoints in turn, once per run, and returns the report.
pub fn measure(options: &Options) -> Result<Report> {
    check_range("runs", options.runs, 1, 20)?;
    check_range("seconds", options.seconds, 1, 120)?;
    check_range("timed", options.timed, 1, 1_000)?;
    check_range("change-rate", options.change_rate, 1.0, 2_000.0)?;
    check_range("list-rate", options.list_rate, 0.5, 100.0)?;
    options.endpoints.iter().try_for_each(|n| check_range("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::start("changes", options);
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
    let median_of = |endpoints: usize, figure: &dyn Fn(&Sample) -> f64| {
        let figures: Vec<f64> = samples.iter().filter(|s| s.endpoints == endpoints).map(figure).collect();
        median(&figures).unwrap_or(f64::NAN)
    };
    let mut table = Table::new(
        "What the watch costs one sidecar (middle of the runs)",
        &[
            "endpoints",
            "idle: % of a core",
            "idle: bytes/s",
            "a change: µs",
            "bytes",
            "at the rate: % of a core",
            "in force after, ms (middle, longest)",
            "a whole list: µs",
            "bytes",
            "in force after, ms (middle, longest)",
            "resident after, kB",
        ],
    );
    let (mut changes, mut lists) = (Vec::new(), Vec::new());
    for &endpoints in &options.endpoints {
        let figure = |f: &dyn Fn(&Sample) -> f64| median_of(endpoints, f);
        let (change, list) = (figure(&|s| s.change_us), figure(&|s| s.list_us));
        changes.push((endpoints as f64, change));
        lists.push((endpoints as f64, list));
        table.add_row([
            endpoints.to_string(),
            format!("{:.3}", figure(&|s| s.idle_us) / CORE_PERCENT_US),
            format!("{:.1}", figure(&|s| s.idle_bytes)),
            format!("{change:.0}"),
            format!("{:.0}", figure(&|s| s.change_bytes)),
            format!("{:.2}", change * options.change_rate / CORE_PERCENT_US),
            format!("{:.1}, {:.1}", figure(&|s| s.change_ms.0), figure(&|s| s.change_ms.1)),
            format!("{list:.0}"),
            format!("{:.0}", figure(&|s| s.list_bytes)),
            format!("{:.1}, {:.1}", figure(&|s| s.list_ms.0), figure(&|s| s.list_ms.1)),
            format!("{:.0}", figure(&|s| s.resident_kb)),
        ]);
    }
    report.tables.push(table);
    for (name, points) in [("a change", &changes), ("a whole list", &lists)] {
        let last = &points[points.len().saturating_sub(2)..];
        if let (Some(line), Some(power)) = (least_squares(points), power_law_exponent(last)) {
            let residuals: Vec<String> = line.residuals.iter().map(|r| format!("{r:+.0}")).collect();
            report.notes.push(format!(
                "{name}: {:.0} µs + {:.3} µs for each endpoint, residuals {}; exponent {power:.2} over the two largest",
                line.intercept,
                line.slope,
                residuals.join(", "),
            ));
        }
    }
}
