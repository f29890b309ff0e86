//! What streams are made of: sockets on the loopback network, or pipes in memory.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Where the emulator's streams come from.
pub trait Fabric: Clone + 'static {
    /// A stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A place where others connect.
    type Listener: 'static;
    /// Keeps connects to a place from coming up, as long as it lives.
    type Mute: 'static;

    /// Begins to listen.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;
    /// Waits for the next stream.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Opens a stream.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
    /// Ends a stream by a reset.
    fn reset(&self, stream: Self::Stream);
    /// Lets connects to a place, which must have no listener, hang in place of being refused.
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

    /// A listener whose queue is full answers no SYN: connects hang, as to a machine cut off.
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
