//! Random draws, the same for all that draws by shares.

use rand_core::RngCore;

/// A random number from 0 to 1.
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Where a number falls among shares laid end to end, or the last of them where it falls beyond them;
/// `None` where all are 0.
pub fn pick(shares: impl IntoIterator<Item = f64>, mut at: f64) -> Option<usize> {
    let mut last = None;
    for (i, share) in shares.into_iter().enumerate().filter(|(_, s)| *s > 0.0) {
        (last, at) = (Some(i), at - share);
        if at < 0.0 {
            break;
        }
    }
    last
}
