//! Clients that close their connection while a request still waits for its first attempt or for a further one: none begins
//! after the close. Each moment is played three times, with a client that stays, so that the attempt is seen to be due,
//! with one that ends its connection in order, and with one that resets it. Time is paused.

mod common;

use common::gated::{Gate, Gated};
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

/// Longer than any wait of the program for a probe, a repeat or a place.
const LONG: Duration = Duration::from_secs(30);
/// How soon the program misses a client that has left.
const SOON: Duration = Duration::from_millis(50);

/// What the client does while its request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Stays,
    Closes,
    Resets,
}

impl Client {
    /// The client acts; one that stays is returned, as a dropped stream is a closed one.
    fn act(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Client::Stays => return Some(stream),
            Client::Closes => drop(stream),
            Client::Resets => reset(stream),
        }
        None
    }
}

/// A config server that answers probes and requests behind gates, and keeps every request that it has read whole.
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
        let (socket, address) = port().await;
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
        while let Some(request) = message(&mut stream).await {
            let answer = if request.starts_with("GET /stats") {
                self.probes.passed().await;
                OK.replace("priced", "util=0")
            } else {
                self.requests.borrow_mut().push(request);
                self.answers.passed().await;
                match self.reply {
                    Reply::Serve => OK.to_owned(),
                    Reply::Reject => OK.replace("200 OK", "503 Busy"),
                    Reply::Break => return,
                }
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Requests with this id that it has read.
    fn heard(&self, id: &str) -> usize {
        let line = format!("request-id: {id}\r\n");
        self.requests.borrow().iter().filter(|request| request.contains(&line)).count()
    }
}

/// Two endpoints alike.
async fn pair(reply: Reply) -> [Rc<Endpoint>; 2] {
    [Endpoint::start(reply).await, Endpoint::start(reply).await]
}

fn heard(endpoints: &[Rc<Endpoint>], id: &str) -> usize {
    endpoints.iter().map(|endpoint| endpoint.heard(id)).sum()
}

fn addresses(endpoints: &[Rc<Endpoint>]) -> Vec<SocketAddr> {
    endpoints.iter().map(|endpoint| endpoint.address).collect()
}

/// Each client, with attempts that may be cancelled and without, which the configuration says, and with bytes behind its
/// request and without: while those are unread, nothing else on the connection is.
fn each_client(moment: impl AsyncFn(Client, Config, &str)) {
    for client in [Client::Stays, Client::Closes, Client::Resets] {
        for cancel in [false, true] {
            for behind in ["", "more bytes"] {
                timeless(async {
                    let config = config_with(|s| {
                        s["limits"]["cancel"] = json!(cancel);
                        s["limits"]["connect_timeout"] = json!(60_000_000);
                    });
                    moment(client, config, behind).await;
                });
            }
        }
    }
}

/// Attempts expected at a moment after which one more is due for a client that stays.
fn expected(client: Client, before: usize) -> usize {
    before + usize::from(client == Client::Stays)
}

/// A first attempt that waits for the answers of probes; the client leaves before they come.
#[test]
fn a_request_that_waits_for_probes_is_not_sent_once_its_client_has_left() {
    for answered in [true, false] {
        each_client(async |client, mut config, behind| {
            // Cheap enough for two probes at a time and their answers awaited.
            config.settings.prices.probe = 0.001;
            let endpoints = pair(Reply::Serve).await;
            endpoints.iter().for_each(|endpoint| endpoint.probes.shut());
            let addresses = addresses(&endpoints);
            let sidecar = sidecar_on(Gated::default(), config, Clock::system(), &addresses, 8, 20).await;
            let stream = asks(sidecar.address, &(request("quote", "left", "") + behind)).await;
            until("it is probed for", || of(&sidecar.gateway, "probes_sent") == 2).await;
            assert_eq!(of(&sidecar.gateway, "forwards_sent"), 0);
            let stays = client.act(stream);
            tokio::time::sleep(SOON).await;
            if answered {
                endpoints.iter().for_each(|endpoint| endpoint.probes.open());
            }
            tokio::time::sleep(LONG).await;
            assert_eq!(heard(&endpoints, "left"), expected(client, 0), "{client:?}, {answered}");
            drop(stays);
        });
    }
}

/// A first attempt that waits for any endpoint at all.
#[test]
fn a_request_that_waits_for_an_endpoint_is_not_sent_once_its_client_has_left() {
    each_client(async |client, config, behind| {
        let endpoint = Endpoint::start(Reply::Serve).await;
        let sidecar = sidecar_on(Gated::default(), config, Clock::system(), &[], 8, 20).await;
        let stream = asks(sidecar.address, &(request("place-order", "left", "a") + behind)).await;
        until("it is held", || sidecar.gateway.open_flows() == 1).await;
        let stays = client.act(stream);
        tokio::time::sleep(SOON).await;
        let text = list(2, true, &[(endpoint.address, "in_service")]);
        let listing = discovery::read(text.as_bytes()).expect("a list");
        sidecar.gateway.apply_kept_list(Update::Complete, &listing.targets);
        tokio::time::sleep(LONG).await;
        assert_eq!(endpoint.heard("left"), expected(client, 0), "{client:?}");
        drop(stays);
    });
}

/// Requests on connections that the machine has accepted and the program has no place for: the client is gone before the
/// first byte is read.
#[test]
fn a_request_that_waits_for_a_place_is_not_sent_once_its_client_has_left() {
    each_client(async |client, config, behind| {
        let endpoint = Endpoint::start(Reply::Serve).await;
        endpoint.answers.shut();
        let sidecar = sidecar_on(Gated::default(), config, Clock::system(), &[endpoint.address], 1, 20).await;
        let first = asks(sidecar.address, &request("place-order", "first", "a")).await;
        until("it is sent", || endpoint.heard("first") == 1).await;
        let mut stay = Vec::new();
        for id in ["left-1", "left-2"] {
            let stream = asks(sidecar.address, &(request("place-order", id, "a") + behind)).await;
            stay.extend(client.act(stream));
        }
        tokio::time::sleep(SOON).await;
        endpoint.answers.open();
        tokio::time::sleep(LONG).await;
        for id in ["left-1", "left-2"] {
            assert_eq!(endpoint.heard(id), expected(client, 0), "{client:?}, {id}");
        }
        drop((first, stay));
    });
}

/// A further attempt that waits for its connection, after a first one that broke or was turned away.
#[test]
fn a_repeat_that_waits_for_its_connection_is_not_sent_once_its_client_has_left() {
    for reply in [Reply::Break, Reply::Reject] {
        each_client(async |client, mut config, behind| {
            config.settings.max_attempts = 2;
            let endpoints = pair(reply).await;
            let network = Gated::default();
            let addresses = addresses(&endpoints);
            let sidecar = sidecar_on(network.clone(), config, Clock::system(), &addresses, 8, 20).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.shut());
            let stream = asks(sidecar.address, &(request("quote", "left", "") + behind)).await;
            until("the first attempt is out", || heard(&endpoints, "left") == 1).await;
            network.connects.shut();
            endpoints.iter().for_each(|endpoint| endpoint.answers.open());
            until("the repeat is decided", || of(&sidecar.gateway, "forwards_sent") == 2).await;
            let stays = client.act(stream);
            tokio::time::sleep(SOON).await;
            network.connects.open();
            tokio::time::sleep(LONG).await;
            assert_eq!(heard(&endpoints, "left"), expected(client, 1), "{client:?}, {reply:?}");
            drop(stays);
        });
    }
}

