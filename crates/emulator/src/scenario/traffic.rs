//! The tables of a scenario for the traffic and its environment: load, classes, tenants, clients, discovery,
//! network and limits.

use super::figures::figures;
use super::Range;
use serde::{Deserialize, Serialize};

figures! {
    /// The load that clients generate.
    Load {
        /// Requested work as a share of the capacity of the warm fleet, ignoring savings by cached keys.
        of_capacity: Range = Range::between(0.3, 0.45),
        /// Flows per second, used instead of `of_capacity`; the work per flow is unaffected.
        rate: Option<f64> = None,
        /// Amplitude of the slow swing of the rate over the scenario, as a share of the rate.
        swing: Range = Range::between(0.1, 0.3),
        /// Skew of the zones' shares of the traffic (0: equal shares).
        zone_skew: Range = Range::between(0.25, 0.6),
        /// Coefficient of variation of the sidecars' shares of the traffic.
        stream_cv: Range = Range::between(0.6, 1.4),
        /// Number of distinct keys; 0 for none.
        keys: Range = Range::between(200.0, 440.0),
        /// Zipf exponent of the popularity of the keys.
        key_zipf: Range = Range::between(0.9, 1.1),
        /// Factor on the worth of traffic beyond a tenant's quota.
        over_share_worth: f64 = 0.1,
        /// Share of the fleet's capacity that is divided into the tenants' quotas.
        quota_of_capacity: Range = Range::between(0.79, 0.94),
    }
}

figures! {
    /// A request class.
    Class {
        /// The name, which is also the request path.
        name: String = "quote".into(),
        /// Share of the flows.
        share: f64 = 1.0,
        /// Mean work of a flow (ms of a standard core).
        work_ms: Range = Range::between(90.0, 160.0),
        /// Coefficient of variation of the work.
        cv: Range = Range::between(0.3, 0.67),
        /// Coefficient of variation of the work between the attempts of one flow.
        attempt_noise: Range = Range::between(0.06, 0.5),
        /// A response within this time earns the worth (ms).
        aim_ms: f64 = 600.0,
        /// Time after which a client gives up a flow, including all tries (ms).
        deadline_ms: f64 = 1500.0,
        /// Worth of a flow.
        worth: f64 = 2.0,
        /// The effect of repeating a request.
        effect: Effect = Effect::Safe,
        /// Which servers deduplicate keyed work among themselves: `all`, those of a `zone` or those of a `cell`.
        group: Group = Group::Cell,
        /// Time after the first run during which they do so (ms).
        window_ms: f64 = 4000.0,
    }
}

/// The effect of repeating a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// None: it may be repeated.
    Safe,
    /// Harmful: it must never run twice.
    Unsafe,
    /// None within a [`Group`] of servers and a time window, where repeats are deduplicated by key; harmful
    /// otherwise.
    Keyed,
}

/// The servers that deduplicate keyed work among themselves.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

figures! {
    /// A tenant that shares the fleet.
    Tenant {
        /// The name.
        name: String = "all".into(),
        /// Share of the quotas.
        share: f64 = 1.0,
        /// Traffic as a multiple of that share.
        usage: Range = Range::between(0.7, 1.1),
    }
}

figures! {
    /// Behaviour of the clients.
    Clients {
        /// Maximum number of retries after the first try.
        retries: Range = Range::between(3.0, 4.99),
        /// Timeout of a try as a share of the class's `deadline_ms`.
        try_share: Range = Range::between(0.4, 0.55),
        /// Back-off between tries (ms).
        backoff_ms: Range = Range::between(0.0, 200.0),
        /// Share of clients that honour `Retry-After`.
        honour: Range = Range::between(0.0, 0.36),
        /// Tolerance for responses after the timeout of a try (ms).
        slack_ms: f64 = 50.0,
    }
}

figures! {
    /// Behaviour of discovery.
    Discovery {
        /// Delay until an announced change appears in the list (s).
        notice_s: Range = Range::between(0.9, 4.4),
        /// Delay until a server that failed without an announcement is removed from the list (s).
        silent_notice_s: Range = Range::between(7.7, 13.0),
        /// Delay until a started server appears in the list (s).
        add_s: Range = Range::between(1.1, 2.3),
        /// Calls answered per second, one after another.
        calls_per_s: Range = Range::between(40.0, 70.0),
        /// Calls that would wait longer than this fail (ms).
        timeout_ms: f64 = 2000.0,
    }
}

figures! {
    /// Behaviour of the network.
    Network {
        /// One-way delay within a zone (ms).
        same_ms: Range = Range::between(0.13, 0.34),
        /// One-way delay between zones (ms).
        cross_ms: Range = Range::between(0.42, 0.78),
        /// Coefficient of variation of the delays.
        jitter: Range = Range::between(0.06, 0.32),
    }
}

figures! {
    /// Limits and permitted features of the sidecars.
    Limits {
        /// Maximum number of open descriptors of a sidecar.
        sockets: usize = 256,
        /// Maximum memory of a sidecar (MB); checked where sidecars are real processes.
        memory_mb: f64 = 32.0,
        /// Maximum number of attempts for one request.
        max_attempts: usize = 3,
        /// Time after the notice of a drain from which no new attempt may be sent to the server (ms).
        drain_grace_ms: f64 = 1500.0,
        /// Tolerance added to every time limit (ms).
        slack_ms: f64 = 50.0,
        /// Time after which a change in the registry counts as known to every sidecar (ms).
        told_within_ms: f64 = 6000.0,
        /// A cold server fails if it is sent more than this multiple of its current capacity.
        fall_multiple: f64 = 4.0,
        /// Time window over which that is measured (ms).
        fall_ms: f64 = 1500.0,
        /// Maximum `Retry-After` of a rejection (ms); 0: the header is not allowed.
        max_retry_after_ms: f64 = 1000.0,
        /// Whether probes are allowed.
        probes: bool = true,
        /// Whether a second attempt may be sent while one is open.
        second_copies: bool = true,
        /// Whether open attempts may be cancelled.
        cancel: bool = true,
    }
}
