//! The schedule of calls to discovery in small and large fleets, and after different failures.

use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro128PlusPlus;
use roseproxy_fleet::discovery_calls::{CallFailure, CallSchedule, PushBackoff};

const SECOND_US: i64 = 1_000_000;
const MAX_POLL_INTERVAL_US: i64 = 10 * SECOND_US;
/// Time from one call to the next while discovery is unavailable.
const PERIOD_US: i64 = 4_500_000;
/// Durations of calls that are refused, do not connect, are dropped from discovery's queue, or get
/// no response.
const REFUSAL_US: i64 = 2_000;
const CONNECT_TIMEOUT_US: i64 = SECOND_US;
const QUEUE_TIMEOUT_US: i64 = 2 * SECOND_US;
const RESPONSE_TIMEOUT_US: i64 = 3 * SECOND_US;
/// Consecutive overload failures before the pauses grow.
const TOLERATED_OVERLOADS: usize = 27;

/// One sidecar's schedule with its own random numbers and time.
struct Caller {
    schedule: CallSchedule,
    rng: Xoshiro128PlusPlus,
    now: i64,
}

impl Caller {
    /// Returns a sidecar that has just started, and the wait for its first call.
    fn new(sidecars: usize, max_poll_interval: i64, seed: u64) -> (Caller, i64) {
        let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
        let mut schedule = CallSchedule::new(sidecars, max_poll_interval);
        let wait = schedule.on_list(&mut rng).expect("a first call");
        (Caller { schedule, rng, now: 0 }, wait)
    }

    /// Returns a sidecar whose first call was answered a minute ago.
    fn watching(sidecars: usize, seed: u64) -> Caller {
        let (mut caller, wait) = Caller::new(sidecars, MAX_POLL_INTERVAL_US, seed);
        caller.succeed_call(wait);
        caller.now += 60 * SECOND_US;
        caller
    }

    fn start_call(&mut self, wait: i64) {
        self.now += wait;
        self.schedule.on_call_started(self.now);
    }

    fn succeed_call(&mut self, wait: i64) {
        self.start_call(wait);
        assert_eq!(self.schedule.on_list(&mut self.rng), None);
    }

    /// Makes the call due after `wait`, lets it fail after `after`, and returns the wait for the
    /// next call.
    fn fail_call(&mut self, wait: i64, after: i64) -> i64 {
        self.start_call(wait);
        self.now += after;
        self.failed().expect("another call")
    }

    fn failed(&mut self) -> Option<i64> {
        self.schedule.on_failure(self.now, &mut self.rng)
    }

    fn end_watch(&mut self) -> i64 {
        self.failed().expect("another call")
    }
}

/// Returns the largest of 500 draws, in tenths of a second, rounded up.
fn max_in_tenths(draw: impl Fn(u64) -> i64) -> i64 {
    let longest = (0..500).map(draw).max().unwrap_or(0);
    (longest + SECOND_US / 10 - 1) / (SECOND_US / 10)
}

#[test]
fn a_small_fleet_calls_soon_and_less_often_with_failures() {
    let after_failures = |failures| {
        max_in_tenths(|seed| {
            let (mut caller, mut wait) = Caller::new(9, MAX_POLL_INTERVAL_US, seed);
            for _ in 0..failures {
                wait = caller.fail_call(wait, REFUSAL_US);
            }
            wait
        })
    };
    assert_eq!([0, 1, 2, 3, 9].map(after_failures), [2, 20, 40, 40, 40]);
    assert_eq!(max_in_tenths(|seed| Caller::watching(9, seed).end_watch()), 10);
}

#[test]
fn first_calls_are_spread_by_the_size_of_the_fleet() {
    let first = |sidecars| max_in_tenths(|seed| Caller::new(sidecars, MAX_POLL_INTERVAL_US, seed).1);
    assert_eq!([9, 100, 300, 10_000_000].map(first), [2, 20, 45, 45], "never past the period");
    let first_of = |max_poll_interval| max_in_tenths(|seed| Caller::new(300, max_poll_interval, seed).1);
    assert_eq!(
        [SECOND_US, 2 * SECOND_US].map(first_of),
        [9, 18],
        "never past the time within which a sidecar must ask"
    );
}

