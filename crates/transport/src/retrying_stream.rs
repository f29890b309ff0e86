//! A stream whose calls are made again where their error says nothing of the connection: a signal interrupted them, or
//! the system had no memory or no buffer for them just then.

use super::duration_from_ms;
use super::errno::{ENOBUFS, ENOMEM};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// How long a call rests that failed for want of something (ms), and how often in a row it is made again.
const RETRY_DELAY_MS: f64 = 2.0;
const MAX_RETRIES: u32 = 250;

/// Whether an error says that the system is short of something for a moment.
pub(super) fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOBUFS | ENOMEM))
}

/// The stream.
#[derive(Debug)]
pub(super) struct RetryingStream<S> {
    stream: S,
    reads: Retry,
    writes: Retry,
}

impl<S> RetryingStream<S> {
    pub fn new(stream: S) -> RetryingStream<S> {
        RetryingStream { stream, reads: Retry::default(), writes: Retry::default() }
    }
}

/// The calls of one direction that failed in a row.
#[derive(Debug, Default)]
struct Retry {
    delay: Option<Pin<Box<Sleep>>>,
    retries: u32,
}

impl Retry {
    /// Makes a call until it succeeds, waits, or fails for a reason of its connection.
    fn call<T>(
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
        reads.call(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.call(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.call(cx, |cx| Pin::new(&mut *stream).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.call(cx, |cx| Pin::new(&mut *stream).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.call(cx, |cx| Pin::new(&mut *stream).poll_shutdown(cx))
    }
}
