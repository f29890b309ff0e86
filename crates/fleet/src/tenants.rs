//! Tenants that have received more of the service than their quota.
//!
//! Quotas apply to the whole fleet: work beyond a quota is worth little, and the service as a whole
//! is sized for the sum of all quotas. A sidecar observes only its own part of the traffic, and
//! traffic is uneven: one sidecar of five may carry half of it. A sidecar's part of each quota is
//! therefore its part of the requests that the servers hold, which it learns from their reports.

use crate::visibility;

/// Time constant for forgetting sent requests at a visibility of 1; it grows as the visibility
/// falls (microseconds). One of three hundred sidecars sends two requests a second: random
/// variation looked like an excess over a tenant's quota, and on a calm day a tenth of its requests
/// was refused.
const SENT_MEMORY_US: f64 = 5e6;
/// Requests that are assumed sent and allowed before any observation, divided among tenants by
/// quota.
const PRIOR_REQUESTS: f64 = 10.0;
/// Time constant for smoothing this sidecar's part of the traffic at a visibility of 1; it grows in
/// the same way (microseconds).
const SHARE_SMOOTHING_US: f64 = 10e6;
/// Requests assumed to be held by the servers before any report, spread evenly over all sidecars.
const PRIOR_HELD_REQUESTS: f64 = 3.0;

/// Recent requests of each tenant, and this sidecar's part of the requests that the servers hold.
#[derive(Debug)]
pub struct TenantQuotas {
    quotas: Vec<f64>,
    quota_sum: f64,
    sent: Vec<f64>,
    updated_at: i64,
    /// Smoothed number of requests that the servers hold.
    fleet_held: f64,
    /// Smoothed number of requests from this sidecar that the servers hold.
    own_held: f64,
    sidecars: f64,
    visibility: f64,
}

impl TenantQuotas {
    /// Creates the state for tenants with these quotas (requests per second over all `sidecars`).
    /// Negative, non-finite and implausibly large quotas count as no quota, and a tenant without a
    /// quota never exceeds it.
    pub fn new(quotas: &[f64], sidecars: usize) -> TenantQuotas {
        let valid = |q: &f64| if (0.0..1e12).contains(q) { *q } else { 0.0 };
        let quotas: Vec<f64> = quotas.iter().map(valid).collect();
        let (quota_sum, sent) = (quotas.iter().sum(), vec![0.0; quotas.len()]);
        TenantQuotas {
            quotas,
            quota_sum,
            sent,
            updated_at: 0,
            fleet_held: 0.0,
            own_held: 0.0,
            sidecars: sidecars.max(1) as f64,
            visibility: visibility(sidecars),
        }
    }

    fn retained_share(&self, now: i64) -> f64 {
        (-((now - self.updated_at).max(0) as f64) * self.visibility / SENT_MEMORY_US).exp()
    }

    /// Records that a request of a tenant was sent at `now` (microseconds).
    pub fn record_sent(&mut self, tenant: usize, now: i64) {
        let retained = self.retained_share(now);
        self.sent.iter_mut().for_each(|s| *s *= retained);
        self.updated_at = now;
        if let Some(sent) = self.sent.get_mut(tenant) {
            *sent += 1.0;
        }
    }

    /// Records that for `elapsed` microseconds the servers held `fleet` requests, `own` of them
    /// from this sidecar.
    pub fn record_held(&mut self, fleet: f64, own: f64, elapsed: f64) {
        if fleet.is_finite() && elapsed > 0.0 {
            let weight = 1.0 - (-elapsed * self.visibility / SHARE_SMOOTHING_US).exp();
            self.fleet_held += (fleet - self.fleet_held) * weight;
            self.own_held += (own - self.own_held) * weight;
        }
    }

    /// Returns this sidecar's part of the requests that the servers hold, which is an even part
    /// before any report.
    pub fn own_share(&self) -> f64 {
        ((self.own_held + PRIOR_HELD_REQUESTS / self.sidecars) / (self.fleet_held + PRIOR_HELD_REQUESTS))
            .clamp(0.0, 1.0)
    }

    /// Returns the logarithm of the ratio between a tenant's recent requests and this sidecar's
    /// part of its quota, or 0 if the quota is not exceeded.
    pub fn excess(&self, tenant: usize, now: i64) -> f64 {
        let Some(quota) = self.quotas.get(tenant).copied().filter(|q| *q > 0.0) else { return 0.0 };
        let prior = PRIOR_REQUESTS * quota / self.quota_sum;
        let allowed = self.own_share() * quota * SENT_MEMORY_US / self.visibility / 1e6;
        ((self.sent[tenant] * self.retained_share(now) + prior) / (allowed + prior)).ln().max(0.0)
    }
}
