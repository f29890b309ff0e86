//! Helpers shared by the integration tests: configurations, a sidecar on loopback sockets, and scripted HTTP/1.1
//! peers. They turn a hang of the sidecar into a test failure.
#![allow(dead_code)] // each test program uses only some of these helpers

pub mod cold_fleet;
pub mod faulty;
pub mod gated;
pub mod process;
pub mod registry;

use roseproxy::process_memory::UncountedMemory;
use roseproxy::serve::{serve as serve_program, Environment};
use roseproxy::signals::Control;
use roseproxy::{config::Config, Clock};
use roseproxy_decision::interface::Update;
use roseproxy_platform::discovery;
use roseproxy_platform::request::Classes;
use roseproxy_routing::Host;
use roseproxy_transport::answer_memory::AnswerMemory;
use roseproxy_transport::budget::Budget;
use roseproxy_transport::discovery::Watcher;
use roseproxy_transport::listener::Listener;
use roseproxy_transport::memory::MessageMemory;
use roseproxy_transport::memory_budget::MemoryBudget;
use roseproxy_transport::network::{Network, Tcp};
use roseproxy_transport::pool::REUSE_DELAY_MS;
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

/// An answer with the body `priced`.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npriced";

/// Memory for messages of a sidecar in tests: more than any of them needs.
const MESSAGE_MEMORY_BYTES: usize = 256 << 20;

/// Runs a test on a single-threaded runtime, as the program does, with a limit of 20 s.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    // A hang has to fail the test rather than block the test run.
    let test = async {
        tokio::time::timeout(Duration::from_secs(20), test).await.expect("the test ends within 20 s")
    };
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Runs a test on a single-threaded runtime with tokio's clock paused: time advances only when all tasks wait.
pub fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// The base configuration of the tests: one sidecar, lists on request, three request classes with latency goals of
/// 60 s.
pub fn config() -> Config {
    config_with(|_| {})
}

/// The base configuration after `change` has edited its settings.
pub fn config_with(change: impl FnOnce(&mut Value)) -> Config {
    config_with_file(|file| change(&mut file["settings"]))
}

/// The base configuration after `change` has edited its file.
pub fn config_with_file(change: impl FnOnce(&mut Value)) -> Config {
    let mut file = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "5",
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
    change(&mut file);
    Config::read(&file.to_string(), |_| None).expect("a good configuration")
}

