//! Lease of the server list: how long the list may be used without contact with discovery.
//!
//! [`ListLease`] is a state machine without I/O or a clock of its own. The caller that follows
//! discovery reports confirmations and failures, and checks the lease before each send. All times
//! are in milliseconds of one clock.

/// Time after which notice of a change counts as received, whether or not it has arrived, once
/// discovery has the change and can be reached (ms).
const NOTICE_TERM_MS: f64 = 6_000.0;
/// The same after discovery has moved to another address (ms).
const NOTICE_TERM_AFTER_MOVE_MS: f64 = 4_000.0;
/// Time after a start from which a failed call means that discovery is unavailable (ms). Before it,
/// the call may have failed because many sidecars called at once, and applications are not served
/// yet.
const START_UNAVAILABLE_AFTER_MS: f64 = 5_000.0;

/// Lease parameters from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// Time for which requests may still be sent to a server after notice of its drain (ms).
    pub grace_ms: f64,
    /// Time after which notice of a change counts as received once a watch has ended (ms): the
    /// maximum poll interval, or 0 where an agent on the same machine pushes lists. It is limited to
    /// the term that applies to all changes.
    pub unwatched_ms: f64,
}

/// How a call to discovery failed, classified by what that says about its availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No connection was established: discovery is unavailable or the network is partitioned.
    Unreachable,
    /// The call was rejected or broken off after it was accepted: discovery is overloaded, or
    /// unavailable behind a proxy that still accepts connections.
    Unanswered,
    /// No response arrived: the call was lost on the way, or discovery hangs.
    NoAnswer,
    /// An open watch ended.
    WatchEnded,
}

/// Until when a list may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Term {
    /// Until this time.
    Until(f64),
    /// While discovery is unavailable: it can notify no sidecar of changes, and the service must
    /// continue.
    WhileUnavailable,
}

/// Lease of the current list.
#[derive(Clone, Debug)]
pub struct ListLease {
    grace_ms: f64,
    unwatched_ms: f64,
    started_at: f64,
    confirmed_at: Option<f64>,
    term: Term,
    /// Whether a call has failed since the start and no confirmation has arrived.
    start_failed: bool,
    /// Whether the last call received no response.
    unanswered: bool,
}

impl ListLease {
    /// Creates the lease of a list that was kept from before the start. Notice of changes made in
    /// between may already count as received, so the lease lasts no longer than the grace.
    pub fn of_kept_list(started_at: f64, terms: LeaseTerms) -> ListLease {
        let (grace_ms, unwatched_ms) = (terms.grace_ms, terms.unwatched_ms.clamp(0.0, NOTICE_TERM_MS));
        let term = Term::Until(started_at + grace_ms);
        ListLease {
            grace_ms,
            unwatched_ms,
            started_at,
            confirmed_at: None,
            term,
            start_failed: false,
            unanswered: false,
        }
    }

    /// Records that discovery sent a change, or confirmed that there is none.
    pub fn on_confirmed(&mut self, now: f64) {
        self.confirmed_at = Some(now);
        (self.start_failed, self.unanswered) = (false, false);
        self.term = Term::Until(now + NOTICE_TERM_MS + self.grace_ms);
    }

    /// Records that a call starts. The state of discovery is unknown until the call ends, so an
    /// earlier unavailability extends the lease by no more than one term.
    pub fn on_call_started(&mut self, now: f64) {
        if self.term == Term::WhileUnavailable {
            self.term = Term::Until(now + NOTICE_TERM_MS + self.grace_ms);
        }
    }

    /// Records that a call failed or a watch ended.
    pub fn on_failure(&mut self, now: f64, failure: DiscoveryFailure) {
        match failure {
            DiscoveryFailure::WatchEnded => self.shorten_to(now + self.unwatched_ms + self.grace_ms),
            DiscoveryFailure::Unreachable => self.term = Term::WhileUnavailable,
            DiscoveryFailure::Unanswered | DiscoveryFailure::NoAnswer if self.confirmed_at.is_none() => {
                self.start_failed = true
            }
            DiscoveryFailure::NoAnswer if !std::mem::replace(&mut self.unanswered, true) => {}
            DiscoveryFailure::Unanswered | DiscoveryFailure::NoAnswer => self.term = Term::WhileUnavailable,
        }
    }

    /// Records that discovery moved to another address: the unavailability of the previous one says
    /// nothing about the new one.
    pub fn on_moved(&mut self, now: f64) {
        (self.start_failed, self.unanswered) = (false, false);
        self.shorten_to(now + NOTICE_TERM_AFTER_MOVE_MS + self.grace_ms);
    }

    /// Whether the list must no longer be used.
    pub fn is_expired(&self, now: f64) -> bool {
        self.expired_since(now).is_some()
    }

    /// Returns the time since which the list must no longer be used, or `None` while it may be
    /// used.
    pub fn expired_since(&self, now: f64) -> Option<f64> {
        let unavailable_since_start = self.start_failed && self.start_period_is_over(now);
        self.expires_at().filter(|end| now >= *end && !unavailable_since_start)
    }

    /// Returns the time at which the lease expires without further contact, or `None` while
    /// discovery is unavailable.
    pub fn expires_at(&self) -> Option<f64> {
        match self.term {
            Term::WhileUnavailable => None,
            Term::Until(end) => Some(end),
        }
    }

    /// Returns the next time at which the lease may expire or become usable again.
    pub fn next_change(&self, now: f64) -> Option<f64> {
        let start_period_ends = self.start_failed.then_some(self.started_at + START_UNAVAILABLE_AFTER_MS);
        let changes = self.expires_at().into_iter().chain(start_period_ends);
        changes.filter(|at| *at > now).min_by(f64::total_cmp)
    }

    /// Whether the sidecar may report that it is ready: the list may be used, and either discovery
    /// has confirmed it since the start or discovery is unavailable.
    pub fn is_settled(&self, now: f64) -> bool {
        let unavailable =
            self.term == Term::WhileUnavailable || (self.start_failed && self.start_period_is_over(now));
        !self.is_expired(now) && (unavailable || self.confirmed_at.is_some())
    }

    /// Returns the time since discovery last confirmed the list, or since the start if it never did
    /// (ms).
    pub fn age(&self, now: f64) -> f64 {
        (now - self.confirmed_at.unwrap_or(self.started_at)).max(0.0)
    }

    fn start_period_is_over(&self, now: f64) -> bool {
        now >= self.started_at + START_UNAVAILABLE_AFTER_MS
    }

    fn shorten_to(&mut self, end: f64) {
        let current_end = self.expires_at().unwrap_or(f64::INFINITY);
        self.term = Term::Until(current_end.min(end));
    }
}
