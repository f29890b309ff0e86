//! One run of a scale experiment: discovery, config servers and applications with a fleet of sidecars.

use super::audit::Audit;
use super::changes;
use super::clients::{self, Clients};
use super::config_server::{ConfigServer, ServerService};
use super::convergence::Convergence;
use super::discovery::{self, Discovery, DiscoveryService};
use super::experiment::{Experiment, Fault};
use super::faults;
use super::link;
use super::metrics::{Busiest, Second, ServerCounts};
use super::sidecar_config::SidecarConfigs;
use super::sidecars::{SidecarHost, Usage};
use super::topology::Topology;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{Answer, Wire};
use roseproxy_emulator::simulation::Signal;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Most time from the start of a sidecar until it is ready.
const READY_TIMEOUT_MS: f64 = 120_000.0;
/// How often a starting sidecar is asked whether it is ready.
const READY_POLL_INTERVAL_MS: f64 = 100.0;
/// Most time that a sidecar has to end after SIGTERM before it is killed.
const SHUTDOWN_TIMEOUT_MS: f64 = 6_000.0;
/// How often it is checked whether a sidecar has ended.
const SHUTDOWN_POLL_INTERVAL_MS: f64 = 20.0;
/// How long an application still sends calls after its sidecar was sent SIGTERM.
const SEND_AFTER_TERM_MS: f64 = 300.0;
/// Most time until all sidecars have opened their watches.
const WATCH_TIMEOUT_MS: f64 = 90_000.0;
/// Time after that which is not measured, because the first connections and probes are made in it.
const SETTLE_MS: f64 = 3_000.0;

/// How often a sidecar that was told of a change is asked whether the change is in force.
const IN_FORCE_POLL_INTERVAL_MS: f64 = 50.0;
/// How long it is asked.
const IN_FORCE_TIMEOUT_MS: f64 = 60_000.0;
/// Name of the counter that holds the revision of the sidecar's current list.
const REVISION_COUNTER: &str = "discovery_revision ";

/// A sidecar as its application sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SidecarState {
    /// Whether the sidecar is ready and the application sends calls.
    pub ready: bool,
    /// Number of starts.
    pub starts: u64,
    /// The latest revision that the sidecar was told.
    told_revision: u64,
    /// Whether a task is polling the sidecar for the revision that it has in force.
    polled: bool,
}

/// Measurements of a run.
#[derive(Default)]
pub struct Measured {
    /// Counts of each second.
    pub seconds: Vec<Second>,
    /// CPU time and memory of the sidecars, at the start of each second.
    pub usage: Vec<Usage>,
}

/// One run of a scale experiment.
pub struct Simulation<F: Fabric> {
    /// The network: in-memory streams or loopback sockets.
    pub fabric: F,
    /// The experiment that is run.
    pub experiment: Experiment,
    /// Regions, zones and addresses.
    pub topology: Topology,
    /// The simulated discovery service.
    pub discovery: Discovery,
    /// The simulated config servers.
    pub servers: Vec<ConfigServer>,
    /// The applications.
    pub clients: Clients<F>,
    /// The checks of the rules.
    pub audit: RefCell<Audit>,
    /// When sidecars were told of changes.
    pub told: RefCell<Convergence>,
    /// When sidecars had changes in force, by their own counter.
    pub in_force: RefCell<Convergence>,
    /// Measurements so far.
    pub measured: RefCell<Measured>,
    sidecars: Rc<dyn SidecarHost>,
    configs: SidecarConfigs,
    states: RefCell<Vec<SidecarState>>,
    origin: Instant,
    epoch_ms: f64,
    /// Start of the measurement.
    start_ms: Cell<f64>,
}

impl<F: Fabric> Simulation<F> {
    /// A run that has not begun; `epoch_ms` is the current Unix time.
    pub fn new(
        fabric: F,
        experiment: Experiment,
        topology: Topology,
        epoch_ms: f64,
        sidecars: Rc<dyn SidecarHost>,
    ) -> Result<Rc<Simulation<F>>, String> {
        let (count, regions) = (experiment.fleet.sidecars, experiment.fleet.regions);
        Ok(Rc::new(Simulation {
            fabric,
            discovery: Discovery::new(experiment.fleet.servers, regions),
            servers: (0..experiment.fleet.servers).map(|_| ConfigServer::new(regions)).collect(),
            clients: Clients::new(count),
            audit: RefCell::new(Audit::new(&experiment)),
            told: RefCell::new(Convergence::new(count)),
            in_force: RefCell::new(Convergence::new(count)),
            measured: RefCell::default(),
            sidecars,
            configs: SidecarConfigs::new(&experiment)?,
            states: RefCell::new(vec![SidecarState::default(); count]),
            origin: Instant::now(),
            epoch_ms,
            start_ms: Cell::new(0.0),
            topology,
            experiment,
        }))
    }

