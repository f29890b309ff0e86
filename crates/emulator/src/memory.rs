//! Streams in memory that behave as TCP's do: data, half closes, resets, refused and silent connects.
//!
//! They take no time: delays belong to the simulation, so that both fabrics have the same ones. Everything is
//! in one thread and wakes in the order of the calls, so that equal runs go equal ways.

use crate::fabric::Fabric;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Bytes that one direction holds: about what a socket's buffers do.
pub const BUFFER: usize = 128 * 1024;

/// One direction.
#[derive(Debug, Default)]
struct Pipe {
    buffer: BytesMut,
    /// No more will be written.
    ended: bool,
    /// Nobody reads any more.
    unread: bool,
    /// It broke: what is buffered can still be read, then an error comes.
    broken: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

/// Counts the streams that somebody holds.
#[derive(Debug)]
struct Held(Rc<Cell<usize>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One end of a stream in memory.
#[derive(Debug)]
pub struct MemoryStream {
    incoming: Rc<RefCell<Pipe>>,
    outgoing: Rc<RefCell<Pipe>>,
    held: Option<Held>,
}

/// What waits to be read on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// Nothing, and more may come.
    Nothing,
    /// Bytes.
    Bytes,
    /// The end.
    End,
}

impl MemoryStream {
    /// Both ends of a new stream.
    pub fn pair() -> (MemoryStream, MemoryStream) {
        let (a, b) = (Rc::<RefCell<Pipe>>::default(), Rc::<RefCell<Pipe>>::default());
        let one = MemoryStream { incoming: a.clone(), outgoing: b.clone(), held: None };
        (one, MemoryStream { incoming: b, outgoing: a, held: None })
    }

    /// Counts it on this cell as long as it lives.
    pub fn counted(mut self, on: &Rc<Cell<usize>>) -> MemoryStream {
        on.set(on.get() + 1);
        self.held = Some(Held(on.clone()));
        self
    }

    /// Looks at what waits to be read.
    pub fn peek(&self) -> impl Fn() -> Waiting {
        let incoming = self.incoming.clone();
        move || {
            let pipe = incoming.borrow();
            match pipe.buffer.is_empty() {
                _ if pipe.broken => Waiting::End,
                false => Waiting::Bytes,
                true if pipe.ended => Waiting::End,
                true => Waiting::Nothing,
            }
        }
    }

    fn break_off(&self) {
        for pipe in [&self.incoming, &self.outgoing] {
            let mut pipe = pipe.borrow_mut();
            pipe.broken = true;
            pipe.wake();
        }
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        // Who closes with bytes unread resets, as TCP does.
        if !self.incoming.borrow().buffer.is_empty() {
            self.break_off();
        }
        let mut out = self.outgoing.borrow_mut();
        out.ended = true;
        out.wake();
        drop(out);
        let mut incoming = self.incoming.borrow_mut();
        incoming.unread = true;
        incoming.wake();
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut pipe = self.incoming.borrow_mut();
        if !pipe.buffer.is_empty() {
            let some = pipe.buffer.len().min(buf.remaining());
            buf.put_slice(&pipe.buffer.split_to(some));
            if let Some(writer) = pipe.writer.take() {
                writer.wake();
            }
            return Poll::Ready(Ok(()));
        }
        if pipe.broken {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if pipe.ended {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.outgoing.borrow_mut();
        if pipe.broken || pipe.ended {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if pipe.unread {
            // The socket takes it; the reset that it is answered with comes after.
            drop(pipe);
            self.break_off();
            return Poll::Ready(Ok(bytes.len()));
        }
        let room = BUFFER.saturating_sub(pipe.buffer.len());
        if room == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let some = room.min(bytes.len());
        pipe.buffer.extend_from_slice(&bytes[..some]);
        if let Some(reader) = pipe.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(some))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut pipe = self.outgoing.borrow_mut();
        pipe.ended = true;
        pipe.wake();
        Poll::Ready(Ok(()))
    }
}

#[derive(Debug, Default)]
struct Place {
    queue: RefCell<VecDeque<MemoryStream>>,
    came: Notify,
}

#[derive(Debug, Default)]
struct Places {
    listening: RefCell<BTreeMap<SocketAddr, Rc<Place>>>,
    muted: RefCell<BTreeMap<SocketAddr, Rc<Notify>>>,
}

/// A network in memory; clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<Places>);

/// A place in memory where others connect.
#[derive(Debug)]
pub struct MemoryListener {
    places: Rc<Places>,
    address: SocketAddr,
    place: Rc<Place>,
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.places.listening.borrow_mut().remove(&self.address);
        for stream in self.place.queue.borrow_mut().drain(..) {
            stream.break_off();
        }
    }
}

/// Keeps connects to a place in memory hanging.
#[derive(Debug)]
pub struct MemoryMute(Rc<Places>, SocketAddr);

impl Drop for MemoryMute {
    fn drop(&mut self) {
        if let Some(ended) = self.0.muted.borrow_mut().remove(&self.1) {
            ended.notify_waiters();
        }
    }
}

impl Fabric for Memory {
    type Stream = MemoryStream;
    type Listener = MemoryListener;
    type Mute = MemoryMute;

    async fn bind(&self, address: SocketAddr) -> io::Result<MemoryListener> {
        let mut listening = self.0.listening.borrow_mut();
        if listening.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let place = Rc::<Place>::default();
        listening.insert(address, place.clone());
        Ok(MemoryListener { places: self.0.clone(), address, place })
    }

    async fn accept(&self, listener: &MemoryListener) -> io::Result<MemoryStream> {
        loop {
            if let Some(stream) = listener.place.queue.borrow_mut().pop_front() {
                return Ok(stream);
            }
            listener.place.came.notified().await;
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<MemoryStream> {
        loop {
            let muted = self.0.muted.borrow().get(&address).cloned();
            match muted {
                Some(ended) => ended.notified().await,
                None => break,
            }
        }
        let place = self.0.listening.borrow().get(&address).cloned();
        let place = place.ok_or_else(|| io::Error::from(ErrorKind::ConnectionRefused))?;
        let (ours, theirs) = MemoryStream::pair();
        place.queue.borrow_mut().push_back(theirs);
        place.came.notify_one();
        Ok(ours)
    }

    fn reset(&self, stream: MemoryStream) {
        stream.break_off();
    }

    async fn mute(&self, address: SocketAddr) -> io::Result<MemoryMute> {
        self.0.muted.borrow_mut().insert(address, Rc::default());
        Ok(MemoryMute(self.0.clone(), address))
    }
}
