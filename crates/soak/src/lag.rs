//! Measures how late a stand-in's process is scheduled on a busy machine. An event that the process observed may have
//! happened earlier by that time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Interval between measurements.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);
/// Time for which the worst measurement is kept.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(400);

/// Monitor of the scheduling lag of the current process; holds the worst recent lag and when it was measured.
#[derive(Clone, Debug)]
pub struct LagMonitor(Rc<Cell<(Instant, Duration)>>);

impl LagMonitor {
    /// Starts measuring on the caller's runtime.
    pub fn start() -> LagMonitor {
        let worst = Rc::new(Cell::new((Instant::now(), Duration::ZERO)));
        let measured = worst.clone();
        spawn_local(async move {
            loop {
                let before = Instant::now();
                tokio::time::sleep(SAMPLE_PERIOD).await;
                let late = before.elapsed().saturating_sub(SAMPLE_PERIOD);
                let (at, worst) = measured.get();
                if late >= worst || at.elapsed() > SAMPLE_LIFETIME {
                    measured.set((Instant::now(), late));
                }
            }
        });
        LagMonitor(worst)
    }

    /// Worst recent lag (ms). A delay that is still under way may not be included yet.
    pub fn worst_ms(&self) -> f64 {
        self.0.get().1.as_secs_f64() * 1e3
    }
}
