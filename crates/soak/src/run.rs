//! One run: the fleet under the faults of a seed, and what the judge says of it.

use crate::faults::plan;
use crate::fleet::Fleet;
use crate::judge::{judge, Rule, Totals, Violation};
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

/// Time in which clients ask nothing more before the sidecars' counters are looked at (ms): longer than any request.
const REST: u64 = 3_000;
/// Violations of a rule that are printed in full.
const SHOWN: usize = 3;
/// How long before a violation a fault may have ended that is named with it (ms).
const AROUND: f64 = 4_000.0;
/// Lines of a sidecar's log that are printed for one.
const LINES: usize = 14;

/// How runs are to be played.
#[derive(Clone, Debug)]
pub struct How {
    /// Sidecars.
    pub sidecars: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Requests a second at each sidecar.
    pub rate: f64,
    /// Calls that a warm endpoint bears in a second.
    pub capacity: f64,
    /// How long clients ask (s).
    pub seconds: f64,
    /// What measuring may be off by (ms).
    pub slack: f64,
    /// The program.
    pub program: PathBuf,
    /// Where logs go of runs that break a rule.
    pub out: PathBuf,
}

/// What came of a run.
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// All of it in words.
    pub text: String,
}

/// Plays one seed.
pub fn run(seed: u64, how: &How) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings::draw(&mut random, how.sidecars, how.capacity);
    let plan = plan(&mut random, how.seconds);
    let (timeline, records) = LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::new(settings, how.endpoints, &how.program, folder.path(), (seed, how.slack))?;
        fleet.registry.borrow_mut().indented = seed % 2 == 0;
        fleet.publish().await;
        (0..how.sidecars).for_each(|number| fleet.keep_list(number));
        fleet.start_all().await?;
        let began = now();
        for number in 0..how.sidecars {
            // Some get several times the mean.
            let part = if number == 0 { 2.0 } else { 1.0 };
            fleet.ask(number, |conduct| conduct.rate = how.rate * part).await;
            fleet.resume(number).await;
        }
        let playing: Vec<_> = plan.iter().map(|p| spawn_local(p.play(fleet.clone(), began))).collect();
        while now() - began < how.seconds * 1e3 {
            for number in 0..how.sidecars {
                if !fleet.sidecars[number].busy.get() {
                    fleet.exited(number, false);
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for one in playing {
            let _ = one.await;
        }
        rest(&fleet, how.sidecars).await;
        end_all(&fleet, how.sidecars).await;
        let (timeline, records) = (fleet.timeline.borrow().clone(), fleet.records.borrow().clone());
        Ok::<_, String>((timeline, records))
    })?;
    let (totals, violations) = judge(&records, &timeline, &settings, how.slack);
    let text = describe(seed, &settings, &timeline, &totals, &violations, folder.path());
    if !violations.is_empty() {
        keep(&how.out.join(format!("seed-{seed}")), folder.path(), &text)?;
    }
    Ok(Report { seed, violations, text })
}

/// Lets all clients rest, and reads what the sidecars count then.
async fn rest(fleet: &std::rc::Rc<Fleet>, sidecars: usize) {
    for number in 0..sidecars {
        fleet.ask(number, |conduct| *conduct = Default::default()).await;
    }
    tokio::time::sleep(Duration::from_millis(REST)).await;
    for number in 0..sidecars {
        let counters = fleet.counters(number).await;
        let counters = counters.into_iter().map(|(name, value)| (number, name, value));
        fleet.timeline.borrow_mut().counters.extend(counters);
    }
}

async fn end_all(fleet: &std::rc::Rc<Fleet>, sidecars: usize) {
    let ending: Vec<_> = (0..sidecars)
        .map(|number| {
            let fleet = fleet.clone();
            spawn_local(async move { fleet.stop(number, &[]).await })
        })
        .collect();
    for one in ending {
        let _ = one.await;
    }
}

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
        totals.left,
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
    let mut shown: BTreeMap<Rule, usize> = BTreeMap::new();
    for violation in violations {
        let shown = shown.entry(violation.rule).or_default();
        *shown += 1;
        if *shown > SHOWN {
            continue;
        }
        line(format!("  {violation}"));
        let crossing =
            timeline.faults.iter().filter(|f| f.from < violation.at && f.until + AROUND > violation.at);
        for fault in crossing {
            let (from, until) = (fault.from - violation.at, fault.until - violation.at);
            line(format!("      during {} from {from:.0} to {until:.0} ms", fault.what));
        }
        for told in story(violation, logs).into_iter().take(LINES) {
            line(format!("      | {told}"));
        }
    }
    text
}

/// What the sidecar's log says of a violation's request.
fn story(violation: &Violation, logs: &Path) -> Vec<String> {
    let (Some(sidecar), Some(id)) = (violation.sidecar, &violation.id) else { return Vec::new() };
    let mut found = Vec::new();
    for start in 1.. {
        let Ok(bytes) = std::fs::read(logs.join(format!("sidecar-{sidecar}-{start}.log"))) else { break };
        let log = String::from_utf8_lossy(&bytes);
        let taken = format!(" taken id={id} ");
        for line in log.lines().filter(|line| line.contains(&taken)) {
            let Some(request) = line.split(' ').find(|word| word.starts_with("request=")) else { continue };
            let mark = format!(" {request} ");
            let ends = format!(" {request}");
            found.extend(
                log.lines().filter(|l| l.contains(&mark) || l.ends_with(&ends)).map(|l| l.to_owned()),
            );
        }
    }
    found
}

/// Keeps the logs of a run.
fn keep(out: &Path, logs: &Path, text: &str) -> Result<(), String> {
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let entries = std::fs::read_dir(logs).map_err(|e| format!("{}: {e}", logs.display()))?;
    for entry in entries.flatten() {
        if entry.path().extension().is_some_and(|e| e == "log" || e == "json") {
            let _ = std::fs::copy(entry.path(), out.join(entry.file_name()));
        }
    }
    std::fs::write(out.join("report.txt"), text).map_err(|e| format!("{}: {e}", out.display()))
}
