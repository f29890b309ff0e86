//! The life cycle of servers during a simulation, and its announcements to discovery.

use super::Simulation;
use crate::discovery::ListedStatus;
use crate::fabric::Fabric;
use crate::fleet::Member;
use crate::scenario::FaultKind;
use crate::schedule::{hashed, Schedule};
use crate::server::{Phase, Server};
use std::rc::Rc;
use tokio::task::spawn_local;

/// Least time between the begin of a drain and the end of the process (ms).
const DRAIN: f64 = 4_000.0;

/// The seed of a server's model; `purpose` separates the first servers from those added later.
pub(super) fn server_seed(schedule: &Schedule, purpose: u64, number: usize) -> u64 {
    (hashed(schedule.seed, &[purpose, number as u64]) * 1e15) as u64
}

impl<F: Fabric> Simulation<F> {
    /// Announces a server's status to discovery, which applies it after `delay` (ms), and later during a
    /// fault of stale discovery.
    pub(super) fn announce(self: &Rc<Self>, server: usize, status: ListedStatus, delay: f64) {
        let number = self.discovery.registry.announce(server);
        let simulation = self.clone();
        let up_since = self.environment.clock.unix_now();
        spawn_local(async move {
            let stale: f64 = simulation
                .plan
                .active(FaultKind::Stale, simulation.now() - simulation.day_start())
                .map(|t| t.size * 1e3)
                .sum();
            simulation.sleep(delay + stale).await;
            if simulation.discovery.registry.apply(server, number, status, up_since) {
                simulation.environment.accounting.borrow_mut().list_has(
                    simulation.now(),
                    server,
                    status == ListedStatus::InService,
                );
            }
        });
    }

    /// Starts a new, cold process of a server and announces it.
    pub(super) fn start_server(self: &Rc<Self>, member: &Rc<Member>) {
        member.start(self.now(), self.fleet.next_draw());
        self.announce(member.number, ListedStatus::InService, self.plan.discovery.add);
    }

    /// Drains a server, then stops it, and announces both.
    pub(super) async fn drain(self: &Rc<Self>, member: &Rc<Member>) {
        member.with(self.now(), |m| m.phase = Phase::Draining);
        self.announce(member.number, ListedStatus::Terminating, self.plan.discovery.notice);
        let until = self.now() + DRAIN.max(self.plan.discovery.notice + 2_000.0);
        self.until(until).await;
        member.die(self.now());
        self.announce(member.number, ListedStatus::Terminated, self.plan.discovery.notice);
    }

    /// Adds a server with a new id, at an address of its own or at that of one that has gone.
    pub(super) fn add_server(self: &Rc<Self>, zone: usize, place: Option<usize>) {
        let number = self.members.count();
        let plan = self.plan.replacement(number - self.plan.servers.len(), zone);
        let model = Server::new(plan, server_seed(&self.plan, 44, number), self.mean_work);
        let member = Member::new(number, place.unwrap_or(number), model);
        self.members.push(member.clone());
        member.with(self.now(), |m| m.start(self.now()));
        self.fleet.serve(&member);
        self.announce(number, ListedStatus::InService, self.plan.discovery.add);
    }
}
