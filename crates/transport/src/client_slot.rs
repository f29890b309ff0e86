//! The record of one client connection: what its socket is used for, and whether it has to be given up.

use super::connection_state::{ConnectionState, PartialRequest};
use super::network::{Peek, PeekResult};
use super::request_framing::IncomingRequest;
use roseproxy_routing::flow::FlowId;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The listener's record of a client connection.
pub(super) struct ClientSlot {
    /// Inspects the unread input of the connection.
    pub peek: Peek,
    /// Since when no request is in progress (ms); `None` once the head of one has arrived.
    pub idle_since: Cell<Option<f64>>,
    /// Since when answer bytes have been waiting to be written (ms): an answer handed to hyper is
    /// not yet sent.
    pub write_blocked_since: Rc<Cell<Option<f64>>>,
    /// The earliest time at which the client may have connected (ms).
    earliest_connect_at: f64,
    /// How long the input of the first request may have waited to be read (ms): the client's time
    /// limit is already reduced by that much.
    pub read_delay: Cell<f64>,
    /// Whether a request has been answered.
    pub has_answered: Cell<bool>,
    /// The request being received.
    pub incoming: Rc<IncomingRequest>,
    /// The flow in progress, whose client may leave.
    pub open_flow: Cell<Option<FlowId>>,
    /// Whether a request, which may be whole, waits unread until there is memory for it.
    pub awaiting_memory: Cell<bool>,
    /// Whether memory has been set aside for a request whose body is still being read.
    pub reading_body: Cell<bool>,
    /// Whether input behind a whole request is discarded, to find out whether its client has left.
    pub discarding_input: Cell<bool>,
    /// Whether to close the connection as soon as it is unused, or after the next answer.
    pub close_requested: Cell<bool>,
    /// What the socket was used for when the connection, which had no complete request, was chosen
    /// to give it up for another client.
    eviction_requested: Cell<Option<ConnectionState>>,
    /// Since when the connection has ended and its input is discarded (ms).
    pub draining_since: Cell<Option<f64>>,
    /// Whether unread bytes may be left after the last answer.
    pub may_have_unread_input: Cell<bool>,
    /// Whether the answer given is the last on this connection.
    pub last_answer_given: Cell<bool>,
    /// Notifies the connection's own task to check whether the connection should end. The task checks
    /// again because the condition that caused the notification may no longer hold.
    pub recheck: Notify,
}

impl ClientSlot {
    /// Creates the record of a connection that gets its socket at `now` (ms), and whose client
    /// connected at `earliest_connect_at` (ms) or later.
    pub fn new(peek: Peek, earliest_connect_at: f64, now: f64) -> ClientSlot {
        // Input that is already there may have been sent as soon as the client connected.
        let has_input = peek() != PeekResult::Empty;
        let read_delay = if has_input { (now - earliest_connect_at).max(0.0) } else { 0.0 };
        ClientSlot {
            peek,
            idle_since: Cell::new(Some(now)),
            write_blocked_since: Rc::default(),
            earliest_connect_at,
            read_delay: Cell::new(read_delay),
            has_answered: Cell::new(false),
            incoming: Rc::default(),
            open_flow: Cell::new(None),
            awaiting_memory: Cell::new(false),
            reading_body: Cell::new(false),
            discarding_input: Cell::new(false),
            close_requested: Cell::new(false),
            eviction_requested: Cell::new(None),
            draining_since: Cell::new(None),
            may_have_unread_input: Cell::new(false),
            last_answer_given: Cell::new(false),
            recheck: Notify::new(),
        }
    }

    /// Whether nothing that the client has sent waits to be read.
    pub fn input_is_empty(&self) -> bool {
        (self.peek)() == PeekResult::Empty
    }

    /// Whether a request is in hand that has arrived whole and has no answer yet.
    pub fn has_whole_request(&self) -> bool {
        self.open_flow.get().is_some() || self.discarding_input.get()
    }

    /// The request that has arrived in part, if there is one.
    pub fn partial_request(&self) -> Option<PartialRequest> {
        Some(PartialRequest {
            started_at: self.incoming.started_at()? - self.read_delay.get(),
            last_input_at: self.incoming.last_input_at()?,
            longest_pause: self.incoming.longest_pause(),
            first_after_connect_at: (!self.has_answered.get()).then_some(self.earliest_connect_at),
        })
    }

    /// What the connection uses its socket for.
    pub fn state(&self) -> ConnectionState {
        if let Some(since) = self.draining_since.get() {
            return ConnectionState::Draining { since };
        }
        if let Some(blocked_since) = self.write_blocked_since.get() {
            return ConnectionState::Writing { blocked_since };
        }
        if self.has_whole_request() || self.awaiting_memory.get() {
            return ConnectionState::Processing;
        }
        if let Some(request) = self.partial_request() {
            return ConnectionState::Receiving(request);
        }
        match self.idle_since.get() {
            Some(since) if self.has_answered.get() => ConnectionState::Idle { since },
            Some(since) => ConnectionState::Silent { since, connected_at: self.earliest_connect_at },
            None => ConnectionState::Processing,
        }
    }

    /// Has the connection give up its socket for another client.
    pub fn request_eviction(&self) {
        match self.state() {
            state @ (ConnectionState::Silent { .. } | ConnectionState::Receiving(_)) => {
                self.eviction_requested.set(Some(state));
            }
            ConnectionState::Idle { .. } | ConnectionState::Draining { .. } => self.close_requested.set(true),
            ConnectionState::Processing | ConnectionState::Writing { .. } => {}
        }
        self.recheck.notify_one();
    }

    /// Whether an eviction was requested and nothing has arrived on the connection since. Input that
    /// waits to be read may complete the request.
    pub fn take_eviction(&self) -> bool {
        let requested = self.eviction_requested.take();
        requested.is_some_and(|state| state == self.state()) && self.input_is_empty()
    }

    /// Waits until this connection's socket is needed.
    pub async fn wait_for_close_request(&self) {
        while !self.close_requested.get() {
            self.recheck.notified().await;
        }
    }
}
