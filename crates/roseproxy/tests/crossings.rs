//! Places where two events cross, on real connections. A gate holds one of the two back, so that the bad order comes
//! every time; nothing here rests on sleeps or luck.

mod common;

use common::gated::Gated;
use common::*;
use roseproxy::signals::Control;
use roseproxy::{config::Config, Clock};
use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_routing::decide::Decider;
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

const READY: &str = "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n";

// ---- the client leaves

/// What a client leaves behind that has gone while its request waited for a connection: nothing is written for it,
/// whether or not the module may cancel, and however it left.
#[test]
fn a_request_whose_client_left_while_a_connection_came_up_is_not_written() {
    for cancel in [false, true] {
        for behind in ["", "more bytes"] {
            for by_reset in [false, true] {
                scene(async {
                    let (socket, target) = port().await;
                    let network = Gated::default();
                    network.connects.shut();
                    let config = config_with(|s| {
                        s["limits"]["cancel"] = json!(cancel);
                        s["limits"]["connect_timeout"] = json!(60_000_000);
                    });
                    let sidecar =
                        sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
                    let text = request("place-order", "left", "a") + behind;
                    let client = asks(sidecar.address, &text).await;
                    until("the forward waits", || of(&sidecar.gateway, "forwards_open") == 1).await;
                    match by_reset {
                        true => reset(client),
                        false => drop(client),
                    }
                    until("the client is missed", || sidecar.gateway.open_flows() == 0).await;
                    network.connects.open();
                    let first = first_heard(&sidecar, socket, "place-order").await;
                    assert!(first.contains("request-id: stays"), "{cancel} {behind} {by_reset}: {first}");
                    assert_eq!(of(&sidecar.gateway, "forwards_sent"), 2);
                });
            }
        }
    }
}

/// A request that a target does not read, so that a part of it waits to be written when its client leaves: the rest is
/// not written, and it never runs.
#[test]
fn a_request_whose_client_left_while_it_was_written_is_broken_off() {
    scene(async {
        let (socket, target) = port().await;
        let network = Gated::default();
        network.sends.shut();
        let config = config_with(|s| s["limits"]["cancel"] = json!(false));
        let sidecar = sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
        let client = asks(sidecar.address, &request("place-order", "left", "a")).await;
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        until("it is to be written", || of(&sidecar.gateway, "targets_connected") == 1).await;
        turns().await;
        drop(client);
        until("the client is missed", || sidecar.gateway.open_flows() == 0).await;
        turns().await;
        network.sends.open();
        assert!(message(&mut stream).await.is_none(), "it was written");
        assert_eq!(of(&sidecar.gateway, "forwards_not_sent"), 1, "the target is not to blame");
    });
}

/// A client that was gone before its connection had a place: request and end are read in one go.
#[test]
fn a_departure_that_comes_with_the_last_byte_is_heeded() {
    scene(async {
        let (socket, target) = port().await;
        let network = Gated::default();
        network.connects.shut();
        network.reads.shut();
        let config = config_with(|s| s["limits"]["cancel"] = json!(false));
        let sidecar = sidecar_on(network.clone(), config, Clock::system(), &[target], 8, 20).await;
        let client = asks(sidecar.address, &request("place-order", "left", "a")).await;
        drop(client);
        until("it is accepted", || of(&sidecar.gateway, "clients_accepted") == 1).await;
        network.reads.open();
        until("it is missed", || sidecar.listener.quiet_for(0.0) && sidecar.gateway.open_flows() == 0).await;
        network.connects.open();
        assert!(first_heard(&sidecar, socket, "place-order").await.contains("request-id: stays"));
    });
}

/// A request that is held, as there is no target yet, and whose client leaves with bytes behind it.
#[test]
fn a_held_request_whose_client_left_is_not_sent_when_a_target_comes() {
    scene(async {
        let (socket, target) = port().await;
        let sidecar = sidecar(&[], 8).await;
        let text = request("quote", "left", "") + &"x".repeat(100_000);
        let client = asks(sidecar.address, &text).await;
        until("it is held", || sidecar.gateway.open_flows() == 1).await;
        drop(client);
        until("the client is missed", || sidecar.gateway.open_flows() == 0).await;
        let group = list(2, true, &[(target, "in_service")]);
        let group = roseproxy_platform::discovery::read(group.as_bytes()).expect("a list");
        sidecar.gateway.targets(group.update, &group.targets);
        assert!(first_heard(&sidecar, socket, "quote").await.contains("request-id: stays"));
    });
}

