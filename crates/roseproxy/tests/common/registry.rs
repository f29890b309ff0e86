//! A stand-in for discovery: it serves lists and watches, fails in a chosen way, recovers, and records the calls made
//! to it. Sidecars reach it over loopback sockets, or over in-memory pipes in tests with hundreds of sidecars.

use super::{bind_port, list_json, read_message, write_chunk};
use roseproxy_transport::network::{Network, Peek, PeekResult, Tcp};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which an idle watch sends its heartbeat, an empty line.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of an in-memory pipe.
const PIPE_BYTES: usize = 16 * 1024;

/// How calls to discovery fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Every call gets a 503 at once.
    Unavailable,
    /// Connections are refused.
    Refused,
    /// Connections are reset once a request has been read.
    Reset,
    /// Connections are never established; open ones carry no more bytes.
    Unreachable,
    /// Every call waits in the queue for [`QUEUE_TIMEOUT`] and then gets a 503.
    Queued,
    /// Every call gets a 429 at once.
    RateLimited,
    /// Every call is accepted and never answered.
    Hanging,
    /// Calls for the whole list are answered; every call for a watch gets a 503 at once.
    WatchesRejected,
    /// Every call is answered after [`SLOW_ANSWER_DELAY`]; watches that are open end.
    Slow,
}

/// Outages that fail every call of the fleet.
pub const OUTAGES: [Outage; 6] = [
    Outage::Unavailable,
    Outage::Refused,
    Outage::Reset,
    Outage::Unreachable,
    Outage::Queued,
    Outage::RateLimited,
];

/// Time for which a call waits in discovery's queue before it gets a 503.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a slow discovery keeps each call waiting.
const SLOW_ANSWER_DELAY: Duration = Duration::from_secs(5);

/// The present state of the service and its list.
#[derive(Clone, Copy, Debug)]
struct State {
    outage: Option<Outage>,
    revision: u64,
    /// The phase of the only endpoint.
    phase: &'static str,
}

/// The stand-in for discovery, with one endpoint on its list.
pub struct Registry {
    pub address: SocketAddr,
    pub endpoint: SocketAddr,
    state: watch::Sender<State>,
    call_times: RefCell<Vec<Instant>>,
    open_watches: Cell<usize>,
    whole_list_calls: Cell<usize>,
    /// Addresses at which the programs on [`LoopbackNetwork`] listen.
    listeners: RefCell<Vec<SocketAddr>>,
}

