//! Observers of a simulation: checks of the sidecars' processes and counters, and samples of the fleet.

use super::Simulation;
use crate::accounting::{Rule, TryEnd};
use crate::fabric::Fabric;
use serde::Serialize;
use std::rc::Rc;

/// Interval of the checks of the sidecars' processes (ms).
const LOOK: f64 = 100.0;

/// The state of the fleet in one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// The second of the scenario, counted from 0.
    pub second: usize,
    /// Requests held by each server; -1 where it is not in service.
    pub held: Vec<f64>,
    /// Number of servers degraded by long queues.
    pub slow: usize,
    /// Capacity in service as a share of the warm fleet's.
    pub capacity: f64,
    /// Idle share of the cores of the servers in service.
    pub idle: f64,
}

impl<F: Fabric> Simulation<F> {
    /// Checks the processes of all sidecars until it is aborted.
    pub(super) async fn watch(self: Rc<Self>) {
        loop {
            self.sleep(LOOK).await;
            for sidecar in 0..self.plan.sidecars.len() {
                self.look_at(sidecar);
            }
        }
    }

    /// Checks that a process runs, and its descriptors and memory against their limits.
    fn look_at(&self, sidecar: usize) {
        let limits = &self.plan.day.limits;
        let (descriptors, memory) = self.sidecars.holds(sidecar);
        if let Some(held) = descriptors {
            self.environment.accounting.borrow_mut().holds(self.now(), sidecar, held, limits.sockets);
        }
        if let Some(mb) = memory.filter(|mb| *mb > limits.memory_mb) {
            self.environment.record_violation(
                Rule::Memory,
                sidecar,
                None,
                format!("{mb:.1} of {} MB", limits.memory_mb),
            );
        }
        let meant = self.applications.meant(sidecar);
        if meant && self.sidecars.ended(sidecar) {
            self.environment.record_violation(Rule::Crash, sidecar, None, "it ended".into());
            self.kill(sidecar);
        }
    }

    /// Takes a sample each second of the scenario.
    pub(super) async fn sample(self: Rc<Self>) {
        for second in 0.. {
            self.until(self.day_at(second as f64 * 1e3 + 500.0)).await;
            let sample = self.sample_of(second);
            self.samples.borrow_mut().push(sample);
        }
    }

    fn sample_of(&self, second: usize) -> Sample {
        let whole = self.plan.capacity();
        let mut sample = Sample { second, ..Sample::default() };
        let (mut cores, mut idle) = (0.0, 0.0);
        for member in self.members() {
            member.touch(self.now());
            let up = member.in_service();
            let model = member.model.borrow();
            let held = model.held() as f64;
            sample.held.push(if up { held } else { -1.0 });
            if up {
                sample.slow += usize::from(model.slow());
                sample.capacity += model.capacity() / whole;
                cores += model.plan.cores;
                idle += (model.plan.cores - held).max(0.0);
            }
        }
        sample.idle = if cores > 0.0 { idle / cores } else { 0.0 };
        sample
    }

    /// Compares the sidecars' counters with the request accounting.
    pub(super) async fn compare_counters(&self) {
        for sidecar in 0..self.plan.sidecars.len() {
            if self.applications.starts(sidecar) != 1 || !self.applications.asks(sidecar) {
                continue;
            }
            let Some(answer) = self.call(sidecar, "/health/counters").await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            for what in self.counter_faults(sidecar, &text) {
                self.environment.record_violation(Rule::Books, sidecar, None, what);
            }
        }
    }

    /// The differences between a sidecar's counters and the request accounting.
    fn counter_faults(&self, sidecar: usize, text: &str) -> Vec<String> {
        let (mut taken, mut served, mut refused) = (0, 0, 0);
        let accounting = self.environment.accounting.borrow();
        let of_sidecar =
            accounting.tries.iter().filter(|t| self.plan.arrivals[t.flow].sidecar == sidecar && t.taken);
        for one in of_sidecar {
            taken += 1;
            served += u64::from(one.end == TryEnd::Served);
            refused += u64::from(matches!(one.end, TryEnd::Refused(_)));
        }
        let pairs = [("flows_taken", taken), ("flows_served", served), ("flows_refused", refused)];
        let differ = pairs.into_iter().filter(|(name, counted)| counter(text, name) != *counted);
        differ
            .map(|(name, counted)| format!("{name} {} there, {counted} here", counter(text, name)))
            .collect()
    }
}

/// The value of a counter in a sidecar's counters page; 0 where it is absent or no number.
fn counter(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
}
