//! Retry budgets over a sliding window.

use proptest::prelude::*;
use roseproxy_limits::budget::{try_take_from_all, BudgetConfig, RetryBudget};

const CONFIG: BudgetConfig = BudgetConfig { share: 0.2, floor_per_s: 0.0, window_ms: 1_000.0 };

#[test]
fn retries_stay_within_the_share_of_live_traffic() {
    let mut budget = RetryBudget::new(CONFIG);
    // A minute without failures, then everything fails at once: the minute's budget has not accumulated.
    (0..6_000).for_each(|n| budget.record_first_attempt(f64::from(n) * 10.0));
    let granted = (0..1_000).filter(|_| budget.try_take(59_999.0)).count();
    assert_eq!(granted, 20, "a fifth of the hundred first attempts of one second");
}

#[test]
fn a_client_with_little_traffic_gets_the_floor() {
    let mut budget = RetryBudget::new(BudgetConfig { floor_per_s: 2.0, ..CONFIG });
    assert_eq!((0..10).filter(|_| budget.try_take(5_000.0)).count(), 2);
    assert_eq!((0..10).filter(|_| budget.try_take(5_500.0)).count(), 0);
    assert_eq!((0..10).filter(|_| budget.try_take(6_100.0)).count(), 2);
    assert_eq!((budget.granted, budget.denied), (4, 26));
}

#[test]
fn two_budgets_are_charged_together_or_not_at_all() {
    let (mut route, mut process) = (
        RetryBudget::new(BudgetConfig { floor_per_s: 5.0, ..CONFIG }),
        RetryBudget::new(BudgetConfig { floor_per_s: 1.0, ..CONFIG }),
    );
    assert!(try_take_from_all(&mut [&mut route, &mut process], 10.0));
    assert!(!try_take_from_all(&mut [&mut route, &mut process], 20.0));
    assert_eq!(
        route.available_retries(30.0),
        4.0,
        "a retry that the process's budget denies is refunded to the route's"
    );
}

#[test]
fn a_reload_keeps_counts_unless_the_window_changes() {
    let mut budget = RetryBudget::new(CONFIG);
    (0..100).for_each(|n| budget.record_first_attempt(f64::from(n)));
    budget.set_config(BudgetConfig { share: 0.5, ..CONFIG });
    assert_eq!(budget.available_retries(200.0), 50.0);
    budget.set_config(BudgetConfig { window_ms: 2_000.0, ..CONFIG });
    assert_eq!(budget.available_retries(200.0), 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of first attempts and retries, no window that ends with a retry holds more retries than
    /// its first attempts and the floor allow.
    #[test]
    fn no_window_holds_more_than_its_share(
        steps in prop::collection::vec((0.0_f64..40.0, prop::bool::ANY), 1..600),
        share in 0.0_f64..1.0,
        floor_per_s in 0.0_f64..5.0,
    ) {
        let mut budget = RetryBudget::new(BudgetConfig { share, floor_per_s, window_ms: 1_000.0 });
        let (mut now, mut first_attempts, mut retries) = (0.0, Vec::new(), Vec::new());
        for (wait, retry) in steps {
            now += wait;
            if !retry {
                budget.record_first_attempt(now);
                first_attempts.push(now);
            } else if budget.try_take(now) {
                retries.push(now);
                let within = |times: &[f64], length: f64| {
                    times.iter().filter(|time| **time > now - length).count() as f64
                };
                // The window's edge is exact to one slot of 20 ms.
                let allowed = share * within(&first_attempts, 1_000.0) + floor_per_s + 1e-6;
                prop_assert!(within(&retries, 1_000.0 - 20.0) <= allowed);
            }
        }
    }
}
