//! System calls that fail for a short time: accepts, reads and writes. Guards against requests that are lost or sent
//! twice and against time limits that ignore how long a client waited meanwhile.

mod common;

use common::faulty::FaultyNetwork;
use common::*;
use roseproxy::Clock;
use roseproxy_transport::errno::{EINTR, ENFILE, ENOBUFS, ENOMEM};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::spawn_local;

/// Timeout of the clients.
const CLIENT_TIMEOUT_MS: f64 = 2_000.0;
/// Time by which the timeout sent to an endpoint may exceed the time that the client has left.
const TIMEOUT_SLACK_MS: f64 = 150.0;
/// Clients in a long accept queue.
const QUEUED_CLIENTS: usize = 400;
/// Time for which a slow endpoint serves a request.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// A client that sends no complete request gets an error or a close within this time of connecting.
const INCOMPLETE_REQUEST_LIMIT: Duration = Duration::from_millis(3_000);

/// A request with that timeout, of a class that is sent once, so that its only attempt gets the whole timeout.
fn request_with_short_timeout(id: &str) -> String {
    request_text("place-order", id, "b")
        .replace("Request-Timeout: 50", &format!("Request-Timeout: {}", CLIENT_TIMEOUT_MS / 1e3))
}

/// The timeout that a request states to its endpoint (ms).
fn stated_timeout_ms(request: &str) -> f64 {
    let value = request.split("request-timeout: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    value.and_then(|seconds| seconds.parse::<f64>().ok()).expect("a time") * 1e3
}

#[test]
fn the_timeout_sent_to_an_endpoint_excludes_the_wait_while_accepting_failed() {
    run_local(async {
        let (endpoint, address) = bind_port().await;
        let network = FaultyNetwork::default();
        network.accept_error.set(Some(ENFILE));
        let sidecar = start_sidecar_on(
            network.clone(),
            config_with_short_latency_goals(),
            Clock::system(),
            &[address],
            20,
            20,
        )
        .await;
        run_ready_tasks().await;
        let served = spawn_local(serve(endpoint, 1));
        let _client = connect_and_send(sidecar.address, &request_with_short_timeout("waits")).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.accept_error.set(None);
        let timeout = stated_timeout_ms(&served.await.expect("no panic")[0]);
        assert!(
            timeout <= CLIENT_TIMEOUT_MS - 1_000.0 + TIMEOUT_SLACK_MS,
            "the endpoint was told {timeout:.0} ms of {CLIENT_TIMEOUT_MS:.0} ms, of which 1000 ms had passed"
        );
    });
}

/// The time that a client has left (ms), from the event log's line of its request.
fn logged_time_left_ms(line: &str) -> Option<f64> {
    let value = line.split(" taken ").nth(1)?.split("time_left=").nth(1)?;
    value.parse().ok()
}

/// Guards against requests at the end of a long accept queue that count as just sent. Time is paused.
#[test]
fn the_wait_in_a_long_accept_queue_is_subtracted_from_the_time_that_a_client_has_left() {
    run_paused(async {
        let network = FaultyNetwork::default();
        network.accept_error.set(Some(ENFILE));
        let config = config_with_short_latency_goals();
        let sidecar =
            start_sidecar_on(network.clone(), config, Clock::system(), &[], QUEUED_CLIENTS, 20).await;
        let lines = Rc::new(RefCell::new(Vec::new()));
        let logged = lines.clone();
        sidecar.gateway.log_to(Rc::new(move |line: &str| logged.borrow_mut().push(line.to_owned())), true);
        let mut clients = Vec::new();
        for number in 0..QUEUED_CLIENTS {
            let text = request_with_short_timeout(&format!("queued-{number}"));
            clients.push(connect_and_send(sidecar.address, &text).await);
        }
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.accept_error.set(None);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let times_left: Vec<_> = lines.borrow().iter().filter_map(|line| logged_time_left_ms(line)).collect();
        assert_eq!(times_left.len(), QUEUED_CLIENTS, "requests that were read");
        let most = times_left.into_iter().fold(0.0, f64::max);
        let left = CLIENT_TIMEOUT_MS - 1_000.0;
        assert!(
            most <= left + TIMEOUT_SLACK_MS,
            "a client is taken to have {most:.0} ms left instead of {left:.0}"
        );
    });
}

/// Serves each request for `SERVICE_TIME`; returns the requests with the times at which they arrived.
fn serve_slowly(endpoint: TcpListener) -> UnboundedReceiver<(String, Instant)> {
    let (sender, received) = unbounded_channel();
    spawn_local(async move {
        loop {
            let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
            let sender = sender.clone();
            spawn_local(async move {
                while let Some(request) = read_message(&mut stream).await {
                    sender.send((request, Instant::now())).expect("the test runs");
                    tokio::time::sleep(SERVICE_TIME).await;
                    stream.write_all(OK_RESPONSE.as_bytes()).await.expect("the sidecar reads");
                }
            });
        }
    });
    received
}

#[test]
fn the_timeout_sent_to_an_endpoint_excludes_the_wait_for_a_free_connection_slot() {
    run_local(async {
        let (endpoint, address) = bind_port().await;
        // The sidecar has room for one client, whose request is served for longer than the slack.
        // Its latency goals allow for that, so that no request is refused.
        let config = config_with(|s| {
            for class in s["request_classes"].as_array_mut().expect("classes") {
                class["aim"] = json!(1_000_000);
            }
        });
        let network = FaultyNetwork::default();
        let sidecar = start_sidecar_on(network, config, Clock::system(), &[address], 1, 20).await;
        let mut received = serve_slowly(endpoint);
        let _first_client = connect_and_send(sidecar.address, &request_with_short_timeout("first")).await;
        received.recv().await.expect("the first request");
        let sent_at = Instant::now();
        let _second_client = connect_and_send(sidecar.address, &request_with_short_timeout("second")).await;
        let (request, received_at) = received.recv().await.expect("the second request");
        assert!(request.contains("request-id: second"), "{request}");
        let waited_ms = (received_at - sent_at).as_secs_f64() * 1e3;
        assert!(waited_ms > 1.5 * TIMEOUT_SLACK_MS, "the second client waited for only {waited_ms:.0} ms");
        let timeout = stated_timeout_ms(&request);
        assert!(
            timeout <= CLIENT_TIMEOUT_MS - waited_ms + TIMEOUT_SLACK_MS,
            "the endpoint was told {timeout:.0} ms of {CLIENT_TIMEOUT_MS:.0} ms, of which {waited_ms:.0} ms had passed"
        );
    });
}

#[test]
fn an_interrupted_read_or_write_loses_no_request() {
    run_local(async {
        let (endpoint, address) = bind_port().await;
        let network = FaultyNetwork::default();
        network.stream_error.set(Some(EINTR));
        let sidecar =
            start_sidecar_on(network, config_with_short_latency_goals(), Clock::system(), &[address], 20, 20)
                .await;
        let served = spawn_local(serve(endpoint, 1));
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = exchange(&mut client, &request_text("place-order", "one", "body")).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.ends_with("priced"), "{answer}");
        assert_eq!(served.await.expect("no panic").len(), 1);
    });
}

