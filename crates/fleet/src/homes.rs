//! Key homes: the servers that all sidecars send a key to first, so that it is met there while it is
//! still remembered.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;

/// Servers among which a key needs one home. Popular keys carry a fixed part of all requests, whatever
/// the fleet's size, and a server's part shrinks as the fleet grows: up to about this many the most
/// popular key (an eighth of all requests, and a third to two thirds less work where it is remembered)
/// is no more than its home can do.
const SERVERS_A_HOME: usize = 14;

/// Homes that a key has among so many servers.
pub fn homes(servers: usize) -> usize {
    servers.div_ceil(SERVERS_A_HOME).max(1)
}

/// How well a server suits a key's home of this number; the one with the greatest figure is it (weighted
/// rendezvous: the same at all sidecars, and when a server leaves only its own keys move).
pub fn suits(key: u64, home: usize, server: u64, power: f64) -> f64 {
    let salt = (home as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = Xoshiro128PlusPlus::seed_from_u64(key ^ salt ^ server).next_u64() >> 11;
    ((mixed as f64 + 1.0) / (1_u64 << 53) as f64).ln() / power
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn today_a_key_has_one_home_and_a_larger_fleet_spreads_it() {
        assert!((0..=14).all(|n| homes(n) == 1));
        assert_eq!((homes(15), homes(60), homes(600)), (2, 5, 43));
    }

    #[test]
    fn the_homes_of_a_key_are_different_servers_as_a_rule() {
        let best = |key, home| {
            (1..=60_u64).max_by(|a, b| suits(key, home, *a, 1.0).total_cmp(&suits(key, home, *b, 1.0)))
        };
        let found: std::collections::HashSet<_> =
            (0..200).flat_map(|key| (0..5).map(move |h| (key, best(key * 7919, h)))).collect();
        assert!(found.len() > 900, "{} homes of 1000", found.len());
    }
}
