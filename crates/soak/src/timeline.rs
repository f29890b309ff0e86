//! What the soak test did to the processes, and when. The checker compares the records with it. All times are in ms.

/// Event in the life of a sidecar process.
#[derive(Clone, Debug, PartialEq)]
pub enum SidecarEvent {
    /// The process was started.
    Started,
    /// Its readiness check succeeded.
    Ready,
    /// SIGTERM was sent.
    SigtermSent,
    /// The process exited by itself with this status; `expected` if it had been told to stop.
    Exited { expected: bool, status: String },
    /// The process was not ready within the start timeout.
    NotReadyInTime,
    /// The process was still running when the platform's SIGKILL was due.
    KilledAfterTimeout,
    /// SIGKILL was sent without a SIGTERM before it.
    KilledAbruptly,
}

/// Change of an endpoint's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// Its process was started, cold.
    Started,
    /// The list shows it as draining or gone.
    LeftService,
    /// The list shows it in service again.
    ReturnedToService,
}

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Time at which it began.
    pub started_at: f64,
    /// Time at which it ended.
    pub ended_at: f64,
    /// The fault, as the report names it.
    pub description: String,
}

/// Everything that the soak test did in one run.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Sidecar events: time, sidecar, event.
    pub sidecars: Vec<(f64, usize, SidecarEvent)>,
    /// Endpoint events: time, endpoint, event.
    pub endpoints: Vec<(f64, usize, EndpointEvent)>,
    /// Start and end of each period in which discovery was unreachable.
    pub discovery_down: Vec<(f64, f64)>,
    /// Injected faults.
    pub faults: Vec<InjectedFault>,
    /// Final counters of the sidecars: sidecar, name, value.
    pub counters: Vec<(usize, String, u64)>,
}
