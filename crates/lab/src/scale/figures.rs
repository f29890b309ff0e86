//! Computes the figures of a run from what was measured.

use super::convergence::Spread;
use super::experiment::FaultKind;
use super::metrics::{CallCounts, DiscoveryCounts, Second, ServerCounts};
use super::sidecars::{GroupUsage, Usage};
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use serde::Serialize;
use std::collections::BTreeMap;

/// Traffic and resources of one sidecar, as a mean over the fleet and a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PerSidecar {
    /// Calls to discovery per second.
    pub discovery_calls_per_s: f64,
    /// Bytes from and to discovery per second.
    pub discovery_bytes_per_s: f64,
    /// Probes per second.
    pub probes_per_s: f64,
    /// Bytes of probes per second.
    pub probe_bytes_per_s: f64,
    /// Bytes of control traffic per second: discovery and probes.
    pub control_bytes_per_s: f64,
    /// New connections to config servers per second.
    pub server_connects_per_s: f64,
    /// Attempts per second.
    pub attempts_per_s: f64,
    /// CPU use of a real sidecar (% of a core), including calls.
    pub real_cpu_percent: f64,
    /// Memory of a real sidecar (MB).
    pub real_memory_mb: f64,
    /// CPU use of a hollow sidecar (% of a core), including calls.
    pub hollow_cpu_percent: f64,
    /// Memory of a hollow sidecar (MB).
    pub hollow_memory_mb: f64,
}

/// The highest values of one second within a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Peak {
    /// Calls to discovery.
    pub discovery_calls: f64,
    /// Calls to discovery that failed because their wait would have exceeded the time-out.
    pub discovery_failed: f64,
    /// New connections to discovery.
    pub discovery_connects: f64,
    /// Bytes from and to discovery.
    pub discovery_bytes: f64,
    /// Attempts and probes at one config server.
    pub server_calls: f64,
    /// New connections to one config server.
    pub server_connects: f64,
    /// Bytes from and to one config server.
    pub server_bytes: f64,
}

/// Time from the end of a fault until shares of the sidecars watch discovery again (s, in whole seconds); negative
/// if that did not happen.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WatchRecovery {
    /// Half of the sidecars.
    pub p50_s: f64,
    /// 99% of the sidecars.
    pub p99_s: f64,
    /// All sidecars.
    pub all_s: f64,
}

impl WatchRecovery {
    /// The recovery from the given second on.
    fn measure(seconds: &[Second], from: usize, sidecars: usize) -> WatchRecovery {
        let time_until = |share: f64| {
            let required = (sidecars as f64 * share).ceil() as usize;
            // Looks for the last second with too few watches: watches that were open right after the fault may
            // still have been cut by it.
            let last_short_second = seconds.iter().skip(from).rposition(|s| s.watching < required);
            match last_short_second {
                Some(last) if from + last + 1 == seconds.len() => -1.0,
                Some(last) => (last + 1) as f64,
                None => 0.0,
            }
        };
        WatchRecovery { p50_s: time_until(0.5), p99_s: time_until(0.99), all_s: time_until(1.0) }
    }
}

/// The figures of a window of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Window {
    /// First second of the window.
    pub from_s: usize,
    /// The second after the last one of the window.
    pub until_s: usize,
    /// Means per sidecar.
    pub per_sidecar: PerSidecar,
    /// Highest values of one second.
    pub peak: Peak,
    /// Time until changes were told: written to the sidecar's connection.
    pub told: Spread,
    /// Time until changes were in force, by the sidecar's own counter.
    pub in_force: Spread,
    /// Time from the end of the fault until the sidecars watch discovery again.
    pub watching: WatchRecovery,
    /// Calls of the applications, in total.
    pub calls: CallCounts,
    /// What discovery received, in total.
    pub discovery: DiscoveryCounts,
    /// What config servers received, in total.
    pub servers: ServerCounts,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The window up to the first fault; the whole run if there is none.
    pub quiet: Window,
    /// The window from the first fault to the end.
    pub fault: Option<Window>,
    /// How often each rule was broken.
    pub violation_counts: BTreeMap<String, u64>,
    /// Description of the first case of each broken rule.
    pub first_violations: BTreeMap<String, String>,
    /// The measurements of each second.
    pub seconds: Vec<Second>,
}

