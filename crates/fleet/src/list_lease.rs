//! The lease of the list of endpoints: how long it may be acted on without a word from discovery.
//!
//! [`ListLease`] is a state machine without I/O or a clock of its own. Whoever follows discovery tells it what was heard and
//! what failed, and asks it before each send. All times are in milliseconds, of one clock.

/// A change counts as told this long after discovery had it and could be reached (ms).
const TOLD_WITHIN: f64 = 6_000.0;
/// The same after a move to another discovery (ms).
const TOLD_AFTER_MOVE: f64 = 4_000.0;
/// After a start, discovery counts as away this long after it once a call has failed (ms). Before, one such call may as well
/// have met a crowd, and applications are not served yet.
const START_PATIENCE: f64 = 5_000.0;

/// What the settings say of a list's lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// How long after word of a drain sends may go on (ms).
    pub grace: f64,
    /// How long after a watch has ended a change counts as told (ms): the time in which an instance without a watch must ask,
    /// or nothing where an agent of the own machine pushes lists. Never more than the term that holds for all.
    pub unwatched: f64,
}

/// How a call to discovery failed, as far as that tells whether it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came up: it is away, or cut off.
    Unreachable,
    /// It was reached, and turned the call away or broke it off: it is away behind something that is there, or crowded.
    Unanswered,
    /// Nothing came: the call was lost on its way, or discovery hangs.
    NoAnswer,
    /// A watch that was open has ended.
    WatchEnded,
}

/// Until when a list may be acted on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Term {
    /// Until this time.
    Until(f64),
    /// For as long as discovery is away: nobody is told anything meanwhile, and the service must go on.
    WhileAway,
}

/// The lease of the list in hand.
#[derive(Clone, Debug)]
pub struct ListLease {
    grace: f64,
    unwatched: f64,
    began: f64,
    confirmed_at: Option<f64>,
    term: Term,
    /// Whether a call has failed since the start, before any was answered.
    start_failed: bool,
    /// Whether the last call got no answer.
    unheard: bool,
}

impl ListLease {
    /// The lease of a list that was kept from before a start. What changed meanwhile may count as told already, so that it
    /// lasts no longer than the grace.
    pub fn of_kept_list(began: f64, terms: LeaseTerms) -> ListLease {
        let (grace, unwatched) = (terms.grace, terms.unwatched.clamp(0.0, TOLD_WITHIN));
        let term = Term::Until(began + grace);
        ListLease { grace, unwatched, began, confirmed_at: None, term, start_failed: false, unheard: false }
    }

    /// Discovery has told of a change, or that there is none.
    pub fn confirmed(&mut self, now: f64) {
        self.confirmed_at = Some(now);
        (self.start_failed, self.unheard) = (false, false);
        self.term = Term::Until(now + TOLD_WITHIN + self.grace);
    }

    /// A call goes out. While it is out nothing is known of discovery, so that its absence holds no longer than a term.
    pub fn call_started(&mut self, now: f64) {
        if self.term == Term::WhileAway {
            self.term = Term::Until(now + TOLD_WITHIN + self.grace);
        }
    }

    /// A call has failed, or a watch has ended.
    pub fn failed(&mut self, now: f64, failure: Failure) {
        match failure {
            Failure::WatchEnded => self.shorten_to(now + self.unwatched + self.grace),
            Failure::Unreachable => self.term = Term::WhileAway,
            Failure::Unanswered | Failure::NoAnswer if self.confirmed_at.is_none() => {
                self.start_failed = true
            }
            Failure::NoAnswer if !std::mem::replace(&mut self.unheard, true) => {}
            Failure::Unanswered | Failure::NoAnswer => self.term = Term::WhileAway,
        }
    }

    /// Another discovery is to be asked from now on: that the one before was away tells nothing of it.
    pub fn moved(&mut self, now: f64) {
        (self.start_failed, self.unheard) = (false, false);
        self.shorten_to(now + TOLD_AFTER_MOVE + self.grace);
    }

    /// Whether the list must not be acted on any more.
    pub fn expired(&self, now: f64) -> bool {
        self.expired_since(now).is_some()
    }

    /// Since when the list must not be acted on any more; `None` while it may.
    pub fn expired_since(&self, now: f64) -> Option<f64> {
        let away_since_start = self.start_failed && self.patience_is_over(now);
        self.expires_at().filter(|end| now >= *end && !away_since_start)
    }

    /// When it expires unless discovery is heard of before; `None` while discovery is away.
    pub fn expires_at(&self) -> Option<f64> {
        match self.term {
            Term::WhileAway => None,
            Term::Until(end) => Some(end),
        }
    }

    /// When it has to be looked at next: it expires then, or may be acted on again.
    pub fn next_change(&self, now: f64) -> Option<f64> {
        let patience_ends = self.start_failed.then_some(self.began + START_PATIENCE);
        let changes = self.expires_at().into_iter().chain(patience_ends);
        changes.filter(|at| *at > now).min_by(f64::total_cmp)
    }

    /// Whether the sidecar may say that it is ready: discovery has confirmed the list since the start, or is away.
    pub fn settled(&self, now: f64) -> bool {
        let away = self.term == Term::WhileAway || (self.start_failed && self.patience_is_over(now));
        !self.expired(now) && (away || self.confirmed_at.is_some())
    }

    /// Time since discovery has confirmed the list, or since the start where it has not (ms).
    pub fn age(&self, now: f64) -> f64 {
        (now - self.confirmed_at.unwrap_or(self.began)).max(0.0)
    }

    fn patience_is_over(&self, now: f64) -> bool {
        now >= self.began + START_PATIENCE
    }

    fn shorten_to(&mut self, end: f64) {
        let present = self.expires_at().unwrap_or(f64::INFINITY);
        self.term = Term::Until(present.min(end));
    }
}
