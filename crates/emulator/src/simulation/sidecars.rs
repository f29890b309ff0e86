//! The life cycle of the sidecar processes during a simulation.

use super::Simulation;
use crate::accounting::Rule;
use crate::fabric::Fabric;
use crate::http::{Answer, Wire};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// Time limit for a sidecar to become ready.
const READY_TIMEOUT_MS: f64 = 30_000.0;
/// Time after SIGTERM during which clients still send requests.
const TRAFFIC_AFTER_TERM_MS: f64 = 300.0;
/// Time from the longest request deadline after SIGTERM to SIGKILL.
const KILL_MARGIN_MS: f64 = 700.0;
/// Minimum of the longest request deadline used there.
const MIN_GRACE_MS: f64 = 3_000.0;
/// Polling interval while waiting for a process to become ready or to exit.
const POLL_INTERVAL_MS: f64 = 20.0;
/// Timeout of a call to a sidecar's own endpoints.
const CALL_TIMEOUT_S: u64 = 2;

/// A signal to a sidecar's process.
#[derive(Clone, Debug)]
pub enum Signal {
    /// Shut down gracefully.
    Term,
    /// Reload: the configuration was replaced with this one.
    Reload(Value),
    /// Exit immediately.
    Kill,
}

/// Runs the sidecar processes; `number` counts sidecars from 0.
pub trait Sidecars {
    /// Starts a process with a configuration; the error tells why it could not be started.
    fn start(&self, number: usize, config: &Value) -> Result<(), String>;
    /// Sends a signal to a process.
    fn signal(&self, number: usize, signal: Signal);
    /// Whether a process has exited.
    fn ended(&self, number: usize) -> bool;
    /// The number of open descriptors of a process and its memory (MB), each if known.
    fn resource_use(&self, number: usize) -> (Option<usize>, Option<f64>);
}

impl<F: Fabric> Simulation<F> {
    /// Sends a GET to one of a sidecar's own endpoints; `None` if no response came within 2 s.
    pub async fn call(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let exchange = async {
            let stream = self.environment.connect(sidecar).await.ok()?;
            let mut wire = Wire::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            wire.read_answer().await.ok()
        };
        tokio::time::timeout(Duration::from_secs(CALL_TIMEOUT_S), exchange).await.ok().flatten()
    }

    /// Starts all sidecars concurrently and waits until each is ready; returns the first error of
    /// [`Sidecars::start`].
    pub(super) async fn start_all(self: &Rc<Self>) -> Result<(), String> {
        let starting: Vec<JoinHandle<Result<(), String>>> = (0..self.schedule.sidecars.len())
            .map(|sidecar| {
                let simulation = self.clone();
                spawn_local(async move { simulation.start(sidecar).await })
            })
            .collect();
        for task in starting {
            task.await.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// From now on the exit of a sidecar does not count as a crash.
    pub(super) fn expect_exits(&self) {
        (0..self.schedule.sidecars.len()).for_each(|sidecar| self.applications.expect_exit(sidecar));
    }

    /// Starts a sidecar and waits until it is ready; its application then sends requests. Returns the error of
    /// [`Sidecars::start`]; a sidecar that does not become ready in time is a violation.
    pub(super) async fn start(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.applications.start_count(sidecar);
        let config = self.config(sidecar, starts);
        self.sidecars.start(sidecar, &config)?;
        self.applications.record_start(sidecar);
        let began = self.now();
        while self.now() - began < READY_TIMEOUT_MS {
            if self.call(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                self.applications.record_ready(sidecar);
                return Ok(());
            }
            if self.sidecars.ended(sidecar) {
                break;
            }
            self.sleep(POLL_INTERVAL_MS).await;
        }
        let what = format!("not ready {:.0} ms after its start", self.now() - began);
        self.environment.record_violation(Rule::NotReady, sidecar, None, what);
        Ok(())
    }

    /// Kills a sidecar and its application.
    pub(super) fn kill(&self, sidecar: usize) {
        self.applications.record_kill(sidecar);
        self.sidecars.signal(sidecar, Signal::Kill);
        self.clients.close_idle(sidecar);
    }

    /// Reloads the configuration of all running sidecars.
    pub(super) fn reload_sidecars(&self) {
        for sidecar in 0..self.schedule.sidecars.len() {
            if self.applications.is_sending(sidecar) {
                let config = self.config(sidecar, self.applications.start_count(sidecar));
                self.sidecars.signal(sidecar, Signal::Reload(config));
            }
        }
    }

    /// Restarts a sidecar gracefully: SIGTERM, then SIGKILL after the longest deadline.
    pub(super) async fn restart(self: &Rc<Self>, sidecar: usize) {
        if !self.applications.is_sending(sidecar) {
            return;
        }
        self.applications.expect_exit(sidecar);
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(TRAFFIC_AFTER_TERM_MS).await;
        self.applications.stop_sending(sidecar);
        self.clients.close_idle(sidecar);
        let longest =
            self.schedule.scenario.classes.iter().map(|c| c.deadline_ms).fold(MIN_GRACE_MS, f64::max);
        let kill_at = self.now() - TRAFFIC_AFTER_TERM_MS + longest + KILL_MARGIN_MS;
        while !self.sidecars.ended(sidecar) && self.now() < kill_at {
            self.sleep(POLL_INTERVAL_MS).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.restart_exited(sidecar).await;
    }

    /// Starts a sidecar whose process has exited, unless the simulation is ending.
    pub(super) async fn restart_exited(self: &Rc<Self>, sidecar: usize) {
        // Another fault may have started it already.
        if self.ending.get() || !self.sidecars.ended(sidecar) {
            return;
        }
        if let Err(reason) = self.start(sidecar).await {
            self.environment.record_violation(Rule::NotReady, sidecar, None, reason);
        }
    }
}
