//! A network on the system's sockets whose calls can be made to fail with errors that the system documents.

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

/// The system's sockets, with errors that a test can set and clear at any time. Numbers are values of errno.
#[derive(Clone, Default)]
pub struct FaultyNetwork {
    /// If set, accepting fails with this error.
    pub accept_error: Rc<Cell<Option<i32>>>,
    /// While `accept_error` is set, every n-th call succeeds all the same; 0 for none.
    pub accept_succeeds_every: Rc<Cell<u32>>,
    /// Calls of accept so far, whether or not they succeeded.
    accept_calls: Rc<Cell<u32>>,
    /// Connections for which accepting has failed so far.
    backlog: Rc<RefCell<VecDeque<(Accepted, Peek)>>>,
    /// If set, connecting fails with this error.
    pub connect_error: Rc<Cell<Option<i32>>>,
    /// If set, every other call on a stream fails with this error, beginning with the first.
    pub stream_error: Rc<Cell<Option<i32>>>,
}

type Accepted = <Tcp as Network>::Accepted;

/// A stream of [`FaultyNetwork`].
pub struct FaultyStream<S> {
    stream: S,
    stream_error: Rc<Cell<Option<i32>>>,
    calls: u64,
}

impl Network for FaultyNetwork {
    type Listener = TcpListener;
    type Accepted = FaultyStream<<Tcp as Network>::Accepted>;
    type Opened = FaultyStream<<Tcp as Network>::Opened>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        Tcp.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::Accepted, Peek)> {
        // As in the system, a call fails only once there is a connection to accept, which stays in the backlog.
        self.accept_calls.set(self.accept_calls.get() + 1);
        let succeeds_every = self.accept_succeeds_every.get();
        let succeeds = self.accept_error.get().is_none()
            || (succeeds_every > 0 && self.accept_calls.get() % succeeds_every == 0);
        if self.backlog.borrow().is_empty() || succeeds {
            let next = self.backlog.borrow_mut().pop_front();
            let (stream, peek) = match next {
                Some(accepted) => accepted,
                None => Tcp.accept(listener).await?,
            };
            if succeeds || self.accept_error.get().is_none() {
                return Ok((self.faulty_stream(stream), peek));
            }
            self.backlog.borrow_mut().push_front((stream, peek));
        }
        Err(Error::from_raw_os_error(self.accept_error.get().unwrap_or(0)))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Opened, Peek)> {
        if let Some(error) = self.connect_error.get() {
            return Err(Error::from_raw_os_error(error));
        }
        let (stream, peek) = Tcp.connect(address).await?;
        Ok((self.faulty_stream(stream), peek))
    }
}

impl FaultyNetwork {
    fn faulty_stream<S>(&self, stream: S) -> FaultyStream<S> {
        FaultyStream { stream, stream_error: self.stream_error.clone(), calls: 0 }
    }
}

impl<S> FaultyStream<S> {
    /// Counts a call, and returns the error that is set if this call is one that has to fail.
    fn fail_if_due(&mut self) -> io::Result<()> {
        self.calls += 1;
        match self.stream_error.get() {
            Some(error) if self.calls % 2 == 1 => Err(Error::from_raw_os_error(error)),
            _ => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FaultyStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.fail_if_due()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FaultyStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.fail_if_due()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
