//! Sidecars that discovery turns away, or keeps waiting, while it may tell others of changes. Guards against requests
//! to endpoints of which others know that they drain: after a start, on a watch, and after a reload that moves
//! discovery. Where no connection is established, discovery is unavailable and the list stays in use.
//!
//! Time is paused, so that the tests do not wait in real time.

mod common;

use common::registry::{LoopbackNetwork, Outage, Registry};
use common::*;
use roseproxy::Clock;
use roseproxy_routing::Host;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::Gateway;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

type Sidecar = Rc<Gateway<LoopbackNetwork>>;

/// Fleet sizes in the settings, small and large.
const FLEET_SIZES: [usize; 4] = [1, 9, 30, 900];
/// Ways in which a call fails that discovery has accepted.
const REJECTIONS: [Outage; 5] =
    [Outage::Unavailable, Outage::RateLimited, Outage::Reset, Outage::Queued, Outage::Hanging];
/// Notice of a change counts as received this long after discovery had it.
const NOTICE_TERM: Duration = Duration::from_secs(6);
/// The same after a reload that moved discovery.
const NOTICE_TERM_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Requests may be sent this long after notice of a drain, with the tolerance of the platform on sockets.
const GRACE: Duration = Duration::from_millis(1_550);
/// How long calls fail.
const FAILURE_DURATION: Duration = Duration::from_secs(60);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a sidecar serves again once discovery answers: its next call is due within two periods of 4.5 s.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(10);

/// Starts a sidecar that has the list of revision 1, and returns the sender of discovery's address.
fn start(registry: &Rc<Registry>, fleet: usize) -> (Sidecar, watch::Sender<SocketAddr>) {
    let clock = Clock::system();
    let config = config_with(|s| {
        s["fleet_size"] = json!(fleet);
        s["obligations"]["must_ask_in"] = json!(10_000_000);
        s["obligations"]["drain_grace"] = json!(1_500_000);
    });
    let host = Host::new(config.settings.clone(), fleet as u64, clock.now());
    let network = LoopbackNetwork(registry.clone());
    let gateway = start_gateway(network, host, config, &clock, &[registry.endpoint], 20);
    let (sender, address) = watch::channel(registry.address);
    spawn_local(Watcher::new(gateway.clone(), address, Some(1)).run());
    (gateway, sender)
}

/// Starts a sidecar and waits until its watch is open.
async fn start_watching(registry: &Rc<Registry>, fleet: usize) -> (Sidecar, watch::Sender<SocketAddr>) {
    let started = start(registry, fleet);
    wait_until("the watch is open", || registry.open_watches() == 1).await;
    sleep(Duration::from_secs(10)).await;
    started
}

