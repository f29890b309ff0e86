//! Config servers and sidecars as a draw has them.

use super::parameters::{
    ConnectionTable, Handshake, KeyCache, Probes, Reporting, ShortPauses, Thrashing, WarmUp,
};
use super::random::{factor, spread, Draws, Purpose};
use crate::scenario::{Cancel, Scenario};
use rand::Rng;

/// A config server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Its id in the list.
    pub id: String,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// The name of its kind.
    pub kind: String,
    /// The size that the list states.
    pub size: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Requests in work at a time.
    pub slots: usize,
    /// Requests that wait beyond that.
    pub queue: usize,
    /// Loss of efficiency under many held requests.
    pub thrash: Thrashing,
    /// Its warm-up after a start.
    pub cold: WarmUp,
    /// Short pauses.
    pub pause: ShortPauses,
    /// Share of errors.
    pub error_rate: f64,
    /// What a hang-up drops.
    pub cancel: Cancel,
    /// Its connection table.
    pub conns: ConnectionTable,
    /// The cost of a new connection.
    pub handshake: Handshake,
    /// Idle time of a connection (ms).
    pub idle: f64,
    /// The handling of probes.
    pub probe: Probes,
    /// Its load reports.
    pub report: Reporting,
    /// Its cache of keys.
    pub keys: KeyCache,
    /// How it turns slow when crowded; `None`: never.
    pub choke: Option<Choke>,
}

/// How a crowded server turns slow, and recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Requests waiting.
    pub at: f64,
    /// For so long (ms).
    pub over: f64,
    /// Times slower.
    pub slower: f64,
    /// Busy share of its cores under which it rests.
    pub below: f64,
    /// For so long (ms).
    pub rest: f64,
    /// Recovered after this in any case (ms).
    pub most: f64,
}

/// A sidecar and its application.
#[derive(Clone, Debug)]
pub struct SidecarPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its share of the traffic.
    pub share: f64,
}

/// Draws a server of the scenario's kinds.
pub(super) fn server(
    scenario: &Scenario,
    d: &mut Draws,
    number: usize,
    zone: usize,
    kind: usize,
) -> ServerPlan {
    let (k, s) = (&scenario.kinds[kind], &scenario.server);
    let speed = d.of(k.speed) * factor(d.of(k.speed_cv), d.0.random());
    let cores = k.cores;
    ServerPlan {
        id: format!("s-{:08x}", d.0.random::<u32>()),
        zone,
        cell: (number / scenario.fleet.cell_size) as u64 * 16 + zone as u64,
        kind: k.name.clone(),
        size: (cores * speed * factor(d.of(scenario.fleet.size_noise), d.0.random()) * 10.0).round() / 10.0,
        cores,
        speed,
        slots: (d.of(k.slots_per_core) * cores).round() as usize,
        queue: (d.of(k.queue_per_core) * cores).round() as usize,
        thrash: Thrashing { loss: d.of(k.thrash), threshold: d.of(k.thrash_at) },
        cold: WarmUp {
            initial_share: d.of(k.cold_from),
            time: d.of(k.cold_s) * 1e3,
            requests: d.of(k.warm_requests),
        },
        pause: ShortPauses { interval: d.of(k.pause_every_s) * 1e3, length: d.of(k.pause_ms) },
        error_rate: d.of(k.error_rate),
        cancel: k.cancel,
        conns: ConnectionTable {
            size: (d.of(s.conns_per_core) * cores) as usize,
            full_cost: d.of(s.full_tax),
        },
        handshake: Handshake { work: d.of(s.handshake_ms), round_trips: d.of(s.handshake_rtts).round() },
        idle: d.of(s.idle_s) * 1e3,
        probe: Probes {
            work: d.of(s.probe_ms),
            limit: (d.of(s.probes_per_core) * cores).ceil() as usize,
            queued: s.probe_deep,
        },
        report: Reporting {
            period: d.of(s.report_period_ms),
            delay: d.of(s.report_delay_ms),
            noise: d.of(s.report_noise),
        },
        keys: KeyCache {
            saving: d.of(s.key_gain),
            lifetime: d.of(s.key_s) * 1e3,
            size: (d.of(s.keys_per_core) * cores) as usize,
        },
        choke: Some(Choke {
            at: d.of(s.choke_at) * cores,
            over: d.of(s.choke_over_s) * 1e3,
            slower: d.of(s.choke_slower),
            below: d.of(s.choke_below),
            rest: d.of(s.choke_rest_s) * 1e3,
            most: d.of(s.choke_most_s) * 1e3,
        })
        .filter(|c| c.at > 0.0),
    }
}

/// Draws the servers that the scenario begins with.
pub(super) fn servers(scenario: &Scenario, seed: u64) -> Vec<ServerPlan> {
    let zones = scenario.fleet.zones.len();
    let mut d = Draws::new(seed, Purpose::Fleet);
    let skew = d.of(scenario.fleet.zone_skew);
    let places = spread(scenario.fleet.servers, &d.shares(zones, skew));
    let kinds: Vec<f64> = scenario.kinds.iter().map(|k| k.share).collect();
    let sum: f64 = kinds.iter().sum();
    let kinds = spread(scenario.fleet.servers, &kinds.iter().map(|k| k / sum).collect::<Vec<_>>());
    let mixed = d.order(kinds.len());
    (0..places.len()).map(|n| server(scenario, &mut d, n, places[n], kinds[mixed[n]])).collect()
}

/// Capacity of servers when warm: work of a standard core, in ms a ms.
pub(super) fn capacity_of(servers: &[ServerPlan]) -> f64 {
    servers.iter().map(|s| s.cores * s.speed).sum()
}

/// Draws the sidecars with their shares of the traffic.
pub(super) fn sidecars(scenario: &Scenario, seed: u64) -> Vec<SidecarPlan> {
    let mut d = Draws::new(seed, Purpose::Sidecars);
    let skew = d.of(scenario.load.zone_skew);
    let zones = d.shares(scenario.fleet.zones.len(), skew);
    let even = vec![1.0 / zones.len() as f64; zones.len()];
    let places = spread(scenario.fleet.sidecars, &even);
    let cv = d.of(scenario.load.stream_cv);
    let mut raw: Vec<f64> = places.iter().map(|z| zones[*z] * factor(cv, d.0.random()).max(0.05)).collect();
    let sum: f64 = raw.iter().sum();
    raw.iter_mut().for_each(|s| *s /= sum);
    let named = places.into_iter().zip(raw).enumerate();
    named.map(|(n, (zone, share))| SidecarPlan { name: format!("n{n}"), zone, share }).collect()
}
