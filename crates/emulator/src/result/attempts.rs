//! Rejected tries by cause, and attempts by their end.

use super::numbers::ratio;
use crate::accounting::{AttemptEnd, Regret, RequestAccounting, Try, TryEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// Rejected tries, and how many of them a server could have served (the regretted ones).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Refusals {
    /// Share of all tries that were rejected.
    pub tries_share: f64,
    /// Share of the rejected tries that a server in service could have served in time.
    pub regretted_share: f64,
    /// Counts by the end of the last attempt and by the regret, as `after_full.core_idle`.
    pub by_cause: BTreeMap<String, u64>,
    /// Counts by the time from the start of the try to its rejection.
    pub by_wait: BTreeMap<String, u64>,
}

/// Counts of attempts by their end.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Attempts {
    /// Attempts that a server received completely.
    pub sent: u64,
    /// Counts by end.
    pub by_end: BTreeMap<String, u64>,
    /// Attempts sent while an earlier attempt of the same try was open.
    pub second_copies: u64,
    /// Maximum number of attempts for one try.
    pub most: usize,
    /// Share of the sent work that produced no response.
    pub wasted_share: f64,
    /// Share of the attempts that were sent to another zone.
    pub crossed_share: f64,
}

/// Names the cause of a rejection after the end of its last attempt.
fn cause(record: &Try) -> &'static str {
    match record.attempts.last().map(|a| a.end) {
        None => "at_once",
        Some(AttemptEnd::Full) => "after_full",
        Some(AttemptEnd::Draining | AttemptEnd::Crowded) => "after_turned_away",
        Some(AttemptEnd::Error) => "after_error",
        Some(AttemptEnd::Spoilt) => "after_spoilt",
        Some(AttemptEnd::Cut) => "after_cut",
        Some(AttemptEnd::HungUp) => "after_time_out",
        Some(AttemptEnd::Open | AttemptEnd::Served) => "after_running",
    }
}

/// Counts the rejected tries.
pub(super) fn refusals(tries: &[Try]) -> Refusals {
    let mut refusals = Refusals::default();
    let (mut refused, mut regretted) = (0.0, 0.0);
    for record in tries {
        let (TryEnd::Refused(_), Some(regret)) = (record.end, record.regret) else { continue };
        refused += 1.0;
        let (name, is_regretted) = match regret {
            Regret::CoreIdle => ("core_idle", true),
            Regret::WouldFit => ("would_fit", true),
            Regret::Full => ("full", false),
            Regret::Nobody => ("nobody", false),
        };
        regretted += f64::from(u8::from(is_regretted));
        *refusals.by_cause.entry(format!("{}.{name}", cause(record))).or_default() += 1;
        let wait = match record.ended - record.sent {
            w if w < 10.0 => "under_10_ms",
            w if w < 100.0 => "under_100_ms",
            w if w < 400.0 => "under_400_ms",
            _ => "longer",
        };
        *refusals.by_wait.entry(wait.into()).or_default() += 1;
    }
    refusals.tries_share = ratio(refused, tries.len() as f64);
    refusals.regretted_share = ratio(regretted, refused);
    refusals
}

/// Counts the attempts.
pub(super) fn attempts(accounting: &RequestAccounting) -> Attempts {
    let (mut counts, mut ends) = (Attempts::default(), BTreeMap::<AttemptEnd, u64>::new());
    for record in &accounting.tries {
        counts.most = counts.most.max(record.attempts.len());
        for attempt in &record.attempts {
            counts.sent += 1;
            counts.second_copies += u64::from(attempt.second_copy);
            *ends.entry(attempt.end).or_default() += 1;
        }
    }
    let end_name = |end: AttemptEnd| serde_json::to_value(end).ok()?.as_str().map(str::to_owned);
    counts.by_end = ends.into_iter().filter_map(|(end, count)| Some((end_name(end)?, count))).collect();
    counts.wasted_share = ratio(accounting.work_wasted, accounting.work_sent);
    counts.crossed_share = ratio(accounting.cross_zone_attempts as f64, counts.sent as f64);
    counts
}
