//! How much of the fleet's behaviour one sidecar observes.

use roseproxy_fleet::visibility;

#[test]
fn visibility_is_full_up_to_ten_sidecars_and_never_zero() {
    assert!([0, 1, 4, 9, 10].iter().all(|n| visibility(*n) == 1.0));
    assert_eq!(visibility(100), 0.1);
    assert!(visibility(10_000_000) > 0.0 && visibility(usize::MAX) > 0.0);
}
