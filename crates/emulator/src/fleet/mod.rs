//! The HTTP/1.1 side of the config servers: listeners and connections around the models of [`crate::server`].

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
use crate::schedule::{factor, hashed};
use connection::Connection;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Interval of attempts to bind an address that is still in use.
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// The listeners of all servers, with the network delays to them.
pub struct Fleet<F: Fabric> {
    environment: Rc<Environment<F>>,
    draws: Cell<u64>,
}

impl<F: Fabric> Fleet<F> {
    /// Creates a fleet without listeners.
    pub fn new(environment: Rc<Environment<F>>) -> Rc<Fleet<F>> {
        Rc::new(Fleet { environment, draws: Cell::new(0) })
    }

    /// The number of the next draw, counted from 1 over the whole simulation.
    pub fn next_draw(&self) -> u64 {
        self.draws.set(self.draws.get() + 1);
        self.draws.get()
    }

    /// Draws a one-way network delay between a sidecar and a server (ms).
    fn one_way(&self, sidecar: usize, member: &Member) -> f64 {
        let schedule = &self.environment.schedule;
        let network = schedule.network;
        let near = schedule.sidecars[sidecar].zone == member.model.borrow().plan.zone;
        let draw = hashed(schedule.seed, &[42, self.next_draw()]);
        (if near { network.same_zone } else { network.cross_zone }) * factor(network.jitter, draw)
    }

    /// The share of the responses that is corrupted at this time.
    fn corrupted_share(&self) -> f64 {
        let clock = &self.environment.clock;
        let active = self.environment.schedule.active(FaultKind::Garble, clock.now() - clock.day_start());
        active.map(|t| t.part).sum()
    }

    /// Starts the tasks of a server: its model, and one listener for each sidecar.
    pub fn serve(self: &Rc<Self>, member: &Rc<Member>) {
        spawn_local(self.clone().keep_going(member.clone()));
        for sidecar in 0..self.environment.schedule.sidecars.len() {
            spawn_local(self.clone().listen(member.clone(), sidecar));
        }
    }

    /// Advances a server's model whenever something is due in it.
    async fn keep_going(self: Rc<Self>, member: Rc<Member>) {
        let clock = &self.environment.clock;
        loop {
            let next = member.model.borrow().next();
            tokio::select! {
                biased;
                () = member.wake.notified() => {}
                () = clock.until(next) => {}
            }
            member.touch(clock.now());
        }
    }

    /// Listens for one sidecar at a server's address, as the server's fate allows.
    async fn listen(self: Rc<Self>, member: Rc<Member>, sidecar: usize) {
        let fabric = &self.environment.fabric;
        let address = self.environment.addresses.server(sidecar, member.place);
        let mut reachability = member.reachability.subscribe();
        loop {
            let now = *reachability.borrow_and_update();
            match now {
                Reachability::Up(_) => match fabric.bind(address).await {
                    Ok(listener) => self.accept(&listener, &mut reachability, &member, sidecar).await,
                    Err(_) => tokio::time::sleep(BIND_AGAIN).await,
                },
                Reachability::Down => drop(reachability.changed().await),
                Reachability::Cut => {
                    let _mute = fabric.mute(address).await;
                    let _ = reachability.changed().await;
                }
            }
        }
    }

    /// Accepts connections until the server's fate changes.
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
