//! Ejection of failing servers: how soon a sidecar excludes a server from its choice, and for how
//! long.
//!
//! Each sidecar detects a failing server from its own requests alone. If each of a hundred sidecars
//! sent an overloaded server two requests before ejecting it, and retried after 0.3 s, the server
//! would receive forty requests a second that it cannot answer, and these would keep it overloaded.
//! Therefore, the fewer of a server's outcomes one sidecar observes, the more each outcome weighs
//! and the longer the first ejection lasts.

/// Upper limit of one outcome's weight; above it, a single isolated error would eject a server for
/// good.
const MAX_OUTCOME_WEIGHT: f64 = 0.6;

/// Weight of one bad outcome; `base` is its weight at a visibility of 1.
pub fn outcome_weight(base: f64, visibility: f64) -> f64 {
    (base / visibility).min(MAX_OUTCOME_WEIGHT).max(base)
}

/// Duration of a server's first ejection; `first` and `longest` are the shortest and longest
/// durations at a visibility of 1.
pub fn first_ejection_time(first: i64, longest: i64, visibility: f64) -> i64 {
    ((first as f64 / visibility) as i64).min(longest).max(first)
}
