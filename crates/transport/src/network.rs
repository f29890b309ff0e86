//! The narrow seam below the transport: how streams come into being, and whether one is quiet.
//!
//! Everything above it is generic in [`Network`], so that the program on real sockets pays nothing for
//! it, and a world in virtual time can stand below the very same listener, pool and watch.

use super::meter::Shared;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Whether nothing waits to be read on a stream, and its other end has not closed it.
pub type Quiet = Box<dyn Fn() -> bool>;

/// Where streams come from.
pub trait Network: Clone + 'static {
    /// A place where clients connect.
    type Listener: 'static;
    /// A client's stream.
    type Accepted: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A stream to a target or to discovery.
    type Opened: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Begins to listen.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Waits for the next client; with what tells whether its stream is quiet.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<(Self::Accepted, Quiet)>>;

    /// Opens a stream, with what tells whether it is quiet.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<(Self::Opened, Quiet)>>;
}

/// The system's sockets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Listener = TcpListener;
    type Accepted = Shared;
    type Opened = Shared;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Shared, Quiet)> {
        let (stream, _) = listener.accept().await?;
        // Without it answers only come later; the connection is good all the same.
        let _ = stream.set_nodelay(true);
        Ok(shared(stream))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Shared, Quiet)> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(shared(stream))
    }
}

/// A stream, and what asks the system whether it is quiet.
fn shared(stream: TcpStream) -> (Shared, Quiet) {
    let stream = Rc::new(stream);
    let peeked = stream.clone();
    let quiet = Box::new(move || loop {
        let peek = SockRef::from(&*peeked).peek(&mut [MaybeUninit::uninit()]);
        match peek {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            peek => return peek.is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        }
    });
    (Shared(stream), quiet)
}
