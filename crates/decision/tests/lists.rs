//! Lists of many servers: who is gone, and which places new ones take.

mod common;
use common::*;
use roseproxy_decision::interface::*;

/// Servers that the balancer keeps a place for, those that are gone included.
fn places(d: &Driver) -> usize {
    format!("{:?}", d.balancer).matches("Backend {").count()
}

fn servers(ids: impl Iterator<Item = u64>) -> Vec<Server> {
    ids.map(server).collect()
}

fn gone(id: u64) -> Server {
    Server { readiness: Readiness::Gone, ..server(id) }
}

fn ready(d: &Driver) -> usize {
    d.balancer.picture().ready
}

/// A balancer that has heard of this list and of no server before.
fn knowing(list: &[Server]) -> Driver {
    let balancer = roseproxy_decision::policy::Balancer::new(settings(), 3, START);
    let mut d = Driver { balancer, now: START };
    d.list(Update::Complete, list);
    d
}

#[test]
fn a_whole_list_takes_out_all_that_it_does_not_name() {
    let mut d = knowing(&servers(0..1_000));
    assert_eq!((ready(&d), places(&d)), (1_000, 1_000));
    d.list(Update::Complete, &servers((0..1_000).filter(|id| id % 2 == 1)));
    assert_eq!(ready(&d), 500);
    for id in 1..=300 {
        let to = sent(&d.wait(10_000).request(id, 0));
        assert!(to.iter().all(|server| server % 2 == 1), "sent to {to:?}");
        to.iter().for_each(|server| drop(d.end(id, 0, *server, Outcome::Served)));
    }
    // Changes take out only those that they name.
    d.list(Update::Changes, &[gone(1), server(2)]);
    assert_eq!(ready(&d), 500);
}

/// New servers take the places of those that are gone, first to last, also where a list is taken in many pieces.
#[test]
fn many_lists_of_many_servers_keep_to_their_places() {
    let mut d = knowing(&servers(0..200));
    for round in 1..20 {
        d.list(Update::Complete, &servers(round * 100..round * 100 + 200));
        assert_eq!(ready(&d), 200);
        // Who is gone makes room in the same list.
        assert_eq!(places(&d), 200, "in round {round}");
    }
}

/// A place that comes free in the middle of a list is there for the rest of it.
#[test]
fn a_place_that_a_list_frees_goes_to_the_next_new_server_of_it() {
    let mut d = knowing(&servers(0..100));
    d.list(
        Update::Changes,
        &[server(100), gone(7), server(101), gone(3), gone(50), server(102), server(103)],
    );
    assert_eq!((ready(&d), places(&d)), (101, 101));
}

/// A server that still has a request keeps its place until that has ended.
#[test]
fn a_place_with_a_request_out_is_not_given_away() {
    let mut d = knowing(&servers(0..100));
    let to = sent(&d.request(1, 0))[0];
    d.list(Update::Changes, &[gone(to), server(100)]);
    assert_eq!(places(&d), 101);
    d.end(1, 0, to, Outcome::Served);
    d.list(Update::Changes, &[server(101)]);
    assert_eq!(places(&d), 101);
}
