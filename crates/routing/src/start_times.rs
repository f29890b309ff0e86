//! Converts the start times of targets, which lists give in wall-clock time, to the program's
//! clock.
//!
//! Wall clocks are stepped, both on this machine and where the list is created; the program's clock
//! is monotonic. A start is converted once, when a list first names it. If the clocks disagree, the
//! target counts as the younger: one that is treated as warm too early is overloaded, while one
//! that is treated as cold for too long only receives less work.

use super::flow::Target;
use roseproxy_decision::interface::{ServerId, Update};
use std::collections::{HashMap, HashSet};

/// Latest time after a start at which discovery may report it (ms).
const MAX_START_REPORT_DELAY_MS: f64 = 6_000.0;
/// Number of known starts above which those that a complete list does not name are dropped.
const MAX_KNOWN_STARTS: usize = 8_192;

/// Readings of both clocks at one moment (ms).
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The program's clock, which is never stepped.
    pub program: f64,
    /// The wall clock.
    pub wall: f64,
}

/// Origin of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Kept from before the start; it may be of any age.
    Kept,
    /// Received from discovery just now.
    Discovery,
}

/// A start as the list gives it, and on the program's clock (ms).
#[derive(Clone, Copy, Debug)]
struct Start {
    listed: f64,
    on_program_clock: f64,
}

/// The known starts of targets.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: HashMap<ServerId, Start>,
    /// Time of the last list from discovery (ms).
    last_list: Option<f64>,
}

impl StartTimes {
    /// Converts the starts of a list's entries to the program's clock.
    pub fn place_on_program_clock(
        &mut self,
        clocks: Clocks,
        source: ListSource,
        update: Update,
        targets: &mut [Target],
    ) {
        for target in targets.iter_mut() {
            target.started_at = target
                .started_at
                .map(|listed| self.start_on_program_clock(clocks, source, target.id, listed));
        }
        if source == ListSource::Discovery {
            self.last_list = Some(clocks.program);
        }
        if update == Update::Complete && self.known.len() > MAX_KNOWN_STARTS {
            let listed_ids: HashSet<ServerId> = targets.iter().map(|t| t.id).collect();
            self.known.retain(|id, _| listed_ids.contains(id));
        }
    }

    fn start_on_program_clock(
        &mut self,
        clocks: Clocks,
        source: ListSource,
        id: ServerId,
        listed: f64,
    ) -> f64 {
        if let Some(start) = self.known.get(&id).filter(|start| start.listed == listed) {
            return start.on_program_clock;
        }
        let on_program_clock = clocks.program - self.age(clocks, source, listed);
        self.known.insert(id, Start { listed, on_program_clock });
        on_program_clock
    }

    /// Returns the age of a target whose start was not known before.
    fn age(&self, clocks: Clocks, source: ListSource, listed: f64) -> f64 {
        let age = (clocks.program - listed).min(clocks.wall - listed).max(0.0);
        match self.last_list.filter(|_| source == ListSource::Discovery) {
            // Discovery would have reported an earlier start before: both clocks were stepped.
            Some(last) if age > clocks.program - last + MAX_START_REPORT_DELAY_MS => clocks.program - last,
            _ => age,
        }
    }
}
