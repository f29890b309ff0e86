//! A hollow config server: it answers probes and requests after a time, and has no queue.

use super::link::{Accepted, Link, Service};
use super::metered::ByteCount;
use super::metrics::ServerCounts;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{answer_bytes, Request};
use roseproxy_emulator::plan::hashed;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Cores that its load report counts in.
const CORES: f64 = 4.0;

/// Where an answer carries a load report.
const REPORT_HEADER: &str = "server-load";

/// A config server.
pub struct ConfigServer {
    /// The way to it from each region.
    pub links: Vec<watch::Sender<Link>>,
    /// What came to it.
    pub counts: Cell<ServerCounts>,
    in_flight: Cell<u32>,
}

impl ConfigServer {
    /// A server that can be reached.
    pub fn new(regions: usize) -> ConfigServer {
        ConfigServer {
            links: (0..regions).map(|_| watch::channel(Link::Up).0).collect(),
            counts: Cell::default(),
            in_flight: Cell::new(0),
        }
    }

    /// Sets all ways to it.
    pub fn set_links(&self, link: Link) {
        for way in &self.links {
            way.send_replace(link);
        }
    }

    fn count(&self, change: impl FnOnce(&mut ServerCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn report(&self) -> String {
        let in_flight = self.in_flight.get();
        let utilisation = (f64::from(in_flight) / CORES).min(1.0);
        format!("TEXT inflight={in_flight}, queue=0, util={utilisation:.2}")
    }
}

/// A request that a server works on.
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

/// A config server as the sidecars of one region reach it.
pub struct ServerService<F: Fabric> {
    /// The simulation.
    pub simulation: Rc<Simulation<F>>,
    /// Its number.
    pub server: usize,
    /// The region that its clients are in.
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
        let mut counted = 0;
        while let Ok(request) = wire.read_request().await {
            let probe = request.path == "/stats";
            let fine = if probe { self.probe(wire).await } else { self.attempt(wire, &request).await };
            let now = bytes.get();
            let new = now - counted;
            counted = now;
            server.count(|c| if probe { c.probe_bytes += new } else { c.attempt_bytes += new });
            if !fine {
                return;
            }
        }
    }
}

impl<F: Fabric> ServerService<F> {
    fn way(&self) -> f64 {
        let network = &self.simulation.experiment.network;
        if self.simulation.topology.region(self.server) == self.from_region {
            network.same_region_ms
        } else {
            network.cross_region_ms
        }
    }

    /// Answers a probe; false where the connection ends.
    async fn probe(&self, wire: &mut Accepted<F>) -> bool {
        let server = &self.simulation.servers[self.server];
        server.count(|c| c.probes += 1);
        self.simulation.sleep(2.0 * self.way()).await;
        wire.write(&answer_bytes(200, &[], server.report().as_bytes())).await.is_ok()
    }

    /// Answers a request; false where the connection ends.
    async fn attempt(&self, wire: &mut Accepted<F>, request: &Request) -> bool {
        let (simulation, server) = (&self.simulation, &self.simulation.servers[self.server]);
        let id = request.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some(id) = id else {
            return wire.write(&answer_bytes(404, &[], b"no id\n")).await.is_ok();
        };
        server.count(|c| c.attempts += 1);
        simulation.audit.borrow_mut().attempt(simulation.now(), id, self.server);
        let _in_flight = InFlight::begin(server);
        // From half to one and a half times the mean.
        let work = simulation.experiment.calls.work_ms * (0.5 + hashed(simulation.experiment.seed, &[1, id]));
        let answered = async {
            simulation.sleep(2.0 * self.way() + work).await;
        };
        tokio::select! {
            biased;
            () = answered => {}
            // The sidecar has given it up.
            more = wire.fill_buffer() => if !matches!(more, Ok(true)) { return false },
        }
        let body = format!("{{\"id\":\"{id:016x}\",\"server\":\"cs-{:04}\",\"valid\":true}}\n", self.server);
        let report = simulation.experiment.fleet.report_in_answers.then(|| (REPORT_HEADER, server.report()));
        wire.write(&answer_bytes(200, report.as_slice(), body.as_bytes())).await.is_ok()
    }
}
