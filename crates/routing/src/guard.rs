//! The guard: the one place that allows an attempt to be sent and written, and a request to be refused.
//!
//! It is asked when the module decides ([`Host::may_send`]) and again at the instant of acting ([`Host::may_write`]), as
//! anything may have happened between the two. [`super::invariants`] checks afterwards that it was heeded.

use super::flow::{FlowId, ForwardId};
use super::kinds::name_of;
use super::{time, Flow, Host, Member, Written, SPARE};
use roseproxy_decision::interface::{Effect, Group, Outcome, Readiness, ServerId};

/// Why an attempt is not sent, or not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The request has its answer, or its client has left.
    RequestEnded,
    /// The client's connection has ended, which has not been heard of yet.
    ClientLeft,
    /// Its head was made too long ago: what it tells of the client's time, or the window of repeats, is over.
    WrittenTooLate,
    /// The client's time is over.
    OutOfTime,
    /// The request has had all the attempts that the settings allow.
    AttemptsSpent,
    /// The list does not name the endpoint any more.
    EndpointGone,
    /// The endpoint drains.
    EndpointLeaving,
    /// An earlier attempt is still out, and the settings allow no second copy.
    SecondCopy,
    /// An earlier attempt may have run, and the class is unsafe to repeat.
    MayHaveRun,
    /// An earlier attempt may have run outside the group that drops repeats.
    OutsideGroup,
    /// The window in which repeats are dropped is over.
    WindowOver,
    /// The endpoint has just started, and own calls alone would push it over.
    SlowStart,
    /// Discovery was not heard of for so long that the list may be out of date.
    ListExpired,
}

/// All reasons with the names that they are counted under.
pub const WITHHELD: [(Withheld, &str); 13] = [
    (Withheld::RequestEnded, "request_ended"),
    (Withheld::ClientLeft, "client_left"),
    (Withheld::WrittenTooLate, "written_too_late"),
    (Withheld::OutOfTime, "out_of_time"),
    (Withheld::AttemptsSpent, "attempts_spent"),
    (Withheld::EndpointGone, "endpoint_gone"),
    (Withheld::EndpointLeaving, "endpoint_leaving"),
    (Withheld::SecondCopy, "second_copy"),
    (Withheld::MayHaveRun, "may_have_run"),
    (Withheld::OutsideGroup, "outside_group"),
    (Withheld::WindowOver, "window_over"),
    (Withheld::SlowStart, "slow_start"),
    (Withheld::ListExpired, "list_expired"),
];

impl Withheld {
    /// Its name in counters and in the event log.
    pub fn name(self) -> &'static str {
        name_of(&WITHHELD, self)
    }
}

/// How long the writing of an attempt may take (ms): the time that its head tells the endpoint holds only so long, with
/// room for a process that is held up in between.
const WRITE_WITHIN: f64 = 100.0;

/// Leave to write an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WritePermit {
    /// By when its last byte must be out (ms): it is broken off else.
    pub whole_by: f64,
}

impl Host {
    /// Whether an attempt may be sent to an endpoint, with so much time (ms) for its answer.
    pub(super) fn may_send(
        &mut self,
        now: f64,
        id: ForwardId,
        endpoint: ServerId,
        patience: f64,
    ) -> Result<(), Withheld> {
        if id.attempt >= self.settings.max_attempts {
            return Err(Withheld::AttemptsSpent);
        }
        if patience <= 0.0 {
            return Err(Withheld::OutOfTime);
        }
        self.takes_work(now, endpoint)?;
        self.bears_one_more(now, endpoint)
    }

    /// Whether the first byte of an attempt may go out now, beside and after the other attempts of its request.
    pub(super) fn may_write(
        &self,
        now: f64,
        id: ForwardId,
        endpoint: ServerId,
    ) -> Result<WritePermit, Withheld> {
        let request = self.flows.get(&id.flow).ok_or(Withheld::RequestEnded)?;
        if now >= request.deadline {
            return Err(Withheld::OutOfTime);
        }
        let member = self.takes_work(now, endpoint)?;
        let whole_by = self.may_repeat(request, id.attempt, member)?;
        if now >= whole_by {
            return Err(Withheld::WindowOver);
        }
        Ok(WritePermit { whole_by: whole_by.min(now + WRITE_WITHIN) })
    }

    /// Whether an attempt that has this leave may be written on at this instant, `present` being whether its client's
    /// connection is still open. What held when the leave was given may have changed while the thread was busy.
    pub(super) fn still_may_write(
        &self,
        now: f64,
        id: ForwardId,
        permit: WritePermit,
        present: bool,
    ) -> Result<(), Withheld> {
        let forward = self.forwards.get(&id).ok_or(Withheld::RequestEnded)?;
        if !present {
            return Err(Withheld::ClientLeft);
        }
        if now >= permit.whole_by {
            return Err(Withheld::WrittenTooLate);
        }
        self.may_write(now, id, forward.target).map(|_| ())
    }

    /// Whether an endpoint may be sent something new. Word of its drain may have come between a decision
    /// and the send: within the grace that is allowed, and after it never.
    fn takes_work(&self, now: f64, endpoint: ServerId) -> Result<&Member, Withheld> {
        // Word of a drain counts as told after a time even where it has not come: an old list is no leave to send.
        if self.list_expired(now) {
            return Err(Withheld::ListExpired);
        }
        let grace = self.notice_grace();
        let member = self.members.get(&endpoint).ok_or(Withheld::EndpointGone)?;
        match member.target.readiness {
            Readiness::Ready => Ok(member),
            Readiness::Draining if member.leaving_since.is_some_and(|since| now - since < grace) => {
                Ok(member)
            }
            Readiness::Draining => Err(Withheld::EndpointLeaving),
            Readiness::Gone => Err(Withheld::EndpointGone),
        }
    }

    /// By when an attempt's last byte must be out, as that is what its time counts from, for it to be no harmful
    /// repeat of the others; infinity where nothing binds it.
    pub(super) fn may_repeat(
        &self,
        request: &Flow,
        attempt: usize,
        member: &Member,
    ) -> Result<f64, Withheld> {
        let effect = self.settings.classes.get(request.class).map_or(Effect::Unsafe, |class| class.effect);
        let mut whole_by = f64::INFINITY;
        for other in request.written.iter().filter(|w| w.attempt != attempt) {
            if other.out && !self.settings.second_copies {
                return Err(Withheld::SecondCopy);
            }
            match effect {
                Effect::Safe => {}
                Effect::Keyed { group, window } if other.shares(group, member) => {
                    whole_by = whole_by.min(other.sent + time::to_millis(window) - SPARE);
                }
                Effect::Keyed { .. } => return Err(Withheld::OutsideGroup),
                Effect::Unsafe => return Err(Withheld::MayHaveRun),
            }
        }
        Ok(whole_by)
    }

    /// Whether a request may be refused: that says that none of it takes effect twice if it is tried again.
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

impl Written {
    /// Whether an endpoint drops repeats of what this attempt ran.
    fn shares(&self, group: Group, member: &Member) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == member.target.zone,
            Group::Cell => self.cell == member.target.cell,
        }
    }
}