/// The client leaves while the first attempt is out; when that fails, no further one follows.
#[test]
fn a_failure_after_the_client_has_left_is_not_followed_by_a_repeat() {
    for reply in [Reply::Break, Reply::Reject] {
        each_client(async |client, mut config, behind| {
            config.settings.max_attempts = 2;
            let endpoints = pair(reply).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.shut());
            let addresses = addresses(&endpoints);
            let sidecar = sidecar_on(Gated::default(), config, Clock::system(), &addresses, 8, 20).await;
            let stream = asks(sidecar.address, &(request("quote", "left", "") + behind)).await;
            until("the first attempt is out", || heard(&endpoints, "left") == 1).await;
            let stays = client.act(stream);
            tokio::time::sleep(SOON).await;
            endpoints.iter().for_each(|endpoint| endpoint.answers.open());
            tokio::time::sleep(LONG).await;
            assert_eq!(heard(&endpoints, "left"), expected(client, 1), "{client:?}, {reply:?}");
            drop(stays);
        });
    }
}

/// A second attempt beside a first one that takes long: its timer goes off after the client has left.
#[test]
fn a_second_attempt_does_not_begin_beside_the_first_once_the_client_has_left() {
    each_client(async |client, mut config, behind| {
        config.settings.second_copies = true;
        config.settings.max_attempts = 2;
        config.settings.classes.iter_mut().for_each(|class| class.aim = 1_000_000);
        let endpoints = pair(Reply::Serve).await;
        endpoints.iter().for_each(|endpoint| endpoint.answers.shut());
        let addresses = addresses(&endpoints);
        let sidecar = sidecar_on(Gated::default(), config, Clock::system(), &addresses, 8, 20).await;
        let stream = asks(sidecar.address, &(request("quote", "left", "") + behind)).await;
        until("the first attempt is out", || heard(&endpoints, "left") == 1).await;
        let stays = client.act(stream);
        tokio::time::sleep(LONG).await;
        assert_eq!(heard(&endpoints, "left"), expected(client, 1), "{client:?}");
        drop(stays);
    });
}

/// A burst of clients that all leave in one moment, each with its request at another place on its way.
#[test]
fn a_burst_of_departures_leaves_no_attempt_behind() {
    const CLIENTS: usize = 100;
    each_client(async |client, config, behind| {
        let endpoints = pair(Reply::Serve).await;
        let network = Gated::default();
        network.connects.shut();
        let addresses = addresses(&endpoints);
        let sidecar = sidecar_on(network.clone(), config, Clock::system(), &addresses, CLIENTS, 300).await;
        let mut streams = Vec::new();
        for number in 0..CLIENTS {
            let id = format!("left-{number}");
            streams.push(asks(sidecar.address, &(request("place-order", &id, "a") + behind)).await);
        }
        until("all are taken", || sidecar.gateway.open_flows() == CLIENTS).await;
        let stay: Vec<_> = streams.into_iter().filter_map(|stream| client.act(stream)).collect();
        tokio::time::sleep(SOON).await;
        network.connects.open();
        tokio::time::sleep(LONG).await;
        let heard: usize = endpoints.iter().map(|endpoint| endpoint.requests.borrow().len()).sum();
        assert_eq!(heard, if client == Client::Stays { CLIENTS } else { 0 }, "{client:?}");
        drop(stay);
    });
}
