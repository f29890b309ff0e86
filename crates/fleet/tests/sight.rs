//! How much of the fleet one sidecar sees.

use roseproxy_fleet::sight;

#[test]
fn sight_is_whole_today_and_never_nothing() {
    assert!([0, 1, 4, 9, 10].iter().all(|n| sight(*n) == 1.0));
    assert_eq!(sight(100), 0.1);
    assert!(sight(10_000_000) > 0.0 && sight(usize::MAX) > 0.0);
}
