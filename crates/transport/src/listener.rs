//! Accepts client connections and serves the requests on them.

use super::acceptor::{AcceptedClient, Acceptor};
use super::budget::{Budget, Permit};
use super::client_slot::ClientSlot;
use super::client_slots::{ClientSlots, INPUT_GRACE_MS};
use super::client_stream::ClientStream;
use super::connection_state::{ConnectionState, LINGER_TIMEOUT_MS};
use super::counters::increment;
use super::event_loop_lag::{EventLoopLag, TICK_PERIOD_MS};
use super::gateway::Gateway;
use super::memory::{MessageKind, MAX_HEAD_BYTES};
use super::memory_budget::Reservation;
use super::message_body::{accounted, discard_body, max_length, read_body, BodyError};
use super::network::Network;
use super::pending_flow::RequestMemory;
use super::request_framing::{Framing, RequestTap};
use super::retrying_stream::RetryingStream;
use super::tap::TappedStream;
use super::{duration_from_ms, AbortOnDrop};
use bytes::Bytes;
use hyper::body::Incoming as Body;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use roseproxy_platform::answer::{
    malformed_request, plain_text, set_connection_close, to_reply, Reply, LATE_REQUEST_RESPONSE,
    NO_SOCKET_RESPONSE,
};
use roseproxy_platform::request::{exceeds_body_limit, ForwardedRequest, Malformed};
use roseproxy_platform::MAX_BODY_BYTES;
use roseproxy_routing::event_log::{CloseReason, EventKind};
use roseproxy_routing::flow::{Answer, FlowId};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// Time limit for writing the last answer of a connection that the sidecar ends; a client may wait for its socket.
const REFUSAL_TIMEOUT_MS: f64 = 10.0;
/// How often in a row the close of a connection is put off by a turn of the event loop, to read what has arrived.
const MAX_DELAYED_CLOSES: u32 = 16;
/// How long a client has waited for a socket when that is recorded.
const LONG_WAIT_MS: f64 = 100.0;
/// Shortest time between two such records, which share the log's limit of lines with others.
const LONG_WAIT_RECORD_PERIOD_MS: f64 = 30_000.0;

/// Longest time for which input behind a request is discarded before the request is sent on. A client whose input
/// does not end sooner has not left.
const MAX_DISCARD_MS: f64 = 50.0;
/// Advice to a client whose request was refused for lack of memory (ms).
const MEMORY_RETRY_AFTER_MS: f64 = 100.0;
/// Why a request with a body beyond the platform's limit is rejected.
const TOO_LARGE: Malformed =
    Malformed { status: StatusCode::PAYLOAD_TOO_LARGE, reason: "the body is too large" };

/// Why a request is rejected that has the id of another one.
const ID_IN_USE: Malformed =
    Malformed { status: StatusCode::CONFLICT, reason: "a request with this Request-Id is open" };

/// How the listener treats new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Normal operation.
    Open,
    /// Shutdown has been requested but clients still connect: normal operation, except that
    /// readiness is reported as false.
    NotReady,
    /// Each connection ends with its current request.
    Closing,
}

/// The client side: accepts connections and serves their requests.
pub struct Listener<N> {
    gateway: Rc<Gateway<N>>,
    slots: Rc<ClientSlots>,
    phase: Cell<Phase>,
    accepted_at: Cell<f64>,
    /// When a client's long wait was last recorded (ms).
    long_wait_recorded_at: Cell<f64>,
    acceptor: Acceptor,
    event_loop_lag: EventLoopLag,
    /// Renders the counters as text.
    render_counters: Rc<dyn Fn() -> String>,
}

impl<N: Network> Listener<N> {
    /// Creates a listener for clients of this gateway.
    pub fn new(gateway: Rc<Gateway<N>>, budget: Budget, counters: Rc<dyn Fn() -> String>) -> Rc<Listener<N>> {
        let accepted_at = Cell::new(gateway.now());
        let acceptor = Acceptor::new(gateway.now());
        let event_loop_lag = EventLoopLag::new(gateway.now());
        let slots = ClientSlots::new(budget, gateway.clock());
        Rc::new(Listener {
            gateway,
            slots,
            phase: Cell::new(Phase::Open),
            accepted_at,
            long_wait_recorded_at: Cell::new(f64::NEG_INFINITY),
            acceptor,
            event_loop_lag,
            render_counters: counters,
        })
    }

