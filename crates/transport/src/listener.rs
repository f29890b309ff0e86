//! The listener: the application's connections and the requests on them.

use super::accepting::{Accepted, Acceptor};
use super::budget::{Budget, Permit};
use super::client::Client;
use super::gateway::Gateway;
use super::head::{Framing, Incoming, Watch};
use super::lateness::{Lateness, PERIOD};
use super::network::{Network, Peek, Unread};
use super::steady::Steady;
use super::tap::Tapped;
use super::traffic::count;
use super::{length, Task};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming as Body;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::answer::{malformed_request, plain_text, set_connection_close, to_reply, Reply};
use roseproxy_platform::request::{exceeds_body_limit, ForwardedRequest, Malformed};
use roseproxy_platform::MAX_BODY_BYTES;
use roseproxy_routing::event_log::CloseReason;
use roseproxy_routing::flow::FlowId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;

/// A request must be there whole this long after its first byte, and a new connection's first one this
/// long after its client connected (ms): against clients that hold a connection with half a request or
/// with none. The platform's slowest usual client gives a request up sooner.
const REQUEST_TIMEOUT: f64 = 2_500.0;
/// What a body gets of that at least, where its head came late (ms).
const BODY_TIMEOUT: f64 = 250.0;
/// How long a connection may stand idle between requests (ms): where more than half of the places are
/// taken, and else. Clients keep connections, and one that is quiet for a while should not find its
/// connection closed under its next request; but some keep theirs and never ask again.
const IDLE: (f64, f64) = (2_000.0, 90_000.0);
/// How old a connection on which nothing was asked yet must be before it makes room or ends with the program (ms):
/// its first request may be under way.
const FIRST: f64 = 300.0;
/// How long what a client still sends is read behind the last answer (ms).
const LINGER: f64 = 300.0;
/// How long a client may take nothing of an answer (ms): then it holds its place for nothing. It can tell that the
/// answer is not whole.
const ANSWER_STALL: f64 = 5_000.0;
/// Longest head that is read; a larger one gets a 431.
const HEAD_LIMIT: usize = 16 * 1024;

/// How the listener takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// As usual.
    Open,
    /// Told to stop, while clients still come: as usual, but no longer ready.
    Leaving,
    /// Connections end with their present request.
    Closing,
}

/// A client's connection, as the listener sees it.
#[derive(Debug, Default)]
struct Seat {
    /// Since when it has had nothing to do; `None` while a request is on it.
    idle_since: Cell<Option<f64>>,
    /// Since when an answer waits to be written (ms): an answer given is not yet an answer sent.
    blocked_since: Rc<Cell<Option<f64>>>,
    /// When its client may have connected at the earliest (ms).
    came: Cell<f64>,
    /// How long what came on it first may have waited to be read (ms): that much of its client's time is gone.
    waited: Cell<f64>,
    /// Whether a whole head has come on it yet.
    asked: Cell<bool>,
    /// What comes in.
    incoming: Rc<Incoming>,
    /// The flow that is open on it, whose client may leave.
    flow_open: Cell<Option<FlowId>>,
    /// Whether it is to end as soon as nothing is on it, or behind the next answer.
    unwanted: Cell<bool>,
    /// Whether bytes may be left unread behind its last answer.
    untidy: Cell<bool>,
    /// Whether the answer given is the last one on it.
    last_answer: Cell<bool>,
    /// Asks for a look whether it is to end. What was seen when this was asked may not hold any more: its own task
    /// looks again.
    look: Notify,
}

impl Seat {
    /// Since when it has stood there with nothing asked, not even half, and no answer to be written.
    fn idle(&self) -> Option<f64> {
        let busy = self.incoming.begun().is_some() || self.blocked_since.get().is_some();
        self.idle_since.get().filter(|_| !busy)
    }

    /// Whether a request has taken too long to come whole, or the first one to come at all.
    fn late(&self, now: f64) -> bool {
        let Some(since) = self.idle_since.get() else { return false };
        let begun = if self.asked.get() { self.incoming.begun() } else { Some(self.came.get().min(since)) };
        begun.is_some_and(|begun| now - begun >= REQUEST_TIMEOUT)
    }

