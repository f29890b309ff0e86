//! A server with what others need of it: its model, its reachability, and who waits for its work.

use crate::schedule::hashed;
use crate::server::{Done, Job, Phase, Server, TurnedAway};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{oneshot, watch, Notify};

/// What the network makes of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It can be reached; the number counts its starts.
    Up(u64),
    /// It is gone: connections are reset, new ones refused.
    Down,
    /// It is cut off: connections are silent, new ones never come up.
    Cut,
}

/// A server with what others need of it.
pub struct Member {
    /// Its number.
    pub number: usize,
    /// The number of its address; one that replaces another may have that one's.
    pub place: usize,
    /// The model.
    pub model: RefCell<Server>,
    /// What the network makes of it.
    pub reachability: watch::Sender<Reachability>,
    pub(super) wake: Notify,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Done>>>,
    jobs: Cell<u64>,
}

impl Member {
    /// A member from its model.
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

    /// Lets the model work until now, and tells who waits for what has ended.
    pub fn touch(&self, now: f64) {
        let mut done = Vec::new();
        self.model.borrow_mut().advance(now, &mut done);
        for one in done {
            if let Some(waits) = self.waiting.borrow_mut().remove(&one.id) {
                // Who waited may have gone; the work was done all the same.
                let _ = waits.send(one);
            }
        }
    }

    /// What it says of its load, as probes and answers bring it.
    pub(super) fn report(&self, now: f64, seed: u64) -> String {
        let draw = hashed(seed, &[11, self.number as u64, now as u64]);
        let report = self.with(now, |m| m.report(draw));
        format!("TEXT inflight={}, queue={}, util={:.2}", report.inflight, report.queue, report.util)
    }

    /// Touches the model and changes it.
    pub fn with<T>(&self, now: f64, change: impl FnOnce(&mut Server) -> T) -> T {
        self.touch(now);
        let result = change(&mut self.model.borrow_mut());
        self.wake.notify_one();
        result
    }

    /// Gives it a job, which the function makes of its number; what is returned waits for its end.
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

    /// Its process ends at once: what it held is lost, its connections are reset.
    pub fn die(&self, now: f64) {
        self.with(now, |m| m.stop());
        self.waiting.borrow_mut().clear();
        self.reachability.send_replace(Reachability::Down);
    }

    /// Its process starts anew, cold.
    pub fn start(&self, now: f64, start: u64) {
        self.with(now, |m| m.start(now));
        self.reachability.send_replace(Reachability::Up(start));
    }

    /// Whether it takes work and can be reached.
    pub fn in_service(&self) -> bool {
        matches!(*self.reachability.borrow(), Reachability::Up(_)) && self.model.borrow().phase == Phase::Up
    }
}
