//! What the soak test itself did, and when: what the judge holds the records against. All times in ms.

/// An event in the life of a sidecar's process.
#[derive(Clone, Debug, PartialEq)]
pub enum SidecarEvent {
    /// It was started.
    Started,
    /// It said that it was ready.
    Ready,
    /// It was sent SIGTERM.
    Terminated,
    /// It has exited by itself, with this status.
    Exited { expected: bool, status: String },
    /// It did not become ready in time.
    NeverReady,
    /// It was still there when SIGKILL came.
    Killed,
    /// It was sent SIGKILL without a word before.
    KilledOutright,
}

/// A change of an endpoint's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// Its process has started, cold.
    Started,
    /// The list says that it drains or is gone.
    Leaves,
    /// The list says that it is in service again.
    Returns,
}

/// A fault that was played.
#[derive(Clone, Debug)]
pub struct Played {
    /// When it began.
    pub from: f64,
    /// When it ended.
    pub until: f64,
    /// What it was.
    pub what: String,
}

/// All of that.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Time, sidecar, event.
    pub sidecars: Vec<(f64, usize, SidecarEvent)>,
    /// Time, endpoint, event.
    pub endpoints: Vec<(f64, usize, EndpointEvent)>,
    /// Spans in which discovery could not be reached.
    pub discovery_down: Vec<(f64, f64)>,
    /// The faults.
    pub faults: Vec<Played>,
    /// What sidecars said of themselves at the end: sidecar, counter, value.
    pub counters: Vec<(usize, String, u64)>,
}
