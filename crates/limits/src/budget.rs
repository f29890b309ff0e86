//! Retry budgets: retries may add a share of the live traffic, and a floor for quiet clients.
//!
//! Finagle's `RetryBudget` and Linkerd's hold a balance of tokens that first sends pay into over ten seconds;
//! after a calm spell the whole balance may be spent in one instant, which is when a fleet that has just lost
//! a part of itself needs it least. Here the window itself slides: a retry is let out only if the retries of
//! the window that ends with it stay within the share of that window's first sends, so that no second can
//! hold a storm.

/// Slots of a window: its edge is off by one of them at most, on the strict side.
const SLOTS: usize = 50;

/// What retries may add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Retries for each first send, from 0 to 1.
    pub share: f64,
    /// Retries a second that are free of it: a quiet client could not ever repeat otherwise.
    pub floor: f64,
    /// Length of the window (ms).
    pub window: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Its number in time.
    number: u64,
    sends: u32,
    retries: u32,
}

/// A budget over a sliding window.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    slots: [Slot; SLOTS],
    /// Retries let out and held back, for the books.
    pub granted: u64,
    /// See above.
    pub denied: u64,
}

impl Budget {
    /// A budget that nothing has been sent under.
    pub fn new(terms: Terms) -> Budget {
        Budget { terms, slots: [Slot::default(); SLOTS], granted: 0, denied: 0 }
    }

    /// What it grants.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// Other terms for the same traffic: what was counted stays, as at a reload. A window of another length
    /// starts anew.
    pub fn set_terms(&mut self, terms: Terms) {
        if terms.window != self.terms.window {
            self.slots = [Slot::default(); SLOTS];
        }
        self.terms = terms;
    }

    fn number(&self, now: f64) -> u64 {
        // Slots count from 1, so that an empty one is never taken for the present.
        (now.max(0.0) / self.terms.window * SLOTS as f64) as u64 + 1
    }

    fn slot(&mut self, now: f64) -> &mut Slot {
        let number = self.number(now);
        let slot = &mut self.slots[number as usize % SLOTS];
        if slot.number != number {
            *slot = Slot { number, ..Slot::default() };
        }
        slot
    }

    /// First sends and retries of the window that ends now.
    fn counts(&self, now: f64) -> (u32, u32) {
        let last = self.number(now);
        let inside = self.slots.iter().filter(|s| s.number + SLOTS as u64 > last && s.number <= last);
        inside.fold((0, 0), |(sends, retries), s| (sends + s.sends, retries + s.retries))
    }

    /// A first send went out.
    pub fn sent(&mut self, now: f64) {
        self.slot(now).sends += 1;
    }

    /// How many retries may go out now.
    pub fn left(&self, now: f64) -> f64 {
        let (sends, retries) = self.counts(now);
        let free = self.terms.floor * self.terms.window / 1e3;
        f64::from(sends) * self.terms.share + free - f64::from(retries)
    }

    /// Whether a retry may go out now; it counts as out if so.
    pub fn take(&mut self, now: f64) -> bool {
        let granted = self.left(now) >= 1.0 - 1e-9;
        if granted {
            self.slot(now).retries += 1;
            self.granted += 1;
        } else {
            self.denied += 1;
        }
        granted
    }

    /// A retry that was granted did not go out after all.
    pub fn give_back(&mut self, now: f64) {
        let slot = self.slot(now);
        slot.retries = slot.retries.saturating_sub(1);
        self.granted = self.granted.saturating_sub(1);
    }
}

/// Takes a retry from all of these budgets, or from none: a route's own and the whole process's.
pub fn take_all(budgets: &mut [&mut Budget], now: f64) -> bool {
    for at in 0..budgets.len() {
        if !budgets[at].take(now) {
            budgets[..at].iter_mut().for_each(|b| b.give_back(now));
            return false;
        }
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

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
}
