//! Policies whose strength depends on the number of sidecars in the fleet.
//!
//! Sidecars exchange no messages and all run the same algorithm, so an action that is harmless from
//! a few of them can overload a server or discovery when a hundred take it at once. Each module
//! here computes one sidecar's part of such an action: calls to discovery, cold-server budgets,
//! tenant quotas, key affinity and the ejection of failing servers. The crate does no I/O, reads no
//! clock and depends only on random number generators; the decision module and the routing host
//! keep its state and pass in the time. Begin with [`visibility`], which most modules scale by,
//! then read [`discovery_calls`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery_calls;
pub mod draw;
pub mod ejection;
pub mod key_homes;
pub mod list_lease;
pub mod slow_start;
pub mod tenants;
pub mod typical_load;

/// Largest fleet in which each sidecar sees enough of the servers' behaviour by itself.
const FULL_VISIBILITY_SIDECARS: f64 = 10.0;

/// Share of a server's traffic that one sidecar observes, relative to a small fleet: 1 for up to
/// ten sidecars, 0.1 for a hundred.
///
/// The traffic of a server grows little with the fleet, so the part that each sidecar sends
/// shrinks, and with it the number of responses from which the sidecar can learn.
pub fn visibility(sidecars: usize) -> f64 {
    (FULL_VISIBILITY_SIDECARS / sidecars.max(1) as f64).min(1.0)
}
