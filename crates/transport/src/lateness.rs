//! How late the program's one thread runs, so that what came meanwhile waited to be read.
//!
//! Nothing tells when a request's bytes arrived. What is known is when the thread last came to a timer that goes off all the
//! time: where that is late, whatever is read now may have waited for as long.

use std::cell::Cell;

/// How often the timer goes off (ms): what waits for less is not known of, which the slack of the rules allows for.
pub(super) const PERIOD: f64 = 50.0;
/// Lateness that a thread which is not held up has (ms): timers are that coarse.
const USUAL: f64 = 10.0;
/// The part of a hold-up's length for which requests that waited through it are still being read behind it.
const CATCHING_UP: f64 = 0.25;

/// What the timer tells.
#[derive(Debug)]
pub(super) struct Lateness {
    /// When it last went off, and how late (ms).
    ticked_at: Cell<f64>,
    late: Cell<f64>,
}

impl Lateness {
    /// A timer that begins now.
    pub fn new(now: f64) -> Lateness {
        Lateness { ticked_at: Cell::new(now), late: Cell::new(0.0) }
    }

    /// The timer goes off.
    pub fn tick(&self, now: f64) {
        self.late.set(self.overdue(now));
        self.ticked_at.set(now);
    }

    /// How long what is read now may have waited (ms), but for a period.
    pub fn unread_for(&self, now: f64) -> f64 {
        let late = self.late.get();
        let catches_up = now - self.ticked_at.get() <= USUAL + CATCHING_UP * late;
        let unread = self.overdue(now).max(if catches_up { late } else { 0.0 });
        if unread > USUAL {
            unread
        } else {
            0.0
        }
    }

    /// How long the timer should have gone off by now (ms).
    fn overdue(&self, now: f64) -> f64 {
        (now - self.ticked_at.get() - PERIOD).max(0.0)
    }
}
