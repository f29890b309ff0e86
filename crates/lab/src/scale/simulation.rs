//! One run: discovery, config servers and applications round a fleet of sidecars.

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
use roseproxy_emulator::world::Signal;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a sidecar may take to become ready (ms), and how often it is asked whether it is.
const READY_WITHIN: f64 = 120_000.0;
const ASK_READY: f64 = 100.0;
/// How long a sidecar that was told to end may take (ms).
const END_WITHIN: f64 = 6_000.0;
/// How long applications still send after that (ms).
const STILL_SENDS: f64 = 300.0;
/// How long all sidecars may take to open their watches (ms).
const WATCHED_WITHIN: f64 = 90_000.0;
/// What is written off behind that, as the first connections and probes are made (ms).
const SETTLE: f64 = 3_000.0;

/// How often a sidecar that was told of a change is asked whether it has it in force (ms), and for how long.
const ASK_IN_FORCE: f64 = 50.0;
const IN_FORCE_WITHIN: f64 = 60_000.0;
/// The counter that names the version of the list in hand.
const REVISION_COUNTER: &str = "discovery_revision ";

/// A sidecar as its application sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SidecarState {
    /// Whether the application sends.
    pub ready: bool,
    /// How often it was started.
    pub starts: u64,
    /// The version that it was told last.
    told: u64,
    /// Whether it is being asked for the version that it has in force.
    asked: bool,
}

/// What a run has measured.
#[derive(Default)]
pub struct Measured {
    /// Each second of the run.
    pub seconds: Vec<Second>,
    /// CPU time and memory of the sidecars, at the start of each second.
    pub usage: Vec<Usage>,
}

/// One run.
pub struct Simulation<F: Fabric> {
    /// What streams are made of.
    pub fabric: F,
    /// What is run.
    pub experiment: Experiment,
    /// Who is where.
    pub topology: Topology,
    /// Discovery.
    pub discovery: Discovery,
    /// The config servers.
    pub servers: Vec<ConfigServer>,
    /// The applications.
    pub clients: Clients<F>,
    /// The rules.
    pub audit: RefCell<Audit>,
    /// When sidecars were told of changes.
    pub told: RefCell<Convergence>,
    /// When they had them in force, by their own word.
    pub in_force: RefCell<Convergence>,
    /// What was measured.
    pub measured: RefCell<Measured>,
    sidecars: Rc<dyn SidecarHost>,
    configs: SidecarConfigs,
    states: RefCell<Vec<SidecarState>>,
    origin: Instant,
    epoch: f64,
    /// When the measurement began (ms).
    start: Cell<f64>,
}

