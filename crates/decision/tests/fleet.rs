//! Failures of large fleets: behaviour that is harmless with a few sidecars and harmful with a hundred.

mod common;
use common::*;
use roseproxy_decision::interface::*;

/// One of a hundred sidecars, with sixty servers in two zones that answer in 30 ms.
fn one_of_many() -> Driver {
    let settings = Settings { sidecars: 100, warm_keys: true, ..settings() };
    let mut d = Driver::new(settings, 3, 0);
    d.update_list(Update::Complete, &(0..60).map(server_of_fleet).collect::<Vec<_>>());
    send_requests(&mut d, 1, 60);
    d
}

fn server_of_fleet(i: u64) -> Server {
    Server { zone: i as u32 / 30, cell: i as u32 / 6, ..server(i) }
}

/// Sends requests with different keys, 60 ms apart. Returns how many went to each server.
fn send_requests(d: &mut Driver, from: u64, count: u64) -> Vec<usize> {
    let mut went = vec![0; 64];
    for id in from..from + count {
        let request = Request {
            id,
            key: Some(id.wrapping_mul(0x9e37_79b9)),
            time_left: 1_200_000,
            ..Request::default()
        };
        for s in sent_to(&d.advance(30_000).event(Event::Request(request))) {
            went[s as usize] += 1;
            drop(d.advance(30_000).end_attempt_after(id, 0, s, Outcome::Served, 30_000, None));
        }
    }
    went
}

/// Probes the first servers, which report these numbers of requests in flight.
fn report_load(d: &mut Driver, servers: u64, in_flight: impl Fn(u64) -> f64) {
    (0..servers).for_each(|s| drop(d.end_probe(s, Outcome::Served, load_report(in_flight(s)))));
}

/// Replaces the first thirty servers by ones that have just started.
fn restart_half(d: &mut Driver) {
    let now = d.now;
    let started = (0..30).map(|i| Server { started_at: Some(now), ..server_of_fleet(i) });
    d.update_list(Update::Changes, &started.collect::<Vec<_>>());
}

/// Reports of two overloaded servers among twelve made a sidecar refuse requests, though all other servers
/// were idle.
#[test]
fn a_few_overloaded_servers_cause_no_refusals() {
    let mut d = one_of_many();
    let mut went = 0;
    for round in 0..40 {
        // Ten servers report one request in flight, two report forty.
        report_load(&mut d, 12, |s| if s < 2 { 40.0 } else { 1.0 });
        went += send_requests(&mut d, 1000 + round * 10, 10).iter().sum::<usize>();
    }
    assert!(went >= 380, "{went} of 400 were sent");
}

/// The requests in an overloaded server are still there long after a usual response time. A sidecar that
/// sends to the server once in half a minute must not forget its report within half a second.
#[test]
fn a_report_of_overload_lasts_until_the_load_has_drained() {
    let mut d = one_of_many();
    let mut to_overloaded = 0;
    for round in 0..20 {
        report_load(&mut d, 60, |s| if s < 12 { 20.0 } else { 1.0 });
        d.advance(3_000_000);
        to_overloaded += send_requests(&mut d, 1000 + round * 5, 5)[..12].iter().sum::<usize>();
    }
    assert!(to_overloaded <= 12, "{to_overloaded} of 100 went to the overloaded fifth");
}

/// Half of the servers are replaced, and half of the keys have their homes there. The maximum share of a cold
/// server of all requests was applied to its own keys, so that nearly all of those went to warm servers.
#[test]
fn cold_homes_get_their_share_of_the_keys() {
    let mut d = one_of_many();
    restart_half(&mut d);
    let mut went = vec![0; 64];
    for round in 0..20 {
        // One server reports slightly less load than the rest.
        report_load(&mut d, 60, |s| if s == 50 { 0.0 } else { 1.0 });
        let some = send_requests(&mut d, 1000 + round * 10, 10);
        went.iter_mut().zip(some).for_each(|(all, some)| *all += some);
    }
    // Cold servers have three tenths of their full capacity, which is a fifth of the whole.
    let cold: usize = went[..30].iter().sum();
    assert!(cold >= 36, "{cold} of {} went to the thirty cold servers", went.iter().sum::<usize>());
}

/// Each sidecar sent two requests to a server that hangs before it ejected the server, and more after 0.3 s.
#[test]
fn one_time_out_ejects_a_server_for_a_while() {
    let mut d = one_of_many();
    let (mut wasted, mut went) = (0, 0);
    for id in 1000..1600 {
        for s in sent_to(&d.advance(10_000).request(id, 0)) {
            went += 1;
            if s < 6 {
                wasted += 1;
                drop(d.end_attempt_after(id, 0, s, Outcome::TimedOut, 300_000, None));
                d.event(Event::ClientLeft { request: id });
            } else {
                drop(d.end_attempt_after(id, 0, s, Outcome::Served, 30_000, None));
            }
        }
    }
    assert!(went >= 500 && wasted <= 12, "{wasted} of {went} went to the six servers that hang");
}

/// With reports ten seconds old, the water-fill counted only the requests of one response time as sent since.
/// Slow servers then got no requests from any sidecar, and the fast ones got all of them.
#[test]
fn with_old_reports_shares_follow_capacity() {
    let mut d = one_of_many();
    report_load(&mut d, 60, |_| 1.0);
    d.advance(10_000_000);
    restart_half(&mut d);
    let mut went = vec![0; 64];
    for id in 1000..1400 {
        // A request without a key has no home.
        let request = Request { id, class: 0, time_left: 1_200_000, ..Request::default() };
        for s in sent_to(&d.advance(10_000).event(Event::Request(request))) {
            went[s as usize] += 1;
            drop(d.end_attempt_after(id, 0, s, Outcome::Served, 30_000, None));
        }
    }
    let cold: usize = went[..30].iter().sum();
    assert!(cold >= 80, "{cold} of {} went to the thirty cold servers", went.iter().sum::<usize>());
}
