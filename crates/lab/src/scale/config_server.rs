//! A simplified config server: answers probes and requests after a delay, and has no queue.

use super::link::{Accepted, Link, Service};
use super::metered::ByteCount;
use super::metrics::ServerCounts;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{answer_bytes, Request};
use roseproxy_emulator::schedule::hashed;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Cores on which the utilisation in load reports is based.
const REPORTED_CORES: f64 = 4.0;

/// Header in which an answer carries a load report.
const REPORT_HEADER: &str = "server-load";

/// A simulated config server.
pub struct ConfigServer {
    /// The network path to the server from each region.
    pub links: Vec<watch::Sender<Link>>,
    /// What the server has received.
    pub counts: Cell<ServerCounts>,
    in_flight: Cell<u32>,
}

impl ConfigServer {
    /// A server that all regions can reach.
    pub fn new(regions: usize) -> ConfigServer {
        ConfigServer {
            links: (0..regions).map(|_| watch::channel(Link::Up).0).collect(),
            counts: Cell::default(),
            in_flight: Cell::new(0),
        }
    }

    /// Sets the network paths from all regions.
    pub fn set_links(&self, link: Link) {
        for path in &self.links {
            path.send_replace(link);
        }
    }

    fn count(&self, change: impl FnOnce(&mut ServerCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn load_report(&self) -> String {
        let in_flight = self.in_flight.get();
        let utilisation = (f64::from(in_flight) / REPORTED_CORES).min(1.0);
        format!("TEXT inflight={in_flight}, queue=0, util={utilisation:.2}")
    }
}

/// Counts a request as in flight at a server until it is dropped.
struct InFlight<'a>(&'a ConfigServer);

impl<'a> InFlight<'a> {
    fn begin(server: &'a ConfigServer) -> InFlight<'a> {
        server.in_flight.set(server.in_flight.get() + 1);
        InFlight(server)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A config server at the address that the sidecars of one region use.
pub struct ServerService<F: Fabric> {
    /// The simulation that the server belongs to.
    pub simulation: Rc<Simulation<F>>,
    /// Number of the server.
    pub server: usize,
    /// Region of the sidecars that use this address.
    pub from_region: usize,
}

impl<F: Fabric> Clone for ServerService<F> {
    fn clone(&self) -> Self {
        ServerService {
            simulation: self.simulation.clone(),
            server: self.server,
            from_region: self.from_region,
        }
    }
}

impl<F: Fabric> Service<F> for ServerService<F> {
    async fn serve(&self, wire: &mut Accepted<F>, bytes: Rc<ByteCount>) {
        let server = &self.simulation.servers[self.server];
        server.count(|c| c.connects += 1);
        let mut counted_bytes = 0;
        while let Ok(request) = wire.read_request().await {
            let probe = request.path == "/stats";
            let connected = if probe { self.probe(wire).await } else { self.attempt(wire, &request).await };
            let now = bytes.get();
            let new_bytes = now - counted_bytes;
            counted_bytes = now;
            server.count(|c| if probe { c.probe_bytes += new_bytes } else { c.attempt_bytes += new_bytes });
            if !connected {
                return;
            }
        }
    }
}

impl<F: Fabric> ServerService<F> {
    fn one_way_delay_ms(&self) -> f64 {
        let network = &self.simulation.experiment.network;
        if self.simulation.topology.region(self.server) == self.from_region {
            network.same_region_ms
        } else {
            network.cross_region_ms
        }
    }

    /// Answers a probe. Returns false if the connection has ended.
    async fn probe(&self, wire: &mut Accepted<F>) -> bool {
        let server = &self.simulation.servers[self.server];
        server.count(|c| c.probes += 1);
        self.simulation.sleep(2.0 * self.one_way_delay_ms()).await;
        wire.write(&answer_bytes(200, &[], server.load_report().as_bytes())).await.is_ok()
    }

    /// Answers a request. Returns false if the connection has ended.
    async fn attempt(&self, wire: &mut Accepted<F>, request: &Request) -> bool {
        let (simulation, server) = (&self.simulation, &self.simulation.servers[self.server]);
        let id = request.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            return wire.write(&answer_bytes(404, &[], b"no id\n")).await.is_ok();
        };
        server.count(|c| c.attempts += 1);
        simulation.audit.borrow_mut().attempt_received(simulation.now(), id, self.server);
        let _in_flight = InFlight::begin(server);
        // Uniform between 0.5 and 1.5 times the mean.
        let work_ms =
            simulation.experiment.calls.work_ms * (0.5 + hashed(simulation.experiment.seed, &[1, id]));
        let work_done = async {
            simulation.sleep(2.0 * self.one_way_delay_ms() + work_ms).await;
        };
        tokio::select! {
            biased;
            () = work_done => {}
            // The sidecar has cancelled the attempt by closing the connection.
            more = wire.fill_buffer() => if !matches!(more, Ok(true)) { return false },
        }
        let body = format!("{{\"id\":\"{id:016x}\",\"server\":\"cs-{:04}\",\"valid\":true}}\n", self.server);
        let report =
            simulation.experiment.fleet.report_in_answers.then(|| (REPORT_HEADER, server.load_report()));
        wire.write(&answer_bytes(200, report.as_slice(), body.as_bytes())).await.is_ok()
    }
}
