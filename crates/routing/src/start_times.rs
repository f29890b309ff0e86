//! Places the starts of endpoints, which lists give in wall-clock time, on the program's clock.
//!
//! Wall clocks are stepped, here and where the list is made; the program's clock runs on. A start is placed once, when
//! the list first tells of it, and where the clocks disagree the endpoint counts as the younger: one that is taken for
//! warm too early is pushed over, one that is taken for cold too long only gets less.

use super::flow::Target;
use roseproxy_decision::interface::{ServerId, Update};
use std::collections::{HashMap, HashSet};

/// How late discovery may tell of a start (ms).
const TOLD_WITHIN: f64 = 6_000.0;
/// Starts that are remembered before those are forgotten that the whole list does not name.
const MOST: usize = 8_192;

/// What the clocks say at one moment (ms).
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    /// The program's, which is never stepped.
    pub program: f64,
    /// The wall clock.
    pub wall: f64,
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Kept from before; it may be of any age.
    Kept,
    /// Discovery told it just now.
    Discovery,
}

/// A start as the list gives it, and on the program's clock (ms).
#[derive(Clone, Copy, Debug)]
struct Start {
    listed: f64,
    placed: f64,
}

/// The starts that were told.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: HashMap<ServerId, Start>,
    /// When discovery last told anything (ms).
    last_list: Option<f64>,
}

impl StartTimes {
    /// Places the starts of a list's entries.
    pub fn place(&mut self, clocks: Clocks, source: Source, update: Update, targets: &mut [Target]) {
        for target in targets.iter_mut() {
            target.started_at =
                target.started_at.map(|listed| self.placed(clocks, source, target.id, listed));
        }
        if source == Source::Discovery {
            self.last_list = Some(clocks.program);
        }
        if update == Update::Complete && self.known.len() > MOST {
            let named: HashSet<ServerId> = targets.iter().map(|t| t.id).collect();
            self.known.retain(|id, _| named.contains(id));
        }
    }

    fn placed(&mut self, clocks: Clocks, source: Source, id: ServerId, listed: f64) -> f64 {
        if let Some(start) = self.known.get(&id).filter(|start| start.listed == listed) {
            return start.placed;
        }
        let placed = clocks.program - self.age(clocks, source, listed);
        self.known.insert(id, Start { listed, placed });
        placed
    }

    /// How long ago an endpoint started of which nothing was known before.
    fn age(&self, clocks: Clocks, source: Source, listed: f64) -> f64 {
        let age = (clocks.program - listed).min(clocks.wall - listed).max(0.0);
        match self.last_list.filter(|_| source == Source::Discovery) {
            // Discovery would have told of it: both clocks were stepped.
            Some(last) if age > clocks.program - last + TOLD_WITHIN => clocks.program - last,
            _ => age,
        }
    }
}
