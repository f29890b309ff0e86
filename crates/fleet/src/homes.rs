//! Key homes: the servers that all sidecars send a key to first, so that it is met there while it is
//! still remembered.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use std::collections::HashMap;

/// What one home's part of a key may be, as a share of what a server gets of all requests. A popular key
/// carries a fixed part of the traffic whatever the fleet's size, and a server's part shrinks as the fleet
/// grows: at sixty servers the most popular key is ten servers' work.
const PART: f64 = 0.5;
/// Requests after which older ones count half, and keys that are counted at most.
const RECENT: f64 = 512.0;
const MOST_KEYS: usize = 1024;

/// How popular keys are, as one sidecar sees it.
#[derive(Debug, Default)]
pub struct Popularity {
    counts: HashMap<u64, f64>,
    all: f64,
}

impl Popularity {
    /// Counts a request for a key.
    pub fn saw(&mut self, key: u64) {
        if self.all >= RECENT {
            self.all /= 2.0;
            self.counts.values_mut().for_each(|c| *c /= 2.0);
            self.counts.retain(|_, c| *c >= 0.5);
        }
        self.all += 1.0;
        // Keys that never end would fill the memory: past the bound only those that came before count.
        if self.counts.len() < MOST_KEYS || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_insert(0.0) += 1.0;
        }
    }

    /// The key's share of the requests. One sighting says nothing: to whoever asked little, every key
    /// would look popular.
    pub fn share(&self, key: u64) -> f64 {
        let count = self.counts.get(&key).copied().unwrap_or(0.0);
        (count - 1.0).max(0.0) / self.all.max(1.0)
    }
}

/// Homes that a key with this share of the requests has among so many servers; one in a fleet so small
/// that a sidecar sees all of it.
pub fn homes(share: f64, servers: usize, sight: f64) -> usize {
    let homes = (share * servers as f64 / PART * (1.0 - sight)).ceil();
    (homes as usize).clamp(1, servers.max(1))
}

/// How well a server suits a key's home of this number; the one with the greatest figure is it (weighted
/// rendezvous: the same at all sidecars, and when a server leaves only its own keys move). Who thinks a
/// key less popular uses fewer of the same homes.
pub fn suits(key: u64, home: usize, server: u64, power: f64) -> f64 {
    let salt = (home as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = Xoshiro128PlusPlus::seed_from_u64(key ^ salt ^ server).next_u64() >> 11;
    ((mixed as f64 + 1.0) / (1_u64 << 53) as f64).ln() / power
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_popular_key_has_homes_by_its_share_and_others_one() {
        assert!((0..=60).all(|n| homes(0.0, n, 0.1) == 1));
        assert_eq!((homes(0.15, 60, 0.1), homes(0.016, 60, 0.1), homes(0.005, 60, 0.1)), (17, 2, 1));
        assert_eq!((homes(1.0, 60, 0.0), homes(1.0, 0, 0.1), homes(f64::NAN, 9, 0.1)), (60, 1, 1));
        assert_eq!(homes(0.15, 10, 1.0), 1, "a small fleet keeps one");
    }

    #[test]
    fn shares_are_learnt_and_forgotten_within_bounds() {
        let mut seen = Popularity::default();
        seen.saw(1);
        assert_eq!(seen.share(1), 0.0);
        (0..1000).for_each(|n| seen.saw(if n % 5 == 0 { 7 } else { 1000 + n }));
        assert!((0.17..0.21).contains(&seen.share(7)), "{}", seen.share(7));
        (0..100_000).for_each(|n| seen.saw(1_000_000 + n));
        assert!(seen.share(7) < 0.001 && seen.counts.len() <= MOST_KEYS, "{}", seen.counts.len());
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
