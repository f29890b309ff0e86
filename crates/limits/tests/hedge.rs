//! The delay of hedged requests, and when hedging stops and resumes.

use roseproxy_limits::hedge::{HedgeDelay, Hedging, HedgingState, PercentileEstimate, TRIAL_INTERVAL};

#[test]
fn a_live_percentile_follows_the_latency() {
    let mut p95 = PercentileEstimate::new(0.95);
    assert_eq!(p95.value_ms(), None);
    // Evenly distributed from 0 to 100 ms, in scrambled order.
    let latency = |n: u32| f64::from(n.wrapping_mul(2_654_435_761) >> 8) / f64::from(1_u32 << 24) * 100.0;
    (0..4_000).for_each(|n| p95.record(f64::from(n), latency(n)));
    let calm = p95.value_ms().expect("known");
    assert!((85.0..100.0).contains(&calm), "{calm}");
    (4_000..8_000).for_each(|n| p95.record(f64::from(n), 3.0 * latency(n)));
    let slow = p95.value_ms().expect("known");
    assert!((240.0..300.0).contains(&slow), "{slow}");
    p95.record(100_000.0, 1.0);
    assert_eq!(p95.value_ms(), None, "the estimate is too old");
}

#[test]
fn hedging_stops_when_hedged_requests_rarely_win_and_resumes_when_they_win() {
    let mut hedging = Hedging::new(HedgeDelay::FixedMs(50.0));
    assert_eq!(hedging.delay_ms(), Some(50.0));
    (0..200).for_each(|n| hedging.record_result(n % 2 == 0));
    assert_eq!(hedging.state(), HedgingState::On);
    // The whole fleet is slow: no hedged request wins.
    let until_off = (0..200).take_while(|_| {
        hedging.record_result(false);
        hedging.state() == HedgingState::On
    });
    assert!(until_off.count() < 40);
    let sent = (0..1_000).filter(|_| hedging.allow_hedge()).count();
    assert_eq!(sent, 1_000 / TRIAL_INTERVAL as usize, "only trials");
    // Only one server is still slow: half of the trials win, and hedging resumes.
    let until_on = (0..100).take_while(|n| {
        hedging.record_result(n % 2 == 0);
        hedging.state() == HedgingState::Off
    });
    assert!(until_on.count() < 20);
}
