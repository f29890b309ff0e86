//! Changes of configuration: config servers that drain, restart and come back under their names.

use super::discovery::Phase;
use super::experiment::{FaultKind, DAY_S};
use super::link::Link;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::plan::hashed;
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long a server drains, and how long its restart takes (ms).
const DRAIN: f64 = 4_000.0;
const RESTART: f64 = 1_000.0;
/// How often it is looked whether a change is due (ms).
const STEP: f64 = 100.0;
/// Changes that one restart makes: it drains, and it is back.
const PER_RESTART: f64 = 2.0;

/// Publishes changes at their rate, until it is dropped; the first comes after half of its gap.
pub async fn publish<F: Fabric>(simulation: Rc<Simulation<F>>) {
    let markers = simulation.experiment.changes.markers_s.clone();
    for marker in markers {
        let simulation = simulation.clone();
        spawn_local(async move {
            simulation.until(simulation.at(marker)).await;
            mark(&simulation);
        });
    }
    let mut due = PER_RESTART / 2.0;
    for restart in 0.. {
        while due < PER_RESTART {
            simulation.sleep(STEP).await;
            due += rate_per_s(&simulation) * STEP / 1e3;
        }
        due -= PER_RESTART;
        if let Some(server) = next_server(&simulation, restart) {
            spawn_local(restart_server(simulation.clone(), server));
        }
    }
}

/// Changes a second now.
fn rate_per_s<F: Fabric>(simulation: &Simulation<F>) -> f64 {
    let now = simulation.now();
    let faults = simulation.experiment.faults.iter().filter(|f| {
        f.kind == FaultKind::Changes
            && (simulation.at(f.at_s)..simulation.at(f.at_s + f.len_s)).contains(&now)
    });
    let times: f64 = faults.map(|f| f.times).product();
    simulation.experiment.changes.per_day * times / DAY_S
}

/// A server in service, drawn.
fn next_server<F: Fabric>(simulation: &Simulation<F>, restart: u64) -> Option<usize> {
    let servers = simulation.experiment.fleet.servers;
    let first = (hashed(simulation.experiment.seed, &[7, restart]) * servers as f64) as usize;
    let mut in_order = (0..servers).map(|n| (first + n) % servers);
    in_order.find(|server| {
        let up = simulation.servers[*server].links.iter().all(|link| *link.borrow() == Link::Up);
        up && simulation.discovery.phase(*server) == Phase::InService
    })
}

/// Publishes entries as one change.
pub fn publish_entries<F: Fabric>(simulation: &Simulation<F>, servers: &[usize], phase: Option<Phase>) {
    let revision = simulation.discovery.publish(servers, phase, simulation.unix_now());
    simulation.published(revision);
}

/// Publishes an entry once more with nothing changed.
pub fn mark<F: Fabric>(simulation: &Simulation<F>) {
    publish_entries(simulation, &[0], None);
}

/// A server drains, restarts and comes back.
async fn restart_server<F: Fabric>(simulation: Rc<Simulation<F>>, number: usize) {
    publish_entries(&simulation, &[number], Some(Phase::Terminating));
    simulation.sleep(DRAIN).await;
    let server = &simulation.servers[number];
    // One that was cut off meanwhile stays so.
    if server.links.iter().any(|link| *link.borrow() != Link::Up) {
        return;
    }
    server.set_links(Link::Down);
    simulation.sleep(RESTART).await;
    server.set_links(Link::Up);
    publish_entries(&simulation, &[number], Some(Phase::InService));
}
