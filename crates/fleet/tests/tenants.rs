//! Tenants within and beyond their quotas.

use roseproxy_fleet::tenants::*;

use rand_core::SeedableRng;

/// Sends 1,500 requests, cycling through the tenants in `order`, ten milliseconds apart.
fn send_in_order(tenants: &mut TenantQuotas, order: &[usize]) -> i64 {
    for i in 0..1500 {
        tenants.record_sent(order[i % order.len()], i as i64 * 10_000);
    }
    15_000_000
}

#[test]
fn a_tenant_exceeds_its_quota_by_this_sidecars_part_of_it() {
    // This sidecar sends 100 requests a second, a quarter of all.
    let mut tenants = TenantQuotas::new(&[240.0, 80.0, 80.0], 4);
    assert_eq!([0, 1, 2].map(|t| tenants.excess(t, 0)), [0.0; 3], "no tenant does at first");
    let now = send_in_order(&mut tenants, &[0, 0, 0, 1, 2]);
    assert!((0..3).all(|t| tenants.excess(t, now) < 0.05), "each tenant had its quota");
    let now = send_in_order(&mut tenants, &[0, 1, 1, 2]);
    let excess = [0, 1, 2].map(|t| tenants.excess(t, now));
    assert!(excess[0] == 0.0 && excess[1] > 2.0 * excess[2], "{excess:?}");
    assert!(tenants.excess(1, now + 60_000_000) < 0.01, "the excess is forgotten after a minute");
}

#[test]
fn a_sidecar_with_more_traffic_has_a_larger_part_of_each_quota() {
    let mut tenants = TenantQuotas::new(&[200.0], 4);
    let now = send_in_order(&mut tenants, &[0]);
    assert!(tenants.excess(0, now) > 0.4, "twice an even part");
    for _ in 0..1000 {
        tenants.record_held(40.0, 20.0, 50_000.0);
    }
    assert!((tenants.own_share() - 0.5).abs() < 0.05, "{}", tenants.own_share());
    assert!(tenants.excess(0, now) < 0.05, "half of all traffic passes through this sidecar");
    (0..1000).for_each(|_| tenants.record_held(0.0, 0.0, 50_000.0));
    tenants.record_held(f64::NAN, 1.0, 1e9);
    assert!((tenants.own_share() - 0.25).abs() < 0.05, "an idle fleet leads back to an even share");
}

/// One of three hundred sidecars sends two requests a second: on a calm day a tenth of them was
/// refused because of random variation.
#[test]
fn random_variation_exceeds_no_quota_in_a_large_fleet() {
    let mut rng = rand_xoshiro::Xoshiro128PlusPlus::seed_from_u64(4);
    let mut tenants = TenantQuotas::new(&[450.0, 78.0, 72.0], 300);
    let mut most = 0.0_f64;
    for i in 0..120 {
        let at = roseproxy_fleet::draw::uniform(&mut rng);
        let tenant = roseproxy_fleet::draw::pick_by_share([0.75, 0.13, 0.12], at).expect("shares");
        tenants.record_sent(tenant, i * 500_000);
        most = most.max(tenants.excess(tenant, i * 500_000));
    }
    assert!(most < 0.1, "{most:.2}");
}

#[test]
fn a_few_requests_exceed_little_and_invalid_quotas_count_as_none() {
    let mut tenants = TenantQuotas::new(&[50.0, 50.0], 1000);
    tenants.record_sent(1, 0);
    assert!(tenants.excess(1, 0) < 0.2);
    for quotas in [&[][..], &[0.0, 0.0], &[f64::NAN, -3.0], &[f64::INFINITY, 0.0]] {
        let mut tenants = TenantQuotas::new(quotas, 0);
        let now = send_in_order(&mut tenants, &[0, 1, 7]);
        assert!((0..9).all(|t| tenants.excess(t, now) == 0.0), "{quotas:?}");
    }
}
