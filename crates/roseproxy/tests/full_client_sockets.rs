//! Clients that connect while all client sockets are in use. Guards against requests that get no answer in time
//! because the sockets are held by clients that do not send the rest of their request. Time is paused.

mod common;

use common::gated::GatedNetwork;
use common::*;
use roseproxy::Clock;
use roseproxy_transport::listener::Phase;
use roseproxy_transport::network::{Network, Tcp};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// An answer that comes later than this after the time of its request counts as none.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time of a request whose client is in a hurry.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time within which a client that does not finish its request is owed an error or a close.
const MISBEHAVING_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// Clients that connect at the same moment.
const SIMULTANEOUS_CLIENTS: usize = 500;

/// What a client has sent when it stops.
const UNFINISHED_REQUESTS: [(&str, &str); 4] = [
    ("nothing", ""),
    ("a part of the head", "POST /place-order HTTP/1.1\r\nHost: origin.svc\r\nRequest-"),
    (
        "a part of the body",
        "POST /place-order?obj=7f3a HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: half\r\nContent-Length: 9\r\n\r\nha",
    ),
    (
        "a part of a chunk",
        "POST /place-order?obj=7f3a HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: half\r\nTransfer-Encoding: chunked\r\n\r\n\
         9\r\nha",
    ),
];
/// A part of a request's head.
const HALF_REQUEST: &str = UNFINISHED_REQUESTS[1].1;

/// Starts a sidecar with this number of client sockets before an endpoint that answers at once.
async fn start_small_sidecar(sockets: usize) -> Sidecar {
    let (endpoint, address) = bind_port().await;
    count_requests(endpoint);
    let config = config_with_short_latency_goals();
    start_sidecar_on(Tcp, config, Clock::system(), &[address], sockets, 40).await
}

/// A whole request with this time limit.
fn request_with_timeout(id: &str, timeout: Duration) -> String {
    let value = format!("Request-Timeout: {}", timeout.as_secs_f64());
    request_text("place-order", id, "b").replace("Request-Timeout: 50", &value)
}

/// Opens `count` connections, sends `text` on each, with an id of its own, and returns them.
async fn connect_all(address: SocketAddr, count: usize, text: &str) -> Vec<TcpStream> {
    static LAST_ID: AtomicUsize = AtomicUsize::new(0);
    let mut clients = Vec::new();
    for _ in 0..count {
        let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let text = text.replace("Request-Id: half", &format!("Request-Id: half-{id}"));
        clients.push(connect_and_send(address, &text).await);
    }
    clients
}

/// Sends a request with a short time limit on a new connection and checks that its answer comes in time.
async fn check_answered_in_time(address: SocketAddr, id: &str, what: &str) {
    let started = Instant::now();
    let mut client = connect_and_send(address, &request_with_timeout(id, SHORT_TIMEOUT)).await;
    let answer = timeout(SHORT_TIMEOUT + LATE_ANSWER_ALLOWANCE, read_message(&mut client)).await;
    let waited = started.elapsed();
    let answer = answer.unwrap_or_else(|_| panic!("{what}: no answer after {waited:?}"));
    assert!(answer.is_some(), "{what}: closed without an answer after {waited:?}");
}

/// Guards against connects that the system drops in a burst: their clients try again only after a second.
#[test]
fn hundreds_of_clients_connect_at_once() {
    run_local(async {
        let socket = Tcp.listen("127.0.0.1:0".parse().expect("an address")).await.expect("a port");
        let address = socket.local_addr().expect("bound");
        let connects: Vec<_> =
            (0..SIMULTANEOUS_CLIENTS).map(|_| spawn_local(TcpStream::connect(address))).collect();
        // Nobody accepts meanwhile, as while the thread is held up.
        let mut clients = Vec::new();
        for connect in connects {
            let connected = timeout(LATE_ANSWER_ALLOWANCE, connect).await;
            let connected =
                connected.unwrap_or_else(|_| panic!("only {} clients are connected", clients.len()));
            clients.push(connected.expect("no panic").expect("connects"));
        }
    });
}

/// Guards against whole requests that lie unread while clients that stopped in the middle of theirs hold all sockets.
#[test]
fn half_requests_that_stay_do_not_keep_whole_requests_unread() {
    for sockets in [1, 8, 40] {
        for clients_per_socket in [1, 2, 5] {
            for (sent, text) in UNFINISHED_REQUESTS {
                run_paused(async {
                    let sidecar = start_small_sidecar(sockets).await;
                    let count = sockets * clients_per_socket;
                    let _stay = connect_all(sidecar.address, count, text).await;
                    let what = format!("{count} clients have sent {sent}, {sockets} sockets");
                    check_answered_in_time(sidecar.address, "usual", &what).await;
                });
            }
        }
    }
}

