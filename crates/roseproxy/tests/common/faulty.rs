//! The system's sockets with calls that fail, as the system documents that they may.

use roseproxy_transport::network::{Network, Peek, Tcp};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Error};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;

/// The system's sockets.
#[derive(Clone, Default)]
pub struct Faulty {
    /// Accepting fails with this error, where one is set.
    pub accepts: Rc<Cell<Option<i32>>>,
    /// Where accepting fails, one call in so many does not; 0 for none.
    pub accepts_one_in: Rc<Cell<u32>>,
    /// Calls that accepted, or failed to.
    calls: Rc<Cell<u32>>,
    /// Clients that could not be accepted yet.
    backlog: Rc<RefCell<VecDeque<(Accepted, Peek)>>>,
    /// Connecting fails with this error, where one is set.
    pub connects: Rc<Cell<Option<i32>>>,
    /// Every other call on a stream fails with this error first, where one is set.
    pub calls_fail: Rc<Cell<Option<i32>>>,
}

type Accepted = <Tcp as Network>::AcceptedStream;

/// A stream of it.
pub struct Failing<S> {
    stream: S,
    calls_fail: Rc<Cell<Option<i32>>>,
    calls: u64,
}

impl Network for Faulty {
    type Listener = TcpListener;
    type AcceptedStream = Failing<<Tcp as Network>::AcceptedStream>;
    type ConnectedStream = Failing<<Tcp as Network>::ConnectedStream>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        Tcp.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::AcceptedStream, Peek)> {
        // The system fails a call only once there is something to accept, which stays where it is.
        self.calls.set(self.calls.get() + 1);
        let one_in = self.accepts_one_in.get();
        let succeeds = self.accepts.get().is_none() || (one_in > 0 && self.calls.get() % one_in == 0);
        if self.backlog.borrow().is_empty() || succeeds {
            let next = self.backlog.borrow_mut().pop_front();
            let (stream, peek) = match next {
                Some(waiting) => waiting,
                None => Tcp.accept(listener).await?,
            };
            if succeeds || self.accepts.get().is_none() {
                return Ok((self.stream(stream), peek));
            }
            self.backlog.borrow_mut().push_front((stream, peek));
        }
        Err(Error::from_raw_os_error(self.accepts.get().unwrap_or(0)))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::ConnectedStream, Peek)> {
        if let Some(error) = self.connects.get() {
            return Err(Error::from_raw_os_error(error));
        }
        let (stream, peek) = Tcp.connect(address).await?;
        Ok((self.stream(stream), peek))
    }
}

impl Faulty {
    fn stream<S>(&self, stream: S) -> Failing<S> {
        Failing { stream, calls_fail: self.calls_fail.clone(), calls: 0 }
    }
}

impl<S> Failing<S> {
    fn fails(&mut self) -> io::Result<()> {
        self.calls += 1;
        match self.calls_fail.get() {
            Some(error) if self.calls % 2 == 1 => Err(Error::from_raw_os_error(error)),
            _ => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Failing<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.fails()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Failing<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.fails()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
