//! The speed of a server: warm-up, thrashing, connection table, degradation, pauses and injected slowdown.

use super::degradation::QueueState;
use super::{Phase, Server};
use crate::schedule::WarmUp;

/// Tolerance of the overload limit of a cold server, in requests of mean work, so that random variation of the
/// load alone breaks no rule.
const OVERLOAD_TOLERANCE_REQUESTS: f64 = 4.0;

impl Server {
    /// The share of its capacity that a server has during warm-up. It grows linearly with time or with served
    /// requests, whichever is faster.
    pub fn warm_share(&self) -> f64 {
        let WarmUp { initial_share, time, requests } = self.parameters.warm_up;
        let Some(started) = self.started else { return 1.0 };
        let by_time = (self.now - started) / time.max(1.0);
        let by_work = if requests > 0.0 { self.served / requests } else { 0.0 };
        initial_share + (1.0 - initial_share) * by_time.max(by_work).clamp(0.0, 1.0)
    }

    /// The current capacity with all cores busy: work (ms of a standard core) per ms.
    pub fn capacity(&self) -> f64 {
        if self.phase == Phase::Down || self.failed_by_overload {
            return 0.0;
        }
        let parameters = &self.parameters;
        let excess_load =
            (self.held() as f64 / parameters.cores / parameters.thrashing.threshold - 1.0).max(0.0);
        let table_cost = (self.connections as f64 / parameters.connection_table.size.max(1) as f64).min(1.0)
            * parameters.connection_table.full_cost;
        let slowdown = match (self.queue_state, parameters.degradation) {
            (QueueState::Degraded(..), Some(degradation)) => degradation.slowdown,
            _ => 1.0,
        };
        parameters.cores * parameters.speed * self.warm_share()
            / (1.0 + parameters.thrashing.loss * excess_load)
            * (1.0 - table_cost)
            / slowdown
            / self.slowdown
    }

    /// The response time (ms) of a job with this work if no other job arrived after it; infinite if the server is
    /// down or draining.
    pub fn forecast(&self, work: f64) -> f64 {
        let (capacity, cores) = (self.capacity(), self.parameters.cores);
        if capacity <= 0.0 || self.phase != Phase::Up {
            return f64::INFINITY;
        }
        let pause = (self.paused_until - self.now).max(0.0);
        let sharing = (self.held() as f64 + 1.0).max(cores);
        pause + work * sharing / capacity
    }

    /// The service that each running request gets per ms.
    pub(super) fn service_rate(&self) -> f64 {
        let busy = self.running.len() as f64;
        if busy == 0.0 || self.now < self.paused_until {
            return 0.0;
        }
        // Background work shares the cores with the requests and takes at most one core, or half of a smaller
        // server.
        let cores = self.parameters.cores
            - if self.background_work > 0.0 { 1.0_f64.min(self.parameters.cores / 2.0) } else { 0.0 };
        self.capacity() / self.parameters.cores * (cores / busy).min(1.0)
    }

    /// Adds work sent to the server. Returns true if the server is cold and fails by overload: it was sent more
    /// than `multiple` of its current capacity within `window` (ms), plus a tolerance.
    pub fn overloads_when_cold(&mut self, work: f64, multiple: f64, window: f64) -> bool {
        if self.phase != Phase::Up || self.failed_by_overload || self.warm_share() >= 1.0 {
            self.cold_arrivals.clear();
            return false;
        }
        self.cold_arrivals.push_back((self.now, work));
        while self.cold_arrivals.front().is_some_and(|(at, _)| self.now - at > window) {
            self.cold_arrivals.pop_front();
        }
        let sum: f64 = self.cold_arrivals.iter().map(|(_, w)| w).sum();
        let capacity = self.parameters.cores * self.parameters.speed * self.warm_share();
        self.failed_by_overload =
            sum > multiple * capacity * window + OVERLOAD_TOLERANCE_REQUESTS * self.mean_work;
        self.failed_by_overload
    }
}
