//! The budget of cold servers: what warm ones serve is the guide, the span is the platform's.

use roseproxy_fleet::slow_start::{Ramp, SlowStart};

const SECOND: i64 = 1_000_000;
const RAMP: Ramp = Ramp { cold_from: 0.1, warm_up: 20 * SECOND, fall_multiple: 2.0, span: 3 * SECOND / 2 };
const WARM: u64 = 1;
const COLD: u64 = 2;

/// Ten seconds in which four warm servers of power 1 answer a hundred calls a second each.
fn learnt(sidecars: usize) -> (SlowStart, i64) {
    let mut slow_start = SlowStart::new(sidecars, RAMP);
    let mut now = 0;
    for call in 0..4_000 {
        now = call * 2_500;
        slow_start.sent(now, WARM, 1.0);
        slow_start.served(now);
        if call % 100 == 0 {
            slow_start.observe(now, 4.0, 4.0);
        }
    }
    (slow_start, now)
}

/// Calls that a cold server may be sent at once.
fn calls_at_once(slow_start: &mut SlowStart, now: i64) -> usize {
    (0..10_000)
        .take_while(|_| {
            let allowed = slow_start.allows(now, COLD, RAMP.cold_from, 1.0);
            if allowed {
                slow_start.sent(now, COLD, RAMP.cold_from);
            }
            allowed
        })
        .count()
}

#[test]
fn one_sidecar_keeps_to_the_budget_within_any_span() {
    let (mut slow_start, now) = learnt(1);
    // It bears 2 x 0.1 x 100 x 1.5 s = 30 calls, and 2 x root of 30 + 2 by chance.
    let calls = calls_at_once(&mut slow_start, now);
    assert!((15..=42).contains(&calls), "{calls}");
    assert!(!slow_start.allows(now + RAMP.span - 1, COLD, RAMP.cold_from, 1.0), "the span is not over");
    assert!(slow_start.allows(now + RAMP.span + 1, COLD, RAMP.cold_from, 1.0));
    assert!(slow_start.allows(now, WARM, 1.0, 1.0), "a warm one has no budget");
}

#[test]
fn a_few_sidecars_share_it() {
    let (mut slow_start, now) = learnt(5);
    // Each of five sees a hundred calls a second at each server: together the servers bear 150.
    let calls = calls_at_once(&mut slow_start, now);
    assert!((15..=36).contains(&calls), "{calls}");
    assert!(slow_start.fleet_allows(now, COLD, RAMP.cold_from, 1.0), "all together may send more");
}

#[test]
fn the_share_of_a_cold_server_grows_with_its_warmth_and_is_whole_without_a_guide() {
    let (slow_start, now) = learnt(100);
    let shares = [0.1, 0.4, 0.9].map(|warmth| slow_start.share(now, warmth, 1.0));
    assert!(shares[0] > 0.0 && shares[0] < shares[1] && shares[1] < shares[2], "{shares:?}");
    // Twice a tenth of what a warm one of four gets, less some caution.
    assert!(shares[0] < 0.05, "{shares:?}");
    assert_eq!(SlowStart::new(100, RAMP).share(now, 0.1, 1.0), 1.0);
}

#[test]
fn the_crowd_at_the_last_warm_server_is_no_guide() {
    let (mut slow_start, mut now) = learnt(1);
    let before = slow_start.share(now, 0.1, 1.0);
    // Three of four go, and the fourth serves twice what it did.
    for call in 0..800 {
        now += 5_000;
        slow_start.sent(now, WARM, 1.0);
        slow_start.served(now);
        if call % 20 == 0 {
            slow_start.observe(now, 1.0, 1.0);
        }
    }
    let after = slow_start.share(now, 0.1, 1.0);
    // Half as many calls are asked: the same guide is twice the share, and a little more.
    assert!(after < 2.5 * before, "{before:.3}, {after:.3}");
}

/// The stated size of the fleet may be too large, as while most of its sidecars are down: those that are left carry its
/// traffic. Eight of a stated 300 sent a cold server 73 calls within a span in which it bears 72.
#[test]
fn few_sidecars_of_a_large_fleet_keep_to_the_budget_together() {
    const LEFT: usize = 8;
    let (mut slow_start, now) = learnt(300);
    // Each sees a hundred calls a second at each server: together they bear eight times 30 calls, and some by chance.
    let budget = LEFT as f64 * RAMP.fall_multiple * RAMP.cold_from * 100.0 * 1.5;
    let bears = budget + 2.0 * budget.sqrt() + 2.0;
    let calls = LEFT * calls_at_once(&mut slow_start, now);
    assert!((calls as f64) <= bears, "{calls} calls, {bears:.0} are borne");
    assert!(calls as f64 >= budget / 2.0, "{calls} calls, and not next to none");
}

/// Where a sidecar's part of a cold server is less than a call, chance alone decides who sends one.
#[test]
fn a_sidecar_whose_part_is_less_than_a_call_is_bounded_in_the_mean_alone() {
    let mut slow_start = SlowStart::new(300, RAMP);
    let mut now = 0;
    for call in 0..100 {
        now = call * 100_000;
        slow_start.sent(now, WARM, 1.0);
        slow_start.served(now);
        slow_start.observe(now, 4.0, 4.0);
    }
    assert!(slow_start.share(now, RAMP.cold_from, 1.0) < 0.1);
    assert!(slow_start.allows(now, COLD, RAMP.cold_from, 1.0));
    slow_start.sent(now, COLD, RAMP.cold_from);
    assert!(slow_start.allows(now, COLD, RAMP.cold_from, 1.0), "the next one is drawn by shares too");
}