/// Guards against a fault in which the next call of a large fleet came up to 35 s after a failed
/// one, although discovery was back at once.
#[test]
fn a_large_fleet_calls_again_within_the_period_after_any_failure() {
    for sidecars in [11, 100, 1_000, 10_000_000] {
        for fails_after in [REFUSAL_US, CONNECT_TIMEOUT_US] {
            let mut caller = Caller::watching(sidecars, 3);
            let mut wait = caller.end_watch();
            assert!(wait <= PERIOD_US, "{wait} us after the watch ended");
            for _ in 0..20 {
                wait = caller.fail_call(wait, fails_after);
                assert_eq!(wait + fails_after, PERIOD_US, "of {sidecars}, counted from the call");
            }
        }
        // A call that was accepted and failed may have met an outage as well as a queue.
        for fails_after in [QUEUE_TIMEOUT_US, RESPONSE_TIMEOUT_US] {
            let mut caller = Caller::watching(sidecars, 3);
            let wait = caller.end_watch();
            assert_eq!(caller.fail_call(wait, fails_after) + fails_after, PERIOD_US);
        }
    }
}

/// When all calls were open for longer than the period, their spread is lost and the next calls are
/// spread again.
#[test]
fn calls_that_were_open_for_longer_than_the_period_are_spread_again() {
    let next_wait = |seed| {
        let mut caller = Caller::watching(1_000, seed);
        let wait = caller.end_watch();
        caller.fail_call(wait, PERIOD_US + SECOND_US)
    };
    let waits: Vec<i64> = (0..200).map(next_wait).collect();
    assert!(waits.iter().all(|wait| (0..=PERIOD_US).contains(wait)), "{waits:?}");
    let early = waits.iter().filter(|wait| **wait < PERIOD_US / 2).count();
    assert!((70..=130).contains(&early), "{early} of 200 are due in the first half of the period");
}

/// A slow failure must not lengthen a small fleet's pause beyond the term either.
#[test]
fn a_small_fleet_calls_again_within_the_period_too() {
    for seed in 0..300 {
        let mut caller = Caller::watching(9, seed);
        let mut wait = caller.end_watch();
        for _ in 0..6 {
            wait = caller.fail_call(wait, RESPONSE_TIMEOUT_US);
            assert!(wait + RESPONSE_TIMEOUT_US <= PERIOD_US, "{wait} us later");
        }
        // The same holds if the settings allow long pauses.
        let (mut caller, wait) = Caller::new(4, 60 * SECOND_US, seed);
        let wait = caller.fail_call(wait, REFUSAL_US);
        assert!(wait <= PERIOD_US, "{wait} us later");
    }
}

/// Calls of sidecars whose watches end together stay as evenly spread as the first draw left them.
#[test]
fn calls_stay_spread_over_an_outage() {
    let mut calls: Vec<i64> = Vec::new();
    for seed in 0..1_000 {
        let mut caller = Caller::watching(1_000, seed);
        let end = caller.now;
        let mut wait = caller.end_watch();
        while caller.now - end < 60 * SECOND_US {
            wait = caller.fail_call(wait, REFUSAL_US);
            calls.push(caller.now - end);
        }
    }
    calls.sort_unstable();
    let before = |time| calls.partition_point(|call| *call < time);
    let most = calls.iter().map(|at| before(at + SECOND_US) - before(*at)).max().unwrap_or(0);
    assert!(most <= 280, "{most} calls within one second, of 222 in the mean");
}

