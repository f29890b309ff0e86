//! The sidecar's only clock.

use roseproxy_routing::time::Now;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock in milliseconds since the Unix epoch, so that times of different machines are comparable. It
/// reads the system's wall clock once and continues with a monotonic clock, so that it never goes back.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Based on the system's clocks.
    System {
        /// The instant at which the clock was created.
        origin: Instant,
        /// The wall-clock time at `origin`, in milliseconds since the Unix epoch.
        origin_ms: f64,
    },
    /// A clock of a simulation, in which the runtime's time is under control.
    Simulated {
        /// The instant at which the clock was created.
        origin: Instant,
        /// The time of the clock at `origin`, in milliseconds since the Unix epoch.
        origin_ms: f64,
    },
    /// A clock that changes only when it is set.
    Manual(Rc<Cell<f64>>),
}

impl Clock {
    /// A clock that starts at the system's current wall-clock time.
    pub fn system() -> Clock {
        Clock::System { origin: Instant::now(), origin_ms: wall_clock() }
    }

    /// A clock of a simulation that starts at this time.
    pub fn simulated(origin_ms: f64) -> Clock {
        Clock::Simulated { origin: Instant::now(), origin_ms }
    }

    /// A clock that stays at this time until it is set.
    pub fn manual(now_ms: f64) -> Clock {
        Clock::Manual(Rc::new(Cell::new(now_ms)))
    }

    /// The current time in milliseconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        match self {
            Clock::System { origin, origin_ms } | Clock::Simulated { origin, origin_ms } => {
                origin_ms + origin.elapsed().as_secs_f64() * 1000.0
            }
            Clock::Manual(now_ms) => now_ms.get(),
        }
    }

    /// The system's wall-clock time, which may be stepped. Simulated and manual clocks return [`Clock::now`].
    pub fn wall(&self) -> f64 {
        match self {
            Clock::System { .. } => wall_clock(),
            Clock::Simulated { .. } | Clock::Manual(_) => self.now(),
        }
    }

    /// Sets a manual clock; the other clocks are not affected.
    pub fn set(&self, now_ms: f64) {
        if let Clock::Manual(current) = self {
            current.set(now_ms);
        }
    }

    /// Returns a function that reads [`Clock::now`], for the lower layers.
    pub fn reader(&self) -> Now {
        let clock = self.clone();
        Rc::new(move || clock.now())
    }

    /// Returns a function that reads [`Clock::wall`], for the lower layers.
    pub fn wall_reader(&self) -> Now {
        let clock = self.clone();
        Rc::new(move || clock.wall())
    }
}

/// The system's wall-clock time in milliseconds since the Unix epoch.
fn wall_clock() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}
