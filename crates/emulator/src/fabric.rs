//! The network abstraction: sockets on the loopback network, or pipes in memory ([`crate::memory`]).

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A network on which the parties of a simulation listen and connect.
pub trait Fabric: Clone + 'static {
    /// A stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A listener; dropping it closes it.
    type Listener: 'static;
    /// Keeps connects to an address hanging until it is dropped.
    type Mute: 'static;

    /// Listens at an address; the error is `AddrInUse` where somebody does.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;
    /// Waits for the next stream of a listener.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Opens a stream to an address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Resets a stream.
    fn reset(&self, stream: Self::Stream);
    /// Makes connects to an address without a listener hang instead of being refused.
    fn mute(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Mute>>;
}

/// The system's sockets on 127.0.0.0/8.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loopback;

fn socket(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

impl Fabric for Loopback {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Mute = (TcpListener, Vec<TcpStream>);

    async fn bind(&self, address: SocketAddr) -> io::Result<TcpListener> {
        socket(address, 1024)
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn reset(&self, stream: TcpStream) {
        // With no time to linger, a close is a reset. Where that can't be set, it ends all the same.
        let _ = stream.set_zero_linger();
    }

    /// Fills the backlog of a listener, which answers no further SYN: connects hang as in a partition.
    async fn mute(&self, address: SocketAddr) -> io::Result<Self::Mute> {
        let listener = socket(address, 0)?;
        let mut fillers = Vec::new();
        while let Ok(filler) =
            tokio::time::timeout(std::time::Duration::from_millis(20), TcpStream::connect(address)).await
        {
            fillers.push(filler?);
            if fillers.len() > 4 {
                break;
            }
        }
        Ok((listener, fillers))
    }
}
