//! The scheduled faults.

use super::random::{Draws, Purpose};
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::Rng;

/// A fault with its drawn parameters.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// The kind.
    pub kind: FaultKind,
    /// Start (ms since the start of the scenario).
    pub from: f64,
    /// End (ms since the start of the scenario).
    pub until: f64,
    /// Size; its meaning depends on the kind.
    pub size: f64,
    /// Share of the servers, sidecars or responses that are affected.
    pub part: f64,
    /// The affected zone.
    pub zone: usize,
    /// Whether lost servers are partitioned (hang) instead of stopped (reset connections).
    pub silent: bool,
    /// Whether the sidecars of the zone are lost too.
    pub sidecars: bool,
    /// The servers or sidecars in the order in which they are affected; the first `part` of them are.
    pub order: Vec<usize>,
}

/// Draws the scenario's faults, in the order of the file.
pub(super) fn draw_faults(
    scenario: &Scenario,
    seed: u64,
    servers: usize,
    sidecars: usize,
) -> Vec<ScheduledFault> {
    let mut draws = Draws::new(seed, Purpose::Faults);
    let draw = |t: &Fault| {
        let from = draws.draw(t.at_s) * 1e3;
        let until = from + draws.draw(t.len_s) * 1e3;
        let affects_sidecars = matches!(t.kind, FaultKind::Restart | FaultKind::Kill | FaultKind::Rude);
        let order = draws.permutation(if affects_sidecars { sidecars } else { servers });
        let drawn_zone = draws.rng.random_range(0..scenario.fleet.zones.len());
        ScheduledFault {
            kind: t.kind,
            from,
            until,
            size: draws.draw(t.size),
            part: draws.draw(t.part),
            zone: t.zone.unwrap_or(drawn_zone),
            silent: t.silent,
            sidecars: t.sidecars,
            order,
        }
    };
    scenario.faults.iter().map(draw).collect()
}
