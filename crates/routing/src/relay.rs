//! Stage 5: the one answer of a flow.

use super::flow::{Answer, FlowId, Order};
use super::timers::Due;
use super::Host;
use roseproxy_decision::interface::Event;

/// How long after a flow's deadline the guard below waits for the module's own answer (ms).
const GUARD: f64 = 5.0;

impl Host {
    /// Answers a flow, unless it has its answer: the first one wins every race.
    pub(super) fn answer(&mut self, id: FlowId, answer: Answer) {
        if self.flows.remove(&id).is_some() {
            self.book.answered(&answer);
            self.orders.push_back(Order::Answer(id, answer));
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
            self.answer(id, Answer::Failed);
            self.tell(now, Event::Expired { request: id });
        }
    }
}
