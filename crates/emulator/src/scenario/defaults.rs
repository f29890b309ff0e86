//! Default values of the fields of a scenario.

use super::{Class, Effect, Kind, Range, Tenant};

pub(super) fn seed() -> u64 {
    1
}

pub(super) fn length_s() -> f64 {
    60.0
}

pub(super) fn kinds() -> Vec<Kind> {
    vec![
        Kind { name: "fast".into(), share: 0.6, speed: Range::between(1.5, 2.1), ..Kind::default() },
        Kind {
            name: "slow".into(),
            share: 0.4,
            speed: Range::between(0.77, 1.0),
            cold_s: Range::between(10.0, 18.0),
            ..Kind::default()
        },
    ]
}

pub(super) fn classes() -> Vec<Class> {
    vec![
        Class { share: 0.6, ..Class::default() },
        Class {
            name: "place-order".into(),
            share: 0.4,
            work_ms: Range::between(76.0, 140.0),
            aim_ms: 500.0,
            deadline_ms: 2000.0,
            worth: 8.0,
            effect: Effect::Unsafe,
            ..Class::default()
        },
    ]
}

pub(super) fn tenants() -> Vec<Tenant> {
    let tenant = |name: &str, share| Tenant { name: name.into(), share, ..Tenant::default() };
    vec![tenant("east", 0.75), tenant("rambla", 0.13), tenant("salto", 0.12)]
}