// ---- client connections closed by this side

/// The time for a request runs out in the very moment in which its last byte comes: it is taken then, read or not.
#[test]
fn a_request_whose_last_byte_is_there_is_not_cut_off() {
    timeless(async {
        let (socket, target) = port().await;
        spawn_local(serve(socket, 1));
        let network = Gated::default();
        let sidecar = sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let text = request("quote", "1", "");
        let (first, rest) = text.split_at(20);
        client.write_all(first.as_bytes()).await.expect("written");
        until("it is accepted", || of(&sidecar.gateway, "clients_accepted") == 1).await;
        turns().await;
        network.reads.shut();
        client.write_all(rest.as_bytes()).await.expect("written");
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        network.reads.open();
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

/// The end closes idle connections; a request that lies in one unread is taken all the same, and answered.
#[test]
fn a_close_that_crosses_a_request_lets_it_be_answered() {
    for asked in [true, false] {
        timeless(async {
            let (socket, target) = port().await;
            spawn_local(serve(socket, 1));
            let network = Gated::default();
            let sidecar = sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
            let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
            if asked {
                assert!(ask(&mut client, READY).await.starts_with("HTTP/1.1 200"));
            }
            until("it is accepted", || of(&sidecar.gateway, "clients_accepted") == 1).await;
            turns().await;
            network.reads.shut();
            client.write_all(request("place-order", "1", "a").as_bytes()).await.expect("written");
            sidecar.listener.enter(Phase::Leaving);
            sidecar.listener.enter(Phase::Closing);
            tokio::time::sleep(Duration::from_millis(1_000)).await;
            assert!(!sidecar.listener.quiet_for(0.0));
            network.reads.open();
            let answer = message(&mut client).await.expect("a whole answer");
            assert!(answer.contains("connection: close") && answer.ends_with("priced"), "{asked}: {answer}");
            assert!(message(&mut client).await.is_none(), "and then it ends");
        });
    }
}

/// Where places run short the idlest connection makes room, unless its client has asked again in that moment.
#[test]
fn a_connection_that_is_to_make_room_is_answered_first() {
    timeless(async {
        let (socket, target) = port().await;
        spawn_local(serve(socket, 1));
        let network = Gated::default();
        let sidecar = sidecar_on(network.clone(), config(), Clock::system(), &[target], 1, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        assert!(ask(&mut client, READY).await.starts_with("HTTP/1.1 200"));
        turns().await;
        network.reads.shut();
        client.write_all(request("quote", "1", "").as_bytes()).await.expect("written");
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        tokio::time::sleep(Duration::from_millis(500)).await;
        network.reads.open();
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.contains("connection: close") && answer.ends_with("priced"), "{answer}");
        assert!(ask(&mut other, READY).await.starts_with("HTTP/1.1 200"), "then the other has its place");
    });
}

/// A 4xx goes out before the body is read. A socket closed with bytes unread resets, which can destroy the answer.
#[test]
fn an_answer_before_the_body_is_read_is_not_followed_by_a_reset() {
    scene(async {
        let sidecar = sidecar(&["127.0.0.1:9".parse().expect("an address")], 8).await;
        let heads = [
            "POST /place-order HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 65537\r\n\r\n",
            "nonsense\r\n\r\n",
        ];
        for head in heads {
            let mut client = asks(sidecar.address, head).await;
            // The answer is there, unread, while more comes.
            client.readable().await.expect("open");
            turns().await;
            for _ in 0..8 {
                client.write_all(&[b'x'; 8192]).await.expect("read on by the sidecar");
            }
            let mut answer = String::new();
            client.read_to_string(&mut answer).await.expect("an end and no reset");
            assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
        }
    });
}

/// An answer that is given waits to be written when its connection is to end: it is written first.
#[test]
fn a_close_waits_for_an_answer_that_waits_to_be_written() {
    timeless(async {
        let (socket, target) = port().await;
        spawn_local(serve(socket, 1));
        let network = Gated::default();
        network.answers.shut();
        let sidecar = sidecar_on(network.clone(), config(), Clock::system(), &[target], 8, 20).await;
        let mut client = asks(sidecar.address, &request("place-order", "1", "a")).await;
        until("it is answered", || of(&sidecar.gateway, "flows_served") == 1).await;
        sidecar.listener.enter(Phase::Closing);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        network.answers.open();
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("priced"), "{answer}");
    });
}

// ---- the end

/// Targets that hang while the program ends: the kill comes 0.7 s after the longest deadline, which counts as 3 s at
/// most, and what is open then has its answer before, whole.
#[test]
fn the_end_answers_what_hangs_before_the_kill() {
    for (give_up, kill) in [(60_000_000, 3_700.0), (900_000, 1_600.0)] {
        timeless(async {
            let (_hangs, target) = port().await;
            let config = config_with(|s| {
                s["request_classes"].as_array_mut().expect("classes").iter_mut().for_each(|c| {
                    c["aim"] = json!(give_up);
                    c["give_up"] = json!(give_up);
                });
            });
            let config = at_port(config, &[target]).await;
            let address = config.listen;
            let (ended, ask) = program(Gated::default(), config);
            turns().await;
            let mut client = asks(address, &request("place-order", "1", "a")).await;
            let asked = tokio::time::Instant::now();
            ask.send(Control::Shutdown).expect("it runs");
            let answer = spawn_local(async move { message(&mut client).await });
            let counts = ended.await.expect("no panic").expect("ends in order");
            let took = asked.elapsed().as_secs_f64() * 1000.0;
            assert!(took < kill, "{took} ms of {kill}");
            assert!(counts.contains("flows_open 0\n"), "{counts}");
            let answer = answer.await.expect("no panic").expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        });
    }
}

/// A connection that the machine accepted and the program has no place for yet belongs to the end too.
#[test]
fn the_end_waits_for_connections_that_wait_for_a_place() {
    scene(async {
        let (socket, target) = port().await;
        // A clock that stands, so that the first connection to the target never has its rest.
        let sidecar = sidecar_on(Tcp, config(), Clock::manual(1_000_000.0), &[target], 1, 20).await;
        let mut client = asks(sidecar.address, &request("quote", "1", "")).await;
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        let mut waits = asks(sidecar.address, &request("quote", "2", "")).await;
        sidecar.listener.enter(Phase::Closing);
        let done = Rc::new(Cell::new(false));
        let (seen, listener) = (done.clone(), sidecar.listener.clone());
        // In every turn of the loop, between any two tasks.
        let looks = spawn_local(std::future::poll_fn(move |cx| {
            seen.set(seen.get() || listener.quiet_for(0.0));
            cx.waker().wake_by_ref();
            Poll::<()>::Pending
        }));
        stream.write_all(OK.as_bytes()).await.expect("written");
        assert!(message(&mut client).await.expect("a whole answer").ends_with("priced"));
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects again");
        message(&mut stream).await.expect("the other request");
        assert!(!done.get(), "the end was near while a request waited");
        stream.write_all(OK.as_bytes()).await.expect("written");
        assert!(message(&mut waits).await.expect("a whole answer").ends_with("priced"));
        looks.abort();
    });
}

/// What gets its place only when the rest is being answered, as the kill is near, is answered too.
#[test]
fn what_comes_when_the_kill_is_near_is_answered() {
    timeless(async {
        let (_hangs, target) = port().await;
        // Room for one client at a time.
        let config = Config { sockets: 0, ..at_port(config(), &[target]).await };
        let address = config.listen;
        let (ended, ask) = program(Gated::default(), config);
        turns().await;
        let mut answers = Vec::new();
        for id in ["1", "2"] {
            let mut client = asks(address, &request("place-order", id, "a")).await;
            answers.push(spawn_local(async move { message(&mut client).await }));
            turns().await;
        }
        ask.send(Control::Shutdown).expect("it runs");
        let counts = ended.await.expect("no panic").expect("ends in order");
        assert!(counts.contains("flows_taken 2\n") && counts.contains("flows_open 0\n"), "{counts}");
        for answer in answers {
            let answer = answer.await.expect("no panic").expect("a whole answer");
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        }
    });
}

// ---- lists and watches

/// Where lists are pushed the module asks for none, and what discovery has counts as told all the same.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_after_each_end() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, Some(41));
        for _ in 0..3 {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let watch = message(&mut stream).await.expect("a request");
            assert!(watch.starts_with("GET /registry/instances?stream=1&index=41 HTTP/1.1\r\n"), "{watch}");
        }
    });
}

