//! Random numbers: one stream for each purpose, and hashed numbers that depend on a key only.

use crate::scenario::Range;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The purpose of a random stream.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Machines.
    Fleet,
    /// Sidecars and their shares.
    Sidecars,
    /// Arrivals.
    Arrivals,
    /// Faults.
    Faults,
    /// Clients' figures.
    Clients,
    /// Discovery's figures.
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

/// A uniform number from 0 to 1 that depends on the seed and these parts only.
pub fn hashed(seed: u64, parts: &[u64]) -> f64 {
    let mut state = seed ^ 0x9e37_79b9_7f4a_7c15;
    for part in parts {
        // The finaliser of SplitMix64 (Steele, Lea, Flood 2014).
        state = state.wrapping_add(*part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        state ^= state >> 31;
    }
    (state >> 11) as f64 / (1_u64 << 53) as f64
}

/// A lognormal factor with mean 1 and this coefficient of variation, from a uniform number from 0 to 1.
pub fn factor(cv: f64, draw: f64) -> f64 {
    // Two uniform halves of the draw's bits give a normal one (Box and Muller).
    let (a, b) = (draw.clamp(1e-9, 1.0 - 1e-9), (draw * 65_536.0).fract());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let sigma = (1.0 + cv * cv).ln().sqrt();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Draws from one random stream.
pub(super) struct Draws(pub(super) ChaCha8Rng);

impl Draws {
    /// The draws of a purpose, from the begin of its stream.
    pub(super) fn new(seed: u64, purpose: Purpose) -> Draws {
        Draws(stream(seed, purpose))
    }

    /// Draws a figure from its range.
    pub(super) fn of(&mut self, range: Range) -> f64 {
        range.at(self.0.random::<f64>())
    }

    /// Draws so many shares with the sum 1, the more unequal the larger the skew.
    pub(super) fn shares(&mut self, n: usize, skew: f64) -> Vec<f64> {
        let raw: Vec<f64> = (0..n).map(|_| 1.0 + skew * (2.0 * self.0.random::<f64>() - 1.0) * 1.5).collect();
        let raw: Vec<f64> = raw.into_iter().map(|s| s.max(0.1)).collect();
        let sum: f64 = raw.iter().sum();
        raw.into_iter().map(|s| s / sum).collect()
    }

    /// Draws a permutation of so many (Fisher and Yates).
    pub(super) fn order(&mut self, n: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        for i in (1..n).rev() {
            all.swap(i, self.0.random_range(0..=i));
        }
        all
    }
}

/// Distributes so many over shares by the largest remainder; returns the index of the share for each.
pub(super) fn spread(n: usize, shares: &[f64]) -> Vec<usize> {
    let mut counts = vec![0_usize; shares.len()];
    (0..n)
        .map(|_| {
            let lack = |z: &usize| shares[*z] * n as f64 - counts[*z] as f64;
            let zone = (0..shares.len()).max_by(|a, b| lack(a).total_cmp(&lack(b))).unwrap_or(0);
            counts[zone] += 1;
            zone
        })
        .collect()
}

/// The index of the share in which a number from 0 to 1 falls.
pub(super) fn pick(shares: impl Iterator<Item = f64>, mut at: f64) -> usize {
    let mut last = 0;
    for (number, share) in shares.enumerate() {
        last = number;
        at -= share;
        if at < 0.0 {
            break;
        }
    }
    last
}
