//! Runs the sidecar: starts the layers, serves until it is told to shut down, and then drains.

use super::config::{Config, ConfigError};
use super::process_memory::ProcessMemory;
use super::reload::Reload;
use super::signals::{Control, ControlSource};
use super::{counters, shutdown, startup_retry, Clock};
use roseproxy_platform::request::Classes;
use roseproxy_routing::decider::Decider;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::Listener;
use roseproxy_transport::memory_budget::{self, MemoryBudget};
use roseproxy_transport::network::Network;
use roseproxy_transport::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The parts of the sidecar that differ between production, tests and simulations.
pub struct Environment<N> {
    /// The network on which connections are opened and accepted.
    pub network: N,
    /// The clock.
    pub clock: Clock,
    /// Writes a line to the log.
    pub log: Rc<dyn Fn(&str)>,
    /// A replacement for the decision module; `None` to use the decision module.
    pub decider: Option<Box<dyn Decider>>,
    /// Whether each event is logged as it happens.
    pub print_events: bool,
    /// Reads the memory of the process.
    pub process_memory: Box<dyn ProcessMemory>,
}

/// Runs the sidecar until it is told to shut down. `read_config` reads the configuration again for a reload.
/// Returns the counters as text.
pub async fn serve<N: Network>(
    config: Config,
    environment: Environment<N>,
    mut control: impl ControlSource,
    read_config: impl Fn() -> Result<Config, ConfigError>,
) -> Result<String, String> {
    let Environment { network, clock, log, decider, print_events, process_memory } = environment;
    let started_at = clock.now();
    let socket =
        startup_retry::retry_transient(&*log, startup_retry::max_retries, || network.listen(config.listen))
            .await;
    let socket = socket.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let kill_after = shutdown::kill_after(&config.settings);
    let classes = Classes::new(config.names.clone(), config.settings.classes.clone());
    let host = match decider {
        None => Host::new(config.settings.clone(), config.sidecar_seed(), clock.now()),
        Some(decider) => Host::with_decider(config.settings.clone(), decider),
    };
    let max_connections = memory_budget::max_connections(config.memory_bytes);
    let (clients, targets) = Budget::split(config.sockets.min(max_connections));
    let memory_budget = MemoryBudget::of_process(config.memory_bytes);
    let gateway = Gateway::new(network, host, classes, targets, memory_budget, clock.reader());
    gateway.set_wall_clock(clock.wall_reader());
    gateway.log_to(log.clone(), print_events);
    // The last known list is used until discovery answers. Without one, an empty list makes the decision
    // module subscribe to discovery.
    let known = config.known.as_ref();
    gateway
        .apply_kept_list(roseproxy_decision::interface::Update::Complete, known.map_or(&[], |k| &k.targets));
    // A list with unreadable entries is no basis for a watch that delivers only changes.
    let revision = known.filter(|k| k.unreadable_entries == 0).map(|k| k.revision);
    let (mut reload, discovery) = Reload::new(config);
    spawn_local(gateway.clone().run_timers());
    spawn_local(gateway.clone().run_sweeps());
    spawn_local(Watcher::new(gateway.clone(), discovery, revision).with_process_start(started_at).run());
    let (counted_gateway, reload_counts) = (gateway.clone(), reload.counts());
    let counter_text = Rc::new(move || {
        let counts =
            [counted_gateway.counts(), process_memory.named_counts(), reload_counts.by_name().to_vec()];
        counters::to_text(&counts.concat())
    });
    let listener = Listener::new(gateway.clone(), clients, counter_text.clone());
    spawn_local(listener.clone().run(socket));
    log(&format!("{} listening on {}", reload.current().name, reload.current().listen));

    let mut retry_in_ms = None;
    while next_control(&mut control, retry_in_ms).await == Control::Reload {
        let result = reload.apply(read_config());
        result.log_line.iter().for_each(|line| log(line));
        retry_in_ms = result.retry_in_ms;
    }
    let shutdown_began = clock.now();
    log(&format!("shutdown requested, {} flows open", gateway.open_flows()));
    let unfinished = shutdown::drain(&clock, &listener, &gateway, kill_after).await;
    gateway.record_open_at_exit();
    log(&format!(
        "shutdown complete after {:.0} ms, {unfinished} unfinished flows answered as failed",
        clock.now() - shutdown_began
    ));
    Ok(counter_text())
}

/// Waits for the next control request, or for `retry_in_ms`, after which a configuration that could not be read is
/// to be read again.
async fn next_control(control: &mut impl ControlSource, retry_in_ms: Option<f64>) -> Control {
    let Some(pause_ms) = retry_in_ms else { return control.next().await };
    tokio::select! {
        biased;
        requested = control.next() => requested,
        () = tokio::time::sleep(Duration::from_secs_f64(pause_ms / 1e3)) => Control::Reload,
    }
}
