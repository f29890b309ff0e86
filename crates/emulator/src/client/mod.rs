//! Clients: open-loop load from the applications beside the sidecars, with retries and oracles on responses.

mod connections;
mod exchange;

use crate::accounting::{Regret, TryEnd};
use crate::applications::Applications;
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::fleet::Members;
use crate::scenario::Effect;
use crate::schedule::hashed;
use connections::Connections;
use exchange::Exchange;
use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Time that must be left before the deadline for another try (ms).
const LEAST: f64 = 20.0;
/// Number of request tasks above which finished ones are removed from the list.
const OPEN_TASKS: usize = 4096;

/// The clients of a scenario, with their idle connections.
pub struct Clients<F: Fabric> {
    environment: Rc<Environment<F>>,
    applications: Rc<Applications>,
    members: Rc<Members>,
    connections: Connections<F::Stream>,
    unasked: RefCell<BTreeSet<usize>>,
}

impl<F: Fabric> Clients<F> {
    /// Creates the clients; `members` is used to tell whether a server could have served a rejected request.
    pub fn new(
        environment: Rc<Environment<F>>,
        applications: Rc<Applications>,
        members: Rc<Members>,
    ) -> Rc<Clients<F>> {
        let schedule = &environment.schedule;
        let connections = Connections::new(schedule.sidecars.len(), schedule.day.limits.sockets);
        Rc::new(Clients { environment, applications, members, connections, unasked: RefCell::default() })
    }

    /// Arrivals that were never sent, as their application was down.
    pub fn unasked(&self) -> Ref<'_, BTreeSet<usize>> {
        self.unasked.borrow()
    }

    /// Closes the idle connections to a sidecar.
    pub fn close(&self, sidecar: usize) {
        self.connections.close(sidecar);
    }

    /// Sends every scheduled request at its time; returns when the last one has ended.
    pub async fn ask(self: Rc<Self>) {
        let mut open = Vec::new();
        let clock = &self.environment.clock;
        for (flow, arrival) in self.environment.schedule.arrivals.iter().enumerate() {
            clock.until(clock.day_at(arrival.at)).await;
            // The application stops with its sidecar and sends nothing while it is down.
            if !self.applications.asks(arrival.sidecar) {
                self.unasked.borrow_mut().insert(flow);
                continue;
            }
            open.push(spawn_local(self.clone().follow(flow)));
            if open.len() > OPEN_TASKS {
                open.retain(|task| !task.is_finished());
            }
        }
        for task in open {
            let _ = task.await;
        }
    }

    /// One request with all its tries.
    async fn follow(self: Rc<Self>, flow: usize) {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let arrival = &schedule.arrivals[flow];
        let class = schedule.class(arrival);
        let begun = clock.now();
        let honours = hashed(schedule.seed, &[21, flow as u64]) < schedule.clients.honour;
        for number in 0..=schedule.clients.retries {
            let left = begun + class.deadline_ms - clock.now();
            if left < LEAST {
                return;
            }
            let patience = left.min(class.deadline_ms * schedule.clients.try_share);
            let end = self.attempt(flow, number, patience).await;
            if !may_retry(end, class.effect) || !self.applications.asks(arrival.sidecar) {
                return;
            }
            let wait = match end {
                TryEnd::Refused(advice) if honours && advice > 0.0 => advice,
                _ => schedule.clients.backoff,
            };
            if wait > 0.0 {
                clock.sleep(wait).await;
            }
        }
    }

    /// One try within this time (ms): waits for a connection permit, then sends the request.
    async fn attempt(&self, flow: usize, number: usize, patience: f64) -> TryEnd {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let sidecar = schedule.arrivals[flow].sidecar;
        // When every connection is busy and the places are taken, a request waits at its client; that time is
        // the client's own.
        let until = clock.now() + patience;
        let place = self.connections.places(sidecar).acquire();
        let place = tokio::time::timeout_at(clock.instant(until - LEAST), place).await;
        let id = (hashed(schedule.seed, &[22, flow as u64, number as u64]) * (1_u64 << 53) as f64) as u64;
        let at = self.environment.accounting.borrow_mut().begin(id, flow, number, clock.now(), until);
        let (end, regret) = match place {
            Ok(Ok(_place)) => Exchange::new(self, flow, id, at, until).run().await,
            _ => (TryEnd::NoConnection, None),
        };
        self.environment.accounting.borrow_mut().end(clock.now(), at, end, regret);
        end
    }

    /// Whether a server could serve in time a request that is rejected now.
    fn regret(&self, flow: usize) -> Regret {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let (now, arrival) = (clock.now(), &schedule.arrivals[flow]);
        let left = schedule.class(arrival).aim_ms - (now - clock.day_at(arrival.at));
        self.members.regret(now, arrival.work, left)
    }
}

/// Whether a client retries after a try that ended so.
fn may_retry(end: TryEnd, effect: Effect) -> bool {
    match end {
        TryEnd::Served | TryEnd::Excused | TryEnd::Open => false,
        TryEnd::Refused(_) | TryEnd::NoConnection => true,
        // It may have run at a server.
        TryEnd::Failed(_) | TryEnd::Nothing => effect == Effect::Safe,
    }
}
