//! Hedging: a second copy after a time, and an end to it where it feeds a slow fleet.
//!
//! A hedge pays where one server stalls and the others do not ("The Tail at Scale", Dean and Barroso 2013).
//! Where all are slow every request passes the percentile, every one is sent twice, and the load doubles. What
//! tells the two apart is whether hedges win: a copy to another server overtakes a stall, and does not
//! overtake a queue that is as long everywhere.

/// Share of hedges that must win, smoothed, for hedging to go on; and to begin again.
const WINS: (f64, f64) = (0.15, 0.3);
/// Weight of one hedge in that.
const GAIN: f64 = 0.05;
/// While hedging is off, one in so many that are due goes out all the same, to see whether it would win.
pub const SCOUT: u32 = 20;
/// Time (ms) in which most of what was learnt of latency is forgotten.
const FORGET: f64 = 10_000.0;

/// When a second copy goes out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// After a fixed time (ms).
    After(f64),
    /// After the live percentile of the answers of its route, from 0 to 1.
    Percentile(f64),
}

/// Whether hedges go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// They do.
    On,
    /// They win too rarely; a scout goes out now and then.
    Off,
}

/// A live percentile without storing answers: it steps up by its share and down by the rest, in steps that
/// fit the spread (the frugal estimate of Ma, Muthukrishnan and Sandler 2013, with a step that adapts).
#[derive(Clone, Debug)]
pub struct Percentile {
    share: f64,
    value: f64,
    step: f64,
    seen: u32,
    last: f64,
}

impl Percentile {
    /// An estimate that has seen nothing.
    pub fn new(share: f64) -> Percentile {
        Percentile {
            share: share.clamp(0.01, 0.999),
            value: 0.0,
            step: 0.0,
            seen: 0,
            last: f64::NEG_INFINITY,
        }
    }

    /// An answer took so long (ms).
    pub fn add(&mut self, now: f64, took: f64) {
        if now - self.last > FORGET {
            // Too old to say anything of now.
            self.seen = 0;
        }
        self.last = now;
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            (self.value, self.step) = (took, took / 4.0);
            return;
        }
        self.step += ((took - self.value).abs() - self.step) * 0.02;
        let by = self.step / f64::from(self.seen.min(50)).sqrt();
        if took > self.value {
            self.value += by * self.share;
        } else {
            self.value -= by * (1.0 - self.share);
        }
        self.value = self.value.max(0.0);
    }

    /// The estimate (ms), once it rests on twenty answers.
    pub fn value(&self) -> Option<f64> {
        (self.seen >= 20).then_some(self.value)
    }
}

/// Hedging of one route.
#[derive(Clone, Debug)]
pub struct Hedging {
    when: When,
    latency: Percentile,
    state: State,
    wins: f64,
    due: u32,
}

impl Hedging {
    /// Hedging that begins switched on.
    pub fn new(when: When) -> Hedging {
        let share = match when {
            When::After(_) => 0.95,
            When::Percentile(share) => share,
        };
        Hedging { when, latency: Percentile::new(share), state: State::On, wins: WINS.1, due: 0 }
    }

    /// Whether hedges go out.
    pub fn state(&self) -> State {
        self.state
    }

    /// After how long (ms) a second copy of a request would go out; `None` while nothing is known.
    pub fn after(&self) -> Option<f64> {
        match self.when {
            When::After(time) => Some(time),
            When::Percentile(_) => self.latency.value(),
        }
    }

    /// A first copy was answered after so long (ms).
    pub fn answered(&mut self, now: f64, took: f64) {
        self.latency.add(now, took);
    }

    /// A second copy is due: whether it may go out.
    pub fn may_go(&mut self) -> bool {
        self.due = self.due.wrapping_add(1);
        self.state == State::On || self.due % SCOUT == 0
    }

    /// A second copy has ended, as the one that answered or not.
    pub fn ended(&mut self, won: bool) {
        // Scouts are few: each weighs more, or the way back would take minutes.
        let gain = if self.state == State::On { GAIN } else { GAIN * 4.0 };
        self.wins += (f64::from(u8::from(won)) - self.wins) * gain;
        self.state = match self.state {
            State::On if self.wins < WINS.0 => State::Off,
            State::Off if self.wins > WINS.1 => State::On,
            same => same,
        };
    }
}
