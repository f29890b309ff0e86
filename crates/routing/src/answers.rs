//! Stage 5: each flow gets exactly one answer.

use super::flow::{Answer, FlowId, ForwardId, Order};
use super::timers::TimerKind;
use super::{EventKind, Host, RefusalReason};
use roseproxy_decision::interface::{Event, Outcome};

/// Time after a flow's deadline at which a timer fails a flow that the decision module has not
/// answered (ms).
const ANSWER_GUARD_MS: f64 = 5.0;

impl Host {
    /// Answers a flow unless it already has an answer: only the first answer is sent.
    pub(super) fn answer(&mut self, now: f64, id: FlowId, answer: Answer) {
        self.answer_with_reason(now, id, answer, None);
    }

    /// Refuses a request, or fails it if the rules on repeats forbid a refusal. A refusal asserts
    /// that a retry is harmless, and the decision module cannot assert that against the rules.
    pub(super) fn refuse(&mut self, now: f64, id: FlowId, retry_after: f64, reason: RefusalReason) {
        if self.may_refuse(id) {
            self.answer_with_reason(now, id, Answer::Refused { retry_after }, Some(reason));
        } else {
            self.answer_with_reason(now, id, Answer::Failed, None);
        }
    }

    fn answer_with_reason(&mut self, now: f64, id: FlowId, answer: Answer, refusal: Option<RefusalReason>) {
        // A flow that is not admitted is answered as soon as it is read, so its answer time is not
        // checked.
        let not_admitted = [RefusalReason::NoTime, RefusalReason::NoRoom, RefusalReason::ListExpired];
        if !refusal.is_some_and(|reason| not_admitted.contains(&reason)) {
            self.check_answer_time(now, id);
        }
        if !self.close_flow(now, id) {
            return;
        }
        self.counters.count_answer(&answer);
        refusal.into_iter().for_each(|reason| self.counters.count_refusal(reason));
        let kind = match (&answer, refusal) {
            (Answer::Served(_), _) => EventKind::Served,
            (_, Some(reason)) => EventKind::Refused(reason),
            _ => EventKind::Failed,
        };
        self.events.record(now, Some(id), kind);
        self.orders.push_back(Order::Answer(id, answer));
    }

    /// Ends a flow and stops all its forwards that are not written yet, whatever the decision
    /// module does, since no client waits for them any more. Returns `false` if the flow had
    /// already ended.
    pub(super) fn close_flow(&mut self, now: f64, id: FlowId) -> bool {
        let Some(flow) = self.flows.remove(&id) else { return false };
        for attempt in 0..flow.attempts {
            let id = ForwardId { flow: id, attempt };
            if self.forwards.get(&id).is_some_and(|f| !f.written) {
                self.stop_forward(now, id, Outcome::NotSent);
            }
        }
        true
    }

    /// Fails a flow that the decision module has not answered, and notifies the module.
    fn fail_flow(&mut self, now: f64, id: FlowId) {
        self.answer(now, id, Answer::Failed);
        self.notify_module(now, Event::ClientLeft { request: id });
    }

    /// Begins the shutdown: fails every open flow, and every later one that cannot be answered at
    /// once.
    pub fn begin_shutdown(&mut self, now: f64) {
        self.shutting_down = true;
        for id in self.open_flow_ids() {
            self.fail_flow(now, id);
        }
    }

    /// Sets the timer that fails a flow without an answer. Normally the decision module answers in
    /// time itself.
    pub(super) fn set_answer_timer(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.get(&id) {
            self.timers.set(flow.deadline + ANSWER_GUARD_MS, TimerKind::Flow(id));
        }
    }

    pub(super) fn flow_overdue(&mut self, now: f64, id: FlowId) {
        if self.flows.contains_key(&id) {
            self.counters.flows_overdue += 1;
            self.fail_flow(now, id);
        }
    }
}
