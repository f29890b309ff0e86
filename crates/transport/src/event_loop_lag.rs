//! Measures how late the single-threaded event loop runs, to estimate how long input has waited to
//! be read.
//!
//! The arrival time of a request's bytes is unknown. What is known is when the thread last handled
//! a periodic timer: if that was late, whatever is read now may have waited for as long.

use std::cell::Cell;

/// Period of the timer. Shorter delays go unnoticed, which the slack in the deadline rules allows
/// for.
pub(super) const TICK_PERIOD_MS: f64 = 50.0;
/// Timer lateness of a thread that is not held up: timers are this coarse.
const TIMER_GRANULARITY_MS: f64 = 10.0;
/// After a stall, requests that waited through it are still being read for this share of its
/// length.
const CATCH_UP_SHARE: f64 = 0.25;

/// Lag of the event loop, measured by a periodic timer.
#[derive(Debug)]
pub(super) struct EventLoopLag {
    /// When the timer last fired (ms).
    last_tick_at: Cell<f64>,
    /// How late the timer last fired (ms).
    last_tick_lag: Cell<f64>,
}

impl EventLoopLag {
    /// Creates the measurement with a timer that starts at `now`.
    pub fn new(now: f64) -> EventLoopLag {
        EventLoopLag { last_tick_at: Cell::new(now), last_tick_lag: Cell::new(0.0) }
    }

    /// Records that the timer fired.
    pub fn tick(&self, now: f64) {
        self.last_tick_lag.set(self.tick_overdue(now));
        self.last_tick_at.set(now);
    }

    /// How long data read now may have waited (ms), not counting up to one timer period.
    pub fn possible_read_delay(&self, now: f64) -> f64 {
        let lag = self.last_tick_lag.get();
        let catching_up = now - self.last_tick_at.get() <= TIMER_GRANULARITY_MS + CATCH_UP_SHARE * lag;
        let delay = self.tick_overdue(now).max(if catching_up { lag } else { 0.0 });
        if delay > TIMER_GRANULARITY_MS {
            delay
        } else {
            0.0
        }
    }

    /// How long the timer is overdue (ms).
    fn tick_overdue(&self, now: f64) -> f64 {
        (now - self.last_tick_at.get() - TICK_PERIOD_MS).max(0.0)
    }
}
