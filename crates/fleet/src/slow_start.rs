//! Slow start: how many calls one sidecar may send to a cold server.
//!
//! A server that has just started falls over when all sidecars together send it more than a multiple of what it can do
//! then, within a span that the settings name. Its capacity is not told; what warm servers of its size serve is the
//! guide, and each sidecar takes the part of it that it sees itself. The shares of the water-fill keep to a fraction of
//! that in the mean; this is the bound that holds whatever the shares say, as where only cold servers are left.

use std::collections::{HashMap, VecDeque};

/// Time (microseconds) over which calls and answers are smoothed.
const SMOOTHED: f64 = 3e6;
/// Times (microseconds) in which most of a rise of what warm servers serve is taken up, where about as many are warm as
/// before and where few are left, whose crowd tells nothing of others; and in which most of a fall is: servers that are
/// asked little can still do as much.
const LEARNT: (f64, f64) = (0.1e6, 30e6);
const FORGOTTEN: f64 = 60e6;
/// The part of the warm servers that must be left for a rise to tell of others.
const ENOUGH: f64 = 0.5;
/// The parts of the guide and of the platform's allowance for chance that are taken up: the sizes that the list gives
/// are rough, and what few warm servers serve is no mean.
const CAUTION: f64 = 0.65;
const CHANCE: f64 = 0.5;
/// Calls from which on a sidecar's part of a budget is counted in a large fleet too. Of fewer, counting would cut off what
/// chance brings to one sidecar and not to another.
const COUNTED: f64 = 4.0;
/// Servers whose calls are remembered before those are forgotten that got none within the span.
const MOST: usize = 64;

/// How servers warm up, and what they bear meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Share of its capacity that a server starts with, at least.
    pub cold_from: f64,
    /// Time (microseconds) after which it is warm.
    pub warm_up: i64,
    /// It falls over at more than this multiple of its present capacity.
    pub fall_multiple: f64,
    /// For this long (microseconds).
    pub span: i64,
}

impl Ramp {
    /// Share of its capacity that a server has that started so long ago (microseconds).
    pub fn warmth(&self, age: i64) -> f64 {
        let part = (age as f64 / self.warm_up.max(1) as f64).clamp(0.0, 1.0);
        self.cold_from + (1.0 - self.cold_from) * part
    }
}

/// Calls that a budget of so many in the mean allows by chance, as the platform counts them.
fn chance(budget: f64) -> f64 {
    if budget < 30.0 {
        3.0 * budget.sqrt() + 3.0
    } else {
        2.0 * budget.sqrt() + 2.0
    }
}

/// A smoothed rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    count: f64,
    at: i64,
    since: Option<i64>,
}

impl Rate {
    fn event(&mut self, now: i64) {
        self.count = self.faded(now) + 1.0;
        self.at = now;
        self.since.get_or_insert(now);
    }

    fn faded(&self, now: i64) -> f64 {
        self.count * (-((now - self.at).max(0) as f64) / SMOOTHED).exp()
    }

    /// Events a microsecond; what it has not seen yet of its time counts as the rest.
    fn now(&self, now: i64) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let seen = 1.0 - (-((now - since).max(0) as f64) / SMOOTHED).exp();
        self.faded(now) / (SMOOTHED * seen.max(0.05))
    }
}

/// The budgets of cold servers, as one sidecar keeps to them.
#[derive(Clone, Debug)]
pub struct SlowStart {
    sidecars: f64,
    ramp: Ramp,
    /// All own calls.
    calls: Rate,
    /// Answers of warm servers.
    served: Rate,
    /// What a warm server of power 1 was seen to serve (answers of own calls a microsecond), and when.
    carried: f64,
    carried_at: i64,
    /// The most power of warm servers together of late.
    warm_peak: f64,
    /// When each cold server was sent calls within the span.
    sent: HashMap<u64, VecDeque<i64>>,
}

