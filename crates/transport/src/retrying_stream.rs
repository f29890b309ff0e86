//! A stream that retries calls whose error says nothing about the connection: a signal interrupted
//! the call, or the system momentarily lacked memory or buffers.

use super::duration_from_ms;
use super::errno::{ENOBUFS, ENOMEM};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// Delay before a call is retried that failed for lack of a resource.
const RETRY_DELAY_MS: f64 = 2.0;
/// Retries in a row before such an error is returned.
const MAX_RETRIES: u32 = 250;

/// Whether an error reports a momentary shortage of system resources.
pub(super) fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOBUFS | ENOMEM))
}

/// The retrying stream.
#[derive(Debug)]
pub(super) struct RetryingStream<S> {
    stream: S,
    reads: RetryState,
    writes: RetryState,
}

impl<S> RetryingStream<S> {
    pub fn new(stream: S) -> RetryingStream<S> {
        RetryingStream { stream, reads: RetryState::default(), writes: RetryState::default() }
    }
}

/// Retry state of one direction, for calls that failed in a row.
#[derive(Debug, Default)]
struct RetryState {
    delay: Option<Pin<Box<Sleep>>>,
    retries: u32,
}

impl RetryState {
    /// Repeats a call until it succeeds, is pending, or fails for a reason that concerns the
    /// connection.
    fn retry<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if let Some(delay) = &mut self.delay {
                ready!(delay.as_mut().poll(cx));
                self.delay = None;
            }
            match call(cx) {
                Poll::Ready(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
                Poll::Ready(Err(e)) if is_resource_shortage(&e) && self.retries < MAX_RETRIES => {
                    self.retries += 1;
                    self.delay = Some(Box::pin(sleep(duration_from_ms(RETRY_DELAY_MS))));
                }
                result => {
                    self.retries = 0;
                    return result;
                }
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream { stream, reads, .. } = &mut *self;
        reads.retry(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.retry(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.retry(cx, |cx| Pin::new(&mut *stream).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.retry(cx, |cx| Pin::new(&mut *stream).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.retry(cx, |cx| Pin::new(&mut *stream).poll_shutdown(cx))
    }
}
