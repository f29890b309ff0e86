//! The arrivals: a Poisson process whose rate swings slowly and has bursts, drawn by thinning.

use super::faults::ScheduledFault;
use super::random::{pick, Draws, Purpose};
use super::servers::{capacity_of, ServerPlan, SidecarPlan};
use crate::scenario::{Class, FaultKind, Scenario};
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::f64::consts::TAU;

/// A scheduled request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its time since the scenario's begin (ms).
    pub at: f64,
    /// The sidecar.
    pub sidecar: usize,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its cache key.
    pub key: Option<u64>,
    /// Its work (ms of a standard core).
    pub work: f64,
    /// Whether it exceeds its tenant's quota.
    pub over_share: bool,
    /// Its worth.
    pub worth: f64,
}

/// Distribution of a class's work: lognormal with its mean and spread.
fn works(class: &Class, d: &mut Draws) -> LogNormal<f64> {
    let (mean, cv) = (d.of(class.work_ms), d.of(class.cv).max(0.01));
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let fallback = LogNormal::new(0.0, 1.0).unwrap_or_else(|_| unreachable!("a spread of 1 is one"));
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).unwrap_or(fallback)
}

/// The rate of arrivals over the scenario.
struct Rate<'a> {
    /// Requests a second, without swing and bursts.
    base: f64,
    swing: f64,
    phase: f64,
    /// Length of the scenario (ms).
    length: f64,
    bursts: Vec<&'a ScheduledFault>,
}

impl<'a> Rate<'a> {
    /// Draws it; `most` is what the warm fleet could do (requests a second).
    fn draw(scenario: &Scenario, most: f64, faults: &'a [ScheduledFault], d: &mut Draws) -> Rate<'a> {
        let base = scenario.load.rate.unwrap_or(most * d.of(scenario.load.of_capacity));
        let (swing, phase) = (d.of(scenario.load.swing), d.0.random::<f64>());
        let bursts = faults.iter().filter(|t| t.kind == FaultKind::Burst).collect();
        Rate { base, swing, phase, length: scenario.length_s * 1e3, bursts }
    }

    /// Requests a second at a time of the scenario (ms).
    fn at(&self, at: f64) -> f64 {
        let slow = 1.0 + self.swing * (TAU * (at / self.length + self.phase)).sin();
        let burst = self.bursts.iter().filter(|b| (b.from..b.until).contains(&at)).map(|b| b.size);
        self.base * slow * burst.product::<f64>()
    }

    /// A rate that it never exceeds (requests a second).
    fn peak(&self) -> f64 {
        self.base * (1.0 + self.swing) * self.bursts.iter().map(|b| b.size.max(1.0)).product::<f64>()
    }
}

/// The tenants' quotas, as token buckets that hold a second's worth.
struct Quotas {
    /// Requests a second.
    rates: Vec<f64>,
    /// Tokens saved, and when they were counted (ms).
    buckets: Vec<(f64, f64)>,
}

impl Quotas {
    /// Divides a total (requests a second) by the tenants' shares.
    fn new(scenario: &Scenario, total: f64) -> Quotas {
        let sum: f64 = scenario.tenants.iter().map(|t| t.share).sum();
        let rates: Vec<f64> = scenario.tenants.iter().map(|t| t.share / sum * total).collect();
        let buckets = rates.iter().map(|rate| (*rate, 0.0)).collect();
        Quotas { rates, buckets }
    }

