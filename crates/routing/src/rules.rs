//! The rules on repeats and refusals, enforced at the instant of acting, whatever the module decided before.

use super::flow::{FlowId, ForwardId};
use super::{time, Host, Written, SPARE};
use roseproxy_decision::interface::{Effect, Group, Outcome, ServerId};

impl Host {
    /// By when the last byte of a forward must be out beside and after the others of its flow, as that is what its time
    /// counts from: `None` where it may not be written any more, infinity where nothing binds it.
    pub(super) fn may_join(&self, now: f64, id: ForwardId, target: ServerId) -> Option<f64> {
        // A flow that has ended has no client, or its answer.
        let flow = self.flows.get(&id.flow).filter(|f| now < f.deadline)?;
        let member = self.members.get(&target)?;
        let effect = self.settings.classes.get(flow.class).map(|c| c.effect);
        let mut whole_by = f64::INFINITY;
        for other in flow.written.iter().filter(|w| w.attempt != id.attempt) {
            if other.out && !self.settings.second_copies {
                return None;
            }
            match effect {
                Some(Effect::Safe) => {}
                Some(Effect::Keyed { group, window }) => {
                    let within = match group {
                        Group::All => true,
                        Group::Zone => other.zone == member.target.zone,
                        Group::Cell => other.cell == member.target.cell,
                    };
                    if !within {
                        return None;
                    }
                    whole_by = whole_by.min(other.sent + time::to_millis(window) - SPARE);
                }
                Some(Effect::Unsafe) | None => return None,
            }
        }
        (now < whole_by).then_some(whole_by)
    }

    /// Whether a flow may be refused: that says that none of it takes effect twice if it is tried again.
    pub(super) fn may_refuse(&self, id: FlowId) -> bool {
        let Some(flow) = self.flows.get(&id) else { return true };
        let harmless = self.settings.classes.get(flow.class).is_some_and(|c| match c.effect {
            Effect::Safe => true,
            Effect::Keyed { group, .. } => group == Group::All,
            Effect::Unsafe => false,
        });
        harmless || flow.written.is_empty()
    }

    /// A forward's first byte goes out now.
    pub(super) fn note_written(&mut self, id: ForwardId, target: ServerId, sent: f64) {
        let Some(member) = self.members.get(&target) else { return };
        let (zone, cell) = (member.target.zone, member.target.cell);
        if let Some(forward) = self.forwards.get_mut(&id) {
            forward.written = true;
        }
        if let Some(flow) = self.flows.get_mut(&id.flow) {
            flow.written.retain(|w| w.attempt != id.attempt);
            flow.written.push(Written { attempt: id.attempt, sent, zone, cell, out: true });
        }
    }

    /// A forward has ended: one that proves to have never run binds nothing any more.
    pub(super) fn note_ended(&mut self, id: ForwardId, outcome: Outcome) {
        let Some(flow) = self.flows.get_mut(&id.flow) else { return };
        match outcome {
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent => {
                flow.written.retain(|w| w.attempt != id.attempt);
            }
            Outcome::Served | Outcome::Error | Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled => {
                flow.written.iter_mut().filter(|w| w.attempt == id.attempt).for_each(|w| w.out = false);
            }
        }
    }
}
