//! Troubles as a draw has them.

use super::random::{Draws, Purpose};
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::Rng;

/// A fault with its figures drawn.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// What.
    pub kind: FaultKind,
    /// From when until when (ms).
    pub from: f64,
    /// Its end (ms).
    pub until: f64,
    /// How bad.
    pub size: f64,
    /// Share that it meets.
    pub part: f64,
    /// The zone that it meets.
    pub zone: usize,
    /// Whether the zone goes silent.
    pub silent: bool,
    /// Whether sidecars are lost too.
    pub sidecars: bool,
    /// Whom it meets, in an order drawn for it.
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
