//! Retry budgets: retries are limited to a share of the live traffic, plus a floor for clients with little
//! traffic.
//!
//! The retry budgets of Finagle (`RetryBudget`) and Linkerd keep a balance of tokens that first attempts
//! pay into over ten seconds. After a calm period the whole balance can be spent in one instant, which is
//! when a fleet that has just lost part of its capacity can least afford it. Here the window itself slides:
//! a retry is granted only if the retries of the window that ends with it stay within the share of the first
//! attempts in the same window, so no second can hold a retry storm.

/// Number of slots that a window is divided into. The window's edge is off by at most one slot, always on
/// the strict side.
const SLOT_COUNT: usize = 50;

/// How many retries a budget grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries granted for each first attempt, from 0 to 1.
    pub share: f64,
    /// Retries per second granted in addition to the share; without them a client with little traffic could
    /// never retry.
    pub floor_per_s: f64,
    /// Length of the sliding window (ms).
    pub window_ms: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Slots since time 0, counted from 1.
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// A retry budget over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    slots: [Slot; SLOT_COUNT],
    /// Number of retries granted, less those refunded; for metrics.
    pub granted: u64,
    /// Number of retries denied; for metrics.
    pub denied: u64,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(config: BudgetConfig) -> RetryBudget {
        RetryBudget { config, slots: [Slot::default(); SLOT_COUNT], granted: 0, denied: 0 }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> BudgetConfig {
        self.config
    }

    /// Replaces the configuration, as on a reload. Counted attempts are kept unless the length of the window
    /// changes, in which case the window starts empty.
    pub fn set_config(&mut self, config: BudgetConfig) {
        if config.window_ms != self.config.window_ms {
            self.slots = [Slot::default(); SLOT_COUNT];
        }
        self.config = config;
    }

    fn slot_number(&self, now_ms: f64) -> u64 {
        // Slots count from 1, so that an unused slot (number 0) is never taken for the current one.
        (now_ms.max(0.0) / self.config.window_ms * SLOT_COUNT as f64) as u64 + 1
    }

    fn current_slot(&mut self, now_ms: f64) -> &mut Slot {
        let number = self.slot_number(now_ms);
        let slot = &mut self.slots[number as usize % SLOT_COUNT];
        if slot.number != number {
            *slot = Slot { number, ..Slot::default() };
        }
        slot
    }

    /// First attempts and retries in the window that ends at `now_ms`.
    fn window_counts(&self, now_ms: f64) -> (u32, u32) {
        let last = self.slot_number(now_ms);
        let in_window =
            self.slots.iter().filter(|slot| slot.number + SLOT_COUNT as u64 > last && slot.number <= last);
        in_window.fold((0, 0), |(first_attempts, retries), slot| {
            (first_attempts + slot.first_attempts, retries + slot.retries)
        })
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now_ms: f64) {
        self.current_slot(now_ms).first_attempts += 1;
    }

    /// Returns how many retries may be sent now.
    pub fn available_retries(&self, now_ms: f64) -> f64 {
        let (first_attempts, retries) = self.window_counts(now_ms);
        let floor = self.config.floor_per_s * self.config.window_ms / 1e3;
        f64::from(first_attempts) * self.config.share + floor - f64::from(retries)
    }

    /// Charges one retry to the budget and returns whether it is granted.
    pub fn try_take(&mut self, now_ms: f64) -> bool {
        let granted = self.available_retries(now_ms) >= 1.0 - 1e-9;
        if granted {
            self.current_slot(now_ms).retries += 1;
            self.granted += 1;
        } else {
            self.denied += 1;
        }
        granted
    }

    /// Refunds a retry that was granted but not sent.
    pub fn refund(&mut self, now_ms: f64) {
        let slot = self.current_slot(now_ms);
        slot.retries = slot.retries.saturating_sub(1);
        self.granted = self.granted.saturating_sub(1);
    }
}

/// Charges one retry to all of `budgets` (that of the route and that of the whole process) or to none, and
/// returns whether it is granted.
pub fn try_take_from_all(budgets: &mut [&mut RetryBudget], now_ms: f64) -> bool {
    for at in 0..budgets.len() {
        if !budgets[at].try_take(now_ms) {
            budgets[..at].iter_mut().for_each(|budget| budget.refund(now_ms));
            return false;
        }
    }
    true
}
