//! The schedule of a simulation: servers, sidecars, arrivals and faults, drawn from a scenario by a seed.
//!
//! Arrivals are drawn before the start, so that the load is open-loop. Each purpose has a random stream of
//! its own, so that a change in one part of a scenario leaves the draws of the others as they were.

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
pub use random::{factor, hashed, stream, Purpose};
pub use servers::{Choke, ServerPlan, SidecarPlan};

use crate::scenario::{Class, Effect, FaultKind, Scenario};
use arrivals::arrivals;
use faults::faults;
use rand::Rng;
use random::{pick, Draws};
use servers::{capacity_of, server, sidecars};

/// The drawn parameters of the clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Retries after the first try.
    pub retries: usize,
    /// Timeout of a try, as a share of the class's deadline.
    pub try_share: f64,
    /// Back-off between tries (ms).
    pub backoff: f64,
    /// Share of the requests whose client honours `Retry-After`.
    pub honour: f64,
}

/// The drawn parameters of discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryPlan {
    /// Delay of an announced change (ms).
    pub notice: f64,
    /// Delay until a server that failed without an announcement is removed (ms).
    pub silent_notice: f64,
    /// Delay until a started server is listed (ms).
    pub add: f64,
    /// Service time of one call (ms).
    pub call: f64,
    /// Calls that would wait longer fail (ms).
    pub timeout: f64,
}

/// The schedule of a simulation.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The scenario.
    pub day: Scenario,
    /// The seed.
    pub seed: u64,
    /// Config servers.
    pub servers: Vec<ServerPlan>,
    /// Sidecars.
    pub sidecars: Vec<SidecarPlan>,
    /// Each tenant's quota (requests a second).
    pub quotas: Vec<f64>,
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults in the order of the file.
    pub troubles: Vec<ScheduledFault>,
    /// The parameters of the clients.
    pub clients: ClientPlan,
    /// The parameters of discovery.
    pub discovery: DiscoveryPlan,
    /// The network.
    pub network: NetworkPlan,
}

impl ClientPlan {
    fn draw(scenario: &Scenario, seed: u64) -> ClientPlan {
        let mut d = Draws::new(seed, Purpose::Clients);
        ClientPlan {
            retries: d.of(scenario.clients.retries) as usize,
            try_share: d.of(scenario.clients.try_share),
            backoff: d.of(scenario.clients.backoff_ms),
            honour: d.of(scenario.clients.honour),
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

/// Draws the parameters of discovery, and those of the network from the same random stream.
fn discovery_and_network(scenario: &Scenario, seed: u64) -> (DiscoveryPlan, NetworkPlan) {
    let mut d = Draws::new(seed, Purpose::Discovery);
    let figures = &scenario.discovery;
    let discovery = DiscoveryPlan {
        notice: d.of(figures.notice_s) * 1e3,
        silent_notice: d.of(figures.silent_notice_s) * 1e3,
        add: d.of(figures.add_s) * 1e3,
        call: 1e3 / d.of(figures.calls_per_s),
        timeout: figures.timeout_ms,
    };
    let network = NetworkPlan {
        same_zone: d.of(scenario.network.same_ms),
        cross_zone: d.of(scenario.network.cross_ms),
        jitter: d.of(scenario.network.jitter),
    };
    (discovery, network)
}

impl Schedule {
    /// Draws the schedule of a scenario; equal seeds draw equal schedules.
    pub fn draw(scenario: &Scenario, seed: u64) -> Schedule {
        let servers = servers::servers(scenario, seed);
        let sidecars = sidecars(scenario, seed);
        let faults = faults(scenario, seed, servers.len(), sidecars.len());
        let clients = ClientPlan::draw(scenario, seed);
        let (discovery, network) = discovery_and_network(scenario, seed);
        let (quotas, arrivals) = arrivals(scenario, seed, &servers, &sidecars, &faults);
        Schedule {
            day: scenario.clone(),
            seed,
            servers,
            sidecars,
            quotas,
            arrivals,
            troubles: faults,
            clients,
            discovery,
            network,
        }
    }

    /// Draws a server that is added during the simulation, by its number among those.
    pub fn replacement(&self, number: usize, zone: usize) -> ServerPlan {
        let mut d = Draws::new(self.seed, Purpose::Replacements);
        d.0.set_word_pos(number as u128 * 4096);
        let total: f64 = self.day.kinds.iter().map(|k| k.share).sum();
        let kind = pick(self.day.kinds.iter().map(|k| k.share / total), d.0.random());
        server(&self.day, &mut d, self.servers.len() + number, zone, kind)
    }

    /// The class of a request.
    pub fn class(&self, arrival: &Arrival) -> &Class {
        &self.day.classes[arrival.class]
    }

    /// Capacity of the warm fleet: work (ms of a standard core) in a ms.
    pub fn capacity(&self) -> f64 {
        capacity_of(&self.servers)
    }

    /// The faults of a kind that are active at a time since the scenario's begin (ms).
    pub fn active(&self, kind: FaultKind, at: f64) -> impl Iterator<Item = &ScheduledFault> {
        self.troubles.iter().filter(move |t| t.kind == kind && (t.from..t.until).contains(&at))
    }

    /// The `Idempotency-Key` of a request, equal in all its tries; `None` where its class has none.
    pub fn key_of(&self, flow: usize) -> Option<String> {
        let keyed = self.class(&self.arrivals[flow]).effect == Effect::Keyed;
        keyed.then(|| format!("{:016x}", hashed(self.seed, &[23, flow as u64]).to_bits()))
    }
}
