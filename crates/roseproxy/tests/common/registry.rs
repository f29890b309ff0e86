//! A scripted discovery service: it serves watches, goes down in a chosen way, returns, and counts the calls made to it.
//! Sidecars reach it over the loopback network, or over pipes in memory where there are hundreds of them.

use super::{chunk, list, message, port};
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

/// How often an idle watch sends its heartbeat, an empty line.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// Bytes that a pipe in memory holds.
const PIPE: usize = 16 * 1024;

/// How discovery fails those that call it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Every call is answered with a 503 at once.
    Unavailable,
    /// Connections are refused.
    Refused,
    /// Connections are reset when a request has come.
    Reset,
    /// Connections never come up; those that are open fall silent.
    Unreachable,
    /// Every call waits in the queue for as long as calls may, and is answered with a 503 then.
    Queued,
}

pub const OUTAGES: [Outage; 5] =
    [Outage::Unavailable, Outage::Refused, Outage::Reset, Outage::Unreachable, Outage::Queued];

/// How long a call waits in discovery's queue before it is turned away.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

/// What discovery does and says at a moment.
#[derive(Clone, Copy, Debug)]
struct State {
    outage: Option<Outage>,
    revision: u64,
    /// The phase of the only endpoint.
    phase: &'static str,
}

/// The service, with one endpoint on its list.
pub struct Registry {
    pub address: SocketAddr,
    pub endpoint: SocketAddr,
    state: watch::Sender<State>,
    calls: RefCell<Vec<Instant>>,
    open_watches: Cell<usize>,
    /// Where the programs listen that reach it by [`Loopback`].
    listeners: RefCell<Vec<SocketAddr>>,
}

impl Registry {
    /// A service for sidecars that reach it by [`Piped`].
    pub fn in_memory() -> Rc<Registry> {
        Registry::at(SocketAddr::from(([127, 0, 0, 1], 1)))
    }

    /// A service on a loopback socket, for sidecars that reach it by [`Loopback`].
    pub async fn on_loopback() -> Rc<Registry> {
        let (socket, address) = port().await;
        let registry = Registry::at(address);
        spawn_local(registry.clone().accept(socket));
        registry
    }

    fn at(address: SocketAddr) -> Rc<Registry> {
        let state = State { outage: None, revision: 1, phase: "in_service" };
        Rc::new(Registry {
            address,
            endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
            state: watch::channel(state).0,
            calls: RefCell::default(),
            open_watches: Cell::new(0),
            listeners: RefCell::default(),
        })
    }

    /// Goes down.
    pub fn fail(&self, outage: Outage) {
        self.state.send_modify(|state| state.outage = Some(outage));
    }

    /// Returns.
    pub fn recover(&self) {
        self.state.send_modify(|state| state.outage = None);
    }

    /// Begins to drain the endpoint: the next revision of the list.
    pub fn drain_endpoint(&self) {
        self.state.send_modify(|state| {
            state.revision += 1;
            state.phase = "terminating";
        });
    }

    /// Resets all open watches, and is there for whoever calls next.
    pub async fn reset_watches(&self) {
        self.fail(Outage::Reset);
        super::until("the watches are reset", || self.open_watches() == 0).await;
        self.recover();
    }

    /// Watches that are open and answered.
    pub fn open_watches(&self) -> usize {
        self.open_watches.get()
    }

    /// Calls from one moment to before another.
    pub fn calls_between(&self, from: Instant, to: Instant) -> usize {
        self.calls.borrow().iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Where the programs listen that reach it by [`Loopback`], in the order of their starts.
    pub fn listeners(&self) -> Vec<SocketAddr> {
        self.listeners.borrow().clone()
    }

    fn count_call(&self) {
        self.calls.borrow_mut().push(Instant::now());
    }

    /// What a connection attempt meets: it may go on, is refused, or waits for ever.
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
            Some(Outage::Unavailable | Outage::Reset | Outage::Queued) | None => Ok(()),
        }
    }

    async fn accept(self: Rc<Self>, socket: TcpListener) {
        loop {
            let (stream, _) = socket.accept().await.expect("the sidecar connects");
            spawn_local(self.clone().serve(stream, super::reset));
        }
    }

    /// Answers the calls on one connection; `abort` ends it by a reset.
    async fn serve<S>(self: Rc<Self>, mut stream: S, abort: fn(S))
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut state = self.state.subscribe();
        while let Some(request) = message(&mut stream).await {
            self.count_call();
            let State { outage, revision, phase } = *state.borrow_and_update();
            match outage {
                None => {}
                Some(outage @ (Outage::Unavailable | Outage::Queued)) => {
                    if outage == Outage::Queued {
                        tokio::time::sleep(QUEUE_TIMEOUT).await;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
                    return;
                }
                Some(Outage::Refused | Outage::Reset) => return abort(stream),
                Some(Outage::Unreachable) => {
                    reachable(&mut state).await;
                    return abort(stream);
                }
            }
            if request.contains("stream=1") {
                self.open_watches.set(self.open_watches.get() + 1);
                let _ = self.follow(&mut stream, &mut state).await;
                self.open_watches.set(self.open_watches.get() - 1);
                return abort(stream);
            }
            let text = list(revision, true, &[(self.endpoint, phase)]);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Serves a watch until its caller leaves or discovery goes down.
    async fn follow<S>(&self, stream: &mut S, state: &mut watch::Receiver<State>) -> io::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        self.tell(stream).await?;
        loop {
            tokio::select! {
                biased;
                changed = state.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let outage = state.borrow_and_update().outage;
                    match outage {
                        None => self.tell(stream).await?,
                        Some(Outage::Unreachable) => {
                            reachable(state).await;
                            return Ok(());
                        }
                        Some(_) => return Ok(()),
                    }
                }
                _ = stream.read_u8() => return Ok(()),
                () = tokio::time::sleep(HEARTBEAT) => chunk(stream, "\n").await?,
            }
        }
    }

    /// Writes the endpoint's entry as it is now.
    async fn tell<S: AsyncWrite + Unpin>(&self, stream: &mut S) -> io::Result<()> {
        let State { revision, phase, .. } = *self.state.borrow();
        chunk(stream, &(list(revision, false, &[(self.endpoint, phase)]) + "\n")).await
    }
}

/// Waits until discovery has returned.
async fn reachable(state: &mut watch::Receiver<State>) {
    while state.borrow_and_update().outage.is_some() {
        if state.changed().await.is_err() {
            return;
        }
    }
}

/// The system's sockets; what leads to discovery comes up as its state allows.
#[derive(Clone)]
pub struct Loopback(pub Rc<Registry>);

impl Network for Loopback {
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

/// Pipes in memory to discovery, and to nothing else.
#[derive(Clone)]
pub struct Piped(pub Rc<Registry>);

impl Network for Piped {
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
        let (near, far) = tokio::io::duplex(PIPE);
        spawn_local(self.0.clone().serve(far, drop));
        Ok((near, Rc::new(|| PeekResult::Empty)))
    }
}