/// Lists may come indented, over several lines.
#[test]
fn an_indented_list_is_taken_from_a_watch() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, Some(1));
        let mut stream = open_watch(&socket).await;
        let change: serde_json::Value =
            serde_json::from_str(&list(2, false, &[(address, "in_service")])).expect("JSON");
        let text = serde_json::to_string_pretty(&change).expect("JSON") + "\n";
        chunk(&mut stream, &text).await.expect("read");
        until("the list is taken", || sidecar.gateway.can_serve()).await;
        assert_eq!(of(&sidecar.gateway, "lists_unread"), 0);
    });
}

/// A watch that dribbles is as dead as a silent one: bytes of a line that never ends, or of an object.
#[test]
fn a_watch_that_dribbles_is_opened_anew() {
    for drops in [" ", "{\"revision\":\n"] {
        timeless(async {
            let (socket, address) = port().await;
            let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[], 8, 20).await;
            watching(&sidecar, address, Some(1));
            let mut stream = open_watch(&socket).await;
            chunk(&mut stream, "\n").await.expect("read");
            let began = tokio::time::Instant::now();
            let dribbles = spawn_local(async move {
                while chunk(&mut stream, drops).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            });
            let anew = tokio::time::timeout(Duration::from_secs(30), open_watch(&socket)).await;
            assert!(anew.is_ok(), "{drops:?} kept it alive");
            // What it missed counts as told 6 s after it fell silent.
            assert!(began.elapsed() < Duration::from_secs(4), "{drops:?}: {:?}", began.elapsed());
            dribbles.abort();
        });
    }
}