impl SlowStart {
    /// The budgets of one of so many sidecars.
    pub fn new(sidecars: usize, ramp: Ramp) -> SlowStart {
        let sidecars = sidecars.max(1) as f64;
        let (calls, served) = (Rate::default(), Rate::default());
        SlowStart {
            sidecars,
            ramp,
            calls,
            served,
            carried: 0.0,
            carried_at: 0,
            warm_peak: 0.0,
            sent: HashMap::new(),
        }
    }

    /// How servers warm up.
    pub fn ramp(&self) -> Ramp {
        self.ramp
    }

    /// A warm server has answered an own call.
    pub fn served(&mut self, now: i64) {
        self.served.event(now);
    }

    /// A call goes out, to a server of this warmth.
    pub fn sent(&mut self, now: i64, server: u64, warmth: f64) {
        self.calls.event(now);
        if warmth >= 1.0 {
            return;
        }
        if self.sent.len() >= MOST {
            let oldest = now - self.ramp.span;
            self.sent.retain(|_, calls| calls.back().is_some_and(|at| *at >= oldest));
        }
        self.sent.entry(server).or_default().push_back(now);
    }

    /// Takes in how much power the warm servers have together, and all that are in service.
    pub fn observe(&mut self, now: i64, warm_power: f64, power: f64) {
        let passed = (now - self.carried_at).max(0) as f64;
        self.carried_at = now;
        self.warm_peak = (self.warm_peak * (-passed / FORGOTTEN).exp()).max(warm_power);
        if warm_power > 0.0 {
            let seen = self.served.now(now) / warm_power;
            let time = match (seen > self.carried, warm_power >= ENOUGH * self.warm_peak) {
                (true, true) => LEARNT.0,
                (true, false) => LEARNT.1,
                (false, _) => FORGOTTEN,
            };
            let gain = if self.carried > 0.0 { 1.0 - (-passed / time).exp() } else { 1.0 };
            self.carried += (seen - self.carried) * gain;
        } else if self.carried == 0.0 && power > 0.0 {
            // Before any warm server was seen: as if all of them, once warm, would just bear what is asked.
            self.carried = self.calls.now(now) / power;
        }
    }

    /// The share of all own calls that a server of this warmth and power may get at most.
    pub fn share(&self, now: i64, warmth: f64, power: f64) -> f64 {
        let calls = self.calls.now(now) * self.ramp.span as f64;
        if warmth >= 1.0 || self.carried <= 0.0 || calls <= 0.0 {
            return 1.0;
        }
        (CAUTION * self.part(warmth, power) / calls).min(1.0)
    }

    /// Whether a server of this warmth and power may be sent one more call within this sidecar's part of its budget. In
    /// a large fleet that part is a call or so, and only [`SlowStart::share`] bounds it, in the mean over all.
    pub fn allows(&mut self, now: i64, server: u64, warmth: f64, power: f64) -> bool {
        let own = CAUTION * self.part(warmth, power);
        // Whatever size is stated: few that are left of a large fleet carry its traffic, and the means of all add up.
        if own < COUNTED && crate::sight(self.sidecars as usize) < 1.0 {
            return true;
        }
        let budget = own + CHANCE * chance(own * self.sidecars) / self.sidecars;
        self.fits(now, server, warmth, budget.max(1.0))
    }

    /// Whether it may be sent one more call within the budget of all sidecars: beyond that one alone pushes it over.
    pub fn fleet_allows(&mut self, now: i64, server: u64, warmth: f64, power: f64) -> bool {
        let all = self.part(warmth, power) * self.sidecars;
        self.fits(now, server, warmth, all + chance(all))
    }

    /// Calls that are one sidecar's part of what a server bears within the span.
    fn part(&self, warmth: f64, power: f64) -> f64 {
        self.ramp.fall_multiple * warmth * power * self.carried * self.ramp.span as f64
    }

    fn fits(&mut self, now: i64, server: u64, warmth: f64, budget: f64) -> bool {
        if warmth >= 1.0 || self.carried <= 0.0 {
            return true;
        }
        let Some(calls) = self.sent.get_mut(&server) else { return true };
        while calls.front().is_some_and(|at| now - at > self.ramp.span) {
            calls.pop_front();
        }
        calls.len() as f64 + 1.0 <= budget
    }
}
