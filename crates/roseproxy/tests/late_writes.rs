//! The program's thread stalls between the decision to send an attempt and its first byte, or while a request waits
//! to be read. Guards against attempts for clients that left during the stall and against timeouts that ignore it:
//! the program has to check the client and its remaining time again when it writes.

mod common;

use common::*;
use roseproxy::Clock;
use roseproxy_decision::interface::{Action, Event, Micros, Outcome, ServerId};
use roseproxy_routing::decide::Decider;
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

/// Duration of a stall; longer than any tolerance of the platform's rules.
const STALL: Duration = Duration::from_millis(400);
/// Timeout of the clients.
const CLIENT_TIMEOUT_MS: f64 = 5_000.0;

/// An action that the test takes at the beginning of a stall.
type StallAction = Rc<RefCell<Option<Box<dyn FnOnce()>>>>;

/// Sends every request to the only server, and stalls the thread once an attempt is on its way to its connection.
struct StallingDecider {
    server: Option<ServerId>,
    action: StallAction,
}

impl Decider for StallingDecider {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { servers, .. } => self.server = servers.first().map(|s| s.id).or(self.server),
            Event::Request(request) => {
                let Some(server) = self.server else { return };
                out.push(Action::Send { request: request.id, server, timeout: None });
                if let Some(action) = self.action.borrow_mut().take() {
                    spawn_local(stall(action));
                }
            }
            Event::AttemptEnded { request, server, outcome: Outcome::NotSent, finished: false, .. } => {
                out.push(Action::Send { request, server, timeout: None });
            }
            Event::AttemptEnded { request, finished: false, .. } => out.push(Action::Fail { request }),
            _ => {}
        }
    }
}

