//! System calls that fail for a moment: accepts, connects, reads and writes. All promises hold meanwhile and afterwards.

mod common;

use common::faulty::Faulty;
use common::*;
use roseproxy::Clock;
use roseproxy_transport::errno::{EINTR, ENFILE, ENOBUFS, ENOMEM};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The time that a client of these tests waits (ms), and what the endpoint's may exceed the rest of it by.
const TIMEOUT: f64 = 2_000.0;
const SLACK: f64 = 150.0;

/// A client that sends what is no request is owed an error or a close within this time of connecting.
const OWED: Duration = Duration::from_millis(3_000);

/// A request with that time, of a class that is sent once: its attempt gets all of it.
fn hasty(id: &str) -> String {
    request("place-order", id, "b")
        .replace("Request-Timeout: 50", &format!("Request-Timeout: {}", TIMEOUT / 1e3))
}

/// The time that a request told an endpoint (ms).
fn told(request: &str) -> f64 {
    let value = request.split("request-timeout: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    value.and_then(|seconds| seconds.parse::<f64>().ok()).expect("a time") * 1e3
}

#[test]
fn the_time_told_to_an_endpoint_counts_what_a_client_waited_while_accepting_failed() {
    scene(async {
        let (endpoint, address) = port().await;
        let network = Faulty::default();
        network.accepts.set(Some(ENFILE));
        let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[address], 20, 20).await;
        turns().await;
        let served = spawn_local(serve(endpoint, 1));
        let _client = asks(sidecar.address, &hasty("waits")).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.accepts.set(None);
        let told = told(&served.await.expect("no panic")[0]);
        assert!(told <= TIMEOUT - 1_000.0 + SLACK, "told {told:.0} ms of {TIMEOUT:.0}, 1000 of them spent");
    });
}

#[test]
fn the_time_told_to_an_endpoint_counts_what_a_client_waited_for_a_place() {
    scene(async {
        let (endpoint, address) = port().await;
        // One place, and it is taken by a client that sends half a request, and leaves after a second.
        let sidecar = sidecar_on(Faulty::default(), quick(), Clock::system(), &[address], 1, 20).await;
        let served = spawn_local(serve(endpoint, 1));
        let half = asks(sidecar.address, "GET /quote HTTP/1.1\r\nHo").await;
        until("the place is taken", || of(&sidecar.gateway, "clients_accepted") == 1).await;
        let _waits = asks(sidecar.address, &hasty("second")).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        drop(half);
        let told = told(&served.await.expect("no panic")[0]);
        assert!(told <= TIMEOUT - 1_000.0 + SLACK, "told {told:.0} ms of {TIMEOUT:.0}, 1000 of them spent");
    });
}

#[test]
fn an_interrupted_read_or_write_loses_no_request() {
    scene(async {
        let (endpoint, address) = port().await;
        let network = Faulty::default();
        network.calls_fail.set(Some(EINTR));
        let sidecar = sidecar_on(network, quick(), Clock::system(), &[address], 20, 20).await;
        let served = spawn_local(serve(endpoint, 1));
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = ask(&mut client, &request("place-order", "one", "body")).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("priced"), "{answer}");
        assert_eq!(served.await.expect("no panic").len(), 1);
    });
}

#[test]
fn half_a_request_that_waited_to_be_accepted_is_closed_in_time() {
    timeless(async {
        let network = Faulty::default();
        network.accepts.set(Some(ENFILE));
        let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[], 20, 20).await;
        let began = tokio::time::Instant::now();
        let mut client = asks(sidecar.address, "GET /quote HTTP/1.1\r\nHo").await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.accepts.set(None);
        assert!(message(&mut client).await.is_none(), "half a request has no answer");
        let took = began.elapsed();
        assert!(took <= OWED, "closed after {took:?}");
    });
}

/// Nine accepts of ten fail, and a crowd of clients that ask nothing stands before the one that does.
#[test]
fn a_client_behind_a_crowd_is_accepted_soon_where_most_accepts_fail() {
    const CROWD: usize = 100;
    timeless(async {
        let (endpoint, address) = port().await;
        let network = Faulty::default();
        network.accepts.set(Some(ENFILE));
        network.accepts_one_in.set(10);
        let clock = Clock::manual(0.0);
        let sidecar = sidecar_on(network, quick(), clock, &[address], 2 * CROWD, 20).await;
        let _served = spawn_local(serve(endpoint, 1));
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            crowd.push(std::net::TcpStream::connect(sidecar.address).expect("the system accepts"));
        }
        let began = tokio::time::Instant::now();
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        ask(&mut client, &request("place-order", "waits", "b")).await;
        let waited = began.elapsed();
        assert!(waited < Duration::from_millis(200), "{waited:?}");
    });
}

/// Linux documents that sends may fail for want of buffers, and receives for want of memory: that says nothing of the
/// connection, and all that was taken in is still owed.
#[test]
fn calls_that_fail_for_want_of_memory_or_buffers_cost_no_request() {
    for error in [ENOBUFS, ENOMEM] {
        scene(async {
            let (endpoint, address) = port().await;
            let network = Faulty::default();
            let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[address], 20, 20).await;
            let served = count_requests(endpoint);
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            ask(&mut client, &request("place-order", "first", "b")).await;
            network.calls_fail.set(Some(error));
            for id in ["second", "third"] {
                let answer = try_ask(&mut client, &request("place-order", id, "b")).await;
                assert!(answer.is_some_and(|answer| answer.ends_with("priced")), "{id}, error {error}");
            }
            assert_eq!(served.get(), 3, "each is sent once");
        });
    }
}
