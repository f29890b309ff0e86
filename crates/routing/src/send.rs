//! Stage 4: forwards (attempts on the network) are sent, and each ends exactly once.

use super::event_log::AttemptReason;
use super::flow::{Answer, FlowId, ForwardEnd, ForwardId, Order};
use super::guard::{WithheldReason, WritePermit};
use super::timers::TimerKind;
use super::{micros_since, time, EndedForward, EventKind, Forward, Host};
use roseproxy_decision::interface::{Event, Load, Micros, Outcome, ServerId};

impl Host {
    pub(super) fn send(&mut self, now: f64, flow: FlowId, target: ServerId, timeout: Option<Micros>) {
        let Some(open) = self.flows.get_mut(&flow) else {
            let id = ForwardId { flow, attempt: 0 };
            return self.withhold_attempt(now, id, target, WithheldReason::RequestEnded);
        };
        let id = ForwardId { flow, attempt: open.attempts };
        open.attempts += 1;
        let left = open.deadline - now;
        let reason = self.attempt_reason(id);
        let allowed = timeout.map_or(left, |t| time::to_millis(t).min(left));
        if let Err(reason) = self.may_send(now, id, target, allowed) {
            return self.withhold_attempt(now, id, target, reason);
        }
        let Some(process) = self.members.get(&target).map(|m| m.target.process()) else {
            return self.withhold_attempt(now, id, target, WithheldReason::EndpointGone);
        };
        self.counters.forwards_sent += 1;
        self.counters.count_attempt(reason);
        self.record_call(now, target);
        self.forwards.insert(id, Forward { target, process, sent_at: now, written: false });
        self.timers.set(now + allowed, TimerKind::Forward(id));
        let ordered =
            EventKind::AttemptOrdered { attempt: id.attempt, reason, endpoint: target, timeout: allowed };
        self.events.record(now, Some(id.flow), ordered);
        let address = process.address;
        self.orders.push_back(Order::Forward { id, target, address, timeout: allowed });
    }

    /// Returns the reason of an attempt, derived from the earlier ones.
    fn attempt_reason(&self, id: ForwardId) -> AttemptReason {
        let is_open = |attempt| self.forwards.contains_key(&ForwardId { attempt, ..id });
        match id.attempt {
            0 => AttemptReason::First,
            earlier if (0..earlier).any(is_open) => AttemptReason::SecondCopy,
            _ => AttemptReason::Retry,
        }
    }

    /// Withholds an attempt that may not be sent; it ends before it began.
    fn withhold_attempt(&mut self, now: f64, id: ForwardId, target: ServerId, reason: WithheldReason) {
        self.record_withheld(now, id, reason);
        self.ended_forwards.push_back(EndedForward { id, target, outcome: Outcome::NotSent, elapsed: 0.0 });
    }

    fn record_withheld(&mut self, now: f64, id: ForwardId, reason: WithheldReason) {
        self.counters.count_withheld(reason);
        let kind = EventKind::AttemptWithheld { attempt: id.attempt, reason };
        self.events.record(now, Some(id.flow), kind);
    }

    pub(super) fn record_attempt_end(&mut self, now: f64, id: ForwardId, outcome: Outcome) {
        let kind = EventKind::AttemptEnded { attempt: id.attempt, outcome };
        self.events.record(now, Some(id.flow), kind);
    }

    /// Must be called immediately before an attempt's first byte, which may be long after the
    /// decision if connecting takes long. Returns `None` if the attempt must not be written any
    /// more; the front end then reports it as [`Outcome::NotSent`]. Otherwise the attempt counts as
    /// written from now on.
    pub fn begin_write(&mut self, now: f64, id: ForwardId) -> Option<WritePermit> {
        let forward = self.forwards.get(&id)?;
        let (target, sent_at) = (forward.target, forward.sent_at);
        match self.may_write(now, id, target) {
            Ok(permit) => {
                self.record_written(id, target, sent_at);
                Some(permit)
            }
            Err(reason) => {
                self.record_withheld(now, id, reason);
                None
            }
        }
    }

    /// Must be called immediately before every write of an attempt, with its permit and with
    /// whether its client's connection is still open. If it returns `false`, the front end reports
    /// the attempt as [`Outcome::NotSent`] unless it is completely written.
    pub fn may_continue_write(
        &mut self,
        now: f64,
        id: ForwardId,
        permit: WritePermit,
        client_connected: bool,
    ) -> bool {
        let allowed = self.check_continue_write(now, id, permit, client_connected);
        if let Err(reason) = allowed {
            self.record_withheld(now, id, reason);
        }
        allowed.is_ok()
    }

    /// Handles the end of a forward on the network. The end of a forward that was stopped before is
    /// ignored.
    pub fn forward_ended(&mut self, now: f64, id: ForwardId, end: ForwardEnd, load: Option<Load>) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        let outcome = end.outcome();
        self.record_forward_end(id, outcome);
        self.counters.count_outcome(outcome);
        self.record_attempt_end(now, id, outcome);
        if let ForwardEnd::Served(body) = end {
            self.record_answer(now, forward.target);
            self.answer(now, id.flow, Answer::Served(body));
        }
        let event = Event::AttemptEnded {
            request: id.flow,
            attempt: id.attempt,
            server: forward.target,
            outcome,
            elapsed: micros_since(forward.sent_at, now),
            finished: !self.flows.contains_key(&id.flow),
            load,
        };
        self.notify_module(now, event);
    }

    pub(super) fn forward_overdue(&mut self, now: f64, id: ForwardId) {
        if let Some(forward) = self.forwards.get(&id) {
            // Nothing was written if the connection was never established: the attempt never runs,
            // and the request may be sent elsewhere.
            let outcome = if forward.written { Outcome::TimedOut } else { Outcome::Unreachable };
            self.orders.push_back(Order::GiveUp(id));
            self.forward_ended(now, id, ForwardEnd::Failed(outcome), None);
        }
    }

    pub(super) fn cancel(&mut self, now: f64, flow: FlowId, attempt: usize) {
        self.stop_forward(now, ForwardId { flow, attempt }, Outcome::Cancelled);
    }

    /// Stops an open forward. The decision module is notified of its end after the present event.
    pub(super) fn stop_forward(&mut self, now: f64, id: ForwardId, outcome: Outcome) {
        let Some(forward) = self.forwards.remove(&id) else { return };
        self.record_forward_end(id, outcome);
        self.orders.push_back(Order::GiveUp(id));
        let (target, elapsed) = (forward.target, now - forward.sent_at);
        self.ended_forwards.push_back(EndedForward { id, target, outcome, elapsed });
    }
}
