//! A client's stream, held by hyper and looked at from outside it.
//!
//! hyper looks for the end of a stream only while it holds no bytes that it has not used. A client that has sent
//! something behind its request and leaves would not be missed until its answer is written.

use super::request_framing::IncomingRequest;
use roseproxy_routing::time::Now;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

/// How much is read at a time of what nobody uses, and how often before others have their turn.
const DISCARD_CHUNK_BYTES: usize = 4096;
const MAX_READS_PER_POLL: usize = 16;

/// The stream. All who hold it are polled by one task, so that whoever waits last wakes all of them.
pub(super) struct ClientStream<S> {
    stream: Rc<RefCell<S>>,
    /// Since when something that is to be written waits for the client to read (ms).
    write_blocked_since: Rc<Cell<Option<f64>>>,
    now: Now,
}

impl<S> Clone for ClientStream<S> {
    fn clone(&self) -> Self {
        ClientStream {
            stream: self.stream.clone(),
            write_blocked_since: self.write_blocked_since.clone(),
            now: self.now.clone(),
        }
    }
}

impl<S> ClientStream<S> {
    /// The stream; `blocked_since` is told since when something waits to be written.
    pub fn new(stream: S, write_blocked_since: Rc<Cell<Option<f64>>>, now: Now) -> ClientStream<S> {
        ClientStream { stream: Rc::new(RefCell::new(stream)), write_blocked_since, now }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let since =
            written.is_pending().then(|| self.write_blocked_since.get().unwrap_or_else(|| (self.now)()));
        self.write_blocked_since.set(since);
        written
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientStream<S> {
    /// Waits until the client of an open flow has left, by an orderly end or a reset. Meanwhile it reads what
    /// comes behind the request and throws it away: `incoming` counts it, and the connection ends behind the
    /// answer then. While no flow is open it waits and reads nothing.
    pub async fn wait_for_departure(&self, incoming: &IncomingRequest, flow_open: impl Fn() -> bool) {
        poll_fn(|cx| {
            for _ in 0..MAX_READS_PER_POLL {
                if !flow_open() {
                    return Poll::Pending;
                }
                match self.poll_discard(cx) {
                    Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                    Poll::Ready(Ok(count)) => incoming.add_discarded(count),
                    Poll::Pending => return Poll::Pending,
                }
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    /// Ends the sending side and reads on until the client has closed too: a socket closed with bytes unread
    /// makes the system send a reset, which can destroy the answer just written.
    pub async fn shutdown_and_drain(&mut self) {
        let _ = self.shutdown().await;
        loop {
            match poll_fn(|cx| self.poll_discard(cx)).await {
                Ok(0) | Err(_) => return,
                Ok(_) => tokio::task::yield_now().await,
            }
        }
    }

    fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [0; DISCARD_CHUNK_BYTES];
        let mut buffer = ReadBuf::new(&mut space);
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buffer);
        read.map_ok(|()| buffer.filled().len())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
