//! How late a stand-in's process runs itself, where the machine is busy: what it saw may have happened that much sooner.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// How often it is measured.
const PERIOD: Duration = Duration::from_millis(10);
/// How long a measurement counts.
const COUNTS: Duration = Duration::from_millis(400);

/// The process's lag.
#[derive(Clone, Debug)]
pub struct Lag(Rc<Cell<(Instant, Duration)>>);

impl Lag {
    /// Measures from now on, in the runtime of the caller.
    pub fn measure() -> Lag {
        let worst = Rc::new(Cell::new((Instant::now(), Duration::ZERO)));
        let measured = worst.clone();
        spawn_local(async move {
            loop {
                let before = Instant::now();
                tokio::time::sleep(PERIOD).await;
                let late = before.elapsed().saturating_sub(PERIOD);
                let (at, worst) = measured.get();
                if late >= worst || at.elapsed() > COUNTS {
                    measured.set((Instant::now(), late));
                }
            }
        });
        Lag(worst)
    }

    /// The worst of late (ms); what is late just now may not be measured yet.
    pub fn millis(&self) -> f64 {
        self.0.get().1.as_secs_f64() * 1e3
    }
}
