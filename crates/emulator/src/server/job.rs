//! Jobs of a server, their rejection and their completion.

/// A unit of work for a server: a request or a queued probe.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Unique id of the job at its server.
    pub id: u64,
    /// Work (ms of a standard core), without the saving by a cached key.
    pub work: f64,
    /// The cache key, if any.
    pub key: Option<u64>,
    /// Whether it will fail with an error.
    pub error: bool,
}

/// Why a server rejects a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full.
    Full,
    /// The server is draining.
    Draining,
    /// The server is down.
    Down,
}

/// The completion of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// The id of the job.
    pub id: u64,
    /// When it ended (ms).
    pub at: f64,
    /// Whether it failed with an error.
    pub error: bool,
}
