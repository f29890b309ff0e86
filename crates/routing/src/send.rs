//! Stage 4: forwards go out, and end exactly once each.

use super::event_log::AttemptReason;
use super::flow::{Answer, FlowId, ForwardEnd, ForwardId, Order};
use super::guard::{Withheld, WritePermit};
use super::timers::Due;
use super::{micros_since, time, Ending, EventKind, Forward, Host};
use roseproxy_decision::interface::{Event, Load, Micros, Outcome, ServerId};

impl Host {
    pub(super) fn send(&mut self, now: f64, flow: FlowId, target: ServerId, timeout: Option<Micros>) {
        let Some(open) = self.flows.get_mut(&flow) else {
            let id = ForwardId { flow, attempt: 0 };
            return self.withhold(now, id, target, Withheld::RequestEnded);
        };
        let id = ForwardId { flow, attempt: open.attempts };
        open.attempts += 1;
        let left = open.deadline - now;
        let reason = self.attempt_reason(id);
        let patience = timeout.map_or(left, |t| time::to_millis(t).min(left));
        if let Err(reason) = self.may_send(now, id, target, patience) {
            return self.withhold(now, id, target, reason);
        }
        let Some(address) = self.members.get(&target).map(|m| m.target.address) else {
            return self.withhold(now, id, target, Withheld::EndpointGone);
        };
        self.book.forwards += 1;
        self.book.attempted(reason);
        self.note_call(now, target);
        self.forwards.insert(id, Forward { target, sent: now, written: false });
        self.timers.set(now + patience, Due::Forward(id));
        let ordered = EventKind::AttemptOrdered { attempt: id.attempt, reason, endpoint: target, patience };
        self.events.record(now, Some(id.flow), ordered);
        self.orders.push_back(Order::Forward { id, target, address, patience });
    }

    /// Why this attempt is made, by the attempts before it.
    fn attempt_reason(&self, id: ForwardId) -> AttemptReason {
        let is_out = |attempt| self.forwards.contains_key(&ForwardId { attempt, ..id });
        match id.attempt {
            0 => AttemptReason::First,
            earlier if (0..earlier).any(is_out) => AttemptReason::SecondCopy,
            _ => AttemptReason::Retry,
        }
    }

    /// An attempt that may not be sent has ended before it began.
    fn withhold(&mut self, now: f64, id: ForwardId, target: ServerId, reason: Withheld) {
        self.note_withheld(now, id, reason);
        self.endings.push_back(Ending { id, target, outcome: Outcome::NotSent, elapsed: 0.0 });
    }

    fn note_withheld(&mut self, now: f64, id: ForwardId, reason: Withheld) {
        self.book.withheld(reason);
        let kind = EventKind::AttemptWithheld { attempt: id.attempt, reason };
        self.events.record(now, Some(id.flow), kind);
    }

    pub(super) fn record_end(&mut self, now: f64, id: ForwardId, outcome: Outcome) {
        let kind = EventKind::AttemptEnded { attempt: id.attempt, outcome };
        self.events.record(now, Some(id.flow), kind);
    }

    /// Asked right before an attempt's first byte, which may come long after the decision, as connections come
    /// up late: `None` where it shall not be written any more. The front then reports it as
    /// [`Outcome::NotSent`]. Else it counts as written from here on.
    pub fn begin_write(&mut self, now: f64, id: ForwardId) -> Option<WritePermit> {
        let forward = self.forwards.get(&id)?;
        let (target, sent) = (forward.target, forward.sent);
        match self.may_write(now, id, target) {
            Ok(permit) => {
                self.note_written(id, target, sent);
                Some(permit)
            }
            Err(reason) => {
                self.note_withheld(now, id, reason);
                None
            }
        }
    }

    /// Asked again right before every write of an attempt, with the leave it was given and with whether its client's connection
    /// is still open. One that may not be written on is reported by the front as [`Outcome::NotSent`], unless it is whole.
    pub fn may_write_on(&mut self, now: f64, id: ForwardId, permit: WritePermit, present: bool) -> bool {
        let allowed = self.still_may_write(now, id, permit, present);
        if let Err(reason) = allowed {
            self.note_withheld(now, id, reason);
        }
        allowed.is_ok()
    }

    /// A forward has ended on the network. One that was given up before is heard no more.
    pub fn forward_ended(&mut self, now: f64, id: ForwardId, end: ForwardEnd, load: Option<Load>) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        let outcome = end.outcome();
        self.note_ended(id, outcome);
        self.book.ended(outcome);
        self.record_end(now, id, outcome);
        if let ForwardEnd::Served(body) = end {
            self.note_served(now, forward.target);
            self.answer(now, id.flow, Answer::Served(body));
        }
        let event = Event::AttemptEnded {
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
