//! Discovery goes down and returns: by when every sidecar has what changed meanwhile, and how many calls all of them make
//! together. Time is paused, so that seconds are counted and never waited for.

mod common;

use common::registry::{Loopback, Outage, Piped, Registry, HEARTBEAT, OUTAGES};
use common::*;
use roseproxy::Clock;
use roseproxy_routing::Host;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::network::{Network, Tcp};
use roseproxy_transport::Gateway;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Sizes that the settings state.
const FLEETS: [usize; 4] = [9, 100, 300, 1000];
/// How long discovery is down (ms).
const ABSENCES: [u64; 2] = [8_000, 60_000];
/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// By when every sidecar has its first watch: the settings have it ask within 10 s.
const STARTED: Duration = Duration::from_secs(20);
/// Calls a second that no discovery minds, whatever the fleet: half of those under which a small one answered nobody
/// (docs/questions.md, 1).
const FEW_CALLS: f64 = 25.0;
/// Calls of a larger fleet, as a multiple of what the term itself needs, which is one from each sidecar in 6 s.
const MOST_CALLS: f64 = 2.5;

/// Gateways of independent sidecars, one for each seed, in a fleet of the stated size; each watches discovery from
/// revision 1 of the list.
fn watching_sidecars<N: Network>(
    network: &N,
    registry: &Registry,
    mode: &str,
    fleet: usize,
    seeds: std::ops::Range<u64>,
) -> Vec<Rc<Gateway<N>>> {
    let clock = Clock::system();
    let start = |seed| {
        let config = config_with(|s| {
            s["discovery"] = json!(mode);
            s["fleet_size"] = json!(fleet);
            s["obligations"]["must_ask_in"] = json!(10_000_000);
        });
        let host = Host::new(config.settings.clone(), seed, clock.now());
        let gateway = gateway_of(network.clone(), host, config, &clock, &[registry.endpoint], 20);
        watching_by(&gateway, registry.address, Some(1));
        gateway
    };
    seeds.map(start).collect()
}

/// Sidecars that still send to the endpoint, as they have not heard of its drain.
fn untold<N: Network>(sidecars: &[Rc<Gateway<N>>]) -> usize {
    sidecars.iter().filter(|s| s.can_serve()).count()
}

/// Discovery is down; the endpoint begins to drain meanwhile, and 6 s after the return all sidecars have heard of it.
fn a_drain_is_told_after(outage: Outage) {
    const SIDECARS: u64 = 24;
    for mode in ["on_request", "pushed"] {
        for fleet in FLEETS {
            for absence in ABSENCES {
                timeless(async {
                    let registry = Registry::on_loopback().await;
                    let seeds = absence..absence + SIDECARS;
                    let network = Loopback(registry.clone());
                    let sidecars = watching_sidecars(&network, &registry, mode, fleet, seeds);
                    sleep(STARTED).await;
                    assert_eq!(
                        registry.open_watches(),
                        sidecars.len(),
                        "{mode}, {fleet}: not watched at first"
                    );
                    registry.fail(outage);
                    sleep(Duration::from_millis(absence)).await;
                    registry.drain_endpoint();
                    registry.recover();
                    sleep(TOLD).await;
                    let untold = untold(&sidecars);
                    assert_eq!(
                        untold, 0,
                        "{mode}, fleet of {fleet}, {outage:?} for {absence} ms: {untold} of {SIDECARS} were not told"
                    );
                    assert_eq!(registry.open_watches(), sidecars.len());
                });
            }
        }
    }
}

#[test]
fn a_change_is_told_within_6_s_after_calls_were_answered_503() {
    a_drain_is_told_after(Outage::Unavailable);
}

#[test]
fn a_change_is_told_within_6_s_after_connections_were_refused() {
    a_drain_is_told_after(Outage::Refused);
}

#[test]
fn a_change_is_told_within_6_s_after_calls_were_reset() {
    a_drain_is_told_after(Outage::Reset);
}

#[test]
fn a_change_is_told_within_6_s_after_connections_did_not_come_up() {
    a_drain_is_told_after(Outage::Unreachable);
}

/// A discovery that is away may let calls wait before it turns them away, and looks like a crowded one then: pauses that
/// grew by that, up to 35 s, went past the term for what changes next ('call_ended reason=turned_away after=2000' was what
/// every call of 315 sidecars met for eight seconds).
#[test]
fn a_change_is_told_within_6_s_after_calls_waited_and_were_turned_away() {
    a_drain_is_told_after(Outage::Queued);
}

/// All watches end by a reset while discovery itself stays there: no call fails, and what changes next counts as told by
/// the same clock.
#[test]
fn a_change_is_told_within_6_s_after_watches_were_reset() {
    for fleet in FLEETS {
        timeless(async {
            let registry = Registry::on_loopback().await;
            let sidecars =
                watching_sidecars(&Loopback(registry.clone()), &registry, "on_request", fleet, 0..24);
            sleep(STARTED).await;
            registry.reset_watches().await;
            registry.drain_endpoint();
            sleep(TOLD).await;
            let untold = untold(&sidecars);
            assert_eq!(untold, 0, "fleet of {fleet}: {untold} of 24 were not told");
        });
    }
}

