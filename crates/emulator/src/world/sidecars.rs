//! The processes of the sidecars: starts, restarts and kills, and the applications beside them.

use super::World;
use crate::fabric::Fabric;
use crate::http::{Answer, Wire};
use crate::ledger::Rule;
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

/// A sidecar as its application sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Beside {
    /// Whether the application asks.
    pub(super) asking: bool,
    /// Whether the process is meant to run.
    pub(super) meant: bool,
    /// How often it has ended without being asked to.
    pub(super) kills: u64,
    /// How often it was started.
    pub(super) starts: u64,
}

impl<F: Fabric> World<F> {
    /// Whether a sidecar's application asks.
    pub fn sidecar_up(&self, sidecar: usize) -> bool {
        self.beside.borrow()[sidecar].asking
    }

    /// How often a sidecar has ended without being asked to.
    pub fn kills(&self, sidecar: usize) -> u64 {
        self.beside.borrow()[sidecar].kills
    }

    /// Whether what a sidecar had in hand since it had ended so often is nobody's fault: it was killed.
    pub fn excused(&self, sidecar: usize, kills: u64) -> bool {
        self.kills(sidecar) != kills || !self.sidecar_up(sidecar)
    }

    /// How often a sidecar was started.
    pub fn started(&self, sidecar: usize) -> u64 {
        self.beside.borrow()[sidecar].starts
    }

    pub(super) fn change(&self, sidecar: usize, change: impl FnOnce(&mut Beside)) {
        change(&mut self.beside.borrow_mut()[sidecar]);
    }

    /// A call of the emulator's own to a sidecar.
    pub async fn call(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let asks = async {
            let stream = self.fabric.connect(self.addresses.listen(sidecar)).await.ok()?;
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
                let world = self.clone();
                spawn_local(async move { world.start(sidecar).await })
            })
            .collect();
        for one in starting {
            one.await.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// From here on a sidecar may end without breaking a rule.
    pub(super) fn expect_ends(&self) {
        (0..self.plan.sidecars.len()).for_each(|sidecar| self.change(sidecar, |b| b.meant = false));
    }

    /// Starts a sidecar and waits until it is ready; then its application asks.
    pub(super) async fn start(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.started(sidecar);
        let config = self.config(sidecar, starts);
        self.sidecars.start(sidecar, &config)?;
        self.change(sidecar, |b| (b.meant, b.starts) = (true, starts + 1));
        let began = self.now();
        while self.now() - began < READY {
            if self.call(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                self.change(sidecar, |b| b.asking = b.meant);
                return Ok(());
            }
            if self.sidecars.ended(sidecar) {
                break;
            }
            self.sleep(20.0).await;
        }
        let what = format!("not ready {:.0} ms after its start", self.now() - began);
        self.ledger.borrow_mut().broke(self.now(), Rule::NotReady, Some(sidecar), None, what);
        Ok(())
    }

    /// Kills a sidecar; its application goes with it.
    pub(super) fn kill(&self, sidecar: usize) {
        self.change(sidecar, |b| {
            (b.asking, b.meant) = (false, false);
            b.kills += 1;
        });
        self.sidecars.signal(sidecar, Signal::Kill);
        self.kept.borrow_mut()[sidecar].clear();
    }

    /// Replaces the configuration of the sidecars that run.
    pub(super) fn reload_sidecars(&self) {
        for sidecar in 0..self.plan.sidecars.len() {
            if self.sidecar_up(sidecar) {
                let config = self.config(sidecar, self.started(sidecar));
                self.sidecars.signal(sidecar, Signal::Reload(config));
            }
        }
    }

    /// A planned restart.
    pub(super) async fn restart(self: &Rc<Self>, sidecar: usize) {
        if !self.sidecar_up(sidecar) {
            return;
        }
        self.change(sidecar, |b| b.meant = false);
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(STILL_COME).await;
        self.change(sidecar, |b| b.asking = false);
        self.kept.borrow_mut()[sidecar].clear();
        let longest = self.plan.day.classes.iter().map(|c| c.deadline_ms).fold(3_000.0, f64::max);
        let kill_at = self.now() - STILL_COME + longest + BEFORE_KILL;
        while !self.sidecars.ended(sidecar) && self.now() < kill_at {
            self.sleep(20.0).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.begin_again(sidecar).await;
    }

    pub(super) async fn begin_again(self: &Rc<Self>, sidecar: usize) {
        // Another trouble may have started it already.
        if self.ending.get() || !self.sidecars.ended(sidecar) {
            return;
        }
        if let Err(reason) = self.start(sidecar).await {
            self.ledger.borrow_mut().broke(self.now(), Rule::NotReady, Some(sidecar), None, reason);
        }
    }
}
