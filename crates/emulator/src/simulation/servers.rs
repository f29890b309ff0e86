//! The life cycle of servers during a simulation and its announcements to discovery.

use super::Simulation;
use crate::discovery::ListedStatus;
use crate::fabric::Fabric;
use crate::fleet::Member;
use crate::scenario::FaultKind;
use crate::schedule::{hashed, Schedule};
use crate::server::Server;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Minimum time from the start of a drain to the end of the process.
const MIN_DRAIN_MS: f64 = 4_000.0;
/// Minimum time from the listing of a drain to the end of the process.
const DRAIN_AFTER_NOTICE_MS: f64 = 2_000.0;
/// Keys of the draws of model seeds. Changing one changes the results of every seed.
pub(super) const DRAW_INITIAL_SERVER_SEED: u64 = 41;
const DRAW_ADDED_SERVER_SEED: u64 = 44;

/// The seed of a server's model; `purpose` distinguishes initial servers from added ones.
pub(super) fn server_seed(schedule: &Schedule, purpose: u64, number: usize) -> u64 {
    (hashed(schedule.seed, &[purpose, number as u64]) * 1e15) as u64
}

impl<F: Fabric> Simulation<F> {
    /// Announces a server's status to discovery, which applies it after `delay` (ms), plus the delay of an
    /// active [`FaultKind::Stale`].
    pub(super) fn announce(self: &Rc<Self>, server: usize, status: ListedStatus, delay: f64) {
        let number = self.discovery.registry.announce(server);
        let simulation = self.clone();
        let up_since = self.environment.clock.unix_now();
        spawn_local(async move {
            let stale: f64 = simulation
                .schedule
                .active(FaultKind::Stale, simulation.now() - simulation.scenario_start())
                .map(|t| t.size * 1e3)
                .sum();
            simulation.sleep(delay + stale).await;
            if simulation.discovery.registry.apply(server, number, status, up_since) {
                simulation.environment.accounting.borrow_mut().record_registry_change(
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
        self.announce(member.number, ListedStatus::InService, self.schedule.discovery.add_delay);
    }

    /// Drains a server and then stops it; announces both.
    pub(super) async fn drain(self: &Rc<Self>, member: &Rc<Member>) {
        member.update(self.now(), Server::start_drain);
        self.announce(member.number, ListedStatus::Terminating, self.schedule.discovery.notice_delay);
        let until =
            self.now() + MIN_DRAIN_MS.max(self.schedule.discovery.notice_delay + DRAIN_AFTER_NOTICE_MS);
        self.sleep_until(until).await;
        member.stop(self.now());
        self.announce(member.number, ListedStatus::Terminated, self.schedule.discovery.notice_delay);
    }

    /// Adds a server with a new id, at a new address or at the address of a server that has gone.
    pub(super) fn add_server(self: &Rc<Self>, zone: usize, address_index: Option<usize>) {
        let number = self.members.count();
        let parameters = self.schedule.replacement(number - self.schedule.servers.len(), zone);
        let model = Server::new(
            parameters,
            server_seed(&self.schedule, DRAW_ADDED_SERVER_SEED, number),
            self.mean_work,
        );
        let member = Member::new(number, address_index.unwrap_or(number), model);
        self.members.push(member.clone());
        member.update(self.now(), |m| m.start(self.now()));
        self.fleet.serve(&member);
        self.announce(number, ListedStatus::InService, self.schedule.discovery.add_delay);
    }
}