impl<F: Fabric> Simulation<F> {
    /// A run at its beginning; `epoch` is the Unix time (ms) then.
    pub fn new(
        fabric: F,
        experiment: Experiment,
        topology: Topology,
        epoch: f64,
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
            epoch,
            start: Cell::new(0.0),
            topology,
            experiment,
        }))
    }

    /// The time: ms since the run began.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The Unix time (ms).
    pub fn unix_now(&self) -> f64 {
        self.epoch + self.now()
    }

    /// Waits until a time.
    pub async fn until(&self, at: f64) {
        // A hair later, so that the time has come when it is waited for.
        let at = self.origin + Duration::from_secs_f64(at.clamp(0.0, 1e10) / 1e3 + 1e-8);
        tokio::time::sleep_until(at).await;
    }

    /// Waits for so long (ms).
    pub async fn sleep(&self, millis: f64) {
        self.until(self.now() + millis).await;
    }

    /// A time of the experiment (s) as the run's (ms).
    pub fn at(&self, seconds: f64) -> f64 {
        self.start.get() + seconds * 1e3
    }

    /// A sidecar's state.
    pub fn state(&self, sidecar: usize) -> SidecarState {
        self.states.borrow()[sidecar]
    }

    /// A version was published.
    pub fn published(&self, revision: u64) {
        self.told.borrow_mut().published(self.now(), revision);
        self.in_force.borrow_mut().published(self.now(), revision);
    }

    /// A sidecar was told of a version; it is asked from now on whether it has it in force.
    pub fn told_revision(self: &Rc<Self>, sidecar: usize, revision: u64) {
        self.told.borrow_mut().told(self.now(), sidecar, revision);
        let state = &mut self.states.borrow_mut()[sidecar];
        state.told = revision;
        if !state.asked {
            state.asked = true;
            let simulation = self.clone();
            spawn_local(async move {
                simulation.ask_in_force(sidecar).await;
                simulation.states.borrow_mut()[sidecar].asked = false;
            });
        }
    }

    /// Asks a sidecar until it has in force what it was told last.
    async fn ask_in_force(&self, sidecar: usize) {
        let until = self.now() + IN_FORCE_WITHIN;
        while self.now() < until {
            let answer = self.call(sidecar, "/health/counters").await;
            let counters = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned()).unwrap_or_default();
            let revision = counters.lines().find_map(|line| line.strip_prefix(REVISION_COUNTER));
            if let Some(revision) = revision.and_then(|text| text.trim().parse().ok()) {
                self.in_force.borrow_mut().told(self.now(), sidecar, revision);
                if revision >= self.state(sidecar).told {
                    return;
                }
            }
            self.sleep(ASK_IN_FORCE).await;
        }
    }

    /// A call of the laboratory's own to a sidecar.
    async fn call(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let ask = async {
            let stream = self.fabric.connect(self.topology.sidecar(sidecar)).await.ok()?;
            let mut wire = Wire::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nhost: origin.svc\r\nconnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            wire.read_answer().await.ok()
        };
        tokio::time::timeout(Duration::from_secs(1), ask).await.ok().flatten()
    }

    /// Starts a sidecar, and returns once it is ready.
    async fn start_sidecar(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.state(sidecar).starts;
        let revision = self.discovery.revision();
        let known = self.experiment.fleet.known_list.then(|| discovery::known_list(self, sidecar));
        let has_list = known.is_some();
        let config = self.configs.config(&self.topology, sidecar, starts, known);
        self.sidecars.start(sidecar, &config)?;
        self.states.borrow_mut()[sidecar].starts += 1;
        let began = self.now();
        while self.now() - began < READY_WITHIN {
            if self.call(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                if has_list {
                    self.told_revision(sidecar, revision);
                }
                self.states.borrow_mut()[sidecar].ready = true;
                return Ok(());
            }
            self.sleep(ASK_READY).await;
        }
        Err(format!("sidecar {sidecar} was not ready {READY_WITHIN} ms after its start"))
    }

    /// Tells a sidecar to end, waits until it has, and starts it again.
    pub async fn restart_sidecar(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(STILL_SENDS).await;
        self.states.borrow_mut()[sidecar].ready = false;
        self.clients.forget(sidecar);
        let until = self.now() + END_WITHIN;
        while !self.sidecars.ended(sidecar) && self.now() < until {
            self.sleep(20.0).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.start_sidecar(sidecar).await
    }

    fn open(self: &Rc<Self>) {
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

    /// Takes each second's counts.
    async fn measure(self: Rc<Self>) {
        let mut discovery = self.discovery.counts.get();
        let mut servers: Vec<ServerCounts> = self.servers.iter().map(|s| s.counts.get()).collect();
        let mut calls = self.clients.counts.get();
        for second in 0.. {
            let usage = self.sidecars.usage();
            self.measured.borrow_mut().usage.push(usage);
            self.until(self.at((second + 1) as f64)).await;
            let mut one = Second { second, ..Second::default() };
            let now = self.discovery.counts.get();
            one.discovery = now - std::mem::replace(&mut discovery, now);
            one.watching = self.discovery.watching();
            let now = self.clients.counts.get();
            one.calls = now - std::mem::replace(&mut calls, now);
            let mut busiest = Busiest::default();
            for (server, before) in self.servers.iter().zip(&mut servers) {
                let now = server.counts.get();
                let counts = now - std::mem::replace(before, now);
                one.servers += counts;
                busiest.include(&counts);
            }
            one.busiest_server = busiest;
            self.measured.borrow_mut().seconds.push(one);
        }
    }

    /// The first fault.
    pub fn fault(&self) -> Option<&Fault> {
        self.experiment.faults.first()
    }

    /// Runs the experiment; `tick` hears of each second that has passed.
    pub async fn run(self: &Rc<Self>, tick: impl Fn(u64) + 'static) -> Result<(), String> {
        self.open();
        tokio::task::yield_now().await;
        let starting: Vec<_> = (0..self.experiment.fleet.sidecars)
            .map(|sidecar| {
                let simulation = self.clone();
                spawn_local(async move { simulation.start_sidecar(sidecar).await })
            })
            .collect();
        for one in starting {
            one.await.map_err(|e| e.to_string())??;
        }
        let began = self.now();
        while self.discovery.watching() < self.experiment.fleet.sidecars {
            if self.now() - began > WATCHED_WITHIN {
                return Err(format!("only {} sidecars watch discovery", self.discovery.watching()));
            }
            self.sleep(ASK_READY).await;
        }
        self.start.set(self.now() + SETTLE);
        let mut tasks = vec![spawn_local(clients::send(self.clone()))];
        self.until(self.at(0.0)).await;
        tasks.push(spawn_local(self.clone().measure()));
        tasks.push(spawn_local(changes::publish(self.clone())));
        tasks.extend((0..self.experiment.faults.len()).map(|f| spawn_local(faults::inject(self.clone(), f))));
        for second in 1..=self.experiment.length_s as u64 {
            self.until(self.at(second as f64)).await;
            self.sidecars.check()?;
            tick(second);
        }
        // The last second is taken first.
        self.sleep(10.0).await;
        tasks.iter().for_each(|task| task.abort());
        Ok(())
    }
}
