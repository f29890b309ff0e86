//! One day played, and what is kept of it.

use crate::processes::{own_cpu, own_memory};
use crate::strategies::Strategy;
use crate::timing::Timing;
use crate::{real, virtual_time};
use roseproxy_emulator::day::Day;
use roseproxy_emulator::plan::Plan;
use roseproxy_emulator::result::{outcome, Outcome, Second};
use std::fmt::Write;
use std::path::Path;
use std::time::Instant;

/// A day that was played.
pub struct Played {
    pub outcome: Outcome,
    pub series: Vec<Second>,
    pub timing: Timing,
    pub plan: Plan,
}

/// How a day is to be played.
#[derive(Clone, Debug, Default)]
pub struct How {
    pub strategy: Strategy,
    /// The program to start, on real sockets; `None` for virtual time.
    pub program: Option<std::path::PathBuf>,
    /// Shows a live table while it plays.
    pub live: bool,
}

/// Plays a day.
pub fn play(day: &Day, seed: u64, how: &How) -> Result<Played, String> {
    let (plan, began) = (Plan::draw(day, seed), Instant::now());
    let kept = plan.clone();
    let name = how.strategy.name();
    let (outcome, series, mut timing) = match &how.program {
        Some(program) => {
            if how.strategy != Strategy::Module {
                return Err(
                    "--strategy: yardsticks play in virtual time; real sidecars decide by the module".into(),
                );
            }
            real::play(plan, program, how.live, |world| outcome(world, &name))?
        }
        None => {
            let cpu = own_cpu();
            let (outcome, series) =
                virtual_time::play(plan, how.strategy, None, |world| outcome(world, &name))?;
            let timing = Timing { cpu_s: own_cpu() - cpu, memory_mb: own_memory(), ..Timing::default() };
            (outcome, series, timing)
        }
    };
    timing.wall_s = began.elapsed().as_secs_f64();
    timing.speed_up = day.length_s / timing.wall_s.max(1e-9);
    timing.real = how.program.is_some();
    Ok(Played { outcome, series, timing, plan: kept })
}

/// The deterministic text of a result.
pub fn result_text(outcome: &Outcome) -> Result<String, String> {
    serde_json::to_string_pretty(outcome).map(|t| t + "\n").map_err(|e| e.to_string())
}

/// The series as CSV.
pub fn series_text(series: &[Second]) -> String {
    let servers = series.iter().map(|s| s.fleet.held.len()).max().unwrap_or(0);
    let mut text = String::from("second,worth,served,tries,refused,p50_ms,p99_ms,slow,capacity,idle");
    for server in 0..servers {
        let _ = write!(text, ",held_{server}");
    }
    text.push('\n');
    for s in series {
        let f = &s.fleet;
        let _ = write!(
            text,
            "{},{},{},{},{},{},{},{},{},{}",
            s.second, s.worth, s.served, s.tries, s.refused, s.p50, s.p99, f.slow, f.capacity, f.idle
        );
        for server in 0..servers {
            let _ = write!(text, ",{}", f.held.get(server).copied().unwrap_or(-1.0));
        }
        text.push('\n');
    }
    text
}

/// Writes a file, and says which one could not be.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent).map_err(|e| format!("{}: {e}", parent.display()))?;
    }
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Keeps a play in a folder.
pub fn keep(played: &Played, out: &Path) -> Result<(), String> {
    write(&out.join("result.json"), &result_text(&played.outcome)?)?;
    let timing = serde_json::to_string_pretty(&played.timing).map_err(|e| e.to_string())?;
    write(&out.join("timing.json"), &(timing + "\n"))?;
    write(&out.join("series.csv"), &series_text(&played.series))
}

/// A play in a few lines for the terminal.
pub fn summary(played: &Played) -> String {
    let (o, t) = (&played.outcome, &played.timing);
    let mut text = String::new();
    let mut line = |s: String| {
        let _ = writeln!(text, "{s}");
    };
    line(format!(
        "{} seed {} by {}: service {:.3}, worst 10 s {:.3}, worst class {:.3}, worst tenant {:.3}",
        o.day, o.seed, o.strategy, o.service, o.worst_window, o.worst_class, o.worst_tenant
    ));
    let f = &o.flows;
    line(format!(
        "flows: {} asked, {} served, {} late, {} refused, {} failed; tries {}, refused {:.1}% of them ({:.0}% of those to be regretted)",
        f.asked, f.served, f.late, f.refused, f.failed, o.tries.sent,
        o.refusals.tries_share * 100.0, o.refusals.regretted_share * 100.0
    ));
    let l = &o.latency;
    line(format!(
        "latency ms: p50 {:.0}, p90 {:.0}, p99 {:.0}, p99.9 {:.0}; cores idle {:.0}%; servers turned slow {} times",
        l.p50, l.p90, l.p99, l.p999, o.servers.idle_share * 100.0, o.servers.chokes
    ));
    line(format!(
        "{:.2} s wall, {:.1} times real time, {:.2} s CPU, {:.0} MB",
        t.wall_s, t.speed_up, t.cpu_s, t.memory_mb
    ));
    for (rule, count) in &o.violation_counts {
        line(format!("BROKEN {rule}: {count} times"));
    }
    for v in o.violations.iter().take(5) {
        let flow = v.flow.map_or(String::new(), |f| format!(", flow {f}"));
        let sidecar = v.sidecar.map_or(String::new(), |s| format!(" by sidecar {s}"));
        line(format!("  {:?} at {:.0} ms{sidecar}{flow}: {}", v.rule, v.at, v.what));
    }
    text
}
