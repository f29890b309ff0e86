//! Carries out one run: the fleet under the faults of a seed, then the check and the report.

use crate::checker::{check, Rule, Totals, Violation};
use crate::faults::draw_schedule;
use crate::fleet::Fleet;
use crate::records::now;
use crate::settings::Settings;
use crate::timeline::Timeline;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};

/// Time without new requests before the sidecars' counters are read; longer than any request.
const REST_MS: u64 = 3_000;
/// Maximum number of violations per rule that are printed in full.
const MAX_SHOWN_VIOLATIONS: usize = 3;
/// Time before a violation within which a fault may have ended to be printed with it.
const FAULT_WINDOW_MS: f64 = 4_000.0;
/// Maximum number of log lines that are printed for a violation.
const MAX_LOG_LINES: usize = 14;

/// Options of the runs, from the command line.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Requests per second at each sidecar.
    pub rate: f64,
    /// Calls per second that a warm endpoint can serve.
    pub capacity: f64,
    /// Duration of client load (s).
    pub seconds: f64,
    /// Measurement error to allow for (ms).
    pub slack: f64,
    /// Sidecar program under test.
    pub program: PathBuf,
    /// Directory for the logs of runs that break a rule.
    pub out: PathBuf,
}

/// Result of a run.
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
    /// Report as text.
    pub text: String,
}

