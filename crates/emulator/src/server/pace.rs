//! The speed of a server: warm-up, thrashing, connection table, degradation, pauses and injected slowness.

use super::crowding::Crowding;
use super::{Phase, Server};
use crate::schedule::WarmUp;

/// Tolerance of the overload limit of a cold server, in requests of mean work, so that chance breaks no rule.
const CHANCE: f64 = 4.0;

impl Server {
    /// The share of its capacity that it has while it warms up: linear in time, or faster in served requests.
    pub fn warmth(&self) -> f64 {
        let WarmUp { initial_share, time, requests } = self.plan.cold;
        let Some(started) = self.started else { return 1.0 };
        let by_time = (self.now - started) / time.max(1.0);
        let by_work = if requests > 0.0 { self.served / requests } else { 0.0 };
        initial_share + (1.0 - initial_share) * by_time.max(by_work).clamp(0.0, 1.0)
    }

    /// Its capacity when all cores are busy: work (ms of a standard core) in a ms.
    pub fn capacity(&self) -> f64 {
        if self.phase == Phase::Down || self.fallen {
            return 0.0;
        }
        let p = &self.plan;
        let over = (self.held() as f64 / p.cores / p.thrash.threshold - 1.0).max(0.0);
        let table = (self.conns as f64 / p.conns.size.max(1) as f64).min(1.0) * p.conns.full_cost;
        let slow = match (self.crowding, p.choke) {
            (Crowding::Slow(..), Some(choke)) => choke.slower,
            _ => 1.0,
        };
        p.cores * p.speed * self.warmth() / (1.0 + p.thrash.loss * over) * (1.0 - table) / slow / self.slowed
    }

    /// How long a job of this work would take if it were the last one to arrive (ms); infinite where it is
    /// down or draining.
    pub fn forecast(&self, work: f64) -> f64 {
        let (capacity, cores) = (self.capacity(), self.plan.cores);
        if capacity <= 0.0 || self.phase != Phase::Up {
            return f64::INFINITY;
        }
        let pause = (self.paused_until - self.now).max(0.0);
        let sharing = (self.held() as f64 + 1.0).max(cores);
        pause + work * sharing / capacity
    }

    /// The service that each running request gets in a ms.
    pub(super) fn pace(&self) -> f64 {
        let busy = self.running.len() as f64;
        if busy == 0.0 || self.now < self.paused_until {
            return 0.0;
        }
        // Chores take their turn beside the requests, one core at most.
        let cores =
            self.plan.cores - if self.chores > 0.0 { 1.0_f64.min(self.plan.cores / 2.0) } else { 0.0 };
        self.capacity() / self.plan.cores * (cores / busy).min(1.0)
    }

    /// Counts work sent to a cold server; true where it fails by overload: more than `multiple` of its
    /// current capacity within `window` (ms).
    pub fn push(&mut self, work: f64, multiple: f64, window: f64) -> bool {
        if self.phase != Phase::Up || self.fallen || self.warmth() >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((self.now, work));
        while self.sent.front().is_some_and(|(at, _)| self.now - at > window) {
            self.sent.pop_front();
        }
        let sum: f64 = self.sent.iter().map(|(_, w)| w).sum();
        let able = self.plan.cores * self.plan.speed * self.warmth();
        self.fallen = sum > multiple * able * window + CHANCE * self.mean_work;
        self.fallen
    }
}
