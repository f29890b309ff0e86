//! The model of one config server, without I/O.
//!
//! Running requests share the cores evenly (processor sharing); the others wait in a FIFO queue. Everything
//! that changes the speed (warm-up, thrashing, a full connection table, degradation by a long queue, pauses)
//! affects all running requests equally. Attained service is therefore a single number per server, and a
//! request completes when that number has grown by its work. Times are in ms, work is in ms of a standard core.

mod degradation;
mod job;
mod report;
mod speed;

pub use job::{Completion, Job, Rejection};
pub use report::Report;

use crate::scenario::Cancel;
use crate::schedule::{hashed, ServerParameters};
use degradation::QueueState;
use std::collections::{BTreeMap, VecDeque};

/// Maximum step of the model while the speed changes over time.
const MAX_STEP_MS: f64 = 20.0;
/// Keys of the draws of pauses. Changing one changes the results of every seed.
const DRAW_FIRST_PAUSE: u64 = 1;
const DRAW_PAUSE: u64 = 2;

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

/// A running or queued job.
#[derive(Clone, Copy, Debug)]
struct AcceptedJob {
    id: u64,
    /// While running: the attained service at which the job completes. While queued: its work.
    end: f64,
    error: bool,
}

/// The state of a server.
#[derive(Debug)]
pub struct Server {
    /// The parameters.
    pub parameters: ServerParameters,
    /// The life-cycle phase.
    pub phase: Phase,
    seed: u64,
    now: f64,
    /// When the process started; `None` if it was running before the simulation.
    started: Option<f64>,
    /// Requests served since the start of the process.
    served: f64,
    /// Attained service of a request that runs since the start of the process.
    attained: f64,
    running: Vec<AcceptedJob>,
    waiting: VecDeque<AcceptedJob>,
    /// Remaining work for handshakes and probes.
    background_work: f64,
    queue_state: QueueState,
    paused_until: f64,
    next_pause: f64,
    /// The factor by which a fault slows the server down.
    pub slowdown: f64,
    /// Number of open connections.
    pub connections: usize,
    /// Number of open probes.
    pub open_probes: usize,
    /// Cached keys with the time of their last request.
    key_requested_at: BTreeMap<u64, f64>,
    /// Times and work of the requests received while cold.
    cold_arrivals: VecDeque<(f64, f64)>,
    /// Whether the process has failed by overload while cold.
    pub failed_by_overload: bool,
    /// The figures of the last two refreshes with their times, the older one first.
    reported_figures: [(f64, Report); 2],
    /// Number of degradations by a long queue.
    pub degradations: u64,
    /// Mean work of a request, for the tolerance of the overload check.
    mean_work: f64,
}

impl Server {
    /// Creates a warm server that has been running for a long time.
    pub fn new(parameters: ServerParameters, seed: u64, mean_work: f64) -> Server {
        let first = parameters.pauses.interval * hashed(seed, &[DRAW_FIRST_PAUSE]);
        Server {
            parameters,
            phase: Phase::Up,
            seed,
            now: 0.0,
            started: None,
            served: 0.0,
            attained: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            background_work: 0.0,
            queue_state: QueueState::Normal,
            paused_until: 0.0,
            next_pause: first.max(1.0),
            slowdown: 1.0,
            connections: 0,
            open_probes: 0,
            key_requested_at: BTreeMap::new(),
            cold_arrivals: VecDeque::new(),
            failed_by_overload: false,
            reported_figures: [(0.0, Report::default()); 2],
            degradations: 0,
            mean_work,
        }
    }

    /// Starts a new process, cold and empty.
    pub fn start(&mut self, now: f64) {
        let parameters = self.parameters.clone();
        let (seed, slowdown, degradations) = (self.seed, self.slowdown, self.degradations);
        *self = Server {
            now,
            started: Some(now),
            slowdown,
            degradations,
            ..Server::new(parameters, seed, self.mean_work)
        };
        self.next_pause = now + self.parameters.pauses.interval.max(1.0);
        self.reported_figures = [(now, Report::default()); 2];
    }

    /// When the process last started; `None` if it was running before the simulation.
    pub fn started_at(&self) -> Option<f64> {
        self.started
    }

    /// Number of requests running or queued.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Number of requests queued.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the server is paused.
    pub fn is_paused(&self) -> bool {
        self.now < self.paused_until
    }

    /// The time of the next event if no work arrives before it; infinite if the server is down.
    pub fn next_event(&self) -> f64 {
        if self.phase == Phase::Down {
            return f64::INFINITY;
        }
        if self.now < self.paused_until {
            return self.paused_until;
        }
        let mut next = self.next_pause;
        let service_rate = self.service_rate();
        if let (Some(first), true) = (self.first_completion(), service_rate > 0.0) {
            next = next.min(self.now + ((first - self.attained) / service_rate).max(0.0));
        }
        let changing = self.started.is_some() && self.warm_share() < 1.0;
        if (changing && !self.running.is_empty())
            || self.queue_state != QueueState::Normal
            || self.background_work > 0.0
        {
            next = next.min(self.now + MAX_STEP_MS);
        }
        next
    }

