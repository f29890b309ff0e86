//! Time and memory that a run took.

use serde::Serialize;

/// Time and memory that a run took: the only part of a result that differs between equal runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timing {
    /// Wall time (s).
    pub wall_s: f64,
    /// Length of the scenario divided by the wall time.
    pub speed_up: f64,
    /// CPU time of this process or, on real sockets, of all sidecars (s).
    pub cpu_s: f64,
    /// Peak memory of this process or, on real sockets, of one sidecar (MB).
    pub memory_mb: f64,
    /// Whether the scenario ran on real sockets.
    pub real: bool,
}
