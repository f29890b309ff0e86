//! Clients that close their connection while a request waits for its first attempt or for a further one. Guards
//! against attempts that begin after the close. Each case runs with a client that stays, which shows that the attempt
//! is due, with one that closes its connection in order, and with one that resets it. Time is paused.

mod common;

use common::gated::{Gate, GatedNetwork};
use common::*;
use roseproxy::{config::Config, Clock};
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Longer than any wait of the program for a probe, a repeat or a free connection slot.
const LONGER_THAN_ANY_WAIT: Duration = Duration::from_secs(30);
/// Time within which the program notices that a client has left.
const DEPARTURE_NOTICED_AFTER: Duration = Duration::from_millis(50);

/// How the client behaves while its request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Stays,
    Closes,
    Resets,
}

impl Client {
    /// Acts on the connection. Returns it for a client that stays, as dropping the stream would close it.
    fn act(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Client::Stays => return Some(stream),
            Client::Closes => drop(stream),
            Client::Resets => close_with_reset(stream),
        }
        None
    }
}

/// A config server that answers probes and requests behind gates, and records every request that it has read whole.
struct Endpoint {
    address: SocketAddr,
    requests: RefCell<Vec<String>>,
    probes: Gate,
    answers: Gate,
    reply: Reply,
}

/// How an endpoint ends an exchange.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Serve,
    Reject,
    Break,
}

impl Endpoint {
    async fn start(reply: Reply) -> Rc<Endpoint> {
        let (socket, address) = bind_port().await;
        let requests = RefCell::default();
        let endpoint =
            Rc::new(Endpoint { address, requests, probes: Gate::default(), answers: Gate::default(), reply });
        spawn_local(endpoint.clone().accept(socket));
        endpoint
    }

