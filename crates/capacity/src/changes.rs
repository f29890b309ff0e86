//! What changes of the list cost a sidecar: processor time, bytes, and the time to take them in, by
//! the number of endpoints known.

use crate::error::{within, Result};
use crate::fit::{exponent, least_squares, median};
use crate::messages::{endpoint_address, entry, listing, settings, Phase};
use crate::report::{Report, Table};
use crate::sidecar::{CounterProbe, Folder, Sidecar};
use crate::standin::{run_local, whole_list, Plan, StandIns};
use serde::Serialize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The counter of lists and changes taken in.
const TAKEN: &str = "discovery_lists";
/// Time that a list gets to be taken in.
const TAKE_IN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a new sidecar to settle before anything is measured.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Pause between two lists whose taking in is timed, so that none meets the one before.
const PAUSE: Duration = Duration::from_millis(60);
/// Microseconds of one hundredth of a core in a second.
const PERCENT_US: f64 = 1e4;

/// What to measure.
#[derive(Clone, Debug, Serialize)]
pub struct Options {
    /// The sidecar's program.
    pub program: PathBuf,
    /// Numbers of endpoints known.
    pub endpoints: Vec<usize>,
    /// Changes of one entry a second, and whole lists a second.
    pub change_rate: f64,
    /// Whole lists a second.
    pub list_rate: f64,
    /// Seconds that each phase lasts.
    pub seconds: u64,
    /// Lists and changes whose taking in is timed.
    pub timed: usize,
    /// Rounds over all numbers of endpoints; the middle figure counts.
    pub runs: usize,
    /// Sidecars in the fleet.
    pub sidecars: usize,
}

/// Figures of one process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Endpoints known.
    pub endpoints: usize,
    /// Processor time of a second in which only heartbeats come (µs).
    pub idle_us: f64,
    /// Bytes of such a second.
    pub idle_bytes: f64,
    /// Processor time of a change of one entry, without that of heartbeats (µs), and its bytes.
    pub change_us: f64,
    /// Bytes of a change.
    pub change_bytes: f64,
    /// Processor time of a whole list (µs).
    pub list_us: f64,
    /// Bytes of a whole list.
    pub list_bytes: f64,
    /// Wall time until a change is in force: middle and longest (ms).
    pub change_ms: (f64, f64),
    /// Wall time until a whole list is in force: middle and longest (ms).
    pub list_ms: (f64, f64),
    /// Resident memory after all of that (kB).
    pub resident_kb: f64,
}

/// Words changes and lists with rising revisions.
struct Author {
    endpoints: usize,
    port: u16,
    revision: u64,
}

impl Author {
    /// An entry after the other goes out of service and, the next time round, back.
    fn change(&mut self) -> String {
        self.revision += 1;
        let round = self.revision as usize / self.endpoints;
        let phase = if round % 2 == 0 { Phase::Terminating } else { Phase::InService };
        let number = self.revision as usize % self.endpoints;
        let member = entry(number, endpoint_address(number, self.port), phase);
        listing(self.revision, false, &[member]).to_string()
    }

    fn list(&mut self) -> String {
        self.revision += 1;
        whole_list(self.revision, self.endpoints, self.port)
    }
}

/// What one phase cost for each thing published.
struct Phased {
    cpu_us: f64,
    bytes: f64,
}

struct Bench<'a> {
    stand_ins: &'a StandIns,
    sidecar: &'a Sidecar,
    author: Author,
}

