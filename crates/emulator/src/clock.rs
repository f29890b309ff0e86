//! The clock of a simulation: milliseconds since its start, on the runtime's clock, which may be paused.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Tells the time of a simulation and waits for it. All times are in ms.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    epoch: f64,
    day_start: Cell<f64>,
}

impl Clock {
    /// A clock that begins now; `epoch` is the Unix time (ms) that it shows at its beginning.
    pub fn new(epoch: f64) -> Clock {
        Clock { origin: Instant::now(), epoch, day_start: Cell::new(0.0) }
    }

    /// The time since the simulation began.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The Unix time that it shows now.
    pub fn unix_now(&self) -> f64 {
        self.epoch + self.now()
    }

    /// Converts a time to the runtime's clock, rounded up by 10 ns so that the time has passed after a wait.
    pub fn instant(&self, at: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at.clamp(0.0, 1e10) / 1e3 + 1e-8)
    }

    /// Waits until a time; never returns where it is infinite.
    pub async fn until(&self, at: f64) {
        if at.is_infinite() {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Waits for a duration.
    pub async fn sleep(&self, millis: f64) {
        self.until(self.now() + millis).await;
    }

    /// Sets the time at which the scenario begins.
    pub fn begin_day(&self, at: f64) {
        self.day_start.set(at);
    }

    /// When the scenario began.
    pub fn day_start(&self) -> f64 {
        self.day_start.get()
    }

    /// Converts a time since the scenario's begin to a time since the simulation's start.
    pub fn day_at(&self, at: f64) -> f64 {
        self.day_start.get() + at
    }
}