/// While discovery is unavailable, calls may be held for a time before they are rejected. For two
/// minutes the period stays fixed, so that changes at its return are received within the term. A
/// longer series is an overload that more calls would prolong, since calls that fail after waiting
/// may still cost work: the pauses grow up to a limit.
#[test]
fn pauses_grow_while_discovery_is_overloaded_and_are_bounded() {
    let periods = |seed| {
        let mut caller = Caller::watching(300, seed);
        let mut wait = caller.end_watch();
        let mut period = || {
            wait = caller.fail_call(wait, QUEUE_TIMEOUT_US);
            (wait + QUEUE_TIMEOUT_US) as f64 / SECOND_US as f64
        };
        [(); TOLERATED_OVERLOADS + 8].map(|()| period())
    };
    let all: Vec<[f64; TOLERATED_OVERLOADS + 8]> = (0..300).map(periods).collect();
    let mean = |n: usize| all.iter().map(|periods| periods[n]).sum::<f64>() / all.len() as f64;
    let kept = [4.5; TOLERATED_OVERLOADS];
    let grown = [9.0, 18.0, 23.3, 23.3, 23.3, 23.3, 23.3, 23.3];
    assert!(TOLERATED_OVERLOADS as f64 * kept[0] >= 120.0);
    for (n, wanted) in kept.into_iter().chain(grown).enumerate() {
        assert!(
            (mean(n) / wanted - 1.0).abs() < 0.1,
            "{} s in the mean after {n} more, not {wanted}",
            mean(n)
        );
    }
    let longest = all.iter().flatten().copied().fold(0.0, f64::max);
    assert!((30.0..=35.0).contains(&longest), "{longest} s");
}

/// An overloaded discovery that becomes unavailable is called at the fixed period again, since it
/// may return at any moment.
#[test]
fn an_outage_ends_the_long_pauses_of_an_overload() {
    let mut caller = Caller::watching(300, 7);
    let mut wait = caller.end_watch();
    for _ in 0..TOLERATED_OVERLOADS + 4 {
        wait = caller.fail_call(wait, QUEUE_TIMEOUT_US);
    }
    assert!(wait > PERIOD_US, "{wait} us: the pauses have grown");
    wait = caller.fail_call(wait, REFUSAL_US);
    assert_eq!(wait + REFUSAL_US, PERIOD_US);
    assert_eq!(
        caller.fail_call(wait, QUEUE_TIMEOUT_US) + QUEUE_TIMEOUT_US,
        PERIOD_US,
        "the count starts again"
    );
}

#[test]
fn a_watch_ends_the_long_pauses_of_an_overload() {
    let mut caller = Caller::watching(300, 7);
    let mut wait = caller.end_watch();
    for _ in 0..TOLERATED_OVERLOADS + 4 {
        wait = caller.fail_call(wait, QUEUE_TIMEOUT_US);
    }
    caller.succeed_call(wait);
    caller.now += 30 * SECOND_US;
    let wait = caller.end_watch();
    assert!(wait <= PERIOD_US, "{wait} us");
    assert_eq!(caller.fail_call(wait, QUEUE_TIMEOUT_US) + QUEUE_TIMEOUT_US, PERIOD_US);
}

/// Watches that were opened one after another and all end soon afterwards are reopened in the same
/// order.
#[test]
fn a_watch_that_ends_soon_after_its_call_keeps_its_phase() {
    let mut caller = Caller::watching(1_000, 3);
    let wait = caller.end_watch();
    caller.succeed_call(wait);
    caller.now += SECOND_US;
    assert_eq!(caller.end_watch(), PERIOD_US - SECOND_US);
}

