//! Slow start: how many calls one sidecar may send to a cold server.
//!
//! A server is cold from its start until it has reached its full capacity, and warm from then on. A
//! cold server becomes overloaded when all sidecars together send it more than a multiple of its
//! present capacity within a span of time given by the settings. The capacity itself is not known;
//! it is estimated from the rate that warm servers of the same size serve, and each sidecar uses the
//! part of that rate that it observes itself. The shares that the decision module computes stay
//! within a fraction of that budget on average. This module enforces the budget whatever the shares
//! are, for example when only cold servers are left.

use std::collections::{HashMap, VecDeque};

/// Time constant for smoothing the rates of calls and answers (microseconds).
const RATE_SMOOTHING_US: f64 = 3e6;
/// Time constant for following a rise of the rate that warm servers serve, while about as many
/// servers are warm as before (microseconds).
const RISE_TIME_US: f64 = 0.1e6;
/// The same where few warm servers are left: their load says nothing about other servers
/// (microseconds).
const RISE_TIME_FEW_WARM_US: f64 = 30e6;
/// Time constant for following a fall of the rate that warm servers serve (microseconds). It is long
/// because servers that receive few requests can still serve as many as before.
const FALL_TIME_US: f64 = 60e6;
/// Share of the recent peak of warm power that must remain for a rise to say something about other
/// servers.
const MIN_WARM_SHARE: f64 = 0.5;
/// Share of the estimated rate that is used: the sizes in the list are rough, and the rate of a few
/// warm servers is not a reliable mean.
const RATE_SAFETY_FACTOR: f64 = 0.65;
/// Share of the platform's allowance for random variation that is used, for the same reasons.
const ALLOWANCE_FACTOR: f64 = 0.5;
/// Smallest budget of one sidecar that is enforced by counting in a large fleet (calls). Counting
/// smaller budgets would reject calls that random variation brings to one sidecar and not to
/// another.
const MIN_COUNTED_BUDGET: f64 = 4.0;
/// Number of tracked servers at which those without a recent call are dropped.
const MAX_TRACKED_SERVERS: usize = 64;

/// How servers warm up, and the load that they tolerate meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Smallest share of its capacity with which a server starts.
    pub cold_from: f64,
    /// Time after which a server is warm (microseconds).
    pub warm_up: i64,
    /// A cold server that is sent more than this multiple of its present capacity becomes overloaded.
    pub fall_multiple: f64,
    /// Time over which that multiple is counted (microseconds).
    pub overload_span: i64,
}

impl Ramp {
    /// Returns the share of its capacity that a server has at this age (microseconds).
    pub fn warmth(&self, age: i64) -> f64 {
        let part = (age as f64 / self.warm_up.max(1) as f64).clamp(0.0, 1.0);
        self.cold_from + (1.0 - self.cold_from) * part
    }
}

/// Calls beyond a mean budget that the platform tolerates as random variation.
fn random_allowance(budget: f64) -> f64 {
    if budget < 30.0 {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

/// An exponentially smoothed rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    count: f64,
    updated_at: i64,
    first_at: Option<i64>,
}

impl Rate {
    fn record(&mut self, now: i64) {
        self.count = self.decayed_count(now) + 1.0;
        self.updated_at = now;
        self.first_at.get_or_insert(now);
    }

    fn decayed_count(&self, now: i64) -> f64 {
        self.count * (-((now - self.updated_at).max(0) as f64) / RATE_SMOOTHING_US).exp()
    }

    /// Returns the rate in events per microsecond. While less than the smoothing time has been
    /// observed, the rate is extrapolated from the observed part.
    fn per_us(&self, now: i64) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        let observed_part = 1.0 - (-((now - first_at).max(0) as f64) / RATE_SMOOTHING_US).exp();
        self.decayed_count(now) / (RATE_SMOOTHING_US * observed_part.max(0.05))
    }
}

/// The call budgets of cold servers, as one sidecar keeps to them.
#[derive(Clone, Debug)]
pub struct SlowStart {
    sidecars: f64,
    ramp: Ramp,
    /// All calls of this sidecar.
    calls: Rate,
    /// Answers of warm servers to this sidecar.
    served: Rate,
    /// Estimated rate at which a warm server of power 1 answers this sidecar (answers per
    /// microsecond).
    warm_rate_per_power: f64,
    /// Time of the last update of that estimate (microseconds).
    observed_at: i64,
    /// Recent peak of the total power of warm servers.
    warm_peak: f64,
    /// Times of the recent calls to each cold server.
    recent_calls: HashMap<u64, VecDeque<i64>>,
}

impl SlowStart {
    /// Creates the budgets of one sidecar in a fleet of `sidecars`.
    pub fn new(sidecars: usize, ramp: Ramp) -> SlowStart {
        let sidecars = sidecars.max(1) as f64;
        let (calls, served) = (Rate::default(), Rate::default());
        SlowStart {
            sidecars,
            ramp,
            calls,
            served,
            warm_rate_per_power: 0.0,
            observed_at: 0,
            warm_peak: 0.0,
            recent_calls: HashMap::new(),
        }
    }

