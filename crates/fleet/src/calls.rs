//! When a sidecar calls discovery: one service of fixed capacity that all sidecars share.
//!
//! [`CallSchedule`] is a state machine without I/O or a clock of its own. Whoever calls discovery tells it
//! how each call went and learns how long to wait for the next one. `docs/design/discovery.md` derives the
//! figures.

use crate::draw::uniform;
use rand_core::RngCore;

/// Time (microseconds) from the start of one call to the start of the next while discovery is absent. A
/// change counts as told 6 s after discovery has it and can be reached; the rest of that is for the answer.
const PERIOD: f64 = 4.5e6;
/// Least time (microseconds) between two calls of a large fleet's sidecar, whatever the settings ask for.
const LEAST_PERIOD: f64 = 25e3;
/// A call that failed only after this long (microseconds) had come through and waited in discovery's queue.
/// A connection that does not come up is given up after 1 s; discovery's own queue gives up after 2 s.
const QUEUED: i64 = 1_500_000;
/// Calls in a row that may fail by overload before the pauses grow. A discovery that is away may let calls wait before it
/// turns them away, and looks like a crowded one then: pauses past the period would outlast the term at its return.
const TOLERATED_OVERLOADS: u32 = 27;
/// Time (microseconds) by which each sidecar widens the window of a small fleet's next call: at first, and at most.
const SPREAD: (f64, f64) = (50e3, 350e3);
/// The same for the first call after a start: the list in hand is old, and no request is served on it before that call.
const FIRST_SPREAD: f64 = 20e3;
/// Window of the next call in a fleet whose size does not widen it, as a share of the time in which an
/// instance must ask; it doubles twice with failures.
const LEAST_WINDOW: f64 = 0.1;
/// Longest wait for a call, as a share of that time: for the first call or after a watch that ended, and
/// after a call that failed.
const LONGEST_WAIT: (f64, f64) = (0.9, 3.5);
/// First and longest pause (microseconds) where lists are pushed: what discovery's agent has counts as told
/// at once then, and the agent serves one machine.
const PUSHED_PAUSES: (i64, i64) = (25_000, 200_000);

/// Why a call to discovery brought no watch, or why an open watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery could not be reached: refused, reset, never connected or turned away at once. Calls cost it
    /// nothing.
    Absent,
    /// Discovery was reached and could not answer in time. Each further call may cost it work.
    Overloaded,
}

impl CallFailure {
    /// Tells the two apart by how long the call took (microseconds).
    pub fn after(elapsed: i64) -> CallFailure {
        if elapsed < QUEUED {
            CallFailure::Absent
        } else {
            CallFailure::Overloaded
        }
    }
}

/// Where the schedule stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been heard or asked yet.
    New,
    /// The next call is due later.
    Waiting,
    /// A call is out since then; `in_step` where others may have called at the very same time.
    Calling { since: i64, in_step: bool },
    /// A call was answered; it was made then.
    Watching { since: i64 },
}

/// Decides when one sidecar calls discovery, where lists have to be asked for. All times are in
/// microseconds, of one clock.
///
/// A few sidecars draw each call from a window that grows with failures. Many keep one fixed period: what
/// the first draw has spread stays spread, at any moment of an outage and after it.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    sidecars: usize,
    /// Within this time an instance without a watch must ask.
    ask_within: f64,
    state: State,
    /// Calls that failed in a row, the planned first call counted as one.
    failures: u32,
    /// How many of the last ones failed by overload.
    overloads: u32,
}

impl CallSchedule {
    /// The schedule of one of so many sidecars.
    pub fn new(sidecars: usize, ask_within: i64) -> CallSchedule {
        let ask_within = ask_within.max(0) as f64;
        CallSchedule { sidecars, ask_within, state: State::New, failures: 0, overloads: 0 }
    }

    /// A planned call goes out.
    pub fn started(&mut self, now: i64) {
        self.state = State::Calling { since: now, in_step: false };
    }

    /// A watch fell silent, and a call goes out without a pause. The watches of a fleet may all have fallen
    /// silent at once.
    pub fn reopened(&mut self, now: i64) {
        self.state = State::Calling { since: now, in_step: true };
    }

    /// A list has come. Returns the wait for the first call, where none was planned yet.
    pub fn received(&mut self, rng: &mut impl RngCore) -> Option<i64> {
        match self.state {
            State::New => Some(self.plan_first_call(rng)),
            State::Calling { since, .. } => {
                self.state = State::Watching { since };
                (self.failures, self.overloads) = (0, 0);
                None
            }
            State::Waiting | State::Watching { .. } => None,
        }
    }

