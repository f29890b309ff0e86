//! The narrow seam below the transport: how streams come into being, and what waits to be read on one.
//!
//! Everything above it is generic in [`Network`], so that the program on real sockets pays nothing for
//! it, and a world in virtual time can stand below the very same listener, pool and watch.

use super::retrying_stream::is_resource_shortage;
use super::write_progress::SharedTcpStream;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// What waits to be read on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// Nothing, and more may come.
    Empty,
    /// Bytes; whether the other end has closed behind them is not known.
    Data,
    /// The end: the other side has closed it, or it broke.
    Closed,
}

/// Looks at what waits to be read on a stream, without reading it.
pub type Peek = Rc<dyn Fn() -> PeekResult>;

/// Where streams come from.
pub trait Network: Clone + 'static {
    /// A place where clients connect.
    type Listener: 'static;
    /// A client's stream.
    type AcceptedStream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A stream to a target or to discovery.
    type ConnectedStream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Begins to listen.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Waits for the next client; with what looks at its stream.
    fn accept(
        &self,
        listener: &Self::Listener,
    ) -> impl Future<Output = io::Result<(Self::AcceptedStream, Peek)>>;

    /// Opens a stream, with what looks at it.
    fn connect(&self, address: SocketAddr)
        -> impl Future<Output = io::Result<(Self::ConnectedStream, Peek)>>;
}

/// The system's sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Listener = TcpListener;
    type AcceptedStream = SharedTcpStream;
    type ConnectedStream = SharedTcpStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(SharedTcpStream, Peek)> {
        let (stream, _) = listener.accept().await?;
        // Without it answers only come later; the connection is good all the same.
        let _ = stream.set_nodelay(true);
        Ok(shared(stream))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(SharedTcpStream, Peek)> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(shared(stream))
    }
}

/// A stream, and what asks the system about it.
fn shared(stream: TcpStream) -> (SharedTcpStream, Peek) {
    let stream = Rc::new(stream);
    let peeked = stream.clone();
    let peek = Rc::new(move || loop {
        match SockRef::from(&*peeked).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return PeekResult::Empty,
            // Not known, so that nothing is concluded from it.
            Err(e) if is_resource_shortage(&e) => return PeekResult::Data,
            Ok(0) | Err(_) => return PeekResult::Closed,
            Ok(_) => return PeekResult::Data,
        }
    });
    (SharedTcpStream(stream), peek)
}
