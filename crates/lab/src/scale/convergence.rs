//! How long a change of the list takes until every sidecar has been told of it.

use crate::stats::quantile;
use serde::Serialize;

/// A change of the list.
struct Change {
    revision: u64,
    published: f64,
    /// When each sidecar was told (ms); not a number where it was not yet.
    told: Vec<f64>,
}

/// All changes, with when each sidecar was told of them.
#[derive(Default)]
pub struct Convergence {
    changes: Vec<Change>,
    /// The version that each sidecar was told last.
    revision: Vec<u64>,
}

/// How long changes took to be told to shares of the fleet (s): the slowest change of a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// Changes that were published.
    pub changes: f64,
    /// Until half of the sidecars were told.
    pub p50_s: f64,
    /// Until 99 of 100 were.
    pub p99_s: f64,
    /// Until all were that have been at all.
    pub last_s: f64,
    /// Pairs of a change and a sidecar that was not told of it before the end.
    pub not_told: f64,
}

impl Convergence {
    /// Nothing published yet; all sidecars have the first version.
    pub fn new(sidecars: usize) -> Convergence {
        Convergence { changes: Vec::new(), revision: vec![1; sidecars] }
    }

    /// A version was published.
    pub fn published(&mut self, now: f64, revision: u64) {
        let told = vec![f64::NAN; self.revision.len()];
        self.changes.push(Change { revision, published: now, told });
    }

    /// A sidecar was told of a version, and with it of all before.
    pub fn told(&mut self, now: f64, sidecar: usize, revision: u64) {
        let before = std::mem::replace(&mut self.revision[sidecar], revision);
        for change in self.changes.iter_mut().rev() {
            if change.revision <= before {
                break;
            }
            if change.revision <= revision && change.told[sidecar].is_nan() {
                change.told[sidecar] = now;
            }
        }
    }

    /// The spread of what was published in a window of time (ms). What was published before `reachable`, when
    /// discovery could be reached by all again, is counted from then on.
    pub fn spread(&self, from: f64, until: f64, reachable: f64) -> Spread {
        let mut spread = Spread::default();
        for change in self.changes.iter().filter(|c| (from..until).contains(&c.published)) {
            let since = change.published.max(reachable);
            let times: Vec<f64> =
                change.told.iter().filter(|t| !t.is_nan()).map(|t| (t - since).max(0.0) / 1e3).collect();
            spread.changes += 1.0;
            spread.not_told += (change.told.len() - times.len()) as f64;
            if !times.is_empty() {
                spread.p50_s = spread.p50_s.max(quantile(&times, 0.5));
                spread.p99_s = spread.p99_s.max(quantile(&times, 0.99));
                spread.last_s = spread.last_s.max(quantile(&times, 1.0));
            }
        }
        spread
    }
}
