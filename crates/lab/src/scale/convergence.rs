//! Measures how long a change of the server list takes to reach every sidecar.

use crate::stats::quantile;
use serde::Serialize;

/// A published change of the list.
struct Change {
    revision: u64,
    published_ms: f64,
    /// When each sidecar was told; NaN if it was not told yet.
    told_ms: Vec<f64>,
}

/// All changes, with the time at which each sidecar was told of them.
#[derive(Default)]
pub struct Convergence {
    changes: Vec<Change>,
    /// The latest revision that each sidecar was told.
    revision: Vec<u64>,
}

/// Time from a change until shares of the fleet were told of it (s); the slowest change of a window counts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Number of published changes.
    pub changes: f64,
    /// Time until half of the sidecars were told.
    pub p50_s: f64,
    /// Time until 99% of the sidecars were told.
    pub p99_s: f64,
    /// Time until the last of the sidecars that were told at all.
    pub last_s: f64,
    /// Pairs of a change and a sidecar that was not told of it before the end of the run.
    pub not_told: f64,
}

impl Convergence {
    /// No published changes; all sidecars have revision 1.
    pub fn new(sidecars: usize) -> Convergence {
        Convergence { changes: Vec::new(), revision: vec![1; sidecars] }
    }

    /// Records that a revision was published.
    pub fn record_published(&mut self, now: f64, revision: u64) {
        let told_ms = vec![f64::NAN; self.revision.len()];
        self.changes.push(Change { revision, published_ms: now, told_ms });
    }

    /// Records that a sidecar was told of a revision, and with it of all earlier ones.
    pub fn record_told(&mut self, now: f64, sidecar: usize, revision: u64) {
        let previous = std::mem::replace(&mut self.revision[sidecar], revision);
        for change in self.changes.iter_mut().rev() {
            if change.revision <= previous {
                break;
            }
            if change.revision <= revision && change.told_ms[sidecar].is_nan() {
                change.told_ms[sidecar] = now;
            }
        }
    }

    /// The spread of the changes that were published in a window of time (ms). For a change published before
    /// `reachable_ms`, the time at which all sidecars could reach discovery again, the time is measured from then.
    pub fn spread(&self, from: f64, until: f64, reachable_ms: f64) -> Spread {
        let mut spread = Spread::default();
        for change in self.changes.iter().filter(|c| (from..until).contains(&c.published_ms)) {
            let since = change.published_ms.max(reachable_ms);
            let times: Vec<f64> =
                change.told_ms.iter().filter(|t| !t.is_nan()).map(|t| (t - since).max(0.0) / 1e3).collect();
            spread.changes += 1.0;
            spread.not_told += (change.told_ms.len() - times.len()) as f64;
            if !times.is_empty() {
                spread.p50_s = spread.p50_s.max(quantile(&times, 0.5));
                spread.p99_s = spread.p99_s.max(quantile(&times, 0.99));
                spread.last_s = spread.last_s.max(quantile(&times, 1.0));
            }
        }
        spread
    }
}
