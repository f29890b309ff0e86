//! The whole sidecar on loopback sockets, with scripted targets and clients.

mod common;

use common::*;
use roseproxy::config::ConfigError;
use roseproxy::{config::Config, reload::Reload, Clock};
use roseproxy_platform::request::OutgoingRequest;
use roseproxy_transport::connect;
use roseproxy_transport::connection::State;
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
    scene(async {
        let (socket, target) = port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        // Both on one connection: a handshake is dear.
        let served = spawn_local(serve(socket, 2));
        let answer = ask(&mut client, &request("place-order", "9b1f03aa", "size=2x3")).await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\npriced"), "{answer}");
        rested(&sidecar, &clock, 1).await;
        ask(&mut client, &request("quote", "aa", "")).await;
        let got = served.await.expect("no panic");
        let (first, second) = (&got[0], &got[1]);
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

/// Servers drop a repeat of keyed work by its key and by nothing else.
#[test]
fn the_key_of_keyed_work_passes_unchanged() {
    scene(async {
        let (socket, target) = port().await;
        let sidecar = sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let served = spawn_local(serve(socket, 1));
        let key = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length";
        let answer =
            ask(&mut client, &request("stock-update", "ab", "sold=1").replace("Content-Length", key)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let got = &served.await.expect("no panic")[0];
        assert!(got.contains("idempotency-key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"), "{got}");
    });
}

/// A kept connection that the target resets under a request: hyper and many clients would send it
/// again on a new one, and the order would be placed twice.
#[test]
fn an_order_on_a_stale_connection_is_never_sent_again() {
    scene(async {
        let (socket, target) = port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let again = spawn_local(async move {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            message(&mut stream).await.expect("a request");
            stream.write_all(OK.as_bytes()).await.expect("written");
            message(&mut stream).await.expect("a request");
            drop(stream);
            // Whoever comes now comes with a second copy.
            drop(socket.accept().await);
        });
        ask(&mut client, &request("place-order", "1", "a")).await;
        rested(&sidecar, &clock, 1).await;
        let answer = ask(&mut client, &request("place-order", "2", "b")).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        let counts = sidecar.gateway.counts();
        assert!(
            counts.contains(&("forwards_sent".into(), 2)) && counts.contains(&("forwards_broken".into(), 1))
        );
        assert!(!again.is_finished(), "the order was sent again");
    });
}

/// The close, or bytes that belong to no request, may be there before the program's loop has seen them: a
/// request written then may have run, or takes them for its answer.
#[test]
fn a_connection_that_is_no_longer_quiet_is_not_used_again() {
    scene(async {
        let (socket, target) = port().await;
        let mut connection = connect(&Tcp, target, 1_000.0).await.expect("connects");
        let (mut stream, _) = socket.accept().await.expect("accepted");
        let served = spawn_local(async move {
            message(&mut stream).await.expect("a request");
            stream.write_all(OK.as_bytes()).await.expect("written");
            stream
        });
        connection.exchange(OutgoingRequest::get("/stats", "a")).await;
        let stream = served.await.expect("no panic").into_std().expect("a stream");
        assert!(connection.settle().await && connection.state() == State::Idle);
        // No turn of the loop lies between the write and the question.
        std::io::Write::write_all(&mut &stream, OK.as_bytes()).expect("written");
        assert_eq!(connection.state(), State::Closed);
    });
}

#[test]
fn a_target_that_refuses_connections_proves_that_nothing_ran() {
    scene(async {
        let (gone, target) = port().await;
        drop(gone);
        let sidecar = sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = ask(&mut client, &request("place-order", "1", "a")).await;
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.to_lowercase().contains("retry-after: "),
            "{answer}"
        );
    });
}

#[test]
fn a_client_that_leaves_takes_its_forward_with_it() {
    scene(async {
        let (socket, target) = port().await;
        let sidecar = sidecar(&[target], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request("quote", "1", "").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        drop(client);
        assert!(message(&mut stream).await.is_none(), "the connection is closed");
        assert_eq!(sidecar.gateway.open_flows(), 0);
    });
}

/// A request framed twice, with another one hidden where one of the two says that its body goes on.
fn hiding(framing: &str) -> String {
    let hidden = request("place-order", "hidden", "");
    format!("POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\n{framing}\r\n\r\n0\r\n\r\n{hidden}")
}

#[test]
fn an_id_that_is_still_open_is_turned_away() {
    scene(async {
        let (socket, target) = port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request("place-order", "1", "a").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(ask(&mut other, &request("place-order", "1", "b")).await.starts_with("HTTP/1.1 409"));
        stream.write_all(OK.as_bytes()).await.expect("written");
        assert!(message(&mut client).await.expect("a whole answer").ends_with("priced"));
        rested(&sidecar, &clock, 1).await;
        // Once it has its answer, nothing of it is kept.
        client.write_all(request("quote", "1", "").as_bytes()).await.expect("written");
        message(&mut stream).await.expect("a request");
    });
}

/// What came behind a request in one go is not read, as it would pass unseen; the client is told.
#[test]
fn a_request_behind_another_ends_the_connection() {
    scene(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 8).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let answer = ask(&mut client, &format!("{ready}{ready}")).await;
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(message(&mut client).await.is_none());
    });
}

/// No descriptor for a target is an own shortage: the target is not to blame, and nothing ran.
#[test]
fn a_spent_budget_blames_no_target() {
    scene(async {
        let sidecar = sidecar_with(&["127.0.0.1:9".parse().expect("an address")], 8, 0).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let answer = ask(&mut client, &request("place-order", "1", "a")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        let counts = sidecar.gateway.counts();
        let of = |name: &str| counts.iter().find(|(n, _)| n == name).map(|(_, count)| *count);
        assert_eq!((of("forwards_unreachable"), of("targets_unreachable")), (Some(0), Some(0)));
        assert!(of("descriptors_spent") > Some(0));
    });
}

#[test]
fn malformed_and_oversized_requests_get_a_4xx_and_go_nowhere() {
    scene(async {
        let (socket, target) = port().await;
        let forwarded = spawn_local(async move { drop(socket.accept().await) });
        let sidecar = sidecar(&[target], 2).await;
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
            (hiding("Content-Length: 5\r\nTransfer-Encoding: chunked"), "400"),
            (hiding("Transfer-Encoding: chunked\r\nContent-Length: 5"), "400"),
        ];
        for (text, status) in texts {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            // It may stop reading early, and its answer must be there all the same.
            let _ = client.write_all(&text.as_bytes()[..text.len().min(20_000)]).await;
            let answer = message(&mut client).await.unwrap_or_default();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{status}: {answer}");
            assert!(message(&mut client).await.is_none(), "nothing is read behind it");
        }
        assert!(!forwarded.is_finished(), "something of it was forwarded");
    });
}

#[test]
fn more_clients_than_sockets_displace_the_idle_and_all_are_served() {
    scene(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 2).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut clients = Vec::new();
        for _ in 0..5 {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            assert!(ask(&mut client, ready).await.starts_with("HTTP/1.1 200"));
            clients.push(client);
        }
        assert!(message(&mut clients[0]).await.is_none(), "the one idle longest was closed");
    });
}