/// Checks that the sidecar accepts no request from `since` + `term` on, for as long as calls fail, and that it serves
/// again once discovery recovers.
async fn check_refuses(what: &str, sidecar: &Sidecar, registry: &Registry, since: Instant, term: Duration) {
    let mut refused = 0;
    while since.elapsed() < FAILURE_DURATION {
        if since.elapsed() > term + GRACE {
            assert!(!sidecar.can_serve(), "{what}: the list is in use after {:?}", since.elapsed());
            refused += 1;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    assert!(refused > 0, "{what}");
    registry.recover();
    sleep(RECOVERY_DEADLINE).await;
    assert!(sidecar.can_serve(), "{what}: discovery answers again");
}

#[test]
fn a_list_is_not_used_past_the_term_while_calls_of_a_former_watch_fail() {
    for fleet in FLEET_SIZES {
        for rejection in REJECTIONS {
            run_paused(async {
                let registry = Registry::on_loopback().await;
                let (sidecar, _sender) = start_watching(&registry, fleet).await;
                let since = Instant::now();
                registry.fail(rejection);
                let what = format!("fleet of {fleet}, {rejection:?} on a watch");
                check_refuses(&what, &sidecar, &registry, since, NOTICE_TERM).await;
            });
        }
    }
}

#[test]
fn a_kept_list_is_not_used_past_the_term_while_calls_fail_after_a_start() {
    for fleet in FLEET_SIZES {
        for rejection in REJECTIONS {
            run_paused(async {
                let registry = Registry::on_loopback().await;
                registry.fail(rejection);
                let since = Instant::now();
                let (sidecar, _sender) = start(&registry, fleet);
                let what = format!("fleet of {fleet}, {rejection:?} after a start");
                check_refuses(&what, &sidecar, &registry, since, NOTICE_TERM).await;
            });
        }
    }
}

#[test]
fn a_list_is_not_used_past_the_term_while_calls_fail_after_discovery_moved() {
    for fleet in FLEET_SIZES {
        for rejection in REJECTIONS {
            run_paused(async {
                let (old, new) = (Registry::on_loopback().await, Registry::on_loopback().await);
                let (sidecar, sender) = start_watching(&old, fleet).await;
                new.fail(rejection);
                let since = Instant::now();
                sender.send_replace(new.address);
                let what = format!("fleet of {fleet}, {rejection:?} after a move");
                check_refuses(&what, &sidecar, &new, since, NOTICE_TERM_AFTER_RELOAD).await;
            });
        }
    }
}

/// The new discovery sends its list and turns the call for the watch away: what it has to tell counts from the reload
/// all the same.
#[test]
fn a_list_without_a_watch_is_not_used_past_the_term_after_discovery_moved() {
    run_paused(async {
        let (old, new) = (Registry::on_loopback().await, Registry::on_loopback().await);
        let (sidecar, sender) = start_watching(&old, 30).await;
        new.fail(Outage::WatchesRejected);
        let since = Instant::now();
        sender.send_replace(new.address);
        check_refuses("the list alone", &sidecar, &new, since, NOTICE_TERM_AFTER_RELOAD).await;
        assert_eq!(new.whole_list_calls(), 1);
    });
}

/// A discovery that is slow with each answer gets the time that it needs.
#[test]
fn a_sidecar_of_a_slow_discovery_gets_its_list() {
    for fleet in FLEET_SIZES {
        run_paused(async {
            let registry = Registry::on_loopback().await;
            let (sidecar, _sender) = start_watching(&registry, fleet).await;
            registry.fail(Outage::Slow);
            sleep(FAILURE_DURATION).await;
            assert_eq!(registry.open_watches(), 1, "fleet of {fleet}: no watch");
            assert!(sidecar.can_serve(), "fleet of {fleet}: the list is not in use");
        });
    }
}

/// Where no connection is established, no sidecar is told of anything, and the service goes on.
#[test]
fn a_list_is_used_on_while_discovery_is_unreachable() {
    for fleet in FLEET_SIZES {
        for outage in [Outage::Refused, Outage::Unreachable] {
            run_paused(async {
                let registry = Registry::on_loopback().await;
                let (sidecar, _sender) = start_watching(&registry, fleet).await;
                registry.fail(outage);
                let since = Instant::now();
                while since.elapsed() < FAILURE_DURATION {
                    let after = since.elapsed();
                    assert!(sidecar.can_serve(), "fleet of {fleet}, {outage:?}: refuses after {after:?}");
                    sleep(SAMPLE_INTERVAL).await;
                }
            });
        }
    }
}

/// A crowd keeps asking for what has changed: a call that comes too often says nothing of the revision that it names,
/// and the whole list costs a crowded discovery far more.
#[test]
fn a_call_that_comes_too_often_does_not_lead_to_a_call_for_the_whole_list() {
    run_paused(async {
        let registry = Registry::on_loopback().await;
        let (_sidecar, _sender) = start_watching(&registry, 30).await;
        let before = registry.whole_list_calls();
        registry.fail(Outage::RateLimited);
        sleep(FAILURE_DURATION).await;
        registry.recover();
        sleep(RECOVERY_DEADLINE).await;
        assert_eq!(registry.open_watches(), 1);
        assert_eq!(registry.whole_list_calls(), before);
    });
}

/// What an outage that answers costs: requests are refused from the end of the lease until the next call is answered,
/// which is due within one period. Prints the times for `docs/design/discovery.md`.
#[test]
fn requests_are_refused_from_the_end_of_the_lease_to_the_next_answered_call() {
    const SIDECARS: usize = 24;
    /// Longest time from discovery's return to the answer of the next call: a period, and a call that is queued.
    const NEXT_ANSWER: Duration = Duration::from_millis(6_500);
    for outage in [Outage::Unavailable, Outage::Reset, Outage::Queued, Outage::Refused, Outage::Unreachable] {
        for outage_s in [6, 12, 60] {
            run_paused(async {
                let registry = Registry::on_loopback().await;
                let fleet: Vec<_> = (0..SIDECARS).map(|number| start(&registry, 100 + number)).collect();
                sleep(Duration::from_secs(20)).await;
                assert_eq!(registry.open_watches(), SIDECARS);
                registry.fail(outage);
                let since = Instant::now();
                let (mut refusing, mut recovered) = (vec![Duration::ZERO; SIDECARS], false);
                while since.elapsed() < Duration::from_secs(outage_s + 20) {
                    if !recovered && since.elapsed() >= Duration::from_secs(outage_s) {
                        registry.recover();
                        recovered = true;
                    }
                    for ((sidecar, _), refusing) in fleet.iter().zip(&mut refusing) {
                        *refusing += if sidecar.can_serve() { Duration::ZERO } else { SAMPLE_INTERVAL };
                    }
                    sleep(SAMPLE_INTERVAL).await;
                }
                let mean = refusing.iter().sum::<Duration>() / SIDECARS as u32;
                let most = refusing.iter().max().copied().unwrap_or_default();
                println!("{outage:?} for {outage_s} s: requests refused for {mean:?} in the mean, {most:?} at most");
                let allowed = match outage {
                    Outage::Refused | Outage::Unreachable => Duration::ZERO,
                    _ => Duration::from_secs(outage_s) + NEXT_ANSWER - NOTICE_TERM,
                };
                assert!(most <= allowed, "{outage:?} for {outage_s} s: {most:?}, {allowed:?} allowed");
            });
        }
    }
}
