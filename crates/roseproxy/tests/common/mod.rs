//! What the tests on loopback sockets share: a sidecar, its configuration, and plain messages.
#![allow(dead_code)] // each test program uses a part of it

pub mod cold_fleet;
pub mod faulty;
pub mod gated;
pub mod registry;

use roseproxy::serve::{serve as serve_program, Environment};
use roseproxy::signals::Control;
use roseproxy::{config::Config, Clock};
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery;
use roseproxy_platform::request::Classes;
use roseproxy_routing::Host;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::Listener;
use roseproxy_transport::network::{Network, Tcp};
use roseproxy_transport::pool::REST;
use roseproxy_transport::Gateway;
use serde_json::{json, Value};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::spawn_local;

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npriced";

/// Runs a scene on one thread, as the program does.
pub fn scene<T>(scene: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    // What hangs is a failure, and no test that never ends.
    let scene =
        async { tokio::time::timeout(Duration::from_secs(20), scene).await.expect("the scene hangs") };
    tokio::task::LocalSet::new().block_on(&runtime, scene)
}

/// A scene in which time stands until all wait.
pub fn timeless<T>(scene: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), scene)
}

pub fn config() -> Config {
    config_with(|_| {})
}

/// The configuration, with the settings changed.
pub fn config_with(change: impl FnOnce(&mut Value)) -> Config {
    let mut text = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "5",
        "settings": {"discovery": "on_request", "fleet_size": 1, "prices": {"probe": 1000.0},
            "limits": {"cancel": true, "max_attempts": 3, "max_retry_after": 1000000, "probes": true,
                "retry_after": true, "second_copies": false},
            "obligations": {"cold_from": 0.12, "fall_multiple": 4.0, "grace_to_answer": 20000, "warm_up": 1,
                "must_ask_in": 1000},
            "report": {"how": "on_probe", "names": ["active"]},
            "request_classes": [
                {"aim": 60000000, "effect": "retryable", "give_up": 60000000, "name": "quote", "worth": 2.0},
                {"aim": 60000000, "effect": "fragile", "give_up": 60000000, "name": "place-order", "worth": 8.0},
                {"aim": 60000000, "effect": "dedup", "give_up": 60000000, "group": "cell", "name": "stock-update",
                    "window": 4000000, "worth": 1.0}]}});
    change(&mut text["settings"]);
    Config::read(&text.to_string(), |_| None).expect("a good configuration")
}

