//! Uniform random numbers and weighted selection.

use rand_core::RngCore;

/// Returns a uniform random number in `[0, 1)`.
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the index of the share in which `position` falls when the shares are laid end to end, or
/// the last positive share if `position` lies beyond them. Returns `None` if no share is positive.
pub fn pick_by_share(shares: impl IntoIterator<Item = f64>, mut position: f64) -> Option<usize> {
    let mut last = None;
    for (i, share) in shares.into_iter().enumerate().filter(|(_, s)| *s > 0.0) {
        (last, position) = (Some(i), position - share);
        if position < 0.0 {
            break;
        }
    }
    last
}
