//! What a server is given to do, and what it makes of it.

/// What a server is given to do.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of its own.
    pub id: u64,
    /// Work (ms of a standard core), without what its key saves.
    pub work: f64,
    /// Its key.
    pub key: Option<u64>,
    /// Whether it fails in the end.
    pub error: bool,
}

/// Why a server takes a job not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnedAway {
    /// Its waiting room is full.
    Full,
    /// It drains.
    Draining,
    /// It is not there.
    Down,
}

/// What ended at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// The job's number.
    pub id: u64,
    /// When.
    pub at: f64,
    /// Whether it failed.
    pub error: bool,
}
