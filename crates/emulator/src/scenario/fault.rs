//! The faults of a scenario, as its file states them.

use super::figures::figures;
use super::Range;
use serde::Deserialize;

figures! {
    /// A fault.
    Fault {
        /// Its kind.
        kind: FaultKind = FaultKind::Burst,
        /// Its begin (s).
        at_s: Range = Range::one(20.0),
        /// Its length (s).
        len_s: Range = Range::one(10.0),
        /// Its size, whose meaning depends on the kind.
        size: Range = Range::one(1.0),
        /// The share of the servers, sidecars or responses that it affects.
        part: Range = Range::one(0.3),
        /// The zone that it affects, counted from 0; drawn where absent.
        zone: Option<usize> = None,
        /// Whether lost servers are partitioned instead of reset.
        silent: bool = false,
        /// Whether the zone's sidecars are lost too.
        sidecars: bool = false,
    }
}

/// The kind of a fault; `size` and `part` are those of [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Traffic times `size`.
    Burst,
    /// `part` of the servers pause for `size` ms about every second.
    Pauses,
    /// A zone's servers are lost (and its sidecars, with `sidecars`); they come back cold.
    ZoneLoss,
    /// `part` of the servers are lost, in any zone; they come back cold.
    Vanish,
    /// `part` of the servers drain one after another and go.
    Shrink,
    /// Announcements to discovery take `size` seconds more.
    Stale,
    /// Discovery is down.
    DiscoveryDown,
    /// About `size` servers a minute are replaced, by turns under new ids and at the old address.
    Churn,
    /// `size` malformed requests a second at each sidecar.
    Rude,
    /// `part` of the responses are corrupted.
    Garble,
    /// The configuration is replaced and discovery moves, `size` times.
    Reload,
    /// `part` of the sidecars are restarted gracefully (SIGTERM), one after another.
    Restart,
    /// `part` of the sidecars are killed, and start again after `size` seconds.
    Kill,
    /// All servers restart at once under their ids, cold.
    ServersRestart,
    /// `part` of the servers work at 1/`size` of their speed.
    Slow,
}
