//! Streams that count their bytes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes in both directions together.
#[derive(Debug, Default)]
pub struct ByteCount(Cell<u64>);

impl ByteCount {
    /// The number of bytes so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    fn add(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }
}

/// A stream that counts its bytes.
#[derive(Debug)]
pub struct Metered<S> {
    /// The underlying stream.
    pub inner: S,
    count: Rc<ByteCount>,
}

impl<S> Metered<S> {
    /// Wraps a stream; its count begins at 0.
    pub fn new(inner: S) -> Metered<S> {
        Metered { inner, count: Rc::default() }
    }

    /// The byte count of this stream.
    pub fn count(&self) -> Rc<ByteCount> {
        self.count.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.count.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes))?;
        self.count.add(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
