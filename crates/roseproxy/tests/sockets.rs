//! The whole sidecar on loopback sockets, with scripted targets, clients and discovery. Guards against requests that
//! are changed, lost, repeated or smuggled, against connections that are kept too long or closed too early, and
//! against watches and reloads that lose the list.

mod common;

use common::*;
use roseproxy::config::ConfigError;
use roseproxy::{config::Config, reload::Reload, Clock};
use roseproxy_platform::request::OutgoingRequest;
use roseproxy_transport::connect;
use roseproxy_transport::connection::ConnectionState;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::Phase;
use roseproxy_transport::network::Tcp;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

#[test]
fn a_request_passes_unchanged_and_its_answer_comes_back_whole() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = start_sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        // Both requests use one connection, as a handshake is expensive.
        let served = spawn_local(serve(socket, 2));
        let answer = exchange(&mut client, &request_text("place-order", "9b1f03aa", "size=2x3")).await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\npriced"), "{answer}");
        wait_until_reusable(&sidecar, &clock, 1).await;
        exchange(&mut client, &request_text("quote", "aa", "")).await;
        let requests = served.await.expect("no panic");
        let (first, second) = (&requests[0], &requests[1]);
        assert!(
            first.starts_with("POST /place-order?obj=7f3a HTTP/1.1\r\n")
                && first.ends_with("\r\n\r\nsize=2x3")
        );
        assert!(
            first.contains("request-id: 9b1f03aa\r\n") && first.contains("request-timeout: 49.9"),
            "{first}"
        );
        assert!(second.contains("request-id: aa\r\n") && !second.contains("idempotency-key"));
    });
}

/// Servers recognise a repeat of keyed work only by its key.
#[test]
fn the_key_of_keyed_work_passes_unchanged() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let sidecar = start_sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let served = spawn_local(serve(socket, 1));
        let key = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length";
        let answer = exchange(
            &mut client,
            &request_text("stock-update", "ab", "sold=1").replace("Content-Length", key),
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let received = &served.await.expect("no panic")[0];
        assert!(received.contains("idempotency-key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"), "{received}");
    });
}

/// The target closes an idle connection when the next request has been sent on it: hyper and many clients would send
/// the request again on a new connection, and the order would be placed twice.
#[test]
fn an_order_on_a_stale_connection_is_never_sent_again() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = start_sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let repeat = spawn_local(async move {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            read_message(&mut stream).await.expect("a request");
            stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
            read_message(&mut stream).await.expect("a request");
            drop(stream);
            // A further connection would carry a second copy of the order.
            drop(socket.accept().await);
        });
        exchange(&mut client, &request_text("place-order", "1", "a")).await;
        wait_until_reusable(&sidecar, &clock, 1).await;
        let answer = exchange(&mut client, &request_text("place-order", "2", "b")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        let counts = sidecar.gateway.counts();
        assert!(
            counts.contains(&("forwards_sent".into(), 2)) && counts.contains(&("forwards_broken".into(), 1))
        );
        assert!(!repeat.is_finished(), "the order was sent again");
    });
}

/// A close, or bytes that belong to no request, may have arrived before the program's event loop has seen them. A
/// request written then may run without an answer, or take these bytes for its answer.
#[test]
fn a_connection_that_is_no_longer_quiet_is_not_used_again() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let mut connection = connect(&Tcp, target, 1_000.0).await.expect("connects");
        let (mut stream, _) = socket.accept().await.expect("accepted");
        let served = spawn_local(async move {
            read_message(&mut stream).await.expect("a request");
            stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
            stream
        });
        connection.exchange(OutgoingRequest::get("/stats", "a"), &memory_of_test()).await;
        let stream = served.await.expect("no panic").into_std().expect("a stream");
        assert!(connection.wait_until_idle().await && connection.state() == ConnectionState::Idle);
        // The event loop does not run between the write and the check.
        std::io::Write::write_all(&mut &stream, OK_RESPONSE.as_bytes()).expect("written");
        assert_eq!(connection.state(), ConnectionState::Closed);
    });
}

#[test]
fn a_request_to_a_target_that_refuses_connections_is_refused() {
    run_local(async {
        let (closed_socket, target) = bind_port().await;
        drop(closed_socket);
        let sidecar = start_sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = exchange(&mut client, &request_text("place-order", "1", "a")).await;
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.to_lowercase().contains("retry-after: "),
            "{answer}"
        );
    });
}

