//! The listener: the application's connections and the requests on them.

use super::acceptor::{AcceptedClient, Acceptor};
use super::budget::{Budget, Permit};
use super::client_stream::ClientStream;
use super::counters::increment;
use super::event_loop_lag::{EventLoopLag, TICK_PERIOD_MS};
use super::gateway::Gateway;
use super::network::{Network, Peek, PeekResult};
use super::request_framing::{Framing, IncomingRequest, RequestTap};
use super::retrying_stream::RetryingStream;
use super::tap::TappedStream;
use super::{duration_from_ms, AbortOnDrop};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming as Body;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::answer::{end_connection, plain, to_client, turned_away, Reply};
use roseproxy_platform::request::{oversized, Malformed, Passing};
use roseproxy_platform::BODY_LIMIT;
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
const REQUEST_TIMEOUT_MS: f64 = 2_500.0;
/// What a body gets of that at least, where its head came late (ms).
const MIN_BODY_TIMEOUT_MS: f64 = 250.0;
/// How long a connection may stand idle between requests (ms): where more than half of the places are
/// taken, and else. Clients keep connections, and one that is quiet for a while should not find its
/// connection closed under its next request; but some keep theirs and never ask again.
const CROWDED_IDLE_TIMEOUT_MS: f64 = 2_000.0;
const IDLE_TIMEOUT_MS: f64 = 90_000.0;
/// How old a connection on which nothing was asked yet must be before it makes room or ends with the program (ms):
/// its first request may be under way.
const FIRST_REQUEST_GRACE_MS: f64 = 300.0;
/// How long what a client still sends is read behind the last answer (ms).
const LINGER_TIMEOUT_MS: f64 = 300.0;
/// How long a client may take nothing of an answer (ms): then it holds its place for nothing. It can tell that the
/// answer is not whole.
const ANSWER_STALL_TIMEOUT_MS: f64 = 5_000.0;
/// Longest head that is read; a larger one gets a 431.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How the listener takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// As usual.
    Open,
    /// Told to stop, while clients still come: as usual, but no longer ready.
    NotReady,
    /// Connections end with their present request.
    Closing,
}

/// A client's connection, as the listener sees it.
#[derive(Debug, Default)]
struct ConnectionSlot {
    /// Since when it has had nothing to do; `None` while a request is on it.
    idle_since: Cell<Option<f64>>,
    /// Since when an answer waits to be written (ms): an answer given is not yet an answer sent.
    write_blocked_since: Rc<Cell<Option<f64>>>,
    /// When its client may have connected at the earliest (ms).
    earliest_connect_at: Cell<f64>,
    /// How long what came on it first may have waited to be read (ms): that much of its client's time is gone.
    read_delay: Cell<f64>,
    /// Whether a whole head has come on it yet.
    had_request: Cell<bool>,
    /// What comes in.
    incoming: Rc<IncomingRequest>,
    /// The flow that is open on it, whose client may leave.
    open_flow: Cell<Option<FlowId>>,
    /// Whether it is to end as soon as nothing is on it, or behind the next answer.
    close_requested: Cell<bool>,
    /// Whether bytes may be left unread behind its last answer.
    may_have_unread_input: Cell<bool>,
    /// Whether the answer given is the last one on it.
    answered_last: Cell<bool>,
    /// Asks for a look whether it is to end. What was seen when this was asked may not hold any more: its own task
    /// looks again.
    recheck: Notify,
}

impl ConnectionSlot {
    /// Since when it has stood there with nothing asked, not even half, and no answer to be written.
    fn fully_idle_since(&self) -> Option<f64> {
        let busy = self.incoming.started_at().is_some() || self.write_blocked_since.get().is_some();
        self.idle_since.get().filter(|_| !busy)
    }

    /// Whether a request has taken too long to come whole, or the first one to come at all.
    fn request_overdue(&self, now: f64) -> bool {
        let Some(since) = self.idle_since.get() else { return false };
        let started_at = if self.had_request.get() {
            self.incoming.started_at()
        } else {
            Some(self.earliest_connect_at.get().min(since))
        };
        started_at.is_some_and(|started_at| now - started_at >= REQUEST_TIMEOUT_MS)
    }

    /// Whether its client has not read on for too long.
    fn answer_stalled(&self, now: f64) -> bool {
        self.write_blocked_since.get().is_some_and(|since| now - since >= ANSWER_STALL_TIMEOUT_MS)
    }

