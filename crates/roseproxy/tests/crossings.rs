//! Races between two events on real connections: departures of clients, closes, shutdown, lists, retries and late
//! answers. Guards against the order of the two that loses or repeats a request or an answer. A gate delays one of
//! the events, so that this order occurs in every run, without relying on sleeps or chance.

mod common;

use common::gated::GatedNetwork;
use common::*;
use roseproxy::signals::Control;
use roseproxy::{config::Config, Clock};
use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_routing::decider::Decider;
use roseproxy_routing::Host;
use roseproxy_transport::listener::Phase;
use roseproxy_transport::network::Tcp;
use serde_json::json;
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Time from the shutdown signal to the failing of what is still open, with the deadlines of the base configuration.
const OPEN_REQUESTS_FAIL_AFTER: Duration = Duration::from_millis(3_500);
const READY_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

// ---- departures of clients

/// A client leaves while its request waits for a connection to a target: the request is not written, whether or not
/// the decision module may cancel attempts, and whether the client closes or resets its connection.
#[test]
fn a_request_whose_client_left_during_the_connect_is_not_written() {
    for cancel in [false, true] {
        for trailing_bytes in ["", "more bytes"] {
            for by_reset in [false, true] {
                run_local(async {
                    let (socket, target) = bind_port().await;
                    let network = GatedNetwork::default();
                    network.connects.close();
                    let config = config_with(|s| {
                        s["limits"]["cancel"] = json!(cancel);
                        s["limits"]["connect_timeout"] = json!(60_000_000);
                    });
                    let sidecar =
                        start_sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
                    let text = request_text("place-order", "left", "a") + trailing_bytes;
                    let client = connect_and_send(sidecar.address, &text).await;
                    wait_until("the forward waits", || counter(&sidecar.gateway, "forwards_open") == 1).await;
                    match by_reset {
                        true => close_with_reset(client),
                        false => drop(client),
                    }
                    wait_until("the departure is noticed", || sidecar.gateway.open_flows() == 0).await;
                    network.connects.open();
                    let first = first_request_received(&sidecar, socket, "place-order").await;
                    assert!(
                        first.contains("request-id: stays"),
                        "{cancel} {trailing_bytes} {by_reset}: {first}"
                    );
                    assert_eq!(counter(&sidecar.gateway, "forwards_sent"), 2);
                });
            }
        }
    }
}

/// A target does not read a request, so that a part of it waits to be written when its client leaves: the rest is not
/// written, so the request never runs.
#[test]
fn a_request_whose_client_left_during_the_write_is_aborted() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let network = GatedNetwork::default();
        network.target_writes.close();
        let config = config_with(|s| s["limits"]["cancel"] = json!(false));
        let sidecar = start_sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
        let client = connect_and_send(sidecar.address, &request_text("place-order", "left", "a")).await;
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        wait_until("the connection to the target is open", || {
            counter(&sidecar.gateway, "targets_connected") == 1
        })
        .await;
        run_ready_tasks().await;
        drop(client);
        wait_until("the departure is noticed", || sidecar.gateway.open_flows() == 0).await;
        run_ready_tasks().await;
        network.target_writes.open();
        assert!(read_message(&mut stream).await.is_none(), "the request was written");
        assert_eq!(counter(&sidecar.gateway, "forwards_not_sent"), 1, "not counted against the target");
    });
}

/// A client leaves before its connection gets a slot, so that the request and the end of the stream are read
/// together.
#[test]
fn a_departure_together_with_the_last_byte_is_noticed() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let network = GatedNetwork::default();
        network.connects.close();
        network.client_reads.close();
        let config = config_with(|s| s["limits"]["cancel"] = json!(false));
        let sidecar = start_sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
        let client = connect_and_send(sidecar.address, &request_text("place-order", "left", "a")).await;
        drop(client);
        wait_until("the connection is accepted", || counter(&sidecar.gateway, "clients_accepted") == 1).await;
        network.client_reads.open();
        wait_until("the departure is noticed", || {
            sidecar.listener.is_idle_for(0.0) && sidecar.gateway.open_flows() == 0
        })
        .await;
        network.connects.open();
        assert!(first_request_received(&sidecar, socket, "place-order").await.contains("request-id: stays"));
    });
}

