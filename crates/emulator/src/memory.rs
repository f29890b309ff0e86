//! In-memory streams with the semantics of TCP: data, half closes, resets, refused and hanging connects.
//!
//! Transfers take no time: the simulation adds the delays, so that both fabrics have the same ones. All
//! streams live in one thread and wake their tasks in the order of the calls, so that runs are reproducible.

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

/// Capacity of one direction of a stream, about that of a socket's buffers.
pub const PIPE_CAPACITY_BYTES: usize = 128 * 1024;

/// One direction of a stream.
#[derive(Debug, Default)]
struct Pipe {
    buffer: BytesMut,
    /// The writing end was closed.
    writer_closed: bool,
    /// The reading end was dropped.
    reader_closed: bool,
    /// The stream was reset: buffered bytes can still be read, then reads fail.
    reset: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

/// Decrements a counter of live streams when dropped.
#[derive(Debug)]
struct StreamCount(Rc<Cell<usize>>);

impl Drop for StreamCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One end of an in-memory stream.
#[derive(Debug)]
pub struct MemoryStream {
    incoming: Rc<RefCell<Pipe>>,
    outgoing: Rc<RefCell<Pipe>>,
    count: Option<StreamCount>,
}

/// What the next read of a stream would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// No data yet; more may come.
    Empty,
    /// Data is buffered.
    Data,
    /// The stream has ended or was reset.
    Closed,
}

impl MemoryStream {
    /// Creates a stream and returns both ends.
    pub fn pair() -> (MemoryStream, MemoryStream) {
        let (left, right) = (Rc::<RefCell<Pipe>>::default(), Rc::<RefCell<Pipe>>::default());
        let first = MemoryStream { incoming: left.clone(), outgoing: right.clone(), count: None };
        (first, MemoryStream { incoming: right, outgoing: left, count: None })
    }

    /// Increments `counter`, which is decremented when this end is dropped.
    pub fn counted_in(mut self, counter: &Rc<Cell<usize>>) -> MemoryStream {
        counter.set(counter.get() + 1);
        self.count = Some(StreamCount(counter.clone()));
        self
    }

    /// Returns a function that tells what the next read would find.
    pub fn peek(&self) -> impl Fn() -> PeekResult {
        let incoming = self.incoming.clone();
        move || {
            let pipe = incoming.borrow();
            match pipe.buffer.is_empty() {
                _ if pipe.reset => PeekResult::Closed,
                false => PeekResult::Data,
                true if pipe.writer_closed => PeekResult::Closed,
                true => PeekResult::Empty,
            }
        }
    }

    /// Resets both directions.
    fn reset_both(&self) {
        for pipe in [&self.incoming, &self.outgoing] {
            let mut pipe = pipe.borrow_mut();
            pipe.reset = true;
            pipe.wake();
        }
    }
}

impl Drop for MemoryStream {
    fn drop(&mut self) {
        // As in TCP, closing with unread bytes resets the connection.
        if !self.incoming.borrow().buffer.is_empty() {
            self.reset_both();
        }
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.writer_closed = true;
        outgoing.wake();
        drop(outgoing);
        let mut incoming = self.incoming.borrow_mut();
        incoming.reader_closed = true;
        incoming.wake();
    }
}

impl AsyncRead for MemoryStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut pipe = self.incoming.borrow_mut();
        if !pipe.buffer.is_empty() {
            let len = pipe.buffer.len().min(buf.remaining());
            buf.put_slice(&pipe.buffer.split_to(len));
            if let Some(writer) = pipe.writer.take() {
                writer.wake();
            }
            return Poll::Ready(Ok(()));
        }
        if pipe.reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if pipe.writer_closed {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.outgoing.borrow_mut();
        if pipe.reset || pipe.writer_closed {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if pipe.reader_closed {
            // As with a TCP socket, the write succeeds; the peer answers it with a reset afterwards.
            drop(pipe);
            self.reset_both();
            return Poll::Ready(Ok(bytes.len()));
        }
        let free = PIPE_CAPACITY_BYTES.saturating_sub(pipe.buffer.len());
        if free == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let len = free.min(bytes.len());
        pipe.buffer.extend_from_slice(&bytes[..len]);
        if let Some(reader) = pipe.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(len))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut pipe = self.outgoing.borrow_mut();
        pipe.writer_closed = true;
        pipe.wake();
        Poll::Ready(Ok(()))
    }
}

/// The streams that a listener has not accepted yet.
#[derive(Debug, Default)]
struct AcceptQueue {
    queue: RefCell<VecDeque<MemoryStream>>,
    arrived: Notify,
}

/// The listeners and the blocked addresses of a network.
#[derive(Debug, Default)]
struct Network {
    listening: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    blocked: RefCell<BTreeMap<SocketAddr, Rc<Notify>>>,
}

/// An in-memory network; clones share the same network.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<Network>);

/// A listener in an in-memory network.
#[derive(Debug)]
pub struct MemoryListener {
    network: Rc<Network>,
    address: SocketAddr,
    accept_queue: Rc<AcceptQueue>,
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.network.listening.borrow_mut().remove(&self.address);
        for stream in self.accept_queue.queue.borrow_mut().drain(..) {
            stream.reset_both();
        }
    }
}

/// Makes connects to an address of an in-memory network hang until it is dropped.
#[derive(Debug)]
pub struct MemoryConnectBlock(Rc<Network>, SocketAddr);

impl Drop for MemoryConnectBlock {
    fn drop(&mut self) {
        if let Some(ended) = self.0.blocked.borrow_mut().remove(&self.1) {
            ended.notify_waiters();
        }
    }
}

impl Fabric for Memory {
    type Stream = MemoryStream;
    type Listener = MemoryListener;
    type ConnectBlock = MemoryConnectBlock;

    async fn bind(&self, address: SocketAddr) -> io::Result<MemoryListener> {
        let mut listening = self.0.listening.borrow_mut();
        if listening.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let accept_queue = Rc::<AcceptQueue>::default();
        listening.insert(address, accept_queue.clone());
        Ok(MemoryListener { network: self.0.clone(), address, accept_queue })
    }

    async fn accept(&self, listener: &MemoryListener) -> io::Result<MemoryStream> {
        loop {
            if let Some(stream) = listener.accept_queue.queue.borrow_mut().pop_front() {
                return Ok(stream);
            }
            listener.accept_queue.arrived.notified().await;
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<MemoryStream> {
        loop {
            let blocked = self.0.blocked.borrow().get(&address).cloned();
            match blocked {
                Some(ended) => ended.notified().await,
                None => break,
            }
        }
        let accept_queue = self.0.listening.borrow().get(&address).cloned();
        let accept_queue = accept_queue.ok_or_else(|| io::Error::from(ErrorKind::ConnectionRefused))?;
        let (ours, theirs) = MemoryStream::pair();
        accept_queue.queue.borrow_mut().push_back(theirs);
        accept_queue.arrived.notify_one();
        Ok(ours)
    }

    fn reset(&self, stream: MemoryStream) {
        stream.reset_both();
    }

    async fn block_connects(&self, address: SocketAddr) -> io::Result<MemoryConnectBlock> {
        self.0.blocked.borrow_mut().insert(address, Rc::default());
        Ok(MemoryConnectBlock(self.0.clone(), address))
    }
}
