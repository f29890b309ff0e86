//! Faults, each for its time.

use super::changes::{mark, publish_entries};
use super::discovery::Phase;
use super::experiment::{Fault, FaultKind};
use super::link::Link;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long after the start of a restart of all sidecars a change is published to time its spread (ms).
const MARK_AFTER: f64 = 2_000.0;

/// Injects a fault of the experiment, and ends it.
pub async fn inject<F: Fabric>(simulation: Rc<Simulation<F>>, number: usize) {
    let fault = simulation.experiment.faults[number].clone();
    simulation.until(simulation.at(fault.at_s)).await;
    match fault.kind {
        FaultKind::DiscoveryAway => discovery_away(&simulation, &fault).await,
        FaultKind::RestartAll => restart_all(&simulation).await,
        FaultKind::RegionCut => region_cut(&simulation, &fault).await,
        // It lies in the rate of changes.
        FaultKind::Changes => {}
    }
}

/// Waits through a fault; a change is published in the middle of it.
async fn through<F: Fabric>(simulation: &Simulation<F>, fault: &Fault) {
    simulation.until(simulation.at(fault.at_s + fault.len_s / 2.0)).await;
    mark(simulation);
    simulation.until(simulation.at(fault.at_s + fault.len_s)).await;
}

async fn discovery_away<F: Fabric>(simulation: &Simulation<F>, fault: &Fault) {
    let set = |link| {
        for way in &simulation.discovery.links {
            way.send_replace(link);
        }
    };
    set(Link::Down);
    through(simulation, fault).await;
    set(Link::Up);
}

async fn restart_all<F: Fabric>(simulation: &Rc<Simulation<F>>) {
    for sidecar in 0..simulation.experiment.fleet.sidecars {
        let simulation = simulation.clone();
        spawn_local(async move {
            if let Err(reason) = simulation.restart_sidecar(sidecar).await {
                tracing::error!("{reason}");
            }
        });
    }
    simulation.sleep(MARK_AFTER).await;
    mark(simulation);
}

async fn region_cut<F: Fabric>(simulation: &Rc<Simulation<F>>, fault: &Fault) {
    let (cut, fleet) = (fault.region, &simulation.experiment.fleet);
    let set = |link| {
        simulation.discovery.links[cut].send_replace(link);
        for (number, server) in simulation.servers.iter().enumerate() {
            let inside = simulation.topology.region(number) == cut;
            let ways = server.links.iter().enumerate();
            // The ways that lead into the region or out of it.
            for (_, way) in ways.filter(|(from, _)| inside != (*from == cut)) {
                way.send_replace(link);
            }
        }
    };
    let inside: Vec<usize> =
        (0..fleet.servers).filter(|server| simulation.topology.region(*server) == cut).collect();
    set(Link::Cut);
    let (noticed, servers) = (simulation.clone(), inside.clone());
    let notice = spawn_local(async move {
        noticed.sleep(noticed.experiment.discovery.silent_notice_s * 1e3).await;
        publish_entries(&noticed, &servers, Some(Phase::Terminated));
    });
    through(simulation, fault).await;
    set(Link::Up);
    if notice.is_finished() {
        publish_entries(simulation, &inside, Some(Phase::InService));
    } else {
        notice.abort();
    }
}
