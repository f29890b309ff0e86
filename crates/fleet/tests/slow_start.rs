//! Call budgets of cold servers, estimated from the rate that warm servers serve.

use roseproxy_fleet::slow_start::{Ramp, SlowStart};

const SECOND_US: i64 = 1_000_000;
const RAMP: Ramp =
    Ramp { cold_from: 0.1, warm_up: 20 * SECOND_US, fall_multiple: 2.0, overload_span: 3 * SECOND_US / 2 };
const WARM: u64 = 1;
const COLD: u64 = 2;

/// Returns the state after ten seconds in which four warm servers of power 1 answer a hundred calls
/// a second each.
fn trained(sidecars: usize) -> (SlowStart, i64) {
    let mut slow_start = SlowStart::new(sidecars, RAMP);
    let mut now = 0;
    for call in 0..4_000 {
        now = call * 2_500;
        slow_start.record_call(now, WARM, 1.0);
        slow_start.record_answer(now);
        if call % 100 == 0 {
            slow_start.observe_power(now, 4.0, 4.0);
        }
    }
    (slow_start, now)
}

/// Returns the number of calls that a cold server may be sent at once.
fn calls_at_once(slow_start: &mut SlowStart, now: i64) -> usize {
    (0..10_000)
        .take_while(|_| {
            let allowed = slow_start.allows_call(now, COLD, RAMP.cold_from, 1.0);
            if allowed {
                slow_start.record_call(now, COLD, RAMP.cold_from);
            }
            allowed
        })
        .count()
}

#[test]
fn one_sidecar_keeps_to_the_budget_within_any_span() {
    let (mut slow_start, now) = trained(1);
    // The server tolerates 2 x 0.1 x 100 x 1.5 s = 30 calls, and 2 x root of 30 + 2 by random
    // variation.
    let calls = calls_at_once(&mut slow_start, now);
    assert!((15..=42).contains(&calls), "{calls}");
    assert!(
        !slow_start.allows_call(now + RAMP.overload_span - 1, COLD, RAMP.cold_from, 1.0),
        "the span is not over"
    );
    assert!(slow_start.allows_call(now + RAMP.overload_span + 1, COLD, RAMP.cold_from, 1.0));
    assert!(slow_start.allows_call(now, WARM, 1.0, 1.0), "a warm server has no budget");
}

#[test]
fn a_few_sidecars_share_the_budget() {
    let (mut slow_start, now) = trained(5);
    // Each of five sidecars observes a hundred calls a second at each server: the cold server
    // tolerates 150 calls from all of them.
    let calls = calls_at_once(&mut slow_start, now);
    assert!((15..=36).contains(&calls), "{calls}");
    assert!(slow_start.fleet_allows_call(now, COLD, RAMP.cold_from, 1.0), "all together may send more");
}

#[test]
fn the_share_of_a_cold_server_grows_with_its_warmth_and_is_unlimited_without_an_estimate() {
    let (slow_start, now) = trained(100);
    let shares = [0.1, 0.4, 0.9].map(|warmth| slow_start.max_share(now, warmth, 1.0));
    assert!(shares[0] > 0.0 && shares[0] < shares[1] && shares[1] < shares[2], "{shares:?}");
    // Twice a tenth of the share of one of four warm servers, reduced by the safety factor.
    assert!(shares[0] < 0.05, "{shares:?}");
    assert_eq!(SlowStart::new(100, RAMP).max_share(now, 0.1, 1.0), 1.0);
}

#[test]
fn the_load_of_the_last_warm_server_does_not_raise_the_estimate() {
    let (mut slow_start, mut now) = trained(1);
    let before = slow_start.max_share(now, 0.1, 1.0);
    // Three of four servers leave, and the fourth serves twice its former rate.
    for call in 0..800 {
        now += 5_000;
        slow_start.record_call(now, WARM, 1.0);
        slow_start.record_answer(now);
        if call % 20 == 0 {
            slow_start.observe_power(now, 1.0, 1.0);
        }
    }
    let after = slow_start.max_share(now, 0.1, 1.0);
    // With half as many calls, the same estimate gives twice the share, and slightly more.
    assert!(after < 2.5 * before, "{before:.3}, {after:.3}");
}

/// The stated size of the fleet may be too large, for example while most sidecars are down and the
/// rest carry the whole traffic. Eight of a stated 300 sidecars sent a cold server 73 calls within
/// a span in which it tolerates 72.
#[test]
fn the_few_sidecars_left_of_a_large_fleet_keep_to_the_budget_together() {
    const LEFT: usize = 8;
    let (mut slow_start, now) = trained(300);
    // Each observes a hundred calls a second at each server: together they have eight times 30
    // calls, and some for random variation.
    let budget = LEFT as f64 * RAMP.fall_multiple * RAMP.cold_from * 100.0 * 1.5;
    let tolerated = budget + 2.0 * budget.sqrt() + 2.0;
    let calls = LEFT * calls_at_once(&mut slow_start, now);
    assert!((calls as f64) <= tolerated, "{calls} calls, {tolerated:.0} are tolerated");
    assert!(calls as f64 >= budget / 2.0, "{calls} calls, fewer than half of the budget");
}

/// If a sidecar's part of a cold server's budget is less than one call, random variation alone
/// decides which sidecar sends one.
#[test]
fn a_budget_below_one_call_is_limited_only_on_average() {
    let mut slow_start = SlowStart::new(300, RAMP);
    let mut now = 0;
    for call in 0..100 {
        now = call * 100_000;
        slow_start.record_call(now, WARM, 1.0);
        slow_start.record_answer(now);
        slow_start.observe_power(now, 4.0, 4.0);
    }
    assert!(slow_start.max_share(now, RAMP.cold_from, 1.0) < 0.1);
    assert!(slow_start.allows_call(now, COLD, RAMP.cold_from, 1.0));
    slow_start.record_call(now, COLD, RAMP.cold_from);
    assert!(slow_start.allows_call(now, COLD, RAMP.cold_from, 1.0), "the next one is limited by shares too");
}
