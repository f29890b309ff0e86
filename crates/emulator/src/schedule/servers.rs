//! The drawn parameters of config servers and sidecars.

use super::parameters::{
    ConnectionTable, Handshake, KeyCache, Probes, Reporting, ShortPauses, Thrashing, WarmUp,
};
use super::random::{apportion, lognormal_factor, Draws, Purpose};
use crate::scenario::{Cancel, Scenario};
use rand::Rng;

/// The parameters of a config server. Times are in ms.
#[derive(Clone, Debug)]
pub struct ServerParameters {
    /// The id in the list of discovery.
    pub id: String,
    /// The index of the zone.
    pub zone: usize,
    /// The cell.
    pub cell: u64,
    /// The name of the kind.
    pub kind: String,
    /// The size that discovery lists.
    pub size: f64,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core relative to the standard core.
    pub speed: f64,
    /// Maximum number of running requests.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Loss of efficiency under many held requests.
    pub thrashing: Thrashing,
    /// Warm-up after a start.
    pub warm_up: WarmUp,
    /// Short pauses.
    pub pauses: ShortPauses,
    /// Share of the requests answered with an error.
    pub error_rate: f64,
    /// Which work is cancelled when its sidecar closes the connection.
    pub cancel: Cancel,
    /// The connection table.
    pub connection_table: ConnectionTable,
    /// The cost of a new connection.
    pub handshake: Handshake,
    /// Idle time after which the server closes a connection.
    pub idle_timeout: f64,
    /// The handling of probes.
    pub probes: Probes,
    /// Load reports.
    pub reporting: Reporting,
    /// The cache of keys.
    pub key_cache: KeyCache,
    /// Degradation by long queues; `None`: it never degrades.
    pub degradation: Option<DegradationParameters>,
}

/// When a server with a long queue degrades, and how it recovers. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DegradationParameters {
    /// Number of requests held beyond the cores above which the server may degrade.
    pub queue_limit: f64,
    /// Time for which the limit must be exceeded before the server degrades.
    pub queue_duration: f64,
    /// Factor by which a degraded server is slower.
    pub slowdown: f64,
    /// Busy share of the cores below which the server counts as nearly idle.
    pub idle_below: f64,
    /// Time of being nearly idle after which it has recovered.
    pub idle_duration: f64,
    /// Maximum duration of the degradation.
    pub max_duration: f64,
}

/// The parameters of a sidecar and its application.
#[derive(Clone, Debug)]
pub struct SidecarParameters {
    /// The name.
    pub name: String,
    /// The index of the zone.
    pub zone: usize,
    /// Share of the traffic.
    pub share: f64,
}