#[test]
fn the_end_answers_what_was_taken_and_closes_the_rest() {
    scene(async {
        let (socket, target) = port().await;
        let sidecar = sidecar(&[target], 8).await;
        let mut idle = TcpStream::connect(sidecar.address).await.expect("connects");
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        assert!(ask(&mut idle, ready).await.starts_with("HTTP/1.1 200"));
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request("quote", "1", "").as_bytes()).await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        sidecar.listener.enter(Phase::Leaving);
        assert!(ask(&mut idle, ready).await.starts_with("HTTP/1.1 503"), "no longer ready");
        sidecar.listener.enter(Phase::Closing);
        assert!(message(&mut idle).await.is_none());
        assert!(!sidecar.listener.quiet_for(0.0), "one answer is owed");
        stream.write_all(OK.as_bytes()).await.expect("written");
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
        assert!(message(&mut client).await.is_none());
        let mut late = TcpStream::connect(sidecar.address).await.expect("still accepted");
        assert!(ask(&mut late, "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n").await.starts_with("HTTP/1.1 404"));
        assert!(message(&mut late).await.is_none());
    });
}

/// Discovery: the whole list first, then a watch from its version; a watch that breaks is taken up again from the last
/// version. Where something could not be read that is the one before, and what came behind it holds all the same.
#[test]
fn the_watch_resumes_by_index() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar(&[], 8).await;
        assert!(!sidecar.gateway.can_serve());
        watching(&sidecar, address, None);
        let target: SocketAddr = "127.0.0.1:9".parse().expect("an address");
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let fetch = message(&mut stream).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
        let all = list(41, true, &[(target, "in_service")]);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{all}", all.len());
        stream.write_all(answer.as_bytes()).await.expect("written");
        let watch = message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        assert!(sidecar.gateway.can_serve());
        let change = list(43, false, &[(target, "terminated")]);
        let chunk = format!("not json\n\n{change}\n");
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{chunked}{:x}\r\n{chunk}\r\n", chunk.len());
        stream.write_all(text.as_bytes()).await.expect("written");
        drop(stream);
        let (mut stream, _) = socket.accept().await.expect("it comes again");
        let watch = message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        assert!(!sidecar.gateway.can_serve());
        assert!(sidecar.gateway.counts().contains(&("lists_unread".into(), 1)));
        let text = format!("{chunked}{:x}\r\n{change}\n\r\n", change.len() + 1);
        stream.write_all(text.as_bytes()).await.expect("written");
        drop(stream);
        let (mut stream, _) = socket.accept().await.expect("it comes again");
        let watch = message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=43 HTTP/1.1\r\n"), "{watch}");
        // Knowing nothing of that version, discovery is asked for the whole list again.
        stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await.expect("written");
        let (mut stream, _) = socket.accept().await.expect("it comes again");
        let fetch = message(&mut stream).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
    });
}

