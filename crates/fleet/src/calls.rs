//! When to call discovery: one service of fixed capacity for all sidecars, where calls wait in turn and
//! fail when they have waited too long. A hundred sidecars that each ask again after two seconds are fifty
//! calls a second; it answers a few, and all of them fail for as long as that goes on.

/// Time (microseconds) by which each sidecar widens the window that first calls are spread over, and the
/// most that it widens that of later ones.
const EACH: (f64, f64) = (50e3, 350e3);
/// Parts of the time in which an instance must ask: the first window of a small fleet is the first of them,
/// the first call of any fleet is out within the second, and later ones, which have four times as long, within
/// the third.
const PARTS: (f64, f64, f64) = (0.1, 0.9, 3.5);

/// The window (microseconds) in which to call next, after so many failures in a row. A call is due at an
/// even draw from it. It widens with failures and with the fleet, and stays within what an instance that
/// must ask every `ask_within` is allowed.
pub fn window(failed: u32, sidecars: usize, ask_within: i64) -> f64 {
    let within = ask_within.max(0) as f64;
    let few = within * PARTS.0 * f64::from(1 << failed.min(2));
    let many = sidecars as f64 * (EACH.0 * f64::from(1 << failed.min(8))).min(EACH.1);
    let most = within * if failed == 0 { PARTS.1 } else { PARTS.2 };
    few.max(many.min(most))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_fleet_asks_soon_and_a_large_one_spreads_its_calls() {
        let seconds = |failed, n| window(failed, n, 10_000_000) / 1e6;
        assert_eq!([0, 1, 2, 3, 9].map(|f| seconds(f, 9)), [1.0, 2.0, 4.0, 4.0, 4.0]);
        assert_eq!([0, 1, 2, 3, 9].map(|f| seconds(f, 100)), [5.0, 10.0, 20.0, 35.0, 35.0]);
        assert_eq!([0, 1].map(|f| seconds(f, 10_000_000)), [9.0, 35.0], "never past what must be asked");
    }

    #[test]
    fn absurd_settings_have_a_window_too() {
        assert_eq!(window(3, 100, 0), 0.0);
        assert_eq!(window(u32::MAX, 0, -5), 0.0);
        assert!(window(u32::MAX, usize::MAX, i64::MAX).is_finite());
    }
}
