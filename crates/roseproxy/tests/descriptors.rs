//! Clients that fill the program's descriptors while discovery is down: the watch has one again when discovery returns.
//! The network hands out no more descriptors than a process with this limit has, and time is paused.

mod common;

use common::registry::{Loopback, Outage, Registry};
use common::*;
use roseproxy::config::Config;
use roseproxy::serve::serve;
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

/// Descriptors that the configuration allows, and those that the program needs before any connection: its standard
/// streams, the runtime's own, the pipe of the signals, and the listener.
const DESCRIPTORS: usize = 64;
const OWN: usize = 10;
/// What the system says when none is left (`EMFILE`).
const TOO_MANY: i32 = 24;
/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// The network of a process with a limit on its descriptors.
#[derive(Clone)]
struct Limited {
    network: Loopback,
    descriptors: Budget,
    /// The fewest that were free.
    fewest: Rc<Cell<usize>>,
}

/// A stream that holds a descriptor.
struct Counted<S> {
    stream: S,
    _descriptor: Permit,
}

impl Limited {
    fn descriptor(&self) -> io::Result<Permit> {
        let permit = self.descriptors.permit();
        self.fewest.set(self.fewest.get().min(self.descriptors.limit() - self.descriptors.used()));
        permit.ok_or_else(|| io::Error::from_raw_os_error(TOO_MANY))
    }
}

impl Network for Limited {
    type Listener = TcpListener;
    type Accepted = Counted<<Loopback as Network>::Accepted>;
    type Opened = Counted<<Loopback as Network>::Opened>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        self.network.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::Accepted, Peek)> {
        // As the system does: a connection that comes is accepted only where a descriptor is left.
        if self.descriptors.used() >= self.descriptors.limit() {
            self.descriptor()?;
        }
        let (stream, peek) = self.network.accept(listener).await?;
        Ok((Counted { stream, _descriptor: self.descriptor()? }, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Opened, Peek)> {
        let descriptor = self.descriptor()?;
        let (stream, peek) = self.network.connect(address).await?;
        Ok((Counted { stream, _descriptor: descriptor }, peek))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
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

/// A client that connects, sends this, stays until its connection is closed, and comes again.
async fn occupy(address: SocketAddr, text: String) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.write_all(text.as_bytes()).await;
            while matches!(stream.read(&mut [0; 512]).await, Ok(1..)) {}
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A program whose discovery is down while so many idle clients come, and so many whose requests hang at their endpoint.
fn the_watch_comes_back(idle: usize, asking: usize) {
    timeless(async {
        let registry = Registry::on_loopback().await;
        let (_hangs, endpoint) = port().await;
        let config = config_with(|s| s["fleet_size"] = json!(9));
        let known =
            roseproxy_platform::discovery::read(list(1, true, &[(endpoint, "in_service")]).as_bytes());
        let known = Some(known.expect("a list"));
        let config = Config { discovery: registry.address, sockets: DESCRIPTORS, known, ..config };
        let network = Limited {
            network: Loopback(registry.clone()),
            descriptors: Budget::new(DESCRIPTORS - OWN),
            fewest: Rc::new(Cell::new(usize::MAX)),
        };
        let descriptors = network.clone();
        let (ending, asked) = unbounded_channel();
        let around = surroundings(network);
        spawn_local(serve(config, around, asked, || Err("no reload".into())));
        sleep(Duration::from_secs(20)).await;
        assert_eq!(registry.open_watches(), 1, "not watched at first");
        registry.fail(Outage::Refused);
        let address = registry.listeners()[0];
        for _ in 0..idle {
            spawn_local(occupy(address, String::new()));
        }
        for number in 0..asking {
            spawn_local(occupy(address, request("quote", &number.to_string(), "")));
        }
        sleep(Duration::from_secs(10)).await;
        registry.recover();
        sleep(TOLD).await;
        let free = descriptors.fewest.get();
        assert_eq!(registry.open_watches(), 1, "{idle} idle, {asking} asking, {free} free at the fewest");
        assert!(free > 0, "{idle} idle, {asking} asking: none was left at a time");
        drop(ending);
    });
}

#[test]
fn idle_clients_leave_a_descriptor_for_the_watch() {
    the_watch_comes_back(200, 0);
}

#[test]
fn clients_whose_requests_hang_leave_a_descriptor_for_the_watch() {
    the_watch_comes_back(100, 100);
}
