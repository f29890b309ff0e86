//! Clients: open-loop load from the applications beside the sidecars, with retries and checks of the responses.

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

/// Time that must remain before the deadline for another try (ms).
const MIN_TRY_TIME_MS: f64 = 20.0;
/// Number of tracked flow tasks above which finished ones are removed from the list.
const MAX_TRACKED_TASKS: usize = 4096;
/// Key of the draws of whether a client honours `Retry-After`. Changing it changes the results of every seed.
const DRAW_HONOURS_RETRY_AFTER: u64 = 21;
/// Key of the draws of the `Request-Id`s. Changing it changes the results of every seed.
const DRAW_REQUEST_ID: u64 = 22;

/// The clients of a scenario and their connection pools.
pub struct Clients<F: Fabric> {
    environment: Rc<Environment<F>>,
    applications: Rc<Applications>,
    members: Rc<Members>,
    connections: Connections<F::Stream>,
    unsent: RefCell<BTreeSet<usize>>,
}

impl<F: Fabric> Clients<F> {
    /// Creates the clients; `members` is used to tell whether a server could have served a rejected request.
    pub fn new(
        environment: Rc<Environment<F>>,
        applications: Rc<Applications>,
        members: Rc<Members>,
    ) -> Rc<Clients<F>> {
        let schedule = &environment.schedule;
        let connections = Connections::new(schedule.sidecars.len(), schedule.scenario.limits.sockets);
        Rc::new(Clients { environment, applications, members, connections, unsent: RefCell::default() })
    }

    /// The flows that were never sent, as their application was down at their arrival.
    pub fn unsent(&self) -> Ref<'_, BTreeSet<usize>> {
        self.unsent.borrow()
    }

    /// Closes the idle connections to a sidecar.
    pub fn close_idle(&self, sidecar: usize) {
        self.connections.close_idle(sidecar);
    }

    /// Starts every scheduled flow at its arrival time; returns when the last one has ended.
    pub async fn run(self: Rc<Self>) {
        let mut tasks = Vec::new();
        let clock = &self.environment.clock;
        for (flow, arrival) in self.environment.schedule.arrivals.iter().enumerate() {
            clock.sleep_until(clock.simulation_time(arrival.at)).await;
            // An application stops with its sidecar and sends nothing while it is down.
            if !self.applications.is_sending(arrival.sidecar) {
                self.unsent.borrow_mut().insert(flow);
                continue;
            }
            tasks.push(spawn_local(self.clone().run_flow(flow)));
            if tasks.len() > MAX_TRACKED_TASKS {
                tasks.retain(|task| !task.is_finished());
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Runs one flow with all its tries.
    async fn run_flow(self: Rc<Self>, flow: usize) {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let arrival = &schedule.arrivals[flow];
        let class = schedule.class(arrival);
        let arrived_at = clock.now();
        let honours_retry_after =
            hashed(schedule.seed, &[DRAW_HONOURS_RETRY_AFTER, flow as u64]) < schedule.clients.honour;
        for number in 0..=schedule.clients.retries {
            let left = arrived_at + class.deadline_ms - clock.now();
            if left < MIN_TRY_TIME_MS {
                return;
            }
            let timeout = left.min(class.deadline_ms * schedule.clients.try_share);
            let end = self.run_try(flow, number, timeout).await;
            if !may_retry(end, class.effect) || !self.applications.is_sending(arrival.sidecar) {
                return;
            }
            let wait = match end {
                TryEnd::Refused(retry_after) if honours_retry_after && retry_after > 0.0 => retry_after,
                _ => schedule.clients.backoff,
            };
            if wait > 0.0 {
                clock.sleep(wait).await;
            }
        }
    }

    /// Runs one try within `timeout` (ms): waits for a connection permit, then sends the request.
    async fn run_try(&self, flow: usize, number: usize, timeout: f64) -> TryEnd {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let sidecar = schedule.arrivals[flow].sidecar;
        // While all permits are taken, the request waits at its client. The sidecar has not seen it yet, so this
        // wait counts against the client only.
        let until = clock.now() + timeout;
        let permit = self.connections.permits(sidecar).acquire();
        let permit = tokio::time::timeout_at(clock.instant(until - MIN_TRY_TIME_MS), permit).await;
        let id = (hashed(schedule.seed, &[DRAW_REQUEST_ID, flow as u64, number as u64])
            * (1_u64 << 53) as f64) as u64;
        let try_index =
            self.environment.accounting.borrow_mut().record_try(id, flow, number, clock.now(), until);
        let (end, regret) = match permit {
            Ok(Ok(_permit)) => Exchange::new(self, flow, id, try_index, until).run().await,
            _ => (TryEnd::NoConnection, None),
        };
        self.environment.accounting.borrow_mut().record_try_end(clock.now(), try_index, end, regret);
        end
    }

    /// Whether a server could have served in time a flow that is rejected now.
    fn regret(&self, flow: usize) -> Regret {
        let (schedule, clock) = (&self.environment.schedule, &self.environment.clock);
        let (now, arrival) = (clock.now(), &schedule.arrivals[flow]);
        let left = schedule.class(arrival).aim_ms - (now - clock.simulation_time(arrival.at));
        self.members.regret(now, arrival.work, left)
    }
}

/// Whether a client may retry after a try that ended like this.
fn may_retry(end: TryEnd, effect: Effect) -> bool {
    match end {
        TryEnd::Served | TryEnd::Excused | TryEnd::Open => false,
        TryEnd::Refused(_) | TryEnd::NoConnection => true,
        // It may have run at a server, so only safe requests are repeated.
        TryEnd::Failed(_) | TryEnd::Nothing => effect == Effect::Safe,
    }
}
