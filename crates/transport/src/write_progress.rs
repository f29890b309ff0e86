//! Write accounting: how much of a request the socket has accepted. Also the TCP stream shared
//! between hyper and whatever inspects the socket.

use super::tap::Tap;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Points in the writing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteStage {
    /// Its first byte has been written.
    FirstByte,
    /// Its last byte has been written.
    LastByte,
}

/// Controls and observes the writing of a request.
pub(super) trait WriteObserver {
    /// Asked right before each write until the request is complete: whether the writing may
    /// continue. Earlier checks may no longer hold, as the connection's own task does the writing,
    /// possibly after a pause.
    fn may_write(&self) -> bool;

    /// Called when a stage has been reached.
    fn on_stage(&self, stage: WriteStage);
}

/// The request being written, with the counts of written bytes at which it begins and is complete.
struct TrackedRequest {
    start: u64,
    end: u64,
    first_byte_written: bool,
    observer: Rc<dyn WriteObserver>,
}

/// Number of bytes that a connection has written; clones share the count.
#[derive(Clone, Default)]
pub(super) struct WriteProgress(Rc<State>);

#[derive(Default)]
struct State {
    written: Cell<u64>,
    tracked: RefCell<Option<TrackedRequest>>,
}

impl WriteProgress {
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Lets `observer` control the writing of the next request, which has `length` bytes.
    pub fn track(&self, length: u64, observer: Rc<dyn WriteObserver>) {
        let start = self.written();
        let tracked = TrackedRequest { start, end: start + length, first_byte_written: false, observer };
        *self.0.tracked.borrow_mut() = Some(tracked);
    }
}

/// Counts what the socket has accepted. Bytes buffered by hyper do not count, and hyper's errors
/// are not consulted.
impl Tap for WriteProgress {
    fn may_write(&mut self) -> bool {
        // Clone the observer first to release the borrow: the observer may end the attempt.
        let observer = self.0.tracked.borrow().as_ref().map(|tracked| tracked.observer.clone());
        observer.is_none_or(|observer| observer.may_write())
    }

    fn on_written(&mut self, count: usize) {
        self.0.written.set(self.written() + count as u64);
        let mut tracked_slot = self.0.tracked.borrow_mut();
        let Some(tracked) = tracked_slot.as_mut() else { return };
        if !tracked.first_byte_written && self.written() > tracked.start {
            tracked.first_byte_written = true;
            tracked.observer.on_stage(WriteStage::FirstByte);
        }
        if self.written() >= tracked.end {
            tracked.observer.on_stage(WriteStage::LastByte);
            *tracked_slot = None;
        }
    }
}

/// A TCP stream that can be inspected while another owner uses it.
#[derive(Debug)]
pub struct SharedTcpStream(pub(super) Rc<TcpStream>);

impl AsyncRead for SharedTcpStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                // The readiness was spurious: the next round waits again.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl SharedTcpStream {
    fn poll_write_call(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for SharedTcpStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_call(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        // If the peer has closed the connection already, no shutdown is needed.
        Poll::Ready(result.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }
}
