//! Changes of the list that cannot be parsed. Guards against a draining endpoint that gets requests for as long as
//! the process lives.
//!
//! The change came as a truncated or corrupt line, or as one bad entry among others. It was counted ('lists_unread')
//! and dropped, the watch went on, and the next change moved the revision past the missing one. The list in hand
//! counted as current although a part of it was known to be missing, and that part was never requested again.

mod common;

use common::*;
use roseproxy::Clock;
use roseproxy_transport::network::Tcp;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// A sidecar has to have a change this long after discovery had it.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// Time for which the watch works without a fault before the unreadable change.
const HEALTHY_WATCH: Duration = Duration::from_secs(8);

/// Starts a sidecar with this fleet size and the list of revision 7; returns it with its open watch.
async fn start_watching_sidecar(
    socket: &TcpListener,
    address: SocketAddr,
    fleet: usize,
) -> (Sidecar, TcpStream) {
    let config = config_with(|s| {
        s["fleet_size"] = json!(fleet);
        s["obligations"]["must_ask_in"] = json!(10_000_000);
    });
    let sidecar = start_sidecar_on(Tcp, config, Clock::system(), &[address], 8, 20).await;
    start_watch(&sidecar, address, Some(7));
    let mut stream = accept_watch(socket).await;
    let started = Instant::now();
    while started.elapsed() < HEALTHY_WATCH {
        write_chunk(&mut stream, "\n").await.expect("read");
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    (sidecar, stream)
}

/// Sends `text` on a watch, and heartbeats after it.
fn send_on_watch(mut stream: TcpStream, text: String) {
    spawn_local(async move {
        let mut next = text;
        while write_chunk(&mut stream, &next).await.is_ok() {
            next = "\n".into();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
}

/// Waits for the next call to discovery, which has to come within the deadline of a change.
async fn next_call(socket: &TcpListener, cause: &str) -> (TcpStream, String) {
    let accepted = timeout(CHANGE_DEADLINE, socket.accept())
        .await
        .unwrap_or_else(|_| panic!("{cause}: no call to discovery"));
    let (mut stream, _) = accepted.expect("the sidecar connects");
    let call = read_message(&mut stream).await.expect("a request");
    (stream, call)
}

#[test]
fn an_unreadable_change_is_requested_again() {
    for fleet in [1, 300] {
        for unreadable in ["{\"revision\":8,\"complete\":false,\"members\":5}\n", "8!\n"] {
            run_paused(async {
                let (socket, address) = bind_port().await;
                let (sidecar, stream) = start_watching_sidecar(&socket, address, fleet).await;
                send_on_watch(stream, unreadable.into());
                let (_stream, call) = next_call(&socket, unreadable).await;
                assert!(
                    call.contains("stream=1&index=7 "),
                    "the watch resumes at the revision in hand: {call}"
                );
                assert_eq!(counter(&sidecar.gateway, "lists_unread"), 1);
            });
        }
    }
}

/// The whole list is requested once: if the entry cannot be parsed there either, it stays unread.
#[test]
fn a_change_with_an_unreadable_entry_has_the_whole_list_requested_once() {
    for fleet in [1, 300] {
        run_paused(async {
            let (socket, address) = bind_port().await;
            let (sidecar, stream) = start_watching_sidecar(&socket, address, fleet).await;
            let unreadable = json!({"id": "s-1", "phase": "resting"});
            let change = json!({"revision": 8, "complete": false, "members": [unreadable]});
            send_on_watch(stream, format!("{change}\n"));
            let (mut stream, call) = next_call(&socket, "an unreadable entry").await;
            assert!(call.starts_with("GET /registry/instances HTTP"), "{call}");
            let whole = json!({"revision": 8, "complete": true, "members": [unreadable]}).to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
            stream.write_all(answer.as_bytes()).await.expect("read");
            let watch = read_message(&mut stream).await.expect("a watch after the list");
            assert!(watch.contains("stream=1&index=8 "), "{watch}");
            assert_eq!(counter(&sidecar.gateway, "lists_unread"), 2);
            assert!(sidecar.gateway.can_serve(), "an endpoint with an unreadable entry stays in use");
        });
    }
}

/// Discovery that sends only unreadable text is not called again and again without pauses.
#[test]
fn a_watch_with_only_unreadable_text_is_reopened_with_pauses() {
    for fleet in [1, 300] {
        run_paused(async {
            let (socket, address) = bind_port().await;
            let (_sidecar, stream) = start_watching_sidecar(&socket, address, fleet).await;
            drop(stream);
            let started = Instant::now();
            let mut calls = 0;
            while started.elapsed() < Duration::from_secs(60) {
                let Ok(stream) = timeout(Duration::from_secs(60), accept_watch(&socket)).await else {
                    break;
                };
                calls += 1;
                send_on_watch(stream, "8!\n".into());
            }
            assert!(calls <= 80, "{calls} calls in a minute, fleet of {fleet}");
        });
    }
}
