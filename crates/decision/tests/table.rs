//! The table of shares in large fleets: making it takes a look at every server.

mod common;

use common::{settings, Driver};
use roseproxy_decision::interface::*;

/// Servers of the largest fleets.
const SERVERS: u64 = 3_200;

/// Tables made while so many requests are answered, one each 10 ms.
fn tables(servers: u64, requests: u64) -> u64 {
    let mut driver = Driver::new(Settings { balancers: 300, ..settings() }, 5, servers);
    let before = driver.balancer.picture().tables;
    for id in 1..=requests {
        driver.now += 10_000;
        let request = Request { id, time_left: 1_000_000, ..Request::default() };
        for action in driver.event(Event::Request(request)) {
            if let Action::Send { request, server, .. } = action {
                let (outcome, elapsed, load) = (Outcome::Served, 5_000, common::held(1.0));
                driver.event(Event::Ended {
                    request,
                    attempt: 0,
                    server,
                    outcome,
                    elapsed,
                    finished: true,
                    load,
                });
            }
        }
    }
    driver.balancer.picture().tables - before
}

/// Requests that each look at every server take a sidecar's whole part of a core where there are thousands.
#[test]
fn where_there_are_thousands_of_servers_a_table_serves_many_requests() {
    let made = tables(SERVERS, 300);
    assert!(made <= 30, "{made} tables for 300 requests");
    assert!(tables(60, 300) > 60, "in a small fleet what answers tell is heeded at once");
}
