//! Groups of server parameters. Times are in ms, work is in ms of a standard core.

/// The loss of efficiency under many held requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thrashing {
    /// Loss of efficiency for each multiple of `threshold` beyond the first.
    pub loss: f64,
    /// Held requests per core above which efficiency falls.
    pub threshold: f64,
}

/// The warm-up of a started server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Share of the capacity at the start of the process.
    pub initial_share: f64,
    /// Time until it is warm.
    pub time: f64,
    /// Number of served requests until it is warm, if that is sooner; 0: by time only.
    pub requests: f64,
}

/// Short pauses, like those of a garbage collector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShortPauses {
    /// Mean time between pauses.
    pub interval: f64,
    /// Mean length of a pause.
    pub length: f64,
}

/// The connection table of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTable {
    /// Maximum number of connections.
    pub size: usize,
    /// Share of the capacity that a full table costs.
    pub full_cost: f64,
}

/// The cost of a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Handshake {
    /// Work of the server.
    pub work: f64,
    /// Network round trips.
    pub round_trips: f64,
}

/// The handling of probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probes {
    /// Work of a probe.
    pub work: f64,
    /// Maximum number of concurrent probes; further ones fail.
    pub limit: usize,
    /// Whether probes wait in the queue like requests.
    pub queued: bool,
}

/// The load reports of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reporting {
    /// Interval of refreshes of the figures.
    pub period: f64,
    /// Delay until refreshed figures appear in reports.
    pub delay: f64,
    /// Coefficient of variation of the noise.
    pub noise: f64,
}

/// The cache of recently requested keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyCache {
    /// Share of the work that a cached key saves.
    pub saving: f64,
    /// Time for which a key is cached.
    pub lifetime: f64,
    /// Maximum number of cached keys.
    pub size: usize,
}
