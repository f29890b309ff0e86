//! Host limit on calls to targets that have just started.
//!
//! Beyond this limit the calls of this sidecar alone would overload the target, whatever the
//! decision module decides. The module itself keeps to this sidecar's part of the budget.

use super::guard::WithheldReason;
use super::{time, Host};
use roseproxy_decision::interface::{Readiness, ServerId};

/// Interval at which the rate of warm targets is observed (ms).
const OBSERVATION_INTERVAL_MS: f64 = 250.0;
/// Integer units per unit of power, in which power is summed.
const POWER_UNITS: f64 = 1e6;

impl Host {
    /// Returns the minimum share of its capacity that a target has, and its power.
    fn warmth(&self, now: f64, target: ServerId) -> Option<(f64, f64)> {
        let target = &self.members.get(&target)?.target;
        let age = target.started_at.map(|at| time::to_micros((now - at).max(0.0)));
        let warmth = age.map_or(1.0, |age| self.slow_start.ramp().warmth(age));
        Some((warmth, if target.power > 0.0 { target.power } else { 1.0 }))
    }

    /// Whether a target tolerates one more call.
    pub(super) fn check_slow_start(&mut self, now: f64, target: ServerId) -> Result<(), WithheldReason> {
        if now - self.power_observed_at >= OBSERVATION_INTERVAL_MS {
            self.power_observed_at = now;
            self.observe_warm_targets(now);
        }
        let Some((warmth, power)) = self.warmth(now, target) else { return Ok(()) };
        match self.slow_start.fleet_allows_call(time::to_micros(now), target.0, warmth, power) {
            true => Ok(()),
            false => Err(WithheldReason::SlowStart),
        }
    }

    /// Records a call to a target.
    pub(super) fn record_call(&mut self, now: f64, target: ServerId) {
        if let Some((warmth, _)) = self.warmth(now, target) {
            self.slow_start.record_call(time::to_micros(now), target.0, warmth);
        }
    }

    /// Records that a target answered a call.
    pub(super) fn record_answer(&mut self, now: f64, target: ServerId) {
        if self.warmth(now, target).is_some_and(|(warmth, _)| warmth >= 1.0) {
            self.slow_start.record_answer(time::to_micros(now));
        }
    }

    fn observe_warm_targets(&mut self, now: f64) {
        // Integers are summed because the result must not depend on the iteration order of a hash
        // table.
        let (mut warm_power, mut all_power) = (0_u64, 0_u64);
        for (id, member) in &self.members {
            if member.target.readiness != Readiness::Ready {
                continue;
            }
            let Some((warmth, power)) = self.warmth(now, *id) else { continue };
            let power = (power * POWER_UNITS) as u64;
            all_power = all_power.saturating_add(power);
            if warmth >= 1.0 {
                warm_power = warm_power.saturating_add(power);
            }
        }
        let [warm_power, all_power] = [warm_power, all_power].map(|units| units as f64 / POWER_UNITS);
        self.slow_start.observe_power(time::to_micros(now), warm_power, all_power);
    }
}