    /// Whether its client has not read on for too long.
    fn stalled(&self, now: f64) -> bool {
        self.blocked_since.get().is_some_and(|since| now - since >= ANSWER_STALL)
    }

    /// It ends as soon as nothing is on it.
    fn end_soon(&self) {
        self.unwanted.set(true);
        self.look.notify_one();
    }

    /// Waits until its place is wanted.
    async fn given_up(&self) {
        while !self.unwanted.get() {
            self.look.notified().await;
        }
    }
}

/// The client side.
pub struct Listener<N> {
    gateway: Rc<Gateway<N>>,
    budget: Budget,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    last: Cell<u64>,
    freed: Notify,
    phase: Cell<Phase>,
    accepted_at: Cell<f64>,
    acceptor: Acceptor,
    lateness: Lateness,
    /// Prints the counters.
    counters: Rc<dyn Fn() -> String>,
}

impl<N: Network> Listener<N> {
    /// A listener for this gateway's clients.
    pub fn new(gateway: Rc<Gateway<N>>, budget: Budget, counters: Rc<dyn Fn() -> String>) -> Rc<Listener<N>> {
        let accepted_at = Cell::new(gateway.now());
        let acceptor = Acceptor::new(gateway.now());
        let lateness = Lateness::new(gateway.now());
        Rc::new(Listener {
            gateway,
            budget,
            seats: RefCell::default(),
            last: Cell::new(0),
            freed: Notify::new(),
            phase: Cell::new(Phase::Open),
            accepted_at,
            acceptor,
            lateness,
            counters,
        })
    }

    /// Accepts connections as long as the program runs.
    pub async fn run(self: Rc<Self>, socket: N::Listener) {
        let _limits: Task = tokio::task::spawn_local(self.clone().keep_limits()).into();
        loop {
            let accepted = self.acceptor.accept(self.gateway.network(), &socket, || self.gateway.now()).await;
            match accepted {
                Ok(accepted) => self.clone().seat(accepted).await,
                // Descriptors may be out, or the client has left again: neither ends the listener.
                Err(_) => {
                    count(&self.gateway.traffic.accept_errors);
                    let rest = self.acceptor.rest();
                    if rest > 0.0 {
                        tokio::time::sleep(length(rest)).await;
                    }
                }
            }
        }
    }

    /// Waits for a place for a connection, and serves it there.
    async fn seat(self: Rc<Self>, accepted: Accepted<N::Accepted>) {
        count(&self.gateway.traffic.accepted);
        self.accepted_at.set(self.gateway.now());
        // Only now: room made for a client that never comes would cost another its connection.
        let permit = self.room().await;
        let number = self.last.get() + 1;
        self.last.set(number);
        let (seat, now) = (Rc::new(Seat::default()), self.gateway.now());
        seat.idle_since.set(Some(now));
        seat.came.set(accepted.came);
        // What is there already may have been sent as soon as the client connected.
        let unread = (accepted.peek)() != Unread::Nothing;
        seat.waited.set(if unread { (now - accepted.came).max(0.0) } else { 0.0 });
        self.seats.borrow_mut().insert(number, seat.clone());
        tokio::task::spawn_local(async move {
            self.serve(&seat, accepted.stream, accepted.peek).await;
            self.seats.borrow_mut().remove(&number);
            drop(permit);
            self.freed.notify_one();
        });
    }

    /// A place for one more connection; where all are taken, the one idle longest makes room.
    async fn room(&self) -> Permit {
        loop {
            if let Some(permit) = self.budget.permit() {
                return permit;
            }
            self.close_idlest();
            // The one chosen may have been asked something in this very moment: another one then.
            let _ = tokio::time::timeout(length(PERIOD), self.freed.notified()).await;
        }
    }