/// A request waits because no target is known yet, and its client leaves after more bytes.
#[test]
fn a_waiting_request_whose_client_left_is_not_sent_when_a_target_appears() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let sidecar = start_sidecar(&[], 8).await;
        let text = request_text("quote", "left", "") + &"x".repeat(100_000);
        let client = connect_and_send(sidecar.address, &text).await;
        wait_until("the request is taken", || sidecar.gateway.open_flows() == 1).await;
        drop(client);
        wait_until("the departure is noticed", || sidecar.gateway.open_flows() == 0).await;
        let text = list_json(2, true, &[(target, "in_service")]);
        let change = roseproxy_platform::discovery::read(text.as_bytes()).expect("a list");
        sidecar.gateway.apply_kept_list(change.update, &change.targets);
        assert!(first_request_received(&sidecar, socket, "quote").await.contains("request-id: stays"));
    });
}

// ---- client connections that the sidecar closes

/// The time limit for receiving a request expires just as its last byte arrives: the request is served even if that
/// byte has not been read yet.
#[test]
fn a_request_whose_last_byte_has_arrived_is_served_at_its_time_limit() {
    run_paused(async {
        let (socket, target) = bind_port().await;
        spawn_local(serve(socket, 1));
        let network = GatedNetwork::default();
        let sidecar = start_sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let text = request_text("quote", "1", "");
        let (first, rest) = text.split_at(20);
        client.write_all(first.as_bytes()).await.expect("written");
        wait_until("the connection is accepted", || counter(&sidecar.gateway, "clients_accepted") == 1).await;
        run_ready_tasks().await;
        network.client_reads.close();
        client.write_all(rest.as_bytes()).await.expect("written");
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        network.client_reads.open();
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

/// Shutdown closes idle connections; a request that has arrived on one of them and is still unread is answered first.
#[test]
fn a_request_that_races_with_a_close_is_answered() {
    for asked in [true, false] {
        run_paused(async {
            let (socket, target) = bind_port().await;
            spawn_local(serve(socket, 1));
            let network = GatedNetwork::default();
            let sidecar =
                start_sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            if asked {
                assert!(exchange(&mut client, READY_REQUEST).await.starts_with("HTTP/1.1 200"));
            }
            wait_until("the connection is accepted", || counter(&sidecar.gateway, "clients_accepted") == 1)
                .await;
            run_ready_tasks().await;
            network.client_reads.close();
            client.write_all(request_text("place-order", "1", "a").as_bytes()).await.expect("written");
            sidecar.listener.set_phase(Phase::NotReady);
            sidecar.listener.set_phase(Phase::Closing);
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            assert!(!sidecar.listener.is_idle_for(0.0));
            network.client_reads.open();
            let answer = read_message(&mut client).await.expect("a whole answer");
            assert!(answer.contains("connection: close") && answer.ends_with("priced"), "{asked}: {answer}");
            assert!(read_message(&mut client).await.is_none(), "the connection is closed after the answer");
        });
    }
}

/// When connection slots run short, the connection that has been idle longest is closed; a request that its client
/// sends at the same moment is answered first.
#[test]
fn a_request_on_a_connection_that_has_to_make_room_is_answered_first() {
    run_paused(async {
        let (socket, target) = bind_port().await;
        spawn_local(serve(socket, 1));
        let network = GatedNetwork::default();
        let sidecar = start_sidecar_on(network.clone(), config(), Clock::system(), &[target], 1, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(exchange(&mut client, READY_REQUEST).await.starts_with("HTTP/1.1 200"));
        run_ready_tasks().await;
        network.client_reads.close();
        client.write_all(request_text("quote", "1", "").as_bytes()).await.expect("written");
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        tokio::time::sleep(Duration::from_millis(500)).await;
        network.client_reads.open();
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.contains("connection: close") && answer.ends_with("priced"), "{answer}");
        assert!(
            exchange(&mut other, READY_REQUEST).await.starts_with("HTTP/1.1 200"),
            "the other client gets the slot"
        );
    });
}

/// A 4xx is sent before the body is read. Closing a socket with unread bytes sends a reset, which can destroy the
/// answer.
#[test]
fn an_answer_before_the_body_is_read_is_not_followed_by_a_reset() {
    run_local(async {
        let sidecar = start_sidecar(&["127.0.0.1:9".parse().expect("an address")], 8).await;
        let heads = [
            "POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 65537\r\n\r\n",
            "nonsense\r\n\r\n",
        ];
        for head in heads {
            let mut client = connect_and_send(sidecar.address, head).await;
            // The client has received the answer and not read it while it sends more bytes.
            client.readable().await.expect("open");
            run_ready_tasks().await;
            for _ in 0..8 {
                client.write_all(&[b'x'; 8192]).await.expect("the sidecar reads on");
            }
            let mut answer = String::new();
            client.read_to_string(&mut answer).await.expect("a close without a reset");
            assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
    });
}

/// An answer waits to be written when its connection has to be closed: it is written first.
#[test]
fn a_close_waits_until_the_answer_is_written() {
    run_paused(async {
        let (socket, target) = bind_port().await;
        spawn_local(serve(socket, 1));
        let network = GatedNetwork::default();
        network.client_writes.close();
        let sidecar = start_sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
        let mut client = connect_and_send(sidecar.address, &request_text("place-order", "1", "a")).await;
        wait_until("the request is answered", || counter(&sidecar.gateway, "flows_served") == 1).await;
        sidecar.listener.set_phase(Phase::Closing);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.client_writes.open();
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

// ---- shutdown

/// Targets hang during the shutdown. The platform kills the process 0.7 s after the longest deadline, which counts as
/// at most 3 s; every open request has to have its whole answer before.
#[test]
fn shutdown_answers_hanging_requests_before_the_kill() {
    for (client_timeout, kill_ms) in [(60_000_000, 3_700.0), (900_000, 1_600.0)] {
        run_paused(async {
            let (_hangs, target) = bind_port().await;
            let config = config_with(|s| {
                s["request_classes"].as_array_mut().expect("classes").iter_mut().for_each(|class| {
                    class["aim"] = json!(client_timeout);
                    class["give_up"] = json!(client_timeout);
                });
            });
            let config = config_at_free_port(config, &[target]).await;
            let address = config.listen;
            let (program_task, signals) = start_program(GatedNetwork::default(), config);
            run_ready_tasks().await;
            let mut client = connect_and_send(address, &request_text("place-order", "1", "a")).await;
            let end_requested = tokio::time::Instant::now();
            signals.send(Control::Shutdown).expect("the program runs");
            let answer = spawn_local(async move { read_message(&mut client).await });
            let counts = program_task.await.expect("no panic").expect("ends in order");
            let took_ms = end_requested.elapsed().as_secs_f64() * 1000.0;
            assert!(took_ms < kill_ms, "the shutdown took {took_ms} ms of {kill_ms} ms");
            assert!(counts.contains("flows_open 0\n"), "{counts}");
            let answer = answer.await.expect("no panic").expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        });
    }
}

/// Shutdown also waits for connections that the system has accepted and for which the program has no free slot yet.
#[test]
fn shutdown_waits_for_connections_without_a_slot() {
    run_local(async {
        let (socket, target) = bind_port().await;
        // The clock does not advance, so the first connection to the target is not used again.
        let sidecar = start_sidecar_on(Tcp, config(), Clock::manual(1_000_000.0), &[target], 1, 20).await;
        let mut client = connect_and_send(sidecar.address, &request_text("quote", "1", "")).await;
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        let mut waiting = connect_and_send(sidecar.address, &request_text("quote", "2", "")).await;
        sidecar.listener.set_phase(Phase::Closing);
        let was_quiet = Rc::new(Cell::new(false));
        let (shared_was_quiet, listener) = (was_quiet.clone(), sidecar.listener.clone());
        // Checks in every iteration of the event loop.
        let observer = spawn_local(std::future::poll_fn(move |cx| {
            shared_was_quiet.set(shared_was_quiet.get() || listener.is_idle_for(0.0));
            cx.waker().wake_by_ref();
            Poll::<()>::Pending
        }));
        stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        assert!(read_message(&mut client).await.expect("a whole answer").ends_with("priced"));
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects again");
        read_message(&mut stream).await.expect("the other request");
        assert!(!was_quiet.get(), "the listener counted as quiet while a request waited");
        stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        assert!(read_message(&mut waiting).await.expect("a whole answer").ends_with("priced"));
        observer.abort();
    });
}

/// A request whose connection gets a slot only when the open requests are being failed before the kill is answered
/// too.
#[test]
fn a_request_that_gets_a_slot_shortly_before_the_kill_is_answered() {
    run_paused(async {
        let (_hangs, target) = bind_port().await;
        // Room for one client at a time.
        let config = Config { sockets: 0, ..config_at_free_port(config(), &[target]).await };
        let address = config.listen;
        let (program_task, signals) = start_program(GatedNetwork::default(), config);
        run_ready_tasks().await;
        let mut holder = connect_and_send(address, &request_text("place-order", "1", "a")).await;
        run_ready_tasks().await;
        signals.send(Control::Shutdown).expect("the program runs");
        // Less than any client waits for a slot.
        tokio::time::sleep(OPEN_REQUESTS_FAIL_AFTER - Duration::from_millis(200)).await;
        let mut waiting = connect_and_send(address, &request_text("place-order", "2", "a")).await;
        let answers = [
            spawn_local(async move { read_message(&mut holder).await }),
            spawn_local(async move { read_message(&mut waiting).await }),
        ];
        let counts = program_task.await.expect("no panic").expect("ends in order");
        assert!(counts.contains("flows_taken 2\n") && counts.contains("flows_open 0\n"), "{counts}");
        for answer in answers {
            let answer = answer.await.expect("no panic").expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        }
    });
}

// ---- lists and watches

/// With pushed lists the decision module requests no watch, and the deadline for changes applies all the same.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_after_each_end() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar_on(Tcp, pushed_config(), Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, Some(41));
        for _ in 0..3 {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let watch = read_message(&mut stream).await.expect("a request");
            assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        }
    });
}

/// Lists may be indented, and span several lines.
#[test]
fn an_indented_list_is_taken_from_a_watch() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar_on(Tcp, pushed_config(), Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, Some(1));
        let mut stream = accept_watch(&socket).await;
        let change: serde_json::Value =
            serde_json::from_str(&list_json(2, false, &[(address, "in_service")])).expect("JSON");
        let text = serde_json::to_string_pretty(&change).expect("JSON") + "\n";
        write_chunk(&mut stream, &text).await.expect("read");
        wait_until("the list is taken", || sidecar.gateway.can_serve()).await;
        assert_eq!(counter(&sidecar.gateway, "lists_unread"), 0);
    });
}

/// A watch that brings single bytes of a line or of a JSON object that never ends counts as broken, as a silent one
/// does.
#[test]
fn a_watch_that_trickles_is_reopened() {
    for fragment in [" ", "{\"revision\":\n"] {
        run_paused(async {
            let (socket, address) = bind_port().await;
            let sidecar = start_sidecar_on(Tcp, pushed_config(), Clock::system(), &[], 8, 20).await;
            start_watch(&sidecar, address, Some(1));
            let mut stream = accept_watch(&socket).await;
            write_chunk(&mut stream, "\n").await.expect("read");
            let started = tokio::time::Instant::now();
            let trickle = spawn_local(async move {
                while write_chunk(&mut stream, fragment).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            });
            let reopened = tokio::time::timeout(Duration::from_secs(30), accept_watch(&socket)).await;
            assert!(reopened.is_ok(), "{fragment:?} kept the watch open");
            // A change that was missed has to be known 6 s after the watch fell silent.
            assert!(started.elapsed() < Duration::from_secs(4), "{fragment:?}: {:?}", started.elapsed());
            trickle.abort();
        });
    }
}

/// An indented list of 200 targets already exceeds the limit for other bodies, which is 64 KiB.
#[test]
fn a_whole_list_of_more_than_64_kib_is_taken() {
    run_local(async {
        let (socket, address) = bind_port().await;
        let sidecar = start_sidecar_on(Tcp, pushed_config(), Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, None);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut stream).await.expect("a request");
        let entries: Vec<_> =
            (1..=1_000).map(|port| (SocketAddr::from(([127, 0, 0, 9], port)), "in_service")).collect();
        let text = list_json(2, true, &entries);
        assert!(text.len() > 65_536);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        stream.write_all(answer.as_bytes()).await.expect("read");
        let watch = read_message(&mut stream).await.expect("a watch after the list");
        assert!(watch.contains("index=2 "), "{watch}");
    });
}

