//! The one clock of the program.

use roseproxy_routing::time::Now;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Milliseconds since the Unix epoch, which every machine of the platform reads alike. It takes the
/// system's time once and then counts on by itself, so that it never goes back.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The system's.
    System {
        /// When it was started.
        origin: Instant,
        /// What the system's clock said then.
        epoch: f64,
    },
    /// One of a world of its own, where the runtime's time is set.
    Simulated {
        /// When it was started.
        origin: Instant,
        /// What it said then.
        epoch: f64,
    },
    /// One that stands until it is set.
    Manual(Rc<Cell<f64>>),
}

impl Clock {
    /// A running clock.
    pub fn system() -> Clock {
        Clock::System { origin: Instant::now(), epoch: wall_clock() }
    }

    /// A running clock that begins at this time: of a world of its own, where the runtime's time is set.
    pub fn from(epoch: f64) -> Clock {
        Clock::Simulated { origin: Instant::now(), epoch }
    }

    /// A clock that stands at this time.
    pub fn manual(millis: f64) -> Clock {
        Clock::Manual(Rc::new(Cell::new(millis)))
    }

    /// The time.
    pub fn now(&self) -> f64 {
        match self {
            Clock::System { origin, epoch } | Clock::Simulated { origin, epoch } => {
                epoch + origin.elapsed().as_secs_f64() * 1000.0
            }
            Clock::Manual(at) => at.get(),
        }
    }

    /// What the system's wall clock says, which may be stepped; of other clocks, the time.
    pub fn wall(&self) -> f64 {
        match self {
            Clock::System { .. } => wall_clock(),
            Clock::Simulated { .. } | Clock::Manual(_) => self.now(),
        }
    }

    /// Sets a clock that stands; a running one goes its own way.
    pub fn set(&self, millis: f64) {
        if let Clock::Manual(at) = self {
            at.set(millis);
        }
    }

    /// What the lower layers read it by.
    pub fn reader(&self) -> Now {
        let clock = self.clone();
        Rc::new(move || clock.now())
    }

    /// What the lower layers read the wall clock by.
    pub fn wall_reader(&self) -> Now {
        let clock = self.clone();
        Rc::new(move || clock.wall())
    }
}

/// Milliseconds since the Unix epoch by the system's wall clock.
fn wall_clock() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}
