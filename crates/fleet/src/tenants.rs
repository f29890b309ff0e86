//! Who has had more than a tenant's part of what this sidecar sends.
//!
//! Each tenant has a share of what the fleet can do, and work beyond it is worth little. The shares are
//! those of the whole fleet, and no sidecar knows its own part of all traffic; but all see about the same
//! mix. So a sidecar compares the tenants with each other: whoever has had more for its share than all
//! together have for theirs is the first to go without when there is not room for all.

/// Time (microseconds) in which most of what was sent is forgotten: long enough to know a tenant by.
const LATELY: f64 = 5e6;
/// Requests that each sidecar counts as sent before any, by the shares.
const ASSUMED: f64 = 10.0;

/// What was sent of late for each tenant.
#[derive(Debug, Default)]
pub struct Tenants {
    /// Part of the service that each may have; they sum to 1.
    shares: Vec<f64>,
    sent: Vec<f64>,
    as_of: i64,
}

impl Tenants {
    /// Tenants by their quotas (requests a second, over the whole fleet). What is no sensible figure
    /// counts as nothing; without any quota nobody ever has too much.
    pub fn new(quotas: &[f64]) -> Tenants {
        let sane = |q: &f64| if (0.0..1e12).contains(q) { *q } else { 0.0 };
        let all: f64 = quotas.iter().map(sane).sum();
        let shares = quotas.iter().map(|q| if all > 0.0 { sane(q) / all } else { 0.0 }).collect();
        Tenants { shares, sent: vec![0.0; quotas.len()], as_of: 0 }
    }

    fn kept(&self, now: i64) -> f64 {
        (-((now - self.as_of).max(0) as f64) / LATELY).exp()
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

    /// How far (in logarithms) a tenant is beyond its part of what was sent; 0 for one that is not.
    pub fn beyond(&self, tenant: usize, now: i64) -> f64 {
        let Some(share) = self.shares.get(tenant).copied().filter(|s| *s > 0.0) else { return 0.0 };
        let kept = self.kept(now);
        let all = self.sent.iter().sum::<f64>() * kept + ASSUMED;
        ((self.sent[tenant] * kept + ASSUMED * share) / (all * share)).ln().max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Sends 300 requests of tenants in this order over and over, ten milliseconds apart.
    fn after(tenants: &mut Tenants, order: &[usize]) {
        for i in 0..300 {
            tenants.sent(order[i % order.len()], i as i64 * 10_000);
        }
    }

    #[test]
    fn who_had_more_than_others_for_its_share_is_beyond_it() {
        let mut tenants = Tenants::new(&[30.0, 10.0, 10.0]);
        assert_eq!([0, 1, 2].map(|t| tenants.beyond(t, 0)), [0.0; 3], "nobody is at first");
        after(&mut tenants, &[0, 0, 0, 1, 2]);
        assert!((0..3).all(|t| tenants.beyond(t, 3_000_000) < 0.05), "each had its part");
        after(&mut tenants, &[0, 1, 1, 2]);
        let beyond = [0, 1, 2].map(|t| tenants.beyond(t, 3_000_000));
        assert!(beyond[0] == 0.0 && beyond[1] > 2.0 * beyond[2], "{beyond:?}");
        assert!(tenants.beyond(1, 60_000_000) < 0.01, "a minute later that is forgotten");
    }

    #[test]
    fn a_few_requests_tell_little_and_odd_quotas_nothing() {
        let mut tenants = Tenants::new(&[50.0, 50.0]);
        tenants.sent(1, 0);
        assert!(tenants.beyond(1, 0) < 0.1);
        for quotas in [&[][..], &[0.0, 0.0], &[f64::NAN, -3.0], &[f64::INFINITY, 0.0]] {
            let mut tenants = Tenants::new(quotas);
            after(&mut tenants, &[0, 1, 7]);
            assert!((0..9).all(|t| tenants.beyond(t, 0) == 0.0), "{quotas:?}");
        }
    }
}
