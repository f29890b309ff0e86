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
