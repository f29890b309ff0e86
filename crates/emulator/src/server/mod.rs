//! The model of one config server, without I/O.
//!
//! Running requests share the cores evenly (processor sharing); the others wait in a FIFO queue. Everything
//! that changes the speed (warm-up, thrashing, a full connection table, degradation by a long queue, pauses)
//! changes it for all running requests alike, so that attained service is one number for the server, and a
//! request ends when that number has grown by its work. Times are in ms, work in ms of a standard core.

mod crowding;
mod job;
mod pace;
mod report;

pub use job::{Done, Job, TurnedAway};
pub use report::Report;

use crate::scenario::Cancel;
use crate::schedule::{hashed, ServerPlan};
use crowding::Crowding;
use std::collections::{BTreeMap, VecDeque};

/// Longest step while the speed changes by itself (ms).
const LOOK: f64 = 20.0;

/// The life-cycle phase of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts work.
    Up,
    /// Draining: it finishes the work that it holds.
    Draining,
    /// Down.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    id: u64,
    /// Attained service at which it ends; while it waits, its work.
    end: f64,
    error: bool,
}

/// The state of a server.
#[derive(Debug)]
pub struct Server {
    /// Its parameters.
    pub plan: ServerPlan,
    /// Its phase.
    pub phase: Phase,
    seed: u64,
    now: f64,
    /// When its process started, and the requests served since; `None`: long ago.
    started: Option<f64>,
    served: f64,
    /// Attained service of each request in work.
    attained: f64,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    /// Work that belongs to no request (handshakes, probes), still to be done.
    chores: f64,
    crowding: Crowding,
    paused_until: f64,
    next_pause: f64,
    /// The factor by which a fault slows it down.
    pub slowed: f64,
    /// Open connections.
    pub conns: usize,
    /// Open probes.
    pub probing: usize,
    /// Keys met, with the time.
    keys: BTreeMap<u64, f64>,
    /// Work that it was sent while cold.
    sent: VecDeque<(f64, f64)>,
    /// Whether it has failed by overload while cold.
    pub fallen: bool,
    /// The figures as they were at the last two refreshes.
    figures: [(f64, Report); 2],
    /// How often it was degraded by a long queue.
    pub chokes: u64,
    mean_work: f64,
}

impl Server {
    /// Creates a warm server that has been up for long.
    pub fn new(plan: ServerPlan, seed: u64, mean_work: f64) -> Server {
        let first = plan.pause.interval * hashed(seed, &[1]);
        Server {
            plan,
            phase: Phase::Up,
            seed,
            now: 0.0,
            started: None,
            served: 0.0,
            attained: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            chores: 0.0,
            crowding: Crowding::Calm,
            paused_until: 0.0,
            next_pause: first.max(1.0),
            slowed: 1.0,
            conns: 0,
            probing: 0,
            keys: BTreeMap::new(),
            sent: VecDeque::new(),
            fallen: false,
            figures: [(0.0, Report::default()); 2],
            chokes: 0,
            mean_work,
        }
    }

    /// Starts a new process, cold and empty.
    pub fn start(&mut self, now: f64) {
        let plan = self.plan.clone();
        let (seed, slowed, chokes) = (self.seed, self.slowed, self.chokes);
        *self = Server { now, started: Some(now), slowed, chokes, ..Server::new(plan, seed, self.mean_work) };
        self.next_pause = now + self.plan.pause.interval.max(1.0);
        self.figures = [(now, Report::default()); 2];
    }

    /// When its process last started; `None` for long ago.
    pub fn started(&self) -> Option<f64> {
        self.started
    }

    /// Requests held.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether it is paused.
    pub fn paused(&self) -> bool {
        self.now < self.paused_until
    }

    /// The time of its next event, if no work arrives before; infinite where it is down.
    pub fn next(&self) -> f64 {
        if self.phase == Phase::Down {
            return f64::INFINITY;
        }
        if self.now < self.paused_until {
            return self.paused_until;
        }
        let mut next = self.next_pause;
        let pace = self.pace();
        if let (Some(first), true) = (self.first_end(), pace > 0.0) {
            next = next.min(self.now + ((first - self.attained) / pace).max(0.0));
        }
        let changing = self.started.is_some() && self.warmth() < 1.0;
        if (changing && !self.running.is_empty()) || self.crowding != Crowding::Calm || self.chores > 0.0 {
            next = next.min(self.now + LOOK);
        }
        next
    }

