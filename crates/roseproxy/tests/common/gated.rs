//! The system's sockets with gates: each holds back one kind of event, so that two events cross in the order that a test
//! wants.

use roseproxy_transport::network::{Network, Peek, Tcp};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;

/// Holds back what comes to it while it is shut.
#[derive(Default)]
pub struct Gate {
    shut: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Gate {
    pub fn shut(&self) {
        self.shut.set(true);
    }

    pub fn open(&self) {
        self.shut.set(false);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Waits while it is shut.
    pub async fn passed(&self) {
        poll_fn(|cx| self.poll(cx)).await;
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.shut.get() {
            self.waiting.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

/// The system's sockets, with gates before what is opened, before what clients' streams bring in and take, and before what
/// targets' streams take.
#[derive(Clone, Default)]
pub struct Gated {
    pub connects: Rc<Gate>,
    pub reads: Rc<Gate>,
    pub answers: Rc<Gate>,
    pub sends: Rc<Gate>,
    /// A gate of its own, in place of `answers`, for the client that is accepted next.
    pub next_answers: Rc<RefCell<Option<Rc<Gate>>>>,
}

pub struct Held<S> {
    stream: S,
    reads: Rc<Gate>,
    writes: Rc<Gate>,
}

impl Network for Gated {
    type Listener = TcpListener;
    type AcceptedStream = Held<<Tcp as Network>::AcceptedStream>;
    type ConnectedStream = Held<<Tcp as Network>::ConnectedStream>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        Tcp.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::AcceptedStream, Peek)> {
        let (stream, peek) = Tcp.accept(listener).await?;
        let writes = self.next_answers.take().unwrap_or_else(|| self.answers.clone());
        Ok((Held { stream, reads: self.reads.clone(), writes }, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::ConnectedStream, Peek)> {
        self.connects.passed().await;
        let (stream, peek) = Tcp.connect(address).await?;
        Ok((Held { stream, reads: Rc::default(), writes: self.sends.clone() }, peek))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Held<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.reads.poll(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Held<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        std::task::ready!(self.writes.poll(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