/// A list with a lower revision than another one before it comes from a replica of discovery that lags behind and
/// catches up: it must not return a target to service that drains or has gone. Discovery is taken to have restarted
/// its numbering once its lists have been behind for longer than any replica is.
#[test]
fn a_list_with_a_lower_revision_brings_no_target_back() {
    for leaves in ["terminating", "terminated"] {
        run_local(async {
            let ((socket, address), (_, target)) = (bind_port().await, bind_port().await);
            let clock = Clock::manual(1_000_000.0);
            let sidecar = start_sidecar_on(Tcp, pushed_config(), clock.clone(), &[target], 8, 20).await;
            start_watch(&sidecar, address, Some(7));
            let mut stream = accept_watch(&socket).await;
            // Each with the time since the list before it (ms).
            let lists = [
                (8, false, leaves, 0.0, false),
                (6, true, "in_service", 0.0, false),
                (7, false, "in_service", 0.0, false),
                (8, false, leaves, 0.0, false),
                (9, true, "in_service", 0.0, true),
                (10, false, leaves, 0.0, false),
                (3, true, "in_service", 0.0, false),
                (4, false, "in_service", 59_000.0, false),
                (5, false, "in_service", 1_000.0, true),
                (6, false, leaves, 0.0, false),
                (5, false, "in_service", 0.0, false),
            ];
            // The count starts at 2, as it includes the list that the sidecar starts with.
            for (list_count, (revision, complete, phase, later, serves)) in (2..).zip(lists) {
                clock.set(clock.now() + later);
                let text = list_json(revision, complete, &[(target, phase)]) + "\n";
                write_chunk(&mut stream, &text).await.expect("read");
                wait_until("the list is taken", || {
                    counter(&sidecar.gateway, "discovery_lists") == list_count
                })
                .await;
                assert_eq!(sidecar.gateway.can_serve(), serves, "{revision} {phase}, {leaves}");
            }
        });
    }
}