    /// A call has failed or the watch has ended. Returns the wait for the next call, unless one is due anyway.
    pub fn failed(&mut self, now: i64, rng: &mut impl RngCore) -> Option<i64> {
        let wait = match self.state {
            State::New => return Some(self.plan_first_call(rng)),
            State::Waiting => return None,
            State::Calling { since, in_step } => {
                self.count(CallFailure::after(now - since));
                let wait = self.wait_after_call(now - since, rng);
                if in_step {
                    wait * uniform(rng)
                } else {
                    wait
                }
            }
            State::Watching { since } => self.wait_after_watch(now - since, rng),
        };
        self.failures = self.failures.saturating_add(1);
        self.state = State::Waiting;
        Some(wait as i64)
    }

    fn count(&mut self, failure: CallFailure) {
        self.overloads = match failure {
            CallFailure::Absent => 0,
            CallFailure::Overloaded => self.overloads.saturating_add(1),
        };
    }

    /// Sidecars are restarted together, so the first call is spread by the fleet's size, and by a period at most: what
    /// changed while the process was down counts as told by the same clock.
    fn plan_first_call(&mut self, rng: &mut impl RngCore) -> i64 {
        let spread = self.sidecars as f64 * FIRST_SPREAD;
        let wait = spread.min(PERIOD).min(self.ask_within * LONGEST_WAIT.0) * uniform(rng);
        self.failures = 1;
        self.state = State::Waiting;
        wait as i64
    }

    /// The wait after a watch whose call was made so long ago.
    fn wait_after_watch(&self, elapsed: i64, rng: &mut impl RngCore) -> f64 {
        if self.is_small() {
            return (self.window() * uniform(rng)).min(PERIOD);
        }
        let left = self.period() - elapsed as f64;
        if left > 0.0 {
            // It ended soon after its call and keeps its turn: the calls stay spread.
            return left;
        }
        self.period().min(self.ask_within * LONGEST_WAIT.0) * uniform(rng)
    }

    /// The wait after a call that was made so long ago and failed.
    fn wait_after_call(&self, elapsed: i64, rng: &mut impl RngCore) -> f64 {
        let elapsed = elapsed as f64;
        if self.is_small() {
            let left = (PERIOD - elapsed).max(0.0);
            return (self.window() * uniform(rng)).min(left);
        }
        if self.overloads > TOLERATED_OVERLOADS {
            let jittered = self.overload_pause() * (0.5 + uniform(rng));
            return (jittered - elapsed).max(0.0);
        }
        let left = self.period() - elapsed;
        if left > 0.0 {
            return left;
        }
        // Out for longer than a period: all who call at once now would do so again and again.
        self.period() * uniform(rng)
    }

    fn is_small(&self) -> bool {
        crate::sight(self.sidecars) >= 1.0
    }

    /// The window that a small fleet's next call is drawn from. It widens with failures, and stays within what an instance
    /// that must ask is allowed.
    fn window(&self) -> f64 {
        let least = self.ask_within * LEAST_WINDOW * f64::from(1 << self.failures.min(2));
        let each = (SPREAD.0 * f64::from(1 << self.failures.min(8))).min(SPREAD.1);
        let allowed = if self.failures == 0 { LONGEST_WAIT.0 } else { LONGEST_WAIT.1 };
        let spread = self.sidecars as f64 * each;
        least.max(spread.min(self.ask_within * allowed))
    }

    /// Time from the start of one call to the start of the next while discovery is absent.
    fn period(&self) -> f64 {
        PERIOD.min(self.ask_within * LONGEST_WAIT.1).max(LEAST_PERIOD)
    }

    /// Mean time from one call to the next after several that failed by overload; it is jittered by a half.
    fn overload_pause(&self) -> f64 {
        let doublings = self.overloads.saturating_sub(TOLERATED_OVERLOADS).min(16);
        let longest = (self.ask_within * LONGEST_WAIT.1 / 1.5).max(self.period());
        (self.period() * f64::from(1 << doublings)).min(longest)
    }
}

/// The pauses between calls where lists are pushed. What discovery's agent has counts as told at once there,
/// and each agent serves one machine: the pauses are short and depend on no fleet.
#[derive(Clone, Debug, Default)]
pub struct PushedCalls {
    failures: u32,
}

impl PushedCalls {
    /// A list has come.
    pub fn received(&mut self) {
        self.failures = 0;
    }

    /// A call has failed or the watch has ended. Returns the wait (microseconds) for the next call.
    pub fn failed(&mut self) -> i64 {
        let wait = PUSHED_PAUSES.0 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        wait.min(PUSHED_PAUSES.1)
    }
}
