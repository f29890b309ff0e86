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

/// Lease parameters from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// Time for which requests may still be sent to a server after notice of its drain (ms).
    pub grace_ms: f64,
    /// Time after which notice of a change counts as received while no watch is open (ms): the
    /// maximum poll interval, or 0 where an agent on the same machine pushes lists. It is limited to
    /// the term that applies to all changes.
    pub unwatched_ms: f64,
    /// Whether lists come from an agent on the same machine, which serves no other sidecar and gives
    /// no answer while discovery is unavailable.
    pub local_agent: bool,
}

/// How a call to discovery failed, classified by what that says about its availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No connection was established: discovery is unavailable or the network is partitioned.
    Unreachable,
    /// The call was accepted, and then rejected, broken off or answered with something else than a
    /// list: discovery could be reached, and may have notified other sidecars of changes.
    Rejected,
    /// No response arrived: the call was lost on the way, or discovery is slow or hangs.
    NoAnswer,
    /// An open watch ended.
    WatchEnded,
}

/// Until when a list may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Term {
    /// Until this time.
    Until(f64),
    /// Until the next call: the last one, which began at `called_at`, found discovery unavailable. It
    /// can notify no sidecar of changes, and the service must continue.
    WhileUnavailable { called_at: f64 },
}

/// Lease of the current list.
#[derive(Clone, Debug)]
pub struct ListLease {
    terms: LeaseTerms,
    started_at: f64,
    confirmed_at: Option<f64>,
    term: Term,
    /// Limit on the lease after a move, until a watch on the new address has opened.
    move_limit: f64,
    /// When the latest call began.
    called_at: f64,
    /// Whether discovery has been reached since it last confirmed the list: changes made since then
    /// count as received in time, even if discovery becomes unavailable.
    rejected: bool,
    /// Whether the last call received no response.
    unanswered: bool,
    /// Whether the last call that ended found discovery unavailable.
    unavailable: bool,
}

impl ListLease {
    /// Creates the lease of a list that was kept from before the start. Notice of changes made in
    /// between may already count as received, so the lease lasts no longer than the grace.
    pub fn of_kept_list(started_at: f64, terms: LeaseTerms) -> ListLease {
        let unwatched_ms = terms.unwatched_ms.clamp(0.0, NOTICE_TERM_MS);
        ListLease {
            terms: LeaseTerms { unwatched_ms, ..terms },
            started_at,
            confirmed_at: None,
            term: Term::Until(started_at + terms.grace_ms),
            move_limit: f64::INFINITY,
            called_at: started_at,
            rejected: false,
            unanswered: false,
            unavailable: false,
        }
    }

    /// Records that an open watch sent a change, or confirmed that there is none.
    pub fn on_confirmed(&mut self, now: f64) {
        self.move_limit = f64::INFINITY;
        self.renew(now, NOTICE_TERM_MS);
    }

    /// Records that discovery sent the whole list in answer to a single call, without a watch.
    pub fn on_list_fetched(&mut self, now: f64) {
        self.renew(now, self.terms.unwatched_ms);
    }

    /// Records that a call starts. The state of discovery is unknown until the call ends: it may have
    /// become available right after the last call, which limits the lease.
    pub fn on_call_started(&mut self, now: f64) {
        self.end_unavailability();
        self.called_at = now;
    }

    /// Records that a call failed or a watch ended.
    pub fn on_failure(&mut self, now: f64, failure: DiscoveryFailure) {
        match failure {
            DiscoveryFailure::WatchEnded => {
                self.shorten_to(now + self.terms.unwatched_ms + self.terms.grace_ms);
            }
            DiscoveryFailure::Unreachable => self.on_unavailable(self.called_at),
            DiscoveryFailure::Rejected => {
                self.end_unavailability();
                self.rejected = true;
                self.unavailable = false;
            }
            DiscoveryFailure::NoAnswer => {
                let repeated = std::mem::replace(&mut self.unanswered, true);
                if self.terms.local_agent && repeated {
                    self.on_unavailable(now);
                }
            }
        }
    }

    /// Records that discovery moved to another address: the unavailability of the previous one says
    /// nothing about the new one.
    pub fn on_moved(&mut self, now: f64) {
        (self.unanswered, self.unavailable) = (false, false);
        self.move_limit = self.move_limit.min(now + NOTICE_TERM_AFTER_MOVE_MS + self.terms.grace_ms);
        self.shorten_to(self.move_limit);
    }

    /// Whether the list must no longer be used.
    pub fn is_expired(&self, now: f64) -> bool {
        self.expired_since(now).is_some()
    }

    /// Returns the time since which the list must no longer be used, or `None` while it may be
    /// used.
    pub fn expired_since(&self, now: f64) -> Option<f64> {
        self.expires_at().filter(|end| now >= *end)
    }

    /// Returns the time at which the lease expires without further contact, or `None` while
    /// discovery is unavailable.
    pub fn expires_at(&self) -> Option<f64> {
        match self.term {
            Term::WhileUnavailable { .. } => None,
            Term::Until(end) => Some(end),
        }
    }

    /// Returns the next time at which the lease may expire.
    pub fn next_change(&self, now: f64) -> Option<f64> {
        self.expires_at().filter(|at| *at > now)
    }

    /// Whether the sidecar may report that it is ready: the list may be used, and either discovery
    /// has confirmed it since the start or discovery is unavailable.
    pub fn is_settled(&self, now: f64) -> bool {
        !self.is_expired(now) && (self.unavailable || self.confirmed_at.is_some())
    }

    /// Returns the time since discovery last confirmed the list, or since the start if it never did
    /// (ms).
    pub fn age(&self, now: f64) -> f64 {
        (now - self.confirmed_at.unwrap_or(self.started_at)).max(0.0)
    }

    fn renew(&mut self, now: f64, term_ms: f64) {
        self.confirmed_at = Some(now);
        (self.rejected, self.unanswered, self.unavailable) = (false, false, false);
        self.term = Term::Until((now + term_ms + self.terms.grace_ms).min(self.move_limit));
    }

    /// Continues the lease: the call that began at `called_at` found discovery unavailable.
    fn on_unavailable(&mut self, called_at: f64) {
        if !self.rejected {
            self.unavailable = true;
            self.move_limit = f64::INFINITY;
            self.term = Term::WhileUnavailable { called_at };
        }
    }

    /// Limits a lease that lasts while discovery is unavailable: notice of changes counts as received
    /// one term after the last call that found it so.
    fn end_unavailability(&mut self) {
        if let Term::WhileUnavailable { called_at } = self.term {
            self.term = Term::Until(called_at + NOTICE_TERM_MS + self.terms.grace_ms);
        }
    }

    fn shorten_to(&mut self, end: f64) {
        self.end_unavailability();
        let current_end = self.expires_at().unwrap_or(f64::INFINITY);
        self.term = Term::Until(current_end.min(end));
    }
}
