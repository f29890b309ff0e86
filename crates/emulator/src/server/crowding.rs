//! The slow state that a server falls into after too many have waited for too long.

use super::Server;

/// Whether crowding has turned it slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Crowding {
    /// No more wait than it bears.
    Calm,
    /// Too many have waited since then.
    Crowded(f64),
    /// It is slow since then, and has been mostly idle since the second time, if at all.
    Slow(f64, Option<f64>),
}

impl Server {
    /// Whether crowding has turned it slow.
    pub fn slow(&self) -> bool {
        matches!(self.crowding, Crowding::Slow(..))
    }

    /// Turns slow when too many have waited for too long, and back when it was mostly idle.
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