    fn first_end(&self) -> Option<f64> {
        self.running.iter().map(|w| w.end).min_by(f64::total_cmp)
    }

    /// Advances the model to `now` and appends the jobs that completed.
    pub fn advance(&mut self, now: f64, done: &mut Vec<Done>) {
        while self.now < now {
            let step = self.next().min(now).max(self.now);
            self.work_until(step, done);
            if self.now >= self.next_pause && self.phase != Phase::Down {
                // Short pauses, as of a garbage collector; drawn by their number in time.
                let draw = hashed(self.seed, &[2, self.now as u64]);
                self.paused_until = self.paused_until.max(self.now + self.plan.pause.length * (0.5 + draw));
                self.next_pause = self.paused_until + self.plan.pause.interval.max(1.0) * (0.5 + draw);
            }
            if step >= now {
                break;
            }
        }
        self.now = self.now.max(now);
        self.crowd();
    }

    fn work_until(&mut self, until: f64, done: &mut Vec<Done>) {
        let passed = until - self.now;
        let pace = self.pace();
        if self.now >= self.paused_until {
            self.chores = (self.chores - passed * self.capacity() / self.plan.cores).max(0.0);
        }
        self.refresh(until);
        self.attained += pace * passed;
        self.now = until;
        // A hair of slack, as sums of small steps do not meet an end exactly.
        let attained = self.attained + 1e-6;
        let mut ended: Vec<Work> = self.running.iter().filter(|w| w.end <= attained).copied().collect();
        if !ended.is_empty() {
            self.running.retain(|w| w.end > attained);
            ended.sort_by(|a, b| a.end.total_cmp(&b.end).then(a.id.cmp(&b.id)));
            self.served += ended.len() as f64;
            done.extend(ended.into_iter().map(|w| Done { id: w.id, at: until, error: w.error }));
            self.fill();
        }
        self.crowd();
    }

    fn fill(&mut self) {
        while self.running.len() < self.plan.slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.running.push(Work { end: self.attained + next.end, ..next });
        }
    }

    /// Accepts a job; the error says why it is rejected.
    pub fn offer(&mut self, job: Job) -> Result<(), TurnedAway> {
        match self.phase {
            Phase::Down => return Err(TurnedAway::Down),
            Phase::Draining => return Err(TurnedAway::Draining),
            Phase::Up => {}
        }
        if self.held() >= self.plan.slots + self.plan.queue {
            return Err(TurnedAway::Full);
        }
        let work = Work { id: job.id, end: self.work_of(job), error: job.error };
        self.waiting.push_back(work);
        self.fill();
        self.crowd();
        Ok(())
    }

    /// Work of a job here: less where its key was met lately, which this meeting renews.
    fn work_of(&mut self, job: Job) -> f64 {
        let cache = self.plan.keys;
        let Some(key) = job.key else { return job.work };
        let met = self.keys.insert(key, self.now).is_some_and(|at| self.now - at <= cache.lifetime);
        if self.keys.len() > cache.size.max(1) {
            let oldest = self.keys.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(k, _)| *k);
            oldest.map(|k| self.keys.remove(&k));
        }
        job.work * if met { 1.0 - cache.saving } else { 1.0 }
    }

    /// Cancels a job whose client hung up, as far as this kind of server does; true where it was dropped.
    pub fn hang_up(&mut self, id: u64) -> bool {
        if self.plan.cancel == Cancel::None {
            return false;
        }
        let before = self.held();
        self.waiting.retain(|w| w.id != id);
        if self.plan.cancel == Cancel::All {
            self.running.retain(|w| w.id != id);
            self.fill();
        }
        self.held() < before
    }

    /// Adds work that belongs to no request.
    pub fn chore(&mut self, work: f64) {
        self.chores += work;
    }

    /// Pauses until a time.
    pub fn pause(&mut self, until: f64) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Stops the process; returns the ids of the jobs that are lost.
    pub fn stop(&mut self) -> Vec<u64> {
        self.phase = Phase::Down;
        let held = self.running.drain(..).chain(self.waiting.drain(..)).map(|w| w.id);
        held.collect()
    }
}