/// A list of discovery as JSON text, with an address and a phase for each entry.
pub fn list_json(revision: u64, complete: bool, targets: &[(SocketAddr, &str)]) -> String {
    let member = |(address, phase): &(SocketAddr, &str)| {
        json!({"id": address.to_string(), "host_port": address.to_string(), "locality": "a", "flavor": "m",
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<Value> = targets.iter().map(member).collect();
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

/// A sidecar that runs inside the test process.
pub struct Sidecar<N = Tcp> {
    pub gateway: Rc<Gateway<N>>,
    pub listener: Rc<Listener<N>>,
    pub address: SocketAddr,
}

/// Starts a sidecar with the base configuration, room for `clients` connections and 20 descriptors.
pub async fn start_sidecar(targets: &[SocketAddr], clients: usize) -> Sidecar {
    start_sidecar_with_descriptors(targets, clients, 20).await
}

/// Starts a sidecar with the base configuration and this number of descriptors for connections to targets.
pub async fn start_sidecar_with_descriptors(
    targets: &[SocketAddr],
    clients: usize,
    descriptors: usize,
) -> Sidecar {
    start_sidecar_on(Tcp, config(), Clock::system(), targets, clients, descriptors).await
}

/// Starts a sidecar on `network` with the given configuration and clock.
pub async fn start_sidecar_on<N: Network<Listener = TcpListener>>(
    network: N,
    config: Config,
    clock: Clock,
    targets: &[SocketAddr],
    clients: usize,
    descriptors: usize,
) -> Sidecar<N> {
    let host = Host::new(config.settings.clone(), config.seed, clock.now());
    start_sidecar_with_host(network, host, config, clock, targets, clients, descriptors).await
}

/// Starts a sidecar that uses `host`, for tests that replace its decision module.
pub async fn start_sidecar_with_host<N: Network<Listener = TcpListener>>(
    network: N,
    host: Host,
    config: Config,
    clock: Clock,
    targets: &[SocketAddr],
    clients: usize,
    descriptors: usize,
) -> Sidecar<N> {
    let socket = network.listen("127.0.0.1:0".parse().expect("an address")).await.expect("a port");
    let gateway = start_gateway(network, host, config, &clock, targets, descriptors);
    let address = socket.local_addr().expect("bound");
    let listener = Listener::new(gateway.clone(), Budget::new(clients), Rc::new(|| "flows 0\n".into()));
    spawn_local(listener.clone().run(socket));
    Sidecar { gateway, listener, address }
}

/// Starts a gateway without a listener; its host knows `endpoints` from revision 1 of the list.
pub fn start_gateway<N: Network>(
    network: N,
    host: Host,
    config: Config,
    clock: &Clock,
    endpoints: &[SocketAddr],
    descriptors: usize,
) -> Rc<Gateway<N>> {
    let classes = Classes::new(config.names, config.settings.classes.clone());
    let memory = MemoryBudget::new(MESSAGE_MEMORY_BYTES);
    let gateway = Gateway::new(network, host, classes, Budget::new(descriptors), memory, clock.reader());
    gateway.set_wall_clock(clock.wall_reader());
    let in_service: Vec<_> = endpoints.iter().map(|endpoint| (*endpoint, "in_service")).collect();
    let known = discovery::read(list_json(1, true, &in_service).as_bytes()).expect("a list");
    gateway.apply_kept_list(Update::Complete, &known.targets);
    spawn_local(gateway.clone().run_timers());
    gateway
}

/// Has the sidecar watch discovery at `address`; `known` is the revision of the list in hand, if there is one.
pub fn start_watch<N: Network>(sidecar: &Sidecar<N>, address: SocketAddr, known: Option<u64>) {
    start_gateway_watch(&sidecar.gateway, address, known);
}

/// Has a gateway without a listener watch discovery at `address`.
pub fn start_gateway_watch<N: Network>(gateway: &Rc<Gateway<N>>, address: SocketAddr, known: Option<u64>) {
    spawn_local(Watcher::new(gateway.clone(), watch::channel(address).1, known).run());
}

/// Memory of an answer that is read by a test itself.
pub fn memory_of_test() -> AnswerMemory {
    AnswerMemory::of_budget(&MemoryBudget::new(MESSAGE_MEMORY_BYTES), &MessageMemory::default())
}

/// Binds a free port on the loopback interface.
pub async fn bind_port() -> (TcpListener, SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

/// Reads one HTTP message: the head, and the number of body bytes that its Content-Length states. Returns `None` if
/// the stream ends first.
pub async fn read_message<S: AsyncRead + Unpin>(stream: &mut S) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let body_length = head.split("content-length: ").nth(1).map_or(0, |rest| {
        rest.split("\r\n").next().and_then(|value| value.parse::<usize>().ok()).expect("a length")
    });
    let mut body = vec![0; body_length];
    stream.read_exact(&mut body).await.ok()?;
    text.extend_from_slice(&body);
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// The text of a request of `class` with a timeout of 50 s: a GET for `quote`, a POST for the other classes.
pub fn request_text(class: &str, id: &str, body: &str) -> String {
    let method = if class == "quote" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?obj=7f3a HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout: 50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Accepts one connection, answers `count` requests on it, and returns the text of these requests.
pub async fn serve(socket: TcpListener, count: usize) -> Vec<String> {
    let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
    let mut requests = Vec::new();
    for _ in 0..count {
        requests.push(read_message(&mut stream).await.expect("a request"));
        stream.write_all(OK_RESPONSE.as_bytes()).await.expect("written");
    }
    requests
}

/// Connects a client whose small writes leave at once: the system must not hold one back in real time while a paused
/// clock runs on.
pub async fn connect_without_delay(sidecar: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(sidecar).await.expect("connects");
    client.set_nodelay(true).expect("a socket");
    client
}

/// Sends a request and returns its answer; panics if no whole answer comes.
pub async fn exchange(client: &mut TcpStream, text: &str) -> String {
    client.write_all(text.as_bytes()).await.expect("the sidecar reads");
    read_message(client).await.expect("a whole answer")
}

/// Sends a request and returns its answer, or `None` if the connection fails or ends before a whole answer.
pub async fn try_exchange(client: &mut TcpStream, text: &str) -> Option<String> {
    client.write_all(text.as_bytes()).await.ok()?;
    read_message(client).await
}

/// The value of a counter of the gateway; 0 if it has no counter of this name.
pub fn counter<N: Network>(gateway: &Gateway<N>, name: &str) -> u64 {
    gateway.counts().iter().find(|(counter, _)| counter == name).map_or(0, |(_, count)| *count)
}

/// Waits until `holds` returns true. Panics after 15,000 checks, which are 1 ms apart.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..15_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("not within fifteen seconds: {what}");
}

/// Waits until `kept` connections to targets are idle, and advances the manual clock by the time for which they have
/// to stay unused before they carry the next request.
pub async fn wait_until_reusable<N: Network>(sidecar: &Sidecar<N>, clock: &Clock, kept: u64) {
    wait_until("connections are kept", || counter(&sidecar.gateway, "targets_idle") == kept).await;
    clock.set(clock.now() + REUSE_DELAY_MS);
}

/// Yields 50 times, so that all tasks that are ready run.
pub async fn run_ready_tasks() {
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
}

/// Closes a connection by a TCP reset.
pub fn close_with_reset(stream: TcpStream) {
    // With a linger time of 0 the close sends a reset.
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
}

/// Connects to `address`, sends `text`, and returns the open connection.
pub async fn connect_and_send(address: SocketAddr, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("connects");
    client.write_all(text.as_bytes()).await.expect("written");
    client
}

/// Has another client send a request with the id `stays`; returns the first request that reaches the target.
pub async fn first_request_received<N: Network>(
    sidecar: &Sidecar<N>,
    target: TcpListener,
    class: &str,
) -> String {
    let served = spawn_local(serve(target, 1));
    let mut other = TcpStream::connect(sidecar.address).await.expect("connects");
    let body = if class == "quote" { "" } else { "b" };
    exchange(&mut other, &request_text(class, "stays", body)).await;
    served.await.expect("no panic").remove(0)
}

/// The base configuration with lists that discovery pushes.
pub fn pushed_config() -> Config {
    config_with(|s| s["discovery"] = json!("pushed"))
}

/// Accepts a connection of the sidecar as discovery, expects a watch request on it, and sends the head of the answer.
pub async fn accept_watch(socket: &TcpListener) -> TcpStream {
    let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
    let watch = read_message(&mut stream).await.expect("a request");
    assert!(watch.contains("stream=1"), "{watch}");
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .expect("the sidecar reads");
    stream
}

/// Writes one chunk of a body with chunked transfer encoding.
pub async fn write_chunk<S: AsyncWrite + Unpin>(stream: &mut S, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

/// The base configuration with latency goals of 100 ms, which the answers of the tests meet, so that no request is
/// refused.
pub fn config_with_short_latency_goals() -> Config {
    config_with(|s| {
        for class in s["request_classes"].as_array_mut().expect("classes") {
            class["aim"] = json!(100_000);
        }
    })
}

/// Answers every message on every connection, and counts those with a request id, which excludes probes.
pub fn count_requests(socket: TcpListener) -> Rc<Cell<usize>> {
    let count = Rc::new(Cell::new(0));
    let shared_count = count.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = socket.accept().await.expect("the sidecar connects");
            let shared_count = shared_count.clone();
            spawn_local(async move {
                while let Some(request) = read_message(&mut stream).await {
                    shared_count.set(shared_count.get() + usize::from(request.contains("request-id")));
                    if stream.write_all(OK_RESPONSE.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    count
}

/// The environment in which the program runs: `network`, the system clock, and a log that is discarded.
pub fn test_environment<N: Network>(network: N) -> Environment<N> {
    let log = Rc::new(|_: &str| {});
    let process_memory = Box::new(UncountedMemory);
    Environment { network, clock: Clock::system(), log, decider: None, print_events: false, process_memory }
}

/// Runs the whole program with `config`; returns its task and the channel that stands for its signals.
pub fn start_program<N: Network>(
    network: N,
    config: Config,
) -> (tokio::task::JoinHandle<Result<String, String>>, tokio::sync::mpsc::UnboundedSender<Control>) {
    let (signal_sender, signals) = unbounded_channel();
    let task =
        spawn_local(serve_program(config, test_environment(network), signals, || Err("no reload".into())));
    (task, signal_sender)
}

/// `config` with a free port to listen at and a known list in which `targets` are in service.
pub async fn config_at_free_port(mut config: Config, targets: &[SocketAddr]) -> Config {
    let (socket, address) = bind_port().await;
    drop(socket);
    config.listen = address;
    let entries: Vec<_> = targets.iter().map(|target| (*target, "in_service")).collect();
    let known = roseproxy_platform::discovery::read(list_json(1, true, &entries).as_bytes());
    Config { known: Some(known.expect("a list")), ..config }
}
