//! Requests and answers while the memory for messages is short. Guards against requests that get no answer, or lose
//! the one that they were promised, because other messages hold the memory; and against memory that is never returned.

mod common;

use common::*;
use roseproxy_platform::MAX_BODY_BYTES;
use roseproxy_transport::memory_budget::Reservation;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// An answer that comes later than this after the time of its request counts as none.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time in which the sidecar handles what was written last.
const SETTLING_TIME: Duration = Duration::from_millis(60);
/// Clients and descriptors of the sidecars.
const ROOM: usize = 20;

/// Reserves all memory that is left, as other messages would.
fn take_all_memory(sidecar: &Sidecar) -> Reservation {
    let budget = &sidecar.gateway.memory_budget;
    budget.try_reserve(budget.limit() - budget.reserved()).expect("nobody waits")
}

/// Starts a sidecar whose memory for messages is all taken, before an endpoint that answers at once; returns it with the
/// number of requests that reach the endpoint and with the memory.
async fn start_without_memory(clients: usize) -> (Sidecar, Rc<Cell<usize>>, Reservation) {
    let (endpoint, address) = bind_port().await;
    let received = count_requests(endpoint);
    let sidecar = start_sidecar(&[address], clients).await;
    let others = take_all_memory(&sidecar);
    (sidecar, received, others)
}

fn reserved(sidecar: &Sidecar) -> usize {
    sidecar.gateway.memory_budget.reserved()
}

