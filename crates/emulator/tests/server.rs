//! The model of one server: sharing of cores, rejection, key cache, warm-up, degradation, pauses, cancellation
//! and load reports.

use roseproxy_emulator::scenario::{Cancel, Scenario};
use roseproxy_emulator::schedule::{
    ConnectionTable, DegradationParameters, KeyCache, Reporting, Schedule, ShortPauses, Thrashing, WarmUp,
};
use roseproxy_emulator::server::{Job, Phase, Rejection, Server};

fn server() -> Server {
    let scenario = Scenario::parse("test", "name = 'test'").expect("a valid scenario");
    let mut parameters = Schedule::draw(&scenario, 3).servers[0].clone();
    (parameters.cores, parameters.speed, parameters.slots, parameters.queue) = (2.0, 1.0, 4, 6);
    parameters.thrashing = Thrashing { loss: 0.0, threshold: 10.0 };
    parameters.pauses = ShortPauses { interval: 1e9, length: 0.0 };
    parameters.connection_table = ConnectionTable { size: 100, full_cost: 0.0 };
    parameters.key_cache = KeyCache { saving: 0.5, lifetime: 1000.0, size: 8 };
    parameters.degradation = None;
    Server::new(parameters, 1, 100.0)
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, key: None, error: false }
}

fn ends(server: &mut Server, until: f64) -> Vec<(u64, f64)> {
    let mut done = Vec::new();
    server.advance(until, &mut done);
    done.into_iter().map(|d| (d.id, d.at.round())).collect()
}

#[test]
fn running_requests_share_the_cores_and_others_are_queued() {
    let mut server = server();
    for id in 0..5 {
        server.offer(job(id, 100.0)).expect("a free slot");
    }
    assert_eq!((server.held(), server.waiting()), (5, 1));
    // Four requests share two cores, half a core each. The fifth then runs alone on one core.
    assert_eq!(ends(&mut server, 1000.0), [(0, 200.0), (1, 200.0), (2, 200.0), (3, 200.0), (4, 300.0)]);
}

#[test]
fn a_server_that_is_down_stays_down_when_it_is_drained() {
    let mut server = server();
    server.stop();
    server.start_drain();
    assert_eq!((server.phase, server.next_event()), (Phase::Down, f64::INFINITY));
}

#[test]
fn a_full_queue_and_a_drain_reject_jobs() {
    let mut server = server();
    (0..10).for_each(|id| server.offer(job(id, 100.0)).expect("a free slot"));
    assert_eq!(server.offer(job(10, 1.0)), Err(Rejection::Full));
    server.phase = Phase::Draining;
    assert_eq!(server.offer(job(11, 1.0)), Err(Rejection::Draining));
    assert_eq!(ends(&mut server, 2000.0).len(), 10, "a draining server finishes its jobs");
}

#[test]
fn a_cached_key_saves_work_until_it_expires() {
    let mut server = server();
    let keyed = |id| Job { key: Some(7), ..job(id, 100.0) };
    server.offer(keyed(1)).expect("a free slot");
    assert_eq!(ends(&mut server, 150.0), [(1, 100.0)]);
    server.offer(keyed(2)).expect("a free slot");
    assert_eq!(ends(&mut server, 1300.0), [(2, 200.0)]);
    server.offer(keyed(3)).expect("a free slot");
    assert_eq!(ends(&mut server, 1500.0), [(3, 1400.0)]);
}

#[test]
fn a_started_server_warms_up_by_time_or_served_requests() {
    let mut server = server();
    server.parameters.warm_up = WarmUp { initial_share: 0.25, time: 1000.0, requests: 2.0 };
    server.start(0.0);
    assert_eq!(server.warm_share(), 0.25);
    ends(&mut server, 500.0);
    assert!((server.warm_share() - 0.625).abs() < 1e-9);
    server.offer(job(1, 1.0)).expect("a free slot");
    server.offer(job(2, 1.0)).expect("a free slot");
    ends(&mut server, 600.0);
    assert_eq!(server.warm_share(), 1.0, "warm after two requests");
}

#[test]
fn a_cold_server_fails_when_overloaded() {
    let mut server = server();
    server.parameters.warm_up = WarmUp { initial_share: 0.25, time: 10_000.0, requests: 0.0 };
    server.start(0.0);
    // The capacity is 0.5 per ms: 4 times that over 1500 ms is 3000, plus a tolerance of 400.
    let accepted = (0..40).take_while(|_| !server.overloads_when_cold(100.0, 4.0, 1500.0)).count();
    assert_eq!(accepted, 34);
    assert!(server.failed_by_overload && server.capacity() == 0.0);
}

#[test]
fn a_long_queue_degrades_a_server_until_it_is_nearly_idle() {
    let mut server = server();
    server.parameters.degradation = Some(DegradationParameters {
        queue_limit: 3.0,
        queue_duration: 500.0,
        slowdown: 2.0,
        idle_below: 0.4,
        idle_duration: 300.0,
        max_duration: 9e9,
    });
    (0..10).for_each(|id| server.offer(job(id, 300.0)).expect("a free slot"));
    ends(&mut server, 400.0);
    assert!(!server.is_degraded());
    ends(&mut server, 600.0);
    assert!(server.is_degraded() && server.degradations == 1);
    let all = ends(&mut server, 5_000.0);
    let last = all.iter().map(|(_, at)| *at).fold(0.0, f64::max);
    assert!(last > 2_000.0, "slower than the 1500 ms without degradation: {last}");
    assert!(!server.is_degraded(), "recovered");
}

#[test]
fn a_pause_stops_all_work() {
    let mut server = server();
    server.offer(job(1, 100.0)).expect("a free slot");
    server.pause(250.0);
    assert_eq!(ends(&mut server, 400.0), [(1, 350.0)]);
}

#[test]
fn a_closed_connection_cancels_work_as_configured() {
    for (cancel, first, second) in
        [(Cancel::None, false, false), (Cancel::Queued, false, true), (Cancel::All, true, true)]
    {
        let mut server = server();
        (server.parameters.slots, server.parameters.cancel) = (1, cancel);
        server.offer(job(1, 100.0)).expect("a free slot");
        server.offer(job(2, 100.0)).expect("a free slot");
        assert_eq!((server.cancel_job(2), server.cancel_job(1)), (second, first), "{cancel:?}");
        assert_eq!(server.held(), 2 - usize::from(first) - usize::from(second), "{cancel:?}");
    }
}

#[test]
fn reports_are_delayed() {
    let mut server = server();
    server.parameters.reporting = Reporting { period: 100.0, delay: 50.0, noise: 0.0 };
    (0..3).for_each(|id| server.offer(job(id, 1e6)).expect("a free slot"));
    ends(&mut server, 120.0);
    assert_eq!(server.report(0.5).inflight, 0.0, "taken at 100 ms at the earliest, reported 50 ms later");
    ends(&mut server, 400.0);
    assert_eq!(server.report(0.5).inflight, 3.0);
}
