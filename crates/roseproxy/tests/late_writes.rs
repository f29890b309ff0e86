//! The program is held up: between the decision to send an attempt and its first byte, or while a request waits to be read. What
//! held before is looked at again at the instant of writing: whether the client is still there, and what time it has left.

mod common;

use common::*;
use roseproxy::Clock;
use roseproxy_decision::interface::{Action, Event, Micros, Outcome, ServerId};
use roseproxy_routing::decider::Decider;
use roseproxy_routing::Host;
use roseproxy_transport::network::Tcp;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// How long the one thread does nothing: longer than any slack of the rules.
const HELD_UP: Duration = Duration::from_millis(400);
/// The client's time (ms).
const TIMEOUT: f64 = 5_000.0;

/// Something that happens while the thread is held up.
type Meanwhile = Rc<RefCell<Option<Box<dyn FnOnce()>>>>;

/// Sends every request to the one server, and has the thread held up once the first attempt is under way to its connection.
struct HoldsUp {
    server: Option<ServerId>,
    meanwhile: Meanwhile,
}

impl Decider for HoldsUp {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { servers, .. } => self.server = servers.first().map(|s| s.id).or(self.server),
            Event::Request(request) => {
                let Some(server) = self.server else { return };
                out.push(Action::Send { request: request.id, server, timeout: None });
                if let Some(meanwhile) = self.meanwhile.borrow_mut().take() {
                    spawn_local(hold_up(meanwhile));
                }
            }
            Event::Ended { request, server, outcome: Outcome::NotSent, finished: false, .. } => {
                out.push(Action::Send { request, server, timeout: None });
            }
            Event::Ended { request, finished: false, .. } => out.push(Action::Fail { request }),
            _ => {}
        }
    }
}

/// Lets the attempt's task run, which is behind this one, and then holds up the thread before its connection writes.
async fn hold_up(meanwhile: Box<dyn FnOnce()>) {
    let mut turns = 0;
    poll_fn(|cx| {
        turns += 1;
        cx.waker().wake_by_ref();
        if turns > 1 {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    meanwhile();
    std::thread::sleep(HELD_UP);
}

/// What an endpoint has read of a request, before which the thread was held up.
struct Heard {
    sent: Instant,
    attempts: Vec<(Instant, String)>,
}

/// The endpoint of a scene, and all it has read.
type Read = Rc<RefCell<Vec<(Instant, String)>>>;

/// Answers everything, and keeps it.
async fn endpoint(socket: TcpListener, read: Read) {
    loop {
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let read = read.clone();
        spawn_local(async move {
            while let Some(text) = message(&mut stream).await {
                read.borrow_mut().push((Instant::now(), text));
                if stream.write_all(OK.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// A sidecar whose thread is held up behind the next request for which `meanwhile` is set, with a kept connection to its
/// endpoint.
async fn held_up_sidecar() -> (Sidecar, Meanwhile, Read) {
    let ((socket, address), read) = (port().await, Read::default());
    spawn_local(endpoint(socket, read.clone()));
    let held: Meanwhile = Rc::default();
    let (config, clock) = (config(), Clock::system());
    let decider = HoldsUp { server: None, meanwhile: held.clone() };
    let host = Host::with_decider(config.settings.clone(), Box::new(decider));
    let sidecar = sidecar_of(Tcp, host, config, clock, &[address], 20, 20).await;
    let mut first = TcpStream::connect(sidecar.address).await.expect("connects");
    ask(&mut first, &request("place-order", "before", "b")).await;
    // Kept connections rest before they carry the next request.
    tokio::time::sleep(Duration::from_millis(50)).await;
    (sidecar, held, read)
}

/// A request with the client's time in it.
fn timed(id: &str) -> String {
    request("place-order", id, "b").replace("Request-Timeout: 50", "Request-Timeout: 5")
}

/// What an endpoint has read of the request with this id.
fn attempts(read: &Read, id: &str) -> Vec<(Instant, String)> {
    let id = format!("request-id: {id}\r");
    read.borrow().iter().filter(|(_, text)| text.contains(&id)).cloned().collect()
}

/// A request behind which the thread is held up; `meanwhile` gets the client's stream then.
fn heard_after_hold_up(meanwhile: impl FnOnce(std::net::TcpStream) + 'static) -> Heard {
    scene(async {
        let (sidecar, held, read) = held_up_sidecar().await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let sent = Instant::now();
        client.write_all(timed("held").as_bytes()).await.expect("written");
        let client = client.into_std().expect("a stream");
        *held.borrow_mut() = Some(Box::new(move || meanwhile(client)));
        tokio::time::sleep(HELD_UP + Duration::from_millis(300)).await;
        assert!(held.borrow().is_none(), "the thread was held up");
        Heard { sent, attempts: attempts(&read, "held") }
    })
}

/// A request that comes as the thread begins to be held up behind another one, on a kept or a new connection.
fn heard_of_one_that_waited(kept: bool) -> Heard {
    scene(async {
        let (sidecar, held, read) = held_up_sidecar().await;
        let mut waits = TcpStream::connect(sidecar.address).await.expect("connects");
        if kept {
            ask(&mut waits, &request("place-order", "kept", "b")).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let mut waits = waits.into_std().expect("a stream");
        let sent = Rc::new(RefCell::new(Instant::now()));
        let (sends, address) = (sent.clone(), sidecar.address);
        *held.borrow_mut() = Some(Box::new(move || {
            *sends.borrow_mut() = Instant::now();
            if !kept {
                waits = std::net::TcpStream::connect(address).expect("the system accepts");
            }
            std::io::Write::write_all(&mut waits, timed("waited").as_bytes()).expect("written");
            std::mem::forget(waits);
        }));
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        ask(&mut other, &timed("held")).await;
        tokio::time::sleep(HELD_UP + Duration::from_millis(300)).await;
        let sent = *sent.borrow();
        Heard { sent, attempts: attempts(&read, "waited") }
    })
}

/// One attempt was heard of, and told no more time than its client had.
fn assert_told_what_is_left(heard: &Heard) {
    assert_eq!(heard.attempts.len(), 1, "it is sent once");
    for (at, text) in &heard.attempts {
        let told = text.lines().find_map(|line| line.strip_prefix("request-timeout: ")).expect("told");
        let told = told.parse::<f64>().expect("a number") * 1e3;
        let left = TIMEOUT - (*at - heard.sent).as_secs_f64() * 1e3;
        assert!(told < left + 150.0, "told {told:.0} ms, the client has {left:.0}");
    }
}

#[test]
fn no_attempt_is_written_for_a_client_that_left_while_the_thread_was_held_up() {
    let heard = heard_after_hold_up(drop);
    assert_eq!(heard.attempts.len(), 0, "attempts after the client left: {:?}", heard.attempts);
}

#[test]
fn an_attempt_tells_what_time_is_left_after_the_thread_was_held_up() {
    // The client stays.
    assert_told_what_is_left(&heard_after_hold_up(std::mem::forget));
}

#[test]
fn a_request_on_a_kept_connection_that_waited_unread_has_less_time_left() {
    assert_told_what_is_left(&heard_of_one_that_waited(true));
}

#[test]
fn a_request_on_a_new_connection_that_waited_unread_has_less_time_left() {
    assert_told_what_is_left(&heard_of_one_that_waited(false));
}
