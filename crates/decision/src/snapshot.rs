//! Estimates of a balancer, exported for operators; no decision is taken here.

use crate::interface::Micros;
use crate::policy::TIMER_PURPOSE_BITS;
use crate::state::{Balancer, SUSPECT_SCORE};

/// A balancer's current estimates, for operators to compare with the observed traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Servers in service, including those that are ejected.
    pub ready: usize,
    /// Servers in service that are ejected because of failures.
    pub set_aside: usize,
    /// Number of this sidecar's attempts in flight.
    pub attempts_in_flight: u32,
    /// Mean age of the load reports in use (microseconds).
    pub mean_report_age: Micros,
    /// Age of the oldest load report in use (microseconds).
    pub oldest_report_age: Micros,
    /// Mean reported load of a server of mean capacity.
    pub mean_load: f64,
    /// Smoothed response time of the servers (microseconds).
    pub response_time: f64,
    /// Mean absolute error of the response time forecasts, as a logarithm.
    pub forecast_error: f64,
    /// Smoothed share of attempts answered late or never.
    pub late_share: f64,
    /// Share tables computed so far; each computation visits every server.
    pub tables_built: u64,
    /// How much better reports forecast answers than the fleet's mean load does (1: fully, 0: not at all).
    pub report_trust: f64,
}

impl Balancer {
    /// Whether a timer with this token may still lead to an action: its request is open, or it belongs to none.
    pub fn awaits_timer(&self, token: u64) -> bool {
        let request = token >> TIMER_PURPOSE_BITS;
        request == 0 || self.requests.contains_key(&request)
    }

    /// The estimates as of the last event.
    pub fn snapshot(&self) -> Snapshot {
        let ready = || self.servers.iter().filter(|s| s.ready());
        let ages: Vec<Micros> = ready().filter_map(|s| s.reported_at.map(|at| self.now - at)).collect();
        let mean = ages.iter().sum::<Micros>() / ages.len().max(1) as Micros;
        Snapshot {
            ready: ready().count(),
            set_aside: ready().filter(|s| s.failure_score >= SUSPECT_SCORE).count(),
            attempts_in_flight: self.servers.iter().map(|s| s.in_flight).sum(),
            mean_report_age: mean,
            oldest_report_age: ages.into_iter().max().unwrap_or(0),
            mean_load: self.mean_load * self.mean_capacity,
            response_time: self.response_time,
            forecast_error: self.forecast_error,
            late_share: self.late_share,
            tables_built: self.tables_built,
            report_trust: self.report_trust,
        }
    }
}
