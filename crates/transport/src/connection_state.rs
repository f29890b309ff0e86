//! The states of a client connection and their time limits.

/// Time within which a request must be complete after its first byte. A client that has sent nothing, or stopped in the
/// middle of its first request, has as much from connecting. The platform's slowest usual client gives a request up
/// sooner.
const REQUEST_TIMEOUT_MS: f64 = 2_500.0;
/// Minimum of a request's time left for its body if the head arrived late.
const MIN_BODY_TIMEOUT_MS: f64 = 250.0;
/// A request arrives steadily while its client has been silent for at most this many times the
/// longest pause so far.
const STEADY_PAUSE_FACTOR: f64 = 2.0;
/// How long a client may accept no bytes of an answer before its connection is closed, since it
/// holds a socket for nothing. The client can tell that the answer is incomplete.
const ANSWER_STALL_TIMEOUT_MS: f64 = 5_000.0;
/// Idle time between requests after which a connection is closed, while more than half of the
/// client sockets are in use.
const CROWDED_IDLE_TIMEOUT_MS: f64 = 2_000.0;
/// The same while at most half are in use. Clients reuse their connections, and one that is idle
/// for a while should not be closed under its next request; but some clients keep connections and
/// never send on them again.
const IDLE_TIMEOUT_MS: f64 = 90_000.0;
/// How long input is still read and discarded after the last answer.
pub(super) const LINGER_TIMEOUT_MS: f64 = 300.0;

/// A request that has arrived in part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PartialRequest {
    /// When its first byte was sent, as far as is known (ms).
    pub started_at: f64,
    /// When a part of it last arrived (ms).
    pub last_input_at: f64,
    /// The longest time between two parts of it (ms).
    pub longest_pause: f64,
    /// When the client connected, if this is the connection's first request (ms).
    pub first_after_connect_at: Option<f64>,
}

impl PartialRequest {
    /// Until when the client counts as still sending (ms).
    fn steady_until(&self) -> f64 {
        self.last_input_at + STEADY_PAUSE_FACTOR * self.longest_pause
    }

    /// Whether the client is still sending.
    pub fn is_steady(&self, now: f64) -> bool {
        now <= self.steady_until()
    }

    /// When its time is over that counts from the first byte (ms).
    fn timeout_at(&self) -> f64 {
        self.started_at + REQUEST_TIMEOUT_MS
    }

    /// When the request has to be whole (ms). A client that stops in the middle of its first request is owed an error
    /// within a time that counts from connecting; one that is still sending has not stopped.
    pub fn deadline(&self) -> f64 {
        let from_connect = self.first_after_connect_at.map(|at| at + REQUEST_TIMEOUT_MS);
        from_connect.map_or(self.timeout_at(), |at| at.max(self.steady_until()).min(self.timeout_at()))
    }

    /// When the body has to be whole of which the head was complete at `head_complete_at` (ms).
    pub fn body_deadline(&self, head_complete_at: f64) -> f64 {
        self.deadline().max(head_complete_at + MIN_BODY_TIMEOUT_MS)
    }

    /// How long the rest of the request may still arrive after its answer has been given.
    pub fn linger_timeout_ms(&self, now: f64) -> f64 {
        (self.timeout_at() - now).max(LINGER_TIMEOUT_MS)
    }
}

/// What a client connection uses its socket for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// The client has sent nothing so far.
    Silent {
        /// When the connection got its socket (ms).
        since: f64,
        /// When the client connected, at the earliest (ms).
        connected_at: f64,
    },
    /// The connection is between requests, with no answer left to write.
    Idle {
        /// When the last request ended (ms).
        since: f64,
    },
    /// A request has arrived in part.
    Receiving(PartialRequest),
    /// A request is being processed.
    Processing,
    /// An answer is being written.
    Writing {
        /// Since when the client has accepted no bytes of it (ms).
        blocked_since: f64,
    },
    /// The connection has ended, and what its client still sends is discarded.
    Draining {
        /// When the connection ended (ms).
        since: f64,
    },
}

impl ConnectionState {
    /// When the connection has been in this state for too long (ms); `None` where another part of the program limits
    /// the time. `crowded` says whether most client sockets are in use.
    fn deadline(&self, crowded: bool) -> Option<f64> {
        match *self {
            ConnectionState::Silent { since, connected_at } => {
                Some(connected_at.min(since) + REQUEST_TIMEOUT_MS)
            }
            ConnectionState::Idle { since } => {
                Some(since + if crowded { CROWDED_IDLE_TIMEOUT_MS } else { IDLE_TIMEOUT_MS })
            }
            ConnectionState::Receiving(request) => Some(request.deadline()),
            ConnectionState::Writing { blocked_since } => Some(blocked_since + ANSWER_STALL_TIMEOUT_MS),
            ConnectionState::Processing | ConnectionState::Draining { .. } => None,
        }
    }

    /// Whether the connection has been in this state for too long.
    pub fn is_overdue(&self, now: f64, crowded: bool) -> bool {
        self.deadline(crowded).is_some_and(|deadline| now >= deadline)
    }
}