impl Bench<'_> {
    /// Publishes at a rate for so long; the whole cost of the phase and how many there were.
    async fn phase(
        &mut self,
        rate: f64,
        length: Duration,
        word: fn(&mut Author) -> String,
    ) -> Result<(Phased, f64)> {
        let count = (rate * length.as_secs_f64()).round().max(0.0) as usize;
        // Worded beforehand: the machine's other cores must not be busier in one phase than another.
        let objects: Vec<String> = (0..count).map(|_| word(&mut self.author)).collect();
        let (usage, bytes, begun) =
            (self.sidecar.process.usage()?, self.stand_ins.discovery.bytes(), Instant::now());
        for (number, object) in objects.into_iter().enumerate() {
            let at = begun + Duration::from_secs_f64(number as f64 / rate);
            tokio::time::sleep_until(at.into()).await;
            self.stand_ins.discovery.publish(object);
        }
        tokio::time::sleep_until((begun + length).into()).await;
        let cpu_us = self.sidecar.process.usage()?.since(&usage).cpu_us;
        let bytes = (self.stand_ins.discovery.bytes() - bytes) as f64;
        Ok((Phased { cpu_us, bytes }, count as f64))
    }

    /// Wall times (ms) from publishing to the moment that the sidecar counts it as taken in: the
    /// middle one and the longest.
    async fn take_in(&mut self, count: usize, word: fn(&mut Author) -> String) -> Result<(f64, f64)> {
        let mut probe = CounterProbe::open(self.sidecar).await?;
        let lost = || self.sidecar.process.error("ended the connection for counters");
        let mut times = Vec::with_capacity(count);
        for _ in 0..count {
            tokio::time::sleep(PAUSE).await;
            let object = word(&mut self.author);
            let before = taken(&probe.read().await.ok_or_else(lost)?);
            let begun = Instant::now();
            self.stand_ins.discovery.publish(object);
            while taken(&probe.read().await.ok_or_else(lost)?) <= before {
                if begun.elapsed() > TAKE_IN_TIMEOUT {
                    return Err(self.sidecar.process.error("did not take in a list"));
                }
            }
            times.push(begun.elapsed().as_secs_f64() * 1e3);
        }
        let longest = times.iter().copied().fold(0.0, f64::max);
        Ok((median(&times).unwrap_or(f64::NAN), longest))
    }
}

fn taken(counters: &std::collections::BTreeMap<String, f64>) -> f64 {
    counters.get(TAKEN).copied().unwrap_or(0.0)
}

async fn sample(options: &Options, folder: &Folder, endpoints: usize) -> Result<Sample> {
    let plan = Plan { listed: endpoints, served: 0, service: Duration::ZERO };
    let stand_ins = StandIns::start(plan)?;
    let settings = settings(options.sidecars, false);
    let discovery = stand_ins.discovery.address;
    let sidecar = Sidecar::start(&options.program, folder, "changes", discovery, settings)?;
    sidecar.ready().await?;
    tokio::time::sleep(SETTLE).await;
    let author = Author { endpoints, port: stand_ins.port, revision: endpoints as u64 };
    let mut bench = Bench { stand_ins: &stand_ins, sidecar: &sidecar, author };
    let length = Duration::from_secs(options.seconds);
    let (idle, _) = bench.phase(0.0, length, Author::change).await?;
    let (changes, change_count) = bench.phase(options.change_rate, length, Author::change).await?;
    let (lists, list_count) = bench.phase(options.list_rate, length, Author::list).await?;
    let each = |phase: f64, idle: f64, count: f64| (phase - idle) / count;
    let change_ms = bench.take_in(options.timed, Author::change).await?;
    let list_ms = bench.take_in(options.timed, Author::list).await?;
    Ok(Sample {
        endpoints,
        idle_us: idle.cpu_us / length.as_secs_f64(),
        idle_bytes: idle.bytes / length.as_secs_f64(),
        change_us: each(changes.cpu_us, idle.cpu_us, change_count),
        change_bytes: each(changes.bytes, 0.0, change_count),
        list_us: each(lists.cpu_us, idle.cpu_us, list_count),
        list_bytes: each(lists.bytes, 0.0, list_count),
        change_ms,
        list_ms,
        resident_kb: sidecar.process.usage()?.resident_kb,
    })
}

/// Measures all numbers of endpoints, in turn, as often as there are runs.
pub fn measure(options: &Options) -> Result<Report> {
    within("runs", options.runs, 1, 20)?;
    within("seconds", options.seconds, 1, 120)?;
    within("timed", options.timed, 1, 1_000)?;
    within("change-rate", options.change_rate, 1.0, 2_000.0)?;
    within("list-rate", options.list_rate, 0.5, 100.0)?;
    options.endpoints.iter().try_for_each(|n| within("endpoints", *n, 1, 4_096).map(drop))?;
    let mut report = Report::begin("changes", options);
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
    let middle = |endpoints: usize, figure: &dyn Fn(&Sample) -> f64| {
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
    for &n in &options.endpoints {
        let figure = |f: &dyn Fn(&Sample) -> f64| middle(n, f);
        let (change, list) = (figure(&|s| s.change_us), figure(&|s| s.list_us));
        changes.push((n as f64, change));
        lists.push((n as f64, list));
        table.row([
            n.to_string(),
            format!("{:.3}", figure(&|s| s.idle_us) / PERCENT_US),
            format!("{:.1}", figure(&|s| s.idle_bytes)),
            format!("{change:.0}"),
            format!("{:.0}", figure(&|s| s.change_bytes)),
            format!("{:.2}", change * options.change_rate / PERCENT_US),
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
        if let (Some(line), Some(power)) = (least_squares(points), exponent(last)) {
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
