//! Notices a simulation whose time stands still because a task wakes up again and again at one instant.

use std::cell::{Cell, OnceCell};
use std::fmt;
use std::panic::Location;
use tokio::sync::Notify;

/// Wake-ups at one instant after which the simulation counts as stuck: many more than it has tasks.
const MAX_WAKE_UPS_AT_ONE_INSTANT: u64 = 1_000_000;

/// The error of a simulation that is stuck.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stuck {
    /// When the time stood still (ms).
    pub at: f64,
    /// Where the task waits that woke up last.
    pub waits_at: &'static Location<'static>,
}

impl fmt::Display for Stuck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stuck { at, waits_at } = self;
        write!(
            f,
            "time stands still at {at:.3} ms after {MAX_WAKE_UPS_AT_ONE_INSTANT} wake-ups; the task that wakes up waits at {waits_at}"
        )
    }
}

impl std::error::Error for Stuck {}

/// Counts the wake-ups at one instant.
#[derive(Debug, Default)]
pub(crate) struct ProgressGuard {
    now: Cell<f64>,
    wake_ups: Cell<u64>,
    stuck: OnceCell<Stuck>,
    changed: Notify,
}

impl ProgressGuard {
    /// Records that a task that waits at `waits_at` woke up at `now` (ms); returns whether it may go on.
    pub fn record_wake_up(&self, now: f64, waits_at: &'static Location<'static>) -> bool {
        if now != self.now.replace(now) {
            self.wake_ups.set(0);
        }
        self.wake_ups.set(self.wake_ups.get() + 1);
        if self.wake_ups.get() <= MAX_WAKE_UPS_AT_ONE_INSTANT {
            return true;
        }
        self.stuck.get_or_init(|| Stuck { at: now, waits_at });
        self.changed.notify_one();
        false
    }

    /// Waits until the simulation is stuck.
    pub async fn wait_until_stuck(&self) -> Stuck {
        loop {
            if let Some(stuck) = self.stuck.get() {
                return *stuck;
            }
            self.changed.notified().await;
        }
    }
}