impl Registry {
    /// A service for sidecars that reach it by [`PipedNetwork`].
    pub fn in_memory() -> Rc<Registry> {
        Registry::with_address(SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// A service on a loopback socket, for sidecars that reach it by [`LoopbackNetwork`].
    pub async fn on_loopback() -> Rc<Registry> {
        let (socket, address) = bind_port().await;
        let registry = Registry::with_address(address);
        spawn_local(registry.clone().accept(socket));
        registry
    }

    fn with_address(address: SocketAddr) -> Rc<Registry> {
        let state = State { outage: None, revision: 1, phase: "in_service" };
        Rc::new(Registry {
            address,
            endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
            state: watch::channel(state).0,
            call_times: RefCell::default(),
            open_watches: Cell::new(0),
            whole_list_calls: Cell::new(0),
            listeners: RefCell::default(),
        })
    }

    /// Starts an outage.
    pub fn fail(&self, outage: Outage) {
        self.state.send_modify(|state| state.outage = Some(outage));
    }

    /// Ends the outage.
    pub fn recover(&self) {
        self.state.send_modify(|state| state.outage = None);
    }

    /// Publishes the next revision of the list, in which the endpoint drains.
    pub fn drain_endpoint(&self) {
        self.state.send_modify(|state| {
            state.revision += 1;
            state.phase = "terminating";
        });
    }

    /// Resets all open watches, and serves later calls as usual.
    pub async fn reset_watches(&self) {
        self.fail(Outage::Reset);
        super::wait_until("the watches are reset", || self.open_watches() == 0).await;
        self.recover();
    }

    /// Number of watches that are being served.
    pub fn open_watches(&self) -> usize {
        self.open_watches.get()
    }

    /// Number of calls for the whole list.
    pub fn whole_list_calls(&self) -> usize {
        self.whole_list_calls.get()
    }

    /// Number of calls from `from` until just before `to`.
    pub fn calls_between(&self, from: Instant, to: Instant) -> usize {
        self.call_times.borrow().iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Addresses at which the programs on [`LoopbackNetwork`] listen, in the order of their starts.
    pub fn listeners(&self) -> Vec<SocketAddr> {
        self.listeners.borrow().clone()
    }

    fn count_call(&self) {
        self.call_times.borrow_mut().push(Instant::now());
    }

    /// Lets a connection attempt proceed, refuses it, or lets it wait forever, as the outage says.
    async fn admit(&self) -> io::Result<()> {
        let outage = self.state.borrow().outage;
        match outage {
            Some(Outage::Refused) => {
                self.count_call();
                Err(ErrorKind::ConnectionRefused.into())
            }
            Some(Outage::Unreachable) => {
                self.count_call();
                pending().await
            }
            Some(_) | None => Ok(()),
        }
    }

    async fn accept(self: Rc<Self>, socket: TcpListener) {
        loop {
            let (stream, _) = socket.accept().await.expect("the sidecar connects");
            spawn_local(self.clone().serve(stream, super::close_with_reset));
        }
    }

    /// Answers the calls on one connection; `abort` closes it, by a reset where the transport has one.
    async fn serve<S>(self: Rc<Self>, mut stream: S, abort: fn(S))
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut state = self.state.subscribe();
        while let Some(request) = read_message(&mut stream).await {
            self.count_call();
            if !request.contains("stream=1") {
                self.whole_list_calls.set(self.whole_list_calls.get() + 1);
            }
            let State { outage, revision, phase } = *state.borrow_and_update();
            match outage {
                None => {}
                Some(Outage::WatchesRejected) if !request.contains("stream=1") => {}
                Some(outage @ (Outage::Unavailable | Outage::Queued | Outage::WatchesRejected)) => {
                    if outage == Outage::Queued {
                        tokio::time::sleep(QUEUE_TIMEOUT).await;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
                    return;
                }
                Some(Outage::Refused | Outage::Reset) => return abort(stream),
                Some(Outage::Unreachable | Outage::Hanging) => {
                    wait_until_recovered(&mut state).await;
                    return abort(stream);
                }
                Some(Outage::RateLimited) => {
                    let answer = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(answer).await;
                    return;
                }
                Some(Outage::Slow) => tokio::time::sleep(SLOW_ANSWER_DELAY).await,
            }
            if request.contains("stream=1") {
                self.open_watches.set(self.open_watches.get() + 1);
                let _ = self.serve_watch(&mut stream, &mut state).await;
                self.open_watches.set(self.open_watches.get() - 1);
                return abort(stream);
            }
            let text = list_json(revision, true, &[(self.endpoint, phase)]);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Serves a watch until its caller disconnects or an outage begins.
    async fn serve_watch<S>(&self, stream: &mut S, state: &mut watch::Receiver<State>) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        self.write_entry(stream).await?;
        loop {
            tokio::select! {
                biased;
                changed = state.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let outage = state.borrow_and_update().outage;
                    match outage {
                        None => self.write_entry(stream).await?,
                        Some(Outage::Unreachable) => {
                            wait_until_recovered(state).await;
                            return Ok(());
                        }
                        Some(_) => return Ok(()),
                    }
                }
                _ = stream.read_u8() => return Ok(()),
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => write_chunk(stream, "\n").await?,
            }
        }
    }

    /// Writes the endpoint's present entry as a change of the list.
    async fn write_entry<S: AsyncWrite + Unpin>(&self, stream: &mut S) -> io::Result<()> {
        let State { revision, phase, .. } = *self.state.borrow();
        write_chunk(stream, &(list_json(revision, false, &[(self.endpoint, phase)]) + "\n")).await
    }
}

/// Waits until the outage has ended.
async fn wait_until_recovered(state: &mut watch::Receiver<State>) {
    while state.borrow_and_update().outage.is_some() {
        if state.changed().await.is_err() {
            return;
        }
    }
}

/// The system's sockets; connections to discovery are established as its outage allows.
#[derive(Clone)]
pub struct LoopbackNetwork(pub Rc<Registry>);

impl Network for LoopbackNetwork {
    type Listener = TcpListener;
    type AcceptedStream = <Tcp as Network>::AcceptedStream;
    type ConnectedStream = <Tcp as Network>::ConnectedStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let listener = Tcp.listen(address).await?;
        self.0.listeners.borrow_mut().push(listener.local_addr()?);
        Ok(listener)
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::AcceptedStream, Peek)> {
        Tcp.accept(listener).await
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::ConnectedStream, Peek)> {
        if address == self.0.address {
            self.0.admit().await?;
        }
        Tcp.connect(address).await
    }
}

/// In-memory pipes to discovery; connections to any other address are refused.
#[derive(Clone)]
pub struct PipedNetwork(pub Rc<Registry>);

impl Network for PipedNetwork {
    type Listener = ();
    type AcceptedStream = DuplexStream;
    type ConnectedStream = DuplexStream;

    async fn listen(&self, _: SocketAddr) -> io::Result<()> {
        Ok(())
    }

    async fn accept(&self, (): &()) -> io::Result<(DuplexStream, Peek)> {
        pending().await
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(DuplexStream, Peek)> {
        if address != self.0.address {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        self.0.admit().await?;
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        spawn_local(self.0.clone().serve(far, drop));
        Ok((near, Rc::new(|| PeekResult::Empty)))
    }
}
