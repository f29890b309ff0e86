//! Byte accounting: how much of a request the socket has taken.

use super::tap::Tap;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How far a request has gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Milestone {
    /// Its first byte.
    Began,
    /// Its last byte.
    Whole,
}

/// Who answers for the writing of a request.
pub(super) trait Writing {
    /// Asked right before each write, until the request is whole: whether it may go on. What was checked before may not hold
    /// any more, as the connection's own task writes, maybe after a pause.
    fn may_go(&self) -> bool;

    /// A milestone was passed.
    fn passed(&self, milestone: Milestone);
}

/// The request that is going out, by the counts at which it passes its milestones.
struct Watched {
    before: u64,
    whole: u64,
    began: bool,
    writing: Rc<dyn Writing>,
}

/// Bytes that a connection has written; shared with whoever asks.
#[derive(Clone, Default)]
pub(super) struct Meter(Rc<Counts>);

#[derive(Default)]
struct Counts {
    written: Cell<u64>,
    watched: RefCell<Option<Watched>>,
}

impl Meter {
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Has `writing` answer for the next request, which takes so many bytes.
    pub fn watch(&self, length: u64, writing: Rc<dyn Writing>) {
        let before = self.written();
        let watched = Watched { before, whole: before + length, began: false, writing };
        *self.0.watched.borrow_mut() = Some(watched);
    }
}

/// What the socket takes counts; what hyper has buffered does not, and what it says of an error is not asked.
impl Tap for Meter {
    fn may_go(&mut self) -> bool {
        // Let go of first: who is asked may end the attempt.
        let writing = self.0.watched.borrow().as_ref().map(|watched| watched.writing.clone());
        writing.is_none_or(|writing| writing.may_go())
    }

    fn went(&mut self, count: usize) {
        self.0.written.set(self.written() + count as u64);
        let mut slot = self.0.watched.borrow_mut();
        let Some(watched) = slot.as_mut() else { return };
        if !watched.began && self.written() > watched.before {
            watched.began = true;
            watched.writing.passed(Milestone::Began);
        }
        if self.written() >= watched.whole {
            watched.writing.passed(Milestone::Whole);
            *slot = None;
        }
    }
}

/// A stream that can be asked while another holds it.
#[derive(Debug)]
pub struct Shared(pub(super) Rc<TcpStream>);

impl AsyncRead for Shared {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                // It was not ready after all: the next round waits.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Shared {
    fn poll_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncWrite for Shared {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        // One that the other side has closed already needs none.
        Poll::Ready(done.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }
}