/// Carries out the run of one seed.
pub fn run(seed: u64, options: &RunOptions) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| format!("temporary folder: {e}"))?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings::draw(&mut rng, options.sidecars, options.capacity);
    let schedule = draw_schedule(&mut rng, options.seconds);
    let (timeline, records) = LocalSet::new().block_on(&runtime, async {
        let fleet =
            Fleet::new(settings, options.endpoints, &options.program, folder.path(), (seed, options.slack))?;
        fleet.registry.borrow_mut().indented = seed % 2 == 0;
        fleet.publish().await;
        (0..options.sidecars).for_each(|number| fleet.save_list(number));
        fleet.start_all().await?;
        let started_at = now();
        for number in 0..options.sidecars {
            // Load is uneven in practice: some sidecars get several times the mean.
            let factor = if number == 0 { 2.0 } else { 1.0 };
            fleet.change_client_behavior(number, |behavior| behavior.rate = options.rate * factor).await;
            fleet.apply_client_behavior(number).await;
        }
        let fault_tasks: Vec<_> =
            schedule.iter().map(|fault| spawn_local(fault.inject(fleet.clone(), started_at))).collect();
        while now() - started_at < options.seconds * 1e3 {
            for number in 0..options.sidecars {
                if !fleet.sidecars[number].restarting.get() {
                    fleet.check_exited(number, false);
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for task in fault_tasks {
            let _ = task.await;
        }
        rest_and_read_counters(&fleet, options.sidecars).await;
        stop_all(&fleet, options.sidecars).await;
        let (timeline, records) = (fleet.timeline.borrow().clone(), fleet.records.borrow().clone());
        Ok::<_, String>((timeline, records))
    })?;
    let (totals, violations) = check(&records, &timeline, &settings, options.slack);
    let text = describe(seed, &settings, &timeline, &totals, &violations, folder.path());
    if !violations.is_empty() {
        save_logs(&options.out.join(format!("seed-{seed}")), folder.path(), &text)?;
    }
    Ok(Report { seed, violations, text })
}

/// Stops the load of all clients, waits, and reads the sidecars' counters.
async fn rest_and_read_counters(fleet: &std::rc::Rc<Fleet>, sidecars: usize) {
    for number in 0..sidecars {
        fleet.change_client_behavior(number, |behavior| *behavior = Default::default()).await;
    }
    tokio::time::sleep(Duration::from_millis(REST_MS)).await;
    for number in 0..sidecars {
        let counters = fleet.counters(number).await;
        let counters = counters.into_iter().map(|(name, value)| (number, name, value));
        fleet.timeline.borrow_mut().counters.extend(counters);
    }
}

async fn stop_all(fleet: &std::rc::Rc<Fleet>, sidecars: usize) {
    let stop_tasks: Vec<_> = (0..sidecars)
        .map(|number| {
            let fleet = fleet.clone();
            spawn_local(async move { fleet.stop(number, &[]).await })
        })
        .collect();
    for task in stop_tasks {
        let _ = task.await;
    }
}

/// Writes the report of a run.
fn describe(
    seed: u64,
    settings: &Settings,
    timeline: &Timeline,
    totals: &Totals,
    violations: &[Violation],
    logs: &Path,
) -> String {
    let mut text = String::new();
    let [served, refused, failed] = totals.answers;
    let mut line = |part: String| {
        let _ = writeln!(text, "{part}");
    };
    line(format!(
        "seed {seed}: {} requests, {served} served, {refused} refused, {failed} failed, {} left; {} attempts; {} faults; {} violations",
        totals.requests,
        totals.clients_left,
        totals.attempts,
        timeline.faults.len(),
        violations.len()
    ));
    if violations.is_empty() {
        return text;
    }
    line(format!("  {settings:?}"));
    let mut counts: BTreeMap<Rule, usize> = BTreeMap::new();
    violations.iter().for_each(|v| *counts.entry(v.rule).or_default() += 1);
    for (rule, count) in counts {
        line(format!("  BROKEN {rule:?}: {count} times"));
    }
    let mut shown_count: BTreeMap<Rule, usize> = BTreeMap::new();
    for violation in violations {
        let shown_count = shown_count.entry(violation.rule).or_default();
        *shown_count += 1;
        if *shown_count > MAX_SHOWN_VIOLATIONS {
            continue;
        }
        line(format!("  {violation}"));
        let overlapping = timeline
            .faults
            .iter()
            .filter(|f| f.started_at < violation.at && f.ended_at + FAULT_WINDOW_MS > violation.at);
        for fault in overlapping {
            let (from, until) = (fault.started_at - violation.at, fault.ended_at - violation.at);
            line(format!("      during {} from {from:.0} to {until:.0} ms", fault.description));
        }
        for log_line in request_log_lines(violation, logs).into_iter().take(MAX_LOG_LINES) {
            line(format!("      | {log_line}"));
        }
    }
    text
}

/// Collects the lines that the sidecar's log has on a violation's request.
fn request_log_lines(violation: &Violation, logs: &Path) -> Vec<String> {
    let (Some(sidecar), Some(id)) = (violation.sidecar, &violation.id) else { return Vec::new() };
    let mut found = Vec::new();
    for start in 1.. {
        let Ok(bytes) = std::fs::read(logs.join(format!("sidecar-{sidecar}-{start}.log"))) else { break };
        let log = String::from_utf8_lossy(&bytes);
        let accepted_text = format!(" taken id={id} ");
        for line in log.lines().filter(|line| line.contains(&accepted_text)) {
            let Some(request) = line.split(' ').find(|word| word.starts_with("request=")) else { continue };
            let inner_token = format!(" {request} ");
            let final_token = format!(" {request}");
            found.extend(
                log.lines()
                    .filter(|l| l.contains(&inner_token) || l.ends_with(&final_token))
                    .map(|l| l.to_owned()),
            );
        }
    }
    found
}

/// Copies the logs and the configurations of a run to `out`, and writes its report there.
fn save_logs(out: &Path, logs: &Path, text: &str) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let entries = std::fs::read_dir(logs).map_err(|e| format!("{}: {e}", logs.display()))?;
    for entry in entries.flatten() {
        if entry.path().extension().is_some_and(|e| e == "log" || e == "json") {
            let _ = std::fs::copy(entry.path(), out.join(entry.file_name()));
        }
    }
    std::fs::write(out.join("report.txt"), text).map_err(|e| format!("{}: {e}", out.display()))
}