/// A decision module that requests a watch with each request, and does nothing else.
struct SubscribeOnRequest;

impl Decider for SubscribeOnRequest {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        if let Event::Request(_) = event {
            out.push(Action::Subscribe);
        }
    }
}

/// A watch that is requested while one is open needs no other. A request that was kept would open the next watch
/// right after a failure, without the pauses that keep all sidecars from calling together.
#[test]
fn a_watch_requested_while_one_is_open_starts_no_other() {
    run_local(async {
        let ((socket, address), config) = (bind_port().await, config());
        let host = Host::with_decider(config.settings.clone(), Box::new(SubscribeOnRequest));
        let sidecar = start_sidecar_with_host(Tcp, host, config, Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, Some(1));
        let _client = connect_and_send(sidecar.address, &request_text("quote", "1", "")).await;
        let stream = accept_watch(&socket).await;
        let _other = connect_and_send(sidecar.address, &request_text("quote", "2", "")).await;
        wait_until("both requests are taken", || sidecar.gateway.open_flows() == 2).await;
        drop(stream);
        wait_until("the failure is counted", || counter(&sidecar.gateway, "discovery_failures") == 1).await;
        run_ready_tasks().await;
        // A connection would be in the backlog, as the system accepts it without the test.
        let socket = socket.into_std().expect("a socket");
        assert_eq!(socket.accept().map(|_| ()).map_err(|e| e.kind()), Err(ErrorKind::WouldBlock));
    });
}

