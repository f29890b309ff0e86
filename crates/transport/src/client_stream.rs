//! A client's stream, owned by hyper but also observed from outside of it.
//!
//! hyper checks for the end of a stream only while it holds no unprocessed bytes. If a client sends
//! something after its request and then leaves, hyper would not notice before the answer is
//! written.

use super::request_framing::IncomingRequest;
use roseproxy_routing::time::Now;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Bytes read at a time from input that is discarded.
const DISCARD_CHUNK_BYTES: usize = 4096;
/// Discarding reads in one poll before the task yields to others.
const MAX_READS_PER_POLL: usize = 16;

/// The shared stream. All clones are polled by the same task, so the waker registered last wakes
/// all of them.
pub(super) struct ClientStream<S> {
    stream: Rc<RefCell<S>>,
    /// Since when a pending write has waited for the client to read (ms).
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
    /// Wraps a stream; `write_blocked_since` is kept up to date with the time since which a write
    /// has been blocked.
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
    /// Waits until the client of a request that has arrived whole has left, by an orderly close or a reset.
    /// Meanwhile bytes that follow the request are read and discarded; `incoming` counts them, and the
    /// connection then ends after the answer. While there is no such request this waits without reading.
    pub async fn wait_for_departure(&self, incoming: &IncomingRequest, request_whole: impl Fn() -> bool) {
        poll_fn(|cx| {
            for _ in 0..MAX_READS_PER_POLL {
                if !request_whole() {
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

    /// Shuts down the write side and reads on until the client has closed as well. If a socket is
    /// closed with unread input, the system sends a reset, which can destroy the answer just
    /// written.
    pub async fn shutdown_and_drain(&mut self) {
        let _ = self.shutdown().await;
        loop {
            match poll_fn(|cx| self.poll_discard(cx)).await {
                Ok(0) | Err(_) => return,
                Ok(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// Discards the input that is there, writes `response` and shuts down the write side. The input
    /// is read first because closing a socket with unread input sends a reset.
    pub async fn close_with(&mut self, response: &[u8]) -> io::Result<()> {
        poll_fn(|cx| {
            let mut reads = (0..MAX_READS_PER_POLL).map(|_| self.poll_discard(cx));
            Poll::Ready(reads.find(|read| !matches!(read, Poll::Ready(Ok(1..)))))
        })
        .await;
        self.write_all(response).await?;
        self.shutdown().await
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
