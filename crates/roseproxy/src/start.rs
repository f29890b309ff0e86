//! Start-up: joins the layers, serves until SIGTERM, and then drains.

use super::config::{Config, ConfigError};
use super::reload::Reload;
use super::signals::{Asked, Asking};
use super::{counters, shutdown, startup, Clock};
use roseproxy_platform::request::Classes;
use roseproxy_routing::decider::Decider;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::Listener;
use roseproxy_transport::network::Network;
use roseproxy_transport::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// What stands round the program.
pub struct Surroundings<N> {
    /// Where streams come from.
    pub network: N,
    /// The time.
    pub clock: Clock,
    /// Takes lines for the log.
    pub say: Rc<dyn Fn(&str)>,
    /// Who decides; `None` for the decision module.
    pub decider: Option<Box<dyn Decider>>,
    /// Whether each event is printed as it happens.
    pub print_events: bool,
}

/// Runs the sidecar until it is asked to end; `read` reads the configuration anew. Returns the counters
/// as text.
pub async fn serve<N: Network>(
    config: Config,
    around: Surroundings<N>,
    mut asking: impl Asking,
    read: impl Fn() -> Result<Config, ConfigError>,
) -> Result<String, String> {
    let Surroundings { network, clock, say, decider, print_events } = around;
    let began = clock.now();
    let socket = startup::patiently(&*say, startup::tries, || network.listen(config.listen)).await;
    let socket = socket.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let kill_after = shutdown::kill_after(&config.settings);
    let classes = Classes::new(config.dialect.clone(), config.settings.classes.clone());
    let host = match decider {
        None => Host::new(config.settings.clone(), config.seed, clock.now()),
        Some(decider) => Host::with_decider(config.settings.clone(), decider),
    };
    let (clients, targets) = Budget::split(config.sockets);
    let gateway = Gateway::new(network, host, classes, targets, clock.reader());
    gateway.set_wall_clock(clock.wall_reader());
    gateway.log_to(say.clone(), print_events);
    // The list as it was known last serves until discovery says more. Without one, the empty list
    // still sets the module asking.
    let known = config.known.as_ref();
    gateway
        .apply_kept_list(roseproxy_decision::interface::Update::Complete, known.map_or(&[], |k| &k.targets));
    // A list that was not read whole is no ground for hearing of changes only.
    let version = known.filter(|k| k.unread == 0).map(|k| k.revision);
    let (mut reload, discovery) = Reload::new(config);
    spawn_local(gateway.clone().run_timers());
    spawn_local(gateway.clone().run_sweeps());
    spawn_local(Watcher::new(gateway.clone(), discovery, version).with_process_start(began).run());
    let (counted, reloads) = (gateway.clone(), reload.counts());
    let counts = Rc::new(move || counters::print(&[counted.counts(), reloads.lines().to_vec()].concat()));
    let listener = Listener::new(gateway.clone(), clients, counts.clone());
    spawn_local(listener.clone().run(socket));
    say(&format!("{} listens at {}", reload.in_force().name, reload.in_force().listen));

    let mut again_in = None;
    while next_asked(&mut asking, again_in).await == Asked::Reload {
        let taken = reload.take(read());
        taken.said.iter().for_each(|line| say(line));
        again_in = taken.again_in;
    }
    let asked = clock.now();
    say(&format!("told to end, {} flows open", gateway.open_flows()));
    let unfinished = shutdown::drain(&clock, &listener, &gateway, kill_after).await;
    gateway.record_open_at_exit();
    say(&format!("ends after {:.0} ms, {unfinished} flows failed for want of time", clock.now() - asked));
    Ok(counts())
}

/// Waits for what is asked next; a configuration that could not be read is asked for again by itself (ms from now).
async fn next_asked(asking: &mut impl Asking, again_in: Option<f64>) -> Asked {
    let Some(pause) = again_in else { return asking.next().await };
    tokio::select! {
        biased;
        asked = asking.next() => asked,
        () = tokio::time::sleep(Duration::from_secs_f64(pause / 1e3)) => Asked::Reload,
    }
}
