//! Stage 5: the one answer of a flow.

use super::flow::{Answer, FlowId, ForwardId, Order};
use super::timers::Due;
use super::{EventKind, Host, RefusalReason};
use roseproxy_decision::interface::{Event, Outcome};

/// How long after a flow's deadline the guard below waits for the module's own answer (ms).
const GUARD: f64 = 5.0;

impl Host {
    /// Answers a flow, unless it has its answer: the first one wins every race.
    pub(super) fn answer(&mut self, now: f64, id: FlowId, answer: Answer) {
        self.answer_as(now, id, answer, None);
    }

    /// Refuses a request, or fails it: a refusal says that trying again is harmless, which is not the module's to claim
    /// against the rules.
    pub(super) fn refuse(&mut self, now: f64, id: FlowId, retry_after: f64, reason: RefusalReason) {
        if self.may_refuse(id) {
            self.answer_as(now, id, Answer::Refused { retry_after }, Some(reason));
        } else {
            self.answer_as(now, id, Answer::Failed, None);
        }
    }

    fn answer_as(&mut self, now: f64, id: FlowId, answer: Answer, refusal: Option<RefusalReason>) {
        // One that is not admitted is answered as soon as it is read.
        let turned_back = [RefusalReason::NoTime, RefusalReason::NoRoom, RefusalReason::ListExpired];
        if !refusal.is_some_and(|reason| turned_back.contains(&reason)) {
            self.check_answer_time(now, id);
        }
        if !self.close_flow(now, id) {
            return;
        }
        self.book.answered(&answer);
        refusal.into_iter().for_each(|reason| self.book.refused(reason));
        let kind = match (&answer, refusal) {
            (Answer::Served(_), _) => EventKind::Served,
            (_, Some(reason)) => EventKind::Refused(reason),
            _ => EventKind::Failed,
        };
        self.events.record(now, Some(id), kind);
        self.orders.push_back(Order::Answer(id, answer));
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
        self.tell(now, Event::ClientLeft { request: id });
    }

    /// The process is about to end: answers every flow that is open as failed, and whatever comes from here on.
    pub fn end(&mut self, now: f64) {
        self.ending = true;
        for id in self.open_ids() {
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
