//! Clients that use up the program's descriptors during an outage of discovery. Guards against a watch that cannot be
//! reopened after the outage for lack of a descriptor. The network of the tests enforces the limit of a process, and
//! time is paused.

mod common;

use common::registry::{LoopbackNetwork, Outage, Registry};
use common::*;
use roseproxy::config::Config;
use roseproxy::start::serve;
use roseproxy_transport::budget::{Budget, Permit};
use roseproxy_transport::network::{Network, Peek};
use serde_json::json;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of descriptors that the configuration allows.
const DESCRIPTORS: usize = 64;
/// Descriptors that the program needs before any connection: its standard streams, those of the runtime, the pipe of
/// the signal handler, and the listener.
const OWN_DESCRIPTORS: usize = 10;
/// The system's error when no descriptor is left.
const EMFILE: i32 = 24;
/// A sidecar has to have a change this long after discovery had it and was reachable.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// The network of a process with a limit on its descriptors.
#[derive(Clone)]
struct LimitedNetwork {
    network: LoopbackNetwork,
    descriptors: Budget,
    /// The fewest descriptors that were free at any time.
    fewest_free: Rc<Cell<usize>>,
}

/// A stream that occupies a descriptor.
struct CountedStream<S> {
    stream: S,
    _descriptor: Permit,
}

impl LimitedNetwork {
    fn take_descriptor(&self) -> io::Result<Permit> {
        let permit = self.descriptors.permit();
        self.fewest_free.set(self.fewest_free.get().min(self.descriptors.limit() - self.descriptors.used()));
        permit.ok_or_else(|| io::Error::from_raw_os_error(EMFILE))
    }
}

impl Network for LimitedNetwork {
    type Listener = TcpListener;
    type Accepted = CountedStream<<LoopbackNetwork as Network>::Accepted>;
    type Opened = CountedStream<<LoopbackNetwork as Network>::Opened>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        self.network.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::Accepted, Peek)> {
        // As in the system, a connection is accepted only if a descriptor is left.
        if self.descriptors.used() >= self.descriptors.limit() {
            self.take_descriptor()?;
        }
        let (stream, peek) = self.network.accept(listener).await?;
        Ok((CountedStream { stream, _descriptor: self.take_descriptor()? }, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Opened, Peek)> {
        let descriptor = self.take_descriptor()?;
        let (stream, peek) = self.network.connect(address).await?;
        Ok((CountedStream { stream, _descriptor: descriptor }, peek))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Runs a client that connects, sends `text`, waits until its connection is closed, and connects again.
async fn reconnect_forever(address: SocketAddr, text: String) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.write_all(text.as_bytes()).await;
            while matches!(stream.read(&mut [0; 512]).await, Ok(1..)) {}
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Checks that the watch is reopened after an outage during which `idle` idle clients and `active` clients whose
/// requests hang at their endpoint connect.
fn check_watch_after_outage(idle: usize, active: usize) {
    run_paused(async {
        let registry = Registry::on_loopback().await;
        let (_hangs, endpoint) = bind_port().await;
        let config = config_with(|s| s["fleet_size"] = json!(9));
        let known =
            roseproxy_platform::discovery::read(list_json(1, true, &[(endpoint, "in_service")]).as_bytes());
        let known = Some(known.expect("a list"));
        let config = Config { discovery: registry.address, sockets: DESCRIPTORS, known, ..config };
        let network = LimitedNetwork {
            network: LoopbackNetwork(registry.clone()),
            descriptors: Budget::new(DESCRIPTORS - OWN_DESCRIPTORS),
            fewest_free: Rc::new(Cell::new(usize::MAX)),
        };
        let descriptors = network.clone();
        let (signal_sender, signals) = unbounded_channel();
        let environment = test_environment(network);
        spawn_local(serve(config, environment, signals, || Err("no reload".into())));
        sleep(Duration::from_secs(20)).await;
        assert_eq!(registry.open_watches(), 1, "there is no watch before the outage");
        registry.fail(Outage::Refused);
        let address = registry.listeners()[0];
        for _ in 0..idle {
            spawn_local(reconnect_forever(address, String::new()));
        }
        for number in 0..active {
            spawn_local(reconnect_forever(address, request_text("quote", &number.to_string(), "")));
        }
        sleep(Duration::from_secs(10)).await;
        registry.recover();
        sleep(CHANGE_DEADLINE).await;
        let free = descriptors.fewest_free.get();
        assert_eq!(registry.open_watches(), 1, "{idle} idle, {active} active clients: at least {free} free");
        assert!(free > 0, "{idle} idle, {active} active clients: no descriptor was free at some time");
        drop(signal_sender);
    });
}

#[test]
fn idle_clients_leave_a_descriptor_for_the_watch() {
    check_watch_after_outage(200, 0);
}

#[test]
fn clients_whose_requests_hang_leave_a_descriptor_for_the_watch() {
    check_watch_after_outage(100, 100);
}
