//! The servers of a scenario: how many, of which kinds, and what holds for all of them.

use super::figures::figures;
use super::Range;
use serde::Deserialize;

figures! {
    /// Sizes and places.
    Fleet {
        /// Config servers.
        servers: usize = 10,
        /// Sidecars, each beside an application of its own.
        sidecars: usize = 6,
        /// Data centres by name.
        zones: Vec<String> = ["north", "middle", "south"].map(String::from).to_vec(),
        /// How unlike the zones' shares of servers are (0: alike).
        zone_skew: Range = Range::two(0.1, 0.4),
        /// Servers that share a cell.
        cell_size: usize = 5,
        /// Spread of the sizes that the list states, as a share of the true one.
        size_noise: Range = Range::two(0.15, 0.35),
    }
}

figures! {
    /// A machine kind.
    Kind {
        /// Its name.
        name: String = "m".into(),
        /// Share of the fleet.
        share: f64 = 1.0,
        /// Cores.
        cores: f64 = 2.0,
        /// Speed of a core compared with the standard one.
        speed: Range = Range::two(1.0, 1.5),
        /// Spread of speeds within the kind.
        speed_cv: Range = Range::two(0.05, 0.25),
        /// Requests in work at a time, a core.
        slots_per_core: Range = Range::two(4.0, 12.0),
        /// Requests that wait beyond that, a core.
        queue_per_core: Range = Range::two(27.0, 50.0),
        /// Loss of efficiency for each `thrash_at` held a core beyond the first.
        thrash: Range = Range::two(0.12, 0.25),
        /// Requests held a core from which on efficiency falls.
        thrash_at: Range = Range::two(6.0, 13.0),
        /// Share of its capacity that a started server begins with.
        cold_from: Range = Range::two(0.12, 0.28),
        /// Time after which it is warm at the latest (s).
        cold_s: Range = Range::two(10.0, 23.0),
        /// Requests after which it is warm, if that is sooner (0: by time only).
        warm_requests: Range = Range::one(150.0),
        /// Seconds between short pauses, and their length (ms); 0 ms for none.
        pause_every_s: Range = Range::two(3.0, 11.0),
        /// Length of a short pause (ms).
        pause_ms: Range = Range::two(0.0, 100.0),
        /// Share of requests answered with an error.
        error_rate: Range = Range::two(0.0, 0.002),
        /// Which work is dropped when its sidecar hangs up: `none`, `queued` or `all`.
        cancel: Cancel = Cancel::None,
    }
}

/// What a hang-up drops.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Cancel {
    /// Nothing: what has come runs.
    None,
    /// What still waits.
    Queued,
    /// What is in work too.
    All,
}

figures! {
    /// What holds for all servers.
    ServerFigures {
        /// Connections accepted, a core.
        conns_per_core: Range = Range::two(600.0, 900.0),
        /// Capacity that a full connection table takes.
        full_tax: Range = Range::two(0.17, 0.4),
        /// Work of a new connection (ms of a standard core).
        handshake_ms: Range = Range::two(1.8, 3.0),
        /// Round trips before the first request on it.
        handshake_rtts: Range = Range::two(2.0, 3.0),
        /// Idle time after which the server closes a connection (s).
        idle_s: Range = Range::one(5.0),
        /// Work of a probe (ms of a standard core).
        probe_ms: Range = Range::two(0.32, 0.64),
        /// Probes answered at a time, a core.
        probes_per_core: Range = Range::two(4.0, 9.0),
        /// Whether a probe waits in the queue like a request.
        probe_deep: bool = false,
        /// How often the figures of a report are taken anew (ms).
        report_period_ms: Range = Range::two(54.0, 200.0),
        /// How old they are when they are first seen (ms).
        report_delay_ms: Range = Range::two(2.0, 120.0),
        /// Spread of their noise.
        report_noise: Range = Range::two(0.05, 0.19),
        /// Whether every answer brings a report, and not only probes.
        report_in_answers: bool = false,
        /// Share of its work that a request of a key met lately saves.
        key_gain: Range = Range::two(0.37, 0.7),
        /// How long a key counts as met lately (s).
        key_s: Range = Range::two(2.3, 11.0),
        /// Keys remembered, a core.
        keys_per_core: Range = Range::two(4.6, 9.2),
        /// Requests waiting a core that crowd a server; 0: it never turns slow.
        choke_at: Range = Range::two(4.0, 7.0),
        /// For how long they must wait until it turns slow (s).
        choke_over_s: Range = Range::two(1.5, 2.5),
        /// How many times slower it is then.
        choke_slower: Range = Range::two(2.4, 3.2),
        /// How busy its cores may be on its way out.
        choke_below: Range = Range::two(0.25, 0.4),
        /// For how long (s).
        choke_rest_s: Range = Range::two(2.9, 4.5),
        /// After how long it recovers in any case (s).
        choke_most_s: Range = Range::two(16.0, 34.0),
    }
}