    fn first_completion(&self) -> Option<f64> {
        self.running.iter().map(|w| w.end).min_by(f64::total_cmp)
    }

    /// Advances the model to `now` and appends the jobs completed meanwhile to `done`.
    pub fn advance(&mut self, now: f64, done: &mut Vec<Completion>) {
        while self.now < now {
            let step = self.next_event().min(now).max(self.now);
            self.step_to(step, done);
            if self.now >= self.next_pause && self.phase != Phase::Down {
                // Short pauses, like those of a garbage collector; the draw depends on the time of the pause.
                let draw = hashed(self.seed, &[DRAW_PAUSE, self.now as u64]);
                self.paused_until =
                    self.paused_until.max(self.now + self.parameters.pauses.length * (0.5 + draw));
                self.next_pause = self.paused_until + self.parameters.pauses.interval.max(1.0) * (0.5 + draw);
            }
            if step >= now {
                break;
            }
        }
        self.now = self.now.max(now);
        self.update_queue_state();
    }

    /// Advances the running requests to `until` at the current speed, which must not change before.
    fn step_to(&mut self, until: f64, done: &mut Vec<Completion>) {
        let passed = until - self.now;
        let service_rate = self.service_rate();
        if self.now >= self.paused_until {
            self.background_work =
                (self.background_work - passed * self.capacity() / self.parameters.cores).max(0.0);
        }
        self.refresh_report(until);
        self.attained += service_rate * passed;
        self.now = until;
        // Tolerance for rounding, as sums of small steps do not reach the end exactly.
        let attained = self.attained + 1e-6;
        let mut ended: Vec<AcceptedJob> =
            self.running.iter().filter(|w| w.end <= attained).copied().collect();
        if !ended.is_empty() {
            self.running.retain(|w| w.end > attained);
            ended.sort_by(|a, b| a.end.total_cmp(&b.end).then(a.id.cmp(&b.id)));
            self.served += ended.len() as f64;
            done.extend(ended.into_iter().map(|w| Completion { id: w.id, at: until, error: w.error }));
            self.start_waiting();
        }
        self.update_queue_state();
    }

    /// Starts queued requests while there are free slots.
    fn start_waiting(&mut self) {
        while self.running.len() < self.parameters.slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.running.push(AcceptedJob { end: self.attained + next.end, ..next });
        }
    }

    /// Accepts a job; the error tells why it is rejected.
    pub fn offer(&mut self, job: Job) -> Result<(), Rejection> {
        match self.phase {
            Phase::Down => return Err(Rejection::Down),
            Phase::Draining => return Err(Rejection::Draining),
            Phase::Up => {}
        }
        if self.held() >= self.parameters.slots + self.parameters.queue {
            return Err(Rejection::Full);
        }
        let work = AcceptedJob { id: job.id, end: self.effective_work(job), error: job.error };
        self.waiting.push_back(work);
        self.start_waiting();
        self.update_queue_state();
        Ok(())
    }

    /// The work of a job after the saving by a cached key; caches the key or renews it.
    fn effective_work(&mut self, job: Job) -> f64 {
        let cache = self.parameters.key_cache;
        let Some(key) = job.key else { return job.work };
        let cached =
            self.key_requested_at.insert(key, self.now).is_some_and(|at| self.now - at <= cache.lifetime);
        if self.key_requested_at.len() > cache.size.max(1) {
            let oldest = self.key_requested_at.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(k, _)| *k);
            oldest.map(|k| self.key_requested_at.remove(&k));
        }
        job.work * if cached { 1.0 - cache.saving } else { 1.0 }
    }

    /// Cancels a job whose sidecar closed the connection, as far as [`ServerParameters::cancel`] says; returns
    /// whether the job was removed.
    pub fn cancel_job(&mut self, id: u64) -> bool {
        if self.parameters.cancel == Cancel::None {
            return false;
        }
        let before = self.held();
        self.waiting.retain(|w| w.id != id);
        if self.parameters.cancel == Cancel::All {
            self.running.retain(|w| w.id != id);
            self.start_waiting();
        }
        self.held() < before
    }

    /// Adds work for a handshake or a probe.
    pub fn add_background_work(&mut self, work: f64) {
        self.background_work += work;
    }

    /// Pauses the server until a time.
    pub fn pause(&mut self, until: f64) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Has the process finish the work that it holds; one that is down stays down.
    pub fn start_drain(&mut self) {
        if self.phase == Phase::Up {
            self.phase = Phase::Draining;
        }
    }

    /// Stops the process; returns the ids of the jobs that are lost.
    pub fn stop(&mut self) -> Vec<u64> {
        self.phase = Phase::Down;
        let held = self.running.drain(..).chain(self.waiting.drain(..)).map(|w| w.id);
        held.collect()
    }
}
