//! Runs one scenario and writes its results.

use crate::processes::{own_cpu_s, own_peak_memory_mb};
use crate::strategies::Strategy;
use crate::timing::Timing;
use crate::{real_sockets, virtual_time};
use roseproxy_emulator::result::{outcome, Outcome, Second};
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::Schedule;
use std::fmt::Write;
use std::path::Path;
use std::time::Instant;

/// A completed run of a scenario.
pub struct CompletedRun {
    /// The deterministic result.
    pub outcome: Outcome,
    /// Values of each second.
    pub series: Vec<Second>,
    /// Time and memory that the run took.
    pub timing: Timing,
    /// The schedule that was run.
    pub schedule: Schedule,
}

/// How a scenario is run.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// The strategy of all sidecars; real sockets support [`Strategy::Module`] only.
    pub strategy: Strategy,
    /// The sidecar program to start on real sockets; `None` runs in virtual time.
    pub program: Option<std::path::PathBuf>,
    /// Shows a live table during a run on real sockets.
    pub live_table: bool,
}

/// Runs a scenario with a seed.
pub fn run_scenario(scenario: &Scenario, seed: u64, options: &RunOptions) -> Result<CompletedRun, String> {
    let (schedule, began) = (Schedule::draw(scenario, seed), Instant::now());
    let returned_schedule = schedule.clone();
    let name = options.strategy.name();
    let (outcome, series, mut timing) = match &options.program {
        Some(program) => {
            if options.strategy != Strategy::Module {
                return Err(
                    "--strategy: baseline strategies run in virtual time only; real sidecars use the module"
                        .into(),
                );
            }
            real_sockets::run(schedule, program, options.live_table, |simulation| outcome(simulation, &name))?
        }
        None => {
            let cpu_s_before = own_cpu_s();
            let (outcome, series) =
                virtual_time::run(schedule, options.strategy, None, |simulation| outcome(simulation, &name))?;
            let timing = Timing {
                cpu_s: own_cpu_s() - cpu_s_before,
                memory_mb: own_peak_memory_mb(),
                ..Timing::default()
            };
            (outcome, series, timing)
        }
    };
    timing.wall_s = began.elapsed().as_secs_f64();
    timing.speed_up = scenario.length_s / timing.wall_s.max(1e-9);
    timing.real = options.program.is_some();
    Ok(CompletedRun { outcome, series, timing, schedule: returned_schedule })
}

/// The result as JSON; equal runs give equal text.
pub fn result_json(outcome: &Outcome) -> Result<String, String> {
    serde_json::to_string_pretty(outcome).map(|t| t + "\n").map_err(|e| e.to_string())
}

/// The values of each second as CSV.
pub fn series_csv(series: &[Second]) -> String {
    let servers = series.iter().map(|s| s.fleet.held.len()).max().unwrap_or(0);
    let mut text = String::from("second,worth,served,tries,refused,p50_ms,p99_ms,slow,capacity,idle");
    for server in 0..servers {
        let _ = write!(text, ",held_{server}");
    }
    text.push('\n');
    for second in series {
        let fleet = &second.fleet;
        let _ = write!(
            text,
            "{},{},{},{},{},{},{},{},{},{}",
            second.second,
            second.worth,
            second.served,
            second.tries,
            second.refused,
            second.p50,
            second.p99,
            fleet.slow,
            fleet.capacity,
            fleet.idle
        );
        for server in 0..servers {
            let _ = write!(text, ",{}", fleet.held.get(server).copied().unwrap_or(-1.0));
        }
        text.push('\n');
    }
    text
}

/// Writes a file and creates its folder; the error names the path.
pub fn write_file(path: &Path, text: &str) -> Result<(), String> {
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent).map_err(|e| format!("{}: {e}", parent.display()))?;
    }
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes the result, the timing and the series of a run into a folder.
pub fn write_results(completed: &CompletedRun, out: &Path) -> Result<(), String> {
    write_file(&out.join("result.json"), &result_json(&completed.outcome)?)?;
    let timing = serde_json::to_string_pretty(&completed.timing).map_err(|e| e.to_string())?;
    write_file(&out.join("timing.json"), &(timing + "\n"))?;
    write_file(&out.join("series.csv"), &series_csv(&completed.series))
}

/// Summarizes a run in a few lines for the terminal.
pub fn summary(completed: &CompletedRun) -> String {
    let (outcome, timing) = (&completed.outcome, &completed.timing);
    let mut text = String::new();
    let mut line = |content: String| {
        let _ = writeln!(text, "{content}");
    };
    line(format!(
        "{} seed {} by {}: service {:.3}, worst 10 s {:.3}, worst class {:.3}, worst tenant {:.3}",
        outcome.day,
        outcome.seed,
        outcome.strategy,
        outcome.service,
        outcome.worst_window,
        outcome.worst_class,
        outcome.worst_tenant
    ));
    let flows = &outcome.flows;
    line(format!(
        "flows: {} asked, {} served, {} late, {} refused, {} failed; tries {}, refused {:.1}% of them ({:.0}% of those to be regretted)",
        flows.asked, flows.served, flows.late, flows.refused, flows.failed, outcome.tries.sent,
        outcome.refusals.tries_share * 100.0, outcome.refusals.regretted_share * 100.0
    ));
    let latency = &outcome.latency;
    line(format!(
        "latency ms: p50 {:.0}, p90 {:.0}, p99 {:.0}, p99.9 {:.0}; cores idle {:.0}%; servers turned slow {} times",
        latency.p50, latency.p90, latency.p99, latency.p999, outcome.servers.idle_share * 100.0, outcome.servers.chokes
    ));
    line(format!(
        "{:.2} s wall, {:.1} times real time, {:.2} s CPU, {:.0} MB",
        timing.wall_s, timing.speed_up, timing.cpu_s, timing.memory_mb
    ));
    for (rule, count) in &outcome.violation_counts {
        line(format!("BROKEN {rule}: {count} times"));
    }
    for violation in outcome.violations.iter().take(5) {
        let flow = violation.flow.map_or(String::new(), |f| format!(", flow {f}"));
        let sidecar = violation.sidecar.map_or(String::new(), |s| format!(" by sidecar {s}"));
        line(format!("  {:?} at {:.0} ms{sidecar}{flow}: {}", violation.rule, violation.at, violation.what));
    }
    text
}