    /// It ends as soon as nothing is on it.
    fn request_close(&self) {
        self.close_requested.set(true);
        self.recheck.notify_one();
    }

    /// Waits until its place is wanted.
    async fn wait_for_close_request(&self) {
        while !self.close_requested.get() {
            self.recheck.notified().await;
        }
    }
}

/// The client side.
pub struct Listener<N> {
    gateway: Rc<Gateway<N>>,
    budget: Budget,
    slots: RefCell<BTreeMap<u64, Rc<ConnectionSlot>>>,
    last_slot_id: Cell<u64>,
    slot_freed: Notify,
    phase: Cell<Phase>,
    accepted_at: Cell<f64>,
    acceptor: Acceptor,
    event_loop_lag: EventLoopLag,
    /// Prints the counters.
    render_counters: Rc<dyn Fn() -> String>,
}

impl<N: Network> Listener<N> {
    /// A listener for this gateway's clients.
    pub fn new(gateway: Rc<Gateway<N>>, budget: Budget, counters: Rc<dyn Fn() -> String>) -> Rc<Listener<N>> {
        let accepted_at = Cell::new(gateway.now());
        let acceptor = Acceptor::new(gateway.now());
        let event_loop_lag = EventLoopLag::new(gateway.now());
        Rc::new(Listener {
            gateway,
            budget,
            slots: RefCell::default(),
            last_slot_id: Cell::new(0),
            slot_freed: Notify::new(),
            phase: Cell::new(Phase::Open),
            accepted_at,
            acceptor,
            event_loop_lag,
            render_counters: counters,
        })
    }

    /// Accepts connections as long as the program runs.
    pub async fn run(self: Rc<Self>, socket: N::Listener) {
        let _limits: AbortOnDrop = tokio::task::spawn_local(self.clone().enforce_timeouts()).into();
        loop {
            let accepted = self.acceptor.accept(self.gateway.network(), &socket, || self.gateway.now()).await;
            match accepted {
                Ok(accepted) => self.clone().assign_slot(accepted).await,
                // Descriptors may be out, or the client has left again: neither ends the listener.
                Err(_) => {
                    increment(&self.gateway.counters.accept_errors);
                    let pause_ms = self.acceptor.pause_ms();
                    if pause_ms > 0.0 {
                        tokio::time::sleep(duration_from_ms(pause_ms)).await;
                    }
                }
            }
        }
    }

    /// Waits for a place for a connection, and serves it there.
    async fn assign_slot(self: Rc<Self>, accepted: AcceptedClient<N::AcceptedStream>) {
        increment(&self.gateway.counters.clients_accepted);
        self.accepted_at.set(self.gateway.now());
        // Only now: room made for a client that never comes would cost another its connection.
        let permit = self.acquire_permit().await;
        let slot_id = self.last_slot_id.get() + 1;
        self.last_slot_id.set(slot_id);
        let (slot, now) = (Rc::new(ConnectionSlot::default()), self.gateway.now());
        slot.idle_since.set(Some(now));
        slot.earliest_connect_at.set(accepted.earliest_connect_at);
        // What is there already may have been sent as soon as the client connected.
        let unread = (accepted.peek)() != PeekResult::Empty;
        slot.read_delay.set(if unread { (now - accepted.earliest_connect_at).max(0.0) } else { 0.0 });
        self.slots.borrow_mut().insert(slot_id, slot.clone());
        tokio::task::spawn_local(async move {
            self.serve(&slot, accepted.stream, accepted.peek).await;
            self.slots.borrow_mut().remove(&slot_id);
            drop(permit);
            self.slot_freed.notify_one();
        });
    }

    /// A place for one more connection; where all are taken, the one idle longest makes room.
    async fn acquire_permit(&self) -> Permit {
        loop {
            if let Some(permit) = self.budget.try_acquire() {
                return permit;
            }
            self.close_longest_idle();
            // The one chosen may have been asked something in this very moment: another one then.
            let _ = tokio::time::timeout(duration_from_ms(TICK_PERIOD_MS), self.slot_freed.notified()).await;
        }
    }

