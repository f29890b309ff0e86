//! The load that is usual in the fleet.

use roseproxy_fleet::usual::usual_load;

#[test]
fn one_crowded_server_does_not_make_a_full_fleet() {
    let mut reports = vec![(1.0, 2.0); 12];
    assert!((usual_load(&reports, 0.1) - 0.5).abs() < 1e-9);
    reports.push((43.0, 2.0));
    assert!(usual_load(&reports, 0.1) < 0.8, "{}", usual_load(&reports, 0.1));
    assert!((usual_load(&reports, 1.0) - 55.0 / 26.0).abs() < 1e-9, "who sees all takes the mean");
}

#[test]
fn a_full_fleet_is_seen_as_one() {
    assert!((usual_load(&[(40.0, 2.0), (36.0, 2.0), (44.0, 2.0)], 0.1) - 20.0).abs() < 1e-9);
    assert_eq!(usual_load(&[], 0.1), 0.0);
    assert_eq!(usual_load(&[(3.0, 0.0), (f64::NAN, 0.0)], 0.1), 0.0);
}
