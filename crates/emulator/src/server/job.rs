//! The jobs of a server: requests, rejections and completions.

/// A unit of work for a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of its own.
    pub id: u64,
    /// Work (ms of a standard core) without the saving by a cached key.
    pub work: f64,
    /// Its key.
    pub key: Option<u64>,
    /// Whether it ends with an error.
    pub error: bool,
}

/// Why a server rejects a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnedAway {
    /// Its queue is full.
    Full,
    /// It is draining.
    Draining,
    /// It is down.
    Down,
}

/// The completion of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done {
    /// The job's number.
    pub id: u64,
    /// When it ended (ms).
    pub at: f64,
    /// Whether it failed.
    pub error: bool,
}
