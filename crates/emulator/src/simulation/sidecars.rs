//! The processes of the sidecars: starts, restarts and kills, and the applications beside them.

use super::Simulation;
use crate::accounting::Rule;
use crate::fabric::Fabric;
use crate::http::{Answer, Wire};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};

/// How long a sidecar may take to become ready (ms).
const READY: f64 = 30_000.0;
/// How long after SIGTERM clients still come (ms).
const STILL_COME: f64 = 300.0;
/// What a kill waits beyond the longest deadline (ms).
const BEFORE_KILL: f64 = 700.0;

/// What a sidecar's process is told.
#[derive(Clone, Debug)]
pub enum Signal {
    /// To end in order.
    Term,
    /// That its configuration was replaced by this.
    Reload(Value),
    /// Nothing: it ends at once.
    Kill,
}

/// Who runs the sidecars.
pub trait Sidecars {
    /// Starts one from nothing.
    fn start(&self, number: usize, config: &Value) -> Result<(), String>;
    /// Tells one.
    fn signal(&self, number: usize, signal: Signal);
    /// Whether it has ended.
    fn ended(&self, number: usize) -> bool;
    /// Descriptors that it holds, and its memory (MB), where that can be told.
    fn holds(&self, number: usize) -> (Option<usize>, Option<f64>);
}

impl<F: Fabric> Simulation<F> {
    /// A call of the emulator's own to a sidecar.
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

    /// Starts all sidecars at once and waits until each is ready. The error says why one could not start.
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

    /// From here on a sidecar may end without breaking a rule.
    pub(super) fn expect_ends(&self) {
        (0..self.plan.sidecars.len()).for_each(|sidecar| self.applications.may_end(sidecar));
    }

    /// Starts a sidecar and waits until it is ready; then its application asks.
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

    /// Kills a sidecar; its application goes with it.
    pub(super) fn kill(&self, sidecar: usize) {
        self.applications.killed(sidecar);
        self.sidecars.signal(sidecar, Signal::Kill);
        self.clients.close(sidecar);
    }

    /// Replaces the configuration of the sidecars that run.
    pub(super) fn reload_sidecars(&self) {
        for sidecar in 0..self.plan.sidecars.len() {
            if self.applications.asks(sidecar) {
                let config = self.config(sidecar, self.applications.starts(sidecar));
                self.sidecars.signal(sidecar, Signal::Reload(config));
            }
        }
    }

    /// A planned restart.
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
