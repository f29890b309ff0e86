//! Peers that stall in the middle of an exchange, and connects that fail on the sidecar's side: an endpoint that
//! reads the rest of a request late, a client that does not read its answer, a machine that is out of descriptors or
//! ports for a moment. Guards against lost answers, wrong timeouts, and connections that stay occupied.

mod common;

use common::faulty::FaultyNetwork;
use common::gated::{Gate, GatedNetwork};
use common::*;
use roseproxy::Clock;
use roseproxy_transport::errno::{EADDRNOTAVAIL, ENFILE, ENOBUFS};
use roseproxy_transport::listener::Phase;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

/// Starts a sidecar on gated sockets with room for `places` clients; returns it with the number of requests that
/// reach its endpoint.
async fn start_gated_sidecar(places: usize) -> (GatedNetwork, Sidecar<GatedNetwork>, Rc<Cell<usize>>) {
    let (endpoint, address) = bind_port().await;
    let network = GatedNetwork::default();
    let sidecar = start_sidecar_on(
        network.clone(),
        config_with_short_latency_goals(),
        Clock::system(),
        &[address],
        places,
        20,
    )
    .await;
    (network, sidecar, count_requests(endpoint))
}

#[test]
fn a_connect_that_fails_locally_is_not_counted_against_the_endpoint() {
    for error in [ENFILE, ENOBUFS, EADDRNOTAVAIL] {
        run_local(async {
            let (endpoint, address) = bind_port().await;
            let network = FaultyNetwork::default();
            network.connect_error.set(Some(error));
            let sidecar = start_sidecar_on(
                network.clone(),
                config_with_short_latency_goals(),
                Clock::system(),
                &[address],
                20,
                20,
            )
            .await;
            let received = count_requests(endpoint);
            let mut client =
                connect_and_send(sidecar.address, &request_text("place-order", "one", "b")).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            network.connect_error.set(None);
            let answer = read_message(&mut client).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{error}: {answer}");
            assert_eq!(
                (received.get(), counter(&sidecar.gateway, "forwards_unreachable")),
                (1, 0),
                "{error}"
            );
        });
    }
}

#[test]
fn an_endpoint_that_reads_late_is_not_told_more_time_than_is_left() {
    run_local(async {
        let (endpoint, address) = bind_port().await;
        let network = GatedNetwork::default();
        let sidecar = start_sidecar_on(
            network.clone(),
            config_with_short_latency_goals(),
            Clock::system(),
            &[address],
            20,
            20,
        )
        .await;
        network.target_writes.close();
        let served = spawn_local(async move {
            let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
            read_message(&mut stream).await
        });
        let text =
            request_text("place-order", "one", "b").replace("Request-Timeout: 50", "Request-Timeout: 2");
        let _client = connect_and_send(sidecar.address, &text).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.target_writes.open();
        let heard = tokio::time::timeout(Duration::from_millis(500), served).await;
        // The attempt may have been cancelled, and repeated on a new connection or not at all.
        let Ok(Ok(Some(heard))) = heard else { return };
        let value = heard.split("request-timeout: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let timeout_s: f64 = value.and_then(|seconds| seconds.parse().ok()).expect("a time");
        assert!(timeout_s <= 1.15, "the endpoint was told {timeout_s} s while the client has 1 s left");
    });
}

#[test]
fn a_client_that_does_not_read_its_answer_does_not_keep_its_slot() {
    run_paused(async {
        let (network, sidecar, received) = start_gated_sidecar(1).await;
        network.client_writes.close();
        let _stuck = connect_and_send(sidecar.address, &request_text("place-order", "one", "b")).await;
        wait_until("the request is served", || received.get() == 1).await;
        // The other client tries again when it is turned away.
        for second in 0..30 {
            let text = request_text("place-order", &format!("try-{second}"), "b");
            let waiting = connect_and_send(sidecar.address, &text).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
            drop(waiting);
        }
        assert!(received.get() >= 2, "a client that does not read holds the only slot");
    });
}

/// A client that does not read its answer is not idle: another connection is closed to make room for a new client.
#[test]
fn an_idle_client_makes_room_instead_of_one_that_does_not_read() {
    run_paused(async {
        let (network, sidecar, received) = start_gated_sidecar(2).await;
        let gate = Rc::<Gate>::default();
        gate.close();
        *network.next_client_writes.borrow_mut() = Some(gate);
        let _stuck = connect_and_send(sidecar.address, &request_text("place-order", "stuck", "b")).await;
        wait_until("the request is served", || received.get() == 1).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut idle = connect_and_send(sidecar.address, "").await;
        exchange(&mut idle, &request_text("place-order", "idle", "b")).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut waiting = connect_and_send(sidecar.address, &request_text("place-order", "waits", "b")).await;
        let answer = tokio::time::timeout(Duration::from_millis(1_000), read_message(&mut waiting)).await;
        assert!(answer.is_ok(), "the idle connection was not closed to make room");
    });
}

/// Bytes that arrive while the last answer on a connection waits to be written are read before the close: closing a
/// socket with unread bytes sends a reset.
#[test]
fn bytes_during_a_delayed_last_answer_do_not_cause_a_reset() {
    run_paused(async {
        let (network, sidecar, received) = start_gated_sidecar(2).await;
        network.client_writes.close();
        // The bytes after the request make its answer the last one on this connection.
        let text = request_text("place-order", "one", "b") + "behind";
        let mut client = connect_and_send(sidecar.address, &text).await;
        wait_until("the request is served", || received.get() == 1).await;
        run_ready_tasks().await;
        client.write_all(b"more").await.expect("it is open");
        run_ready_tasks().await;
        network.client_writes.open();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an orderly end");
        assert!(String::from_utf8_lossy(&answer).ends_with("priced"));
        // No reset arrives after the end of the stream either.
        assert_eq!(client.take_error().expect("asked").map(|e| e.kind()), None);
    });
}

/// The same without bytes after the request: the answer is the last one because the process ends.
#[test]
fn bytes_during_the_last_answer_of_a_process_do_not_cause_a_reset() {
    run_paused(async {
        let (network, sidecar, received) = start_gated_sidecar(2).await;
        network.client_writes.close();
        sidecar.listener.set_phase(Phase::Closing);
        let mut client = connect_and_send(sidecar.address, &request_text("place-order", "one", "b")).await;
        wait_until("the request is served", || received.get() == 1).await;
        run_ready_tasks().await;
        client.write_all(b"more").await.expect("it is open");
        run_ready_tasks().await;
        network.client_writes.open();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an orderly end");
        assert!(String::from_utf8_lossy(&answer).ends_with("priced"));
    });
}
