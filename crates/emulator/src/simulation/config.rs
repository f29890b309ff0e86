//! The configuration of a sidecar, in the platform's JSON form.

use super::Simulation;
use crate::fabric::Fabric;
use crate::scenario::{Class, Effect, Limits, Tenant};
use crate::schedule::{hashed, Schedule};
use serde_json::{json, Value};

/// Key of the draws of sidecar seeds. Changing it changes the results of every seed.
const DRAW_SIDECAR_SEED: u64 = 43;

/// Converts milliseconds to whole microseconds.
fn micros(millis: f64) -> i64 {
    (millis * 1e3).round() as i64
}

impl<F: Fabric> Simulation<F> {
    /// The configuration of a sidecar for its start number `start`, counted from 0.
    pub fn config(&self, sidecar: usize, start: u64) -> Value {
        let schedule = &self.schedule;
        let limits = &schedule.scenario.limits;
        let moves = self.discovery.registry.state.borrow().moves;
        let seed = (hashed(schedule.seed, &[DRAW_SIDECAR_SEED, sidecar as u64, start]) * (1_u64 << 53) as f64)
            as u64;
        json!({
            "name": schedule.sidecars[sidecar].name,
            "listen": self.environment.addresses.listen(sidecar).to_string(),
            "discovery": self.environment.addresses.discovery(sidecar, moves).to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": self.discovery.list_json(sidecar, None),
            "settings": settings(schedule, sidecar),
        })
    }
}

/// The settings: fleet, traffic, limits and obligations.
fn settings(schedule: &Schedule, sidecar: usize) -> Value {
    let scenario = &schedule.scenario;
    let classes: Vec<Value> = scenario.classes.iter().map(class_settings).collect();
    let customers: Vec<Value> = scenario.tenants.iter().zip(&schedule.quotas).map(tenant_settings).collect();
    let how = if scenario.server.report_in_answers { "inline" } else { "on_probe" };
    json!({
        "fleet_size": schedule.sidecars.len(),
        "locality": scenario.fleet.zones[schedule.sidecars[sidecar].zone],
        "discovery": "on_request",
        "request_classes": classes,
        "customers": customers,
        "over_share_worth": scenario.load.over_share_worth,
        "report": {"how": how, "names": ["active", "waiting", "cpu"]},
        "limits": limit_settings(&scenario.limits, scenario.server.idle_s.low),
        "obligations": obligation_settings(schedule),
        "family_info": {"warm_keys": scenario.load.keys.high > 0.0},
        "prices": {"probe": 0.01, "cross_zone": 0.03, "waste": 0.04, "handshake": 0.02},
        "scoring_mix": {"worst_class": 0.2},
    })
}

fn class_settings(class: &Class) -> Value {
    let effect = match class.effect {
        Effect::Safe => "retryable",
        Effect::Unsafe => "fragile",
        Effect::Keyed => "dedup",
    };
    json!({
        "name": class.name,
        "aim": micros(class.aim_ms),
        "give_up": micros(class.deadline_ms),
        "worth": class.worth,
        "late_worth": 0.0,
        "effect": effect,
        "group": class.group,
        "window": micros(class.window_ms),
    })
}

fn tenant_settings((tenant, quota): (&Tenant, &f64)) -> Value {
    json!({"name": tenant.name, "quota_per_s": quota})
}

/// The features and limits of a sidecar; `idle_s` is the shortest idle timeout of the servers' connections (s).
fn limit_settings(limits: &Limits, idle_s: f64) -> Value {
    json!({
        "probes": limits.probes,
        "cancel": limits.cancel,
        "second_copies": limits.second_copies,
        "max_attempts": limits.max_attempts,
        "retry_after": limits.max_retry_after_ms > 0.0,
        "max_retry_after": micros(limits.max_retry_after_ms),
        "conn_idle": micros(idle_s * 1e3),
        "connect_timeout": 250_000,
    })
}

/// The obligations of a sidecar and the warm-up of servers that they depend on.
fn obligation_settings(schedule: &Schedule) -> Value {
    let limits = &schedule.scenario.limits;
    let warm_ups = schedule.servers.iter().map(|s| s.warm_up);
    json!({
        "drain_grace": micros(limits.drain_grace_ms),
        "must_ask_in": 10_000_000,
        "grace_to_answer": 50_000,
        "fall_multiple": limits.fall_multiple,
        "cold_from": warm_ups.clone().map(|c| c.initial_share).fold(1.0, f64::min),
        "warm_up": micros(warm_ups.map(|c| c.time).fold(0.0, f64::max)),
    })
}
