//! Configuration changes: config servers that drain, restart and come back under the same name.

use super::discovery::Phase;
use super::experiment::{FaultKind, SECONDS_PER_DAY};
use super::link::Link;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::schedule::hashed;
use std::rc::Rc;
use tokio::task::spawn_local;

const DRAIN_MS: f64 = 4_000.0;
const RESTART_MS: f64 = 1_000.0;
/// How often the publisher checks whether a change is due.
const CHECK_INTERVAL_MS: f64 = 100.0;
/// List changes per restart: one when the server begins to drain, one when it is back in service.
const CHANGES_PER_RESTART: f64 = 2.0;

/// Publishes changes at the configured rate until the future is dropped. The first restart comes after half of the
/// interval between restarts.
pub async fn publish_changes<F: Fabric>(simulation: Rc<Simulation<F>>) {
    let markers = simulation.experiment.changes.markers_s.clone();
    for marker in markers {
        let simulation = simulation.clone();
        spawn_local(async move {
            simulation.sleep_until(simulation.run_time_ms(marker)).await;
            publish_marker(&simulation);
        });
    }
    let mut changes_due = CHANGES_PER_RESTART / 2.0;
    for restart in 0.. {
        while changes_due < CHANGES_PER_RESTART {
            simulation.sleep(CHECK_INTERVAL_MS).await;
            changes_due += changes_per_s(&simulation) * CHECK_INTERVAL_MS / 1e3;
        }
        changes_due -= CHANGES_PER_RESTART;
        if let Some(server) = next_server(&simulation, restart) {
            spawn_local(restart_server(simulation.clone(), server));
        }
    }
}

/// Current rate of changes, with the faults that multiply it.
fn changes_per_s<F: Fabric>(simulation: &Simulation<F>) -> f64 {
    let now = simulation.now();
    let faults = simulation.experiment.faults.iter().filter(|f| {
        f.kind == FaultKind::Changes
            && (simulation.run_time_ms(f.at_s)..simulation.run_time_ms(f.at_s + f.len_s)).contains(&now)
    });
    let rate_factor: f64 = faults.map(|f| f.times).product();
    simulation.experiment.changes.per_day * rate_factor / SECONDS_PER_DAY
}

/// Draws a server that is in service and reachable from all regions.
fn next_server<F: Fabric>(simulation: &Simulation<F>, restart: u64) -> Option<usize> {
    let servers = simulation.experiment.fleet.servers;
    let first = (hashed(simulation.experiment.seed, &[7, restart]) * servers as f64) as usize;
    let mut in_order = (0..servers).map(|n| (first + n) % servers);
    in_order.find(|server| {
        let up = simulation.servers[*server].links.iter().all(|link| *link.borrow() == Link::Up);
        up && simulation.discovery.phase(*server) == Phase::InService
    })
}

/// Publishes list entries as one change; `phase` is their new phase, `None` leaves it unchanged.
pub fn publish_entries<F: Fabric>(simulation: &Simulation<F>, servers: &[usize], phase: Option<Phase>) {
    let revision = simulation.discovery.publish(servers, phase, simulation.unix_now());
    simulation.record_published(revision);
}

/// Publishes a marker: an entry with a new revision and nothing else changed, to time how a change spreads.
pub fn publish_marker<F: Fabric>(simulation: &Simulation<F>) {
    publish_entries(simulation, &[0], None);
}

/// Drains a server, takes it down for its restart and puts it back into service.
async fn restart_server<F: Fabric>(simulation: Rc<Simulation<F>>, number: usize) {
    publish_entries(&simulation, &[number], Some(Phase::Terminating));
    simulation.sleep(DRAIN_MS).await;
    let server = &simulation.servers[number];
    // A fault has cut the server off in the meantime: the fault decides when it is back.
    if server.links.iter().any(|link| *link.borrow() != Link::Up) {
        return;
    }
    server.set_links(Link::Down);
    simulation.sleep(RESTART_MS).await;
    server.set_links(Link::Up);
    publish_entries(&simulation, &[number], Some(Phase::InService));
}
