//! Clients that close their connection while much of what they sent is still unread. Guards against requests that are
//! sent on afterwards: an attempt may begin no later than 0.1 s after the close.

mod common;

use common::*;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Clients and descriptors of the sidecars.
const ROOM: usize = 64;
/// How long the sidecar is held up after the clients have closed: longer than an attempt may begin after that.
const HELD_UP: Duration = Duration::from_millis(150);
/// Time in which the sidecar reads what was sent and sends on what it would.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum Close {
    Orderly,
    Reset,
}

/// Writes as much of `bytes` as the system takes without the sidecar reading anything; returns the number of bytes.
fn write_without_reader(client: &TcpStream, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match client.try_write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("the connection failed: {error}"),
        }
    }
    written
}

fn close(client: TcpStream, how: Close) {
    match how {
        Close::Orderly => drop(client),
        Close::Reset => close_with_reset(client),
    }
}

/// What follows a whole order on its connection.
fn trailing_input() -> Vec<(String, Vec<u8>)> {
    let orders: String =
        (0..400).map(|number| request_text("place-order", &format!("p{number}"), "b")).collect();
    let noise = |length: usize| (format!("{length} bytes"), vec![b'x'; length]);
    vec![
        noise(0),
        noise(1),
        noise(20_000),
        noise(300_000),
        noise(8_000_000),
        ("orders".into(), orders.into()),
    ]
}

/// The request, and others behind it, arrive whole before the sidecar reads anything; by then their client has gone.
#[test]
fn a_request_whose_client_closed_before_it_was_read_is_not_sent_on() {
    for (what, trailing) in trailing_input() {
        for how in [Close::Orderly, Close::Reset] {
            run_local(async {
                let (endpoint, address) = bind_port().await;
                let received = count_requests(endpoint);
                let sidecar = start_sidecar(&[address], ROOM).await;
                exchange_on_new_connection(&sidecar, "before").await;
                let client = TcpStream::connect(sidecar.address).await.expect("connects");
                client.writable().await.expect("connected");
                let order = request_text("place-order", "gone", "b");
                let text = [order.as_bytes(), &trailing].concat();
                let written = write_without_reader(&client, &text);
                assert!(written >= order.len(), "{what}: {written} bytes");
                close(client, how);
                // Holds up the only thread, as a busy machine does.
                std::thread::sleep(HELD_UP);
                sleep(SETTLING_TIME).await;
                assert_eq!(received.get(), 1, "{what}, {written} bytes written, {how:?}: sent on");
            });
        }
    }
}

/// The client closes while its first request is being served, with many more behind it.
#[test]
fn requests_behind_one_whose_client_has_left_are_not_sent_on() {
    for (what, trailing) in trailing_input() {
        for how in [Close::Orderly, Close::Reset] {
            run_local(async {
                let (endpoint, address) = bind_port().await;
                let sidecar = start_sidecar(&[address], ROOM).await;
                let mut client =
                    connect_and_send(sidecar.address, &request_text("place-order", "first", "b")).await;
                let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
                read_message(&mut stream).await.expect("a request");
                let received = count_requests(endpoint);
                let _ = tokio::time::timeout(SETTLING_TIME, client.write_all(&trailing)).await;
                close(client, how);
                std::thread::sleep(HELD_UP);
                let _ = stream.write_all(OK_RESPONSE.as_bytes()).await;
                let next = tokio::time::timeout(SETTLING_TIME, read_message(&mut stream)).await;
                assert!(!matches!(next, Ok(Some(_))), "{what}, {how:?}: sent on");
                assert_eq!(received.get(), 0, "{what}, {how:?}: sent on");
            });
        }
    }
}

/// Clients that wait to be accepted, or for a socket, send a whole order and leave.
#[test]
fn requests_of_clients_that_left_while_they_waited_for_a_socket_are_not_sent_on() {
    for how in [Close::Orderly, Close::Reset] {
        run_local(async {
            let (endpoint, address) = bind_port().await;
            let received = count_requests(endpoint);
            let sidecar = start_sidecar(&[address], 4).await;
            let mut clients = Vec::new();
            for number in 0..200 {
                let client = TcpStream::connect(sidecar.address).await.expect("connects");
                client.writable().await.expect("connected");
                let order = request_text("place-order", &format!("gone{number}"), "b");
                let text = [order.as_bytes(), &[b'x'; 100_000]].concat();
                write_without_reader(&client, &text);
                clients.push(client);
            }
            let before = received.get();
            clients.into_iter().for_each(|client| close(client, how));
            std::thread::sleep(HELD_UP);
            sleep(SETTLING_TIME).await;
            assert_eq!(received.get(), before, "{how:?}: sent on");
        });
    }
}

async fn exchange_on_new_connection(sidecar: &Sidecar, id: &str) {
    let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
    let answer = exchange(&mut client, &request_text("place-order", id, "b")).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
