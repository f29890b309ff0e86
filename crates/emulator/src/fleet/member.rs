//! A server of the fleet: its model, its reachability and the requests waiting for completion.

use crate::schedule::hashed;
use crate::server::{Completion, Job, Phase, Rejection, Server};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch, Notify};

/// Key of the draws of the noise of load reports. Changing it changes the results of every seed.
const DRAW_REPORT_NOISE: u64 = 11;

/// Whether a server can be reached over the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Reachable; the number identifies the start of its process.
    Up(u64),
    /// Down: connections are reset and new ones refused.
    Down,
    /// Partitioned: connections are silent and connects hang.
    Cut,
}

/// A server of the fleet.
pub struct Member {
    /// The number of the server in [`super::Members`].
    pub number: usize,
    /// The index of its address in [`crate::addresses::Addresses`]; a replacement may take it over.
    pub address_index: usize,
    /// The model of the server.
    pub model: RefCell<Server>,
    /// The reachability of the server.
    pub reachability: watch::Sender<Reachability>,
    /// Notified when the model was changed, as its next event may have moved.
    pub(super) changed: Notify,
    /// Receivers of completions by job id.
    completions: RefCell<BTreeMap<u64, oneshot::Sender<Completion>>>,
    job_count: Cell<u64>,
}

impl Member {
    /// Creates a reachable member from its model.
    pub fn new(number: usize, address_index: usize, model: Server) -> Rc<Member> {
        Rc::new(Member {
            number,
            address_index,
            model: RefCell::new(model),
            reachability: watch::channel(Reachability::Up(0)).0,
            changed: Notify::new(),
            completions: RefCell::default(),
            job_count: Cell::new(0),
        })
    }

    /// Advances the model to `now` (ms) and notifies the receivers of completed jobs.
    pub fn advance(&self, now: f64) {
        let mut completed = Vec::new();
        self.model.borrow_mut().advance(now, &mut completed);
        for completion in completed {
            if let Some(receiver) = self.completions.borrow_mut().remove(&completion.id) {
                // The receiver may have been dropped; the work was done nevertheless.
                let _ = receiver.send(completion);
            }
        }
    }

    /// The load report in the format of probe responses and response headers.
    pub(super) fn report(&self, now: f64, seed: u64) -> String {
        let draw = hashed(seed, &[DRAW_REPORT_NOISE, self.number as u64, now as u64]);
        let report = self.update(now, |m| m.report(draw));
        format!("TEXT inflight={}, queue={}, util={:.2}", report.inflight, report.queue, report.util)
    }

    /// Advances the model to `now` (ms) and applies a change to it.
    pub fn update<T>(&self, now: f64, change: impl FnOnce(&mut Server) -> T) -> T {
        self.advance(now);
        let result = change(&mut self.model.borrow_mut());
        self.changed.notify_one();
        result
    }

    /// Offers a job, built from its id, to the model. Returns the id and a receiver of the completion, which
    /// fails if the process stops first; the error tells why the model rejected the job.
    pub(super) fn offer(
        &self,
        now: f64,
        job: impl FnOnce(u64) -> Job,
    ) -> Result<(u64, oneshot::Receiver<Completion>), Rejection> {
        self.job_count.set(self.job_count.get() + 1);
        let id = self.job_count.get();
        self.update(now, |m| m.offer(job(id)))?;
        let (sender, receiver) = oneshot::channel();
        self.completions.borrow_mut().insert(id, sender);
        Ok((id, receiver))
    }

    /// Stops the process immediately: its jobs are lost and its connections reset.
    pub fn stop(&self, now: f64) {
        self.update(now, |m| m.stop());
        self.completions.borrow_mut().clear();
        self.reachability.send_replace(Reachability::Down);
    }

    /// Starts a new, cold process, identified by `start`.
    pub fn start(&self, now: f64, start: u64) {
        self.update(now, |m| m.start(now));
        self.reachability.send_replace(Reachability::Up(start));
    }

    /// Whether the server accepts work and is reachable.
    pub fn in_service(&self) -> bool {
        matches!(*self.reachability.borrow(), Reachability::Up(_)) && self.model.borrow().phase == Phase::Up
    }
}
