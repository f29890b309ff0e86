//! Retry budgets over a sliding window.

use proptest::prelude::*;
use roseproxy_limits::budget::{take_all, Budget, Terms};

const TERMS: Terms = Terms { share: 0.2, floor: 0.0, window: 1_000.0 };

#[test]
fn retries_stay_within_the_share_of_live_traffic() {
    let mut budget = Budget::new(TERMS);
    // A calm minute, then everything fails at once: the minute has not been saved up.
    (0..6_000).for_each(|n| budget.sent(f64::from(n) * 10.0));
    let granted = (0..1_000).filter(|_| budget.take(59_999.0)).count();
    assert_eq!(granted, 20, "a fifth of one second's hundred sends");
}

#[test]
fn a_quiet_client_has_its_floor() {
    let mut budget = Budget::new(Terms { floor: 2.0, ..TERMS });
    assert_eq!((0..10).filter(|_| budget.take(5_000.0)).count(), 2);
    assert_eq!((0..10).filter(|_| budget.take(5_500.0)).count(), 0);
    assert_eq!((0..10).filter(|_| budget.take(6_100.0)).count(), 2);
    assert_eq!((budget.granted, budget.denied), (4, 26));
}

#[test]
fn two_budgets_are_charged_together_or_not_at_all() {
    let (mut route, mut whole) =
        (Budget::new(Terms { floor: 5.0, ..TERMS }), Budget::new(Terms { floor: 1.0, ..TERMS }));
    assert!(take_all(&mut [&mut route, &mut whole], 10.0));
    assert!(!take_all(&mut [&mut route, &mut whole], 20.0));
    assert_eq!(route.left(30.0), 4.0, "what the whole denied is given back to the route");
}

#[test]
fn a_reload_keeps_what_was_counted() {
    let mut budget = Budget::new(TERMS);
    (0..100).for_each(|n| budget.sent(f64::from(n)));
    budget.set_terms(Terms { share: 0.5, ..TERMS });
    assert_eq!(budget.left(200.0), 50.0);
    budget.set_terms(Terms { window: 2_000.0, ..TERMS });
    assert_eq!(budget.left(200.0), 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in whatever order, no window that ends with a retry holds more of them than its
    /// first sends and the floor allow.
    #[test]
    fn no_window_holds_more_than_its_share(
        steps in prop::collection::vec((0.0_f64..40.0, prop::bool::ANY), 1..600),
        share in 0.0_f64..1.0,
        floor in 0.0_f64..5.0,
    ) {
        let mut budget = Budget::new(Terms { share, floor, window: 1_000.0 });
        let (mut now, mut sends, mut retries) = (0.0, Vec::new(), Vec::new());
        for (wait, retry) in steps {
            now += wait;
            if !retry {
                budget.sent(now);
                sends.push(now);
            } else if budget.take(now) {
                retries.push(now);
                let within = |all: &[f64], length: f64| all.iter().filter(|t| **t > now - length).count() as f64;
                // The window's edge lies within one slot.
                let allowed = share * within(&sends, 1_000.0) + floor + 1e-6;
                prop_assert!(within(&retries, 1_000.0 - 20.0) <= allowed);
            }
        }
    }
}