    /// Time since the simulation was created (ms).
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// Unix time (ms).
    pub fn unix_now(&self) -> f64 {
        self.epoch_ms + self.now()
    }

    /// Waits until a time of the run (ms).
    pub async fn sleep_until(&self, at_ms: f64) {
        // Wakes 10 ns late, so that rounding cannot make the wait end before the time.
        let deadline = self.origin + Duration::from_secs_f64(at_ms.clamp(0.0, 1e10) / 1e3 + 1e-8);
        tokio::time::sleep_until(deadline).await;
    }

    /// Waits for a duration (ms).
    pub async fn sleep(&self, millis: f64) {
        self.sleep_until(self.now() + millis).await;
    }

    /// Converts a time of the experiment (s from the start of the measurement) to a time of the run (ms).
    pub fn run_time_ms(&self, seconds: f64) -> f64 {
        self.start_ms.get() + seconds * 1e3
    }

    /// The state of a sidecar.
    pub fn state(&self, sidecar: usize) -> SidecarState {
        self.states.borrow()[sidecar]
    }

    /// Records that a revision was published.
    pub fn record_published(&self, revision: u64) {
        self.told.borrow_mut().record_published(self.now(), revision);
        self.in_force.borrow_mut().record_published(self.now(), revision);
    }

    /// Records that a sidecar was told of a revision, and polls the sidecar until the revision is in force.
    pub fn record_told_revision(self: &Rc<Self>, sidecar: usize, revision: u64) {
        self.told.borrow_mut().record_told(self.now(), sidecar, revision);
        let state = &mut self.states.borrow_mut()[sidecar];
        state.told_revision = revision;
        if !state.polled {
            state.polled = true;
            let simulation = self.clone();
            spawn_local(async move {
                simulation.poll_until_in_force(sidecar).await;
                simulation.states.borrow_mut()[sidecar].polled = false;
            });
        }
    }

    /// Polls a sidecar until the latest revision that it was told is in force, or the time-out has passed.
    async fn poll_until_in_force(&self, sidecar: usize) {
        let deadline = self.now() + IN_FORCE_TIMEOUT_MS;
        while self.now() < deadline {
            let answer = self.query_sidecar(sidecar, "/health/counters").await;
            let counters = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default();
            let revision = counters.lines().find_map(|line| line.strip_prefix(REVISION_COUNTER));
            if let Some(revision) = revision.and_then(|text| text.trim().parse().ok()) {
                self.in_force.borrow_mut().record_told(self.now(), sidecar, revision);
                if revision >= self.state(sidecar).told_revision {
                    return;
                }
            }
            self.sleep(IN_FORCE_POLL_INTERVAL_MS).await;
        }
    }

    /// Sends a request to a sidecar's own endpoints; `None` if it is not answered within a second.
    async fn query_sidecar(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let exchange = async {
            let stream = self.fabric.connect(self.topology.sidecar(sidecar)).await.ok()?;
            let mut wire = Wire::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nhost: origin.svc\r\nconnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            wire.read_answer().await.ok()
        };
        tokio::time::timeout(Duration::from_secs(1), exchange).await.ok().flatten()
    }

    /// Starts a sidecar and waits until it is ready.
    async fn start_sidecar(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.state(sidecar).starts;
        let revision = self.discovery.revision();
        let known = self.experiment.fleet.known_list.then(|| discovery::known_list(self, sidecar));
        let has_list = known.is_some();
        let config = self.configs.config(&self.topology, sidecar, starts, known);
        self.sidecars.start(sidecar, &config)?;
        self.states.borrow_mut()[sidecar].starts += 1;
        let began = self.now();
        while self.now() - began < READY_TIMEOUT_MS {
            if self.query_sidecar(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                if has_list {
                    self.record_told_revision(sidecar, revision);
                }
                self.states.borrow_mut()[sidecar].ready = true;
                return Ok(());
            }
            self.sleep(READY_POLL_INTERVAL_MS).await;
        }
        Err(format!("sidecar {sidecar} was not ready {READY_TIMEOUT_MS} ms after its start"))
    }