/// Calls a second that a fleet of this size may make in the mean.
fn most_calls(fleet: usize) -> f64 {
    (MOST_CALLS * fleet as f64 / TOLD.as_secs_f64()).max(FEW_CALLS)
}

/// The same in a single second, chance included.
fn most_in_a_second(fleet: usize) -> f64 {
    with_chance(most_calls(fleet))
}

/// Calls in a single second when all watches have fallen silent together: each is opened anew so long after its own last
/// heartbeat, which spreads them over the time between two. None of them reaches discovery.
fn most_after_silence(fleet: usize) -> f64 {
    with_chance(fleet as f64 / HEARTBEAT.as_secs_f64()).max(most_in_a_second(fleet))
}

fn with_chance(mean: f64) -> f64 {
    mean + 3.0 * mean.sqrt()
}

/// Calls in each whole second from one moment to another.
fn calls_by_second(registry: &Registry, from: Instant, to: Instant) -> Vec<usize> {
    let second = Duration::from_secs(1);
    let starts =
        std::iter::successors(Some(from), |at| Some(*at + second)).take_while(|at| *at + second <= to);
    starts.map(|at| registry.calls_between(at, at + second)).collect()
}

/// Whole fleets, as they are: neither while discovery is down nor when it returns do they call it all at once, and one
/// that answers is asked once by each.
#[test]
fn a_fleet_spreads_its_calls_while_discovery_is_down_and_after() {
    for fleet in FLEETS {
        for outage in OUTAGES {
            timeless(async {
                let registry = Registry::in_memory();
                let seeds = 0..fleet as u64;
                let sidecars =
                    watching_sidecars(&Piped(registry.clone()), &registry, "on_request", fleet, seeds);
                sleep(STARTED).await;
                assert_eq!(registry.open_watches(), fleet);
                let down = Instant::now();
                registry.fail(outage);
                sleep(Duration::from_secs(60)).await;
                let back = Instant::now();
                registry.recover();
                sleep(STARTED).await;
                let absent = calls_by_second(&registry, down, back);
                let after = calls_by_second(&registry, back, Instant::now());
                let first = match outage {
                    Outage::Unreachable => most_after_silence(fleet),
                    Outage::Unavailable | Outage::Refused | Outage::Reset | Outage::Queued => {
                        most_in_a_second(fleet)
                    }
                };
                let later = most_in_a_second(fleet);
                let silence = TOLD.as_secs() as usize;
                for (calls, most) in
                    [(&absent[..silence], first), (&absent[silence..], later), (&after, later)]
                {
                    let peak = calls.iter().copied().max().unwrap_or(0);
                    assert!(
                        peak as f64 <= most,
                        "fleet of {fleet}, {outage:?}: {peak} of {most:.0}: {calls:?}"
                    );
                }
                let mean = absent.iter().sum::<usize>() as f64 / absent.len() as f64;
                let most = most_calls(fleet);
                assert!(mean <= most, "fleet of {fleet}, {outage:?}: {mean:.1} a second of {most:.1}");
                let asked: usize = after.iter().sum();
                assert_eq!(asked, fleet, "fleet of {fleet}, {outage:?}: one call from each after the return");
                drop(sidecars);
            });
        }
    }
}

/// What discovery has to tell counts as told 4 s after a new configuration. Where it is moved while no call is out, as
/// after one that failed, and the new one takes the call and says nothing, the list in hand is not used for longer.
#[test]
fn a_move_between_calls_ends_what_an_absence_allowed() {
    timeless(async {
        let (hangs, address) = port().await;
        let (first, away) = port().await;
        let config = config_with(|s| s["obligations"]["must_ask_in"] = json!(10_000_000));
        let clock = Clock::system();
        let host = Host::new(config.settings.clone(), 3, clock.now());
        let gateway = gateway_of(Tcp, host, config, &clock, &[address], 20);
        let (moves, follows) = watch::channel(away);
        spawn_local(Watcher::new(gateway.clone(), follows, Some(1)).run());
        let mut stream = open_watch(&first).await;
        chunk(&mut stream, &(list(2, false, &[(address, "in_service")]) + "\n")).await.expect("read");
        until("the list is confirmed", || gateway.can_serve()).await;
        drop((stream, first));
        until("discovery is away", || of(&gateway, "discovery_call_ended_unreachable") > 0).await;
        sleep(Duration::from_secs(10)).await;
        assert!(gateway.can_serve(), "the service goes on in an absence");
        moves.send_replace(address);
        let (_open, _) = hangs.accept().await.expect("the sidecar connects");
        sleep(Duration::from_millis(4_000 + 750)).await;
        assert!(!gateway.can_serve(), "by a list of before the move");
    });
}
