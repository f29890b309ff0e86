//! Graceful shutdown: serves on for a moment, drains the open requests, and answers as failed what is still open
//! shortly before the platform kills the process.

use super::Clock;
use roseproxy_decision::interface::Settings;
use roseproxy_routing::time::to_millis;
use roseproxy_transport::listener::{Listener, Phase};
use roseproxy_transport::network::Network;
use roseproxy_transport::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// How long after SIGTERM the sidecar serves as before, as clients still open connections (ms).
const SERVE_ON: f64 = 550.0;
/// How long no client connection may have come in before the process ends (ms).
const QUIET: f64 = 150.0;
/// The platform sends SIGKILL this long after the longest deadline (ms).
const KILL_AFTER_DEADLINE: f64 = 700.0;
/// A longer deadline counts as this one when the platform sets the time of SIGKILL (ms).
const LONGEST_DEADLINE: f64 = 3_000.0;
/// How long before SIGKILL the requests that are still open are answered as failed (ms): longer than the platform may hold up the
/// process, so that this is done in time.
const FAIL_OPEN_BEFORE_KILL: f64 = 200.0;
/// How long before SIGKILL the process ends (ms).
const EXIT_BEFORE_KILL: f64 = 30.0;
/// How often the drain looks whether it is complete (ms).
const POLL_INTERVAL: f64 = 20.0;

/// The time from SIGTERM to the platform's SIGKILL (ms), by the longest deadline of the settings.
pub fn kill_after(settings: &Settings) -> f64 {
    let longest = settings.classes.iter().map(|class| to_millis(class.client_timeout)).fold(0.0, f64::max);
    longest.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE
}

/// Drains the sidecar after SIGTERM: serves on while clients still come, answers all that was taken, and returns when
/// that is done or SIGKILL is near, `kill_after` milliseconds after the call. Returns how many requests were answered
/// as failed for want of time.
pub async fn drain<N: Network>(
    clock: &Clock,
    listener: &Rc<Listener<N>>,
    gateway: &Rc<Gateway<N>>,
    kill_after: f64,
) -> usize {
    let killed_at = clock.now() + kill_after;
    listener.enter(Phase::Leaving);
    sleep(SERVE_ON).await;
    listener.enter(Phase::Closing);
    let drained = || gateway.open_flows() == 0 && listener.quiet_for(QUIET);
    until(clock, killed_at - FAIL_OPEN_BEFORE_KILL, drained).await;
    // What is open near SIGKILL would be lost with the process, and so would what comes only now, on a connection that has
    // waited for a place: from here on nothing is open for longer than it takes to answer it.
    let failed = gateway.end();
    until(clock, killed_at - EXIT_BEFORE_KILL, drained).await;
    failed
}

/// Waits until something holds, at most until a time of the clock (ms).
async fn until(clock: &Clock, latest: f64, holds: impl Fn() -> bool) {
    while clock.now() < latest && !holds() {
        sleep(POLL_INTERVAL).await;
    }
}

async fn sleep(millis: f64) {
    tokio::time::sleep(Duration::from_secs_f64(millis / 1e3)).await;
}
