//! Injects the faults of an experiment.

use super::changes::{publish_entries, publish_marker};
use super::discovery::Phase;
use super::experiment::{Fault, FaultKind};
use super::link::Link;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Delay from the restart of all sidecars to the marker that times how a change spreads.
const MARKER_DELAY_MS: f64 = 2_000.0;

/// Waits for the start of a fault, injects it and ends it.
pub async fn inject_fault<F: Fabric>(simulation: Rc<Simulation<F>>, number: usize) {
    let fault = simulation.experiment.faults[number].clone();
    simulation.sleep_until(simulation.run_time_ms(fault.at_s)).await;
    match fault.kind {
        FaultKind::DiscoveryAway => discovery_away(&simulation, &fault).await,
        FaultKind::RestartAll => restart_all(&simulation).await,
        FaultKind::RegionCut => region_cut(&simulation, &fault).await,
        // The publisher of changes takes this fault into account in its rate.
        FaultKind::Changes => {}
    }
}

/// Waits until the end of a fault; publishes a marker in the middle of it.
async fn wait_through<F: Fabric>(simulation: &Simulation<F>, fault: &Fault) {
    simulation.sleep_until(simulation.run_time_ms(fault.at_s + fault.len_s / 2.0)).await;
    publish_marker(simulation);
    simulation.sleep_until(simulation.run_time_ms(fault.at_s + fault.len_s)).await;
}

async fn discovery_away<F: Fabric>(simulation: &Simulation<F>, fault: &Fault) {
    let set_links = |link| {
        for path in &simulation.discovery.links {
            path.send_replace(link);
        }
    };
    set_links(Link::Down);
    wait_through(simulation, fault).await;
    set_links(Link::Up);
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
    simulation.sleep(MARKER_DELAY_MS).await;
    publish_marker(simulation);
}

async fn region_cut<F: Fabric>(simulation: &Rc<Simulation<F>>, fault: &Fault) {
    let (cut, fleet) = (fault.region, &simulation.experiment.fleet);
    let set_links = |link| {
        simulation.discovery.links[cut].send_replace(link);
        for (number, server) in simulation.servers.iter().enumerate() {
            let inside = simulation.topology.region(number) == cut;
            let paths = server.links.iter().enumerate();
            // The network paths into the region and out of it.
            for (_, path) in paths.filter(|(from, _)| inside != (*from == cut)) {
                path.send_replace(link);
            }
        }
    };
    let inside: Vec<usize> =
        (0..fleet.servers).filter(|server| simulation.topology.region(*server) == cut).collect();
    set_links(Link::Cut);
    let (noticing, servers) = (simulation.clone(), inside.clone());
    let notice = spawn_local(async move {
        noticing.sleep(noticing.experiment.discovery.silent_notice_s * 1e3).await;
        publish_entries(&noticing, &servers, Some(Phase::Terminated));
    });
    wait_through(simulation, fault).await;
    set_links(Link::Up);
    if notice.is_finished() {
        publish_entries(simulation, &inside, Some(Phase::InService));
    } else {
        notice.abort();
    }
}