    async fn accept(self: Rc<Self>, socket: TcpListener) {
        loop {
            let (stream, _) = socket.accept().await.expect("the sidecar connects");
            spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_message(&mut stream).await {
            let answer = if request.starts_with("GET /stats") {
                self.probes.wait_until_open().await;
                OK_RESPONSE.replace("priced", "util=0")
            } else {
                self.requests.borrow_mut().push(request);
                self.answers.wait_until_open().await;
                match self.reply {
                    Reply::Serve => OK_RESPONSE.to_owned(),
                    Reply::Reject => OK_RESPONSE.replace("200 OK", "503 Busy"),
                    Reply::Break => return,
                }
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Number of requests with this id that the endpoint has read.
    fn received(&self, id: &str) -> usize {
        let line = format!("request-id: {id}\r\n");
        self.requests.borrow().iter().filter(|request| request.contains(&line)).count()
    }
}

/// Starts two endpoints with the same reply.
async fn start_endpoint_pair(reply: Reply) -> [Rc<Endpoint>; 2] {
    [Endpoint::start(reply).await, Endpoint::start(reply).await]
}

fn total_received(endpoints: &[Rc<Endpoint>], id: &str) -> usize {
    endpoints.iter().map(|endpoint| endpoint.received(id)).sum()
}

fn addresses(endpoints: &[Rc<Endpoint>]) -> Vec<SocketAddr> {
    endpoints.iter().map(|endpoint| endpoint.address).collect()
}

/// Runs a test case with each behaviour of the client, with and without cancellation of attempts, and with and
/// without bytes after the request: while those are unread, the sidecar reads nothing else on the connection, also
/// not its end.
fn run_for_each_client(test_case: impl AsyncFn(Client, Config, &str)) {
    for client in [Client::Stays, Client::Closes, Client::Resets] {
        for cancel in [false, true] {
            for trailing_bytes in ["", "more bytes"] {
                run_paused(async {
                    let config = config_with(|s| {
                        s["limits"]["cancel"] = json!(cancel);
                        s["limits"]["connect_timeout"] = json!(60_000_000);
                    });
                    test_case(client, config, trailing_bytes).await;
                });
            }
        }
    }
}

/// Number of attempts expected after one more than `before` has become due, which is made only for a client that
/// stays.
fn expected(client: Client, before: usize) -> usize {
    before + usize::from(client == Client::Stays)
}

/// The first attempt waits for the answers of probes, and the client leaves before they come.
#[test]
fn a_request_that_waits_for_probes_is_not_sent_once_its_client_has_left() {
    for answered in [true, false] {
        run_for_each_client(async |client, mut config, trailing_bytes| {
            // Probes this cheap are sent two at a time, and their answers are awaited.
            config.settings.prices.probe = 0.001;
            let endpoints = start_endpoint_pair(Reply::Serve).await;
            endpoints.iter().for_each(|endpoint| endpoint.probes.close());
            let addresses = addresses(&endpoints);
            let sidecar =
                start_sidecar_on(GatedNetwork::default(), config, Clock::system(), &addresses, 8, 20).await;
            let stream =
                connect_and_send(sidecar.address, &(request_text("quote", "left", "") + trailing_bytes))
                    .await;
            wait_until("two probes are sent", || counter(&sidecar.gateway, "probes_sent") == 2).await;
            assert_eq!(counter(&sidecar.gateway, "forwards_sent"), 0);
            let open_stream = client.act(stream);
            tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
            if answered {
                endpoints.iter().for_each(|endpoint| endpoint.probes.open());
            }
            tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
            assert_eq!(total_received(&endpoints, "left"), expected(client, 0), "{client:?}, {answered}");
            drop(open_stream);
        });
    }
}

/// The first attempt waits because no endpoint is known.
#[test]
fn a_request_that_waits_for_an_endpoint_is_not_sent_once_its_client_has_left() {
    run_for_each_client(async |client, config, trailing_bytes| {
        let endpoint = Endpoint::start(Reply::Serve).await;
        let sidecar = start_sidecar_on(GatedNetwork::default(), config, Clock::system(), &[], 8, 20).await;
        let stream =
            connect_and_send(sidecar.address, &(request_text("place-order", "left", "a") + trailing_bytes))
                .await;
        wait_until("the request is taken", || sidecar.gateway.open_flows() == 1).await;
        let open_stream = client.act(stream);
        tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
        let text = list_json(2, true, &[(endpoint.address, "in_service")]);
        let listing = discovery::read(text.as_bytes()).expect("a list");
        sidecar.gateway.targets(Update::Complete, &listing.targets);
        tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
        assert_eq!(endpoint.received("left"), expected(client, 0), "{client:?}");
        drop(open_stream);
    });
}

/// The system has accepted the connections, but the program has no free slot for them: the clients leave before the
/// first byte is read.
#[test]
fn a_request_that_waits_for_a_connection_slot_is_not_sent_once_its_client_has_left() {
    run_for_each_client(async |client, config, trailing_bytes| {
        let endpoint = Endpoint::start(Reply::Serve).await;
        endpoint.answers.close();
        let sidecar =
            start_sidecar_on(GatedNetwork::default(), config, Clock::system(), &[endpoint.address], 1, 20)
                .await;
        let first = connect_and_send(sidecar.address, &request_text("place-order", "first", "a")).await;
        wait_until("the first request is sent", || endpoint.received("first") == 1).await;
        let mut open_streams = Vec::new();
        for id in ["left-1", "left-2"] {
            let stream =
                connect_and_send(sidecar.address, &(request_text("place-order", id, "a") + trailing_bytes))
                    .await;
            open_streams.extend(client.act(stream));
        }
        tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
        endpoint.answers.open();
        tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
        for id in ["left-1", "left-2"] {
            assert_eq!(endpoint.received(id), expected(client, 0), "{client:?}, {id}");
        }
        drop((first, open_streams));
    });
}

/// The second attempt waits for its connection, after a first one that broke or was rejected.
#[test]
fn a_repeat_that_waits_for_its_connection_is_not_sent_once_its_client_has_left() {
    for reply in [Reply::Break, Reply::Reject] {
        run_for_each_client(async |client, mut config, trailing_bytes| {
            config.settings.max_attempts = 2;
            let endpoints = start_endpoint_pair(reply).await;
            let network = GatedNetwork::default();
            let addresses = addresses(&endpoints);
            let sidecar = start_sidecar_on(network.clone(), config, Clock::system(), &addresses, 8, 20).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.close());
            let stream =
                connect_and_send(sidecar.address, &(request_text("quote", "left", "") + trailing_bytes))
                    .await;
            wait_until("the first attempt is out", || total_received(&endpoints, "left") == 1).await;
            network.connects.close();
            endpoints.iter().for_each(|endpoint| endpoint.answers.open());
            wait_until("the repeat is decided", || counter(&sidecar.gateway, "forwards_sent") == 2).await;
            let open_stream = client.act(stream);
            tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
            network.connects.open();
            tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
            assert_eq!(total_received(&endpoints, "left"), expected(client, 1), "{client:?}, {reply:?}");
            drop(open_stream);
        });
    }
}

/// The client leaves during the first attempt; when that fails, no second one follows.
#[test]
fn a_failure_after_the_client_has_left_is_not_followed_by_a_repeat() {
    for reply in [Reply::Break, Reply::Reject] {
        run_for_each_client(async |client, mut config, trailing_bytes| {
            config.settings.max_attempts = 2;
            let endpoints = start_endpoint_pair(reply).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.close());
            let addresses = addresses(&endpoints);
            let sidecar =
                start_sidecar_on(GatedNetwork::default(), config, Clock::system(), &addresses, 8, 20).await;
            let stream =
                connect_and_send(sidecar.address, &(request_text("quote", "left", "") + trailing_bytes))
                    .await;
            wait_until("the first attempt is out", || total_received(&endpoints, "left") == 1).await;
            let open_stream = client.act(stream);
            tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.open());
            tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
            assert_eq!(total_received(&endpoints, "left"), expected(client, 1), "{client:?}, {reply:?}");
            drop(open_stream);
        });
    }
}

/// The first attempt takes long, and the timer for a second copy beside it fires after the client has left.
#[test]
fn a_second_attempt_does_not_begin_beside_the_first_once_the_client_has_left() {
    run_for_each_client(async |client, mut config, trailing_bytes| {
        config.settings.second_copies = true;
        config.settings.max_attempts = 2;
        config.settings.classes.iter_mut().for_each(|class| class.latency_goal = 1_000_000);
        let endpoints = start_endpoint_pair(Reply::Serve).await;
        endpoints.iter().for_each(|endpoint| endpoint.answers.close());
        let addresses = addresses(&endpoints);
        let sidecar =
            start_sidecar_on(GatedNetwork::default(), config, Clock::system(), &addresses, 8, 20).await;
        let stream =
            connect_and_send(sidecar.address, &(request_text("quote", "left", "") + trailing_bytes)).await;
        wait_until("the first attempt is out", || total_received(&endpoints, "left") == 1).await;
        let open_stream = client.act(stream);
        tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
        assert_eq!(total_received(&endpoints, "left"), expected(client, 1), "{client:?}");
        drop(open_stream);
    });
}

/// Many clients leave at the same time, each with its request at a different stage.
#[test]
fn a_burst_of_departures_leaves_no_attempt_behind() {
    const CLIENTS: usize = 100;
    run_for_each_client(async |client, config, trailing_bytes| {
        let endpoints = start_endpoint_pair(Reply::Serve).await;
        let network = GatedNetwork::default();
        network.connects.close();
        let addresses = addresses(&endpoints);
        let sidecar =
            start_sidecar_on(network.clone(), config, Clock::system(), &addresses, CLIENTS, 300).await;
        let mut streams = Vec::new();
        for number in 0..CLIENTS {
            let id = format!("left-{number}");
            streams.push(
                connect_and_send(sidecar.address, &(request_text("place-order", &id, "a") + trailing_bytes))
                    .await,
            );
        }
        wait_until("all requests are taken", || sidecar.gateway.open_flows() == CLIENTS).await;
        let open_streams: Vec<_> = streams.into_iter().filter_map(|stream| client.act(stream)).collect();
        tokio::time::sleep(DEPARTURE_NOTICED_AFTER).await;
        network.connects.open();
        tokio::time::sleep(LONGER_THAN_ANY_WAIT).await;
        let received: usize = endpoints.iter().map(|endpoint| endpoint.requests.borrow().len()).sum();
        assert_eq!(received, if client == Client::Stays { CLIENTS } else { 0 }, "{client:?}");
        drop(open_streams);
    });
}
