//! The load report of a server, delayed and noisy.

use super::Server;
use crate::schedule::{factor, Reporting};

/// The load figures of a server, as probes and responses carry them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests held.
    pub inflight: f64,
    /// Requests waiting.
    pub queue: f64,
    /// Busy share of the cores.
    pub util: f64,
}

impl Server {
    pub(super) fn refresh(&mut self, now: f64) {
        let period = self.plan.report.period;
        if now - self.figures[1].0 >= period {
            let (held, queue) = (self.held() as f64, self.waiting.len() as f64);
            let fresh = Report { inflight: held, queue, util: self.busy() };
            self.figures = [self.figures[1], (now, fresh)];
        }
    }

    /// Its current report: figures as old as the reporting delay, times a noise from this draw (0 to 1).
    pub fn report(&mut self, draw: f64) -> Report {
        self.refresh(self.now);
        let Reporting { delay, noise, .. } = self.plan.report;
        let [(_, before), (at, last)] = self.figures;
        let seen = if self.now - at >= delay { last } else { before };
        let off = factor(noise, draw);
        Report {
            inflight: (seen.inflight * off).round(),
            queue: (seen.queue * off).round(),
            util: (seen.util * off).clamp(0.0, 1.0),
        }
    }
}