/// Two hundred targets in an indented list are more than a body elsewhere may hold.
#[test]
fn a_whole_list_of_more_than_64_kib_is_taken() {
    scene(async {
        let (socket, address) = port().await;
        let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, None);
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut stream).await.expect("a request");
        let group: Vec<_> =
            (1..=1_000).map(|p| (SocketAddr::from(([127, 0, 0, 9], p)), "in_service")).collect();
        let text = list(2, true, &group);
        assert!(text.len() > 65_536);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        stream.write_all(answer.as_bytes()).await.expect("read");
        let watch = message(&mut stream).await.expect("the watch behind it");
        assert!(watch.contains("index=2 "), "{watch}");
    });
}

/// A list that is behind the one in hand comes from a discovery that hangs back: it takes nobody back into service who
/// is leaving. One that counts anew is believed again with its next list.
#[test]
fn a_list_behind_the_one_in_hand_ends_no_drain() {
    scene(async {
        let ((socket, address), (_, target)) = (port().await, port().await);
        let sidecar = sidecar_on(Tcp, pushed(), Clock::system(), &[target], 8, 20).await;
        watching(&sidecar, address, Some(7));
        let mut stream = open_watch(&socket).await;
        let lists = [
            (8, false, "terminating", false),
            (6, true, "in_service", false),
            (7, false, "in_service", true),
            (8, false, "terminating", false),
            (9, true, "in_service", true),
        ];
        // The list that a sidecar starts with counts too.
        for (taken, (revision, complete, phase, serves)) in (2..).zip(lists) {
            let text = list(revision, complete, &[(target, phase)]) + "\n";
            chunk(&mut stream, &text).await.expect("read");
            until("the list is taken", || of(&sidecar.gateway, "discovery_lists") == taken).await;
            assert_eq!(sidecar.gateway.can_serve(), serves, "{revision} {phase}");
        }
    });
}

/// Asks for a watch with each request, and for nothing else.
struct Wishes;

impl Decider for Wishes {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        if let Event::Request(_) = event {
            out.push(Action::Subscribe);
        }
    }
}

/// A wish that comes while the watch is open is met by it: kept, it would start the next one at once after a failure,
/// beside the pauses that keep all sidecars from calling together.
#[test]
fn a_wish_for_a_watch_that_is_open_starts_no_other() {
    scene(async {
        let ((socket, address), config) = (port().await, config());
        let host = Host::with(config.settings.clone(), Box::new(Wishes));
        let sidecar = sidecar_of(Tcp, host, config, Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, Some(1));
        let _client = asks(sidecar.address, &request("quote", "1", "")).await;
        let stream = open_watch(&socket).await;
        let _other = asks(sidecar.address, &request("quote", "2", "")).await;
        until("both are taken", || sidecar.gateway.open_flows() == 2).await;
        drop(stream);
        until("the failure is known", || of(&sidecar.gateway, "discovery_failures") == 1).await;
        turns().await;
        // A connection would lie there: the system accepts it by itself.
        let socket = socket.into_std().expect("a socket");
        assert_eq!(socket.accept().map(|_| ()).map_err(|e| e.kind()), Err(ErrorKind::WouldBlock));
    });
}

