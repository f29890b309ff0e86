//! The share table in large fleets, where computing it visits thousands of servers.

mod common;

use common::{settings, Driver};
use roseproxy_decision::interface::*;

/// Number of servers in the largest fleets.
const SERVERS: u64 = 3_200;

/// Number of share tables computed while this many requests are answered, one every 10 ms.
fn tables_built(servers: u64, requests: u64) -> u64 {
    let mut driver = Driver::new(Settings { sidecars: 300, ..settings() }, 5, servers);
    let before = driver.balancer.snapshot().tables_built;
    for id in 1..=requests {
        driver.now += 10_000;
        let request = Request { id, time_left: 1_000_000, ..Request::default() };
        for action in driver.event(Event::Request(request)) {
            if let Action::Send { request, server, .. } = action {
                let (outcome, elapsed, load) = (Outcome::Served, 5_000, common::load_report(1.0));
                driver.event(Event::AttemptEnded {
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
    driver.balancer.snapshot().tables_built - before
}

/// With thousands of servers, a new table for every request takes up a sidecar's whole share of a core.
#[test]
fn with_thousands_of_servers_a_table_serves_many_requests() {
    let built = tables_built(SERVERS, 300);
    assert!(built <= 30, "{built} tables for 300 requests");
    assert!(tables_built(60, 300) > 60, "in a small fleet the table is recomputed often");
}