    /// Takes a token of a tenant; true where it has none left.
    fn exceeded(&mut self, tenant: usize, at: f64) -> bool {
        let rate = self.rates[tenant];
        let (saved, since) = &mut self.buckets[tenant];
        *saved = (*saved + (at - *since) / 1e3 * rate).min(rate.max(1.0));
        *since = at;
        let exceeded = *saved < 1.0;
        if !exceeded {
            *saved -= 1.0;
        }
        exceeded
    }
}

/// The shares by which an arrival's class, tenant, sidecar and key are drawn.
struct Mix {
    classes: Vec<f64>,
    tenants: Vec<f64>,
    sidecars: Vec<f64>,
    works: Vec<LogNormal<f64>>,
    keys: Option<Zipf<f64>>,
}

/// Mean work of the scenario's requests before its draw (ms of a standard core).
fn mean_work(scenario: &Scenario) -> f64 {
    let sum: f64 = scenario.classes.iter().map(|c| c.share).sum();
    scenario.classes.iter().map(|c| c.share / sum * (c.work_ms.low + c.work_ms.high) / 2.0).sum()
}

/// Draws the share of the traffic that each tenant uses.
fn tenant_use(scenario: &Scenario, d: &mut Draws) -> Vec<f64> {
    let sum: f64 = scenario.tenants.iter().map(|t| t.share).sum();
    let used: Vec<f64> = scenario.tenants.iter().map(|t| t.share / sum * d.of(t.usage)).collect();
    let used_sum: f64 = used.iter().sum();
    used.iter().map(|u| u / used_sum).collect()
}

/// Draws the popularity of the keys; `None` where the scenario has none.
fn popularity(scenario: &Scenario, d: &mut Draws) -> Option<Zipf<f64>> {
    let keys = d.of(scenario.load.keys).round();
    let popularity = Zipf::new(keys.max(1.0), d.of(scenario.load.key_zipf)).ok();
    popularity.filter(|_| keys >= 1.0)
}

impl Mix {
    fn arrival(&self, scenario: &Scenario, at: f64, quotas: &mut Quotas, d: &mut Draws) -> Arrival {
        let class = pick(self.classes.iter().copied(), d.0.random());
        let tenant = pick(self.tenants.iter().copied(), d.0.random());
        let sidecar = pick(self.sidecars.iter().copied(), d.0.random());
        let key = self.keys.map(|keys| keys.sample(&mut d.0) as u64);
        let over_share = quotas.exceeded(tenant, at);
        let worth =
            scenario.classes[class].worth * if over_share { scenario.load.over_share_worth } else { 1.0 };
        let work = self.works[class].sample(&mut d.0).clamp(1.0, 10_000.0);
        Arrival { at, sidecar, class, tenant, key, work, over_share, worth }
    }
}

/// Draws the tenants' quotas (requests a second) and every arrival of the scenario, thinned from the peak
/// rate.
pub(super) fn arrivals(
    scenario: &Scenario,
    seed: u64,
    servers: &[ServerPlan],
    sidecars: &[SidecarPlan],
    faults: &[ScheduledFault],
) -> (Vec<f64>, Vec<Arrival>) {
    // The order of the draws is part of every scenario.
    let mut d = Draws::new(seed, Purpose::Arrivals);
    let tenants = tenant_use(scenario, &mut d);
    let works = scenario.classes.iter().map(|c| works(c, &mut d)).collect();
    let most = capacity_of(servers) / mean_work(scenario) * 1e3;
    let rate = Rate::draw(scenario, most, faults, &mut d);
    let keys = popularity(scenario, &mut d);
    let mut quotas = Quotas::new(scenario, d.of(scenario.load.quota_of_capacity) * most);
    let class_sum: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let classes = scenario.classes.iter().map(|c| c.share / class_sum).collect();
    let mix = Mix { classes, tenants, sidecars: sidecars.iter().map(|s| s.share).collect(), works, keys };
    let mut arrivals = Vec::new();
    let peak = rate.peak();
    let Ok(gaps) = Exp::new(peak / 1e3) else { return (quotas.rates, arrivals) };
    let mut at = gaps.sample(&mut d.0);
    while at < rate.length {
        if d.0.random::<f64>() * peak < rate.at(at) {
            arrivals.push(mix.arrival(scenario, at, &mut quotas, &mut d));
        }
        at += gaps.sample(&mut d.0);
    }
    (quotas.rates, arrivals)
}
