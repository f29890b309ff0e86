//! One connection to a target: hyper's client, with the bytes of each request counted.

use super::network::{Peek, PeekResult};
use super::retrying_stream::RetryingStream;
use super::tap::TappedStream;
use super::write_progress::{WriteObserver, WriteProgress};
use super::AbortOnDrop;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Response, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::request::Outgoing;
use roseproxy_platform::BODY_LIMIT;
use std::future::{pending, Future};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Open, with nothing on it: the next request may go out.
    Idle,
    /// A request is on it.
    Busy {
        /// Whether its last byte is written: from there on it may run.
        last_byte_written: bool,
    },
    /// Nothing goes out on it any more.
    Closed,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeResult {
    /// A whole answer came.
    Answered(StatusCode, HeaderMap, Bytes),
    /// The connection broke, or what came was no answer.
    Broken {
        /// Whether the request's last byte had been written.
        last_byte_written: bool,
    },
}

/// A connection to a target. Dropping it closes it, whatever is on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    write_progress: WriteProgress,
    /// The count at which the present request is written whole, while one is out.
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
    /// Starts speaking on an open stream; `peek` asks the stream itself, as the driver may not have been
    /// told yet what has come.
    pub async fn start<S>(stream: S, peek: Peek) -> Result<Connection, hyper::Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let write_progress = WriteProgress::default();
        let stream = TappedStream::new(RetryingStream::new(stream), write_progress.clone());
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        // What goes wrong on it shows in the exchange, or as a closed connection.
        let driver = tokio::task::spawn_local(async move { drop(driver.await) });
        Ok(Connection { sender, write_progress, request_end: None, peek, _driver: driver.into() })
    }

    /// Where it stands.
    pub fn state(&self) -> ConnectionState {
        match self.request_end {
            Some(_) => ConnectionState::Busy { last_byte_written: self.last_byte_written() },
            // A request written after the close is one that may have run; one written behind bytes that
            // nobody asked for would take them for its answer.
            None if self.sender.is_closed() || (self.peek)() != PeekResult::Empty => ConnectionState::Closed,
            None => ConnectionState::Idle,
        }
    }

    fn last_byte_written(&self) -> bool {
        self.request_end.is_some_and(|request_end| self.write_progress.written() >= request_end)
    }

    /// Sends a request and reads its answer whole. It is sent once: a connection that turns out to be
    /// closed is an exchange that broke, with nothing sent again behind the caller's back.
    pub async fn exchange(&mut self, outgoing: Outgoing) -> ExchangeResult {
        self.exchange_with_limit(outgoing, BODY_LIMIT).await
    }

    /// The same for a request that must not be written on from some moment: where it is not whole then it is broken
    /// off, and never runs. `writing` is asked before each write, and told how far it went out.
    pub(super) async fn exchange_guarded(
        &mut self,
        outgoing: Outgoing,
        write_deadline: impl Future<Output = ()>,
        observer: Rc<dyn WriteObserver>,
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
            end = self.exchange(outgoing) => end,
            () = aborted => ExchangeResult::Broken { last_byte_written: false },
        }
    }

    /// The same, with the longest body that is read.
    pub async fn exchange_with_limit(&mut self, outgoing: Outgoing, limit: usize) -> ExchangeResult {
        match self.send(outgoing).await {
            Ok(answer) => self.read_answer(answer, limit).await,
            Err(broken) => broken,
        }
    }

    /// Sends a request and waits for the head of its answer, for answers that are streams.
    pub async fn send(&mut self, outgoing: Outgoing) -> Result<Response<Incoming>, ExchangeResult> {
        // The driver may not have seen yet that the answer before was the last; without this, hyper
        // would refuse a request that it could send.
        if self.sender.ready().await.is_err() {
            return Err(ExchangeResult::Broken { last_byte_written: false });
        }
        self.request_end = Some(self.write_progress.written() + outgoing.length);
        match self.sender.send_request(outgoing.request).await {
            // A target begins once the last byte has come: what it says sooner is no answer to this request, and
            // one that never comes whole never runs.
            Ok(_) if !self.last_byte_written() => Err(self.broken()),
            Ok(answer) => Ok(answer),
            Err(_) => Err(self.broken()),
        }
    }

    async fn read_answer(&mut self, answer: Response<Incoming>, limit: usize) -> ExchangeResult {
        let (head, body) = answer.into_parts();
        // What is no answer to a request of ours: 101 hands the connection over to another protocol, and a
        // body said to be larger than the platform allows is not waited for.
        let min_body_length = body.size_hint().lower();
        if head.status == StatusCode::SWITCHING_PROTOCOLS || min_body_length > limit as u64 {
            return self.broken();
        }
        // Against a body without end: no more is read than the platform allows.
        match Limited::new(body, limit).collect().await {
            Ok(body) => {
                self.request_end = None;
                ExchangeResult::Answered(head.status, head.headers, body.to_bytes())
            }
            Err(_) => self.broken(),
        }
    }

    fn broken(&mut self) -> ExchangeResult {
        ExchangeResult::Broken { last_byte_written: self.last_byte_written() }
    }

    /// Waits until the next request can go out; false where the connection has ended.
    pub async fn wait_until_idle(&mut self) -> bool {
        self.request_end.is_none() && self.sender.ready().await.is_ok()
    }
}