/// When all watches fall silent at once, all sidecars call at once. The next calls must be spread,
/// or they would coincide for as long as the outage lasts.
#[test]
fn calls_that_reopen_silent_watches_are_spread_when_they_fail() {
    let next = |seed| {
        let mut caller = Caller::watching(1_000, seed);
        caller.schedule.on_watch_reopened(caller.now);
        caller.now += CONNECT_TIMEOUT_US;
        caller.failed().expect("another call")
    };
    let mut waits: Vec<i64> = (0..1_000).map(next).collect();
    waits.sort_unstable();
    assert!(
        waits[999] + CONNECT_TIMEOUT_US <= PERIOD_US,
        "{} us after the call",
        waits[999] + CONNECT_TIMEOUT_US
    );
    assert!(waits[100] < SECOND_US / 2 && waits[900] > 3 * SECOND_US, "{} to {} us", waits[100], waits[900]);
}

/// Returns the time between the 50th and the 450th of 500 draws of when a call is made.
fn middle_spread(call_at: impl Fn(u64) -> i64) -> i64 {
    let mut calls: Vec<i64> = (0..500).map(call_at).collect();
    calls.sort_unstable();
    calls[450] - calls[50]
}

/// Guards against a crowd that stays in step: the first calls of a fleet that starts together are spread over a part
/// of the period, so those that a crowded discovery turns away must be spread anew, and so must the watches opened by
/// the others if they end together.
#[test]
fn a_fleet_that_starts_together_is_spread_by_what_fails() {
    let turned_away = |seed| {
        let (mut caller, wait) = Caller::new(30, MAX_POLL_INTERVAL_US, seed);
        let wait = caller.fail_call(wait, QUEUE_TIMEOUT_US);
        caller.now + wait
    };
    let spread = middle_spread(turned_away);
    assert!(spread > PERIOD_US / 3, "calls within {spread} us after the first was turned away");
    let reset_soon = |seed| {
        let (mut caller, wait) = Caller::new(30, MAX_POLL_INTERVAL_US, seed);
        caller.succeed_call(wait);
        caller.now = 3 * SECOND_US;
        caller.now + caller.end_watch()
    };
    let spread = middle_spread(reset_soon);
    assert!(spread > PERIOD_US / 3, "calls within {spread} us after all watches ended");
}

#[test]
fn one_call_is_planned_at_a_time() {
    let (mut caller, _) = Caller::new(300, MAX_POLL_INTERVAL_US, 5);
    assert_eq!(caller.failed(), None, "the first call is planned");
    assert_eq!(caller.schedule.on_list(&mut caller.rng), None, "and stays planned");
    let mut caller = Caller::watching(300, 5);
    assert!(caller.failed().is_some());
    assert_eq!(caller.failed(), None);
}

#[test]
fn the_duration_of_a_call_distinguishes_overload_from_unavailability() {
    use CallFailure::{Overloaded, Unavailable};
    let all = [REFUSAL_US, CONNECT_TIMEOUT_US, QUEUE_TIMEOUT_US, RESPONSE_TIMEOUT_US]
        .map(CallFailure::from_elapsed);
    assert_eq!(all, [Unavailable, Unavailable, Overloaded, Overloaded]);
}

#[test]
fn extreme_settings_have_pauses_too() {
    for (sidecars, max_poll_interval) in [(100, 0), (0, -5), (usize::MAX, i64::MAX), (usize::MAX, i64::MIN)] {
        let (mut caller, mut wait) = Caller::new(sidecars, max_poll_interval, 3);
        for _ in 0..40 {
            wait = caller.fail_call(wait.min(SECOND_US), QUEUE_TIMEOUT_US);
            assert!(wait >= 0, "{wait}");
        }
    }
    // A large fleet whose settings allow no pause must not call in a tight loop.
    let mut caller = Caller::new(300, 0, 3).0;
    assert!(caller.fail_call(0, 0) >= 20_000);
}

#[test]
fn calls_for_pushed_lists_back_off_to_five_a_second() {
    let mut backoff = PushBackoff::default();
    let pauses = [(); 6].map(|()| backoff.on_failure());
    assert_eq!(pauses, [25_000, 50_000, 100_000, 200_000, 200_000, 200_000]);
    backoff.on_list();
    assert_eq!(backoff.on_failure(), 25_000);
}
