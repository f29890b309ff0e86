//! Random numbers: one stream for each purpose, and hashed numbers that depend only on the seed and a key.

use crate::scenario::Range;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The purpose of a random stream.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Initial servers.
    Fleet,
    /// Sidecars and their shares.
    Sidecars,
    /// Arrivals.
    Arrivals,
    /// Faults.
    Faults,
    /// Parameters of the clients.
    Clients,
    /// Parameters of discovery and of the network.
    Discovery,
    /// Servers added during the simulation. The numeric values select the streams and must not change.
    Replacements = 7,
}

/// The random stream of a purpose.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}

/// A uniform number from 0 to 1 that depends only on the seed and the key `parts`.
pub fn hashed(seed: u64, parts: &[u64]) -> f64 {
    let mut state = seed ^ 0x9e37_79b9_7f4a_7c15;
    for part in parts {
        // The finalizer of SplitMix64 (Steele, Lea and Flood 2014).
        state = state.wrapping_add(*part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        state ^= state >> 31;
    }
    (state >> 11) as f64 / (1_u64 << 53) as f64
}

/// A lognormal factor with mean 1 and coefficient of variation `cv`, computed from a uniform number `draw`.
pub fn lognormal_factor(cv: f64, draw: f64) -> f64 {
    // The Box-Muller transform, with the high and the low bits of the draw as its two uniform numbers.
    let (a, b) = (draw.clamp(1e-9, 1.0 - 1e-9), (draw * 65_536.0).fract());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let sigma = (1.0 + cv * cv).ln().sqrt();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// A random stream and the draws from it.
pub(super) struct Draws {
    pub(super) rng: ChaCha8Rng,
}

impl Draws {
    /// Creates the draws of a purpose, from the start of its stream.
    pub(super) fn new(seed: u64, purpose: Purpose) -> Draws {
        Draws { rng: stream(seed, purpose) }
    }

    /// Draws a figure from its range.
    pub(super) fn draw(&mut self, range: Range) -> f64 {
        range.interpolate(self.rng.random::<f64>())
    }

    /// Draws `count` shares with sum 1; they differ more with a larger skew.
    pub(super) fn shares(&mut self, count: usize, skew: f64) -> Vec<f64> {
        let raw: Vec<f64> =
            (0..count).map(|_| 1.0 + skew * (2.0 * self.rng.random::<f64>() - 1.0) * 1.5).collect();
        let raw: Vec<f64> = raw.into_iter().map(|s| s.max(0.1)).collect();
        let sum: f64 = raw.iter().sum();
        raw.into_iter().map(|s| s / sum).collect()
    }

    /// Draws a permutation of `0..count` (Fisher-Yates shuffle).
    pub(super) fn permutation(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        for i in (1..count).rev() {
            all.swap(i, self.rng.random_range(0..=i));
        }
        all
    }
}

/// Distributes `count` items over shares by largest remainder; returns the index of the share of each item.
pub(super) fn apportion(count: usize, shares: &[f64]) -> Vec<usize> {
    let mut counts = vec![0_usize; shares.len()];
    (0..count)
        .map(|_| {
            let shortfall = |i: &usize| shares[*i] * count as f64 - counts[*i] as f64;
            let index = (0..shares.len()).max_by(|a, b| shortfall(a).total_cmp(&shortfall(b))).unwrap_or(0);
            counts[index] += 1;
            index
        })
        .collect()
}

/// The index of the share that contains a number from 0 to 1 (inverse transform sampling).
pub(super) fn pick_by_share(shares: impl Iterator<Item = f64>, mut point: f64) -> usize {
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        point -= share;
        if point < 0.0 {
            break;
        }
    }
    last
}