// ---- retries and writes

/// A request of keyed work that one of two targets has got whole and not answered: the sidecar, the client, the connection
/// to that target, and the other target.
async fn keyed(
    network: &Gated,
    clock: &Clock,
    attempts: u32,
) -> (Sidecar<Gated>, TcpStream, TcpStream, TcpListener) {
    let ((first, one), (second, two)) = (port().await, port().await);
    let config = config_with(|s| {
        s["limits"]["connect_timeout"] = json!(60_000_000);
        s["limits"]["max_attempts"] = json!(attempts);
        s["request_classes"][2]["give_up"] = json!(20_000_000);
    });
    let sidecar = sidecar_on(network.clone(), config, clock.clone(), &[one, two], 8, 20).await;
    let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
    let key = "Idempotency-Key: 5c0f\r\nContent-Length";
    let text = request("stock-update", "1", "sold=1").replace("Content-Length", key);
    client.write_all(text.as_bytes()).await.expect("written");
    let (mut stream, other) = tokio::select! {
        came = first.accept() => (came.expect("the sidecar connects").0, second),
        came = second.accept() => (came.expect("the sidecar connects").0, first),
    };
    message(&mut stream).await.expect("a request");
    (sidecar, client, stream, other)
}

/// A repeat is decided inside its key's window, and its connection comes up past it.
#[test]
fn a_repeat_whose_connection_comes_up_past_the_window_is_not_written() {
    scene(async {
        let (network, clock) = (Gated::default(), Clock::manual(1_000_000.0));
        let (sidecar, mut client, stream, other) = keyed(&network, &clock, 3).await;
        network.connects.shut();
        // It may have run: the repeat is out at once, and waits for its connection.
        drop(stream);
        until("the repeat is out", || of(&sidecar.gateway, "forwards_sent") == 2).await;
        clock.set(1_000_000.0 + 4_001.0);
        network.connects.open();
        let copy = spawn_local(async move {
            let (mut stream, _) = other.accept().await.expect("the sidecar connects");
            message(&mut stream).await
        });
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(of(&sidecar.gateway, "forwards_not_sent"), 1);
        turns().await;
        assert!(!copy.is_finished() || copy.await.expect("no panic").is_none(), "it was written");
    });
}

/// A repeat whose target does not read it: the window passes before its last byte is out, which is when its time counts
/// from. It is broken off then, and never runs.
#[test]
fn a_repeat_that_is_not_whole_within_the_window_is_broken_off() {
    timeless(async {
        let network = Gated::default();
        let (_sidecar, mut client, stream, other) = keyed(&network, &Clock::manual(1_000_000.0), 2).await;
        network.sends.shut();
        drop(stream);
        let (mut copy, _) = other.accept().await.expect("the sidecar connects");
        let answer = tokio::time::timeout(Duration::from_secs(10), message(&mut client)).await;
        let answer = answer.expect("the repeat is left to be written at any time").expect("a whole answer");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        network.sends.open();
        assert!(message(&mut copy).await.is_none(), "it was written after all");
    });
}

/// An open watch that falls silent is opened anew at once, whatever pauses the module keeps after failures: in a fleet
/// of hundreds those are longer than the time after which what was missed counts as told.
#[test]
fn a_silent_watch_is_opened_anew_without_a_pause() {
    timeless(async {
        let ((socket, address), config) = (port().await, config());
        let host = Host::with(config.settings.clone(), Box::new(Wishes));
        let sidecar = sidecar_of(Tcp, host, config, Clock::system(), &[], 8, 20).await;
        watching(&sidecar, address, Some(1));
        let _client = asks(sidecar.address, &request("quote", "1", "")).await;
        let mut stream = open_watch(&socket).await;
        chunk(&mut stream, "\n").await.expect("read");
        let began = tokio::time::Instant::now();
        let anew = tokio::time::timeout(Duration::from_secs(30), open_watch(&socket)).await;
        assert!(anew.is_ok(), "it waits for the module");
        assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
        assert_eq!(of(&sidecar.gateway, "discovery_failures"), 0);
    });
}

// ---- connections to targets

