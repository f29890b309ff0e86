//! The emulated config servers on the network: HTTP/1.1 listeners and connections for the models of
//! [`crate::server`].

mod connection;
mod member;
mod members;
mod probes;
mod requests;

pub use member::{Member, Reachability};
pub use members::Members;

use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::scenario::FaultKind;
use crate::schedule::{hashed, lognormal_factor};
use connection::Connection;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Retry interval for binding an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Key of the draws of network delays. Changing it changes the results of every seed.
const DRAW_NETWORK_DELAY: u64 = 42;

/// The listeners of all servers and the network delays to them.
pub struct Fleet<F: Fabric> {
    environment: Rc<Environment<F>>,
    draw_count: Cell<u64>,
}

impl<F: Fabric> Fleet<F> {
    /// Creates a fleet that does not listen yet.
    pub fn new(environment: Rc<Environment<F>>) -> Rc<Fleet<F>> {
        Rc::new(Fleet { environment, draw_count: Cell::new(0) })
    }

    /// The number of the next draw, counted from 1 over the simulation.
    pub fn next_draw(&self) -> u64 {
        self.draw_count.set(self.draw_count.get() + 1);
        self.draw_count.get()
    }

    /// Draws a one-way network delay between a sidecar and a server (ms).
    fn draw_one_way_delay(&self, sidecar: usize, member: &Member) -> f64 {
        let schedule = &self.environment.schedule;
        let network = schedule.network;
        let same_zone = schedule.sidecars[sidecar].zone == member.model.borrow().parameters.zone;
        let draw = hashed(schedule.seed, &[DRAW_NETWORK_DELAY, self.next_draw()]);
        (if same_zone { network.same_zone } else { network.cross_zone })
            * lognormal_factor(network.jitter, draw)
    }

    /// The share of responses that is corrupted now.
    fn corrupted_share(&self) -> f64 {
        let clock = &self.environment.clock;
        let active =
            self.environment.schedule.active(FaultKind::Garble, clock.now() - clock.scenario_start());
        active.map(|t| t.part).sum()
    }

    /// Starts the tasks of a server: its model and one listener per sidecar.
    pub fn serve(self: &Rc<Self>, member: &Rc<Member>) {
        spawn_local(self.clone().run_model(member.clone()));
        for sidecar in 0..self.environment.schedule.sidecars.len() {
            spawn_local(self.clone().listen(member.clone(), sidecar));
        }
    }

    /// Advances a server's model at each of its events.
    async fn run_model(self: Rc<Self>, member: Rc<Member>) {
        let clock = &self.environment.clock;
        loop {
            let next = member.model.borrow().next_event();
            tokio::select! {
                biased;
                () = member.changed.notified() => {}
                () = clock.sleep_until(next) => {}
            }
            member.advance(clock.now());
        }
    }

    /// Listens for one sidecar at a server's address, following the server's reachability.
    async fn listen(self: Rc<Self>, member: Rc<Member>, sidecar: usize) {
        let fabric = &self.environment.fabric;
        let address = self.environment.addresses.server(sidecar, member.address_index);
        let mut reachability = member.reachability.subscribe();
        loop {
            let now = *reachability.borrow_and_update();
            match now {
                Reachability::Up(_) => match fabric.bind(address).await {
                    Ok(listener) => self.accept(&listener, &mut reachability, &member, sidecar).await,
                    Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
                },
                Reachability::Down => drop(reachability.changed().await),
                Reachability::Cut => {
                    let _block = fabric.block_connects(address).await;
                    let _ = reachability.changed().await;
                }
            }
        }
    }

    /// Accepts connections until the server's reachability changes.
    async fn accept(
        self: &Rc<Self>,
        listener: &F::Listener,
        reachability: &mut watch::Receiver<Reachability>,
        member: &Rc<Member>,
        sidecar: usize,
    ) {
        loop {
            tokio::select! {
                biased;
                _ = reachability.changed() => return,
                stream = self.environment.fabric.accept(listener) => {
                    let Ok(stream) = stream else { continue };
                    spawn_local(Connection::serve(self.clone(), member.clone(), sidecar, stream));
                }
            }
        }
    }
}
