//! The schedule of a simulation: servers, sidecars, arrivals and faults, drawn from a scenario by a seed.
//!
//! Arrivals are drawn before the start, so that the load is open-loop. Each purpose has its own random stream,
//! so that a change in one part of a scenario does not affect the draws of the others.

mod arrivals;
mod faults;
mod parameters;
mod random;
mod servers;

pub use arrivals::Arrival;
pub use faults::ScheduledFault;
pub use parameters::{
    ConnectionTable, Handshake, KeyCache, Probes, Reporting, ShortPauses, Thrashing, WarmUp,
};
pub use random::{hashed, lognormal_factor, stream, Purpose};
pub use servers::{DegradationParameters, ServerParameters, SidecarParameters};

use crate::scenario::{Class, Effect, FaultKind, Scenario};
use arrivals::draw_arrivals;
use faults::draw_faults;
use rand::Rng;
use random::{pick_by_share, Draws};
use servers::{capacity_of, draw_server, draw_sidecars};

/// Words of the random stream reserved for each added server, so that each one is drawn independently.
const REPLACEMENT_STREAM_WORDS: u128 = 4096;
/// Key of the draws of `Idempotency-Key`s. Changing it changes the results of every seed.
const DRAW_IDEMPOTENCY_KEY: u64 = 23;

/// The drawn parameters of the clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Maximum number of retries after the first try.
    pub retries: usize,
    /// Timeout of a try, as a share of the class's deadline.
    pub try_share: f64,
    /// Back-off between tries (ms).
    pub backoff: f64,
    /// Share of the flows whose client honours `Retry-After`.
    pub honour: f64,
}

/// The drawn parameters of discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryPlan {
    /// Delay of an announced change (ms).
    pub notice_delay: f64,
    /// Delay until a server that failed without an announcement is removed (ms).
    pub silent_notice_delay: f64,
    /// Delay until a started server is listed (ms).
    pub add_delay: f64,
    /// Service time of one call (ms).
    pub call_time: f64,
    /// Calls that would wait longer than this fail (ms).
    pub timeout: f64,
}

/// The schedule of a simulation.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Config servers.
    pub servers: Vec<ServerParameters>,
    /// Sidecars.
    pub sidecars: Vec<SidecarParameters>,
    /// The quota of each tenant (flows per second).
    pub quotas: Vec<f64>,
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults in the order of the file.
    pub faults: Vec<ScheduledFault>,
    /// The parameters of the clients.
    pub clients: ClientPlan,
    /// The parameters of discovery.
    pub discovery: DiscoveryPlan,
    /// The parameters of the network.
    pub network: NetworkPlan,
}

impl ClientPlan {
    fn draw(scenario: &Scenario, seed: u64) -> ClientPlan {
        let mut draws = Draws::new(seed, Purpose::Clients);
        ClientPlan {
            retries: draws.draw(scenario.clients.retries) as usize,
            try_share: draws.draw(scenario.clients.try_share),
            backoff: draws.draw(scenario.clients.backoff_ms),
            honour: draws.draw(scenario.clients.honour),
        }
    }
}

/// The drawn parameters of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkPlan {
    /// One-way delay within a zone (ms).
    pub same_zone: f64,
    /// One-way delay between zones (ms).
    pub cross_zone: f64,
    /// Coefficient of variation of the delays.
    pub jitter: f64,
}

/// Draws the parameters of discovery and of the network, which share a random stream.
fn draw_discovery_and_network(scenario: &Scenario, seed: u64) -> (DiscoveryPlan, NetworkPlan) {
    let mut draws = Draws::new(seed, Purpose::Discovery);
    let figures = &scenario.discovery;
    let discovery = DiscoveryPlan {
        notice_delay: draws.draw(figures.notice_s) * 1e3,
        silent_notice_delay: draws.draw(figures.silent_notice_s) * 1e3,
        add_delay: draws.draw(figures.add_s) * 1e3,
        call_time: 1e3 / draws.draw(figures.calls_per_s),
        timeout: figures.timeout_ms,
    };
    let network = NetworkPlan {
        same_zone: draws.draw(scenario.network.same_ms),
        cross_zone: draws.draw(scenario.network.cross_ms),
        jitter: draws.draw(scenario.network.jitter),
    };
    (discovery, network)
}

impl Schedule {
    /// Draws the schedule of a scenario; equal seeds draw equal schedules.
    pub fn draw(scenario: &Scenario, seed: u64) -> Schedule {
        let servers = servers::draw_servers(scenario, seed);
        let sidecars = draw_sidecars(scenario, seed);
        let faults = draw_faults(scenario, seed, servers.len(), sidecars.len());
        let clients = ClientPlan::draw(scenario, seed);
        let (discovery, network) = draw_discovery_and_network(scenario, seed);
        let (quotas, arrivals) = draw_arrivals(scenario, seed, &servers, &sidecars, &faults);
        Schedule {
            scenario: scenario.clone(),
            seed,
            servers,
            sidecars,
            quotas,
            arrivals,
            faults,
            clients,
            discovery,
            network,
        }
    }

    /// Draws a server added during the simulation; `number` counts the added servers from 0.
    pub fn replacement(&self, number: usize, zone: usize) -> ServerParameters {
        let mut draws = Draws::new(self.seed, Purpose::Replacements);
        draws.rng.set_word_pos(number as u128 * REPLACEMENT_STREAM_WORDS);
        let total: f64 = self.scenario.kinds.iter().map(|k| k.share).sum();
        let kind = pick_by_share(self.scenario.kinds.iter().map(|k| k.share / total), draws.rng.random());
        draw_server(&self.scenario, &mut draws, self.servers.len() + number, zone, kind)
    }

    /// The class of an arrival.
    pub fn class(&self, arrival: &Arrival) -> &Class {
        &self.scenario.classes[arrival.class]
    }

    /// Capacity of the warm fleet: work (ms of a standard core) per ms.
    pub fn capacity(&self) -> f64 {
        capacity_of(&self.servers)
    }

    /// The faults of a kind that are active at a time since the start of the scenario (ms).
    pub fn active(&self, kind: FaultKind, at: f64) -> impl Iterator<Item = &ScheduledFault> {
        self.faults.iter().filter(move |t| t.kind == kind && (t.from..t.until).contains(&at))
    }

    /// The `Idempotency-Key` of a flow, equal in all its tries; `None` if its class is not keyed.
    pub fn key_of(&self, flow: usize) -> Option<String> {
        let keyed = self.class(&self.arrivals[flow]).effect == Effect::Keyed;
        keyed.then(|| format!("{:016x}", hashed(self.seed, &[DRAW_IDEMPOTENCY_KEY, flow as u64]).to_bits()))
    }
}
