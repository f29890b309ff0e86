//! How late the program's one thread runs, so that what came meanwhile waited to be read.
//!
//! Nothing tells when a request's bytes arrived. What is known is when the thread last came to a timer that goes off all the
//! time: where that is late, whatever is read now may have waited for as long.

use std::cell::Cell;

/// How often the timer goes off (ms): what waits for less is not known of, which the slack of the rules allows for.
pub(super) const TICK_PERIOD_MS: f64 = 50.0;
/// Lateness that a thread which is not held up has (ms): timers are that coarse.
const TIMER_GRANULARITY_MS: f64 = 10.0;
/// The part of a hold-up's length for which requests that waited through it are still being read behind it.
const CATCH_UP_SHARE: f64 = 0.25;

/// What the timer tells.
#[derive(Debug)]
pub(super) struct EventLoopLag {
    /// When it last went off, and how late (ms).
    last_tick_at: Cell<f64>,
    last_tick_lag: Cell<f64>,
}

impl EventLoopLag {
    /// A timer that begins now.
    pub fn new(now: f64) -> EventLoopLag {
        EventLoopLag { last_tick_at: Cell::new(now), last_tick_lag: Cell::new(0.0) }
    }

    /// The timer goes off.
    pub fn tick(&self, now: f64) {
        self.last_tick_lag.set(self.tick_overdue(now));
        self.last_tick_at.set(now);
    }

    /// How long what is read now may have waited (ms), but for a period.
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

    /// How long the timer should have gone off by now (ms).
    fn tick_overdue(&self, now: f64) -> f64 {
        (now - self.last_tick_at.get() - TICK_PERIOD_MS).max(0.0)
    }
}