#[test]
fn the_forward_of_a_client_that_leaves_is_cancelled() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let sidecar = start_sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request_text("quote", "1", "").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        drop(client);
        assert!(read_message(&mut stream).await.is_none(), "the connection is closed");
        assert_eq!(sidecar.gateway.open_flows(), 0);
    });
}

/// A request with two contradictory framings and a second request hidden behind it, which one of them counts as body.
fn request_smuggling(framing: &str) -> String {
    let hidden = request_text("place-order", "hidden", "");
    format!("POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\n{framing}\r\n\r\n0\r\n\r\n{hidden}")
}

#[test]
fn a_second_request_with_an_open_id_is_rejected() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = start_sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request_text("place-order", "1", "a").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(exchange(&mut other, &request_text("place-order", "1", "b"))
            .await
            .starts_with("HTTP/1.1 409"));
        stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        assert!(read_message(&mut client).await.expect("a whole answer").ends_with("priced"));
        wait_until_reusable(&sidecar, &clock, 1).await;
        // Once the request has its answer, nothing of it is kept, and its id may be used again.
        client.write_all(request_text("quote", "1", "").as_bytes()).await.expect("written");
        read_message(&mut stream).await.expect("a request");
    });
}

/// A request pipelined behind another is not read, as it would be lost without notice; `Connection: close` tells the
/// client.
#[test]
fn a_pipelined_request_closes_the_connection() {
    run_local(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let answer = exchange(&mut client, &format!("{ready}{ready}")).await;
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(read_message(&mut client).await.is_none());
    });
}

/// A missing descriptor is a shortage of the sidecar: it does not count against the target, and the request did not
/// run.
#[test]
fn an_exhausted_descriptor_budget_is_not_counted_against_the_target() {
    run_local(async {
        let sidecar =
            start_sidecar_with_descriptors(&["127.0.0.1:9".parse().expect("an address")], 8, 0).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = exchange(&mut client, &request_text("place-order", "1", "a")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        let counts = sidecar.gateway.counts();
        let counter =
            |name: &str| counts.iter().find(|(counter, _)| counter == name).map(|(_, count)| *count);
        assert_eq!((counter("forwards_unreachable"), counter("targets_unreachable")), (Some(0), Some(0)));
        assert!(counter("descriptors_spent") > Some(0));
    });
}

#[test]
fn malformed_and_oversized_requests_get_a_4xx_and_are_not_forwarded() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let forwarded = spawn_local(async move { drop(socket.accept().await) });
        let sidecar = start_sidecar(&[target], 2).await;
        let long = "x".repeat(70_000);
        let texts = [
            ("nonsense\r\n\r\n".to_owned(), "400"),
            ("GET /quote HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(), "400"),
            (format!("GET /quote HTTP/1.1\r\nHost: a\r\nRequest-Id: {long}\r\n\r\n"), "431"),
            (
                "POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 65537\r\n\r\n".to_owned(),
                "413",
            ),
            ("POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: x\r\n\r\n".to_owned(), "400"),
            ("GET /quote HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Id: 2\r\n\r\n".to_owned(), "400"),
            ("GET /quote HTTP/1.1\r\nRequest-Id: 1\r\nTenant: a\r\nTenant: a\r\n\r\n".to_owned(), "400"),
            (request_smuggling("Content-Length: 5\r\nTransfer-Encoding: chunked"), "400"),
            (request_smuggling("Transfer-Encoding: chunked\r\nContent-Length: 5"), "400"),
        ];
        for (text, status) in texts {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            // The sidecar may stop reading early, and has to answer all the same.
            let _ = client.write_all(&text.as_bytes()[..text.len().min(20_000)]).await;
            let answer = read_message(&mut client).await.unwrap_or_default();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer}");
            assert!(read_message(&mut client).await.is_none(), "the connection is closed after the answer");
        }
        assert!(!forwarded.is_finished(), "a part of a malformed request was forwarded");
    });
}

#[test]
fn idle_clients_make_room_for_new_ones_and_all_are_served() {
    run_local(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 2).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut clients = Vec::new();
        for _ in 0..5 {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            assert!(exchange(&mut client, ready).await.starts_with("HTTP/1.1 200"));
            clients.push(client);
        }
        assert!(
            read_message(&mut clients[0]).await.is_none(),
            "the connection that was idle longest is closed"
        );
    });
}

