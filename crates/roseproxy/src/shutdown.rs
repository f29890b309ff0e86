//! Graceful shutdown: keeps serving briefly, drains the open requests, and answers the rest as failed shortly
//! before the platform kills the process.

use super::Clock;
use roseproxy_decision::interface::Settings;
use roseproxy_routing::time::to_millis;
use roseproxy_transport::listener::{Listener, Phase};
use roseproxy_transport::network::Network;
use roseproxy_transport::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// How long the sidecar serves as before after SIGTERM, because clients still open connections.
const SERVE_AFTER_SIGTERM_MS: f64 = 550.0;
/// How long no client may have connected before the process exits.
const NO_NEW_CLIENTS_MS: f64 = 150.0;
/// Time between the longest deadline and the SIGKILL of the platform.
const KILL_AFTER_DEADLINE_MS: f64 = 700.0;
/// Upper limit of the longest deadline when the platform computes the time of SIGKILL.
const MAX_DEADLINE_MS: f64 = 3_000.0;
/// How long before SIGKILL the open requests are answered as failed. It is longer than the platform may pause
/// the process, so that this happens in time.
const FAIL_OPEN_BEFORE_KILL_MS: f64 = 200.0;
/// How long before SIGKILL the process exits.
const EXIT_BEFORE_KILL_MS: f64 = 30.0;
/// Interval at which the drain checks whether it is complete.
const POLL_INTERVAL_MS: f64 = 20.0;

/// Returns the time in milliseconds from SIGTERM to the SIGKILL of the platform, which depends on the longest
/// deadline in the settings.
pub fn kill_after(settings: &Settings) -> f64 {
    let longest = settings.classes.iter().map(|class| to_millis(class.client_timeout)).fold(0.0, f64::max);
    longest.min(MAX_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
}

/// Drains the sidecar after SIGTERM: keeps serving while clients still connect, answers all accepted requests, and
/// returns when that is done or SIGKILL is near, which arrives `kill_after` milliseconds after the call. Returns how
/// many requests were answered as failed because the time ran out.
pub async fn drain<N: Network>(
    clock: &Clock,
    listener: &Rc<Listener<N>>,
    gateway: &Rc<Gateway<N>>,
    kill_after: f64,
) -> usize {
    let killed_at_ms = clock.now() + kill_after;
    listener.set_phase(Phase::NotReady);
    sleep(SERVE_AFTER_SIGTERM_MS).await;
    listener.set_phase(Phase::Closing);
    let drained = || gateway.open_flows() == 0 && listener.is_idle_for(NO_NEW_CLIENTS_MS);
    wait_until(clock, killed_at_ms - FAIL_OPEN_BEFORE_KILL_MS, drained).await;
    // Requests still open at SIGKILL would be lost with the process, and so would requests that arrive only now, on a
    // connection that had to wait for a free slot. From here on, every request is answered at once.
    let failed = gateway.shut_down();
    wait_until(clock, killed_at_ms - EXIT_BEFORE_KILL_MS, drained).await;
    failed
}

/// Waits until the condition holds, but not beyond the time `latest_ms` of the clock.
async fn wait_until(clock: &Clock, latest_ms: f64, condition: impl Fn() -> bool) {
    while clock.now() < latest_ms && !condition() {
        sleep(POLL_INTERVAL_MS).await;
    }
}

async fn sleep(duration_ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(duration_ms / 1e3)).await;
}
