//! What goes wrong on the scenario, played at its time.

use super::Simulation;
use crate::discovery::Said;
use crate::fabric::Fabric;
use crate::fleet::{Fate, Member};
use crate::scenario::FaultKind;
use crate::schedule::{hashed, ScheduledFault};
use std::rc::Rc;
use tokio::task::spawn_local;

impl<F: Fabric> Simulation<F> {
    /// Plays one fault.
    pub(super) async fn fault(self: Rc<Self>, number: usize) {
        let fault = self.plan.troubles[number].clone();
        self.until(self.day_at(fault.from)).await;
        let until = self.day_at(fault.until);
        let some = ((fault.order.len() as f64 * fault.part).ceil() as usize).min(fault.order.len());
        let met = &fault.order[..some];
        match fault.kind {
            // They lie in the arrivals, the answers and the list.
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
                let (_, moves) = *self.discovery.registry.state.borrow();
                self.discovery.registry.state.send_replace((false, moves));
                self.until(until).await;
                self.discovery.registry.state.send_replace((true, moves));
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

    /// Servers stand still again and again.
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

    /// Servers work so many times slower.
    fn slow(&self, met: &[usize], times: f64) {
        for server in met {
            self.member(*server).with(self.now(), |m| m.slowed = times);
        }
    }

    /// Servers drain one after another.
    async fn shrink(self: &Rc<Self>, fault: &ScheduledFault, met: &[usize]) {
        let step = (fault.until - fault.from) / met.len().max(1) as f64;
        for server in met {
            let (simulation, member) = (self.clone(), self.member(*server));
            spawn_local(async move { simulation.drain(&member).await });
            self.sleep(step).await;
        }
    }

    /// The configuration is replaced and discovery moves, again and again.
    async fn reload(&self, fault: &ScheduledFault) {
        let times = fault.size.max(1.0) as usize;
        let step = (fault.until - fault.from) / times as f64;
        for _ in 0..times {
            let (runs, moves) = *self.discovery.registry.state.borrow();
            self.discovery.registry.state.send_replace((runs, moves + 1));
            self.reload_sidecars();
            self.sleep(step).await;
        }
    }

    /// Sidecars are killed one after another, and each starts again later.
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

    /// All servers go at once and start again a second later.
    async fn restart_servers(self: &Rc<Self>) {
        let members = self.members();
        let up: Vec<_> = members.iter().filter(|m| m.in_service()).cloned().collect();
        up.iter().for_each(|m| m.die(self.now()));
        self.sleep(1_000.0).await;
        up.iter().for_each(|m| self.start_server(m));
    }

    /// Servers go silent or are reset; with a zone its sidecars may go too. All come back cold.
    async fn lose(self: &Rc<Self>, fault: &ScheduledFault, lost: Vec<Rc<Member>>, until: f64) {
        let lost: Vec<_> = lost.into_iter().filter(|m| m.in_service()).collect();
        for member in &lost {
            if fault.silent {
                member.fate.send_replace(Fate::Cut);
            } else {
                member.die(self.now());
            }
            self.announce(member.number, Said::Terminated, self.plan.discovery.silent_notice);
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
