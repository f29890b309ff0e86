//! The load report of a server, which is delayed and noisy.

use super::Server;
use crate::schedule::{lognormal_factor, Reporting};

/// The load figures of a server, as probes and responses carry them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of requests running or queued.
    pub inflight: f64,
    /// Number of requests queued.
    pub queue: f64,
    /// Busy share of the cores.
    pub util: f64,
}

impl Server {
    /// Takes new figures if the refresh period has passed.
    pub(super) fn refresh_report(&mut self, now: f64) {
        let period = self.parameters.reporting.period;
        if now - self.reported_figures[1].0 >= period {
            let (held, queue) = (self.held() as f64, self.waiting.len() as f64);
            let current = Report { inflight: held, queue, util: self.busy_share() };
            self.reported_figures = [self.reported_figures[1], (now, current)];
        }
    }

    /// The current report: delayed figures times a noise factor computed from `draw` (0 to 1).
    pub fn report(&mut self, draw: f64) -> Report {
        self.refresh_report(self.now);
        let Reporting { delay, noise, .. } = self.parameters.reporting;
        let [(_, before), (at, last)] = self.reported_figures;
        let visible = if self.now - at >= delay { last } else { before };
        let noise_factor = lognormal_factor(noise, draw);
        Report {
            inflight: (visible.inflight * noise_factor).round(),
            queue: (visible.queue * noise_factor).round(),
            util: (visible.util * noise_factor).clamp(0.0, 1.0),
        }
    }
}