#[test]
fn half_a_request_that_waited_to_be_accepted_is_closed_in_time() {
    run_paused(async {
        let network = FaultyNetwork::default();
        network.accept_error.set(Some(ENFILE));
        let sidecar = start_sidecar_on(
            network.clone(),
            config_with_short_latency_goals(),
            Clock::system(),
            &[],
            20,
            20,
        )
        .await;
        let started = tokio::time::Instant::now();
        let mut client = connect_and_send(sidecar.address, "GET /quote HTTP/1.1\r\nHo").await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.accept_error.set(None);
        let answer = read_message(&mut client).await.expect("half a request is answered with an error");
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(read_message(&mut client).await.is_none(), "the connection is closed");
        let took = started.elapsed();
        assert!(took <= INCOMPLETE_REQUEST_LIMIT, "closed after {took:?}");
    });
}

/// Nine of ten accepts fail, and 100 clients that send nothing are queued before the one that sends a request.
#[test]
fn a_client_queued_behind_others_is_accepted_soon_while_most_accepts_fail() {
    const SILENT_CLIENTS: usize = 100;
    run_paused(async {
        let (endpoint, address) = bind_port().await;
        let network = FaultyNetwork::default();
        network.accept_error.set(Some(ENFILE));
        network.accept_succeeds_every.set(10);
        let clock = Clock::manual(0.0);
        let sidecar = start_sidecar_on(
            network,
            config_with_short_latency_goals(),
            clock,
            &[address],
            2 * SILENT_CLIENTS,
            20,
        )
        .await;
        let _served = spawn_local(serve(endpoint, 1));
        let mut silent_clients = Vec::new();
        for _ in 0..SILENT_CLIENTS {
            silent_clients.push(std::net::TcpStream::connect(sidecar.address).expect("the system accepts"));
        }
        let started = tokio::time::Instant::now();
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        exchange(&mut client, &request_text("place-order", "waits", "b")).await;
        let waited = started.elapsed();
        assert!(waited < Duration::from_millis(200), "answered after {waited:?}");
    });
}

/// Linux documents that sends may fail for lack of buffers, and receives for lack of memory. Such an error says
/// nothing about the connection, and every request that was accepted still has to be answered. The latency goals are
/// so long that a pause of this process is no reason to refuse one.
#[test]
fn calls_that_fail_for_lack_of_memory_or_buffers_lose_no_request() {
    for error in [ENOBUFS, ENOMEM] {
        run_local(async {
            let (endpoint, address) = bind_port().await;
            let network = FaultyNetwork::default();
            let sidecar =
                start_sidecar_on(network.clone(), config(), Clock::system(), &[address], 20, 20).await;
            let served = count_requests(endpoint);
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            exchange(&mut client, &request_text("place-order", "first", "b")).await;
            network.stream_error.set(Some(error));
            for id in ["second", "third"] {
                let answer = try_exchange(&mut client, &request_text("place-order", id, "b")).await;
                let served = answer.as_ref().is_some_and(|answer| answer.ends_with("priced"));
                assert!(served, "{id}, error {error}: {answer:?}");
            }
            assert_eq!(served.get(), 3, "each request is sent once");
        });
    }
}
