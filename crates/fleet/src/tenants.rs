//! Which tenants have had more of the service than their quota.
//!
//! Quotas are those of the whole fleet: work beyond one is worth little, and as much as all quotas together
//! is there for all. A sidecar sees only its own part of the traffic, and traffic is uneven: one of five may
//! carry half of it. Its part of each quota is its part of what the servers hold, which reports tell it.

use crate::sight;

/// Time (microseconds) in which most of what was sent is forgotten by one that sees enough by itself. One of
/// three hundred sends two requests a second: what looked like too much of a tenant's was chance, and on a
/// calm day a tenth was refused for it.
const LATELY: f64 = 5e6;
/// Requests that each sidecar counts as sent and as allowed before any, by the quotas.
const ASSUMED: f64 = 10.0;
/// Time (microseconds) over which the own part is smoothed, likewise.
const PART: f64 = 10e6;
/// Requests that count as held by the servers before any report, evenly for all sidecars.
const FIRST: f64 = 3.0;

/// What was sent of late for each tenant, and this sidecar's part of what the servers hold.
#[derive(Debug)]
pub struct Tenants {
    quotas: Vec<f64>,
    all: f64,
    sent: Vec<f64>,
    as_of: i64,
    /// Smoothed number of requests that the servers hold, in all and from here.
    held: (f64, f64),
    sidecars: f64,
    sight: f64,
}

impl Tenants {
    /// Tenants by their quotas (requests a second, over so many sidecars). What is no sensible figure
    /// counts as no quota, and a tenant without one never has too much.
    pub fn new(quotas: &[f64], sidecars: usize) -> Tenants {
        let sane = |q: &f64| if (0.0..1e12).contains(q) { *q } else { 0.0 };
        let quotas: Vec<f64> = quotas.iter().map(sane).collect();
        let (all, sent) = (quotas.iter().sum(), vec![0.0; quotas.len()]);
        Tenants {
            quotas,
            all,
            sent,
            as_of: 0,
            held: (0.0, 0.0),
            sidecars: sidecars.max(1) as f64,
            sight: sight(sidecars),
        }
    }

    fn kept(&self, now: i64) -> f64 {
        (-((now - self.as_of).max(0) as f64) * self.sight / LATELY).exp()
    }

    /// Something was sent for a tenant, at a time in microseconds.
    pub fn sent(&mut self, tenant: usize, now: i64) {
        let kept = self.kept(now);
        self.sent.iter_mut().for_each(|s| *s *= kept);
        self.as_of = now;
        if let Some(sent) = self.sent.get_mut(tenant) {
            *sent += 1.0;
        }
    }

    /// For so long (microseconds) the servers have held so many requests, so many of them from here.
    pub fn held(&mut self, fleet: f64, own: f64, passed: f64) {
        if fleet.is_finite() && passed > 0.0 {
            let weight = 1.0 - (-passed * self.sight / PART).exp();
            self.held.0 += (fleet - self.held.0) * weight;
            self.held.1 += (own - self.held.1) * weight;
        }
    }

    /// This sidecar's part of what the servers hold; an even one before any report.
    pub fn part(&self) -> f64 {
        ((self.held.1 + FIRST / self.sidecars) / (self.held.0 + FIRST)).clamp(0.0, 1.0)
    }

    /// How far (in logarithms) what was sent of late for a tenant is beyond this sidecar's part of its
    /// quota; 0 where it is not.
    pub fn beyond(&self, tenant: usize, now: i64) -> f64 {
        let Some(quota) = self.quotas.get(tenant).copied().filter(|q| *q > 0.0) else { return 0.0 };
        let assumed = ASSUMED * quota / self.all;
        let allowed = self.part() * quota * LATELY / self.sight / 1e6;
        ((self.sent[tenant] * self.kept(now) + assumed) / (allowed + assumed)).ln().max(0.0)
    }
}