// ---- retries and writes

/// Sends a keyed request that one of two targets receives whole and does not answer. Returns the sidecar, the client,
/// the connection to that target, and the socket of the other target.
async fn send_keyed_request(
    network: &GatedNetwork,
    clock: &Clock,
    attempts: u32,
) -> (Sidecar<GatedNetwork>, TcpStream, TcpStream, TcpListener) {
    let ((first, first_address), (second, second_address)) = (bind_port().await, bind_port().await);
    let config = config_with(|s| {
        s["limits"]["connect_timeout"] = json!(60_000_000);
        s["limits"]["max_attempts"] = json!(attempts);
        s["request_classes"][2]["give_up"] = json!(20_000_000);
    });
    let sidecar =
        start_sidecar_on(network.clone(), config, clock.clone(), &[first_address, second_address], 8, 20)
            .await;
    let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
    let key = "Idempotency-Key: 5c0f\r\nContent-Length";
    let text = request_text("stock-update", "1", "sold=1").replace("Content-Length", key);
    client.write_all(text.as_bytes()).await.expect("written");
    let (mut stream, other) = tokio::select! {
        accepted = first.accept() => (accepted.expect("the sidecar connects").0, second),
        accepted = second.accept() => (accepted.expect("the sidecar connects").0, first),
    };
    read_message(&mut stream).await.expect("a request");
    (sidecar, client, stream, other)
}