    /// Accepts connections as long as the program runs.
    pub async fn run(self: Rc<Self>, socket: N::Listener) {
        let _timeout_task: AbortOnDrop = tokio::task::spawn_local(self.clone().enforce_timeouts()).into();
        loop {
            // A long queue must not keep other tasks from running.
            tokio::task::consume_budget().await;
            let accepted = self.acceptor.accept(self.gateway.network(), &socket, || self.gateway.now()).await;
            match accepted {
                Ok(accepted) => self.clone().assign_slot(accepted).await,
                // Descriptors may have run out, or the client has already left: neither ends the
                // listener.
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

    /// Waits for a client socket permit for an accepted connection, then serves the connection in a
    /// task of its own.
    async fn assign_slot(self: Rc<Self>, accepted: AcceptedClient<N::AcceptedStream>) {
        increment(&self.gateway.counters.clients_accepted);
        self.accepted_at.set(self.gateway.now());
        // Only after the accept: closing an idle connection in advance, for a client that never
        // comes, would cost another client its connection.
        let Some(permit) = self.acquire_permit(accepted.earliest_connect_at).await else {
            return self.turn_away(accepted.stream).await;
        };
        let slot = ClientSlot::new(accepted.peek, accepted.earliest_connect_at, self.gateway.now());
        let occupied = self.slots.occupy(slot, permit);
        tokio::task::spawn_local(async move {
            self.serve(&occupied.slot, accepted.stream).await;
        });
    }

    /// Acquires a socket for a client that connected at `earliest_connect_at` (ms) or later, unless
    /// none is freed in time.
    async fn acquire_permit(&self, earliest_connect_at: f64) -> Option<Permit> {
        if let Some(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let mut make_room = pin!(self.slots.make_room(earliest_connect_at));
        let permit = match tokio::time::timeout(duration_from_ms(LONG_WAIT_MS), &mut make_room).await {
            Ok(permit) => permit,
            Err(_) => {
                self.record_long_wait();
                make_room.await
            }
        };
        self.gateway.counters.count_wait(self.gateway.now() - earliest_connect_at);
        permit
    }

    /// Refuses a client for which no socket was freed in time, whatever it has sent.
    async fn turn_away(&self, stream: N::AcceptedStream) {
        increment(&self.gateway.counters.clients_turned_away);
        let mut client_stream = ClientStream::new(stream, Rc::default(), self.gateway.clock());
        close_with(&mut client_stream, NO_SOCKET_RESPONSE).await;
    }

    /// Records what the sockets are used for while a client waits for one, at most once a period.
    fn record_long_wait(&self) {
        let now = self.gateway.now();
        if now - self.long_wait_recorded_at.get() >= LONG_WAIT_RECORD_PERIOD_MS {
            self.long_wait_recorded_at.set(now);
            self.gateway.record(EventKind::ClientWaits(self.slots.socket_use()));
        }
    }

    /// Closes connections that hold a socket without using it.
    async fn enforce_timeouts(self: Rc<Self>) {
        loop {
            tokio::time::sleep(duration_from_ms(TICK_PERIOD_MS)).await;
            let now = self.gateway.now();
            self.event_loop_lag.tick(now);
            let crowded = self.slots.is_crowded();
            self.slots.for_each(|slot| {
                if slot.state().is_overdue(now, crowded) || self.phase.get() == Phase::Closing {
                    slot.recheck.notify_one();
                }
            });
        }
    }

    /// Why a connection should end, if it should: nothing is being answered on it, or its client does
    /// not read its answer.
    fn close_reason(&self, slot: &ClientSlot) -> Option<CloseReason> {
        let now = self.gateway.now();
        let state = slot.state();
        let overdue = state.is_overdue(now, self.slots.is_crowded());
        if overdue && matches!(state, ConnectionState::Writing { .. }) {
            return Some(CloseReason::Stalled);
        }
        if slot.take_eviction() {
            return Some(CloseReason::Evicted);
        }
        // While a request is handled, `until_body_deadline` enforces the deadline.
        slot.idle_since.get()?;
        let closing = self.phase.get() == Phase::Closing;
        match state {
            ConnectionState::Receiving(_) if overdue => Some(CloseReason::Late),
            ConnectionState::Silent { .. } | ConnectionState::Idle { .. } if overdue => {
                Some(CloseReason::Idle)
            }
            ConnectionState::Idle { .. } if closing => Some(CloseReason::Shutdown),
            ConnectionState::Silent { since, .. } if closing && now - since >= INPUT_GRACE_MS => {
                Some(CloseReason::Shutdown)
            }
            ConnectionState::Silent { .. } | ConnectionState::Idle { .. } if slot.close_requested.get() => {
                Some(CloseReason::Idle)
            }
            _ => None,
        }
    }

    fn count_close(&self, slot: &ClientSlot, reason: CloseReason) {
        match reason {
            CloseReason::Late => increment(&self.gateway.counters.requests_late),
            CloseReason::Idle if !slot.close_requested.get() => {
                increment(&self.gateway.counters.clients_closed_idle);
            }
            _ => {}
        }
        self.gateway.client_closed(reason, slot.open_flow.get());
    }

    async fn serve(self: &Rc<Self>, slot: &Rc<ClientSlot>, stream: N::AcceptedStream) {
        let tap = RequestTap {
            incoming: slot.incoming.clone(),
            now: self.gateway.clock(),
            limit: MAX_HEAD_BYTES,
            held: self.gateway.memory.hold(MessageKind::Head),
        };
        let write_blocked_since = slot.write_blocked_since.clone();
        let mut client_stream =
            ClientStream::new(RetryingStream::new(stream), write_blocked_since, self.gateway.clock());
        let stream = TappedStream::new(client_stream.clone(), tap);
        let service = service_fn(|request| self.clone().handle(slot.clone(), request));
        let connection = http1::Builder::new()
            // `enforce_timeouts` applies the time limit: hyper's timeout would also run between
            // requests.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // hyper's half of the stream is dropped at the end of this block; the guard of an open flow
        // then reports the departure.
        let reason = {
            let mut connection = pin!(connection);
            let mut delayed_closes = 0;
            let reason = loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => {
                        break if slot.last_answer_given.get() { CloseReason::Answered } else { CloseReason::Client };
                    }
                    () = client_stream.wait_for_departure(&slot.incoming, || slot.has_whole_request()) => {
                        break CloseReason::Departed;
                    }
                    () = slot.recheck.notified() => match self.close_reason(slot) {
                        Some(reason) if reason == CloseReason::Stalled || slot.input_is_empty() => break reason,
                        // A request counts as accepted once its last byte has arrived, whether read or not.
                        Some(_) if delayed_closes < MAX_DELAYED_CLOSES => {
                            delayed_closes += 1;
                            slot.recheck.notify_one();
                            tokio::task::yield_now().await;
                        }
                        _ => delayed_closes = 0,
                    }
                }
            };
            self.count_close(slot, reason);
            reason
        };
        let now = self.gateway.now();
        slot.draining_since.set(Some(now));
        let partial_request = slot.partial_request();
        let mut linger_timeout_ms = LINGER_TIMEOUT_MS;
        match reason {
            CloseReason::Evicted => return close_with(&mut client_stream, NO_SOCKET_RESPONSE).await,
            CloseReason::Late => {
                close_with(&mut client_stream, LATE_REQUEST_RESPONSE).await;
                // Its client may read the answer only once it has written the rest.
                linger_timeout_ms = partial_request.map_or(LINGER_TIMEOUT_MS, |r| r.linger_timeout_ms(now));
            }
            _ => {}
        }
        // The rest of a partial request, or of one rejected before it was read, is still to arrive.
        if slot.may_have_unread_input.get() || partial_request.is_some() {
            self.linger(slot, &mut client_stream, linger_timeout_ms).await;
        }
    }

    /// Reads on after the last answer, for `timeout_ms` at most or until the socket is needed for another client.
    async fn linger<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        slot: &ClientSlot,
        client_stream: &mut ClientStream<S>,
        timeout_ms: f64,
    ) {
        let drained = tokio::time::timeout(duration_from_ms(timeout_ms), client_stream.shutdown_and_drain());
        tokio::select! {
            biased;
            _ = drained => {}
            () = slot.wait_for_close_request() => {}
        }
    }

    async fn handle(
        self: Rc<Self>,
        slot: Rc<ClientSlot>,
        request: Request<Body>,
    ) -> Result<Reply, Infallible> {
        let sent_at = slot.partial_request().map_or_else(|| self.gateway.now(), |partial| partial.started_at);
        slot.idle_since.set(None);
        let mut reply = match request.uri().path() {
            // Which of the two headers counts depends on the reader, and a body that ends early for
            // one of them hides another request.
            _ if slot.incoming.framing() == Some(Framing::Both) => {
                let reason = "both Content-Length and Transfer-Encoding";
                self.reject(&slot, Malformed { status: StatusCode::BAD_REQUEST, reason })
            }
            "/health/ready" if self.phase.get() == Phase::Open && self.gateway.can_serve() => {
                plain_text(StatusCode::OK, "ready\n")
            }
            "/health/ready" => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            // Short, and wanted just when memory is short.
            "/health/counters" => plain_text(StatusCode::OK, (self.render_counters)()),
            "/health/events" => self.own_text(self.gateway.events()),
            _ => {
                let flow = self.handle_flow(sent_at, request, &slot).await;
                flow.unwrap_or_else(|malformed| self.reject(&slot, malformed))
            }
        };
        // Bytes after this request would be read without inspection, so the connection ends; a
        // client that meant them as a request sends it again.
        let no_trailing_bytes = slot.incoming.has_no_trailing_bytes();
        slot.may_have_unread_input.set(slot.may_have_unread_input.get() || !no_trailing_bytes);
        if !no_trailing_bytes || slot.close_requested.get() || self.phase.get() == Phase::Closing {
            set_connection_close(&mut reply);
        }
        slot.last_answer_given.set(reply.headers().contains_key(CONNECTION));
        slot.incoming.reset();
        slot.has_answered.set(true);
        slot.read_delay.set(0.0);
        slot.idle_since.set(Some(self.gateway.now()));
        Ok(reply)
    }

    fn reject(&self, slot: &ClientSlot, malformed: Malformed) -> Reply {
        slot.may_have_unread_input.set(true);
        increment(&self.gateway.counters.requests_malformed);
        malformed_request(malformed)
    }

    async fn handle_flow(
        &self,
        sent_at: f64,
        request: Request<Body>,
        slot: &ClientSlot,
    ) -> Result<Reply, Malformed> {
        let (parts, body) = request.into_parts();
        let mut new = self.gateway.classes.read(&parts)?;
        // The client's time limit counts from the moment of sending.
        new.time_left -=
            slot.read_delay.get().max(self.event_loop_lag.possible_read_delay(self.gateway.now()));
        if exceeds_body_limit(&parts.headers) {
            return Err(TOO_LARGE);
        }
        let mut forwarded = ForwardedRequest::new(&parts);
        // From here on, while the rest of the request waits or arrives, no other may use its id.
        let Some(id_claim) = self.gateway.request_ids.claim(&forwarded.id) else {
            increment(&self.gateway.counters.requests_id_in_use);
            return Err(ID_IN_USE);
        };
        // The head's values share the read buffer, which would be kept for as long as the flow is open.
        drop(parts);
        let (head_bytes, body_bytes) = (forwarded.head_bytes(), max_length(&body, MAX_BODY_BYTES));
        let asked_at = self.gateway.now();
        let total = head_bytes + body_bytes + MAX_BODY_BYTES;
        let Some(mut reserved) = self.reserve_memory(slot, sent_at, total).await else {
            return Ok(self.refuse_for_memory(slot, body).await);
        };
        new.time_left -= self.gateway.now() - asked_at;
        let memory = RequestMemory {
            head: reserved.split_off(head_bytes),
            answer: reserved.split_off(MAX_BODY_BYTES),
        };
        slot.reading_body.set(true);
        let body = self.read_request_body(slot, body, reserved).await;
        slot.reading_body.set(false);
        forwarded.body = body?;
        new.time_left -= self.discard_input_behind(slot).await;
        let (id, answer) = self.gateway.start_flow(new, forwarded, id_claim, memory, slot.peek.clone());
        let guard = FlowGuard { gateway: self.gateway.clone(), id };
        slot.open_flow.set(Some(id));
        // Routing answers every flow that it accepted; a missing answer is a failure all the same.
        let answer = answer.await.unwrap_or(Answer::Failed);
        slot.open_flow.set(None);
        drop(guard);
        Ok(to_reply(answer))
    }

    /// Discards what waits unread behind a whole request: it hides whether the client has left, after which the request
    /// must not be sent on. A departure ends the connection and with it this future. Returns how long it took (ms).
    async fn discard_input_behind(&self, slot: &ClientSlot) -> f64 {
        let began_at = self.gateway.now();
        let mut elapsed_ms = 0.0;
        while (slot.peek)().has_data() && elapsed_ms < MAX_DISCARD_MS {
            slot.discarding_input.set(true);
            tokio::task::yield_now().await;
            elapsed_ms = self.gateway.now() - began_at;
        }
        slot.discarding_input.set(false);
        elapsed_ms
    }

    /// Reserves the memory of a request of which the first byte was sent at `sent_at` (ms). Until there is enough, the
    /// rest of the request waits unread. Returns `None` if there is not enough in time.
    async fn reserve_memory(&self, slot: &ClientSlot, sent_at: f64, bytes: usize) -> Option<Reservation> {
        let budget = &self.gateway.memory_budget;
        if let Some(reservation) = budget.try_reserve(bytes) {
            return Some(reservation);
        }
        increment(&self.gateway.counters.requests_waited_for_memory);
        slot.awaiting_memory.set(true);
        let reservation = self.slots.make_room_in_memory(slot, sent_at, budget.reserve(bytes)).await;
        slot.awaiting_memory.set(false);
        reservation
    }

    /// Refuses a request for which there is no memory. Its body is read to the end without being kept: a client may
    /// read its answer only once it has written everything.
    async fn refuse_for_memory(&self, slot: &ClientSlot, body: Body) -> Reply {
        let discarded = self.until_body_deadline(slot, discard_body(body, MAX_BODY_BYTES)).await;
        let mut reply = self.memory_refusal();
        if !matches!(discarded, Some(Ok(()))) {
            slot.may_have_unread_input.set(true);
            set_connection_close(&mut reply);
        }
        reply
    }

    fn memory_refusal(&self) -> Reply {
        increment(&self.gateway.counters.requests_refused_for_memory);
        to_reply(Answer::Refused { retry_after: MEMORY_RETRY_AFTER_MS })
    }

    /// Runs `read`, which reads the body of the request that arrives on this connection, until the body has to be whole.
    /// Returns `None` if it isn't by then.
    async fn until_body_deadline<T>(&self, slot: &ClientSlot, read: impl Future<Output = T>) -> Option<T> {
        let mut read = pin!(read);
        let began_at = self.gateway.now();
        loop {
            // Moves as the body arrives.
            let deadline = slot.partial_request()?.body_deadline(began_at);
            let left_ms = deadline - self.gateway.now();
            if left_ms <= 0.0 {
                return None;
            }
            if let Ok(result) = tokio::time::timeout(duration_from_ms(left_ms), &mut read).await {
                return Some(result);
            }
        }
    }

    /// Reads the body of the request that arrives on this connection into reserved memory.
    async fn read_request_body(
        &self,
        slot: &ClientSlot,
        body: Body,
        reserved: Reservation,
    ) -> Result<Bytes, Malformed> {
        let held = self.gateway.memory.hold(MessageKind::RequestBody).with_reservation(reserved);
        let read = read_body(body, MAX_BODY_BYTES, held);
        let malformed = |status, reason| Malformed { status, reason };
        match self.until_body_deadline(slot, read).await {
            Some(Ok(body)) => Ok(body),
            Some(Err(BodyError::TooLarge)) => Err(TOO_LARGE),
            Some(Err(BodyError::Broken)) => Err(malformed(StatusCode::BAD_REQUEST, "the body is not whole")),
            None => Err(malformed(StatusCode::REQUEST_TIMEOUT, "the body is late")),
        }
    }

    /// Answers with a text of this sidecar's own, which takes memory until its client has read it.
    fn own_text(&self, text: String) -> Reply {
        let Some(reservation) = self.gateway.memory_budget.try_reserve(text.len()) else {
            return self.memory_refusal();
        };
        let held = self.gateway.memory.hold(MessageKind::Answer).with_reservation(reservation);
        plain_text(StatusCode::OK, accounted(text.into_bytes(), held))
    }

    /// Moves on to the given phase of shutdown.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        if phase == Phase::Closing {
            self.slots.for_each(|slot| slot.recheck.notify_one());
        }
    }

    /// Whether there is nothing left to do: no open connection, none waiting to be accepted or for
    /// a permit, and none accepted for `millis`.
    pub fn is_idle_for(&self, millis: f64) -> bool {
        let no_connections = self.acceptor.is_waiting() && self.slots.is_empty();
        no_connections && self.gateway.now() - self.accepted_at.get() >= millis
    }
}

/// Answers with `response` and ends the connection, whatever its client has sent.
async fn close_with<S: AsyncRead + AsyncWrite + Unpin>(client_stream: &mut ClientStream<S>, response: &[u8]) {
    // The runtime's budget must not leave input unread. The connection ends in any case.
    let closed = tokio::task::unconstrained(client_stream.close_with(response));
    let _ = tokio::time::timeout(duration_from_ms(REFUSAL_TIMEOUT_MS), closed).await;
}

/// Reports to routing that the client of a flow has left: hyper then drops the request's future.
struct FlowGuard<N: Network> {
    gateway: Rc<Gateway<N>>,
    id: FlowId,
}

impl<N: Network> Drop for FlowGuard<N> {
    fn drop(&mut self) {
        self.gateway.client_left(self.id);
    }
}
