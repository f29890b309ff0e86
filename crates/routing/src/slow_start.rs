//! The host's bound on calls to endpoints that have just started: beyond it own calls alone push one over, however the
//! module decides. The module keeps to this sidecar's part of the budget by itself.

use super::guard::Withheld;
use super::{time, Host};
use roseproxy_decision::interface::{Readiness, ServerId};

/// How often what warm endpoints serve is taken in (ms).
const OBSERVED: f64 = 250.0;
/// The fineness in which power is added up.
const POWER_UNITS: f64 = 1e6;

impl Host {
    /// Share of its capacity that an endpoint has at least, and its power.
    fn warmth(&self, now: f64, endpoint: ServerId) -> Option<(f64, f64)> {
        let target = &self.members.get(&endpoint)?.target;
        let age = target.started_at.map(|at| time::to_micros((now - at).max(0.0)));
        let warmth = age.map_or(1.0, |age| self.slow_start.ramp().warmth(age));
        Some((warmth, if target.power > 0.0 { target.power } else { 1.0 }))
    }

    /// Whether an endpoint bears one more call.
    pub(super) fn bears_one_more(&mut self, now: f64, endpoint: ServerId) -> Result<(), Withheld> {
        if now - self.observed_at >= OBSERVED {
            self.observed_at = now;
            self.observe_warm_endpoints(now);
        }
        let Some((warmth, power)) = self.warmth(now, endpoint) else { return Ok(()) };
        match self.slow_start.fleet_allows_call(time::to_micros(now), endpoint.0, warmth, power) {
            true => Ok(()),
            false => Err(Withheld::SlowStart),
        }
    }

    /// A call is sent to an endpoint.
    pub(super) fn note_call(&mut self, now: f64, endpoint: ServerId) {
        if let Some((warmth, _)) = self.warmth(now, endpoint) {
            self.slow_start.record_call(time::to_micros(now), endpoint.0, warmth);
        }
    }

    /// An endpoint has answered a call.
    pub(super) fn note_served(&mut self, now: f64, endpoint: ServerId) {
        if self.warmth(now, endpoint).is_some_and(|(warmth, _)| warmth >= 1.0) {
            self.slow_start.record_answer(time::to_micros(now));
        }
    }

    fn observe_warm_endpoints(&mut self, now: f64) {
        // In whole numbers, as nothing may depend on the order of a hash table.
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
