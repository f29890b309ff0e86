//! One draw from a scenario: who there is, what comes, and what goes wrong, all of it known before the start.
//!
//! Arrivals are drawn ahead, so that answers never slow them. Each purpose has a stream of random
//! numbers of its own: a change of one leaves the others as they were.

mod arrivals;
mod faults;
mod random;
mod servers;

pub use arrivals::Arrival;
pub use faults::ScheduledFault;
pub use random::{factor, hashed, stream, Purpose};
pub use servers::{Choke, ServerPlan, SidecarPlan};

use crate::scenario::{Class, Effect, FaultKind, Scenario};
use arrivals::arrivals;
use faults::faults;
use rand::Rng;
use random::{pick, Draws};
use servers::{capacity_of, server, sidecars};

/// Clients' figures of the scenario.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Tries after the first.
    pub retries: usize,
    /// What a try may take.
    pub try_share: f64,
    /// Wait between tries (ms).
    pub backoff: f64,
    /// Share that honours advice.
    pub honour: f64,
}

/// Discovery's figures of the scenario.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryPlan {
    /// Delay of what it is told (ms).
    pub notice: f64,
    /// Delay of what ends without a word (ms).
    pub silent_notice: f64,
    /// Delay of a start (ms).
    pub add: f64,
    /// Time of one call (ms).
    pub call: f64,
    /// A call that waits longer fails (ms).
    pub timeout: f64,
}

/// One draw from a scenario.
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
    /// Clients' figures.
    pub clients: ClientPlan,
    /// Discovery's figures.
    pub discovery: DiscoveryPlan,
    /// One way within a zone and between zones (ms), and its spread.
    pub network: (f64, f64, f64),
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

/// Draws discovery's figures, and the network's from the same stream.
fn discovery_and_network(scenario: &Scenario, seed: u64) -> (DiscoveryPlan, (f64, f64, f64)) {
    let mut d = Draws::new(seed, Purpose::Discovery);
    let figures = &scenario.discovery;
    let discovery = DiscoveryPlan {
        notice: d.of(figures.notice_s) * 1e3,
        silent_notice: d.of(figures.silent_notice_s) * 1e3,
        add: d.of(figures.add_s) * 1e3,
        call: 1e3 / d.of(figures.calls_per_s),
        timeout: figures.timeout_ms,
    };
    let network =
        (d.of(scenario.network.same_ms), d.of(scenario.network.cross_ms), d.of(scenario.network.jitter));
    (discovery, network)
}

impl Schedule {
    /// Draws a scenario.
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

    /// A new server for a place that is free: drawn by its number, the same in every play.
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

    /// Capacity of the warm fleet: work of a standard core, in ms a ms.
    pub fn capacity(&self) -> f64 {
        capacity_of(&self.servers)
    }

    /// The faults of a kind at a time of the scenario (ms).
    pub fn active(&self, kind: FaultKind, at: f64) -> impl Iterator<Item = &ScheduledFault> {
        self.troubles.iter().filter(move |t| t.kind == kind && (t.from..t.until).contains(&at))
    }

    /// The `Idempotency-Key` of a flow, equal in all its tries; `None` where its class has none.
    pub fn key_of(&self, flow: usize) -> Option<String> {
        let keyed = self.class(&self.arrivals[flow]).effect == Effect::Keyed;
        keyed.then(|| format!("{:016x}", hashed(self.seed, &[23, flow as u64]).to_bits()))
    }
}
