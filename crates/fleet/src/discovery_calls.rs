//! Schedule of a sidecar's calls to discovery, a service of fixed capacity shared by all sidecars.
//!
//! [`CallSchedule`] is a state machine without I/O or a clock of its own. The caller reports how
//! each call went and receives the time to wait before the next one. `docs/design/discovery.md`
//! derives the constants.

use crate::draw::uniform;
use rand_core::RngCore;

/// Time from the start of one call to the start of the next while discovery is unavailable
/// (microseconds). Notice of a change counts as received 6 s after discovery has the change and can
/// be reached; the remaining 1.5 s are for the response.
const CALL_PERIOD_US: f64 = 4.5e6;
/// Shortest time between two calls of a sidecar in a large fleet, whatever the settings ask for
/// (microseconds).
const MIN_CALL_PERIOD_US: f64 = 25e3;
/// A call that fails only after this time was accepted and then waited in discovery's queue
/// (microseconds). The value lies between the 1 s connect timeout and the 2 s after which discovery
/// drops a queued call.
const QUEUED_FAILURE_US: i64 = 1_500_000;
/// Consecutive overload failures before the pauses grow. While discovery is unavailable, calls may
/// be held for a time before they are rejected, which looks like overload; pauses longer than the
/// period would then outlast the lease of the list when discovery returns.
const TOLERATED_OVERLOADS: u32 = 27;
/// Time that each sidecar of a small fleet adds to the window within which the next call is drawn,
/// before any failure (microseconds).
const WINDOW_PER_SIDECAR_US: f64 = 50e3;
/// Upper limit of that time, which doubles with each failure (microseconds).
const MAX_WINDOW_PER_SIDECAR_US: f64 = 350e3;
/// Time that each sidecar adds to the spread of the first calls after a start (microseconds). It is
/// short because the current list is old and no request is served from it before that call.
const FIRST_CALL_SPREAD_PER_SIDECAR_US: f64 = 20e3;
/// Minimum window of the next call, as a share of the maximum poll interval. It doubles with each of
/// the first two failures.
const MIN_WINDOW_SHARE: f64 = 0.1;
/// Longest wait for the first call, or for the call after a watch ended, as a share of the maximum
/// poll interval.
const MAX_WAIT_SHARE: f64 = 0.9;
/// Longest wait for a call after one that failed, as a share of the maximum poll interval.
const MAX_WAIT_SHARE_AFTER_FAILURE: f64 = 3.5;
/// First pause between calls where lists are pushed (microseconds). The pauses are short because
/// notice of a change counts as received as soon as discovery's agent has the change, and the agent
/// serves only one machine.
const FIRST_PUSH_PAUSE_US: i64 = 25_000;
/// Longest pause between calls where lists are pushed (microseconds).
const MAX_PUSH_PAUSE_US: i64 = 200_000;

/// Why a call to discovery opened no watch, or why an open watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery could not be reached: the connection was refused or reset, was never established,
    /// or was rejected at once. Such calls cost discovery nothing.
    Unavailable,
    /// Discovery was reached and did not answer in time. Each further call may cost it work.
    Overloaded,
}

impl CallFailure {
    /// Classifies a failed call by its duration (microseconds).
    pub fn from_elapsed(elapsed: i64) -> CallFailure {
        if elapsed < QUEUED_FAILURE_US {
            CallFailure::Unavailable
        } else {
            CallFailure::Overloaded
        }
    }
}

/// State of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No list has arrived and no call has been made.
    NotStarted,
    /// The next call is planned; `synchronized` if other sidecars may make theirs at the same moment.
    Waiting { synchronized: bool },
    /// A call has been open since `since`; `synchronized` if other sidecars may have called at the
    /// same moment.
    Calling { since: i64, synchronized: bool },
    /// A watch is open; its call was made at `since`, and `synchronized` as above.
    Watching { since: i64, synchronized: bool },
}

/// Decides when one sidecar calls discovery, in deployments where lists have to be requested. All
/// times are in microseconds of one clock.
///
/// Sidecars of a small fleet draw each call from a window that grows with failures. Sidecars of a
/// large fleet keep one fixed period, so that calls spread by the first random draw stay spread
/// throughout an outage and after it.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    sidecars: usize,
    /// Longest time between two calls that the settings allow while no watch is open (microseconds).
    max_poll_interval: f64,
    state: State,
    /// Consecutive failures, with the planned first call counted as one.
    failures: u32,
    /// Consecutive overload failures up to the latest call.
    overloads: u32,
}

impl CallSchedule {
    /// Creates the schedule of one sidecar in a fleet of `sidecars`.
    pub fn new(sidecars: usize, max_poll_interval: i64) -> CallSchedule {
        let max_poll_interval = max_poll_interval.max(0) as f64;
        CallSchedule { sidecars, max_poll_interval, state: State::NotStarted, failures: 0, overloads: 0 }
    }

    /// Records that a planned call starts.
    pub fn on_call_started(&mut self, now: i64) {
        let synchronized = matches!(self.state, State::Waiting { synchronized: true });
        self.state = State::Calling { since: now, synchronized };
    }

    /// Records that a call starts without a pause because the watch fell silent or discovery moved. Both
    /// may have happened to the whole fleet at the same moment.
    pub fn on_watch_reopened(&mut self, now: i64) {
        self.state = State::Calling { since: now, synchronized: true };
    }

    /// Records that a list arrived. Returns the wait for the first call if none was planned yet.
    pub fn on_list(&mut self, rng: &mut impl RngCore) -> Option<i64> {
        match self.state {
            State::NotStarted => Some(self.plan_first_call(rng)),
            State::Calling { since, synchronized } => {
                self.state = State::Watching { since, synchronized };
                (self.failures, self.overloads) = (0, 0);
                None
            }
            State::Waiting { .. } | State::Watching { .. } => None,
        }
    }