/// The list as it was known last has a version: asking for the whole list first made a hundred sidecars that
/// started together two hundred calls, and none of them got a list for the rest of the day.
#[test]
fn a_known_list_is_watched_without_a_fetch() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar(&[], 8).await;
        watching(&sidecar, address, Some(41));
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let watch = message(&mut stream).await.expect("a request");
        assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
    });
}

/// A reload that names another discovery: it is asked at once for its whole list, the list in hand stays
/// until then, and the flow that is open is answered as if nothing had been.
#[test]
fn a_reload_moves_the_watch_and_drops_nothing() {
    scene(async {
        let ((old, old_address), (new, new_address)) = (port().await, port().await);
        let (socket, target) = port().await;
        let sidecar = sidecar(&[target], 8).await;
        let (mut reload, address) = Reload::new(Config { discovery: old_address, ..config() });
        spawn_local(Watcher::new(sidecar.gateway.clone(), address, None).run());
        let (mut stream, _) = old.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        let known = list(3, true, &[(target, "in_service")]);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{known}", known.len());
        stream.write_all(answer.as_bytes()).await.expect("read");
        message(&mut stream).await.expect("the watch behind it");
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        client.write_all(request("place-order", "1", "a").as_bytes()).await.expect("written");
        let (mut forward, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut forward).await.expect("a request");
        reload.apply(Ok(Config { discovery: new_address, ..config() }));
        let (mut moved, _) = new.accept().await.expect("it comes to the new one");
        let fetch = message(&mut moved).await.expect("a request");
        assert!(fetch.starts_with("GET /registry/instances HTTP/1.1\r\n"), "{fetch}");
        assert!(message(&mut stream).await.is_none(), "the old watch is closed");
        assert!(sidecar.gateway.can_serve(), "the list in hand stays");
        let counts = sidecar.gateway.counts();
        assert!(counts.contains(&("discovery_failures".into(), 0)), "a move is no failure");
        forward.write_all(OK.as_bytes()).await.expect("written");
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

#[test]
fn a_faulty_configuration_changes_nothing_and_its_key_is_named() {
    let (mut reload, address) = Reload::new(config());
    let before = *address.borrow();
    let faulty = |text: &str| Config::read(text, |_| None).map_err(ConfigError::from);
    let mut say = |read| {
        let taken = reload.apply(read);
        assert_eq!(taken.retry_in_ms, None, "what was read is not read again");
        taken.log_line.expect("a line for the log")
    };
    assert!(say(faulty("{\"name\": ")).contains("not JSON"));
    let mut file = config().file;
    file["discovery"] = json!("nowhere");
    assert!(say(faulty(&file.to_string())).contains("discovery is not an address"));
    assert!(!address.has_changed().expect("open") && *address.borrow() == before);
    // A good one that comes next is taken over, and what must wait is named.
    file["discovery"] = json!("127.0.0.1:10");
    file["listen"] = json!("127.0.0.1:11");
    let said = say(faulty(&file.to_string()));
    assert!(said.contains("moved to 127.0.0.1:10") && said.ends_with("next start: listen"), "{said}");
    assert!(address.has_changed().expect("open"));
    assert_eq!(reload.counts().by_name().map(|(_, n)| n), [1, 2]);
}

/// A watch that stays open and says nothing, not even an empty line, is dead. Time is the test's.
#[test]
fn a_silent_watch_is_given_up() {
    timeless(async {
        let (socket, address) = port().await;
        let sidecar = sidecar(&[], 8).await;
        watching(&sidecar, address, None);
        // Connections and requests may cross the paused clock's jumps, so any number of tries is fine;
        // the silent one must end by itself.
        loop {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let Some(request) = message(&mut stream).await else { continue };
            if request.contains("stream=1") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                assert!(message(&mut stream).await.is_none(), "closed by the watcher");
                return;
            }
            let all = list(1, true, &[]);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{all}", all.len());
            let _ = stream.write_all(answer.as_bytes()).await;
            let Some(watch) = message(&mut stream).await else { continue };
            assert!(watch.contains("index=1 "), "{watch}");
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            assert!(message(&mut stream).await.is_none(), "closed by the watcher");
            return;
        }
    });
}

/// Time is the test's; the sidecar's clock follows it.
#[test]
fn half_a_request_or_none_does_not_hold_a_connection() {
    timeless(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 20).await;
        let head = "POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\n";
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        for (text, end) in [("", ""), ("GET /quote HT", ""), (head, "HTTP/1.1 408")] {
            for asked in [false, true] {
                let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
                if asked {
                    assert!(ask(&mut client, ready).await.starts_with("HTTP/1.1 200"));
                }
                if asked && text.is_empty() {
                    continue;
                }
                client.write_all(text.as_bytes()).await.expect("written");
                let began = tokio::time::Instant::now();
                let mut said = String::new();
                // A close with bytes unread is a reset, which is a close too.
                let _ = client.read_to_string(&mut said).await;
                let took = began.elapsed().as_millis();
                assert!(said.starts_with(end) && took < 2_900, "{text}: {said} after {took} ms");
            }
        }
    });
}

#[test]
fn clients_that_never_ask_again_make_room_where_places_run_short() {
    timeless(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 3).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let began = tokio::time::Instant::now();
        let mut clients = Vec::new();
        for _ in 0..2 {
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            assert!(ask(&mut client, ready).await.starts_with("HTTP/1.1 200"));
            clients.push(client);
        }
        assert!(message(&mut clients[0]).await.is_none());
        let took = began.elapsed().as_millis();
        assert!((2_000..3_000).contains(&took), "{took} ms");
    });
}

/// hyper's time for a head runs between requests too: at 10 s it closed connections that clients keep.
#[test]
fn a_quiet_client_keeps_its_connection() {
    timeless(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 2).await;
        let ready = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(ask(&mut client, ready).await.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(std::time::Duration::from_secs(60)).await;
        assert!(ask(&mut client, ready).await.starts_with("HTTP/1.1 200"));
    });
}