#[test]
fn shutdown_answers_open_requests_and_closes_idle_connections() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let sidecar = start_sidecar(&[target], 8).await;
        let mut idle = TcpStream::connect(sidecar.address).await.expect("connects");
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        assert!(exchange(&mut idle, ready).await.starts_with("HTTP/1.1 200"));
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request_text("quote", "1", "").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        sidecar.listener.set_phase(Phase::NotReady);
        assert!(exchange(&mut idle, ready).await.starts_with("HTTP/1.1 503"), "no longer ready");
        sidecar.listener.set_phase(Phase::Closing);
        assert!(read_message(&mut idle).await.is_none());
        assert!(!sidecar.listener.is_idle_for(0.0), "one answer is still due");
        stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
        assert!(read_message(&mut client).await.is_none());
        let mut late = TcpStream::connect(sidecar.address).await.expect("still accepted");
        assert!(exchange(&mut late, "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .starts_with("HTTP/1.1 404"));
        assert!(read_message(&mut late).await.is_none());
    });
}

/// The sidecar reads the whole list first, and then watches discovery from its revision. A watch that breaks resumes
/// at the last revision; after an unreadable line it resumes at the revision before that line, although later changes
/// on the same watch have been applied.
#[test]
fn the_watch_resumes_at_the_last_revision() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar(&[], 8).await;
        assert!(!sidecar.gateway.can_serve());
        start_watch(&sidecar, address, None);
        let target: SocketAddr = "127.0.0.1:9".parse().expect("an address");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let fetch = read_message(&mut stream).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
        let all = list_json(41, true, &[(target, "in_service")]);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{all}", all.len());
        stream.write_all(answer.as_bytes()).await.expect("written");
        let watch = read_message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        assert!(sidecar.gateway.can_serve());
        let change = list_json(43, false, &[(target, "terminated")]);
        let chunk = format!("not json\n\n{change}\n");
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{chunked}{:x}\r\n{chunk}\r\n", chunk.len());
        stream.write_all(text.as_bytes()).await.expect("written");
        drop(stream);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects again");
        let watch = read_message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        assert!(!sidecar.gateway.can_serve());
        assert!(sidecar.gateway.counts().contains(&("lists_unread".into(), 1)));
        let text = format!("{chunked}{:x}\r\n{change}\n\r\n", change.len() + 1);
        stream.write_all(text.as_bytes()).await.expect("written");
        drop(stream);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects again");
        let watch = read_message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=43 HTTP/1.1\r\n"), "{watch}");
        // Discovery does not know that revision, so the sidecar has to request the whole list again.
        stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects again");
        let fetch = read_message(&mut stream).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
    });
}

/// A known list has a revision from which it can be watched. When sidecars requested the whole list first, 100
/// sidecars that started together made 200 calls, and none of them got a list for the rest of the run.
#[test]
fn a_known_list_is_watched_without_a_fetch() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar(&[], 8).await;
        start_watch(&sidecar, address, Some(41));
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let watch = read_message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
    });
}

