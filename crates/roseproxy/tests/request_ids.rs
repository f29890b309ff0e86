//! Requests with the id of another one. Guards against two requests that config servers run under one id: while the
//! first one arrives, waits for memory or is served, and after its client has left.

mod common;

use common::gated::Gate;
use common::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Clients and descriptors of the sidecars.
const ROOM: usize = 20;
/// Time in which the sidecar handles what was written last.
const SETTLING_TIME: Duration = Duration::from_millis(60);
const BODY: &str = "the order of the first client";

/// How an endpoint ends an exchange.
#[derive(Clone, Copy)]
enum Reply {
    Serve,
    Break,
    Reject,
}

/// A config server that records the requests that it has read whole, and answers behind a gate.
struct Endpoint {
    received: RefCell<Vec<String>>,
    answers: Gate,
    reply: Reply,
}

impl Endpoint {
    async fn start(reply: Reply) -> (Rc<Endpoint>, SocketAddr) {
        let (socket, address) = bind_port().await;
        let endpoint = Rc::new(Endpoint { received: RefCell::default(), answers: Gate::default(), reply });
        spawn_local(endpoint.clone().accept(socket));
        (endpoint, address)
    }

    async fn accept(self: Rc<Self>, socket: TcpListener) {
        loop {
            let (stream, _) = socket.accept().await.expect("the sidecar connects");
            spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_message(&mut stream).await {
            if request.contains("request-id") {
                self.received.borrow_mut().push(request);
                self.answers.wait_until_open().await;
            }
            let answer = match self.reply {
                Reply::Serve => OK_RESPONSE.to_owned(),
                Reply::Break => return,
                Reply::Reject => OK_RESPONSE.replace("200 OK", "503 Busy\r\nNot-Started: 1"),
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Number of requests with this id that have arrived.
    fn count(&self, id: &str) -> usize {
        let line = format!("request-id: {id}\r\n");
        self.received.borrow().iter().filter(|request| request.contains(&line)).count()
    }
}

/// An order in the framings of HTTP/1.1, each with the length of its head.
fn framed_orders(id: &str) -> Vec<(&'static str, String, usize)> {
    let stated = request_text("place-order", id, BODY);
    let chunked = request_text("place-order", id, "")
        .replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
        + &format!("5;x=y\r\n{}\r\n{:x}\r\n{}\r\n0\r\nX: y\r\n\r\n", &BODY[..5], BODY.len() - 5, &BODY[5..]);
    let orders = [("a length", stated), ("chunks", chunked)];
    orders
        .into_iter()
        .map(|(what, text)| {
            let head_length = text.find("\r\n\r\n").expect("a head") + 4;
            (what, text, head_length)
        })
        .collect()
}

/// Sends a whole order with this id on a connection of its own, and returns its answer.
async fn send_other(sidecar: SocketAddr, id: &str) -> String {
    let mut other = TcpStream::connect(sidecar).await.expect("connects");
    exchange(&mut other, &request_text("place-order", id, "another order")).await
}

/// Runs a case with orders in each framing that are cut after the head, in the body, and before the last byte.
fn run_for_each_cut(case: impl AsyncFn(Rc<Endpoint>, Sidecar, &str, &str, &str)) {
    for (framing, order, head_length) in framed_orders("twice") {
        for cut in [head_length, head_length + 1, head_length + 20, order.len() - 1] {
            run_local(async {
                let (endpoint, address) = Endpoint::start(Reply::Serve).await;
                let sidecar = start_sidecar(&[address], ROOM).await;
                let (begun, rest) = order.split_at(cut);
                case(endpoint, sidecar, &format!("{framing}, {cut} of {} bytes", order.len()), begun, rest)
                    .await;
            });
        }
    }
}

/// Guards against an order that is served under the id of another one, which is still arriving.
#[test]
fn the_id_of_a_request_that_is_arriving_is_in_use() {
    run_for_each_cut(async |endpoint, sidecar, what, begun, rest| {
        let mut first = connect_and_send(sidecar.address, begun).await;
        sleep(SETTLING_TIME).await;
        let answer = send_other(sidecar.address, "twice").await;
        assert!(answer.starts_with("HTTP/1.1 409"), "{what}: {answer}");
        assert_eq!(endpoint.count("twice"), 0, "{what}: sent on");
        first.write_all(rest.as_bytes()).await.expect("the sidecar reads");
        let answer = read_message(&mut first).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
        assert_eq!(endpoint.count("twice"), 1, "{what}");
    });
}

/// An id is free again when its client leaves while its request arrives, as nothing of it has been sent on.
#[test]
fn the_id_of_a_request_that_never_arrives_is_free_when_its_client_leaves() {
    for reset in [false, true] {
        run_for_each_cut(async |endpoint, sidecar, what, begun, _| {
            let first = connect_and_send(sidecar.address, begun).await;
            sleep(SETTLING_TIME).await;
            if reset {
                close_with_reset(first);
            } else {
                drop(first);
            }
            sleep(SETTLING_TIME).await;
            let answer = send_other(sidecar.address, "twice").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{what}, reset {reset}: {answer}");
            assert_eq!(endpoint.count("twice"), 1, "{what}, reset {reset}");
        });
    }
}

#[test]
fn the_id_of_a_request_that_waits_for_memory_is_in_use_until_its_client_leaves() {
    for (framing, order, head_length) in framed_orders("twice") {
        for cut in [head_length, head_length + 20, order.len()] {
            run_local(async {
                let what = format!("{framing}, {cut} of {} bytes", order.len());
                let (endpoint, address) = Endpoint::start(Reply::Serve).await;
                let sidecar = start_sidecar(&[address], ROOM).await;
                let budget = &sidecar.gateway.memory_budget;
                let others = budget.try_reserve(budget.limit() - budget.reserved()).expect("nobody waits");
                let first = connect_and_send(sidecar.address, &order[..cut]).await;
                sleep(SETTLING_TIME).await;
                assert_eq!(counter(&sidecar.gateway, "requests_waited_for_memory"), 1, "{what}");
                let answer = send_other(sidecar.address, "twice").await;
                assert!(answer.starts_with("HTTP/1.1 409"), "{what}: {answer}");
                drop(first);
                sleep(SETTLING_TIME).await;
                let again = spawn_local(async move { send_other(sidecar.address, "twice").await });
                sleep(SETTLING_TIME).await;
                drop(others);
                let answer = again.await.expect("no panic");
                assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
                assert_eq!(endpoint.count("twice"), 1, "{what}");
            });
        }
    }
}

/// A request that is turned down before anything of it is sent on leaves its id free.
#[test]
fn the_id_of_a_request_that_was_turned_down_is_free() {
    let bad_chunk = framed_orders("twice")[1].1.replace("5;x=y", "zz");
    let too_long = framed_orders("twice")[1].1.replace("5;x=y", "fffffff;x=y") + &"x".repeat(70_000);
    for (what, text, status) in [("a bad chunk", bad_chunk, "400"), ("too long", too_long, "413")] {
        run_local(async {
            let (endpoint, address) = Endpoint::start(Reply::Serve).await;
            let sidecar = start_sidecar(&[address], ROOM).await;
            let mut first = connect_and_send(sidecar.address, &text).await;
            let answer = read_message(&mut first).await.expect("an answer");
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{what}: {answer}");
            let answer = send_other(sidecar.address, "twice").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{what}: {answer}");
            assert_eq!(endpoint.count("twice"), 1, "{what}");
        });
    }
}

/// Guards against an id that runs twice: its client left while it ran, and it came again. Whether the first attempt
/// was cancelled, still runs or has ended since tells nothing of what it did.
#[test]
fn the_id_of_a_request_that_may_have_run_stays_in_use_after_its_client_has_left() {
    for reset in [false, true] {
        run_local(async {
            let (endpoint, address) = Endpoint::start(Reply::Serve).await;
            let sidecar = start_sidecar(&[address], ROOM).await;
            endpoint.answers.close();
            let first = connect_and_send(sidecar.address, &request_text("place-order", "twice", BODY)).await;
            wait_until("the order runs", || endpoint.count("twice") == 1).await;
            if reset {
                close_with_reset(first);
            } else {
                drop(first);
            }
            for open in [false, true] {
                if open {
                    endpoint.answers.open();
                }
                sleep(SETTLING_TIME).await;
                let answer = send_other(sidecar.address, "twice").await;
                assert!(answer.starts_with("HTTP/1.1 409"), "reset {reset}, answered {open}: {answer}");
            }
            assert_eq!(endpoint.count("twice"), 1, "reset {reset}");
        });
    }
}

/// A failed request may have run, and so may not come again under its id; one that was refused never ran.
#[test]
fn the_id_of_a_request_stays_in_use_only_after_an_answer_that_leaves_open_whether_it_ran() {
    for (reply, first_status, next_status) in
        [(Reply::Break, "502", "409"), (Reply::Reject, "503", "503"), (Reply::Serve, "200", "200")]
    {
        run_local(async {
            let (endpoint, address) = Endpoint::start(reply).await;
            let sidecar = start_sidecar(&[address], ROOM).await;
            let answer = send_other(sidecar.address, "twice").await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {first_status}")), "{answer}");
            let before = endpoint.count("twice");
            let answer = send_other(sidecar.address, "twice").await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {next_status}")), "{first_status}: {answer}");
            let sent_again = endpoint.count("twice") > before;
            assert!(next_status != "409" || !sent_again, "{first_status}: sent on again");
        });
    }
}

/// Ids that stay in use are forgotten once there are very many, so that they take no memory without a bound.
#[test]
fn a_bounded_number_of_ids_is_remembered() {
    let ids = roseproxy_transport::request_ids::RequestIds::default();
    let id = |number: usize| hyper::header::HeaderValue::from_str(&format!("id-{number}")).expect("a value");
    for number in 0..100_000 {
        ids.claim(&id(number)).expect("a new id").retire();
        assert!(ids.claim(&id(number)).is_none(), "{number}");
    }
    assert!(ids.claim(&id(99_000)).is_none(), "recent");
    assert!(ids.claim(&id(0)).is_some(), "long ago");
}
