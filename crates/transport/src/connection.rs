//! One connection to a target: hyper's client, with the bytes of each request counted.

use super::meter::{Meter, Writing};
use super::network::{Peek, Unread};
use super::steady::Steady;
use super::tap::Tapped;
use super::Task;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Response, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::request::OutgoingRequest;
use roseproxy_platform::MAX_BODY_BYTES;
use std::future::{pending, Future};
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
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
pub enum Exchange {
    /// A whole answer came.
    Answered(StatusCode, HeaderMap, Bytes),
    /// The connection broke, or what came was no answer.
    Broke {
        /// Whether the request's last byte had been written.
        last_byte_written: bool,
    },
}

/// A connection to a target. Dropping it closes it, whatever is on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    /// The count at which the present request is written whole, while one is out.
    whole_at: Option<u64>,
    peek: Peek,
    _driver: Task,
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
        let meter = Meter::default();
        let stream = Tapped::new(Steady::new(stream), meter.clone());
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        // What goes wrong on it shows in the exchange, or as a closed connection.
        let driver = tokio::task::spawn_local(async move { drop(driver.await) });
        Ok(Connection { sender, meter, whole_at: None, peek, _driver: driver.into() })
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        match self.whole_at {
            Some(_) => State::Busy { last_byte_written: self.last_byte_written() },
            // A request written after the close is one that may have run; one written behind bytes that
            // nobody asked for would take them for its answer.
            None if self.sender.is_closed() || (self.peek)() != Unread::Nothing => State::Closed,
            None => State::Idle,
        }
    }

    fn last_byte_written(&self) -> bool {
        self.whole_at.is_some_and(|whole| self.meter.written() >= whole)
    }

    /// Sends a request and reads its answer whole. It is sent once: a connection that turns out to be
    /// closed is an exchange that broke, with nothing sent again behind the caller's back.
    pub async fn exchange(&mut self, outgoing: OutgoingRequest) -> Exchange {
        self.exchange_up_to(outgoing, MAX_BODY_BYTES).await
    }

    /// The same for a request that must not be written on from some moment: where it is not whole then it is broken
    /// off, and never runs. `writing` is asked before each write, and told how far it went out.
    pub(super) async fn exchange_unless(
        &mut self,
        outgoing: OutgoingRequest,
        too_late: impl Future<Output = ()>,
        writing: Rc<dyn Writing>,
    ) -> Exchange {
        let (written, whole_at) = (self.meter.clone(), self.meter.written() + outgoing.length);
        self.meter.watch(outgoing.length, writing);
        let broken_off = async {
            too_late.await;
            if written.written() >= whole_at {
                pending().await
            }
        };
        tokio::select! {
            biased;
            end = self.exchange(outgoing) => end,
            () = broken_off => Exchange::Broke { last_byte_written: false },
        }
    }

    /// The same, with the longest body that is read.
    pub async fn exchange_up_to(&mut self, outgoing: OutgoingRequest, limit: usize) -> Exchange {
        match self.send(outgoing).await {
            Ok(answer) => self.read(answer, limit).await,
            Err(broke) => broke,
        }
    }

    /// Sends a request and waits for the head of its answer, for answers that are streams.
    pub async fn send(&mut self, outgoing: OutgoingRequest) -> Result<Response<Incoming>, Exchange> {
        // The driver may not have seen yet that the answer before was the last; without this, hyper
        // would refuse a request that it could send.
        if self.sender.ready().await.is_err() {
            return Err(Exchange::Broke { last_byte_written: false });
        }
        self.whole_at = Some(self.meter.written() + outgoing.length);
        match self.sender.send_request(outgoing.request).await {
            // A target begins once the last byte has come: what it says sooner is no answer to this request, and
            // one that never comes whole never runs.
            Ok(_) if !self.last_byte_written() => Err(self.broke()),
            Ok(answer) => Ok(answer),
            Err(_) => Err(self.broke()),
        }
    }

    async fn read(&mut self, answer: Response<Incoming>, limit: usize) -> Exchange {
        let (head, body) = answer.into_parts();
        // What is no answer to a request of ours: 101 hands the connection over to another protocol, and a
        // body said to be larger than the platform allows is not waited for.
        let stated = body.size_hint().lower();
        if head.status == StatusCode::SWITCHING_PROTOCOLS || stated > limit as u64 {
            return self.broke();
        }
        // Against a body without end: no more is read than the platform allows.
        match Limited::new(body, limit).collect().await {
            Ok(body) => {
                self.whole_at = None;
                Exchange::Answered(head.status, head.headers, body.to_bytes())
            }
            Err(_) => self.broke(),
        }
    }

    fn broke(&mut self) -> Exchange {
        Exchange::Broke { last_byte_written: self.last_byte_written() }
    }

    /// Waits until the next request can go out; false where the connection has ended.
    pub async fn settle(&mut self) -> bool {
        self.whole_at.is_none() && self.sender.ready().await.is_ok()
    }
}
