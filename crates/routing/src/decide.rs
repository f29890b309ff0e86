//! The seam at the host: who decides.
//!
//! In service that is always the decision module. The laboratory puts yardsticks in its place, so that
//! the rest of the sidecar stays the same in every comparison.

use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_decision::policy::Balancer;
use roseproxy_decision::snapshot::Snapshot;

/// Takes events and answers with actions; without I/O, and deterministic by its seed.
pub trait Decider {
    /// Takes one event at this time (microseconds) and appends what is to be done, in order.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);

    /// What it makes of its servers.
    fn picture(&self) -> Snapshot {
        Snapshot::default()
    }
}

impl Decider for Balancer {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn picture(&self) -> Snapshot {
        Balancer::snapshot(self)
    }
}