/// Computes the figures of a run that has ended.
pub fn figures<F: Fabric>(simulation: &Simulation<F>) -> Figures {
    let measured = simulation.measured.borrow();
    let sidecars = simulation.experiment.fleet.sidecars;
    let all = measured.seconds.len();
    let fault_start_s = simulation.first_fault().map(|f| (f.at_s as usize).min(all));
    let window = |from: usize, until: usize| {
        let mut window = window(&measured.seconds, &measured.usage, from, until);
        per_sidecar(&mut window, sidecars);
        let reachable_ms = reachable_again_ms(simulation);
        let (from, until) = (simulation.run_time_ms(from as f64), simulation.run_time_ms(until as f64));
        window.told = simulation.told.borrow().spread(from, until, reachable_ms);
        window.in_force = simulation.in_force.borrow().spread(from, until, reachable_ms);
        window
    };
    let audit = simulation.audit.borrow();
    Figures {
        quiet: window(0, fault_start_s.unwrap_or(all)),
        fault: fault_start_s.map(|start_s| {
            let watching = WatchRecovery::measure(&measured.seconds, fault_end_s(simulation), sidecars);
            Window { watching, ..window(start_s, all) }
        }),
        violation_counts: audit.violation_counts().clone(),
        first_violations: audit.first_violations().clone(),
        seconds: measured.seconds.clone(),
    }
}

/// The second of the measurement in which the first fault ends.
fn fault_end_s<F: Fabric>(simulation: &Simulation<F>) -> usize {
    simulation.first_fault().map_or(0, |f| (f.at_s + f.len_s) as usize)
}

/// When all sidecars can reach discovery again after a fault that cut some off; 0 for other runs.
fn reachable_again_ms<F: Fabric>(simulation: &Simulation<F>) -> f64 {
    match simulation.first_fault() {
        Some(fault) if matches!(fault.kind, FaultKind::DiscoveryAway | FaultKind::RegionCut) => {
            simulation.run_time_ms(fault.at_s + fault.len_s)
        }
        _ => 0.0,
    }
}

/// The sums and peaks of a window, and the CPU and memory use of its sidecars.
fn window(seconds: &[Second], usage: &[Usage], from: usize, until: usize) -> Window {
    let mut window = Window { from_s: from, until_s: until, ..Window::default() };
    let peak = &mut window.peak;
    for second in &seconds[from..until] {
        window.calls += second.calls;
        window.discovery += second.discovery;
        window.servers += second.servers;
        let raise = |peak: &mut f64, value: u64| *peak = peak.max(value as f64);
        raise(&mut peak.discovery_calls, second.discovery.calls());
        raise(&mut peak.discovery_failed, second.discovery.failed);
        raise(&mut peak.discovery_connects, second.discovery.connects);
        raise(&mut peak.discovery_bytes, second.discovery.bytes);
        raise(&mut peak.server_calls, second.busiest_server.calls);
        raise(&mut peak.server_connects, second.busiest_server.connects);
        raise(&mut peak.server_bytes, second.busiest_server.bytes);
    }
    let means = &mut window.per_sidecar;
    let usage = usage.get(from..usage.len().min(until + 1)).unwrap_or_default();
    (means.real_cpu_percent, means.real_memory_mb) = mean_usage(usage, |u| u.real);
    (means.hollow_cpu_percent, means.hollow_memory_mb) = mean_usage(usage, |u| u.hollow);
    window
}

/// Mean CPU use (% of a core) and memory (MB) of one sidecar of a kind, from the usage of all at each second.
fn mean_usage(usage: &[Usage], kind: impl Fn(&Usage) -> GroupUsage) -> (f64, f64) {
    let Some(last) = usage.last().map(&kind).filter(|last| last.sidecars > 0) else { return (0.0, 0.0) };
    // The CPU time of a restarted process begins at 0 again: its use in that second is lost.
    let cpu_s: f64 = usage.windows(2).map(|w| (kind(&w[1]).cpu_s - kind(&w[0]).cpu_s).max(0.0)).sum();
    let (sidecars, seconds) = (last.sidecars as f64, (usage.len() - 1).max(1) as f64);
    (cpu_s / seconds / sidecars * 100.0, last.memory_mb / sidecars)
}

/// Sets the means per sidecar and second from the sums of a window.
fn per_sidecar(window: &mut Window, sidecars: usize) {
    let per_sidecar_second = 1.0 / (sidecars.max(1) * (window.until_s - window.from_s).max(1)) as f64;
    let means = &mut window.per_sidecar;
    means.discovery_calls_per_s = window.discovery.calls() as f64 * per_sidecar_second;
    means.discovery_bytes_per_s = window.discovery.bytes as f64 * per_sidecar_second;
    means.probes_per_s = window.servers.probes as f64 * per_sidecar_second;
    means.probe_bytes_per_s = window.servers.probe_bytes as f64 * per_sidecar_second;
    means.control_bytes_per_s = means.discovery_bytes_per_s + means.probe_bytes_per_s;
    means.server_connects_per_s = window.servers.connects as f64 * per_sidecar_second;
    means.attempts_per_s = window.servers.attempts as f64 * per_sidecar_second;
}
