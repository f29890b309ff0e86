//! What a balancer makes of its servers, as figures to look at; no decision is taken here.

use crate::interface::Micros;
use crate::state::{Balancer, SUSPECT};

/// What a balancer makes of its servers at this moment, for operators to hold against what they see.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Picture {
    /// Servers in service, and those of them set aside for trouble.
    pub ready: usize,
    /// Servers set aside.
    pub set_aside: usize,
    /// Own attempts counted open.
    pub out: u32,
    /// Age of the reports in use: the mean and the oldest (microseconds).
    pub report_age: (Micros, Micros),
    /// Mean reported load of a server of mean capacity.
    pub load: f64,
    /// Smoothed time that a request stays at a server (microseconds).
    pub stay: f64,
    /// How far (in logarithms) answers are off their forecast.
    pub spread: f64,
    /// Smoothed share of attempts answered late or never.
    pub lateness: f64,
    /// Tables of shares made so far: each takes a look at every server.
    pub tables: u64,
    /// How far reports are worth more than the fleet's mean.
    pub trust: f64,
}

impl Balancer {
    /// The picture as of the last event.
    pub fn picture(&self) -> Picture {
        let ready = || self.backends.iter().filter(|b| b.ready());
        let ages: Vec<Micros> = ready().filter_map(|b| b.load_at.map(|at| self.now - at)).collect();
        let mean = ages.iter().sum::<Micros>() / ages.len().max(1) as Micros;
        Picture {
            ready: ready().count(),
            set_aside: ready().filter(|b| b.trouble >= SUSPECT).count(),
            out: self.backends.iter().map(|b| b.out).sum(),
            report_age: (mean, ages.into_iter().max().unwrap_or(0)),
            load: self.mean_load * self.mean_capacity,
            stay: self.stay,
            spread: self.spread,
            lateness: self.lateness,
            tables: self.tables,
            trust: self.trust,
        }
    }
}