/// The same with clients that come one after another, faster than such requests time out.
#[test]
fn a_stream_of_half_requests_does_not_keep_whole_requests_unread() {
    run_paused(async {
        let sidecar = start_small_sidecar(20).await;
        let address = sidecar.address;
        let stream = spawn_local(async move {
            let mut stay = Vec::new();
            for _ in 0..1_000 {
                stay.push(connect_and_send(address, HALF_REQUEST).await);
                sleep(Duration::from_millis(5)).await;
            }
        });
        for number in 0..40 {
            sleep(Duration::from_millis(100)).await;
            let id = format!("usual-{number}");
            check_answered_in_time(address, &id, "200 half requests a second, 20 sockets").await;
        }
        stream.abort();
    });
}

/// A client whose unfinished request makes room for another client is told so: it may only have been slow.
#[test]
fn a_client_that_makes_room_gets_an_answer_in_time() {
    for (sent, text) in UNFINISHED_REQUESTS {
        run_paused(async {
            let sidecar = start_small_sidecar(3).await;
            let started = Instant::now();
            let mut stay = connect_all(sidecar.address, 9, text).await;
            check_answered_in_time(sidecar.address, "usual", sent).await;
            let mut turned_away = 0;
            for client in &mut stay {
                let mut answer = String::new();
                client.read_to_string(&mut answer).await.expect("an orderly end");
                assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 "), "{sent}: {answer}");
                turned_away += usize::from(answer.starts_with("HTTP/1.1 503"));
            }
            assert!(started.elapsed() < MISBEHAVING_CLIENT_LIMIT, "{sent}: after {:?}", started.elapsed());
            assert!(turned_away >= 7, "{sent}: {turned_away} of 9 clients were told to try again");
        });
    }
}

/// Writes a request in pieces with pauses between them, and returns its answer.
async fn write_slowly(address: SocketAddr, text: String, pieces: usize, pause: Duration) -> Option<String> {
    let mut client = TcpStream::connect(address).await.expect("connects");
    for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
        client.write_all(piece).await.ok()?;
        sleep(pause).await;
    }
    read_message(&mut client).await
}

/// A slow client that goes on writing is not taken for one that has stopped.
#[test]
fn slow_clients_are_served_beside_half_requests_that_stay() {
    for pause in [10, 50, 200, 400].map(Duration::from_millis) {
        run_paused(async {
            let sidecar = start_small_sidecar(6).await;
            let pieces = 2_000 / pause.as_millis() as usize;
            let text = request_text("place-order", "slow", "a body in pieces");
            let slow = spawn_local(write_slowly(sidecar.address, text, pieces, pause));
            sleep(pause * 2 + Duration::from_millis(1)).await;
            let _stay = connect_all(sidecar.address, 18, HALF_REQUEST).await;
            check_answered_in_time(sidecar.address, "usual", "18 half requests, 6 sockets").await;
            let answer = slow.await.expect("no panic").unwrap_or_default();
            assert!(answer.starts_with("HTTP/1.1 200"), "pauses of {pause:?}: {answer:?}");
        });
    }
}

/// A request that has arrived is answered, although the sidecar has not read its end when a socket is needed.
#[test]
fn a_request_whose_end_is_unread_does_not_make_room() {
    run_paused(async {
        let (endpoint, address) = bind_port().await;
        count_requests(endpoint);
        let network = GatedNetwork::default();
        let config = config_with_short_latency_goals();
        let sidecar = start_sidecar_on(network.clone(), config, Clock::system(), &[address], 2, 20).await;
        let text = request_text("place-order", "crossed", "a body");
        let (begin, end) = text.split_at(text.len() - 3);
        let mut crossed = connect_and_send(sidecar.address, begin).await;
        let _other = connect_and_send(sidecar.address, begin).await;
        sleep(Duration::from_millis(10)).await;
        network.client_reads.close();
        crossed.write_all(end.as_bytes()).await.expect("it is open");
        let waits = connect_and_send(sidecar.address, HALF_REQUEST).await;
        sleep(Duration::from_millis(600)).await;
        network.client_reads.open();
        let answer = read_message(&mut crossed).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        drop(waits);
    });
}

