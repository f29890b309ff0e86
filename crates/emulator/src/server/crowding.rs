//! The degraded state that a server enters after its queue has been too long for too long, and its recovery.

use super::Server;

/// The state of the degradation by a long queue. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Crowding {
    /// The queue is within its limit.
    Calm,
    /// The queue has exceeded its limit since this time.
    Crowded(f64),
    /// Degraded since the first time, and nearly idle since the second, if it is.
    Slow(f64, Option<f64>),
}

impl Server {
    /// Whether it is degraded by a long queue.
    pub fn slow(&self) -> bool {
        matches!(self.crowding, Crowding::Slow(..))
    }

    /// Enters the degraded state after a long queue, and leaves it after a rest or its maximal duration.
    pub(super) fn crowd(&mut self) {
        let Some(choke) = self.plan.choke else { return };
        let queued = (self.held() as f64 - self.plan.cores).max(0.0);
        let busy = self.busy();
        let now = self.now;
        self.crowding = match self.crowding {
            Crowding::Calm if queued > choke.at => Crowding::Crowded(now),
            Crowding::Crowded(_) if queued <= choke.at => Crowding::Calm,
            Crowding::Crowded(since) if now - since >= choke.over => {
                self.chokes += 1;
                Crowding::Slow(now, None)
            }
            Crowding::Slow(since, idle) => {
                let idle = (busy < choke.below).then(|| idle.unwrap_or(now));
                if now - since >= choke.most || idle.is_some_and(|at| now - at >= choke.rest) {
                    Crowding::Calm
                } else {
                    Crowding::Slow(since, idle)
                }
            }
            same => same,
        };
    }

    pub(super) fn busy(&self) -> f64 {
        (self.running.len() as f64 / self.plan.cores).min(1.0)
    }
}
