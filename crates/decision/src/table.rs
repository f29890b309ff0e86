//! The table of shares: what every server can do just now, and its share of the next request.
//!
//! Making it takes a look at each server. It is made when it is old or something sudden has happened, and in a large fleet so
//! seldom that it stays a small part of the time.

use crate::interface::{Action, Micros, Readiness};
use crate::state::{Balancer, SUSPECT};
use roseproxy_fleet::typical_load::typical_load;

/// Time (microseconds) in which most of what was learnt of late answers is forgotten.
pub(crate) const FORGET: f64 = 1e6;
/// Time (microseconds) without a send in which most of what was learnt of one server's pace is forgotten.
const UNHEARD: f64 = 2e6;
/// The part of a request's usual stay for which a table lasts, and the time (microseconds) that it lasts at least for each
/// server: some five hundred times what it takes to make.
const LASTS: (f64, f64) = (1.0 / 8.0, 50.0);

/// Reports that the servers in service have given.
#[derive(Default)]
struct Reports {
    /// Loads and capacities.
    known: Vec<(f64, f64)>,
    /// Their ages together (microseconds).
    ages: f64,
}

impl Balancer {
    /// Makes the table anew where it is old.
    pub(crate) fn refresh_table(&mut self) {
        if self.table_at.is_some_and(|at| self.now - at < self.table_lasts()) {
            return;
        }
        self.tables += 1;
        let passed = self.fade_lateness();
        let reports = self.look_at_servers();
        let age = self.take_in_reports(&reports, passed);
        self.observe_warm_servers();
        let all: Vec<usize> = (0..self.backends.len()).collect();
        self.fill(&all, age, None);
        self.lowest_level = self.lowest_level_of_fill();
        std::mem::swap(&mut self.table, &mut self.shares);
        self.table_at = Some(self.now);
    }

    /// How long a table lasts (microseconds).
    fn table_lasts(&self) -> Micros {
        (self.stay * LASTS.0).max(self.backends.len() as f64 * LASTS.1) as Micros
    }

    /// What came late is forgotten with time too: a sidecar that refuses all gets no answer to learn from, and would refuse
    /// for ever. Returns the time since (microseconds).
    fn fade_lateness(&mut self) -> f64 {
        let passed = self.faded_at.map_or(0.0, |at| (self.now - at) as f64);
        self.faded_at = Some(self.now);
        self.lateness *= (-passed / FORGET).exp();
        passed
    }

    /// Judges every server by what is known of it.
    fn look_at_servers(&mut self) -> Reports {
        let (now, keep, sight) = (self.now, self.keep(), self.sight());
        let overdue = 4.0 * self.stay + 100_000.0;
        let paces = self.kind_paces();
        let mut reports = Reports::default();
        for slot in 0..self.backends.len() {
            let b = &mut self.backends[slot];
            if b.open && b.out == 0 && (now - b.used_at) as f64 > keep {
                b.open = false;
                self.out.push(Action::Close { server: b.info.id });
            }
            if b.out > 0 && b.trouble < SUSPECT && (now - b.silent_since) as f64 > overdue {
                // Takes work and answers none: a hang keeps its last low figure and must not draw more.
                self.suspect(slot);
            }
            let warmth = self.warmth(slot);
            let b = &mut self.backends[slot];
            b.speed =
                b.info.power * paces.speed_of(b.info.kind, b.pace, unheard(now - b.used_at, sight)) * warmth;
            let slowness = self.slowness(slot);
            let b = &mut self.backends[slot];
            b.capacity = b.speed / slowness;
            if let (Readiness::Ready, Some(at), false) = (b.info.readiness, b.load_at, b.guessed) {
                reports.ages += (now - at) as f64;
                reports.known.push((b.load, b.capacity));
            }
        }
        reports
    }

    /// Learns the fleet's mean load, and returns the age of what is known of it (microseconds).
    fn take_in_reports(&mut self, reports: &Reports, passed: f64) -> f64 {
        if reports.known.is_empty() {
            return self.stay;
        }
        self.learn_part(&reports.known, passed);
        let count = reports.known.len() as f64;
        self.mean_load = typical_load(&reports.known, self.sight());
        self.mean_capacity = reports.known.iter().map(|(_, c)| c).sum::<f64>() / count;
        reports.ages / count
    }

    /// The level of load for each unit of capacity at which the first server of the last fill gets anything.
    fn lowest_level_of_fill(&self) -> f64 {
        let open = self.vessels.iter().filter(|v| v.cap > 0.0 && v.capacity > 0.0);
        open.map(|v| v.load / 2.0 / v.capacity).fold(f64::INFINITY, f64::min)
    }

    /// The paces of all kinds; there are few.
    fn kind_paces(&self) -> KindPaces {
        let of_kind = |(kind, k): (&u32, &crate::state::Kind)| (*kind, k.pace, k.pace.exp());
        KindPaces { kinds: self.kinds.iter().map(of_kind).collect(), unknown: (self.pace, self.pace.exp()) }
    }
}

/// How long a server has not been heard of, so far that it tells: one that looked slow is sent little and teaches nothing,
/// and that alone must not keep it slow.
fn unheard(since_used: Micros, sight: f64) -> f64 {
    since_used.max(0) as f64 * sight / UNHEARD
}

/// Paces of the machine kinds, as logarithms and as speeds.
struct KindPaces {
    kinds: Vec<(u32, f64, f64)>,
    unknown: (f64, f64),
}

impl KindPaces {
    /// Work that a server of power 1 does in a unit of time: by its kind's pace and by its own, as far as that still holds.
    fn speed_of(&self, kind: u32, pace: f64, unheard: f64) -> f64 {
        let known = self.kinds.iter().find(|(of, ..)| *of == kind);
        let (kind_pace, kind_speed) = known.map_or(self.unknown, |(_, pace, speed)| (*pace, *speed));
        // Most servers of a large fleet have no pace of their own.
        if pace == 0.0 {
            return kind_speed;
        }
        (kind_pace + pace * (-unheard).exp()).exp()
    }
}
