//! Guard: the single place that permits an attempt to be sent and written, and a request to be
//! refused.
//!
//! It is consulted when the decision module decides (`Host::may_send`) and again immediately
//! before the action (`Host::may_write`), since conditions may have changed in between.
//! [`super::invariants`] verifies afterwards that it was obeyed.

use super::flow::{FlowId, ForwardId};
use super::labels::label_of;
use super::{time, Flow, Host, Member, WrittenAttempt, TIME_RESERVE_MS};
use roseproxy_decision::interface::{Effect, Group, Outcome, Readiness, ServerId};

/// Why an attempt is not sent, or not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithheldReason {
    /// The request has its answer, or its client has left.
    RequestEnded,
    /// The client's connection has ended, which has not been reported yet.
    ClientLeft,
    /// The attempt's head was created too long ago: the time limit stated in it, or the idempotency
    /// window, is over.
    WrittenTooLate,
    /// The client's time is over.
    OutOfTime,
    /// The request has used all attempts that the settings allow.
    AttemptsSpent,
    /// The list no longer names the target.
    EndpointGone,
    /// The target is draining.
    EndpointLeaving,
    /// Another process has come up at the target's address or under its id.
    EndpointReplaced,
    /// An earlier attempt is still open, and the settings allow no second copy beside it.
    SecondCopy,
    /// An earlier attempt may have run, and the class is unsafe to repeat.
    MayHaveRun,
    /// An earlier attempt may have run outside the group that deduplicates repeats.
    OutsideGroup,
    /// The window in which repeats are deduplicated is over.
    WindowOver,
    /// The target has just started, and this sidecar's calls alone would overload it.
    SlowStart,
    /// Discovery has not confirmed the list for so long that it may be outdated.
    ListExpired,
}

/// All reasons with their names in the counters and in the event log.
pub const WITHHELD_REASONS: [(WithheldReason, &str); 14] = [
    (WithheldReason::RequestEnded, "request_ended"),
    (WithheldReason::ClientLeft, "client_left"),
    (WithheldReason::WrittenTooLate, "written_too_late"),
    (WithheldReason::OutOfTime, "out_of_time"),
    (WithheldReason::AttemptsSpent, "attempts_spent"),
    (WithheldReason::EndpointGone, "endpoint_gone"),
    (WithheldReason::EndpointLeaving, "endpoint_leaving"),
    (WithheldReason::EndpointReplaced, "endpoint_replaced"),
    (WithheldReason::SecondCopy, "second_copy"),
    (WithheldReason::MayHaveRun, "may_have_run"),
    (WithheldReason::OutsideGroup, "outside_group"),
    (WithheldReason::WindowOver, "window_over"),
    (WithheldReason::SlowStart, "slow_start"),
    (WithheldReason::ListExpired, "list_expired"),
];

impl WithheldReason {
    /// Returns the reason's name in the counters and in the event log.
    pub fn name(self) -> &'static str {
        label_of(&WITHHELD_REASONS, self)
    }
}

/// Time limit for writing an attempt (ms). The time limit stated in its head is accurate only that
/// long; the value leaves room for a process that is delayed in between.
const WRITE_TIMEOUT_MS: f64 = 100.0;

/// Permission to write an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WritePermit {
    /// Time by which its last byte must be written (ms); otherwise the attempt is aborted.
    pub write_deadline: f64,
}

impl Host {
    /// Whether an attempt may be sent to a target with this time limit for its answer (ms).
    pub(super) fn may_send(
        &mut self,
        now: f64,
        id: ForwardId,
        target: ServerId,
        timeout: f64,
    ) -> Result<(), WithheldReason> {
        if id.attempt >= self.settings.max_attempts {
            return Err(WithheldReason::AttemptsSpent);
        }
        if timeout <= 0.0 {
            return Err(WithheldReason::OutOfTime);
        }
        self.check_accepts_work(now, target)?;
        self.check_slow_start(now, target)
    }

    /// Whether the first byte of an attempt may be written now, considering the other attempts of
    /// its request.
    pub(super) fn may_write(
        &self,
        now: f64,
        id: ForwardId,
        target: ServerId,
    ) -> Result<WritePermit, WithheldReason> {
        let request = self.flows.get(&id.flow).ok_or(WithheldReason::RequestEnded)?;
        if now >= request.deadline {
            return Err(WithheldReason::OutOfTime);
        }
        let member = self.check_accepts_work(now, target)?;
        // The connection may lead to a process that has gone, or to the wrong one.
        if self.forwards.get(&id).is_some_and(|forward| forward.process != member.target.process()) {
            return Err(WithheldReason::EndpointReplaced);
        }
        let write_deadline = self.repeat_deadline(request, id.attempt, member)?;
        if now >= write_deadline {
            return Err(WithheldReason::WindowOver);
        }
        Ok(WritePermit { write_deadline: write_deadline.min(now + WRITE_TIMEOUT_MS) })
    }

