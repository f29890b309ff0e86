//! The scheduled faults.

use super::random::{Draws, Purpose};
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::Rng;

/// A fault with its drawn parameters.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Its kind.
    pub kind: FaultKind,
    /// Its begin (ms since the scenario's).
    pub from: f64,
    /// Its end (ms since the scenario's begin).
    pub until: f64,
    /// Its size, whose meaning depends on the kind.
    pub size: f64,
    /// The share of servers, sidecars or responses that it affects.
    pub part: f64,
    /// The zone that it affects.
    pub zone: usize,
    /// Whether lost servers are partitioned instead of reset.
    pub silent: bool,
    /// Whether the zone's sidecars are lost too.
    pub sidecars: bool,
    /// The servers or sidecars in the drawn order in which it affects them.
    pub order: Vec<usize>,
}

/// Draws the scenario's faults, in the order of the file.
pub(super) fn faults(scenario: &Scenario, seed: u64, servers: usize, sidecars: usize) -> Vec<ScheduledFault> {
    let mut d = Draws::new(seed, Purpose::Faults);
    let draw = |t: &Fault| {
        let from = d.of(t.at_s) * 1e3;
        let until = from + d.of(t.len_s) * 1e3;
        let of_sidecars = matches!(t.kind, FaultKind::Restart | FaultKind::Kill | FaultKind::Rude);
        let order = d.order(if of_sidecars { sidecars } else { servers });
        let drawn = d.0.random_range(0..scenario.fleet.zones.len());
        ScheduledFault {
            kind: t.kind,
            from,
            until,
            size: d.of(t.size),
            part: d.of(t.part),
            zone: t.zone.unwrap_or(drawn),
            silent: t.silent,
            sidecars: t.sidecars,
            order,
        }
    };
    scenario.faults.iter().map(draw).collect()
}
