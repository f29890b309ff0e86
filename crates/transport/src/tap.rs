//! A stream wrapper that observes the bytes received, controls whether bytes may be written, and
//! observes the bytes that the underlying stream has accepted.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Observes a stream.
pub(super) trait Tap: Unpin {
    /// Called with bytes that were received; never empty.
    fn on_read(&mut self, _bytes: &[u8]) {}

    /// Whether anything may be written now; if not, the write fails and the stream breaks.
    fn may_write(&mut self) -> bool {
        true
    }

    /// Called with the number of bytes that were written.
    fn on_written(&mut self, _count: usize) {}
}

/// A stream with its observer.
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
