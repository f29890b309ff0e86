//! When a second copy is sent, and when hedging stops.

use roseproxy_limits::hedge::{Hedging, Percentile, State, When, SCOUT};

#[test]
fn a_live_percentile_follows_the_answers() {
    let mut p95 = Percentile::new(0.95);
    assert_eq!(p95.value(), None);
    // Evenly from 0 to 100 ms, in an order without pattern.
    let took = |n: u32| f64::from(n.wrapping_mul(2_654_435_761) >> 8) / f64::from(1_u32 << 24) * 100.0;
    (0..4_000).for_each(|n| p95.add(f64::from(n), took(n)));
    let calm = p95.value().expect("known");
    assert!((85.0..100.0).contains(&calm), "{calm}");
    (4_000..8_000).for_each(|n| p95.add(f64::from(n), 3.0 * took(n)));
    let slow = p95.value().expect("known");
    assert!((240.0..300.0).contains(&slow), "{slow}");
    p95.add(100_000.0, 1.0);
    assert_eq!(p95.value(), None, "what was known is too old");
}

#[test]
fn hedges_that_win_go_on_and_those_that_do_not_stop_and_come_back() {
    let mut hedging = Hedging::new(When::After(50.0));
    assert_eq!(hedging.after(), Some(50.0));
    (0..200).for_each(|n| hedging.ended(n % 2 == 0));
    assert_eq!(hedging.state(), State::On);
    // The whole fleet is slow: hardly one wins.
    let until_off = (0..200).take_while(|_| {
        hedging.ended(false);
        hedging.state() == State::On
    });
    assert!(until_off.count() < 40);
    let out = (0..1_000).filter(|_| hedging.may_go()).count();
    assert_eq!(out, 1_000 / SCOUT as usize, "only scouts");
    // The fleet is well again but for one server: scouts win, and hedging is back by itself.
    let until_on = (0..100).take_while(|n| {
        hedging.ended(n % 2 == 0);
        hedging.state() == State::Off
    });
    assert!(until_on.count() < 20);
}