/// A target that answers before the request is whole has not begun it: its answer belongs to nothing, and the order goes
/// to another target, as it never ran.
#[test]
fn an_answer_before_the_request_is_whole_is_none() {
    scene(async {
        // A pipe that holds less than the request stands for a connection that is written slowly.
        let (near, mut far) = tokio::io::duplex(64);
        let mut connection = roseproxy_transport::connection::Connection::start(
            near,
            Rc::new(|| roseproxy_transport::network::Unread::Nothing),
        )
        .await
        .expect("open");
        let outgoing =
            roseproxy_platform::request::OutgoingRequest::get(&format!("/{}", "x".repeat(500)), "a");
        let exchange = spawn_local(async move { connection.exchange(outgoing).await });
        turns().await;
        far.write_all(OK.as_bytes()).await.expect("written");
        let end = exchange.await.expect("no panic");
        let never = roseproxy_transport::connection::Exchange::Broke { last_byte_written: false };
        assert_eq!(format!("{end:?}"), format!("{never:?}"));
    });
}

/// A target's second answer comes some milliseconds late, when the next request is out: it is not taken for the answer to
/// that, as a connection rests before it is used again.
#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_one() {
    scene(async {
        let (socket, target) = port().await;
        let clock = Clock::manual(1_000_000.0);
        let sidecar = sidecar_on(Tcp, config(), clock.clone(), &[target], 8, 20).await;
        let mut client = asks(sidecar.address, &request("quote", "1", "")).await;
        let (mut first, _) = socket.accept().await.expect("the sidecar connects");
        message(&mut first).await.expect("a request");
        first.write_all(OK.as_bytes()).await.expect("written");
        assert!(message(&mut client).await.expect("a whole answer").ends_with("priced"));
        until("it is kept", || of(&sidecar.gateway, "targets_idle") == 1).await;
        client.write_all(request("quote", "2", "").as_bytes()).await.expect("written");
        let anew = tokio::select! {
            came = socket.accept() => Some(came.expect("the sidecar connects").0),
            _ = message(&mut first) => None,
        };
        first.write_all(OK.as_bytes()).await.expect("written");
        let mut next = match anew {
            Some(mut stream) => {
                message(&mut stream).await.expect("a request");
                stream
            }
            None => first,
        };
        let other = OK.replace("priced", "second");
        next.write_all(other.as_bytes()).await.expect("written");
        let answer = message(&mut client).await.expect("a whole answer");
        assert!(answer.ends_with("second"), "{answer}");
        // Once it has rested it is used again.
        rested(&sidecar, &clock, 2).await;
        client.write_all(request("quote", "3", "").as_bytes()).await.expect("written");
        let third = message(&mut next).await.expect("a request");
        assert!(third.contains("request-id: 3"), "{third}");
    });
}

/// An answer without a length ends with its connection: by an orderly end it is whole, by a reset it is not.
#[test]
fn an_answer_without_a_length_is_not_ended_by_a_reset() {
    for by_reset in [false, true] {
        scene(async {
            let (socket, target) = port().await;
            let sidecar = sidecar(&[target], 8).await;
            let mut client = asks(sidecar.address, &request("place-order", "1", "a")).await;
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            message(&mut stream).await.expect("a request");
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npriced").await.expect("written");
            // What has come is read before the end comes.
            turns().await;
            match by_reset {
                true => reset(stream),
                false => drop(stream),
            }
            let answer = message(&mut client).await.expect("a whole answer");
            let end = if by_reset { "HTTP/1.1 502" } else { "HTTP/1.1 200" };
            assert!(answer.starts_with(end) && answer.ends_with("priced") != by_reset, "{answer}");
        });
    }
}

/// An order whose connection never comes up in its time was never written: it is refused, and not failed.
#[test]
fn an_order_whose_connection_never_came_up_may_be_refused() {
    scene(async {
        let (_socket, target) = port().await;
        let network = Gated::default();
        network.connects.shut();
        let config = config_with(|s| {
            s["limits"]["connect_timeout"] = json!(60_000_000);
            s["request_classes"][1]["aim"] = json!(20_000);
        });
        let sidecar = sidecar_on(network, config, Clock::system(), &[target], 8, 20).await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let text = request("place-order", "1", "a").replace("Timeout: 50", "Timeout: 0.060");
        let answer = ask(&mut client, &text).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(of(&sidecar.gateway, "forwards_sent") > 0 && of(&sidecar.gateway, "forwards_timed_out") == 0);
    });
}
