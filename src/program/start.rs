//! The start: joins the layers, serves, and ends in order.

use super::config::Config;
use super::reload::Reload;
use super::signals::{Asked, Signals};
use super::{counters, Clock};
use crate::protocol::request::Classes;
use crate::routing::time::to_millis;
use crate::routing::Host;
use crate::transport::budget::Budget;
use crate::transport::discovery::Watcher;
use crate::transport::listener::{Listener, Phase};
use crate::transport::Gateway;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How long after the signal everything goes on as usual, as clients still come (ms).
const LEAVING: f64 = 550.0;
/// How long no connection may have come before the end (ms).
const QUIET: f64 = 150.0;
/// The platform counts a longest deadline below this as this (ms), and kills 700 ms after it.
const SHORTEST_DEADLINE: f64 = 3_000.0;
const BEFORE_KILL: f64 = 500.0;
/// How often the end looks whether all is done (ms).
const LOOK: f64 = 20.0;

/// Runs the sidecar until it is asked to end; `read` reads the configuration anew.
pub async fn serve(
    config: Config,
    clock: Clock,
    read: impl Fn() -> Result<Config, String>,
) -> Result<(), String> {
    // Before anything else, so that a signal that comes early is heeded too.
    let mut signals = Signals::catch().map_err(|e| format!("signals: {e}"))?;
    let socket = TcpListener::bind(config.listen).await;
    let socket = socket.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let deadline =
        config.settings.classes.iter().map(|c| to_millis(c.give_up)).fold(SHORTEST_DEADLINE, f64::max);
    let classes = Classes::new(config.dialect.clone(), config.settings.classes.clone());
    let host = Host::new(config.settings.clone(), config.seed, clock.now());
    let (clients, targets) = Budget::share(config.sockets);
    let gateway = Gateway::new(host, classes, targets, clock.reader());
    // The list as it was known last serves until discovery says more. Without one, the empty list
    // still sets the module asking.
    let known = config.known.as_ref();
    gateway.targets(crate::interface::Update::Complete, known.map_or(&[], |k| &k.targets));
    let (mut reload, discovery) = Reload::new(config);
    spawn_local(gateway.clone().run_timers());
    spawn_local(gateway.clone().run_sweeps());
    spawn_local(Watcher::new(gateway.clone(), discovery).run());
    let (counted, reloads) = (gateway.clone(), reload.counts());
    let counts = Rc::new(move || counters::print(&[counted.counts(), reloads.lines().to_vec()].concat()));
    let listener = Listener::new(gateway.clone(), clients, counts.clone());
    spawn_local(listener.clone().run(socket));
    eprintln!("roseproxy: {} listens at {}", reload.in_force().name, reload.in_force().listen);

    while signals.next().await == Asked::Reload {
        eprintln!("roseproxy: {}", reload.take(read()));
    }
    end(&clock, &listener, &gateway, deadline).await;
    eprint!("{}", counts());
    Ok(())
}

/// Serves on while clients still come, answers all that was taken, and returns when that is done or
/// the kill is near.
async fn end(clock: &Clock, listener: &Rc<Listener>, gateway: &Rc<Gateway>, deadline: f64) {
    let asked = clock.now();
    listener.enter(Phase::Leaving);
    sleep(LEAVING).await;
    listener.enter(Phase::Closing);
    while clock.now() - asked < deadline + BEFORE_KILL {
        if gateway.open_flows() == 0 && listener.quiet_for(QUIET) {
            return;
        }
        sleep(LOOK).await;
    }
}

async fn sleep(millis: f64) {
    tokio::time::sleep(std::time::Duration::from_secs_f64(millis / 1000.0)).await;
}
