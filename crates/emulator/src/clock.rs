//! The clock of a simulation: milliseconds since its start, on the runtime's clock, which may be paused.

use crate::progress::{ProgressGuard, Stuck};
use std::cell::Cell;
use std::future::Future;
use std::panic::Location;
use std::time::Duration;
use tokio::time::Instant;

/// The clock of a simulation. All times are in ms.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    epoch: f64,
    scenario_start: Cell<f64>,
    progress: ProgressGuard,
}

impl Clock {
    /// Creates a clock that starts now; `epoch` is the Unix time (ms) that it shows at its start.
    pub fn new(epoch: f64) -> Clock {
        Clock {
            origin: Instant::now(),
            epoch,
            scenario_start: Cell::new(0.0),
            progress: ProgressGuard::default(),
        }
    }

    /// The time since the start of the simulation.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// The current Unix time of the simulation.
    pub fn unix_now(&self) -> f64 {
        self.epoch + self.now()
    }

    /// Converts a time to an instant of the runtime. Adds 10 ns, so that the time has passed after a wait
    /// despite rounding.
    pub fn instant(&self, at: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at.clamp(0.0, 1e10) / 1e3 + 1e-8)
    }

    /// Waits until a time; never returns for an infinite one, nor once the simulation is stuck.
    #[track_caller]
    pub fn sleep_until(&self, at: f64) -> impl Future<Output = ()> + '_ {
        let caller = Location::caller();
        async move {
            if at.is_infinite() {
                return std::future::pending().await;
            }
            tokio::time::sleep_until(self.instant(at)).await;
            if !self.progress.record_wake_up(self.now(), caller) {
                std::future::pending().await
            }
        }
    }

    /// Waits for a duration.
    #[track_caller]
    pub fn sleep(&self, millis: f64) -> impl Future<Output = ()> + '_ {
        self.sleep_until(self.now() + millis)
    }

    /// Waits until the simulation is stuck: a task wakes up again and again while the time stands still.
    pub async fn wait_until_stuck(&self) -> Stuck {
        self.progress.wait_until_stuck().await
    }

    /// Sets the time at which the scenario starts.
    pub fn start_scenario(&self, at: f64) {
        self.scenario_start.set(at);
    }

    /// The time at which the scenario started.
    pub fn scenario_start(&self) -> f64 {
        self.scenario_start.get()
    }

    /// Converts a time since the start of the scenario to a time since the start of the simulation.
    pub fn simulation_time(&self, at: f64) -> f64 {
        self.scenario_start.get() + at
    }
}