pub fn list(revision: u64, complete: bool, targets: &[(SocketAddr, &str)]) -> String {
    let member = |(address, phase): &(SocketAddr, &str)| {
        json!({"id": address.to_string(), "host_port": address.to_string(), "locality": "a", "flavor": "m",
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<Value> = targets.iter().map(member).collect();
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

pub struct Sidecar<N = Tcp> {
    pub gateway: Rc<Gateway<N>>,
    pub listener: Rc<Listener<N>>,
    pub address: SocketAddr,
}

pub async fn sidecar(targets: &[SocketAddr], clients: usize) -> Sidecar {
    sidecar_with(targets, clients, 20).await
}

pub async fn sidecar_with(targets: &[SocketAddr], clients: usize, descriptors: usize) -> Sidecar {
    sidecar_on(Tcp, config(), Clock::system(), targets, clients, descriptors).await
}

/// A sidecar on this network, with this configuration and clock.
pub async fn sidecar_on<N: Network<Listener = TcpListener>>(
    network: N,
    config: Config,
    clock: Clock,
    targets: &[SocketAddr],
    clients: usize,
    descriptors: usize,
) -> Sidecar<N> {
    let host = Host::new(config.settings.clone(), config.seed, clock.now());
    sidecar_of(network, host, config, clock, targets, clients, descriptors).await
}

/// The same round this host.
pub async fn sidecar_of<N: Network<Listener = TcpListener>>(
    network: N,
    host: Host,
    config: Config,
    clock: Clock,
    targets: &[SocketAddr],
    clients: usize,
    descriptors: usize,
) -> Sidecar<N> {
    let gateway = gateway_of(network, host, config, &clock, targets, descriptors);
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    let listener = Listener::new(gateway.clone(), Budget::new(clients), Rc::new(|| "flows 0\n".into()));
    spawn_local(listener.clone().run(socket));
    Sidecar { gateway, listener, address }
}

/// A gateway whose host knows these endpoints, at revision 1 of the list; no client can connect to it.
pub fn gateway_of<N: Network>(
    network: N,
    host: Host,
    config: Config,
    clock: &Clock,
    endpoints: &[SocketAddr],
    descriptors: usize,
) -> Rc<Gateway<N>> {
    let classes = Classes::new(config.names, config.settings.classes.clone());
    let gateway = Gateway::new(network, host, classes, Budget::new(descriptors), clock.reader());
    gateway.set_wall_clock(clock.wall_reader());
    let in_service: Vec<_> = endpoints.iter().map(|e| (*e, "in_service")).collect();
    let known = discovery::read(list(1, true, &in_service).as_bytes()).expect("a list");
    gateway.targets(Update::Complete, &known.targets);
    spawn_local(gateway.clone().run_timers());
    gateway
}

/// Has a sidecar, which knows the list of this version, watch discovery at this address.
pub fn watching<N: Network>(sidecar: &Sidecar<N>, address: SocketAddr, known: Option<u64>) {
    watching_by(&sidecar.gateway, address, known);
}

/// The same for a gateway alone.
pub fn watching_by<N: Network>(gateway: &Rc<Gateway<N>>, address: SocketAddr, known: Option<u64>) {
    spawn_local(Watcher::new(gateway.clone(), watch::channel(address).1, known).run());
}

pub async fn port() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

/// Reads one message: its head, and as much body as its length says.
pub async fn message<S: AsyncRead + Unpin>(stream: &mut S) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let so_far = String::from_utf8_lossy(&text).into_owned();
        if let Some(head) = so_far.find("\r\n\r\n") {
            let lower = so_far[..head].to_lowercase();
            let length = lower.split("content-length: ").nth(1).map_or(0, |l| {
                l.split("\r\n").next().and_then(|n| n.parse::<usize>().ok()).expect("a length")
            });
            if text.len() >= head + 4 + length {
                return Some(so_far);
            }
        }
        match stream.read_u8().await {
            Ok(byte) => text.push(byte),
            Err(_) => return None,
        }
    }
}

pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "quote" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?obj=7f3a HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout: 50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A target that answers so many requests on one connection; returns them as they came.
pub async fn serve(socket: TcpListener, count: usize) -> Vec<String> {
    let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
    let mut got = Vec::new();
    for _ in 0..count {
        got.push(message(&mut stream).await.expect("a request"));
        stream.write_all(OK.as_bytes()).await.expect("written");
    }
    got
}

pub async fn ask(client: &mut TcpStream, text: &str) -> String {
    client.write_all(text.as_bytes()).await.expect("the sidecar reads");
    message(client).await.expect("a whole answer")
}

/// The answer, where one comes.
pub async fn try_ask(client: &mut TcpStream, text: &str) -> Option<String> {
    client.write_all(text.as_bytes()).await.ok()?;
    message(client).await
}

pub fn of<N: Network>(gateway: &Gateway<N>, name: &str) -> u64 {
    gateway.counts().iter().find(|(n, _)| n == name).map_or(0, |(_, count)| *count)
}

/// Waits until something holds; a test that waits in vain fails.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..15_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("not within fifteen seconds: {what}");
}

/// Waits until so many connections to targets are kept, and lets them have their rest; the clock is one that stands.
pub async fn rested<N: Network>(sidecar: &Sidecar<N>, clock: &Clock, kept: u64) {
    until("connections are kept", || of(&sidecar.gateway, "targets_idle") == kept).await;
    clock.set(clock.now() + REST);
}

/// Lets whatever is ready run.
pub async fn turns() {
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
}

pub fn reset(client: TcpStream) {
    // A linger of 0 makes the close a reset.
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
}

/// A client that has connected and asked.
pub async fn asks(address: SocketAddr, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("connects");
    client.write_all(text.as_bytes()).await.expect("written");
    client
}

/// Has another client ask, with the id `stays`; returns the first request that the target hears of.
pub async fn first_heard<N: Network>(sidecar: &Sidecar<N>, target: TcpListener, class: &str) -> String {
    let served = spawn_local(serve(target, 1));
    let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
    let body = if class == "quote" { "" } else { "b" };
    ask(&mut other, &request(class, "stays", body)).await;
    served.await.expect("no panic").remove(0)
}

pub fn pushed() -> Config {
    config_with(|s| s["discovery"] = json!("pushed"))
}

pub async fn open_watch(socket: &TcpListener) -> TcpStream {
    let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
    let watch = message(&mut stream).await.expect("a request");
    assert!(watch.contains("stream=1"), "{watch}");
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .expect("the sidecar reads");
    stream
}

pub async fn chunk<S: AsyncWrite + Unpin>(stream: &mut S, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

/// A configuration with aims that answers keep, so that nothing is refused.
pub fn quick() -> Config {
    config_with(|s| {
        for class in s["request_classes"].as_array_mut().expect("classes") {
            class["aim"] = json!(100_000);
        }
    })
}

/// Answers whatever comes, and counts the requests.
pub fn count_requests(socket: TcpListener) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let counted = counted.clone();
            spawn_local(async move {
                while let Some(request) = message(&mut stream).await {
                    counted.set(counted.get() + usize::from(request.contains("request-id")));
                    if stream.write_all(OK.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    count
}

/// What stands round the program: this network, the system's clock, and nobody who reads its log.
pub fn surroundings<N: Network>(network: N) -> Environment<N> {
    let say = Rc::new(|_: &str| {});
    Environment { network, clock: Clock::system(), log: say, decider: None, print_events: false }
}

/// Lets the whole program run from a configuration.
pub fn program<N: Network>(
    network: N,
    config: Config,
) -> (tokio::task::JoinHandle<Result<String, String>>, tokio::sync::mpsc::UnboundedSender<Control>) {
    let (ask, asked) = unbounded_channel();
    (spawn_local(serve_program(config, surroundings(network), asked, || Err("no reload".into()))), ask)
}

/// A configuration of the program at a port of its own, with these targets known.
pub async fn at_port(mut config: Config, targets: &[SocketAddr]) -> Config {
    let (socket, address) = port().await;
    drop(socket);
    config.listen = address;
    let group: Vec<_> = targets.iter().map(|t| (*t, "in_service")).collect();
    let known = roseproxy_platform::discovery::read(list(1, true, &group).as_bytes());
    Config { known: Some(known.expect("a list")), ..config }
}
