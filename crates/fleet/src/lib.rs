//! What one sidecar may do by itself, as a function of the fleet's size.
//!
//! Sidecars share nothing, and all of them decide alike. What is harmless when a few do it is not when
//! a hundred do, so whatever all do at once asks here how much of it is one sidecar's part. No I/O, no
//! clock, and no state but what whoever asks keeps for it: the decision module does.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod aside;
pub mod calls;
pub mod draw;
pub mod homes;
pub mod list_lease;
pub mod slow_start;
pub mod tenants;
pub mod usual;

/// Sidecars up to which each sees enough of the servers by itself.
const FEW: f64 = 10.0;

/// How much of what happens to the servers one sidecar sees, compared with one of a small fleet: 1 up to
/// ten sidecars, a tenth at a hundred. The traffic of a server grows little with the fleet, so every
/// sidecar's part of it shrinks, and with it the number of answers that teach it anything.
pub fn sight(sidecars: usize) -> f64 {
    (FEW / sidecars.max(1) as f64).min(1.0)
}