/// A reload that changes the address of discovery: the sidecar requests the whole list there at once, uses the list
/// in hand until it arrives, and answers open flows as usual.
#[test]
fn a_reload_moves_the_watch_and_loses_no_request() {
    run_local(async {
        let ((old, old_address), (new, new_address)) = (bind_port().await, bind_port().await);
        let (socket, target) = bind_port().await;
        let sidecar = start_sidecar(&[target], 8).await;
        let (mut reload, address) = Reload::new(Config { discovery: old_address, ..config() });
        spawn_local(Watcher::new(sidecar.gateway.clone(), address, None).run());
        let (mut stream, _) = old.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        let known = list_json(3, true, &[(target, "in_service")]);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len());
        stream.write_all(answer.as_bytes()).await.expect("read");
        read_message(&mut stream).await.expect("a watch after the list");
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request_text("place-order", "1", "a").as_bytes()).await.expect("written");
        let (mut forward, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut forward).await.expect("a request");
        reload.apply(Ok(Config { discovery: new_address, ..config() }));
        let (mut moved, _) = new.accept().await.expect("the sidecar connects to the new discovery");
        let fetch = read_message(&mut moved).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
        assert!(read_message(&mut stream).await.is_none(), "the old watch is closed");
        assert!(sidecar.gateway.can_serve(), "the list in hand stays");
        let counts = sidecar.gateway.counts();
        assert!(
            counts.contains(&("discovery_failures".into(), 0)),
            "a new address is not counted as a failure"
        );
        forward.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

#[test]
fn a_faulty_configuration_changes_nothing_and_the_log_names_its_key() {
    let (mut reload, address) = Reload::new(config());
    let before = *address.borrow();
    let read = |text: &str| Config::read(text, |_| None).map_err(ConfigError::from);
    let mut reload_with = |read| {
        let outcome = reload.apply(read);
        assert_eq!(outcome.retry_in_ms, None, "a file that could be read is not read again");
        outcome.log_line.expect("a line for the log")
    };
    assert!(reload_with(read("{\"name\": ")).contains("not JSON"));
    let mut file = config().file;
    file["discovery"] = json!("nowhere");
    assert!(reload_with(read(&file.to_string())).contains("discovery is not an address"));
    assert!(!address.has_changed().expect("open") && *address.borrow() == before);
    // A valid configuration is applied afterwards, and the log names the keys that apply only at the next start.
    file["discovery"] = json!("127.0.0.1:10");
    file["listen"] = json!("127.0.0.1:11");
    let log_line = reload_with(read(&file.to_string()));
    assert!(
        log_line.contains("moved to 127.0.0.1:10") && log_line.ends_with("next start: listen"),
        "{log_line}"
    );
    assert!(address.has_changed().expect("open"));
    assert_eq!(reload.counts().by_name().map(|(_, count)| count), [1, 2]);
}

/// A watch that stays open without any bytes, not even the empty line of a heartbeat, counts as broken. Time is
/// paused.
#[test]
fn a_silent_watch_is_closed() {
    run_paused(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar(&[], 8).await;
        start_watch(&sidecar, address, None);
        // The paused clock may jump while a connection or a request is under way, so the sidecar may make any number
        // of calls; the watch that stays silent has to be closed by the sidecar.
        loop {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let Some(request) = read_message(&mut stream).await else { continue };
            if request.contains("stream=1") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                assert!(read_message(&mut stream).await.is_none(), "closed by the watcher");
                return;
            }
            let all = list_json(1, true, &[]);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{all}", all.len());
            let _ = stream.write_all(answer.as_bytes()).await;
            let Some(watch) = read_message(&mut stream).await else { continue };
            assert!(watch.contains("index=1 "), "{watch}");
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            assert!(read_message(&mut stream).await.is_none(), "closed by the watcher");
            return;
        }
    });
}

/// Time is paused, and the sidecar's clock follows it.
#[test]
fn an_incomplete_or_missing_request_does_not_hold_a_connection() {
    run_paused(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 20).await;
        let head = "POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\n";
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        for (text, end) in [("", ""), ("GET /quote HT", ""), (head, "HTTP/1.1 408")] {
            for asked in [false, true] {
                let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
                if asked {
                    assert!(exchange(&mut client, ready).await.starts_with("HTTP/1.1 200"));
                }
                if asked && text.is_empty() {
                    continue;
                }
                client.write_all(text.as_bytes()).await.expect("written");
                let started = tokio::time::Instant::now();
                let mut answer = String::new();
                // A close with unread bytes arrives as a reset, which is accepted too.
                let _ = client.read_to_string(&mut answer).await;
                let took = started.elapsed().as_millis();
                assert!(answer.starts_with(end) && took < 2_900, "{text}: {answer} after {took} ms");
            }
        }
    });
}

#[test]
fn idle_connections_are_closed_when_connection_slots_run_short() {
    run_paused(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 3).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let started = tokio::time::Instant::now();
        let mut clients = Vec::new();
        for _ in 0..2 {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            assert!(exchange(&mut client, ready).await.starts_with("HTTP/1.1 200"));
            clients.push(client);
        }
        assert!(read_message(&mut clients[0]).await.is_none());
        let took = started.elapsed().as_millis();
        assert!((2_000..3_000).contains(&took), "{took} ms");
    });
}

/// hyper's timeout for reading a head also runs between requests: at 10 s it closed connections that clients keep.
#[test]
fn an_idle_client_keeps_its_connection() {
    run_paused(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 2).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(exchange(&mut client, ready).await.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(std::time::Duration::from_secs(60)).await;
        assert!(exchange(&mut client, ready).await.starts_with("HTTP/1.1 200"));
    });
}
