//! Stage 5: the one answer of a flow.

use super::flow::{Answer, FlowId, ForwardId, Order};
use super::timers::Due;
use super::Host;
use roseproxy_decision::interface::{Event, Outcome};

/// How long after a flow's deadline the guard below waits for the module's own answer (ms).
const GUARD: f64 = 5.0;

impl Host {
    /// Answers a flow, unless it has its answer: the first one wins every race.
    pub(super) fn answer(&mut self, now: f64, id: FlowId, answer: Answer) {
        // A refusal says that trying again is harmless, which is not the module's to claim against the rules.
        let answer = match answer {
            Answer::Refused { .. } if !self.may_refuse(id) => Answer::Failed,
            answer => answer,
        };
        if self.close_flow(now, id) {
            self.book.answered(&answer);
            self.orders.push_back(Order::Answer(id, answer));
        }
    }

    /// Ends a flow, and with it every forward of which nothing is written yet, whatever the module may do:
    /// nobody waits for it any more. False where the flow has ended before.
    pub(super) fn close_flow(&mut self, now: f64, id: FlowId) -> bool {
        let Some(flow) = self.flows.remove(&id) else { return false };
        for attempt in 0..flow.attempts {
            let id = ForwardId { flow: id, attempt };
            if self.forwards.get(&id).is_some_and(|f| !f.written) {
                self.call_off(now, id, Outcome::NotSent);
            }
        }
        true
    }

    /// Fails a flow where the module has not answered it, and tells it.
    fn fail(&mut self, now: f64, id: FlowId) {
        self.answer(now, id, Answer::Failed);
        self.tell(now, Event::Expired { request: id });
    }

    /// Answers every flow that is open as failed: the program is about to end.
    pub fn fail_all(&mut self, now: f64) {
        let mut open: Vec<FlowId> = self.flows.keys().copied().collect();
        open.sort_unstable(); // nothing may depend on the order of a hash table
        for id in open {
            self.fail(now, id);
        }
    }

    /// Sets the guard against a flow that is never answered: the module answers in time by itself.
    pub(super) fn owe_by(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get(&id) {
            self.timers.set(flow.deadline + GUARD, Due::Flow(id));
        }
    }

    pub(super) fn flow_overdue(&mut self, now: f64, id: FlowId) {
        if self.flows.contains_key(&id) {
            self.book.overdue += 1;
            self.fail(now, id);
        }
    }
}
