//! The water-fill of Theorem 4 (docs/design.md names the paper), for servers of unequal capacity.
//!
//! A water-fill gives shares to the emptiest servers first, until the expected load per unit of capacity of
//! all servers that get a share reaches one common level, as water levels out in connected vessels.

use crate::state::Candidate;

/// Theorem 4 for servers of unequal capacity: raises (load/2 + (m-1) share)/capacity to one level, where `m`
/// is the number of requests that all sidecars together send while one load report is in use.
///
/// Servers above the level get nothing. What exceeds a server's maximum share is distributed to the others.
/// The shares sum to 1; where the maximum shares add up to less, they are exceeded in proportion. All
/// shares are 0 if no server can take any.
pub fn water_fill(candidates: &[Candidate], m: f64, shares: &mut Vec<f64>) {
    const UNASSIGNED: f64 = -1.0;
    let m1 = if m.is_finite() { (m - 1.0).max(1.0) } else { 1.0 };
    let in_range = |x: f64| x.abs() < 1e12;
    let usable =
        |c: &Candidate| c.max_share > 0.0 && c.capacity > 1e-12 && in_range(c.capacity) && in_range(c.load);
    shares.clear();
    shares.extend(candidates.iter().map(|c| if usable(c) { UNASSIGNED } else { 0.0 }));
    let mut left = 1.0_f64;
    loop {
        // The level falls as servers above it are excluded.
        let (mut level, mut count) = (f64::INFINITY, usize::MAX);
        loop {
            let (mut load, mut capacity, mut n) = (left.max(0.0) * m1, 0.0, 0);
            for (c, _) in candidates.iter().zip(&*shares).filter(|(_, s)| **s == UNASSIGNED) {
                if c.load / 2.0 < level * c.capacity {
                    (load, capacity, n) = (load + c.load / 2.0, capacity + c.capacity, n + 1);
                }
            }
            // Rounding may exclude and include a server in turn; the loop ends once the count stops falling.
            if n == 0 || n >= count {
                break;
            }
            (level, count) = (load / capacity, n);
        }
        let share = |c: &Candidate| ((level * c.capacity - c.load / 2.0) / m1).max(0.0);
        let before = left;
        for (c, s) in candidates.iter().zip(shares.iter_mut()) {
            if *s == UNASSIGNED && share(c) > c.max_share {
                *s = c.max_share;
                left -= c.max_share;
            }
        }
        if left == before {
            let unassigned = candidates.iter().zip(shares.iter_mut()).filter(|(_, s)| **s == UNASSIGNED);
            unassigned.for_each(|(c, s)| *s = share(c));
            break;
        }
    }
    let sum: f64 = shares.iter().sum();
    if sum > 0.0 {
        shares.iter_mut().for_each(|s| *s /= sum);
    }
}
