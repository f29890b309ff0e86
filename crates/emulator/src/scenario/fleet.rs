//! The servers of a scenario: their number, their kinds and the figures common to all.

use super::figures::figures;
use super::Range;
use serde::Deserialize;

figures! {
    /// Sizes of the fleet and its zones.
    Fleet {
        /// Number of config servers.
        servers: usize = 10,
        /// Number of sidecars, each beside its own application.
        sidecars: usize = 6,
        /// Names of the zones (data centres).
        zones: Vec<String> = ["north", "middle", "south"].map(String::from).to_vec(),
        /// Skew of the zones' shares of the servers (0: equal shares).
        zone_skew: Range = Range::between(0.1, 0.4),
        /// Number of servers per cell.
        cell_size: usize = 5,
        /// Coefficient of variation of the noise on the sizes that discovery lists.
        size_noise: Range = Range::between(0.15, 0.35),
    }
}

figures! {
    /// A kind of server.
    Kind {
        /// The name.
        name: String = "m".into(),
        /// Share of the fleet.
        share: f64 = 1.0,
        /// Number of cores.
        cores: f64 = 2.0,
        /// Speed of a core relative to the standard core.
        speed: Range = Range::between(1.0, 1.5),
        /// Coefficient of variation of the speeds within the kind.
        speed_cv: Range = Range::between(0.05, 0.25),
        /// Concurrently running requests per core.
        slots_per_core: Range = Range::between(4.0, 12.0),
        /// Queue length per core.
        queue_per_core: Range = Range::between(27.0, 50.0),
        /// Loss of efficiency for each multiple of `thrash_at` held requests per core beyond the first.
        thrash: Range = Range::between(0.12, 0.25),
        /// Held requests per core above which efficiency falls.
        thrash_at: Range = Range::between(6.0, 13.0),
        /// Share of its capacity that a server has after a start.
        cold_from: Range = Range::between(0.12, 0.28),
        /// Time after which a started server is fully warm (s).
        cold_s: Range = Range::between(10.0, 23.0),
        /// Number of served requests after which it is warm, if that is sooner (0: by time only).
        warm_requests: Range = Range::fixed(150.0),
        /// Mean time between short pauses (s).
        pause_every_s: Range = Range::between(3.0, 11.0),
        /// Mean length of a short pause (ms); 0 for none.
        pause_ms: Range = Range::between(0.0, 100.0),
        /// Share of the requests answered with an error.
        error_rate: Range = Range::between(0.0, 0.002),
        /// Which work is cancelled when its sidecar closes the connection: `none`, `queued` or `all`.
        cancel: Cancel = Cancel::None,
    }
}

/// Which work a server cancels when the sidecar closes the connection.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Cancel {
    /// None: accepted requests run to completion.
    None,
    /// Queued requests.
    Queued,
    /// Queued and running requests.
    All,
}

figures! {
    /// Figures that apply to all servers.
    ServerFigures {
        /// Size of the connection table per core.
        conns_per_core: Range = Range::between(600.0, 900.0),
        /// Share of the capacity that a full connection table costs.
        full_tax: Range = Range::between(0.17, 0.4),
        /// Work for a new connection (ms of a standard core).
        handshake_ms: Range = Range::between(1.8, 3.0),
        /// Network round trips before the first request on a connection.
        handshake_rtts: Range = Range::between(2.0, 3.0),
        /// Idle time after which the server closes a connection (s).
        idle_s: Range = Range::fixed(5.0),
        /// Work for a probe (ms of a standard core).
        probe_ms: Range = Range::between(0.32, 0.64),
        /// Concurrent probes per core.
        probes_per_core: Range = Range::between(4.0, 9.0),
        /// Whether probes wait in the queue like requests.
        probe_deep: bool = false,
        /// Interval at which the figures of a load report are refreshed (ms).
        report_period_ms: Range = Range::between(54.0, 200.0),
        /// Delay until refreshed figures appear in reports (ms).
        report_delay_ms: Range = Range::between(2.0, 120.0),
        /// Coefficient of variation of the noise on reported figures.
        report_noise: Range = Range::between(0.05, 0.19),
        /// Whether responses to requests carry a report too, rather than probes only.
        report_in_answers: bool = false,
        /// Share of the work saved by a request whose key is cached.
        key_gain: Range = Range::between(0.37, 0.7),
        /// Time for which a key stays cached (s).
        key_s: Range = Range::between(2.3, 11.0),
        /// Cached keys per core.
        keys_per_core: Range = Range::between(4.6, 9.2),
        /// Queued requests per core above which a server may degrade; 0: it never degrades.
        choke_at: Range = Range::between(4.0, 7.0),
        /// Time for which the queue must exceed that limit before the server degrades (s).
        choke_over_s: Range = Range::between(1.5, 2.5),
        /// Factor by which a degraded server is slower.
        choke_slower: Range = Range::between(2.4, 3.2),
        /// Busy share of the cores below which a degraded server starts to recover.
        choke_below: Range = Range::between(0.25, 0.4),
        /// Time below that share after which it has recovered (s).
        choke_rest_s: Range = Range::between(2.9, 4.5),
        /// Maximum duration of the degradation (s).
        choke_most_s: Range = Range::between(16.0, 34.0),
    }
}