/// A repeat is decided within the deduplication window of its key, and its connection is established after the
/// window.
#[test]
fn a_repeat_whose_connection_is_established_after_the_window_is_not_written() {
    run_local(async {
        let (network, clock) = (GatedNetwork::default(), Clock::manual(1_000_000.0));
        let (sidecar, mut client, stream, other) = send_keyed_request(&network, &clock, 3).await;
        network.connects.close();
        // The first attempt may have run: the repeat is sent at once, and waits for its connection.
        drop(stream);
        wait_until("the repeat is sent", || counter(&sidecar.gateway, "forwards_sent") == 2).await;
        clock.set(1_000_000.0 + 4_001.0);
        network.connects.open();
        let copy = spawn_local(async move {
            let (mut stream, _) = other.accept().await.expect("the sidecar connects");
            read_message(&mut stream).await
        });
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(counter(&sidecar.gateway, "forwards_not_sent"), 1);
        run_ready_tasks().await;
        assert!(!copy.is_finished() || copy.await.expect("no panic").is_none(), "the repeat was written");
    });
}

/// The target does not read a repeat, so the window ends before its last byte is written, which is the time that
/// counts. The repeat is aborted then, and never runs.
#[test]
fn a_repeat_that_is_not_written_whole_within_the_window_is_aborted() {
    run_paused(async {
        let network = GatedNetwork::default();
        let (_sidecar, mut client, stream, other) =
            send_keyed_request(&network, &Clock::manual(1_000_000.0), 2).await;
        network.target_writes.close();
        drop(stream);
        let (mut copy, _) = other.accept().await.expect("the sidecar connects");
        let answer = tokio::time::timeout(Duration::from_secs(10), read_message(&mut client)).await;
        let answer =
            answer.expect("the repeat may still be written after the window").expect("a whole answer");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        network.target_writes.open();
        assert!(read_message(&mut copy).await.is_none(), "the repeat was written after the window");
    });
}

/// A watch that falls silent is reopened at once, without the pauses that the decision module makes after failures:
/// in a fleet of hundreds these are longer than the time within which a missed change has to be known.
#[test]
fn a_silent_watch_is_reopened_without_a_pause() {
    run_paused(async {
        let ((socket, address), config) = (bind_port().await, config());
        let host = Host::with_decider(config.settings.clone(), Box::new(SubscribeOnRequest));
        let sidecar = start_sidecar_with_host(Tcp, host, config, Clock::system(), &[], 8, 20).await;
        start_watch(&sidecar, address, Some(1));
        let _client = connect_and_send(sidecar.address, &request_text("quote", "1", "")).await;
        let mut stream = accept_watch(&socket).await;
        write_chunk(&mut stream, "\n").await.expect("read");
        let started = tokio::time::Instant::now();
        let reopened = tokio::time::timeout(Duration::from_secs(30), accept_watch(&socket)).await;
        assert!(reopened.is_ok(), "the watcher waits for the decision module");
        assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
        assert_eq!(counter(&sidecar.gateway, "discovery_failures"), 0);
    });
}

// ---- connections to targets

