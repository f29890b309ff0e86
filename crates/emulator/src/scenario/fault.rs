//! The faults of a scenario file.

use super::figures::figures;
use super::Range;
use serde::Deserialize;

figures! {
    /// A fault (`[[trouble]]` in the file).
    Fault {
        /// The kind.
        kind: FaultKind = FaultKind::Burst,
        /// Start, since the start of the scenario (s).
        at_s: Range = Range::fixed(20.0),
        /// Duration (s).
        len_s: Range = Range::fixed(10.0),
        /// Size; its meaning depends on the kind.
        size: Range = Range::fixed(1.0),
        /// Share of the servers, sidecars or responses that are affected.
        part: Range = Range::fixed(0.3),
        /// The affected zone, counted from 0; drawn if absent.
        zone: Option<usize> = None,
        /// Whether lost servers are partitioned (hang) instead of stopped (reset connections).
        silent: bool = false,
        /// Whether the sidecars of the zone are lost too.
        sidecars: bool = false,
    }
}

/// The kind of a fault; `size`, `part` and `sidecars` are fields of [`Fault`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The traffic is multiplied by `size`.
    Burst,
    /// `part` of the servers pause for `size` ms every 0.8 to 2 s.
    Pauses,
    /// The servers of a zone are lost, with `sidecars` its sidecars too; the servers come back cold.
    ZoneLoss,
    /// `part` of the servers are lost, in any zone; they come back cold.
    Vanish,
    /// `part` of the servers drain one after another and are removed.
    Shrink,
    /// Announcements to discovery take effect `size` seconds later.
    Stale,
    /// Discovery is unavailable.
    DiscoveryDown,
    /// About `size` servers per minute are replaced by ones with new ids, alternately at a new address and at
    /// the old one.
    Churn,
    /// Clients send `size` malformed requests per second to each of `part` of the sidecars.
    Rude,
    /// `part` of the responses are corrupted.
    Garble,
    /// The configuration is replaced and discovery moves to another address, `size` times.
    Reload,
    /// `part` of the sidecars are restarted gracefully (SIGTERM), one after another.
    Restart,
    /// `part` of the sidecars are killed; each starts again after `size` seconds.
    Kill,
    /// All servers stop at the same time and restart cold under the same ids.
    ServersRestart,
    /// `part` of the servers run at 1/`size` of their speed.
    Slow,
}
