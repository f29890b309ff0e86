//! A stream that is looked at as its bytes pass: what came in on it, what may go out, and what the
//! other side of it has taken.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Who looks.
pub(super) trait Tap: Unpin {
    /// These bytes came in, one at least.
    fn on_read(&mut self, _bytes: &[u8]) {}

    /// Whether anything may be written now; the stream breaks else.
    fn may_write(&mut self) -> bool {
        true
    }

    /// So many bytes were taken.
    fn on_written(&mut self, _count: usize) {}
}

/// A stream with who looks at it.
#[derive(Debug)]
pub(super) struct TappedStream<S, T> {
    stream: S,
    tap: T,
}

impl<S, T> TappedStream<S, T> {
    pub fn new(stream: S, tap: T) -> TappedStream<S, T> {
        TappedStream { stream, tap }
    }
}

impl<S: AsyncRead + Unpin, T: Tap> AsyncRead for TappedStream<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let new = &buf.filled()[before..];
        if !new.is_empty() {
            self.tap.on_read(new);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, T: Tap> AsyncWrite for TappedStream<S, T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !self.tap.may_write() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.tap.on_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.tap.may_write() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.tap.on_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
