//! The network abstraction: loopback sockets or in-memory pipes ([`crate::memory`]).

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A network on which the parties of a simulation listen and connect.
pub trait Fabric: Clone + 'static {
    /// A bidirectional byte stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A listener, closed when dropped.
    type Listener: 'static;
    /// A guard that makes connects to an address hang until it is dropped.
    type ConnectBlock: 'static;

    /// Listens at an address; fails with `AddrInUse` if there is a listener already.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;
    /// Accepts the next stream of a listener.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Opens a stream to an address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Closes a stream with a reset.
    fn reset(&self, stream: Self::Stream);
    /// Makes connects to an address without a listener hang instead of being refused.
    fn block_connects(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::ConnectBlock>>;
}

/// The sockets of the operating system, on 127.0.0.0/8.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loopback;

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

impl Fabric for Loopback {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type ConnectBlock = (TcpListener, Vec<TcpStream>);

    async fn bind(&self, address: SocketAddr) -> io::Result<TcpListener> {
        listen(address, 1024)
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
        // With a linger time of 0, closing the socket sends a reset. If the option cannot be set, the socket is
        // closed normally.
        let _ = stream.set_zero_linger();
    }

    /// Fills the backlog of a listener, so that the kernel does not answer further SYNs: connects hang as in a
    /// network partition.
    async fn block_connects(&self, address: SocketAddr) -> io::Result<Self::ConnectBlock> {
        let listener = listen(address, 0)?;
        let mut pending = Vec::new();
        while let Ok(connection) =
            tokio::time::timeout(std::time::Duration::from_millis(20), TcpStream::connect(address)).await
        {
            pending.push(connection?);
            if pending.len() > 4 {
                break;
            }
        }
        Ok((listener, pending))
    }
}