    /// Records that a call failed or the watch ended. Returns the wait for the next call, or `None`
    /// if one is already planned.
    pub fn on_failure(&mut self, now: i64, rng: &mut impl RngCore) -> Option<i64> {
        let wait = match self.state {
            State::NotStarted => return Some(self.plan_first_call(rng)),
            State::Waiting { .. } => return None,
            State::Calling { since, synchronized } => {
                self.count_overload(CallFailure::from_elapsed(now - since));
                let wait = self.wait_after_call(now - since, rng);
                if synchronized {
                    (wait * uniform(rng)).max(MIN_CALL_PERIOD_US)
                } else {
                    wait
                }
            }
            State::Watching { since, synchronized } => self.wait_after_watch(now - since, synchronized, rng),
        };
        self.failures = self.failures.saturating_add(1);
        self.state = State::Waiting { synchronized: false };
        Some(wait as i64)
    }

    fn count_overload(&mut self, failure: CallFailure) {
        self.overloads = match failure {
            CallFailure::Unavailable => 0,
            CallFailure::Overloaded => self.overloads.saturating_add(1),
        };
    }

    /// Sidecars may be restarted together, so the first calls are spread in proportion to the
    /// fleet's size, but by one period at most: notice of changes made while the process was down
    /// counts as received by the same deadline as that of others.
    fn plan_first_call(&mut self, rng: &mut impl RngCore) -> i64 {
        let spread = self.sidecars as f64 * FIRST_CALL_SPREAD_PER_SIDECAR_US;
        let spread = spread.min(CALL_PERIOD_US).min(self.max_poll_interval * MAX_WAIT_SHARE);
        let wait = spread * uniform(rng);
        self.failures = 1;
        // Calls that are spread over a part of the period only are spread anew if they fail.
        let synchronized = spread < self.period() && !self.has_full_visibility();
        self.state = State::Waiting { synchronized };
        wait as i64
    }

    /// Returns the wait after a watch whose call was made `elapsed` microseconds ago.
    fn wait_after_watch(&self, elapsed: i64, synchronized: bool, rng: &mut impl RngCore) -> f64 {
        if self.has_full_visibility() {
            return (self.window() * uniform(rng)).min(CALL_PERIOD_US);
        }
        let remaining = self.period() - elapsed as f64;
        if remaining > 0.0 && !synchronized {
            // The watch ended within one period of its call: keeping its phase keeps the calls
            // spread.
            return remaining;
        }
        self.period().min(self.max_poll_interval * MAX_WAIT_SHARE) * uniform(rng)
    }

    /// Returns the wait after a failed call that was made `elapsed` microseconds ago.
    fn wait_after_call(&self, elapsed: i64, rng: &mut impl RngCore) -> f64 {
        let elapsed = elapsed as f64;
        if self.has_full_visibility() {
            let remaining = (CALL_PERIOD_US - elapsed).max(0.0);
            return (self.window() * uniform(rng)).min(remaining);
        }
        if self.overloads > TOLERATED_OVERLOADS {
            let jittered = self.overload_pause() * (0.5 + uniform(rng));
            return (jittered - elapsed).max(0.0);
        }
        let remaining = self.period() - elapsed;
        if remaining > 0.0 {
            return remaining;
        }
        // The call was open for longer than a period. Without a new random wait, sidecars that call
        // at the same moment now would keep doing so.
        self.period() * uniform(rng)
    }

    fn has_full_visibility(&self) -> bool {
        crate::visibility(self.sidecars) >= 1.0
    }

    /// Returns the window (microseconds) within which a sidecar of a small fleet draws its next call.
    /// It widens with failures, up to a multiple of the maximum poll interval.
    fn window(&self) -> f64 {
        let min_window = self.max_poll_interval * MIN_WINDOW_SHARE * f64::from(1 << self.failures.min(2));
        let per_sidecar =
            (WINDOW_PER_SIDECAR_US * f64::from(1 << self.failures.min(8))).min(MAX_WINDOW_PER_SIDECAR_US);
        let max_wait_share = if self.failures == 0 { MAX_WAIT_SHARE } else { MAX_WAIT_SHARE_AFTER_FAILURE };
        let spread = self.sidecars as f64 * per_sidecar;
        min_window.max(spread.min(self.max_poll_interval * max_wait_share))
    }

    /// Returns the time between the starts of two calls while discovery is unavailable.
    fn period(&self) -> f64 {
        CALL_PERIOD_US.min(self.max_poll_interval * MAX_WAIT_SHARE_AFTER_FAILURE).max(MIN_CALL_PERIOD_US)
    }

    /// Returns the mean time between two calls after repeated overloads; the caller adds a jitter
    /// of a half.
    fn overload_pause(&self) -> f64 {
        let doublings = self.overloads.saturating_sub(TOLERATED_OVERLOADS).min(16);
        let max_pause = (self.max_poll_interval * MAX_WAIT_SHARE_AFTER_FAILURE / 1.5).max(self.period());
        (self.period() * f64::from(1 << doublings)).min(max_pause)
    }
}

/// Backoff between calls where lists are pushed. The pauses are short and independent of the
/// fleet's size: notice of a change counts as received as soon as discovery's agent has the change,
/// and each agent serves one machine.
#[derive(Clone, Debug, Default)]
pub struct PushBackoff {
    failures: u32,
}

impl PushBackoff {
    /// Records that a list arrived and resets the backoff.
    pub fn on_list(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed or the watch ended. Returns the wait for the next call
    /// (microseconds).
    pub fn on_failure(&mut self) -> i64 {
        let wait = FIRST_PUSH_PAUSE_US << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        wait.min(MAX_PUSH_PAUSE_US)
    }
}
