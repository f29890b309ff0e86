//! The life cycle of the sidecars' processes during a simulation.

use super::Simulation;
use crate::accounting::Rule;
use crate::fabric::Fabric;
use crate::http::{Answer, Wire};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// Time limit for a sidecar to become ready (ms).
const READY: f64 = 30_000.0;
/// Time after SIGTERM during which clients still send requests (ms).
const STILL_COME: f64 = 300.0;
/// Time between the longest request deadline after SIGTERM and SIGKILL (ms).
const BEFORE_KILL: f64 = 700.0;

/// A signal to a sidecar's process.
#[derive(Clone, Debug)]
pub enum Signal {
    /// Shut down gracefully.
    Term,
    /// Reload: the configuration was replaced by this one.
    Reload(Value),
    /// Exit at once.
    Kill,
}

/// The runner of the sidecars' processes; `number` counts sidecars from 0.
pub trait Sidecars {
    /// Starts a process with a configuration; the error says why it could not be started.
    fn start(&self, number: usize, config: &Value) -> Result<(), String>;
    /// Sends a signal to a process.
    fn signal(&self, number: usize, signal: Signal);
    /// Whether a process has exited.
    fn ended(&self, number: usize) -> bool;
    /// The open descriptors of a process and its memory (MB), as far as they are known.
    fn holds(&self, number: usize) -> (Option<usize>, Option<f64>);
}

impl<F: Fabric> Simulation<F> {
    /// Sends a GET to a sidecar's own endpoints; `None` where no response came within 2 s.
    pub async fn call(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let asks = async {
            let stream = self.environment.connect(sidecar).await.ok()?;
            let mut wire = Wire::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            wire.answer().await.ok()
        };
        tokio::time::timeout(Duration::from_secs(2), asks).await.ok().flatten()
    }

    /// Starts all sidecars concurrently and waits until each is ready. The error is the runner's.
    pub(super) async fn start_all(self: &Rc<Self>) -> Result<(), String> {
        let starting: Vec<JoinHandle<Result<(), String>>> = (0..self.plan.sidecars.len())
            .map(|sidecar| {
                let simulation = self.clone();
                spawn_local(async move { simulation.start(sidecar).await })
            })
            .collect();
        for one in starting {
            one.await.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// From here on the exit of a sidecar is no crash.
    pub(super) fn expect_ends(&self) {
        (0..self.plan.sidecars.len()).for_each(|sidecar| self.applications.may_end(sidecar));
    }

    /// Starts a sidecar and waits until it is ready, which lets its application send requests. The error is
    /// the runner's; a sidecar that does not become ready in time is a violation.
    pub(super) async fn start(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.applications.starts(sidecar);
        let config = self.config(sidecar, starts);
        self.sidecars.start(sidecar, &config)?;
        self.applications.started(sidecar);
        let began = self.now();
        while self.now() - began < READY {
            if self.call(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                self.applications.ready(sidecar);
                return Ok(());
            }
            if self.sidecars.ended(sidecar) {
                break;
            }
            self.sleep(20.0).await;
        }
        let what = format!("not ready {:.0} ms after its start", self.now() - began);
        self.environment.record_violation(Rule::NotReady, sidecar, None, what);
        Ok(())
    }

    /// Kills a sidecar and its application.
    pub(super) fn kill(&self, sidecar: usize) {
        self.applications.killed(sidecar);
        self.sidecars.signal(sidecar, Signal::Kill);
        self.clients.close(sidecar);
    }

    /// Reloads the configuration of all running sidecars.
    pub(super) fn reload_sidecars(&self) {
        for sidecar in 0..self.plan.sidecars.len() {
            if self.applications.asks(sidecar) {
                let config = self.config(sidecar, self.applications.starts(sidecar));
                self.sidecars.signal(sidecar, Signal::Reload(config));
            }
        }
    }

    /// Restarts a sidecar gracefully, with SIGTERM and, after the longest deadline, SIGKILL.
    pub(super) async fn restart(self: &Rc<Self>, sidecar: usize) {
        if !self.applications.asks(sidecar) {
            return;
        }
        self.applications.may_end(sidecar);
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(STILL_COME).await;
        self.applications.stop(sidecar);
        self.clients.close(sidecar);
        let longest = self.plan.day.classes.iter().map(|c| c.deadline_ms).fold(3_000.0, f64::max);
        let kill_at = self.now() - STILL_COME + longest + BEFORE_KILL;
        while !self.sidecars.ended(sidecar) && self.now() < kill_at {
            self.sleep(20.0).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.begin_again(sidecar).await;
    }

    pub(super) async fn begin_again(self: &Rc<Self>, sidecar: usize) {
        // Another fault may have started it already.
        if self.ending.get() || !self.sidecars.ended(sidecar) {
            return;
        }
        if let Err(reason) = self.start(sidecar).await {
            self.environment.record_violation(Rule::NotReady, sidecar, None, reason);
        }
    }
}
