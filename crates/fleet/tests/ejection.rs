//! Ejection of failing servers.

use roseproxy_fleet::ejection::{first_ejection_time, outcome_weight};

#[test]
fn one_outcome_is_enough_in_a_large_fleet_and_nothing_changes_in_a_small_one() {
    assert_eq!((outcome_weight(0.3, 1.0), first_ejection_time(300_000, 5_000_000, 1.0)), (0.3, 300_000));
    assert_eq!((outcome_weight(0.3, 0.1), first_ejection_time(300_000, 5_000_000, 0.1)), (0.6, 3_000_000));
    assert_eq!(first_ejection_time(300_000, 5_000_000, 1e-9), 5_000_000);
}
