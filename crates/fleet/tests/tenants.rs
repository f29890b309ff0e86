//! What tenants send within and beyond their quotas.

use roseproxy_fleet::tenants::*;

use rand_core::SeedableRng;

/// Sends 1,500 requests of tenants in this order over and over, ten milliseconds apart.
fn after(tenants: &mut Tenants, order: &[usize]) -> i64 {
    for i in 0..1500 {
        tenants.sent(order[i % order.len()], i as i64 * 10_000);
    }
    15_000_000
}

#[test]
fn a_tenant_is_beyond_its_quota_by_the_part_of_it_that_is_due_here() {
    // 100 requests a second from here, a quarter of all.
    let mut tenants = Tenants::new(&[240.0, 80.0, 80.0], 4);
    assert_eq!([0, 1, 2].map(|t| tenants.beyond(t, 0)), [0.0; 3], "nobody is at first");
    let now = after(&mut tenants, &[0, 0, 0, 1, 2]);
    assert!((0..3).all(|t| tenants.beyond(t, now) < 0.05), "each had its quota");
    let now = after(&mut tenants, &[0, 1, 1, 2]);
    let beyond = [0, 1, 2].map(|t| tenants.beyond(t, now));
    assert!(beyond[0] == 0.0 && beyond[1] > 2.0 * beyond[2], "{beyond:?}");
    assert!(tenants.beyond(1, now + 60_000_000) < 0.01, "a minute later that is forgotten");
}

#[test]
fn whoever_carries_more_of_the_traffic_has_more_of_each_quota() {
    let mut tenants = Tenants::new(&[200.0], 4);
    let now = after(&mut tenants, &[0]);
    assert!(tenants.beyond(0, now) > 0.4, "twice an even part");
    for _ in 0..1000 {
        tenants.held(40.0, 20.0, 50_000.0);
    }
    assert!((tenants.part() - 0.5).abs() < 0.05, "{}", tenants.part());
    assert!(tenants.beyond(0, now) < 0.05, "half of all comes through here");
    (0..1000).for_each(|_| tenants.held(0.0, 0.0, 50_000.0));
    tenants.held(f64::NAN, 1.0, 1e9);
    assert!((tenants.part() - 0.25).abs() < 0.05, "an idle fleet tells nothing");
}

/// One of three hundred sends two requests a second: on a calm day a tenth was refused for what chance did.
#[test]
fn chance_puts_nobody_beyond_a_quota_in_a_large_fleet() {
    let mut rng = rand_xoshiro::Xoshiro128PlusPlus::seed_from_u64(4);
    let mut tenants = Tenants::new(&[450.0, 78.0, 72.0], 300);
    let mut most = 0.0_f64;
    for i in 0..120 {
        let at = roseproxy_fleet::draw::uniform(&mut rng);
        let tenant = roseproxy_fleet::draw::pick([0.75, 0.13, 0.12], at).expect("shares");
        tenants.sent(tenant, i * 500_000);
        most = most.max(tenants.beyond(tenant, i * 500_000));
    }
    assert!(most < 0.1, "{most:.2}");
}

#[test]
fn a_few_requests_tell_little_and_odd_quotas_nothing() {
    let mut tenants = Tenants::new(&[50.0, 50.0], 1000);
    tenants.sent(1, 0);
    assert!(tenants.beyond(1, 0) < 0.2);
    for quotas in [&[][..], &[0.0, 0.0], &[f64::NAN, -3.0], &[f64::INFINITY, 0.0]] {
        let mut tenants = Tenants::new(quotas, 0);
        let now = after(&mut tenants, &[0, 1, 7]);
        assert!((0..9).all(|t| tenants.beyond(t, now) == 0.0), "{quotas:?}");
    }
}
