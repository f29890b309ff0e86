//! Fault injection: plays each scheduled fault at its time.

use super::Simulation;
use crate::discovery::{ListedStatus, ServiceState};
use crate::fabric::Fabric;
use crate::fleet::{Member, Reachability};
use crate::scenario::FaultKind;
use crate::schedule::{hashed, ScheduledFault};
use std::rc::Rc;
use tokio::task::spawn_local;

impl<F: Fabric> Simulation<F> {
    /// Plays the fault of this number from its begin to its end.
    pub(super) async fn fault(self: Rc<Self>, number: usize) {
        let fault = self.plan.troubles[number].clone();
        self.until(self.day_at(fault.from)).await;
        let until = self.day_at(fault.until);
        let some = ((fault.order.len() as f64 * fault.part).ceil() as usize).min(fault.order.len());
        let met = &fault.order[..some];
        match fault.kind {
            // These are part of the arrivals, of the responses and of the announcements.
            FaultKind::Burst | FaultKind::Garble | FaultKind::Stale => {}
            FaultKind::Pauses => self.pauses(&fault, number, met, until).await,
            FaultKind::Slow => {
                self.slow(met, fault.size.max(1.0));
                self.until(until).await;
                self.slow(met, 1.0);
            }
            FaultKind::ZoneLoss => {
                let all = self.members();
                let lost = all.into_iter().filter(|m| m.model.borrow().plan.zone == fault.zone).collect();
                self.lose(&fault, lost, until).await;
            }
            FaultKind::Vanish => {
                let lost = met.iter().map(|s| self.member(*s)).collect();
                self.lose(&fault, lost, until).await;
            }
            FaultKind::Shrink => self.shrink(&fault, met).await,
            FaultKind::DiscoveryDown => {
                let moves = self.discovery.registry.state.borrow().moves;
                self.discovery.registry.state.send_replace(ServiceState { runs: false, moves });
                self.until(until).await;
                self.discovery.registry.state.send_replace(ServiceState { runs: true, moves });
            }
            FaultKind::Churn => self.churn(&fault, until).await,
            FaultKind::Rude => {
                for sidecar in met {
                    spawn_local(self.misbehaving.clone().send_until(*sidecar, fault.size, until));
                }
            }
            FaultKind::Reload => self.reload(&fault).await,
            FaultKind::Restart => {
                for sidecar in met {
                    self.restart(*sidecar).await;
                }
            }
            FaultKind::Kill => self.kill_some(&fault, met).await,
            FaultKind::ServersRestart => self.restart_servers().await,
        }
    }

    /// Pauses servers every 0.8 to 2 s.
    async fn pauses(&self, fault: &ScheduledFault, number: usize, met: &[usize], until: f64) {
        let draw = |round: u64| hashed(self.plan.seed, &[45, number as u64, round]);
        let mut round = 0;
        while self.now() < until {
            for server in met {
                let now = self.now();
                self.member(*server).with(now, |m| m.pause(now + fault.size));
            }
            round += 1;
            self.sleep(800.0 + 1_200.0 * draw(round)).await;
        }
    }

    /// Makes servers so many times slower.
    fn slow(&self, met: &[usize], times: f64) {
        for server in met {
            self.member(*server).with(self.now(), |m| m.slowed = times);
        }
    }

    /// Drains servers one after another.
    async fn shrink(self: &Rc<Self>, fault: &ScheduledFault, met: &[usize]) {
        let step = (fault.until - fault.from) / met.len().max(1) as f64;
        for server in met {
            let (simulation, member) = (self.clone(), self.member(*server));
            spawn_local(async move { simulation.drain(&member).await });
            self.sleep(step).await;
        }
    }

    /// Moves discovery and replaces the configurations at even intervals.
    async fn reload(&self, fault: &ScheduledFault) {
        let times = fault.size.max(1.0) as usize;
        let step = (fault.until - fault.from) / times as f64;
        for _ in 0..times {
            self.discovery.registry.state.send_modify(|state| state.moves += 1);
            self.reload_sidecars();
            self.sleep(step).await;
        }
    }

    /// Kills sidecars one after another; each starts again later.
    async fn kill_some(self: &Rc<Self>, fault: &ScheduledFault, met: &[usize]) {
        for sidecar in met.iter().filter(|s| self.applications.asks(**s)) {
            let (simulation, sidecar, after) = (self.clone(), *sidecar, fault.size * 1e3);
            simulation.kill(sidecar);
            spawn_local(async move {
                simulation.sleep(after).await;
                simulation.begin_again(sidecar).await;
            });
            self.sleep((fault.until - fault.from) / met.len().max(1) as f64).await;
        }
    }

    /// Stops all servers at once and starts them a second later.
    async fn restart_servers(self: &Rc<Self>) {
        let members = self.members();
        let up: Vec<_> = members.iter().filter(|m| m.in_service()).cloned().collect();
        up.iter().for_each(|m| m.die(self.now()));
        self.sleep(1_000.0).await;
        up.iter().for_each(|m| self.start_server(m));
    }

    /// Cuts servers off or stops them, with the sidecars of their zone where the fault says so. At `until`
    /// (ms) all of them start again, the servers cold.
    async fn lose(self: &Rc<Self>, fault: &ScheduledFault, lost: Vec<Rc<Member>>, until: f64) {
        let lost: Vec<_> = lost.into_iter().filter(|m| m.in_service()).collect();
        for member in &lost {
            if fault.silent {
                member.reachability.send_replace(Reachability::Cut);
            } else {
                member.die(self.now());
            }
            self.announce(member.number, ListedStatus::Terminated, self.plan.discovery.silent_notice);
        }
        let beside = (0..self.plan.sidecars.len()).filter(|s| {
            fault.sidecars && self.plan.sidecars[*s].zone == fault.zone && self.applications.asks(*s)
        });
        let beside: Vec<usize> = beside.collect();
        beside.iter().for_each(|s| self.kill(*s));
        self.until(until).await;
        for member in &lost {
            // What was cut off has started anew meanwhile.
            member.die(self.now());
            self.start_server(member);
        }
        for sidecar in beside {
            let simulation = self.clone();
            spawn_local(async move { simulation.begin_again(sidecar).await });
        }
    }

    async fn churn(self: &Rc<Self>, fault: &ScheduledFault, until: f64) {
        let step = 60_000.0 / fault.size.max(0.1);
        let mut round = 0;
        while self.now() + step < until {
            let up: Vec<_> = self.members().into_iter().filter(|m| m.in_service()).collect();
            let Some(oldest) = up.first().cloned() else { return };
            let zone = oldest.model.borrow().plan.zone;
            let same_place = round % 2 == 1;
            let simulation = self.clone();
            spawn_local(async move {
                if !same_place {
                    simulation.add_server(zone, None);
                }
                simulation.drain(&oldest).await;
                if same_place {
                    simulation.add_server(zone, Some(oldest.place));
                }
            });
            round += 1;
            self.sleep(step).await;
        }
    }
}
