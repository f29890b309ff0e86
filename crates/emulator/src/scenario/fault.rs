//! What goes wrong on a scenario, as its file states it.

use super::figures::figures;
use super::Range;
use serde::Deserialize;

figures! {
    /// One thing that goes wrong.
    Fault {
        /// What.
        kind: FaultKind = FaultKind::Burst,
        /// When (s).
        at_s: Range = Range::one(20.0),
        /// For how long (s).
        len_s: Range = Range::one(10.0),
        /// How bad; its meaning depends on the kind.
        size: Range = Range::one(1.0),
        /// Share of the servers, sidecars or answers that it meets.
        part: Range = Range::one(0.3),
        /// The zone that it meets, counted from 0; drawn where absent.
        zone: Option<usize> = None,
        /// Whether what is lost goes silent, in place of being reset.
        silent: bool = false,
        /// Whether the zone's sidecars are lost too.
        sidecars: bool = false,
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Traffic times `size`.
    Burst,
    /// `part` of the servers stand still for `size` ms about every second.
    Pauses,
    /// A zone's servers are lost (and its sidecars, with `sidecars`); they come back cold.
    ZoneLoss,
    /// `part` of the servers are lost, wherever they stand; they come back cold.
    Vanish,
    /// `part` of the servers drain one after another and go.
    Shrink,
    /// The list runs `size` seconds further behind.
    Stale,
    /// Discovery is down.
    DiscoveryDown,
    /// About `size` servers a minute are replaced, by turns under new ids and at the old address.
    Churn,
    /// `size` bad clients a second at each sidecar.
    Rude,
    /// `part` of the answers are spoilt or bring more than belongs to them.
    Garble,
    /// The configuration is replaced and discovery moves, `size` times.
    Reload,
    /// Sidecars are restarted in order (SIGTERM), one after another, `part` of them.
    Restart,
    /// Sidecars are killed outright, `part` of them, and start again after `size` seconds.
    Kill,
    /// All servers restart at once under their ids, cold.
    ServersRestart,
    /// `part` of the servers work at 1/`size` of their speed.
    Slow,
}