    /// Sends SIGTERM to a sidecar, waits until it has ended, kills it after the time-out and starts it again.
    pub async fn restart_sidecar(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(SEND_AFTER_TERM_MS).await;
        self.states.borrow_mut()[sidecar].ready = false;
        self.clients.close_connections(sidecar);
        let deadline = self.now() + SHUTDOWN_TIMEOUT_MS;
        while !self.sidecars.ended(sidecar) && self.now() < deadline {
            self.sleep(SHUTDOWN_POLL_INTERVAL_MS).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.start_sidecar(sidecar).await
    }

    /// Spawns the listeners of all config servers and of discovery.
    fn spawn_listeners(self: &Rc<Self>) {
        let fleet = &self.experiment.fleet;
        for server in 0..fleet.servers {
            for from_region in 0..fleet.regions {
                let service = ServerService { simulation: self.clone(), server, from_region };
                let link = self.servers[server].links[from_region].subscribe();
                let address = self.topology.server(server, from_region);
                spawn_local(link::listen(self.fabric.clone(), address, link, service));
            }
        }
        for sidecar in 0..fleet.sidecars {
            let service = DiscoveryService { simulation: self.clone(), sidecar };
            let link = self.discovery.links[self.topology.region(sidecar)].subscribe();
            let address = self.topology.discovery(sidecar);
            spawn_local(link::listen(self.fabric.clone(), address, link, service));
        }
    }

    /// Records the counts of each second until the future is dropped.
    async fn measure(self: Rc<Self>) {
        let mut discovery = self.discovery.counts.get();
        let mut servers: Vec<ServerCounts> = self.servers.iter().map(|s| s.counts.get()).collect();
        let mut calls = self.clients.counts.get();
        for second in 0.. {
            let usage = self.sidecars.usage();
            self.measured.borrow_mut().usage.push(usage);
            self.sleep_until(self.run_time_ms((second + 1) as f64)).await;
            let mut measured_second = Second { second, ..Second::default() };
            let now = self.discovery.counts.get();
            measured_second.discovery = now - std::mem::replace(&mut discovery, now);
            measured_second.watching = self.discovery.open_watches();
            let now = self.clients.counts.get();
            measured_second.calls = now - std::mem::replace(&mut calls, now);
            let mut busiest = Busiest::default();
            for (server, before) in self.servers.iter().zip(&mut servers) {
                let now = server.counts.get();
                let counts = now - std::mem::replace(before, now);
                measured_second.servers += counts;
                busiest.include(&counts);
            }
            measured_second.busiest_server = busiest;
            self.measured.borrow_mut().seconds.push(measured_second);
        }
    }

    /// The first fault of the experiment.
    pub fn first_fault(&self) -> Option<&Fault> {
        self.experiment.faults.first()
    }

    /// Runs the experiment; calls `on_second` after each second.
    pub async fn run(self: &Rc<Self>, on_second: impl Fn(u64) + 'static) -> Result<(), String> {
        self.spawn_listeners();
        tokio::task::yield_now().await;
        let starting: Vec<_> = (0..self.experiment.fleet.sidecars)
            .map(|sidecar| {
                let simulation = self.clone();
                spawn_local(async move { simulation.start_sidecar(sidecar).await })
            })
            .collect();
        for start in starting {
            start.await.map_err(|e| e.to_string())??;
        }
        let began = self.now();
        while self.discovery.open_watches() < self.experiment.fleet.sidecars {
            if self.now() - began > WATCH_TIMEOUT_MS {
                return Err(format!(
                    "only {} sidecars watch discovery after {WATCH_TIMEOUT_MS} ms",
                    self.discovery.open_watches()
                ));
            }
            self.sleep(READY_POLL_INTERVAL_MS).await;
        }
        self.start_ms.set(self.now() + SETTLE_MS);
        let mut tasks = vec![spawn_local(clients::send_calls(self.clone()))];
        self.sleep_until(self.run_time_ms(0.0)).await;
        tasks.push(spawn_local(self.clone().measure()));
        tasks.push(spawn_local(changes::publish_changes(self.clone())));
        tasks.extend(
            (0..self.experiment.faults.len()).map(|f| spawn_local(faults::inject_fault(self.clone(), f))),
        );
        for second in 1..=self.experiment.length_s as u64 {
            self.sleep_until(self.run_time_ms(second as f64)).await;
            self.sidecars.check()?;
            on_second(second);
        }
        // Lets the measurement record the last second before the tasks are aborted.
        self.sleep(10.0).await;
        tasks.iter().for_each(|task| task.abort());
        Ok(())
    }
}
