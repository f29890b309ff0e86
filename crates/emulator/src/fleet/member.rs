//! A server of the fleet: its model, its reachability, and the requests that wait for its work.

use crate::schedule::hashed;
use crate::server::{Done, Job, Phase, Server, TurnedAway};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch, Notify};

/// Whether a server's process can be reached over the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Reachable; the number identifies the start of its process.
    Up(u64),
    /// Down: connections are reset and new ones refused.
    Down,
    /// Partitioned: connections are silent and new ones hang.
    Cut,
}

/// A server of the fleet.
pub struct Member {
    /// Its number.
    pub number: usize,
    /// The number of its address, which a replacement may take over.
    pub place: usize,
    /// The model.
    pub model: RefCell<Server>,
    /// Its reachability.
    pub reachability: watch::Sender<Reachability>,
    pub(super) wake: Notify,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Done>>>,
    jobs: Cell<u64>,
}

impl Member {
    /// Creates a reachable member from its model.
    pub fn new(number: usize, place: usize, model: Server) -> Rc<Member> {
        Rc::new(Member {
            number,
            place,
            model: RefCell::new(model),
            reachability: watch::channel(Reachability::Up(0)).0,
            wake: Notify::new(),
            waiting: RefCell::default(),
            jobs: Cell::new(0),
        })
    }

    /// Advances the model to `now` (ms) and completes the jobs that have ended.
    pub fn touch(&self, now: f64) {
        let mut done = Vec::new();
        self.model.borrow_mut().advance(now, &mut done);
        for one in done {
            if let Some(waits) = self.waiting.borrow_mut().remove(&one.id) {
                // The receiver may be gone; the work was done all the same.
                let _ = waits.send(one);
            }
        }
    }

    /// Its load report in the form of probes and response headers.
    pub(super) fn report(&self, now: f64, seed: u64) -> String {
        let draw = hashed(seed, &[11, self.number as u64, now as u64]);
        let report = self.with(now, |m| m.report(draw));
        format!("TEXT inflight={}, queue={}, util={:.2}", report.inflight, report.queue, report.util)
    }

    /// Advances the model to `now` (ms) and changes it.
    pub fn with<T>(&self, now: f64, change: impl FnOnce(&mut Server) -> T) -> T {
        self.touch(now);
        let result = change(&mut self.model.borrow_mut());
        self.wake.notify_one();
        result
    }

    /// Offers a job, built from its number, to the model; the receiver gets its completion and fails where
    /// the process ends before. The error says why the model did not accept it.
    pub(super) fn begin(
        &self,
        now: f64,
        job: impl FnOnce(u64) -> Job,
    ) -> Result<(u64, oneshot::Receiver<Done>), TurnedAway> {
        self.jobs.set(self.jobs.get() + 1);
        let id = self.jobs.get();
        self.with(now, |m| m.offer(job(id)))?;
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        Ok((id, receiver))
    }

    /// Stops the process at once: its jobs are lost and its connections reset.
    pub fn die(&self, now: f64) {
        self.with(now, |m| m.stop());
        self.waiting.borrow_mut().clear();
        self.reachability.send_replace(Reachability::Down);
    }

    /// Starts a new, cold process; `start` identifies it.
    pub fn start(&self, now: f64, start: u64) {
        self.with(now, |m| m.start(now));
        self.reachability.send_replace(Reachability::Up(start));
    }

    /// Whether it accepts work and can be reached.
    pub fn in_service(&self) -> bool {
        matches!(*self.reachability.borrow(), Reachability::Up(_)) && self.model.borrow().phase == Phase::Up
    }
}
