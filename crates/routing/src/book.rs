//! Stage 6: what is counted of all that.

use super::discovery::{CallEnd, CALL_ENDS};
use super::event_log::{Activity, AttemptReason, RefusalReason, ACTIVITIES, ATTEMPTS, REFUSALS};
use super::flow::Answer;
use super::guard::{Withheld, WITHHELD};
use super::invariants::{Violation, VIOLATIONS};
use super::kinds::{add, named};
use roseproxy_decision::interface::Outcome;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    /// Flows taken in.
    pub taken: u64,
    /// Flows answered with a target's body.
    pub served: u64,
    /// Flows refused, those turned back included.
    pub refused: u64,
    /// Flows failed.
    pub failed: u64,
    /// Flows whose client left first.
    pub gone: u64,
    /// Flows turned back before the module saw them.
    pub turned_back: u64,
    /// Flows that the guard had to answer.
    pub overdue: u64,
    /// Forwards sent.
    pub forwards: u64,
    /// Forwards by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; 8],
    /// Forwards by reason, in the order of [`ATTEMPTS`].
    pub attempts: [u64; ATTEMPTS.len()],
    /// How often the thread was held up, in the order of [`ACTIVITIES`].
    pub held_up: [u64; ACTIVITIES.len()],
    /// How long at most (whole ms), in the same order.
    pub longest_held_up: [u64; ACTIVITIES.len()],
    /// How often timers went off late, and how late at most (whole ms).
    pub timers_late: (u64, u64),
    /// Attempts withheld by reason, in the order of [`WITHHELD`].
    pub withheld: [u64; WITHHELD.len()],
    /// Refusals by reason, in the order of [`REFUSALS`].
    pub refusals: [u64; REFUSALS.len()],
    /// Violated invariants, in the order of [`VIOLATIONS`].
    pub violations: [u64; VIOLATIONS.len()],
    /// Probes sent.
    pub probes: u64,
    /// Probes that brought nothing.
    pub probes_lost: u64,
    /// Lists and changes taken over.
    pub lists: u64,
    /// Failures of discovery told to the module.
    pub list_failures: u64,
    /// How often the lease of the list in hand has ended.
    pub lists_expired: u64,
    /// Calls to discovery that were made.
    pub calls: u64,
    /// Ends of calls and watches by reason, in the order of [`CALL_ENDS`].
    pub call_ends: [u64; CALL_ENDS.len()],
}

/// The outcomes with the names that they are counted under.
pub const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Served, "served"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "rejected"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Broken, "broken"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

impl Book {
    pub(super) fn answered(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(_) => self.served += 1,
            Answer::Refused { .. } => self.refused += 1,
            Answer::Failed => self.failed += 1,
        }
    }

    pub(super) fn ended(&mut self, outcome: Outcome) {
        add(&mut self.outcomes, &OUTCOMES, outcome);
    }

    pub(super) fn withheld(&mut self, reason: Withheld) {
        add(&mut self.withheld, &WITHHELD, reason);
    }

    pub(super) fn refused(&mut self, reason: RefusalReason) {
        add(&mut self.refusals, &REFUSALS, reason);
    }

    pub(super) fn attempted(&mut self, reason: AttemptReason) {
        add(&mut self.attempts, &ATTEMPTS, reason);
    }

    pub(super) fn held_up(&mut self, activity: Activity, millis: f64) {
        add(&mut self.held_up, &ACTIVITIES, activity);
        let at = ACTIVITIES.iter().position(|(known, _)| *known == activity);
        if let Some(longest) = at.map(|at| &mut self.longest_held_up[at]) {
            *longest = (*longest).max(millis as u64);
        }
    }

    pub(super) fn timers_late(&mut self, millis: f64) {
        let (count, longest) = self.timers_late;
        self.timers_late = (count + 1, longest.max(millis as u64));
    }

    pub(super) fn call_ended(&mut self, end: CallEnd) {
        add(&mut self.call_ends, &CALL_ENDS, end);
    }

    pub(super) fn violated(&mut self, violation: Violation) {
        add(&mut self.violations, &VIOLATIONS, violation);
    }

    /// Every count with its name.
    pub fn lines(&self) -> Vec<(String, u64)> {
        let plain = [
            ("flows_taken", self.taken),
            ("flows_served", self.served),
            ("flows_refused", self.refused),
            ("flows_failed", self.failed),
            ("flows_gone", self.gone),
            ("flows_turned_back", self.turned_back),
            ("flows_overdue", self.overdue),
            ("forwards_sent", self.forwards),
            ("probes_sent", self.probes),
            ("probes_lost", self.probes_lost),
            ("discovery_lists", self.lists),
            ("discovery_failures", self.list_failures),
            ("discovery_calls", self.calls),
            ("lists_expired", self.lists_expired),
            ("timers_late", self.timers_late.0),
            ("timers_late_longest_ms", self.timers_late.1),
        ];
        let plain = plain.into_iter().map(|(name, count)| (name.to_owned(), count));
        plain
            .chain(named("forwards", &OUTCOMES, &self.outcomes))
            .chain(named("attempts", &ATTEMPTS, &self.attempts))
            .chain(named("held_up", &ACTIVITIES, &self.held_up))
            .chain(named("held_up_longest_ms", &ACTIVITIES, &self.longest_held_up))
            .chain(named("attempts_withheld", &WITHHELD, &self.withheld))
            .chain(named("refused", &REFUSALS, &self.refusals))
            .chain(named("discovery_call_ended", &CALL_ENDS, &self.call_ends))
            .chain(named("violations", &VIOLATIONS, &self.violations))
            .collect()
    }
}