/// A target that answers before it has the whole request has not begun to run it: the answer is dropped, and the
/// request goes to another target.
#[test]
fn an_answer_before_the_whole_request_is_ignored() {
    run_local(async {
        // A pipe with less capacity than the request acts as a connection that is written slowly.
        let (near, mut far) = tokio::io::duplex(64);
        let mut connection = roseproxy_transport::connection::Connection::start(
            near,
            Rc::new(|| roseproxy_transport::network::PeekResult::Empty),
        )
        .await
        .expect("open");
        let outgoing =
            roseproxy_platform::request::OutgoingRequest::get(&format!("/{}", "x".repeat(500)), "a");
        let exchange = spawn_local(async move { connection.exchange(outgoing, &memory_of_test()).await });
        run_ready_tasks().await;
        far.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        let end = exchange.await.expect("no panic");
        let expected = roseproxy_transport::connection::ExchangeResult::Broken { last_byte_written: false };
        assert_eq!(format!("{end:?}"), format!("{expected:?}"));
    });
}

/// A target sends a second answer some milliseconds late, after the next request. It is not taken for the answer to
/// that request, as a connection stays unused for a while before it carries the next one.
#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_one() {
    run_local(async {
        let (socket, target) = bind_port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = start_sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = connect_and_send(sidecar.address, &request_text("quote", "1", "")).await;
        let (mut first, _) = socket.accept().await.expect("the sidecar connects");
        read_message(&mut first).await.expect("a request");
        first.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        assert!(read_message(&mut client).await.expect("a whole answer").ends_with("priced"));
        wait_until("the connection is idle", || counter(&sidecar.gateway, "targets_idle") == 1).await;
        client.write_all(request_text("quote", "2", "").as_bytes()).await.expect("written");
        let new_connection = tokio::select! {
            accepted = socket.accept() => Some(accepted.expect("the sidecar connects").0),
            _ = read_message(&mut first) => None,
        };
        first.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
        let mut next = match new_connection {
            Some(mut stream) => {
                read_message(&mut stream).await.expect("a request");
                stream
            }
            None => first,
        };
        let second_answer = OK_RESPONSE.replace("priced", "second");
        next.write_all(second_answer.as_bytes()).await.expect("written");
        let answer = read_message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("second"), "{answer}");
        // After that time the connection is used again.
        wait_until_reusable(&sidecar, &clock, 2).await;
        client.write_all(request_text("quote", "3", "").as_bytes()).await.expect("written");
        let third = read_message(&mut next).await.expect("a request");
        assert!(third.contains("request-id: 3"), "{third}");
    });
}

/// An answer without a length ends with its connection: it is complete after an orderly close, and not after a reset.
#[test]
fn an_answer_without_a_length_is_not_ended_by_a_reset() {
    for by_reset in [false, true] {
        run_local(async {
            let (socket, target) = bind_port().await;
            let sidecar = start_sidecar(&[target], 8).await;
            let mut client = connect_and_send(sidecar.address, &request_text("place-order", "1", "a")).await;
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            read_message(&mut stream).await.expect("a request");
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npriced").await.expect("written");
            // The bytes of the answer are read before the end of the stream arrives.
            run_ready_tasks().await;
            match by_reset {
                true => close_with_reset(stream),
                false => drop(stream),
            }
            let answer = read_message(&mut client).await.expect("a whole answer");
            let end = if by_reset { "HTTP/1.1 502" } else { "HTTP/1.1 200" };
            assert!(answer.starts_with(end) && answer.ends_with("priced") != by_reset, "{answer}");
        });
    }
}

/// A `place-order` request whose connection is not established before its timeout was never written: it is
/// refused rather than failed.
#[test]
fn an_order_whose_connection_was_never_established_is_refused() {
    run_local(async {
        let (_socket, target) = bind_port().await;
        let network = GatedNetwork::default();
        network.connects.close();
        let config = config_with(|s| {
            s["limits"]["connect_timeout"] = json!(60_000_000);
            s["request_classes"][1]["aim"] = json!(20_000);
        });
        let sidecar = start_sidecar_on(network, config, Clock::system(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let text = request_text("place-order", "1", "a").replace("Timeout: 50", "Timeout: 0.060");
        let answer = exchange(&mut client, &text).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            counter(&sidecar.gateway, "forwards_sent") > 0
                && counter(&sidecar.gateway, "forwards_timed_out") == 0
        );
    });
}
