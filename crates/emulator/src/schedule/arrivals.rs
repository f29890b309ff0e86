//! The arrivals of flows: a Poisson process with a slowly swinging rate and bursts, drawn by thinning.

use super::faults::ScheduledFault;
use super::random::{pick_by_share, Draws, Purpose};
use super::servers::{capacity_of, ServerParameters, SidecarParameters};
use crate::scenario::{Class, FaultKind, Scenario};
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::f64::consts::TAU;

/// A scheduled flow.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the scenario (ms).
    pub at: f64,
    /// The number of the sidecar.
    pub sidecar: usize,
    /// The index of the class.
    pub class: usize,
    /// The index of the tenant.
    pub tenant: usize,
    /// The cache key, if any.
    pub key: Option<u64>,
    /// The work (ms of a standard core).
    pub work: f64,
    /// Whether it exceeds the quota of its tenant.
    pub over_share: bool,
    /// The worth of serving it in time.
    pub worth: f64,
}

/// Draws the distribution of the work of a class: lognormal, by mean and coefficient of variation.
fn work_distribution(class: &Class, draws: &mut Draws) -> LogNormal<f64> {
    let (mean, cv) = (draws.draw(class.work_ms), draws.draw(class.cv).max(0.01));
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let fallback =
        LogNormal::new(0.0, 1.0).unwrap_or_else(|_| unreachable!("a standard deviation of 1 is valid"));
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).unwrap_or(fallback)
}

/// The rate of arrivals over the scenario.
struct Rate<'a> {
    /// Flows per second, without swing and bursts.
    base: f64,
    /// Amplitude of the swing, as a share of `base`.
    swing: f64,
    /// Phase of the swing, from 0 to 1.
    phase: f64,
    /// Length of the scenario (ms).
    length: f64,
    bursts: Vec<&'a ScheduledFault>,
}

impl<'a> Rate<'a> {
    /// Draws the rate; `capacity_rate` is the capacity of the warm fleet (flows per second).
    fn draw(
        scenario: &Scenario,
        capacity_rate: f64,
        faults: &'a [ScheduledFault],
        draws: &mut Draws,
    ) -> Rate<'a> {
        let base = scenario.load.rate.unwrap_or(capacity_rate * draws.draw(scenario.load.of_capacity));
        let (swing, phase) = (draws.draw(scenario.load.swing), draws.rng.random::<f64>());
        let bursts = faults.iter().filter(|t| t.kind == FaultKind::Burst).collect();
        Rate { base, swing, phase, length: scenario.length_s * 1e3, bursts }
    }

    /// Flows per second at a time since the start of the scenario (ms).
    fn at(&self, at: f64) -> f64 {
        let swing_factor = 1.0 + self.swing * (TAU * (at / self.length + self.phase)).sin();
        let burst_factors = self.bursts.iter().filter(|b| (b.from..b.until).contains(&at)).map(|b| b.size);
        self.base * swing_factor * burst_factors.product::<f64>()
    }

    /// An upper bound of the rate (flows per second).
    fn peak(&self) -> f64 {
        self.base * (1.0 + self.swing) * self.bursts.iter().map(|b| b.size.max(1.0)).product::<f64>()
    }
}

/// The tenants' quotas as token buckets, each holding the tokens of one second.
struct TokenBuckets {
    /// Flows per second, by tenant.
    rates: Vec<f64>,
    /// By tenant: the tokens left and the time of the last update (ms).
    buckets: Vec<(f64, f64)>,
}

impl TokenBuckets {
    /// Divides a total (flows per second) by the tenants' shares.
    fn new(scenario: &Scenario, total: f64) -> TokenBuckets {
        let sum: f64 = scenario.tenants.iter().map(|t| t.share).sum();
        let rates: Vec<f64> = scenario.tenants.iter().map(|t| t.share / sum * total).collect();
        let buckets = rates.iter().map(|rate| (*rate, 0.0)).collect();
        TokenBuckets { rates, buckets }
    }

    /// Takes a token of a tenant; returns true if none was left.
    fn exceeds_quota(&mut self, tenant: usize, at: f64) -> bool {
        let rate = self.rates[tenant];
        let (tokens, updated_at) = &mut self.buckets[tenant];
        *tokens = (*tokens + (at - *updated_at) / 1e3 * rate).min(rate.max(1.0));
        *updated_at = at;
        let exceeded = *tokens < 1.0;
        if !exceeded {
            *tokens -= 1.0;
        }
        exceeded
    }
}