    /// Returns how servers warm up.
    pub fn ramp(&self) -> Ramp {
        self.ramp
    }

    /// Records that a warm server answered a call of this sidecar.
    pub fn record_answer(&mut self, now: i64) {
        self.served.record(now);
    }

    /// Records a call to a server with this warmth.
    pub fn record_call(&mut self, now: i64, server: u64, warmth: f64) {
        self.calls.record(now);
        if warmth >= 1.0 {
            return;
        }
        if self.recent_calls.len() >= MAX_TRACKED_SERVERS {
            let oldest = now - self.ramp.overload_span;
            self.recent_calls.retain(|_, calls| calls.back().is_some_and(|at| *at >= oldest));
        }
        self.recent_calls.entry(server).or_default().push_back(now);
    }

    /// Updates the estimate with the total power of the warm servers and of all servers in service.
    pub fn observe_power(&mut self, now: i64, warm_power: f64, power: f64) {
        let elapsed = (now - self.observed_at).max(0) as f64;
        self.observed_at = now;
        self.warm_peak = (self.warm_peak * (-elapsed / FALL_TIME_US).exp()).max(warm_power);
        if warm_power > 0.0 {
            let observed = self.served.per_us(now) / warm_power;
            let time_constant =
                match (observed > self.warm_rate_per_power, warm_power >= MIN_WARM_SHARE * self.warm_peak) {
                    (true, true) => RISE_TIME_US,
                    (true, false) => RISE_TIME_FEW_WARM_US,
                    (false, _) => FALL_TIME_US,
                };
            let gain =
                if self.warm_rate_per_power > 0.0 { 1.0 - (-elapsed / time_constant).exp() } else { 1.0 };
            self.warm_rate_per_power += (observed - self.warm_rate_per_power) * gain;
        } else if self.warm_rate_per_power == 0.0 && power > 0.0 {
            // Before any warm server has been seen, assume that all servers, once warm, could just
            // serve the current calls.
            self.warm_rate_per_power = self.calls.per_us(now) / power;
        }
    }

    /// Returns the largest share of this sidecar's calls that may go to a server with this warmth
    /// and power.
    pub fn max_share(&self, now: i64, warmth: f64, power: f64) -> f64 {
        let calls = self.calls.per_us(now) * self.ramp.overload_span as f64;
        if warmth >= 1.0 || self.warm_rate_per_power <= 0.0 || calls <= 0.0 {
            return 1.0;
        }
        (RATE_SAFETY_FACTOR * self.own_budget(warmth, power) / calls).min(1.0)
    }

    /// Whether one more call to a server with this warmth and power fits this sidecar's part of the
    /// server's budget. In a large fleet that part is about one call, and only
    /// [`SlowStart::max_share`] limits it, on average over all sidecars.
    pub fn allows_call(&mut self, now: i64, server: u64, warmth: f64, power: f64) -> bool {
        let own_calls = RATE_SAFETY_FACTOR * self.own_budget(warmth, power);
        // The stated size of the fleet may be too large: the few sidecars left of a large fleet
        // carry its whole traffic, and their mean shares add up.
        if own_calls < MIN_COUNTED_BUDGET && crate::visibility(self.sidecars as usize) < 1.0 {
            return true;
        }
        let budget =
            own_calls + ALLOWANCE_FACTOR * random_allowance(own_calls * self.sidecars) / self.sidecars;
        self.fits_budget(now, server, warmth, budget.max(1.0))
    }

    /// Whether one more call fits the budget of all sidecars together. Beyond it, this sidecar
    /// alone would overload the server.
    pub fn fleet_allows_call(&mut self, now: i64, server: u64, warmth: f64, power: f64) -> bool {
        let fleet_calls = self.own_budget(warmth, power) * self.sidecars;
        self.fits_budget(now, server, warmth, fleet_calls + random_allowance(fleet_calls))
    }

    /// Returns one sidecar's part of the calls that a server tolerates within the span.
    fn own_budget(&self, warmth: f64, power: f64) -> f64 {
        self.ramp.fall_multiple * warmth * power * self.warm_rate_per_power * self.ramp.overload_span as f64
    }

    fn fits_budget(&mut self, now: i64, server: u64, warmth: f64, budget: f64) -> bool {
        if warmth >= 1.0 || self.warm_rate_per_power <= 0.0 {
            return true;
        }
        let Some(calls) = self.recent_calls.get_mut(&server) else { return true };
        while calls.front().is_some_and(|at| now - at > self.ramp.overload_span) {
            calls.pop_front();
        }
        calls.len() as f64 + 1.0 <= budget
    }
}
