//! Stage 6: counters of flows, forwards, probes and calls to discovery.

use super::discovery::{CallEnd, CALL_ENDS};
use super::event_log::{
    Activity, AttemptReason, RefusalReason, ACTIVITIES, ATTEMPT_REASONS, REFUSAL_REASONS,
};
use super::flow::Answer;
use super::guard::{WithheldReason, WITHHELD_REASONS};
use super::invariants::{Violation, VIOLATIONS};
use super::labels::{increment, labelled_counts};
use roseproxy_decision::interface::Outcome;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flows accepted.
    pub flows_taken: u64,
    /// Flows answered with a target's body.
    pub flows_served: u64,
    /// Flows refused, including those that were not admitted.
    pub flows_refused: u64,
    /// Flows failed.
    pub flows_failed: u64,
    /// Flows whose client left before the answer.
    pub clients_left: u64,
    /// Flows answered before they reached the decision module.
    pub not_admitted: u64,
    /// Flows that the answer timer had to fail.
    pub flows_overdue: u64,
    /// Forwards sent.
    pub forwards_sent: u64,
    /// Forwards by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; 8],
    /// Forwards by reason, in the order of [`ATTEMPT_REASONS`].
    pub attempts: [u64; ATTEMPT_REASONS.len()],
    /// Delays of the event loop by activity, in the order of [`ACTIVITIES`].
    pub held_up: [u64; ACTIVITIES.len()],
    /// Longest delay by activity (whole milliseconds), in the order of [`ACTIVITIES`].
    pub longest_held_up_ms: [u64; ACTIVITIES.len()],
    /// Number of times that timers fired late.
    pub late_timers: u64,
    /// Longest delay of a timer (whole milliseconds).
    pub longest_timer_delay_ms: u64,
    /// Attempts withheld by reason, in the order of [`WITHHELD_REASONS`].
    pub withheld: [u64; WITHHELD_REASONS.len()],
    /// Refusals by reason, in the order of [`REFUSAL_REASONS`].
    pub refusals: [u64; REFUSAL_REASONS.len()],
    /// Violated invariants, in the order of [`VIOLATIONS`].
    pub violations: [u64; VIOLATIONS.len()],
    /// Probes sent.
    pub probes_sent: u64,
    /// Probes that brought no report.
    pub probes_lost: u64,
    /// Lists and changes applied.
    pub lists_taken: u64,
    /// Failures of discovery reported to the decision module.
    pub discovery_failures: u64,
    /// Number of times that the lease of the list expired.
    pub lists_expired: u64,
    /// Calls made to discovery.
    pub discovery_calls: u64,
    /// Ends of calls and watches by reason, in the order of [`CALL_ENDS`].
    pub call_ends: [u64; CALL_ENDS.len()],
}

/// All outcomes with their names in the counters.
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

impl Counters {
    pub(super) fn count_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Served(_) => self.flows_served += 1,
            Answer::Refused { .. } => self.flows_refused += 1,
            Answer::Failed => self.flows_failed += 1,
        }
    }

    pub(super) fn count_outcome(&mut self, outcome: Outcome) {
        increment(&mut self.outcomes, &OUTCOMES, outcome);
    }

    pub(super) fn count_withheld(&mut self, reason: WithheldReason) {
        increment(&mut self.withheld, &WITHHELD_REASONS, reason);
    }

    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        increment(&mut self.refusals, &REFUSAL_REASONS, reason);
    }

    pub(super) fn count_attempt(&mut self, reason: AttemptReason) {
        increment(&mut self.attempts, &ATTEMPT_REASONS, reason);
    }

    pub(super) fn count_held_up(&mut self, activity: Activity, millis: f64) {
        increment(&mut self.held_up, &ACTIVITIES, activity);
        let index = ACTIVITIES.iter().position(|(known, _)| *known == activity);
        if let Some(longest) = index.map(|i| &mut self.longest_held_up_ms[i]) {
            *longest = (*longest).max(millis as u64);
        }
    }

    pub(super) fn count_late_timers(&mut self, millis: f64) {
        self.late_timers += 1;
        self.longest_timer_delay_ms = self.longest_timer_delay_ms.max(millis as u64);
    }

    pub(super) fn count_call_end(&mut self, end: CallEnd) {
        increment(&mut self.call_ends, &CALL_ENDS, end);
    }

    pub(super) fn count_violation(&mut self, violation: Violation) {
        increment(&mut self.violations, &VIOLATIONS, violation);
    }

    /// Returns every count with its name.
    pub fn named_counts(&self) -> Vec<(String, u64)> {
        let counts = [
            ("flows_taken", self.flows_taken),
            ("flows_served", self.flows_served),
            ("flows_refused", self.flows_refused),
            ("flows_failed", self.flows_failed),
            ("flows_gone", self.clients_left),
            ("flows_turned_back", self.not_admitted),
            ("flows_overdue", self.flows_overdue),
            ("forwards_sent", self.forwards_sent),
            ("probes_sent", self.probes_sent),
            ("probes_lost", self.probes_lost),
            ("discovery_lists", self.lists_taken),
            ("discovery_failures", self.discovery_failures),
            ("discovery_calls", self.discovery_calls),
            ("lists_expired", self.lists_expired),
            ("timers_late", self.late_timers),
            ("timers_late_longest_ms", self.longest_timer_delay_ms),
        ];
        let counts = counts.into_iter().map(|(name, count)| (name.to_owned(), count));
        counts
            .chain(labelled_counts("forwards", &OUTCOMES, &self.outcomes))
            .chain(labelled_counts("attempts", &ATTEMPT_REASONS, &self.attempts))
            .chain(labelled_counts("held_up", &ACTIVITIES, &self.held_up))
            .chain(labelled_counts("held_up_longest_ms", &ACTIVITIES, &self.longest_held_up_ms))
            .chain(labelled_counts("attempts_withheld", &WITHHELD_REASONS, &self.withheld))
            .chain(labelled_counts("refused", &REFUSAL_REASONS, &self.refusals))
            .chain(labelled_counts("discovery_call_ended", &CALL_ENDS, &self.call_ends))
            .chain(labelled_counts("violations", &VIOLATIONS, &self.violations))
            .collect()
    }
}
