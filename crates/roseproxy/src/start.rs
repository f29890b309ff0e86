//! The start: joins the layers, serves, and ends in order.

use super::config::Config;
use super::reload::Reload;
use super::signals::{Asked, Asking};
use super::{counters, Clock};
use roseproxy_platform::request::Classes;
use roseproxy_routing::decide::Decider;
use roseproxy_routing::time::to_millis;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::{Listener, Phase};
use roseproxy_transport::network::Network;
use roseproxy_transport::Gateway;
use std::rc::Rc;
use tokio::task::spawn_local;

/// How long after the signal everything goes on as usual, as clients still come (ms).
const LEAVING: f64 = 550.0;
/// How long no connection may have come before the end (ms).
const QUIET: f64 = 150.0;
/// The platform kills this long after the longest deadline, which counts as no more than the second figure (ms).
const KILL_AFTER: f64 = 700.0;
const LONGEST_DEADLINE: f64 = 3_000.0;
/// How long before the kill all that is still open is answered, and how long before it the program is gone (ms).
const BEFORE_KILL: (f64, f64) = (150.0, 30.0);
/// How often the end looks whether all is done (ms).
const LOOK: f64 = 20.0;

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
}

/// Runs the sidecar until it is asked to end; `read` reads the configuration anew. Returns the counters
/// as text.
pub async fn serve<N: Network>(
    config: Config,
    around: Surroundings<N>,
    mut asking: impl Asking,
    read: impl Fn() -> Result<Config, String>,
) -> Result<String, String> {
    let Surroundings { network, clock, say, decider } = around;
    let socket = network.listen(config.listen).await;
    let socket = socket.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let longest = config.settings.classes.iter().map(|c| to_millis(c.give_up)).fold(0.0, f64::max);
    let kill = longest.min(LONGEST_DEADLINE) + KILL_AFTER;
    let classes = Classes::new(config.dialect.clone(), config.settings.classes.clone());
    let host = match decider {
        None => Host::new(config.settings.clone(), config.seed, clock.now()),
        Some(decider) => Host::with(config.settings.clone(), decider),
    };
    let (clients, targets) = Budget::share(config.sockets);
    let gateway = Gateway::new(network, host, classes, targets, clock.reader());
    // The list as it was known last serves until discovery says more. Without one, the empty list
    // still sets the module asking.
    let known = config.known.as_ref();
    gateway.targets(roseproxy_decision::interface::Update::Complete, known.map_or(&[], |k| &k.targets));
    // A list that was not read whole is no ground for hearing of changes only.
    let version = known.filter(|k| k.unread == 0).map(|k| k.revision);
    let (mut reload, discovery) = Reload::new(config);
    spawn_local(gateway.clone().run_timers());
    spawn_local(gateway.clone().run_sweeps());
    spawn_local(Watcher::new(gateway.clone(), discovery, version).run());
    let (counted, reloads) = (gateway.clone(), reload.counts());
    let counts = Rc::new(move || counters::print(&[counted.counts(), reloads.lines().to_vec()].concat()));
    let listener = Listener::new(gateway.clone(), clients, counts.clone());
    spawn_local(listener.clone().run(socket));
    say(&format!("{} listens at {}", reload.in_force().name, reload.in_force().listen));

    while asking.next().await == Asked::Reload {
        say(&reload.take(read()));
    }
    let asked = clock.now();
    say(&format!("told to end, {} flows open", gateway.open_flows()));
    let unfinished = end(&clock, &listener, &gateway, kill).await;
    say(&format!("ends after {:.0} ms, {unfinished} flows failed for want of time", clock.now() - asked));
    Ok(counts())
}

/// Serves on while clients still come, answers all that was taken, and returns when that is done or the kill is
/// near, so long after the signal (ms). Returns how many flows were failed then.
async fn end<N: Network>(
    clock: &Clock,
    listener: &Rc<Listener<N>>,
    gateway: &Rc<Gateway<N>>,
    kill: f64,
) -> usize {
    let asked = clock.now();
    listener.enter(Phase::Leaving);
    sleep(LEAVING).await;
    listener.enter(Phase::Closing);
    let until = |before: f64| {
        let done = || gateway.open_flows() == 0 && listener.quiet_for(QUIET);
        async move {
            while clock.now() - asked < kill - before && !done() {
                sleep(LOOK).await;
            }
        }
    };
    until(BEFORE_KILL.0).await;
    // What is open from now on would be lost with the program, what comes only now too, on a connection that has waited
    // for a place: a failure is an answer too.
    let mut unfinished = 0;
    let fails = async {
        loop {
            unfinished += gateway.open_flows();
            gateway.fail_all();
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        biased;
        () = until(BEFORE_KILL.1) => {}
        () = fails => {}
    }
    unfinished
}

async fn sleep(millis: f64) {
    tokio::time::sleep(std::time::Duration::from_secs_f64(millis / 1000.0)).await;
}