    /// Makes room: by a connection that never asked anything, before one of a client that may ask again; not by one
    /// that has only just come, as its first request is under way.
    fn close_longest_idle(&self) {
        let (slots, now) = (self.slots.borrow(), self.gateway.now());
        let idle =
            slots.values().filter_map(|s| s.fully_idle_since().map(|since| (s.had_request.get(), since, s)));
        let idle =
            idle.filter(|(had_request, since, _)| *had_request || now - since >= FIRST_REQUEST_GRACE_MS);
        if let Some((.., slot)) = idle.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            slot.request_close();
        }
    }

    /// Ends connections that hold a place for nothing.
    async fn enforce_timeouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(duration_from_ms(TICK_PERIOD_MS)).await;
            let now = self.gateway.now();
            self.event_loop_lag.tick(now);
            let slots = self.slots.borrow();
            let idle =
                if slots.len() * 2 > self.budget.limit() { CROWDED_IDLE_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
            for slot in slots.values() {
                let long = slot.fully_idle_since().is_some_and(|since| now - since >= idle);
                if long && !slot.close_requested.get() {
                    increment(&self.gateway.counters.clients_closed_idle);
                    slot.request_close();
                } else if slot.request_overdue(now)
                    || slot.answer_stalled(now)
                    || self.phase.get() == Phase::Closing
                {
                    slot.recheck.notify_one();
                }
            }
        }
    }

    /// Why a connection ends now, if it does. A request whose last byte is there is taken, read or not: only where nothing is
    /// being answered and nothing waits to be read or written may it be closed.
    fn close_reason(&self, slot: &ConnectionSlot, peek: &Peek) -> Option<CloseReason> {
        let now = self.gateway.now();
        if slot.answer_stalled(now) {
            return Some(CloseReason::Stalled);
        }
        let since = slot
            .idle_since
            .get()
            .filter(|_| slot.write_blocked_since.get().is_none() && peek() == PeekResult::Empty)?;
        if slot.request_overdue(now) {
            increment(&self.gateway.counters.requests_late);
            return Some(CloseReason::Late);
        }
        let closing = self.phase.get() == Phase::Closing
            && (slot.had_request.get() || now - since >= FIRST_REQUEST_GRACE_MS);
        let reason = if closing { CloseReason::Shutdown } else { CloseReason::Idle };
        (slot.fully_idle_since().is_some() && (slot.close_requested.get() || closing)).then_some(reason)
    }

    async fn serve(self: &Rc<Self>, slot: &Rc<ConnectionSlot>, stream: N::AcceptedStream, peek: Peek) {
        let tap =
            RequestTap { incoming: slot.incoming.clone(), now: self.gateway.clock(), limit: MAX_HEAD_BYTES };
        let write_blocked_since = slot.write_blocked_since.clone();
        let mut client_stream =
            ClientStream::new(RetryingStream::new(stream), write_blocked_since, self.gateway.clock());
        let stream = TappedStream::new(client_stream.clone(), tap);
        let service = service_fn(|request| self.clone().handle(slot.clone(), peek.clone(), request));
        let connection = http1::Builder::new()
            // `keep_limits` has the time: hyper's would run between requests too.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // hyper's half of it goes at the end of this block, and a flow that is open on it is told by its guard.
        {
            let mut connection = pin!(connection);
            let reason = loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {
                        break if slot.answered_last.get() { CloseReason::Answered } else { CloseReason::Client };
                    }
                    () = client_stream.wait_for_departure(&slot.incoming, || slot.open_flow.get().is_some()) => {
                        break CloseReason::Departed;
                    }
                    () = slot.recheck.notified() => {
                        if let Some(reason) = self.close_reason(slot, &peek) {
                            break reason;
                        }
                    }
                }
            };
            self.gateway.client_closed(reason, slot.open_flow.get());
        }
        // Half a request, or one that was turned away unread, has its rest still to come.
        if slot.may_have_unread_input.get() || slot.incoming.started_at().is_some() {
            tokio::select! {
                biased;
                _ = tokio::time::timeout(duration_from_ms(LINGER_TIMEOUT_MS), client_stream.shutdown_and_drain()) => {}
                // Its place is wanted.
                () = slot.wait_for_close_request() => {}
            }
        }
    }

    async fn handle(
        self: Rc<Self>,
        slot: Rc<ConnectionSlot>,
        peek: Peek,
        request: Request<Body>,
    ) -> Result<Reply, Infallible> {
        let started_at =
            slot.incoming.started_at().or(slot.idle_since.take()).unwrap_or_else(|| self.gateway.now());
        let sent_at = if slot.had_request.get() { started_at } else { started_at - slot.read_delay.get() };
        slot.idle_since.set(None);
        slot.had_request.set(true);
        let mut reply = match request.uri().path() {
            // The one that counts depends on the reader, and a body that ends early hides a request.
            _ if slot.incoming.framing() == Some(Framing::Both) => {
                let reason = "both Content-Length and Transfer-Encoding";
                self.reject(&slot, Malformed { status: StatusCode::BAD_REQUEST, reason })
            }
            "/health/ready" if self.phase.get() == Phase::Open && self.gateway.can_serve() => {
                plain(StatusCode::OK, "ready\n")
            }
            "/health/ready" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/health/counters" => plain(StatusCode::OK, (self.render_counters)()),
            "/health/events" => plain(StatusCode::OK, self.gateway.events()),
            _ => {
                let flow = self.handle_flow(sent_at, request, &slot, peek).await;
                flow.unwrap_or_else(|malformed| self.reject(&slot, malformed))
            }
        };
        // What came behind this request would be read unseen; a client that means it asks again.
        let no_trailing_bytes = slot.incoming.has_no_trailing_bytes();
        slot.may_have_unread_input.set(slot.may_have_unread_input.get() || !no_trailing_bytes);
        if !no_trailing_bytes || slot.close_requested.get() || self.phase.get() == Phase::Closing {
            end_connection(&mut reply);
        }
        slot.answered_last.set(reply.headers().contains_key(CONNECTION));
        slot.incoming.reset();
        slot.idle_since.set(Some(self.gateway.now()));
        Ok(reply)
    }

    fn reject(&self, slot: &ConnectionSlot, malformed: Malformed) -> Reply {
        slot.may_have_unread_input.set(true);
        increment(&self.gateway.counters.requests_malformed);
        turned_away(malformed)
    }

    async fn handle_flow(
        &self,
        sent_at: f64,
        request: Request<Body>,
        slot: &ConnectionSlot,
        peek: Peek,
    ) -> Result<Reply, Malformed> {
        let too_large = Malformed { status: StatusCode::PAYLOAD_TOO_LARGE, reason: "the body is too large" };
        let (parts, body) = request.into_parts();
        let mut new = self.gateway.classes.read(&parts)?;
        // The client's time counts from its sending.
        new.time_left -=
            slot.read_delay.take().max(self.event_loop_lag.possible_read_delay(self.gateway.now()));
        if oversized(&parts.headers) {
            return Err(too_large);
        }
        let read = Limited::new(body, BODY_LIMIT).collect();
        let timeout_ms = (sent_at + REQUEST_TIMEOUT_MS - self.gateway.now()).max(MIN_BODY_TIMEOUT_MS);
        let body = match tokio::time::timeout(duration_from_ms(timeout_ms), read).await {
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
            self.gateway.start_flow(new, Passing::new(&parts, body), peek).ok_or(Malformed {
                status: StatusCode::CONFLICT,
                reason: "a request with this Request-Id is open",
            })?;
        let guard = FlowGuard { gateway: self.gateway.clone(), id };
        slot.open_flow.set(Some(id));
        // Routing answers every flow that it took; an answer that never comes is a failure all the same.
        let answer = answer.await.unwrap_or(roseproxy_routing::flow::Answer::Failed);
        slot.open_flow.set(None);
        drop(guard);
        Ok(to_client(answer))
    }

    /// Goes on to the next phase of the end.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        if phase == Phase::Closing {
            self.slots.borrow().values().for_each(|s| s.recheck.notify_one());
        }
    }

    /// Whether nothing is left to do: no connection, none that waits for a place, and none for this long (ms).
    pub fn is_idle_for(&self, millis: f64) -> bool {
        let none = self.acceptor.is_waiting() && self.slots.borrow().is_empty();
        none && self.gateway.now() - self.accepted_at.get() >= millis
    }
}

/// Tells routing when the client of a flow leaves: hyper then drops the request's future.
struct FlowGuard<N: Network> {
    gateway: Rc<Gateway<N>>,
    id: FlowId,
}

impl<N: Network> Drop for FlowGuard<N> {
    fn drop(&mut self) {
        self.gateway.client_gone(self.id);
    }
}
