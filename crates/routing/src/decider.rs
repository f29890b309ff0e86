//! Interface between the host and the component that makes routing decisions.
//!
//! In production that is always the decision module. The laboratory substitutes reference
//! strategies, so that the rest of the sidecar stays the same in every comparison.

use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_decision::policy::Balancer;
use roseproxy_decision::snapshot::Snapshot;

/// Turns events into actions, without I/O and deterministically for a given seed.
pub trait Decider {
    /// Handles an event at time `now` (microseconds) and appends the actions to `out`, in order.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);

    /// Whether a timer that was set with this token may still lead to an action.
    fn awaits_timer(&self, _token: u64) -> bool {
        true
    }

    /// Returns the decider's estimates of its servers.
    fn snapshot(&self) -> Snapshot {
        Snapshot::default()
    }
}

impl Decider for Balancer {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn awaits_timer(&self, token: u64) -> bool {
        Balancer::awaits_timer(self, token)
    }

    fn snapshot(&self) -> Snapshot {
        Balancer::snapshot(self)
    }
}
