//! Stage 4: forwards go out, and end exactly once each.

use super::flow::{Answer, FlowId, ForwardEnd, ForwardId, Order};
use super::timers::Due;
use super::{micros_since, time, Ending, Forward, Host};
use roseproxy_decision::interface::{Event, Load, Micros, Outcome, Readiness, ServerId};

impl Host {
    pub(super) fn send(&mut self, now: f64, flow: FlowId, target: ServerId, timeout: Option<Micros>) {
        let Some(open) = self.flows.get_mut(&flow) else {
            let id = ForwardId { flow, attempt: 0 };
            return self.end_unsent(id, target);
        };
        let id = ForwardId { flow, attempt: open.attempts };
        open.attempts += 1;
        let left = open.deadline - now;
        let patience = timeout.map_or(left, |t| time::to_millis(t).min(left));
        // Never more attempts than the platform allows, none without time, none into a drain.
        let spent = open.attempts > self.settings.max_attempts || patience <= 0.0;
        let address = self.members.get(&target).map(|m| m.target.address);
        let (Some(address), false, true) = (address, spent, self.takes_work(now, target)) else {
            return self.end_unsent(id, target);
        };
        self.book.forwards += 1;
        self.forwards.insert(id, Forward { target, sent: now, written: false });
        self.timers.set(now + patience, Due::Forward(id));
        self.orders.push_back(Order::Forward { id, target, address, patience });
    }

    fn end_unsent(&mut self, id: ForwardId, target: ServerId) {
        self.endings.push_back(Ending { id, target, outcome: Outcome::NotSent, elapsed: 0.0 });
    }

    /// Whether a target may be sent something new. Word of its drain may have come between a decision
    /// and the send: within the grace that is allowed, and after it never.
    fn takes_work(&self, now: f64, target: ServerId) -> bool {
        let grace = time::to_millis(self.settings.network.drain_grace) / 2.0;
        self.members.get(&target).is_some_and(|m| match m.target.readiness {
            Readiness::Ready => true,
            Readiness::Draining => m.leaving_since.is_some_and(|since| now - since < grace),
            Readiness::Gone => false,
        })
    }

    /// Asked right before a forward's first byte, which may come long after the decision, as connections come
    /// up late: `None` where it shall not be written any more. The front then reports it as
    /// [`Outcome::NotSent`]. Else the forward counts as written, and its last byte must be out by the time
    /// returned, infinity where there is no hurry: the front breaks it off else.
    pub fn begin_write(&mut self, now: f64, id: ForwardId) -> Option<f64> {
        let forward = self.forwards.get(&id)?;
        let (target, sent) = (forward.target, forward.sent);
        let whole_by = self.may_join(now, id, target).filter(|_| self.takes_work(now, target))?;
        self.note_written(id, target, sent);
        Some(whole_by)
    }

    /// A forward has ended on the network. One that was given up before is heard no more.
    pub fn forward_ended(&mut self, now: f64, id: ForwardId, end: ForwardEnd, load: Option<Load>) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        let outcome = end.outcome();
        self.note_ended(id, outcome);
        self.book.ended(outcome);
        if let ForwardEnd::Served(body) = end {
            self.answer(now, id.flow, Answer::Served(body));
        }
        let event = Event::Ended {
            request: id.flow,
            attempt: id.attempt,
            server: forward.target,
            outcome,
            elapsed: micros_since(forward.sent, now),
            finished: !self.flows.contains_key(&id.flow),
            load,
        };
        self.tell(now, event);
    }

    pub(super) fn forward_overdue(&mut self, now: f64, id: ForwardId) {
        if let Some(forward) = self.forwards.get(&id) {
            // Nothing was written of one whose connection never came up: it never runs, and may go elsewhere.
            let outcome = if forward.written { Outcome::TimedOut } else { Outcome::Unreachable };
            self.orders.push_back(Order::GiveUp(id));
            self.forward_ended(now, id, ForwardEnd::Lost(outcome), None);
        }
    }

    pub(super) fn cancel(&mut self, now: f64, flow: FlowId, attempt: usize) {
        self.call_off(now, ForwardId { flow, attempt }, Outcome::Cancelled);
    }

    /// Stops a forward that is out; the module hears of its end with all that comes of the present event.
    pub(super) fn call_off(&mut self, now: f64, id: ForwardId, outcome: Outcome) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        self.note_ended(id, outcome);
        self.orders.push_back(Order::GiveUp(id));
        let (target, elapsed) = (forward.target, now - forward.sent);
        self.endings.push_back(Ending { id, target, outcome, elapsed });
    }
}
