//! Invariants, checked when an event has occurred, whatever caused it, and counted if violated.
//!
//! Every count is 0 in a sidecar without a fault. A violation is also recorded in the event log
//! with its request.

use super::event_log::EventKind;
use super::flow::{FlowId, ForwardId};
use super::labels::label_of;
use super::{time, Flow, Host, TIME_RESERVE_MS};
use roseproxy_decision::interface::ServerId;

/// Tolerance by which the time limit sent to a target may exceed the client's remaining time (ms).
const DEADLINE_TOLERANCE_MS: f64 = 150.0;
/// Tolerance by which an answer may be later than the client's deadline (ms).
const ANSWER_TOLERANCE_MS: f64 = 500.0;

/// A condition that must never occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt began for a request that already had its answer, or whose client had left.
    AttemptAfterEnd,
    /// An attempt began after the client's deadline.
    AttemptAfterDeadline,
    /// An attempt began at a target after the grace that follows notice of its drain or removal.
    AttemptAtLeaving,
    /// An attempt began with a list that discovery had not confirmed for too long.
    AttemptByExpiredList,
    /// An attempt began that the rules on repeats forbid.
    ForbiddenRepeat,
    /// A target was sent a longer time limit than the client had left.
    DeadlineTooLong,
    /// A request was answered long after its client's deadline.
    LateAnswer,
    /// The sidecar closed a connection on which a request had no answer.
    ClosedUnanswered,
    /// The process ended with requests that had no answer.
    OpenAtExit,
}

/// All violations with their names in the counters and in the event log.
pub const VIOLATIONS: [(Violation, &str); 9] = [
    (Violation::AttemptAfterEnd, "attempt_after_end"),
    (Violation::AttemptAfterDeadline, "attempt_after_deadline"),
    (Violation::AttemptAtLeaving, "attempt_at_leaving"),
    (Violation::AttemptByExpiredList, "attempt_by_expired_list"),
    (Violation::ForbiddenRepeat, "forbidden_repeat"),
    (Violation::DeadlineTooLong, "deadline_too_long"),
    (Violation::LateAnswer, "late_answer"),
    (Violation::ClosedUnanswered, "closed_unanswered"),
    (Violation::OpenAtExit, "open_at_exit"),
];

impl Violation {
    /// Returns the violation's name in the counters and in the event log.
    pub fn name(self) -> &'static str {
        label_of(&VIOLATIONS, self)
    }
}

impl Host {
    /// Counts a violation, and records it with its request.
    pub fn record_violation(&mut self, now: f64, request: Option<FlowId>, violation: Violation) {
        self.counters.count_violation(violation);
        self.events.record(now, request, EventKind::Violated(violation));
    }

    /// Records that the first byte of an attempt was written to its connection.
    pub fn attempt_began(&mut self, now: f64, id: ForwardId) {
        // An attempt that was stopped in this same step is aborted before its last byte.
        let Some(target) = self.forwards.get(&id).map(|f| f.target) else { return };
        for violation in self.violations_at_start(now, id, target) {
            self.record_violation(now, Some(id.flow), violation);
        }
        self.events.record(now, Some(id.flow), EventKind::AttemptBegan { attempt: id.attempt });
    }

    fn violations_at_start(&self, now: f64, id: ForwardId, target: ServerId) -> Vec<Violation> {
        let Some(request) = self.flows.get(&id.flow) else { return vec![Violation::AttemptAfterEnd] };
        let grace = time::to_millis(self.settings.network.drain_grace);
        let member = self.members.get(&target);
        let left = member.is_none_or(|m| m.leaving_since.is_some_and(|since| now - since > grace));
        let repeat = member.map(|m| self.repeat_deadline(request, id.attempt, m));
        let forbidden = match repeat {
            Some(Ok(write_deadline)) => now > write_deadline + TIME_RESERVE_MS,
            Some(Err(_)) => true,
            None => false,
        };
        let checks = [
            (now > client_deadline(request), Violation::AttemptAfterDeadline),
            (left, Violation::AttemptAtLeaving),
            // The guard uses only half of the grace; the rest tolerates a delayed process.
            (self.list_expired_for(now) > self.notice_grace(), Violation::AttemptByExpiredList),
            (forbidden, Violation::ForbiddenRepeat),
        ];
        checks.into_iter().filter(|(broken, _)| *broken).map(|(_, violation)| violation).collect()
    }

    /// Records that the last byte of an attempt was written, whose head sent the target this time
    /// limit (ms).
    pub fn attempt_written(&mut self, now: f64, id: ForwardId, announced_ms: f64) {
        self.events.record(
            now,
            Some(id.flow),
            EventKind::AttemptWritten { attempt: id.attempt, announced_ms },
        );
        let left = self.flows.get(&id.flow).map(|request| client_deadline(request) - now);
        if left.is_some_and(|left| announced_ms > left + DEADLINE_TOLERANCE_MS) {
            self.record_violation(now, Some(id.flow), Violation::DeadlineTooLong);
        }
    }

    /// Checks that a request that is answered now is not late.
    pub(super) fn check_answer_time(&mut self, now: f64, id: FlowId) {
        let deadline = self.flows.get(&id).map(client_deadline);
        if deadline.is_some_and(|deadline| now > deadline + ANSWER_TOLERANCE_MS) {
            self.record_violation(now, Some(id), Violation::LateAnswer);
        }
    }
}

/// Returns the time at which the client gives up (ms).
fn client_deadline(request: &Flow) -> f64 {
    request.deadline + TIME_RESERVE_MS
}