/// The shares and distributions from which the properties of an arrival are drawn.
struct TrafficMix {
    classes: Vec<f64>,
    tenants: Vec<f64>,
    sidecars: Vec<f64>,
    work: Vec<LogNormal<f64>>,
    keys: Option<Zipf<f64>>,
}

/// Expected mean work of the scenario's flows, from the middles of the ranges (ms of a standard core).
fn mean_work(scenario: &Scenario) -> f64 {
    let sum: f64 = scenario.classes.iter().map(|c| c.share).sum();
    scenario.classes.iter().map(|c| c.share / sum * (c.work_ms.low + c.work_ms.high) / 2.0).sum()
}

/// Draws the share of the traffic that each tenant uses.
fn tenant_shares(scenario: &Scenario, draws: &mut Draws) -> Vec<f64> {
    let sum: f64 = scenario.tenants.iter().map(|t| t.share).sum();
    let used_shares: Vec<f64> =
        scenario.tenants.iter().map(|t| t.share / sum * draws.draw(t.usage)).collect();
    let used_sum: f64 = used_shares.iter().sum();
    used_shares.iter().map(|u| u / used_sum).collect()
}

/// Draws the popularity of the keys; `None` if the scenario has no keys.
fn key_popularity(scenario: &Scenario, draws: &mut Draws) -> Option<Zipf<f64>> {
    let keys = draws.draw(scenario.load.keys).round();
    let popularity = Zipf::new(keys.max(1.0), draws.draw(scenario.load.key_zipf)).ok();
    popularity.filter(|_| keys >= 1.0)
}

impl TrafficMix {
    fn draw_arrival(
        &self,
        scenario: &Scenario,
        at: f64,
        quotas: &mut TokenBuckets,
        draws: &mut Draws,
    ) -> Arrival {
        let class = pick_by_share(self.classes.iter().copied(), draws.rng.random());
        let tenant = pick_by_share(self.tenants.iter().copied(), draws.rng.random());
        let sidecar = pick_by_share(self.sidecars.iter().copied(), draws.rng.random());
        let key = self.keys.map(|keys| keys.sample(&mut draws.rng) as u64);
        let over_share = quotas.exceeds_quota(tenant, at);
        let worth =
            scenario.classes[class].worth * if over_share { scenario.load.over_share_worth } else { 1.0 };
        let work = self.work[class].sample(&mut draws.rng).clamp(1.0, 10_000.0);
        Arrival { at, sidecar, class, tenant, key, work, over_share, worth }
    }
}

/// Draws the tenants' quotas (flows per second) and all arrivals of the scenario, by thinning a Poisson process
/// of the peak rate.
pub(super) fn draw_arrivals(
    scenario: &Scenario,
    seed: u64,
    servers: &[ServerParameters],
    sidecars: &[SidecarParameters],
    faults: &[ScheduledFault],
) -> (Vec<f64>, Vec<Arrival>) {
    // Changing the order of the draws changes the schedule of every seed.
    let mut draws = Draws::new(seed, Purpose::Arrivals);
    let tenants = tenant_shares(scenario, &mut draws);
    let works = scenario.classes.iter().map(|c| work_distribution(c, &mut draws)).collect();
    let capacity_rate = capacity_of(servers) / mean_work(scenario) * 1e3;
    let rate = Rate::draw(scenario, capacity_rate, faults, &mut draws);
    let keys = key_popularity(scenario, &mut draws);
    let mut quotas = TokenBuckets::new(scenario, draws.draw(scenario.load.quota_of_capacity) * capacity_rate);
    let class_sum: f64 = scenario.classes.iter().map(|c| c.share).sum();
    let classes = scenario.classes.iter().map(|c| c.share / class_sum).collect();
    let mix = TrafficMix {
        classes,
        tenants,
        sidecars: sidecars.iter().map(|s| s.share).collect(),
        work: works,
        keys,
    };
    let mut arrivals = Vec::new();
    let peak = rate.peak();
    let Ok(gap_distribution) = Exp::new(peak / 1e3) else { return (quotas.rates, arrivals) };
    let mut at = gap_distribution.sample(&mut draws.rng);
    while at < rate.length {
        if draws.rng.random::<f64>() * peak < rate.at(at) {
            arrivals.push(mix.draw_arrival(scenario, at, &mut quotas, &mut draws));
        }
        at += gap_distribution.sample(&mut draws.rng);
    }
    (quotas.rates, arrivals)
}
