//! The simulation of a scenario: it owns clients, servers, discovery and sidecars, and runs the schedule.

mod config;
mod faults;
mod observers;
mod servers;
mod sidecars;

pub use crate::addresses::Addresses;
pub use observers::Sample;
pub use sidecars::{Sidecars, Signal};

use crate::accounting::RequestAccounting;
use crate::applications::Applications;
use crate::client::Clients;
use crate::discovery;
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::fleet::{Fleet, Member, Members};
use crate::misbehaving::MisbehavingClients;
use crate::schedule::Schedule;
use crate::server::Server;
use servers::{server_seed, DRAW_INITIAL_SERVER_SEED};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};

/// Delay between the readiness of all sidecars and the start of the scenario.
const SCENARIO_START_DELAY_MS: f64 = 50.0;

/// The simulation of a scenario on one kind of network.
///
/// [`Simulation::schedule`] and [`Simulation::accounting`] are those of the environment.
pub struct Simulation<F: Fabric> {
    /// The state that all parties share.
    pub environment: Rc<Environment<F>>,
    /// The schedule of the scenario, as drawn by its seed.
    pub schedule: Rc<Schedule>,
    /// The discovery service.
    discovery: Rc<discovery::Service<F>>,
    /// The request accounting.
    pub accounting: Rc<RefCell<RequestAccounting>>,
    /// The state of the fleet in each second.
    pub samples: RefCell<Vec<Sample>>,
    /// Mean work of the scheduled requests (ms of a standard core).
    mean_work: f64,
    members: Rc<Members>,
    fleet: Rc<Fleet<F>>,
    applications: Rc<Applications>,
    misbehaving: Rc<MisbehavingClients<F>>,
    /// The clients of the scenario.
    pub clients: Rc<Clients<F>>,
    sidecars: Rc<dyn Sidecars>,
    /// Whether all flows have ended, so that no sidecar is started again.
    ending: Cell<bool>,
}

impl<F: Fabric> Simulation<F> {
    /// Creates a simulation without starting its parties; `epoch` is the current Unix time (ms) of its clock.
    pub fn new(
        fabric: F,
        schedule: Schedule,
        addresses: Addresses,
        epoch: f64,
        sidecars: Rc<dyn Sidecars>,
    ) -> Rc<Simulation<F>> {
        let mean_work =
            schedule.arrivals.iter().map(|a| a.work).sum::<f64>() / schedule.arrivals.len().max(1) as f64;
        let members = schedule.servers.iter().enumerate().map(|(n, server)| {
            let model =
                Server::new(server.clone(), server_seed(&schedule, DRAW_INITIAL_SERVER_SEED, n), mean_work);
            Member::new(n, n, model)
        });
        let members = Rc::new(Members::new(members.collect()));
        let count = schedule.sidecars.len();
        let environment = Rc::new(Environment::new(fabric, schedule, addresses, epoch));
        let applications = Rc::new(Applications::new(count));
        let schedule = environment.schedule.clone();
        Rc::new(Simulation {
            discovery: discovery::Service::new(environment.clone(), members.clone()),
            accounting: environment.accounting.clone(),
            samples: RefCell::default(),
            mean_work,
            clients: Clients::new(environment.clone(), applications.clone(), members.clone()),
            members,
            fleet: Fleet::new(environment.clone()),
            misbehaving: MisbehavingClients::new(environment.clone(), applications.clone()),
            applications,
            sidecars,
            ending: Cell::new(false),
            environment,
            schedule,
        })
    }

    /// The time since the start of the simulation (ms).
    pub fn now(&self) -> f64 {
        self.environment.clock.now()
    }

    /// Waits until a time (ms).
    #[track_caller]
    pub fn sleep_until(&self, at: f64) -> impl Future<Output = ()> + '_ {
        self.environment.clock.sleep_until(at)
    }

    /// Waits for a duration (ms).
    #[track_caller]
    pub fn sleep(&self, millis: f64) -> impl Future<Output = ()> + '_ {
        self.environment.clock.sleep(millis)
    }

    /// Converts a time since the start of the scenario to a time since the start of the simulation (ms).
    pub fn simulation_time(&self, at: f64) -> f64 {
        self.environment.clock.simulation_time(at)
    }

    /// The time at which the scenario started (ms).
    pub fn scenario_start(&self) -> f64 {
        self.environment.clock.scenario_start()
    }

    /// The server with a number. Panics if there is none.
    pub fn member(&self, number: usize) -> Rc<Member> {
        self.members.get(number)
    }

    /// All servers, including those that have gone.
    pub fn members(&self) -> Vec<Rc<Member>> {
        self.members.all()
    }

    /// Runs the scenario to its end; returns the error of the first sidecar that could not be started, or of a
    /// simulation that is stuck.
    pub async fn run(self: &Rc<Self>) -> Result<(), String> {
        tokio::select! {
            result = self.run_to_end() => result,
            stuck = self.environment.clock.wait_until_stuck() => Err(stuck.to_string()),
        }
    }

    async fn run_to_end(self: &Rc<Self>) -> Result<(), String> {
        self.start_services();
        tokio::task::yield_now().await;
        self.start_all().await?;
        self.environment.clock.start_scenario(self.now() + SCENARIO_START_DELAY_MS);
        let checks = spawn_local(self.clone().check_processes());
        let sampling = spawn_local(self.clone().take_samples());
        let faults: Vec<_> =
            (0..self.schedule.faults.len()).map(|t| spawn_local(self.clone().inject_fault(t))).collect();
        self.sleep_until(self.scenario_start()).await;
        self.clients.clone().run().await;
        self.ending.set(true);
        let longest = self.schedule.scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        self.sleep_until(self.simulation_time(self.schedule.scenario.length_s * 1e3 + longest)).await;
        sampling.abort();
        self.compare_counters().await;
        checks.abort();
        faults.iter().for_each(JoinHandle::abort);
        self.expect_exits();
        Ok(())
    }

    /// Starts the servers and the discovery service.
    fn start_services(self: &Rc<Self>) {
        self.members().iter().for_each(|member| self.fleet.serve(member));
        for sidecar in 0..self.schedule.sidecars.len() {
            spawn_local(self.discovery.clone().listen(sidecar));
        }
    }
}