/// A request in each form, with a time limit of 50 ms.
fn hasty_requests() -> [(&'static str, String); 4] {
    let hasty = |class: &str, id: &str, body: &str| {
        request_text(class, id, body).replace("Request-Timeout: 50", "Request-Timeout: 0.05")
    };
    let long_body = "x".repeat(MAX_BODY_BYTES);
    let chunked = hasty("place-order", "chunks", "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
        + "1\r\nx\r\n0\r\n\r\n";
    [
        ("no body", hasty("quote", "none", "")),
        ("a short body", hasty("place-order", "short", "b")),
        ("a long body", hasty("place-order", "long", &long_body)),
        ("chunks", chunked),
    ]
}

/// Writes the answer of an endpoint: a body of `length` bytes with this status, of which only `written` are sent.
async fn write_answer(stream: &mut TcpStream, status: &str, length: usize, written: usize) {
    let body = "x".repeat(written);
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await.expect("the sidecar reads");
}

/// Accepts connections until a request other than a probe arrives; returns its stream.
async fn accept_request(endpoint: &TcpListener) -> TcpStream {
    loop {
        let (mut stream, _) = endpoint.accept().await.expect("the sidecar connects");
        if read_message(&mut stream).await.is_some_and(|request| request.contains("request-id")) {
            return stream;
        }
    }
}

#[test]
fn a_request_waits_unread_until_there_is_memory_for_it() {
    for (what, request) in hasty_requests() {
        run_paused(async {
            let (sidecar, received, others) = start_without_memory(ROOM).await;
            let request = request.replace("Request-Timeout: 0.05", "Request-Timeout: 50");
            let mut client = connect_and_send(sidecar.address, &request).await;
            sleep(SETTLING_TIME).await;
            assert_eq!(received.get(), 0, "{what}: sent on without memory");
            assert_eq!(counter(&sidecar.gateway, "requests_waited_for_memory"), 1, "{what}");
            drop(others);
            let answer = read_message(&mut client).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
        });
    }
}

#[test]
fn a_request_for_which_no_memory_is_freed_is_refused_in_time() {
    for (what, request) in hasty_requests() {
        run_paused(async {
            let (sidecar, received, others) = start_without_memory(ROOM).await;
            let mut client = connect_and_send(sidecar.address, &request).await;
            let answer =
                timeout(Duration::from_millis(50) + LATE_ANSWER_ALLOWANCE, read_message(&mut client)).await;
            let answer = answer.unwrap_or_else(|_| panic!("{what}: no answer in time")).expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{what}: {answer}");
            assert_eq!(received.get(), 0, "{what}: sent on");
            drop(others);
            // A chunked body may hide another request, so its connection ends.
            if what == "chunks" {
                client = TcpStream::connect(sidecar.address).await.expect("connects");
            }
            let answer = exchange(&mut client, &request_text("place-order", "next", "b")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
        });
    }
}

/// A client that writes slowly and reads its answer at the end gets it, and nothing of its body is kept.
#[test]
fn a_slow_request_for_which_no_memory_is_freed_is_refused_once_it_is_written() {
    run_paused(async {
        let (sidecar, received, _others) = start_without_memory(ROOM).await;
        let parts = 20;
        let body = "x".repeat(MAX_BODY_BYTES / parts);
        let head = request_text("place-order", "slow", "")
            .replace("Content-Length: 0", &format!("Content-Length: {}", parts * body.len()));
        let mut client = connect_and_send(sidecar.address, &head).await;
        for _ in 0..parts {
            sleep(Duration::from_millis(50)).await;
            client.write_all(body.as_bytes()).await.expect("the sidecar reads");
            assert_eq!(counter(&sidecar.gateway, "memory_request_bodies_bytes"), 0);
        }
        let answer =
            timeout(LATE_ANSWER_ALLOWANCE, read_message(&mut client)).await.expect("an answer in time");
        assert!(answer.expect("a whole answer").starts_with("HTTP/1.1 503"));
        assert_eq!(received.get(), 0, "sent on");
    });
}

/// A client whose request waits is not taken for one that has stopped sending, and keeps its socket.
#[test]
fn a_request_that_waits_for_memory_keeps_its_socket() {
    run_paused(async {
        let (sidecar, _, others) = start_without_memory(1).await;
        let mut client = connect_and_send(sidecar.address, &request_text("quote", "waits", "")).await;
        sleep(SETTLING_TIME).await;
        let _other = connect_and_send(sidecar.address, &request_text("quote", "other", "")).await;
        sleep(Duration::from_millis(320)).await;
        drop(others);
        let answer = read_message(&mut client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

#[test]
fn a_request_that_was_taken_keeps_its_answer_while_memory_is_short() {
    run_paused(async {
        let (endpoint, address) = bind_port().await;
        let sidecar = start_sidecar(&[address], ROOM).await;
        let mut client = connect_and_send(sidecar.address, &request_text("place-order", "taken", "b")).await;
        let mut stream = accept_request(&endpoint).await;
        let _others = take_all_memory(&sidecar);
        write_answer(&mut stream, "200 OK", MAX_BODY_BYTES, MAX_BODY_BYTES).await;
        let answer = read_message(&mut client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(&"x".repeat(MAX_BODY_BYTES)));
    });
}

/// An attempt that fails gives the memory for the answer back to the next one.
#[test]
fn a_retry_has_memory_for_its_answer_while_memory_is_short() {
    for (what, status, written) in [
        ("an error", "500 Internal Server Error", MAX_BODY_BYTES),
        ("an answer that breaks off", "200 OK", MAX_BODY_BYTES / 2),
    ] {
        run_paused(async {
            let (endpoint, address) = bind_port().await;
            let (other_endpoint, other_address) = bind_port().await;
            let sidecar = start_sidecar(&[address, other_address], ROOM).await;
            let mut client = connect_and_send(sidecar.address, &request_text("quote", "taken", "")).await;
            let accept = || async {
                tokio::select! {
                    stream = accept_request(&endpoint) => stream,
                    stream = accept_request(&other_endpoint) => stream,
                }
            };
            let mut first = accept().await;
            let _others = take_all_memory(&sidecar);
            write_answer(&mut first, status, MAX_BODY_BYTES, written).await;
            if written < MAX_BODY_BYTES {
                drop(first);
            }
            let mut second = accept().await;
            write_answer(&mut second, "200 OK", MAX_BODY_BYTES, MAX_BODY_BYTES).await;
            let answer = read_message(&mut client).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {}", answer.lines().next().unwrap_or(""));
        });
    }
}

/// Guards against requests that are refused because clients that stopped in the middle of theirs hold all memory. One that
/// goes on writing keeps its memory, and the request that waits is refused.
#[test]
fn half_requests_that_stay_do_not_keep_memory_from_others() {
    for (what, goes_on, expected) in [("stay", false, "HTTP/1.1 200"), ("go on", true, "HTTP/1.1 503")] {
        run_paused(async {
            let (endpoint, address) = bind_port().await;
            count_requests(endpoint);
            let sidecar = start_sidecar(&[address], ROOM).await;
            let body = "x".repeat(MAX_BODY_BYTES);
            let request = request_text("place-order", "half", &body);
            let (half, _) = request.split_at(request.len() - MAX_BODY_BYTES / 2);
            let mut client = connect_and_send(sidecar.address, half).await;
            sleep(SETTLING_TIME).await;
            let _others = take_all_memory(&sidecar);
            let writes = spawn_local(async move {
                let bytes_to_write = if goes_on { MAX_BODY_BYTES / 2 - 1 } else { 0 };
                for _ in 0..bytes_to_write {
                    sleep(Duration::from_millis(5)).await;
                    client.write_all(b"x").await.expect("the sidecar reads");
                }
                // The connection stays open.
                std::future::pending::<()>().await;
                drop(client);
            });
            let mut usual = TcpStream::connect(sidecar.address).await.expect("connects");
            let usual_request = request_text("place-order", "usual", "b");
            let answer = timeout(LATE_ANSWER_ALLOWANCE, exchange(&mut usual, &usual_request)).await;
            let answer = answer.unwrap_or_else(|_| panic!("those who {what}: no answer in time"));
            assert!(answer.starts_with(expected), "those who {what}: {answer}");
            writes.abort();
        });
    }
}

/// At whatever point an exchange ends, nothing stays reserved.
#[test]
fn memory_is_returned_however_a_request_ends() {
    let order = request_text("place-order", "ends", &"b".repeat(1_000));
    let (half, _) = order.split_at(order.len() - 500);
    for (what, sent, endpoint_writes) in [
        ("its client leaves in the middle of it", half, 0),
        ("its client leaves before the answer", order.as_str(), 0),
        ("its client leaves in the middle of the answer", order.as_str(), 10),
        ("it is answered", order.as_str(), MAX_BODY_BYTES),
    ] {
        run_local(async {
            let (endpoint, address) = bind_port().await;
            let sidecar = start_sidecar(&[address], ROOM).await;
            let mut client = connect_and_send(sidecar.address, sent).await;
            if sent.len() == order.len() {
                let mut stream = accept_request(&endpoint).await;
                assert!(reserved(&sidecar) > MAX_BODY_BYTES, "{what}: nothing is reserved");
                if endpoint_writes > 0 {
                    write_answer(&mut stream, "200 OK", MAX_BODY_BYTES, endpoint_writes).await;
                }
                if endpoint_writes == MAX_BODY_BYTES {
                    read_message(&mut client).await.expect("an answer");
                }
                sleep(SETTLING_TIME).await;
            }
            wait_until("the request is read", || counter(&sidecar.gateway, "clients_accepted") == 1).await;
            drop(client);
            wait_until(what, || reserved(&sidecar) == 0).await;
            for figure in ["request_bodies", "answers", "heads"] {
                assert_eq!(
                    counter(&sidecar.gateway, &format!("memory_{figure}_bytes")),
                    0,
                    "{what}: {figure}"
                );
            }
        });
    }
}

#[test]
fn a_request_that_waits_for_memory_is_refused_when_the_process_is_about_to_end() {
    run_paused(async {
        let (sidecar, _, _others) = start_without_memory(ROOM).await;
        let mut client = connect_and_send(sidecar.address, &request_text("place-order", "waits", "b")).await;
        sleep(SETTLING_TIME).await;
        sidecar.gateway.shut_down();
        let answer = timeout(SETTLING_TIME, read_message(&mut client)).await.expect("an answer at once");
        assert!(answer.expect("a whole answer").starts_with("HTTP/1.1 503"));
    });
}

/// Guards against long texts of the sidecar's own that clients ask for and do not read.
#[test]
fn the_event_log_is_part_of_the_budget() {
    run_paused(async {
        let (endpoint, address) = bind_port().await;
        count_requests(endpoint);
        let sidecar = start_sidecar(&[address], ROOM).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        exchange(&mut client, &request_text("place-order", "recorded", "b")).await;
        let _others = take_all_memory(&sidecar);
        let answer = exchange(&mut client, "GET /health/events HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        for path in ["/health/ready", "/health/counters"] {
            let answer = exchange(&mut client, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}
