//! Hedging: sends a second copy of a request that is slow, and stops doing so where the copies only add load.
//!
//! A hedged request helps where one server stalls and the others do not ("The Tail at Scale", Dean and
//! Barroso 2013). Where all servers are slow, every request passes the percentile, every request is sent
//! twice, and the load doubles. The two cases differ in whether hedged requests win: a copy to another server
//! overtakes a stalled server, but not a queue that is equally long everywhere.

/// Hedging stops when the smoothed share of hedged requests that win falls below this.
const STOP_WIN_RATE: f64 = 0.15;
/// Hedging resumes when the smoothed share of hedged requests that win rises above this.
const RESUME_WIN_RATE: f64 = 0.3;
/// Weight of one hedged request in the smoothed share.
const WIN_RATE_GAIN: f64 = 0.05;
/// While hedging is off, one in this many due hedged requests is sent as a trial, to find out whether it
/// would win.
pub const TRIAL_INTERVAL: u32 = 20;
/// A latency estimate that has had no new answer for this long is discarded.
const MAX_ESTIMATE_AGE_MS: f64 = 10_000.0;

/// The time after which a hedged request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeDelay {
    /// A fixed time (ms).
    FixedMs(f64),
    /// The live percentile, from 0 to 1, of the route's latency.
    Percentile(f64),
}

/// Whether hedged requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgingState {
    /// Every hedged request that is due is sent.
    On,
    /// Hedged requests win too rarely: only one in [`TRIAL_INTERVAL`] is sent, as a trial.
    Off,
}

/// A live percentile that stores no answers. The estimate steps up in proportion to the percentile and down
/// in proportion to the rest, in steps that fit the spread of the latencies (the frugal estimate of Ma,
/// Muthukrishnan and Sandler 2013, with an adaptive step).
#[derive(Clone, Debug)]
pub struct PercentileEstimate {
    percentile: f64,
    value_ms: f64,
    step_ms: f64,
    samples: u32,
    last_sample_ms: f64,
}

impl PercentileEstimate {
    /// Creates an estimate without samples for a percentile from 0 to 1.
    pub fn new(percentile: f64) -> PercentileEstimate {
        PercentileEstimate {
            percentile: percentile.clamp(0.01, 0.999),
            value_ms: 0.0,
            step_ms: 0.0,
            samples: 0,
            last_sample_ms: f64::NEG_INFINITY,
        }
    }

    /// Records the latency of one answer.
    pub fn record(&mut self, now_ms: f64, latency_ms: f64) {
        if now_ms - self.last_sample_ms > MAX_ESTIMATE_AGE_MS {
            // The estimate is too old to describe the present.
            self.samples = 0;
        }
        self.last_sample_ms = now_ms;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            (self.value_ms, self.step_ms) = (latency_ms, latency_ms / 4.0);
            return;
        }
        self.step_ms += ((latency_ms - self.value_ms).abs() - self.step_ms) * 0.02;
        let by = self.step_ms / f64::from(self.samples.min(50)).sqrt();
        if latency_ms > self.value_ms {
            self.value_ms += by * self.percentile;
        } else {
            self.value_ms -= by * (1.0 - self.percentile);
        }
        self.value_ms = self.value_ms.max(0.0);
    }

    /// Returns the estimate (ms), or `None` before it has twenty samples.
    pub fn value_ms(&self) -> Option<f64> {
        (self.samples >= 20).then_some(self.value_ms)
    }
}

/// The hedging state of one route.
#[derive(Clone, Debug)]
pub struct Hedging {
    delay: HedgeDelay,
    latency: PercentileEstimate,
    state: HedgingState,
    win_rate: f64,
    due_count: u32,
}

impl Hedging {
    /// Creates the state with hedging switched on.
    pub fn new(delay: HedgeDelay) -> Hedging {
        let percentile = match delay {
            HedgeDelay::FixedMs(_) => 0.95,
            HedgeDelay::Percentile(percentile) => percentile,
        };
        Hedging {
            delay,
            latency: PercentileEstimate::new(percentile),
            state: HedgingState::On,
            win_rate: RESUME_WIN_RATE,
            due_count: 0,
        }
    }

    /// Returns whether hedged requests are sent.
    pub fn state(&self) -> HedgingState {
        self.state
    }

    /// Returns the time (ms) after which a hedged request is due, or `None` while the latency is unknown.
    pub fn delay_ms(&self) -> Option<f64> {
        match self.delay {
            HedgeDelay::FixedMs(time) => Some(time),
            HedgeDelay::Percentile(_) => self.latency.value_ms(),
        }
    }

    /// Records the latency of an answer to a first copy.
    pub fn record_answer(&mut self, now_ms: f64, latency_ms: f64) {
        self.latency.record(now_ms, latency_ms);
    }

    /// Returns whether a hedged request that is due may be sent.
    pub fn allow_hedge(&mut self) -> bool {
        self.due_count = self.due_count.wrapping_add(1);
        self.state == HedgingState::On || self.due_count % TRIAL_INTERVAL == 0
    }

    /// Records the end of a hedged request; `won` if its answer came first.
    pub fn record_result(&mut self, won: bool) {
        // Trials are few, so each weighs more; otherwise resuming would take minutes.
        let gain = if self.state == HedgingState::On { WIN_RATE_GAIN } else { WIN_RATE_GAIN * 4.0 };
        self.win_rate += (f64::from(u8::from(won)) - self.win_rate) * gain;
        self.state = match self.state {
            HedgingState::On if self.win_rate < STOP_WIN_RATE => HedgingState::Off,
            HedgingState::Off if self.win_rate > RESUME_WIN_RATE => HedgingState::On,
            same => same,
        };
    }
}
