//! The estimate of the fleet's typical load.

use roseproxy_fleet::typical_load::typical_load;

#[test]
fn one_overloaded_server_does_not_make_the_fleet_look_full() {
    let mut reports = vec![(1.0, 2.0); 12];
    assert!((typical_load(&reports, 0.1) - 0.5).abs() < 1e-9);
    reports.push((43.0, 2.0));
    assert!(typical_load(&reports, 0.1) < 0.8, "{}", typical_load(&reports, 0.1));
    assert!((typical_load(&reports, 1.0) - 55.0 / 26.0).abs() < 1e-9, "at full visibility the mean is used");
}

#[test]
fn a_full_fleet_is_reported_as_full() {
    assert!((typical_load(&[(40.0, 2.0), (36.0, 2.0), (44.0, 2.0)], 0.1) - 20.0).abs() < 1e-9);
    assert_eq!(typical_load(&[], 0.1), 0.0);
    assert_eq!(typical_load(&[(3.0, 0.0), (f64::NAN, 0.0)], 0.1), 0.0);
}
