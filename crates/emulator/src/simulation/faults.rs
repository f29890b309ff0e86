//! Fault injection: injects each scheduled fault at its time.

use super::Simulation;
use crate::discovery::{ListedStatus, ServiceState};
use crate::fabric::Fabric;
use crate::fleet::{Member, Reachability};
use crate::scenario::FaultKind;
use crate::schedule::{hashed, ScheduledFault};
use std::rc::Rc;
use tokio::task::spawn_local;

/// Minimum interval between two pauses of [`FaultKind::Pauses`].
const MIN_PAUSE_INTERVAL_MS: f64 = 800.0;
/// Random part of that interval.
const PAUSE_INTERVAL_SPREAD_MS: f64 = 1_200.0;
/// Time for which [`FaultKind::ServersRestart`] keeps the servers down.
const SERVERS_DOWN_MS: f64 = 1_000.0;
/// Key of the draws of pause intervals. Changing it changes the results of every seed.
const DRAW_PAUSE_INTERVAL: u64 = 45;

impl<F: Fabric> Simulation<F> {
    /// Injects the fault with this number at its start and ends it at its end.
    pub(super) async fn inject_fault(self: Rc<Self>, number: usize) {
        let fault = self.schedule.faults[number].clone();
        self.sleep_until(self.simulation_time(fault.from)).await;
        let until = self.simulation_time(fault.until);
        let affected_count = ((fault.order.len() as f64 * fault.part).ceil() as usize).min(fault.order.len());
        let affected = &fault.order[..affected_count];
        match fault.kind {
            // Bursts are part of the drawn arrivals; corruption and stale lists are applied by the fleet and by
            // `announce` while the fault is active.
            FaultKind::Burst | FaultKind::Garble | FaultKind::Stale => {}
            FaultKind::Pauses => self.pause_servers(&fault, number, affected, until).await,
            FaultKind::Slow => {
                self.set_slowdown(affected, fault.size.max(1.0));
                self.sleep_until(until).await;
                self.set_slowdown(affected, 1.0);
            }
            FaultKind::ZoneLoss => {
                let all = self.members();
                let lost =
                    all.into_iter().filter(|m| m.model.borrow().parameters.zone == fault.zone).collect();
                self.take_down(&fault, lost, until).await;
            }
            FaultKind::Vanish => {
                let lost = affected.iter().map(|s| self.member(*s)).collect();
                self.take_down(&fault, lost, until).await;
            }
            FaultKind::Shrink => self.drain_servers(&fault, affected).await,
            FaultKind::DiscoveryDown => {
                let moves = self.discovery.registry.state.borrow().moves;
                self.discovery.registry.state.send_replace(ServiceState { runs: false, moves });
                self.sleep_until(until).await;
                self.discovery.registry.state.send_replace(ServiceState { runs: true, moves });
            }
            FaultKind::Churn => self.replace_servers(&fault, until).await,
            FaultKind::Rude => {
                for sidecar in affected {
                    spawn_local(self.misbehaving.clone().send_until(*sidecar, fault.size, until));
                }
            }
            FaultKind::Reload => self.reload_repeatedly(&fault).await,
            FaultKind::Restart => {
                for sidecar in affected {
                    self.restart(*sidecar).await;
                }
            }
            FaultKind::Kill => self.kill_sidecars(&fault, affected).await,
            FaultKind::ServersRestart => self.restart_servers().await,
        }
    }

    /// Pauses servers repeatedly, with random intervals.
    async fn pause_servers(&self, fault: &ScheduledFault, number: usize, affected: &[usize], until: f64) {
        let draw = |round: u64| hashed(self.schedule.seed, &[DRAW_PAUSE_INTERVAL, number as u64, round]);
        let mut round = 0;
        while self.now() < until {
            for server in affected {
                let now = self.now();
                self.member(*server).update(now, |m| m.pause(now + fault.size));
            }
            round += 1;
            self.sleep(MIN_PAUSE_INTERVAL_MS + PAUSE_INTERVAL_SPREAD_MS * draw(round)).await;
        }
    }

    /// Makes servers slower by a factor.
    fn set_slowdown(&self, affected: &[usize], factor: f64) {
        for server in affected {
            self.member(*server).update(self.now(), |m| m.slowdown = factor);
        }
    }

