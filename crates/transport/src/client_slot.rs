//! The record of one client connection: what its socket is used for, and whether its time is over.

use super::network::{Peek, PeekResult};
use super::request_framing::IncomingRequest;
use roseproxy_routing::flow::FlowId;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time within which a request must be complete after its first byte, and the first request of a
/// connection after its client connected. Guards against clients that hold a connection with an
/// incomplete request or with none. The platform's slowest usual client gives a request up sooner.
pub(super) const REQUEST_TIMEOUT_MS: f64 = 2_500.0;
/// How long a client may accept no bytes of an answer before its connection is closed, since it
/// holds a socket for nothing. The client can tell that the answer is incomplete.
const ANSWER_STALL_TIMEOUT_MS: f64 = 5_000.0;

/// What a client connection uses its socket for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Occupancy {
    /// The client has sent nothing so far.
    Silent {
        /// When the connection got its socket (ms).
        since: f64,
    },
    /// The connection is between requests, with no answer left to write.
    Idle {
        /// When the last request ended (ms).
        since: f64,
    },
    /// A request has arrived in part.
    Receiving {
        /// When a part of it last arrived (ms).
        last_input_at: f64,
        /// The longest time between two parts of it (ms).
        longest_pause: f64,
    },
    /// A request is being processed, or its answer is being written.
    Answering,
    /// The connection has ended, and what its client still sends is discarded.
    Draining {
        /// When the connection ended (ms).
        since: f64,
    },
}

/// The listener's record of a client connection.
pub(super) struct ClientSlot {
    /// Inspects the unread input of the connection.
    pub peek: Peek,
    /// Since when no request is in progress (ms); `None` during a request.
    pub idle_since: Cell<Option<f64>>,
    /// Since when answer bytes have been waiting to be written (ms): an answer handed to hyper is
    /// not yet sent.
    pub write_blocked_since: Rc<Cell<Option<f64>>>,
    /// The earliest time at which the client may have connected (ms).
    pub earliest_connect_at: f64,
    /// How long the first input may have waited to be read (ms): the client's time limit is already
    /// reduced by that much.
    pub read_delay: Cell<f64>,
    /// Whether a complete request head has been received.
    pub had_request: Cell<bool>,
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
    eviction_requested: Cell<Option<Occupancy>>,
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
            had_request: Cell::new(false),
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

    /// What the connection uses its socket for.
    pub fn occupancy(&self) -> Occupancy {
        if let Some(since) = self.draining_since.get() {
            return Occupancy::Draining { since };
        }
        let request_in_hand = self.has_whole_request() || self.awaiting_memory.get();
        if self.write_blocked_since.get().is_some() || request_in_hand {
            return Occupancy::Answering;
        }
        if let Some(last_input_at) = self.incoming.last_input_at() {
            let longest_pause = self.incoming.longest_pause();
            return Occupancy::Receiving { last_input_at, longest_pause };
        }
        match self.idle_since.get() {
            Some(since) if self.had_request.get() => Occupancy::Idle { since },
            Some(since) => Occupancy::Silent { since },
            None => Occupancy::Answering,
        }
    }

    /// Since when the connection has been idle: no request in progress, not even a partial one, and
    /// no answer left to write.
    pub fn fully_idle_since(&self) -> Option<f64> {
        match self.occupancy() {
            Occupancy::Silent { since } | Occupancy::Idle { since } => Some(since),
            Occupancy::Receiving { .. } | Occupancy::Answering | Occupancy::Draining { .. } => None,
        }
    }

    /// Whether a request has taken too long to arrive completely, or the first one to arrive at
    /// all.
    pub fn request_overdue(&self, now: f64) -> bool {
        let Some(since) = self.idle_since.get() else { return false };
        let started_at = if self.had_request.get() {
            self.incoming.started_at()
        } else {
            Some(self.earliest_connect_at.min(since))
        };
        started_at.is_some_and(|started_at| now - started_at >= REQUEST_TIMEOUT_MS)
    }

    /// Whether the client has accepted no answer bytes for too long.
    pub fn answer_stalled(&self, now: f64) -> bool {
        self.write_blocked_since.get().is_some_and(|since| now - since >= ANSWER_STALL_TIMEOUT_MS)
    }

    /// Closes the connection as soon as it is unused.
    pub fn request_close(&self) {
        self.close_requested.set(true);
        self.recheck.notify_one();
    }

    /// Has the connection give up its socket for another client.
    pub fn request_eviction(&self) {
        match self.occupancy() {
            occupancy @ (Occupancy::Silent { .. } | Occupancy::Receiving { .. }) => {
                self.eviction_requested.set(Some(occupancy));
            }
            Occupancy::Idle { .. } | Occupancy::Draining { .. } => self.close_requested.set(true),
            Occupancy::Answering => {}
        }
        self.recheck.notify_one();
    }

    /// Whether an eviction was requested and nothing has arrived on the connection since. Input that
    /// waits to be read may complete the request.
    pub fn take_eviction(&self) -> bool {
        let requested = self.eviction_requested.take();
        requested.is_some_and(|occupancy| occupancy == self.occupancy()) && self.input_is_empty()
    }

    /// Waits until this connection's socket is needed.
    pub async fn wait_for_close_request(&self) {
        while !self.close_requested.get() {
            self.recheck.notified().await;
        }
    }
}
