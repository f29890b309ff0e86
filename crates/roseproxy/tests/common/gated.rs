//! A network on the system's sockets with gates that hold back one kind of operation each, so that a test decides the
//! order in which two racing events happen.

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

/// Blocks the operations behind it while it is closed.
#[derive(Default)]
pub struct Gate {
    closed: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Gate {
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Opens the gate and wakes all operations that wait at it.
    pub fn open(&self) {
        self.closed.set(false);
        self.waiting.take().into_iter().for_each(Waker::wake);
    }

    /// Waits until the gate is open.
    pub async fn wait_until_open(&self) {
        poll_fn(|cx| self.poll(cx)).await;
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.closed.get() {
            self.waiting.borrow_mut().push(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

/// The system's sockets with gates before connects, before reads from and writes to clients, and before writes to
/// targets.
#[derive(Clone, Default)]
pub struct GatedNetwork {
    pub connects: Rc<Gate>,
    pub client_reads: Rc<Gate>,
    pub client_writes: Rc<Gate>,
    pub target_writes: Rc<Gate>,
    /// Replaces `client_writes` for the next client that is accepted.
    pub next_client_writes: Rc<RefCell<Option<Rc<Gate>>>>,
}

/// A stream whose reads and writes wait at gates.
pub struct GatedStream<S> {
    stream: S,
    reads: Rc<Gate>,
    writes: Rc<Gate>,
}

impl Network for GatedNetwork {
    type Listener = TcpListener;
    type Accepted = GatedStream<<Tcp as Network>::Accepted>;
    type Opened = GatedStream<<Tcp as Network>::Opened>;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        Tcp.listen(address).await
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(Self::Accepted, Peek)> {
        let (stream, peek) = Tcp.accept(listener).await?;
        let writes = self.next_client_writes.take().unwrap_or_else(|| self.client_writes.clone());
        Ok((GatedStream { stream, reads: self.client_reads.clone(), writes }, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(Self::Opened, Peek)> {
        self.connects.wait_until_open().await;
        let (stream, peek) = Tcp.connect(address).await?;
        Ok((GatedStream { stream, reads: Rc::default(), writes: self.target_writes.clone() }, peek))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.reads.poll(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
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