    /// Whether an attempt with this permit may still be written, where `client_connected` is
    /// whether its client's connection is still open. Conditions may have changed while the thread
    /// was busy.
    pub(super) fn check_continue_write(
        &self,
        now: f64,
        id: ForwardId,
        permit: WritePermit,
        client_connected: bool,
    ) -> Result<(), WithheldReason> {
        let forward = self.forwards.get(&id).ok_or(WithheldReason::RequestEnded)?;
        if !client_connected {
            return Err(WithheldReason::ClientLeft);
        }
        if now >= permit.write_deadline {
            return Err(WithheldReason::WrittenTooLate);
        }
        self.may_write(now, id, forward.target).map(|_| ())
    }

    /// Whether a target may be sent new work. Notice of its drain may have arrived between a
    /// decision and the send: the send is allowed within the grace, and never after it.
    fn check_accepts_work(&self, now: f64, target: ServerId) -> Result<&Member, WithheldReason> {
        // Notice of a drain counts as received after a time even if it has not arrived, so an
        // expired list permits no send.
        if self.list_expired(now) {
            return Err(WithheldReason::ListExpired);
        }
        let grace = self.notice_grace();
        let member = self.members.get(&target).ok_or(WithheldReason::EndpointGone)?;
        match member.target.readiness {
            Readiness::Ready => Ok(member),
            Readiness::Draining if member.leaving_since.is_some_and(|since| now - since < grace) => {
                Ok(member)
            }
            Readiness::Draining => Err(WithheldReason::EndpointLeaving),
            Readiness::Gone => Err(WithheldReason::EndpointGone),
        }
    }

    /// Returns the time by which an attempt's last byte must be written, so that the attempt is no
    /// harmful repeat of the others: an attempt counts from its last byte. Infinite if there is no
    /// limit.
    pub(super) fn repeat_deadline(
        &self,
        request: &Flow,
        attempt: usize,
        member: &Member,
    ) -> Result<f64, WithheldReason> {
        let effect = self.settings.classes.get(request.class).map_or(Effect::Unsafe, |class| class.effect);
        let mut write_deadline = f64::INFINITY;
        for other in request.written.iter().filter(|w| w.attempt != attempt) {
            if other.open && !self.settings.second_copies {
                return Err(WithheldReason::SecondCopy);
            }
            match effect {
                Effect::Safe => {}
                Effect::Keyed { group, window } if other.drops_repeats_with(group, member) => {
                    write_deadline =
                        write_deadline.min(other.sent_at + time::to_millis(window) - TIME_RESERVE_MS);
                }
                Effect::Keyed { .. } => return Err(WithheldReason::OutsideGroup),
                Effect::Unsafe => return Err(WithheldReason::MayHaveRun),
            }
        }
        Ok(write_deadline)
    }

    /// Whether a request may be refused, which asserts that a retry by the client has no effect
    /// twice.
    pub(super) fn may_refuse(&self, id: FlowId) -> bool {
        let Some(flow) = self.flows.get(&id) else { return true };
        let harmless = self.settings.classes.get(flow.class).is_some_and(|c| match c.effect {
            Effect::Safe => true,
            Effect::Keyed { group, .. } => group == Group::All,
            Effect::Unsafe => false,
        });
        harmless || flow.written.is_empty()
    }

    /// Records that a forward's first byte is about to be written.
    pub(super) fn record_written(&mut self, id: ForwardId, target: ServerId, sent_at: f64) {
        let Some(member) = self.members.get(&target) else { return };
        let (zone, cell) = (member.target.zone, member.target.cell);
        if let Some(forward) = self.forwards.get_mut(&id) {
            forward.written = true;
        }
        if let Some(flow) = self.flows.get_mut(&id.flow) {
            flow.written.retain(|w| w.attempt != id.attempt);
            flow.written.push(WrittenAttempt { attempt: id.attempt, sent_at, zone, cell, open: true });
        }
    }

    /// Records that a forward has ended. One that is known not to have run no longer restricts
    /// repeats.
    pub(super) fn record_forward_end(&mut self, id: ForwardId, outcome: Outcome) {
        let Some(flow) = self.flows.get_mut(&id.flow) else { return };
        match outcome {
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent => {
                flow.written.retain(|w| w.attempt != id.attempt);
            }
            Outcome::Served | Outcome::Error | Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled => {
                flow.written.iter_mut().filter(|w| w.attempt == id.attempt).for_each(|w| w.open = false);
            }
        }
    }
}

impl WrittenAttempt {
    /// Whether a target deduplicates repeats of this attempt.
    fn drops_repeats_with(&self, group: Group, member: &Member) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == member.target.zone,
            Group::Cell => self.cell == member.target.cell,
        }
    }
}
