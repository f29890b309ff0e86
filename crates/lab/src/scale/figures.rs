//! The figures of a run.

use super::convergence::Spread;
use super::experiment::FaultKind;
use super::metrics::{CallCounts, DiscoveryCounts, Second, ServerCounts};
use super::sidecars::{GroupUsage, Usage};
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a sidecar takes, as a mean of a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PerSidecar {
    /// Calls to discovery a second.
    pub discovery_calls_per_s: f64,
    /// Bytes from and to discovery a second.
    pub discovery_bytes_per_s: f64,
    /// Probes a second.
    pub probes_per_s: f64,
    /// Bytes of probes a second.
    pub probe_bytes_per_s: f64,
    /// Bytes for control a second: discovery and probes.
    pub control_bytes_per_s: f64,
    /// Connections to config servers a second.
    pub server_connects_per_s: f64,
    /// Attempts a second.
    pub attempts_per_s: f64,
    /// CPU of one that is a process (% of a core); calls are in it.
    pub real_cpu_percent: f64,
    /// Memory of one that is a process (MB).
    pub real_memory_mb: f64,
    /// CPU of one that is hollow (% of a core); calls are in it.
    pub hollow_cpu_percent: f64,
    /// Memory of one that is hollow (MB).
    pub hollow_memory_mb: f64,
}

/// The most in one second of a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Peak {
    /// Calls at discovery.
    pub discovery_calls: f64,
    /// Calls there that failed, as they would have waited too long.
    pub discovery_failed: f64,
    /// Connections there.
    pub discovery_connects: f64,
    /// Bytes there.
    pub discovery_bytes: f64,
    /// Attempts and probes at one config server.
    pub server_calls: f64,
    /// Connections there.
    pub server_connects: f64,
    /// Bytes there.
    pub server_bytes: f64,
}

/// How long it takes until sidecars watch discovery again (s, to the second); below 0 where it never came to that.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WatchRecovery {
    /// Half of them.
    pub p50_s: f64,
    /// 99 of 100.
    pub p99_s: f64,
    /// All.
    pub all_s: f64,
}

impl WatchRecovery {
    /// From this second on.
    fn of(seconds: &[Second], from: usize, sidecars: usize) -> WatchRecovery {
        let until = |share: f64| {
            let enough = (sidecars as f64 * share).ceil() as usize;
            // Those that watched right before may have been cut only just now.
            let short = seconds.iter().skip(from).rposition(|s| s.watching < enough);
            match short {
                Some(last) if from + last + 1 == seconds.len() => -1.0,
                Some(last) => (last + 1) as f64,
                None => 0.0,
            }
        };
        WatchRecovery { p50_s: until(0.5), p99_s: until(0.99), all_s: until(1.0) }
    }
}

/// The figures of a window of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// Its first second, and the one behind its last.
    pub from_s: usize,
    /// The second behind its last.
    pub until_s: usize,
    /// Means of each sidecar.
    pub per_sidecar: PerSidecar,
    /// The most in a second.
    pub peak: Peak,
    /// How long changes took to be told: written to the sidecar's connection.
    pub told: Spread,
    /// How long they took to be in force, by the sidecar's own counter.
    pub in_force: Spread,
    /// From the end of the fault until so many sidecars watch discovery again.
    pub watching: WatchRecovery,
    /// Calls of the applications.
    pub calls: CallCounts,
    /// At discovery, in all.
    pub discovery: DiscoveryCounts,
    /// At config servers, in all.
    pub servers: ServerCounts,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The run without faults, or up to the first.
    pub quiet: Window,
    /// From the first fault on.
    pub fault: Option<Window>,
    /// Rules that were broken.
    pub violation_counts: BTreeMap<String, u64>,
    /// The first case of each.
    pub first_violations: BTreeMap<String, String>,
    /// Each second.
    pub seconds: Vec<Second>,
}