/// Lets the task of the attempt run, which is queued after this one, and then stalls the thread before the connection
/// of the attempt writes.
async fn stall(action: Box<dyn FnOnce()>) {
    let mut polls = 0;
    poll_fn(|cx| {
        polls += 1;
        cx.waker().wake_by_ref();
        if polls > 1 {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    action();
    std::thread::sleep(STALL);
}

/// When a request was sent, and its attempts as the endpoint read them.
struct ObservedRequest {
    sent: Instant,
    attempts: Vec<(Instant, String)>,
}

/// All requests that an endpoint has read, with the time of each.
type RequestLog = Rc<RefCell<Vec<(Instant, String)>>>;

/// Runs an endpoint that answers every request and records it.
async fn run_endpoint(socket: TcpListener, request_log: RequestLog) {
    loop {
        let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
        let request_log = request_log.clone();
        spawn_local(async move {
            while let Some(text) = read_message(&mut stream).await {
                request_log.borrow_mut().push((Instant::now(), text));
                if stream.write_all(OK_RESPONSE.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Starts a sidecar with an idle connection to its endpoint. Its thread stalls after the next request that comes once
/// the action is set.
async fn start_stalling_sidecar() -> (Sidecar, StallAction, RequestLog) {
    let ((socket, address), request_log) = (bind_port().await, RequestLog::default());
    spawn_local(run_endpoint(socket, request_log.clone()));
    let stall_action: StallAction = Rc::default();
    let (config, clock) = (config(), Clock::system());
    let decider = StallingDecider { server: None, action: stall_action.clone() };
    let host = Host::with(config.settings.clone(), Box::new(decider));
    let sidecar = start_sidecar_with_host(Tcp, host, config, clock, &[address], 20, 20).await;
    let mut first = TcpStream::connect(sidecar.address).await.expect("connects");
    exchange(&mut first, &request_text("place-order", "before", "b")).await;
    // Idle connections have to stay unused for a while before they carry the next request.
    tokio::time::sleep(Duration::from_millis(50)).await;
    (sidecar, stall_action, request_log)
}

/// A request with the timeout [`CLIENT_TIMEOUT_MS`].
fn request_with_timeout(id: &str) -> String {
    request_text("place-order", id, "b").replace("Request-Timeout: 50", "Request-Timeout: 5")
}

/// The attempts of the request with this id that the endpoint has read.
fn attempts(request_log: &RequestLog, id: &str) -> Vec<(Instant, String)> {
    let id = format!("request-id: {id}\r");
    request_log.borrow().iter().filter(|(_, text)| text.contains(&id)).cloned().collect()
}

/// Sends a request after which the thread stalls; `action` gets the client's stream at the beginning of the stall.
fn observe_request_with_stall(action: impl FnOnce(std::net::TcpStream) + 'static) -> ObservedRequest {
    run_local(async {
        let (sidecar, stall_action, request_log) = start_stalling_sidecar().await;
        let mut client = TcpStream::connect(sidecar.address).await.expect("connects");
        let sent = Instant::now();
        client.write_all(request_with_timeout("held").as_bytes()).await.expect("written");
        let client = client.into_std().expect("a stream");
        *stall_action.borrow_mut() = Some(Box::new(move || action(client)));
        tokio::time::sleep(STALL + Duration::from_millis(300)).await;
        assert!(stall_action.borrow().is_none(), "the thread has stalled");
        ObservedRequest { sent, attempts: attempts(&request_log, "held") }
    })
}

/// Sends a request at the beginning of a stall that another request causes, on an existing (`kept`) or a new
/// connection.
fn observe_waiting_request(kept: bool) -> ObservedRequest {
    run_local(async {
        let (sidecar, stall_action, request_log) = start_stalling_sidecar().await;
        let mut waiting = TcpStream::connect(sidecar.address).await.expect("connects");
        if kept {
            exchange(&mut waiting, &request_text("place-order", "kept", "b")).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let mut waiting = waiting.into_std().expect("a stream");
        let sent = Rc::new(RefCell::new(Instant::now()));
        let (shared_sent, address) = (sent.clone(), sidecar.address);
        *stall_action.borrow_mut() = Some(Box::new(move || {
            *shared_sent.borrow_mut() = Instant::now();
            if !kept {
                waiting = std::net::TcpStream::connect(address).expect("the system accepts");
            }
            std::io::Write::write_all(&mut waiting, request_with_timeout("waited").as_bytes())
                .expect("written");
            std::mem::forget(waiting);
        }));
        let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
        exchange(&mut other, &request_with_timeout("held")).await;
        tokio::time::sleep(STALL + Duration::from_millis(300)).await;
        let sent = *sent.borrow();
        ObservedRequest { sent, attempts: attempts(&request_log, "waited") }
    })
}

/// Checks that there was exactly one attempt, and that its timeout is no longer than the time that its client had
/// left.
fn assert_timeout_is_time_left(observed: &ObservedRequest) {
    assert_eq!(observed.attempts.len(), 1, "the request is sent once");
    for (read_at, text) in &observed.attempts {
        let value = text.lines().find_map(|line| line.strip_prefix("request-timeout: ")).expect("a timeout");
        let timeout_ms = value.parse::<f64>().expect("a number") * 1e3;
        let left_ms = CLIENT_TIMEOUT_MS - (*read_at - observed.sent).as_secs_f64() * 1e3;
        assert!(
            timeout_ms < left_ms + 150.0,
            "the endpoint was told {timeout_ms:.0} ms while the client has {left_ms:.0} ms left"
        );
    }
}

#[test]
fn no_attempt_is_written_for_a_client_that_left_during_a_stall() {
    let observed = observe_request_with_stall(drop);
    assert_eq!(observed.attempts.len(), 0, "attempts after the client left: {:?}", observed.attempts);
}

#[test]
fn the_timeout_of_an_attempt_excludes_a_stall() {
    // Forgetting the stream keeps the client connected.
    assert_timeout_is_time_left(&observe_request_with_stall(std::mem::forget));
}

#[test]
fn the_timeout_of_an_attempt_excludes_the_wait_on_an_existing_connection() {
    assert_timeout_is_time_left(&observe_waiting_request(true));
}

#[test]
fn the_timeout_of_an_attempt_excludes_the_wait_on_a_new_connection() {
    assert_timeout_is_time_left(&observe_waiting_request(false));
}
