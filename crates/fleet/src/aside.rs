//! Setting a bad server aside: how soon, and for how long.
//!
//! Every sidecar pays for its own lesson. A crowded server that each of a hundred sidecars tries twice
//! before it stays away, and again after 0.3 s, gets forty requests a second that nobody has an answer
//! to, and stays crowded by them. So the fewer of a server's outcomes one sidecar sees, the more one of
//! them counts, and the longer it stays away.

/// The most that one outcome may count: beyond this an isolated error would set a server aside for good.
const MOST: f64 = 0.6;

/// Weight of one bad outcome, where `few` is its weight for one that sees all of them.
pub fn weight(few: f64, sight: f64) -> f64 {
    (few / sight).min(MOST).max(few)
}

/// The first rest of a server set aside, where the first and longest are these for one that sees all.
pub fn first_rest(first: i64, longest: i64, sight: f64) -> i64 {
    ((first as f64 / sight) as i64).min(longest).max(first)
}