/// The figures of a run that has ended.
pub fn figures<F: Fabric>(simulation: &Simulation<F>) -> Figures {
    let measured = simulation.measured.borrow();
    let sidecars = simulation.experiment.fleet.sidecars;
    let all = measured.seconds.len();
    let begins = simulation.fault().map(|f| (f.at_s as usize).min(all));
    let window = |from: usize, until: usize| {
        let mut window = window(&measured.seconds, &measured.usage, from, until);
        per_sidecar(&mut window, sidecars);
        let reachable = reachable_again(simulation);
        let (from, until) = (simulation.at(from as f64), simulation.at(until as f64));
        window.told = simulation.told.borrow().spread(from, until, reachable);
        window.in_force = simulation.in_force.borrow().spread(from, until, reachable);
        window
    };
    let audit = simulation.audit.borrow();
    Figures {
        quiet: window(0, begins.unwrap_or(all)),
        fault: begins.map(|begins| {
            let watching = WatchRecovery::of(&measured.seconds, fault_ends(simulation), sidecars);
            Window { watching, ..window(begins, all) }
        }),
        violation_counts: audit.broken().clone(),
        first_violations: audit.first().clone(),
        seconds: measured.seconds.clone(),
    }
}

/// The second in which the first fault ends.
fn fault_ends<F: Fabric>(simulation: &Simulation<F>) -> usize {
    simulation.fault().map_or(0, |f| (f.at_s + f.len_s) as usize)
}

/// When discovery can be reached by all again (ms), where a fault kept some from it.
fn reachable_again<F: Fabric>(simulation: &Simulation<F>) -> f64 {
    match simulation.fault() {
        Some(fault) if matches!(fault.kind, FaultKind::DiscoveryAway | FaultKind::RegionCut) => {
            simulation.at(fault.at_s + fault.len_s)
        }
        _ => 0.0,
    }
}

fn window(seconds: &[Second], usage: &[Usage], from: usize, until: usize) -> Window {
    let mut window = Window { from_s: from, until_s: until, ..Window::default() };
    let peak = &mut window.peak;
    for second in &seconds[from..until] {
        window.calls += second.calls;
        window.discovery += second.discovery;
        window.servers += second.servers;
        let most = |peak: &mut f64, value: u64| *peak = peak.max(value as f64);
        most(&mut peak.discovery_calls, second.discovery.calls());
        most(&mut peak.discovery_failed, second.discovery.failed);
        most(&mut peak.discovery_connects, second.discovery.connects);
        most(&mut peak.discovery_bytes, second.discovery.bytes);
        most(&mut peak.server_calls, second.busiest_server.calls);
        most(&mut peak.server_connects, second.busiest_server.connects);
        most(&mut peak.server_bytes, second.busiest_server.bytes);
    }
    let each = &mut window.per_sidecar;
    let usage = usage.get(from..usage.len().min(until + 1)).unwrap_or_default();
    (each.real_cpu_percent, each.real_memory_mb) = mean_usage(usage, |u| u.real);
    (each.hollow_cpu_percent, each.hollow_memory_mb) = mean_usage(usage, |u| u.hollow);
    window
}

/// CPU (% of a core) and memory (MB) of one sidecar of a kind, from what all of them took at each second.
fn mean_usage(usage: &[Usage], kind: impl Fn(&Usage) -> GroupUsage) -> (f64, f64) {
    let Some(last) = usage.last().map(&kind).filter(|last| last.sidecars > 0) else { return (0.0, 0.0) };
    // A process that was restarted counts anew: what it took in that second is lost.
    let cpu_s: f64 = usage.windows(2).map(|w| (kind(&w[1]).cpu_s - kind(&w[0]).cpu_s).max(0.0)).sum();
    let (sidecars, seconds) = (last.sidecars as f64, (usage.len() - 1).max(1) as f64);
    (cpu_s / seconds / sidecars * 100.0, last.memory_mb / sidecars)
}

fn per_sidecar(window: &mut Window, sidecars: usize) {
    let share = 1.0 / (sidecars.max(1) * (window.until_s - window.from_s).max(1)) as f64;
    let each = &mut window.per_sidecar;
    each.discovery_calls_per_s = window.discovery.calls() as f64 * share;
    each.discovery_bytes_per_s = window.discovery.bytes as f64 * share;
    each.probes_per_s = window.servers.probes as f64 * share;
    each.probe_bytes_per_s = window.servers.probe_bytes as f64 * share;
    each.control_bytes_per_s = each.discovery_bytes_per_s + each.probe_bytes_per_s;
    each.server_connects_per_s = window.servers.connects as f64 * share;
    each.attempts_per_s = window.servers.attempts as f64 * share;
}
