//! Lists of many servers: which servers are gone, and which slots new servers get.

mod common;
use common::*;
use roseproxy_decision::interface::*;

/// Number of slots of the balancer, including those of servers that are gone.
fn slots(d: &Driver) -> usize {
    format!("{:?}", d.balancer).matches("ServerState {").count()
}

fn servers(ids: impl Iterator<Item = u64>) -> Vec<Server> {
    ids.map(server).collect()
}

fn gone(id: u64) -> Server {
    Server { readiness: Readiness::Gone, ..server(id) }
}

fn ready(d: &Driver) -> usize {
    d.balancer.snapshot().ready
}

/// A balancer that has been given this list and no other before.
fn driver_with_list(list: &[Server]) -> Driver {
    let balancer = roseproxy_decision::policy::Balancer::new(settings(), 3, START);
    let mut d = Driver { balancer, now: START };
    d.update_list(Update::Complete, list);
    d
}

#[test]
fn a_complete_list_removes_all_servers_that_it_does_not_name() {
    let mut d = driver_with_list(&servers(0..1_000));
    assert_eq!((ready(&d), slots(&d)), (1_000, 1_000));
    d.update_list(Update::Complete, &servers((0..1_000).filter(|id| id % 2 == 1)));
    assert_eq!(ready(&d), 500);
    for id in 1..=300 {
        let to = sent_to(&d.advance(10_000).request(id, 0));
        assert!(to.iter().all(|server| server % 2 == 1), "sent to {to:?}");
        to.iter().for_each(|server| drop(d.end_attempt(id, 0, *server, Outcome::Served)));
    }
    // Changes remove only the servers that they name.
    d.update_list(Update::Changes, &[gone(1), server(2)]);
    assert_eq!(ready(&d), 500);
}

/// New servers get the slots of servers that are gone, so that the number of slots does not grow.
#[test]
fn slots_are_reused_over_many_lists() {
    let mut d = driver_with_list(&servers(0..200));
    for round in 1..20 {
        d.update_list(Update::Complete, &servers(round * 100..round * 100 + 200));
        assert_eq!(ready(&d), 200);
        // The slots of servers that are gone are reused within the same list.
        assert_eq!(slots(&d), 200, "in round {round}");
    }
}

/// A slot that becomes free in the middle of a list is available to the rest of that list.
#[test]
fn a_freed_slot_is_reused_by_the_next_new_server_of_the_list() {
    let mut d = driver_with_list(&servers(0..100));
    d.update_list(
        Update::Changes,
        &[server(100), gone(7), server(101), gone(3), gone(50), server(102), server(103)],
    );
    assert_eq!((ready(&d), slots(&d)), (101, 101));
}

/// A server with an attempt in flight keeps its slot until the attempt has ended.
#[test]
fn a_slot_with_an_attempt_in_flight_is_not_reused() {
    let mut d = driver_with_list(&servers(0..100));
    let to = sent_to(&d.request(1, 0))[0];
    d.update_list(Update::Changes, &[gone(to), server(100)]);
    assert_eq!(slots(&d), 101);
    d.end_attempt(1, 0, to, Outcome::Served);
    d.update_list(Update::Changes, &[server(101)]);
    assert_eq!(slots(&d), 101);
}
