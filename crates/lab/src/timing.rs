//! What a run took.

use serde::Serialize;

/// What a run took; the one part of a result that differs from run to run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timing {
    /// Wall time (s).
    pub wall_s: f64,
    /// Length of the scenario over the wall time.
    pub speed_up: f64,
    /// CPU time of this process or, on real sockets, of all sidecars (s).
    pub cpu_s: f64,
    /// Most memory of this process or, on real sockets, of one sidecar (MB).
    pub memory_mb: f64,
    /// Whether it was run on real sockets.
    pub real: bool,
}
