//! Observers of a simulation: checks of the sidecar processes and counters, and samples of the fleet.

use super::Simulation;
use crate::accounting::{Rule, TryEnd};
use crate::fabric::Fabric;
use serde::Serialize;
use std::rc::Rc;

/// Interval of the checks of the sidecar processes.
const PROCESS_CHECK_INTERVAL_MS: f64 = 100.0;

/// The state of the fleet in one second. The field names are keys of the series.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// The second of the scenario, counted from 0.
    pub second: usize,
    /// Number of requests held by each server; -1 if it is not in service.
    pub held: Vec<f64>,
    /// Number of servers degraded by long queues.
    pub slow: usize,
    /// Capacity in service as a share of the capacity of the warm fleet.
    pub capacity: f64,
    /// Idle share of the cores of the servers in service.
    pub idle: f64,
}

impl<F: Fabric> Simulation<F> {
    /// Checks the processes of all sidecars periodically, until aborted.
    pub(super) async fn check_processes(self: Rc<Self>) {
        loop {
            self.sleep(PROCESS_CHECK_INTERVAL_MS).await;
            for sidecar in 0..self.schedule.sidecars.len() {
                self.check_process(sidecar);
            }
        }
    }

    /// Checks that a process is running and that its descriptors and memory are within their limits.
    fn check_process(&self, sidecar: usize) {
        let limits = &self.schedule.scenario.limits;
        let (descriptors, memory) = self.sidecars.resource_use(sidecar);
        if let Some(held) = descriptors {
            self.environment.accounting.borrow_mut().record_descriptors(
                self.now(),
                sidecar,
                held,
                limits.sockets,
            );
        }
        if let Some(mb) = memory.filter(|mb| *mb > limits.memory_mb) {
            self.environment.record_violation(
                Rule::Memory,
                sidecar,
                None,
                format!("{mb:.1} of {} MB", limits.memory_mb),
            );
        }
        let should_run = self.applications.should_run(sidecar);
        if should_run && self.sidecars.ended(sidecar) {
            self.environment.record_violation(
                Rule::Crash,
                sidecar,
                None,
                "process exited without being told to".into(),
            );
            self.kill(sidecar);
        }
    }

    /// Takes a sample in the middle of each second of the scenario, until aborted.
    pub(super) async fn take_samples(self: Rc<Self>) {
        for second in 0.. {
            self.sleep_until(self.simulation_time(second as f64 * 1e3 + 500.0)).await;
            let sample = self.fleet_sample(second);
            self.samples.borrow_mut().push(sample);
        }
    }

    fn fleet_sample(&self, second: usize) -> Sample {
        let warm_capacity = self.schedule.capacity();
        let mut sample = Sample { second, ..Sample::default() };
        let (mut cores, mut idle) = (0.0, 0.0);
        for member in self.members() {
            member.advance(self.now());
            let up = member.in_service();
            let model = member.model.borrow();
            let held = model.held() as f64;
            sample.held.push(if up { held } else { -1.0 });
            if up {
                sample.slow += usize::from(model.is_degraded());
                sample.capacity += model.capacity() / warm_capacity;
                cores += model.parameters.cores;
                idle += (model.parameters.cores - held).max(0.0);
            }
        }
        sample.idle = if cores > 0.0 { idle / cores } else { 0.0 };
        sample
    }

    /// Compares the counters of the sidecars with the request accounting. Sidecars that were restarted are
    /// skipped, as their counters started at 0 again.
    pub(super) async fn compare_counters(&self) {
        for sidecar in 0..self.schedule.sidecars.len() {
            if self.applications.start_count(sidecar) != 1 || !self.applications.is_sending(sidecar) {
                continue;
            }
            let Some(answer) = self.call(sidecar, "/health/counters").await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            for difference in self.counter_differences(sidecar, &text) {
                self.environment.record_violation(Rule::Books, sidecar, None, difference);
            }
        }
    }

    /// Describes each difference between a sidecar's counters and the request accounting.
    fn counter_differences(&self, sidecar: usize, text: &str) -> Vec<String> {
        let (mut written, mut served, mut refused) = (0, 0, 0);
        let accounting = self.environment.accounting.borrow();
        let of_sidecar = accounting
            .tries
            .iter()
            .filter(|t| self.schedule.arrivals[t.flow].sidecar == sidecar && t.written);
        for record in of_sidecar {
            written += 1;
            served += u64::from(record.end == TryEnd::Served);
            refused += u64::from(matches!(record.end, TryEnd::Refused(_)));
        }
        let pairs = [("flows_taken", written), ("flows_served", served), ("flows_refused", refused)];
        let differ = pairs.into_iter().filter(|(name, counted)| counter(text, name) != *counted);
        differ
            .map(|(name, counted)| {
                format!("{name}: sidecar counted {}, emulator {counted}", counter(text, name))
            })
            .collect()
    }
}

/// The value of a counter in a sidecar's counters page; 0 if it is absent or not a number.
fn counter(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|v| v.trim().parse().ok()).unwrap_or(0)
}