    /// Drains servers one after another.
    async fn drain_servers(self: &Rc<Self>, fault: &ScheduledFault, affected: &[usize]) {
        let interval = (fault.until - fault.from) / affected.len().max(1) as f64;
        for server in affected {
            let (simulation, member) = (self.clone(), self.member(*server));
            spawn_local(async move { simulation.drain(&member).await });
            self.sleep(interval).await;
        }
    }

    /// Moves discovery and replaces the configurations at even intervals.
    async fn reload_repeatedly(&self, fault: &ScheduledFault) {
        let times = fault.size.max(1.0) as usize;
        let interval = (fault.until - fault.from) / times as f64;
        for _ in 0..times {
            self.discovery.registry.state.send_modify(|state| state.moves += 1);
            self.reload_sidecars();
            self.sleep(interval).await;
        }
    }

    /// Kills sidecars one after another; each starts again later.
    async fn kill_sidecars(self: &Rc<Self>, fault: &ScheduledFault, affected: &[usize]) {
        for sidecar in affected.iter().filter(|s| self.applications.is_sending(**s)) {
            let (simulation, sidecar, after) = (self.clone(), *sidecar, fault.size * 1e3);
            simulation.kill(sidecar);
            spawn_local(async move {
                simulation.sleep(after).await;
                simulation.restart_exited(sidecar).await;
            });
            self.sleep((fault.until - fault.from) / affected.len().max(1) as f64).await;
        }
    }

    /// Stops all servers at the same time and starts them again after [`SERVERS_DOWN_MS`].
    async fn restart_servers(self: &Rc<Self>) {
        let members = self.members();
        let in_service: Vec<_> = members.iter().filter(|m| m.in_service()).cloned().collect();
        in_service.iter().for_each(|m| m.stop(self.now()));
        self.sleep(SERVERS_DOWN_MS).await;
        in_service.iter().for_each(|m| self.start_server(m));
    }

    /// Partitions or stops servers and, if the fault says so, kills the sidecars of the zone. At `until` (ms)
    /// all of them start again, the servers cold.
    async fn take_down(self: &Rc<Self>, fault: &ScheduledFault, lost: Vec<Rc<Member>>, until: f64) {
        let lost: Vec<_> = lost.into_iter().filter(|m| m.in_service()).collect();
        for member in &lost {
            if fault.silent {
                member.reachability.send_replace(Reachability::Cut);
            } else {
                member.stop(self.now());
            }
            self.announce(
                member.number,
                ListedStatus::Terminated,
                self.schedule.discovery.silent_notice_delay,
            );
        }
        let affected_sidecars = (0..self.schedule.sidecars.len()).filter(|s| {
            fault.sidecars
                && self.schedule.sidecars[*s].zone == fault.zone
                && self.applications.is_sending(*s)
        });
        let affected_sidecars: Vec<usize> = affected_sidecars.collect();
        affected_sidecars.iter().for_each(|s| self.kill(*s));
        self.sleep_until(until).await;
        for member in &lost {
            // A partitioned server comes back as a new process, like a stopped one.
            member.stop(self.now());
            self.start_server(member);
        }
        for sidecar in affected_sidecars {
            let simulation = self.clone();
            spawn_local(async move { simulation.restart_exited(sidecar).await });
        }
    }

    /// Replaces servers one after another, alternately at a new address and at the old one.
    async fn replace_servers(self: &Rc<Self>, fault: &ScheduledFault, until: f64) {
        let interval = 60_000.0 / fault.size.max(0.1);
        let mut round = 0;
        while self.now() + interval < until {
            let in_service: Vec<_> = self.members().into_iter().filter(|m| m.in_service()).collect();
            let Some(oldest) = in_service.first().cloned() else { return };
            let zone = oldest.model.borrow().parameters.zone;
            let reuse_address = round % 2 == 1;
            let simulation = self.clone();
            spawn_local(async move {
                if !reuse_address {
                    simulation.add_server(zone, None);
                }
                simulation.drain(&oldest).await;
                if reuse_address {
                    simulation.add_server(zone, Some(oldest.address_index));
                }
            });
            round += 1;
            self.sleep(interval).await;
        }
    }
}