    /// Makes room: by a connection that never asked anything, before one of a client that may ask again; not by one
    /// that has only just come, as its first request is under way.
    fn close_idlest(&self) {
        let (seats, now) = (self.seats.borrow(), self.gateway.now());
        let idle = seats.values().filter_map(|s| s.idle().map(|since| (s.asked.get(), since, s)));
        let idle = idle.filter(|(asked, since, _)| *asked || now - since >= FIRST);
        if let Some((.., seat)) = idle.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            seat.end_soon();
        }
    }

    /// Ends connections that hold a place for nothing.
    async fn keep_limits(self: Rc<Self>) {
        loop {
            tokio::time::sleep(length(PERIOD)).await;
            let now = self.gateway.now();
            self.lateness.tick(now);
            let seats = self.seats.borrow();
            let idle = if seats.len() * 2 > self.budget.limit() { IDLE.0 } else { IDLE.1 };
            for seat in seats.values() {
                let long = seat.idle().is_some_and(|since| now - since >= idle);
                if long && !seat.unwanted.get() {
                    count(&self.gateway.traffic.closed_idle);
                    seat.end_soon();
                } else if seat.late(now) || seat.stalled(now) || self.phase.get() == Phase::Closing {
                    seat.look.notify_one();
                }
            }
        }
    }

    /// Why a connection ends now, if it does. A request whose last byte is there is taken, read or not: only where nothing is
    /// being answered and nothing waits to be read or written may it be closed.
    fn ends(&self, seat: &Seat, peek: &Peek) -> Option<CloseReason> {
        let now = self.gateway.now();
        if seat.stalled(now) {
            return Some(CloseReason::Stalled);
        }
        let since = seat
            .idle_since
            .get()
            .filter(|_| seat.blocked_since.get().is_none() && peek() == Unread::Nothing)?;
        if seat.late(now) {
            count(&self.gateway.traffic.late_requests);
            return Some(CloseReason::Late);
        }
        let closing = self.phase.get() == Phase::Closing && (seat.asked.get() || now - since >= FIRST);
        let reason = if closing { CloseReason::Shutdown } else { CloseReason::Idle };
        (seat.idle().is_some() && (seat.unwanted.get() || closing)).then_some(reason)
    }

    async fn serve(self: &Rc<Self>, seat: &Rc<Seat>, stream: N::Accepted, peek: Peek) {
        let watch = Watch { incoming: seat.incoming.clone(), now: self.gateway.clock(), limit: HEAD_LIMIT };
        let blocked_since = seat.blocked_since.clone();
        let mut client = Client::new(Steady::new(stream), blocked_since, self.gateway.clock());
        let stream = Tapped::new(client.clone(), watch);
        let service = service_fn(|request| self.clone().handle(seat.clone(), peek.clone(), request));
        let connection = http1::Builder::new()
            // `keep_limits` has the time: hyper's would run between requests too.
            .header_read_timeout(None)
            .max_buf_size(HEAD_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        // hyper's half of it goes at the end of this block, and a flow that is open on it is told by its guard.
        {
            let mut connection = pin!(connection);
            let reason = loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {
                        break if seat.last_answer.get() { CloseReason::Answered } else { CloseReason::Client };
                    }
                    () = client.departed(&seat.incoming, || seat.flow_open.get().is_some()) => {
                        break CloseReason::Departed;
                    }
                    () = seat.look.notified() => {
                        if let Some(reason) = self.ends(seat, &peek) {
                            break reason;
                        }
                    }
                }
            };
            self.gateway.client_closed(reason, seat.flow_open.get());
        }
        // Half a request, or one that was turned away unread, has its rest still to come.
        if seat.untidy.get() || seat.incoming.begun().is_some() {
            tokio::select! {
                biased;
                _ = tokio::time::timeout(length(LINGER), client.linger()) => {}
                // Its place is wanted.
                () = seat.given_up() => {}
            }
        }
    }

    async fn handle(
        self: Rc<Self>,
        seat: Rc<Seat>,
        peek: Peek,
        request: Request<Body>,
    ) -> Result<Reply, Infallible> {
        let begun = seat.incoming.begun().or(seat.idle_since.take()).unwrap_or_else(|| self.gateway.now());
        let came = if seat.asked.get() { begun } else { begun - seat.waited.get() };
        seat.idle_since.set(None);
        seat.asked.set(true);
        let mut reply = match request.uri().path() {
            // The one that counts depends on the reader, and a body that ends early hides a request.
            _ if seat.incoming.framing() == Some(Framing::Both) => {
                let reason = "both Content-Length and Transfer-Encoding";
                self.turn_away(&seat, Malformed { status: StatusCode::BAD_REQUEST, reason })
            }
            "/health/ready" if self.phase.get() == Phase::Open && self.gateway.can_serve() => {
                plain_text(StatusCode::OK, "ready\n")
            }
            "/health/ready" => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/health/counters" => plain_text(StatusCode::OK, (self.counters)()),
            "/health/events" => plain_text(StatusCode::OK, self.gateway.events()),
            _ => {
                let flow = self.flow(came, request, &seat, peek).await;
                flow.unwrap_or_else(|malformed| self.turn_away(&seat, malformed))
            }
        };
        // What came behind this request would be read unseen; a client that means it asks again.
        let alone = seat.incoming.alone();
        seat.untidy.set(seat.untidy.get() || !alone);
        if !alone || seat.unwanted.get() || self.phase.get() == Phase::Closing {
            set_connection_close(&mut reply);
        }
        seat.last_answer.set(reply.headers().contains_key(CONNECTION));
        seat.incoming.begin_anew();
        seat.idle_since.set(Some(self.gateway.now()));
        Ok(reply)
    }

    fn turn_away(&self, seat: &Seat, malformed: Malformed) -> Reply {
        seat.untidy.set(true);
        count(&self.gateway.traffic.malformed);
        malformed_request(malformed)
    }

    async fn flow(
        &self,
        came: f64,
        request: Request<Body>,
        seat: &Seat,
        peek: Peek,
    ) -> Result<Reply, Malformed> {
        let too_large = Malformed { status: StatusCode::PAYLOAD_TOO_LARGE, reason: "the body is too large" };
        let (parts, body) = request.into_parts();
        let mut new = self.gateway.classes.read(&parts)?;
        // The client's time counts from its sending.
        new.time_left -= seat.waited.take().max(self.lateness.unread_for(self.gateway.now()));
        if exceeds_body_limit(&parts.headers) {
            return Err(too_large);
        }
        let read = Limited::new(body, MAX_BODY_BYTES).collect();
        let within = (came + REQUEST_TIMEOUT - self.gateway.now()).max(BODY_TIMEOUT);
        let body = match tokio::time::timeout(length(within), read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(too_large),
            Ok(Err(_)) => {
                return Err(Malformed { status: StatusCode::BAD_REQUEST, reason: "the body is not whole" })
            }
            Err(_) => {
                return Err(Malformed { status: StatusCode::REQUEST_TIMEOUT, reason: "the body is late" })
            }
        };
        let (id, answer) =
            self.gateway.take_in(new, ForwardedRequest::new(&parts, body), peek).ok_or(Malformed {
                status: StatusCode::CONFLICT,
                reason: "a request with this Request-Id is open",
            })?;
        let guard = Guard { gateway: self.gateway.clone(), id };
        seat.flow_open.set(Some(id));
        // Routing answers every flow that it took; an answer that never comes is a failure all the same.
        let answer = answer.await.unwrap_or(roseproxy_routing::flow::Answer::Failed);
        seat.flow_open.set(None);
        drop(guard);
        Ok(to_reply(answer))
    }

    /// Goes on to the next phase of the end.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        if phase == Phase::Closing {
            self.seats.borrow().values().for_each(|s| s.look.notify_one());
        }
    }

    /// Whether nothing is left to do: no connection, none that waits for a place, and none for this long (ms).
    pub fn quiet_for(&self, millis: f64) -> bool {
        let none = self.acceptor.awaits() && self.seats.borrow().is_empty();
        none && self.gateway.now() - self.accepted_at.get() >= millis
    }
}

/// Tells routing when the client of a flow leaves: hyper then drops the request's future.
struct Guard<N: Network> {
    gateway: Rc<Gateway<N>>,
    id: FlowId,
}

impl<N: Network> Drop for Guard<N> {
    fn drop(&mut self) {
        self.gateway.client_gone(self.id);
    }
}
