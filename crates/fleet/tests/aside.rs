//! Setting a bad server aside.

use roseproxy_fleet::aside::{first_rest, weight};

#[test]
fn one_outcome_is_enough_in_a_large_fleet_and_nothing_changes_in_a_small_one() {
    assert_eq!((weight(0.3, 1.0), first_rest(300_000, 5_000_000, 1.0)), (0.3, 300_000));
    assert_eq!((weight(0.3, 0.1), first_rest(300_000, 5_000_000, 0.1)), (0.6, 3_000_000));
    assert_eq!(first_rest(300_000, 5_000_000, 1e-9), 5_000_000);
}
