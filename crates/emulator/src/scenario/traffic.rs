//! The traffic of a scenario and what it passes: load, classes, tenants, clients, discovery, network, limits.

use super::figures::figures;
use super::Range;
use serde::{Deserialize, Serialize};

figures! {
    /// What clients ask for.
    Load {
        /// Work asked for as a share of the warm fleet's capacity, without regard to keys met lately.
        of_capacity: Range = Range::two(0.3, 0.45),
        /// Requests a second, in place of that; the work of each stays.
        rate: Option<f64> = None,
        /// Slow swing of the rate over the scenario, as a share.
        swing: Range = Range::two(0.1, 0.3),
        /// How unlike the zones' shares of the traffic are (0: alike).
        zone_skew: Range = Range::two(0.25, 0.6),
        /// How unlike the sidecars' shares are.
        stream_cv: Range = Range::two(0.6, 1.4),
        /// Distinct keys; 0 for none.
        keys: Range = Range::two(200.0, 440.0),
        /// Exponent of their popularity.
        key_zipf: Range = Range::two(0.9, 1.1),
        /// What traffic beyond a tenant's share is worth.
        over_share_worth: f64 = 0.1,
        /// Share of the fleet's capacity that the tenants' shares divide.
        quota_of_capacity: Range = Range::two(0.79, 0.94),
    }
}

figures! {
    /// A request class.
    Class {
        /// Its name, the first part of the path.
        name: String = "quote".into(),
        /// Share of the requests.
        share: f64 = 1.0,
        /// Mean work (ms of a standard core).
        work_ms: Range = Range::two(90.0, 160.0),
        /// Spread of the work.
        cv: Range = Range::two(0.3, 0.67),
        /// Spread of the work of one attempt against another of the same request.
        attempt_noise: Range = Range::two(0.06, 0.5),
        /// An answer within this time earns its worth (ms).
        aim_ms: f64 = 600.0,
        /// How long a client waits over all its tries (ms).
        deadline_ms: f64 = 1500.0,
        /// Worth of a request.
        worth: f64 = 2.0,
        /// Whether it may run again.
        effect: Effect = Effect::Safe,
        /// Who drops a repeat of keyed work: `all` servers, those of a `zone` or of a `cell`.
        group: Group = Group::Cell,
        /// For how long after the first run (ms).
        window_ms: f64 = 4000.0,
    }
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing more.
    Safe,
    /// Harm: it must never run twice.
    Unsafe,
    /// Nothing more inside a group of servers and for a while, which drop it by its key; else harm.
    Keyed,
}

/// Servers that drop each other's repeats of keyed work.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

figures! {
    /// Who shares the fleet.
    Tenant {
        /// Its name.
        name: String = "all".into(),
        /// Its share.
        share: f64 = 1.0,
        /// How much of it is used.
        usage: Range = Range::two(0.7, 1.1),
    }
}

figures! {
    /// How clients behave.
    Clients {
        /// Tries after the first.
        retries: Range = Range::two(3.0, 4.99),
        /// What one try may take of the class's time.
        try_share: Range = Range::two(0.4, 0.55),
        /// Wait between tries (ms).
        backoff_ms: Range = Range::two(0.0, 200.0),
        /// Share of clients that honour `Retry-After`.
        honour: Range = Range::two(0.0, 0.36),
        /// How much later than a try's time its answer may still come (ms).
        slack_ms: f64 = 50.0,
    }
}

figures! {
    /// How discovery behaves.
    Discovery {
        /// How late the list tells of what it is told (s).
        notice_s: Range = Range::two(0.9, 4.4),
        /// How late it tells of what ended without a word (s).
        silent_notice_s: Range = Range::two(7.7, 13.0),
        /// How late it tells of a start (s).
        add_s: Range = Range::two(1.1, 2.3),
        /// Calls answered a second, in turn.
        calls_per_s: Range = Range::two(40.0, 70.0),
        /// A call that would wait longer fails (ms).
        timeout_ms: f64 = 2000.0,
    }
}

figures! {
    /// How the network behaves.
    Network {
        /// One way within a zone (ms).
        same_ms: Range = Range::two(0.13, 0.34),
        /// One way between zones (ms).
        cross_ms: Range = Range::two(0.42, 0.78),
        /// Spread of one delay against another.
        jitter: Range = Range::two(0.06, 0.32),
    }
}

figures! {
    /// What sidecars may do and hold.
    Limits {
        /// Descriptors of a sidecar.
        sockets: usize = 256,
        /// Memory of a sidecar (MB), held against a real one's.
        memory_mb: f64 = 32.0,
        /// Attempts of one request.
        max_attempts: usize = 3,
        /// Nothing new may go to a server this long after word of its drain (ms).
        drain_grace_ms: f64 = 1500.0,
        /// Every time limit is so much longer (ms).
        slack_ms: f64 = 50.0,
        /// Discovery's word counts as told after this at the latest (ms).
        told_within_ms: f64 = 6000.0,
        /// A cold server sent more than this multiple of what it can do falls over.
        fall_multiple: f64 = 4.0,
        /// The window of that (ms).
        fall_ms: f64 = 1500.0,
        /// The longest wait that a refusal may advise (ms); 0: none may.
        max_retry_after_ms: f64 = 1000.0,
        /// Whether probes are allowed.
        probes: bool = true,
        /// Whether a second copy may be out.
        second_copies: bool = true,
        /// Whether an attempt may be called off.
        cancel: bool = true,
    }
}