/// A kept connection is used on and on while half requests take all sockets. It may be closed between requests; the
/// request that crosses the close is sent again on a new connection.
#[test]
fn kept_connections_are_answered_in_time_beside_half_requests() {
    run_paused(async {
        let sidecar = start_small_sidecar(4).await;
        let mut kept = TcpStream::connect(sidecar.address).await.expect("connects");
        let mut stay = Vec::new();
        for number in 0..60 {
            let text = request_with_timeout(&format!("kept-{number}"), SHORT_TIMEOUT);
            let limit = SHORT_TIMEOUT + LATE_ANSWER_ALLOWANCE;
            let answer = timeout(limit, try_exchange(&mut kept, &text)).await.expect("an end in time");
            if answer.is_none_or(|answer| answer.to_lowercase().contains("connection: close")) {
                check_answered_in_time(sidecar.address, &format!("again-{number}"), "sent again").await;
                kept = TcpStream::connect(sidecar.address).await.expect("connects");
            }
            stay.push(connect_and_send(sidecar.address, HALF_REQUEST).await);
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Starts a sidecar with this number of client sockets before an endpoint that serves each request for `service_time`.
async fn start_slow_sidecar(sockets: usize, service_time: Duration) -> Sidecar {
    let (endpoint, address) = bind_port().await;
    spawn_local(async move {
        loop {
            let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
            spawn_local(async move {
                while read_message(&mut stream).await.is_some() {
                    sleep(service_time).await;
                    stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
                }
            });
        }
    });
    start_sidecar(&[address], sockets).await
}

/// Sends `count` requests, each on a connection of its own, and returns the connections.
async fn send_requests(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for number in 0..count {
        let text = request_text("place-order", &format!("served-{number}"), "b");
        clients.push(connect_and_send(address, &text).await);
    }
    sleep(Duration::from_millis(20)).await;
    clients
}

/// Checks that each of these clients gets the answer of the endpoint.
async fn check_all_served(clients: &mut [TcpStream]) {
    for client in clients {
        let answer = read_message(client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Requests being served keep their sockets, however many clients wait.
#[test]
fn requests_being_served_do_not_make_room() {
    run_paused(async {
        let sidecar = start_slow_sidecar(4, Duration::from_millis(800)).await;
        let mut served = send_requests(sidecar.address, 3).await;
        let _stay = connect_all(sidecar.address, 12, HALF_REQUEST).await;
        check_all_served(&mut served).await;
    });
}

/// Guards against whole requests that lie unread while requests being served hold all sockets, alone and beside half
/// requests.
#[test]
fn requests_being_served_do_not_keep_whole_requests_unread() {
    for half_requests in [0, 40] {
        run_paused(async {
            let sidecar = start_slow_sidecar(4, Duration::from_secs(4)).await;
            let mut served = send_requests(sidecar.address, 4).await;
            let _stay = connect_all(sidecar.address, half_requests, HALF_REQUEST).await;
            for number in 0..5 {
                let what = format!("4 requests served, 4 sockets, {half_requests} half requests");
                check_answered_in_time(sidecar.address, &format!("usual-{number}"), &what).await;
            }
            check_all_served(&mut served).await;
            let mut next = TcpStream::connect(sidecar.address).await.expect("connects");
            let answer = exchange(&mut next, &request_text("place-order", "next", "b")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        });
    }
}

/// Several requests sent at once on one connection, as the sockets are full of half requests: the first is answered.
#[test]
fn pipelined_requests_are_answered_beside_half_requests() {
    run_paused(async {
        let sidecar = start_small_sidecar(4).await;
        let _stay = connect_all(sidecar.address, 12, HALF_REQUEST).await;
        let limit = SHORT_TIMEOUT + LATE_ANSWER_ALLOWANCE;
        let text =
            request_with_timeout("first", SHORT_TIMEOUT) + &request_with_timeout("second", SHORT_TIMEOUT);
        let mut client = connect_and_send(sidecar.address, &text).await;
        let answer = timeout(limit, read_message(&mut client)).await.expect("an end in time");
        assert!(answer.expect("an answer").starts_with("HTTP/1.1 "));
    });
}

/// While the sidecar shuts down, requests on new connections are answered beside half requests, and these do not
/// keep it from ending.
#[test]
fn half_requests_that_stay_do_not_delay_answers_during_shutdown() {
    run_paused(async {
        let sidecar = start_small_sidecar(4).await;
        let _stay = connect_all(sidecar.address, 12, HALF_REQUEST).await;
        sidecar.listener.set_phase(Phase::NotReady);
        check_answered_in_time(sidecar.address, "not-ready", "before connections close").await;
        sidecar.listener.set_phase(Phase::Closing);
        check_answered_in_time(sidecar.address, "closing", "while connections close").await;
        sleep(MISBEHAVING_CLIENT_LIMIT).await;
        assert!(sidecar.listener.is_idle_for(0.0), "half requests are still open");
    });
}