/// Draws a server of a kind (an index in the scenario's kinds). The order of the draws must not change.
pub(super) fn draw_server(
    scenario: &Scenario,
    draws: &mut Draws,
    number: usize,
    zone: usize,
    kind: usize,
) -> ServerParameters {
    let (kind_figures, server_figures) = (&scenario.kinds[kind], &scenario.server);
    let speed = draws.draw(kind_figures.speed)
        * lognormal_factor(draws.draw(kind_figures.speed_cv), draws.rng.random());
    let cores = kind_figures.cores;
    ServerParameters {
        id: format!("s-{:08x}", draws.rng.random::<u32>()),
        zone,
        cell: (number / scenario.fleet.cell_size) as u64 * 16 + zone as u64,
        kind: kind_figures.name.clone(),
        size: (cores
            * speed
            * lognormal_factor(draws.draw(scenario.fleet.size_noise), draws.rng.random())
            * 10.0)
            .round()
            / 10.0,
        cores,
        speed,
        slots: (draws.draw(kind_figures.slots_per_core) * cores).round() as usize,
        queue: (draws.draw(kind_figures.queue_per_core) * cores).round() as usize,
        thrashing: Thrashing {
            loss: draws.draw(kind_figures.thrash),
            threshold: draws.draw(kind_figures.thrash_at),
        },
        warm_up: WarmUp {
            initial_share: draws.draw(kind_figures.cold_from),
            time: draws.draw(kind_figures.cold_s) * 1e3,
            requests: draws.draw(kind_figures.warm_requests),
        },
        pauses: ShortPauses {
            interval: draws.draw(kind_figures.pause_every_s) * 1e3,
            length: draws.draw(kind_figures.pause_ms),
        },
        error_rate: draws.draw(kind_figures.error_rate),
        cancel: kind_figures.cancel,
        connection_table: ConnectionTable {
            size: (draws.draw(server_figures.conns_per_core) * cores) as usize,
            full_cost: draws.draw(server_figures.full_tax),
        },
        handshake: Handshake {
            work: draws.draw(server_figures.handshake_ms),
            round_trips: draws.draw(server_figures.handshake_rtts).round(),
        },
        idle_timeout: draws.draw(server_figures.idle_s) * 1e3,
        probes: Probes {
            work: draws.draw(server_figures.probe_ms),
            limit: (draws.draw(server_figures.probes_per_core) * cores).ceil() as usize,
            queued: server_figures.probe_deep,
        },
        reporting: Reporting {
            period: draws.draw(server_figures.report_period_ms),
            delay: draws.draw(server_figures.report_delay_ms),
            noise: draws.draw(server_figures.report_noise),
        },
        key_cache: KeyCache {
            saving: draws.draw(server_figures.key_gain),
            lifetime: draws.draw(server_figures.key_s) * 1e3,
            size: (draws.draw(server_figures.keys_per_core) * cores) as usize,
        },
        degradation: Some(DegradationParameters {
            queue_limit: draws.draw(server_figures.choke_at) * cores,
            queue_duration: draws.draw(server_figures.choke_over_s) * 1e3,
            slowdown: draws.draw(server_figures.choke_slower),
            idle_below: draws.draw(server_figures.choke_below),
            idle_duration: draws.draw(server_figures.choke_rest_s) * 1e3,
            max_duration: draws.draw(server_figures.choke_most_s) * 1e3,
        })
        .filter(|c| c.queue_limit > 0.0),
    }
}

/// Draws the initial servers of the scenario.
pub(super) fn draw_servers(scenario: &Scenario, seed: u64) -> Vec<ServerParameters> {
    let zones = scenario.fleet.zones.len();
    let mut draws = Draws::new(seed, Purpose::Fleet);
    let skew = draws.draw(scenario.fleet.zone_skew);
    let zone_of_each = apportion(scenario.fleet.servers, &draws.shares(zones, skew));
    let kinds: Vec<f64> = scenario.kinds.iter().map(|k| k.share).collect();
    let sum: f64 = kinds.iter().sum();
    let kinds = apportion(scenario.fleet.servers, &kinds.iter().map(|k| k / sum).collect::<Vec<_>>());
    let order = draws.permutation(kinds.len());
    (0..zone_of_each.len())
        .map(|n| draw_server(scenario, &mut draws, n, zone_of_each[n], kinds[order[n]]))
        .collect()
}

/// Capacity of warm servers: work (ms of a standard core) per ms.
pub(super) fn capacity_of(servers: &[ServerParameters]) -> f64 {
    servers.iter().map(|s| s.cores * s.speed).sum()
}

/// Draws the sidecars and their shares of the traffic.
pub(super) fn draw_sidecars(scenario: &Scenario, seed: u64) -> Vec<SidecarParameters> {
    let mut draws = Draws::new(seed, Purpose::Sidecars);
    let skew = draws.draw(scenario.load.zone_skew);
    let zones = draws.shares(scenario.fleet.zones.len(), skew);
    let even = vec![1.0 / zones.len() as f64; zones.len()];
    let zone_of_each = apportion(scenario.fleet.sidecars, &even);
    let cv = draws.draw(scenario.load.stream_cv);
    let mut raw: Vec<f64> =
        zone_of_each.iter().map(|z| zones[*z] * lognormal_factor(cv, draws.rng.random()).max(0.05)).collect();
    let sum: f64 = raw.iter().sum();
    raw.iter_mut().for_each(|s| *s /= sum);
    let named = zone_of_each.into_iter().zip(raw).enumerate();
    named.map(|(n, (zone, share))| SidecarParameters { name: format!("n{n}"), zone, share }).collect()
}
