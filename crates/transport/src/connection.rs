//! One connection to a target: hyper's client, with accounting of the bytes written for each
//! request.

use super::answer_memory::AnswerMemory;
use super::memory::MAX_HEAD_BYTES;
use super::message_body::{discard_body, max_length, read_body};
use super::network::{Peek, PeekResult};
use super::retrying_stream::RetryingStream;
use super::tap::TappedStream;
use super::write_progress::{WriteObserver, WriteProgress};
use super::AbortOnDrop;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Response, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::request::OutgoingRequest;
use std::future::{pending, Future};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Open and unused: the next request may be sent.
    Idle,
    /// A request is in progress.
    Busy {
        /// Whether the request's last byte has been written; from then on the request may run.
        last_byte_written: bool,
    },
    /// No further request can be sent.
    Closed,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeResult {
    /// A complete answer was received. The body is only kept of a success.
    Answered(StatusCode, HeaderMap, Bytes),
    /// The connection failed, or what was received is not a valid answer.
    Broken {
        /// Whether the last byte of the request had been written.
        last_byte_written: bool,
    },
}

/// A connection to a target. Dropping it closes it, including any request in progress.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    write_progress: WriteProgress,
    /// The count of written bytes at which the current request is complete, while one is in
    /// progress.
    request_end: Option<u64>,
    peek: Peek,
    _driver: AbortOnDrop,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("state", &self.state()).finish_non_exhaustive()
    }
}

impl Connection {
    /// Starts HTTP on an open stream. `peek` inspects the stream itself, because the driver task
    /// may not have been notified of received data yet.
    pub async fn start<S>(stream: S, peek: Peek) -> Result<Connection, hyper::Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let write_progress = WriteProgress::default();
        let stream = TappedStream::new(RetryingStream::new(stream), write_progress.clone());
        let (sender, driver) =
            Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await?;
        // Errors of the driver surface in the exchange or as a closed connection.
        let driver = tokio::task::spawn_local(async move { drop(driver.await) });
        Ok(Connection { sender, write_progress, request_end: None, peek, _driver: driver.into() })
    }

    /// The current state.
    pub fn state(&self) -> ConnectionState {
        match self.request_end {
            Some(_) => ConnectionState::Busy { last_byte_written: self.last_byte_written() },
            // A request written after the peer's close would count as one that may have run. A
            // request written after unsolicited bytes would take them for its answer.
            None if self.sender.is_closed() || (self.peek)() != PeekResult::Empty => ConnectionState::Closed,
            None => ConnectionState::Idle,
        }
    }

    fn last_byte_written(&self) -> bool {
        self.request_end.is_some_and(|request_end| self.write_progress.written() >= request_end)
    }

    /// Sends a request and reads the complete answer. The request is sent once: if the connection
    /// turns out to be closed the exchange is broken, and nothing is resent behind the caller's
    /// back. The answer waits unread until `memory` provides for its body; the body of one that is no success is not
    /// kept.
    pub async fn exchange(&mut self, outgoing: OutgoingRequest, memory: &AnswerMemory) -> ExchangeResult {
        match self.send(outgoing).await {
            Ok(answer) => self.read_answer(answer, memory).await,
            Err(broken) => broken,
        }
    }

    /// Like [`Connection::exchange`], for a request that must not be written any further once
    /// `write_deadline` completes. If its last byte is not written by then, the request is aborted
    /// and never runs. `observer` is asked before each write and is notified of the progress.
    pub(super) async fn exchange_guarded(
        &mut self,
        outgoing: OutgoingRequest,
        write_deadline: impl Future<Output = ()>,
        observer: Rc<dyn WriteObserver>,
        memory: &AnswerMemory,
    ) -> ExchangeResult {
        let (written, request_end) =
            (self.write_progress.clone(), self.write_progress.written() + outgoing.length);
        self.write_progress.track(outgoing.length, observer);
        let aborted = async {
            write_deadline.await;
            if written.written() >= request_end {
                pending().await
            }
        };
        tokio::select! {
            biased;
            end = self.exchange(outgoing, memory) => end,
            () = aborted => ExchangeResult::Broken { last_byte_written: false },
        }
    }

    /// Sends a request and waits only for the head of the answer, for streamed answers.
    pub async fn send(&mut self, outgoing: OutgoingRequest) -> Result<Response<Incoming>, ExchangeResult> {
        // The driver may not have noticed yet that the previous answer was the last on this
        // connection. Without waiting for readiness hyper would refuse a request that it could
        // send.
        if self.sender.ready().await.is_err() {
            return Err(ExchangeResult::Broken { last_byte_written: false });
        }
        self.request_end = Some(self.write_progress.written() + outgoing.length);
        match self.sender.send_request(outgoing.request).await {
            // A target starts work once it has received the last byte. Anything it sends earlier is
            // not an answer to this request, and a request that never arrives completely never
            // runs.
            Ok(_) if !self.last_byte_written() => Err(self.broken()),
            Ok(answer) => Ok(answer),
            Err(_) => Err(self.broken()),
        }
    }

    async fn read_answer(&mut self, answer: Response<Incoming>, memory: &AnswerMemory) -> ExchangeResult {
        let (head, body) = answer.into_parts();
        // Not an answer to our request: status 101 would switch to another protocol, and a body
        // announced as larger than allowed is not waited for.
        let min_body_length = body.size_hint().lower();
        if head.status == StatusCode::SWITCHING_PROTOCOLS || min_body_length > memory.max_body_bytes as u64 {
            return self.broken();
        }
        // Guards against an endless body: no more is read than allowed.
        let body = match head.status {
            StatusCode::OK => read_success(body, memory).await,
            _ => discard_body(body, memory.max_body_bytes).await.ok().map(|()| Bytes::new()),
        };
        let Some(body) = body else { return self.broken() };
        self.request_end = None;
        ExchangeResult::Answered(head.status, head.headers, body)
    }

    fn broken(&mut self) -> ExchangeResult {
        ExchangeResult::Broken { last_byte_written: self.last_byte_written() }
    }

    /// Waits until the next request can be sent; returns false if the connection has ended.
    pub async fn wait_until_idle(&mut self) -> bool {
        self.request_end.is_none() && self.sender.ready().await.is_ok()
    }
}

/// Reads the body of a successful answer once there is memory for it.
async fn read_success(body: Incoming, memory: &AnswerMemory) -> Option<Bytes> {
    let held = memory.reserve(max_length(&body, memory.max_body_bytes)).await?;
    read_body(body, memory.max_body_bytes, held).await.ok()
}
