//! The model of one server: sharing, turning away, keys, warmth, crowding, pauses, hang-ups and reports.

use roseproxy_emulator::scenario::{Cancel, Scenario};
use roseproxy_emulator::schedule::{
    Choke, ConnectionTable, KeyCache, Reporting, Schedule, ShortPauses, Thrashing, WarmUp,
};
use roseproxy_emulator::server::{Job, Phase, Server, TurnedAway};

fn server() -> Server {
    let day = Scenario::read("test", "name = 'test'").expect("a day");
    let mut plan = Schedule::draw(&day, 3).servers[0].clone();
    (plan.cores, plan.speed, plan.slots, plan.queue) = (2.0, 1.0, 4, 6);
    plan.thrash = Thrashing { loss: 0.0, threshold: 10.0 };
    plan.pause = ShortPauses { interval: 1e9, length: 0.0 };
    plan.conns = ConnectionTable { size: 100, full_cost: 0.0 };
    plan.keys = KeyCache { saving: 0.5, lifetime: 1000.0, size: 8 };
    plan.choke = None;
    Server::new(plan, 1, 100.0)
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
fn requests_share_the_cores_and_wait_their_turn() {
    let mut s = server();
    for id in 0..5 {
        s.offer(job(id, 100.0)).expect("room");
    }
    assert_eq!((s.held(), s.waiting()), (5, 1));
    // Four share two cores: each gets half of one. The fifth has one to itself then.
    assert_eq!(ends(&mut s, 1000.0), [(0, 200.0), (1, 200.0), (2, 200.0), (3, 200.0), (4, 300.0)]);
}

#[test]
fn a_full_waiting_room_and_a_drain_turn_away() {
    let mut s = server();
    (0..10).for_each(|id| s.offer(job(id, 100.0)).expect("room"));
    assert_eq!(s.offer(job(10, 1.0)), Err(TurnedAway::Full));
    s.phase = Phase::Draining;
    assert_eq!(s.offer(job(11, 1.0)), Err(TurnedAway::Draining));
    assert_eq!(ends(&mut s, 2000.0).len(), 10, "what it has, it finishes");
}

#[test]
fn a_key_met_lately_saves_work_until_it_is_forgotten() {
    let mut s = server();
    let keyed = |id| Job { key: Some(7), ..job(id, 100.0) };
    s.offer(keyed(1)).expect("room");
    assert_eq!(ends(&mut s, 150.0), [(1, 100.0)]);
    s.offer(keyed(2)).expect("room");
    assert_eq!(ends(&mut s, 1300.0), [(2, 200.0)]);
    s.offer(keyed(3)).expect("room");
    assert_eq!(ends(&mut s, 1500.0), [(3, 1400.0)]);
}

#[test]
fn a_started_server_is_cold_and_warms_by_time_or_work() {
    let mut s = server();
    s.plan.cold = WarmUp { initial_share: 0.25, time: 1000.0, requests: 2.0 };
    s.start(0.0);
    assert_eq!(s.warmth(), 0.25);
    ends(&mut s, 500.0);
    assert!((s.warmth() - 0.625).abs() < 1e-9);
    s.offer(job(1, 1.0)).expect("room");
    s.offer(job(2, 1.0)).expect("room");
    ends(&mut s, 600.0);
    assert_eq!(s.warmth(), 1.0, "two requests warm it");
}

#[test]
fn a_cold_server_is_pushed_over_by_more_than_it_can_do() {
    let mut s = server();
    s.plan.cold = WarmUp { initial_share: 0.25, time: 10_000.0, requests: 0.0 };
    s.start(0.0);
    // It can do 0.5 a ms: 4 times that over 1500 ms is 3000, and 400 are chance.
    let pushed = (0..40).take_while(|_| !s.push(100.0, 4.0, 1500.0)).count();
    assert_eq!(pushed, 34);
    assert!(s.fallen && s.capacity() == 0.0);
}

#[test]
fn crowding_turns_it_slow_and_idleness_brings_it_back() {
    let mut s = server();
    s.plan.choke = Some(Choke { at: 3.0, over: 500.0, slower: 2.0, below: 0.4, rest: 300.0, most: 9e9 });
    (0..10).for_each(|id| s.offer(job(id, 300.0)).expect("room"));
    ends(&mut s, 400.0);
    assert!(!s.slow());
    ends(&mut s, 600.0);
    assert!(s.slow() && s.chokes == 1);
    let all = ends(&mut s, 5_000.0);
    let last = all.iter().map(|(_, at)| *at).fold(0.0, f64::max);
    assert!(last > 2_000.0, "slower than the 1500 ms of a calm one: {last}");
    assert!(!s.slow(), "idle again");
}

#[test]
fn a_pause_stops_all_work() {
    let mut s = server();
    s.offer(job(1, 100.0)).expect("room");
    s.pause(250.0);
    assert_eq!(ends(&mut s, 400.0), [(1, 350.0)]);
}

#[test]
fn a_hang_up_drops_what_the_kind_drops() {
    for (cancel, first, second) in
        [(Cancel::None, false, false), (Cancel::Queued, false, true), (Cancel::All, true, true)]
    {
        let mut s = server();
        (s.plan.slots, s.plan.cancel) = (1, cancel);
        s.offer(job(1, 100.0)).expect("room");
        s.offer(job(2, 100.0)).expect("room");
        assert_eq!((s.hang_up(2), s.hang_up(1)), (second, first), "{cancel:?}");
        assert_eq!(s.held(), 2 - usize::from(first) - usize::from(second), "{cancel:?}");
    }
}

#[test]
fn reports_come_late() {
    let mut s = server();
    s.plan.report = Reporting { period: 100.0, delay: 50.0, noise: 0.0 };
    (0..3).for_each(|id| s.offer(job(id, 1e6)).expect("room"));
    ends(&mut s, 120.0);
    assert_eq!(s.report(0.5).inflight, 0.0, "seen at 100 or later, told 50 later");
    ends(&mut s, 400.0);
    assert_eq!(s.report(0.5).inflight, 3.0);
}
