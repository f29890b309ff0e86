//! The interface to the network: how streams are opened and accepted, and what waits to be read on
//! them.
//!
//! Everything else in the crate is generic over [`Network`], so it costs nothing on real sockets,
//! and a simulation in virtual time can run the same listener, pool and discovery watch.

use super::retrying_stream::is_resource_shortage;
use super::write_progress::SharedTcpStream;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the system keeps until they are accepted; it drops further connects, which their
/// clients repeat only after a second. The system's own limit may be lower.
const ACCEPT_QUEUE_LENGTH: u32 = 1_024;

/// What waits to be read on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// No data; more may arrive.
    Empty,
    /// Data; it is unknown whether the peer has closed the stream after it.
    Data,
    /// Data, after which the peer has closed the stream.
    DataBeforeEnd,
    /// The end of the stream: the peer has closed it, or it failed.
    Closed,
}

impl PeekResult {
    /// Whether data waits to be read.
    pub fn has_data(self) -> bool {
        matches!(self, PeekResult::Data | PeekResult::DataBeforeEnd)
    }

    /// Whether the peer is known to have closed the stream, or the stream failed.
    pub fn peer_has_closed(self) -> bool {
        matches!(self, PeekResult::DataBeforeEnd | PeekResult::Closed)
    }
}

/// Inspects what waits to be read on a stream without reading it.
pub type Peek = Rc<dyn Fn() -> PeekResult>;

/// A source of streams.
pub trait Network: Clone + 'static {
    /// A listening socket.
    type Listener: 'static;
    /// The stream of an accepted client.
    type AcceptedStream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A stream to a target or to discovery.
    type ConnectedStream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Starts listening on an address.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Waits for the next client; returns its stream and a function that inspects it.
    fn accept(
        &self,
        listener: &Self::Listener,
    ) -> impl Future<Output = io::Result<(Self::AcceptedStream, Peek)>>;

    /// Opens a stream; returns it with a function that inspects it.
    fn connect(&self, address: SocketAddr)
        -> impl Future<Output = io::Result<(Self::ConnectedStream, Peek)>>;
}

/// TCP sockets of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Listener = TcpListener;
    type AcceptedStream = SharedTcpStream;
    type ConnectedStream = SharedTcpStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A restarted process takes the port over while connections of the last one still close.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_QUEUE_LENGTH)
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(SharedTcpStream, Peek)> {
        let (stream, _) = listener.accept().await?;
        // Without the option answers are only delayed; the connection is usable all the same.
        let _ = stream.set_nodelay(true);
        Ok(shared(stream))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(SharedTcpStream, Peek)> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(shared(stream))
    }
}

/// Wraps a stream and returns it with a function that inspects its socket.
fn shared(stream: TcpStream) -> (SharedTcpStream, Peek) {
    let stream = Rc::new(stream);
    let peeked = stream.clone();
    let peek = Rc::new(move || loop {
        match SockRef::from(&*peeked).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return PeekResult::Empty,
            // The state is unknown, so no conclusion must be drawn from it.
            Err(e) if is_resource_shortage(&e) => return PeekResult::Data,
            Ok(0) | Err(_) => return PeekResult::Closed,
            Ok(_) if end_was_reported(&peeked) => return PeekResult::DataBeforeEnd,
            Ok(_) => return PeekResult::Data,
        }
    });
    (SharedTcpStream(stream), peek)
}

/// Whether the system has reported that the peer closed the stream, which it does while data is left to read.
fn end_was_reported(stream: &TcpStream) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(stream.ready(Interest::READABLE)).poll(&mut context) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) | Poll::Pending => false,
    }
}
