//! What is harmless when a few sidecars do it and is not when a hundred do; seen on the larger fleet.

mod common;
use common::*;
use roseproxy_decision::interface::*;

/// One sidecar of a hundred, before sixty servers of two zones that answer in 30 ms.
fn one_of_many() -> Driver {
    let settings = Settings { balancers: 100, warm_keys: true, ..settings() };
    let mut d = Driver::new(settings, 3, 0);
    d.list(Update::Complete, &(0..60).map(place).collect::<Vec<_>>());
    ask(&mut d, 1, 60);
    d
}

fn place(i: u64) -> Server {
    Server { zone: i as u32 / 30, cell: i as u32 / 6, ..server(i) }
}

/// Asks with keys that all differ, 60 ms apart; how many went to each server.
fn ask(d: &mut Driver, from: u64, count: u64) -> Vec<usize> {
    let mut went = vec![0; 64];
    for id in from..from + count {
        let request = Request {
            id,
            key: Some(id.wrapping_mul(0x9e37_79b9)),
            time_left: 1_200_000,
            ..Request::default()
        };
        for s in sent(&d.wait(30_000).event(Event::Request(request))) {
            went[s as usize] += 1;
            drop(d.wait(30_000).end_after(id, 0, s, Outcome::Served, 30_000, None));
        }
    }
    went
}

/// The first so many servers are probed and say that they hold this much.
fn report(d: &mut Driver, servers: u64, holds: impl Fn(u64) -> f64) {
    (0..servers).for_each(|s| drop(d.probed(s, Outcome::Served, held(holds(s)))));
}

/// The first thirty servers have just started.
fn replace_half(d: &mut Driver) {
    let now = d.now;
    let started = (0..30).map(|i| Server { started_at: Some(now), ..place(i) });
    d.list(Update::Changes, &started.collect::<Vec<_>>());
}

/// Two reports of crowded servers among twelve made a sidecar refuse, though all others stood idle.
#[test]
fn a_few_crowded_servers_do_not_shut_the_fleet() {
    let mut d = one_of_many();
    let mut went = 0;
    for round in 0..40 {
        // Ten servers say one request, two say forty.
        report(&mut d, 12, |s| if s < 2 { 40.0 } else { 1.0 });
        went += ask(&mut d, 1000 + round * 10, 10).iter().sum::<usize>();
    }
    assert!(went >= 380, "{went} of 400 were sent");
}

/// What a crowded server holds is still there long after a usual answer's time; a sidecar that asks it
/// again every half minute must not forget it in half a second.
#[test]
fn a_crowd_is_remembered_for_as_long_as_it_takes_to_leave() {
    let mut d = one_of_many();
    let mut to_crowded = 0;
    for round in 0..20 {
        report(&mut d, 60, |s| if s < 12 { 20.0 } else { 1.0 });
        d.wait(3_000_000);
        to_crowded += ask(&mut d, 1000 + round * 5, 5)[..12].iter().sum::<usize>();
    }
    assert!(to_crowded <= 12, "{to_crowded} of 100 went to the crowded fifth");
}

/// Half of the servers are replaced, and half of the keys have their homes there. What a cold server may get
/// of all requests was taken for what it may get of its own keys: nearly all of them went to warm servers.
#[test]
fn cold_homes_get_their_part_of_the_keys() {
    let mut d = one_of_many();
    replace_half(&mut d);
    let mut went = vec![0; 64];
    for round in 0..20 {
        // One looks a little better than the rest.
        report(&mut d, 60, |s| if s == 50 { 0.0 } else { 1.0 });
        let some = ask(&mut d, 1000 + round * 10, 10);
        went.iter_mut().zip(some).for_each(|(all, some)| *all += some);
    }
    // They can do three tenths of what they will, and that is a fifth of the whole.
    let cold: usize = went[..30].iter().sum();
    assert!(cold >= 36, "{cold} of {} went to the thirty cold servers", went.iter().sum::<usize>());
}

/// A server that hangs was tried twice by each sidecar before it stayed away, and again after 0.3 s.
#[test]
fn one_time_out_is_lesson_enough_for_a_while() {
    let mut d = one_of_many();
    let (mut wasted, mut went) = (0, 0);
    for id in 1000..1600 {
        for s in sent(&d.wait(10_000).request(id, 0)) {
            went += 1;
            if s < 6 {
                wasted += 1;
                drop(d.end_after(id, 0, s, Outcome::TimedOut, 300_000, None));
                d.event(Event::Expired { request: id });
            } else {
                drop(d.end_after(id, 0, s, Outcome::Served, 30_000, None));
            }
        }
    }
    assert!(went >= 500 && wasted <= 12, "{wasted} of {went} went to the six that hang");
}

/// Figures ten seconds old were filled by as if a stay's worth of requests had come in since: slow servers
/// got nothing from anybody, and the fast ones all of it.
#[test]
fn by_old_figures_all_get_what_they_can_do() {
    let mut d = one_of_many();
    report(&mut d, 60, |_| 1.0);
    d.wait(10_000_000);
    replace_half(&mut d);
    let mut went = vec![0; 64];
    for id in 1000..1400 {
        // Without a key: no home.
        let request = Request { id, class: 0, time_left: 1_200_000, ..Request::default() };
        for s in sent(&d.wait(10_000).event(Event::Request(request))) {
            went[s as usize] += 1;
            drop(d.end_after(id, 0, s, Outcome::Served, 30_000, None));
        }
    }
    let cold: usize = went[..30].iter().sum();
    assert!(cold >= 80, "{cold} of {} went to the thirty cold servers", went.iter().sum::<usize>());
}
