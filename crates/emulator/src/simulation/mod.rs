//! The simulation of a scenario: it owns clients, servers, discovery and sidecars, and plays the schedule.

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
use servers::server_seed;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::task::{spawn_local, JoinHandle};

/// The simulation of a scenario on one kind of network.
///
/// The fields [`Simulation::plan`] and [`Simulation::ledger`] are those of the environment.
pub struct Simulation<F: Fabric> {
    /// The state that all parties share.
    pub environment: Rc<Environment<F>>,
    /// The schedule of the scenario, as drawn by its seed.
    pub plan: Rc<Schedule>,
    /// The discovery service.
    discovery: Rc<discovery::Service<F>>,
    /// The request accounting.
    pub ledger: Rc<RefCell<RequestAccounting>>,
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
    ending: Cell<bool>,
}

impl<F: Fabric> Simulation<F> {
    /// Creates a simulation that has not started; `epoch` is the Unix time (ms) that its clock shows then.
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
            let model = Server::new(server.clone(), server_seed(&schedule, 41, n), mean_work);
            Member::new(n, n, model)
        });
        let members = Rc::new(Members::new(members.collect()));
        let count = schedule.sidecars.len();
        let environment = Rc::new(Environment::new(fabric, schedule, addresses, epoch));
        let applications = Rc::new(Applications::new(count));
        let schedule = environment.schedule.clone();
        Rc::new(Simulation {
            discovery: discovery::Service::new(environment.clone(), members.clone()),
            ledger: environment.accounting.clone(),
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
            plan: schedule,
        })
    }

    /// The time since the simulation's start (ms).
    pub fn now(&self) -> f64 {
        self.environment.clock.now()
    }

    /// Waits until a time (ms).
    pub async fn until(&self, at: f64) {
        self.environment.clock.until(at).await;
    }

    /// Waits for a duration (ms).
    pub async fn sleep(&self, millis: f64) {
        self.environment.clock.sleep(millis).await;
    }

    /// Converts a time since the scenario's begin to one since the simulation's start (ms).
    pub fn day_at(&self, at: f64) -> f64 {
        self.environment.clock.day_at(at)
    }

    /// When the scenario began (ms).
    pub fn day_start(&self) -> f64 {
        self.environment.clock.day_start()
    }

    /// The server of a number. Panics where there is none.
    pub fn member(&self, number: usize) -> Rc<Member> {
        self.members.get(number)
    }

    /// All servers, including those that have gone.
    pub fn members(&self) -> Vec<Rc<Member>> {
        self.members.all()
    }

    /// Plays the scenario to its end. The error is that of the first sidecar that could not be started.
    pub async fn play(self: &Rc<Self>) -> Result<(), String> {
        self.open();
        tokio::task::yield_now().await;
        self.start_all().await?;
        self.environment.clock.begin_day(self.now() + 50.0);
        let watch = spawn_local(self.clone().watch());
        let sample = spawn_local(self.clone().sample());
        let faults: Vec<_> =
            (0..self.plan.troubles.len()).map(|t| spawn_local(self.clone().fault(t))).collect();
        self.until(self.day_start()).await;
        self.clients.clone().ask().await;
        self.ending.set(true);
        let longest = self.plan.day.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        self.until(self.day_at(self.plan.day.length_s * 1e3 + longest)).await;
        sample.abort();
        self.compare_counters().await;
        watch.abort();
        faults.iter().for_each(JoinHandle::abort);
        self.expect_ends();
        Ok(())
    }

    /// Starts the servers and the discovery service.
    fn open(self: &Rc<Self>) {
        self.members().iter().for_each(|member| self.fleet.serve(member));
        for sidecar in 0..self.plan.sidecars.len() {
            spawn_local(self.discovery.clone().listen(sidecar));
        }
    }
}
