//! Peers that stop in the middle, and connects that fail here: an endpoint that reads on late, a client that does not read
//! its answer, a machine that is out of descriptors or ports for a moment.

mod common;

use common::faulty::Faulty;
use common::gated::{Gate, Gated};
use common::*;
use roseproxy::Clock;
use roseproxy_transport::errno::{EADDRNOTAVAIL, ENFILE, ENOBUFS};
use roseproxy_transport::listener::Phase;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

/// A sidecar with so many places for clients, on gated sockets, and what its endpoint has heard.
async fn gated(places: usize) -> (Gated, Sidecar<Gated>, Rc<Cell<usize>>) {
    let (endpoint, address) = port().await;
    let network = Gated::default();
    let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[address], places, 20).await;
    (network, sidecar, count_requests(endpoint))
}

#[test]
fn a_connect_that_fails_here_for_a_moment_is_no_fault_of_the_endpoint() {
    for error in [ENFILE, ENOBUFS, EADDRNOTAVAIL] {
        scene(async {
            let (endpoint, address) = port().await;
            let network = Faulty::default();
            network.connects.set(Some(error));
            let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[address], 20, 20).await;
            let heard = count_requests(endpoint);
            let mut client = asks(sidecar.address, &request("place-order", "one", "b")).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            network.connects.set(None);
            let answer = message(&mut client).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{error}: {answer}");
            assert_eq!((heard.get(), of(&sidecar.gateway, "forwards_unreachable")), (1, 0), "{error}");
        });
    }
}

#[test]
fn an_endpoint_that_reads_on_late_is_told_of_no_more_time_than_is_left() {
    scene(async {
        let (endpoint, address) = port().await;
        let network = Gated::default();
        let sidecar = sidecar_on(network.clone(), quick(), Clock::system(), &[address], 20, 20).await;
        network.sends.shut();
        let served = spawn_local(async move {
            let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
            message(&mut stream).await
        });
        let text = request("place-order", "one", "b").replace("Request-Timeout: 50", "Request-Timeout: 2");
        let _client = asks(sidecar.address, &text).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.sends.open();
        let heard = tokio::time::timeout(Duration::from_millis(500), served).await;
        // It may have been called off, and gone out anew or not at all.
        let Ok(Ok(Some(heard))) = heard else { return };
        let told = heard.split("request-timeout: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let told: f64 = told.and_then(|seconds| seconds.parse().ok()).expect("a time");
        assert!(told <= 1.15, "told {told} s where the client has 1 s left");
    });
}

#[test]
fn a_client_that_does_not_read_its_answer_frees_its_place() {
    timeless(async {
        let (network, sidecar, heard) = gated(1).await;
        network.answers.shut();
        let _stuck = asks(sidecar.address, &request("place-order", "one", "b")).await;
        until("it is served", || heard.get() == 1).await;
        let waits = asks(sidecar.address, &request("place-order", "two", "b")).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert_eq!(heard.get(), 2, "the only place is held by a client that does not read");
        drop(waits);
    });
}

/// One that does not read is no idle client: another one makes room for those who come.
#[test]
fn room_is_made_beside_a_client_that_does_not_read() {
    timeless(async {
        let (network, sidecar, heard) = gated(2).await;
        let shut = Rc::<Gate>::default();
        shut.shut();
        *network.next_answers.borrow_mut() = Some(shut);
        let _stuck = asks(sidecar.address, &request("place-order", "stuck", "b")).await;
        until("it is served", || heard.get() == 1).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut idle = asks(sidecar.address, "").await;
        ask(&mut idle, &request("place-order", "idle", "b")).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut waits = asks(sidecar.address, &request("place-order", "waits", "b")).await;
        let answer = tokio::time::timeout(Duration::from_millis(1_000), message(&mut waits)).await;
        assert!(answer.is_ok(), "the idle client has made no room");
    });
}

/// Bytes that come while the last answer on a connection waits to be written are read before the close: a close over
/// unread bytes is a reset.
#[test]
fn bytes_behind_a_last_answer_that_waited_make_its_close_no_reset() {
    timeless(async {
        let (network, sidecar, heard) = gated(2).await;
        network.answers.shut();
        // It is the last one, as bytes come behind its request.
        let text = request("place-order", "one", "b") + "behind";
        let mut client = asks(sidecar.address, &text).await;
        until("it is served", || heard.get() == 1).await;
        turns().await;
        client.write_all(b"more").await.expect("it is open");
        turns().await;
        network.answers.open();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an orderly end");
        assert!(String::from_utf8_lossy(&answer).ends_with("priced"));
        // What stays of it is no reset either.
        assert_eq!(client.take_error().expect("asked").map(|e| e.kind()), None);
    });
}

/// The same where nothing had come behind the request: the process ends.
#[test]
fn bytes_behind_the_last_answer_of_a_process_make_its_close_no_reset() {
    timeless(async {
        let (network, sidecar, heard) = gated(2).await;
        network.answers.shut();
        sidecar.listener.set_phase(Phase::Closing);
        let mut client = asks(sidecar.address, &request("place-order", "one", "b")).await;
        until("it is served", || heard.get() == 1).await;
        turns().await;
        client.write_all(b"more").await.expect("it is open");
        turns().await;
        network.answers.open();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an orderly end");
        assert!(String::from_utf8_lossy(&answer).ends_with("priced"));
    });
}
