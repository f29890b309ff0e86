//! Rejections by cause, and attempts by their end.

use super::numbers::ratio;
use crate::accounting::{AttemptEnd, Regret, RequestAccounting, Try, TryEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// Rejected tries, and the regret of them: those that a server could have served.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Refusals {
    /// Rejected share of all tries.
    pub tries_share: f64,
    /// Share of the rejected tries that a server in service could have served in time.
    pub regretted_share: f64,
    /// Counts by the end of the last attempt and by the regret at the rejection.
    pub by_cause: BTreeMap<String, u64>,
    /// Counts by the time from the try's begin to the rejection.
    pub by_wait: BTreeMap<String, u64>,
}

/// Counts of attempts by their end.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Attempts {
    /// Attempts that a server received whole.
    pub sent: u64,
    /// Counts by end.
    pub by_end: BTreeMap<String, u64>,
    /// Sent while an earlier attempt of the request was open.
    pub second_copies: u64,
    /// Most attempts of one request.
    pub most: usize,
    /// Share of the sent work that brought no response.
    pub wasted_share: f64,
    /// Share of the attempts that went to another zone.
    pub crossed_share: f64,
}

/// The name of the end of a rejected try's last attempt.
fn behind(one: &Try) -> &'static str {
    match one.attempts.last().map(|a| a.end) {
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
    let mut by = Refusals::default();
    let (mut refused, mut regretted) = (0.0, 0.0);
    for one in tries {
        let (TryEnd::Refused(_), Some(regret)) = (one.end, one.regret) else { continue };
        refused += 1.0;
        let (word, regrets) = match regret {
            Regret::CoreIdle => ("core_idle", true),
            Regret::WouldFit => ("would_fit", true),
            Regret::Full => ("full", false),
            Regret::Nobody => ("nobody", false),
        };
        regretted += f64::from(u8::from(regrets));
        *by.by_cause.entry(format!("{}.{word}", behind(one))).or_default() += 1;
        let wait = match one.ended - one.sent {
            w if w < 10.0 => "under_10_ms",
            w if w < 100.0 => "under_100_ms",
            w if w < 400.0 => "under_400_ms",
            _ => "longer",
        };
        *by.by_wait.entry(wait.into()).or_default() += 1;
    }
    by.tries_share = ratio(refused, tries.len() as f64);
    by.regretted_share = ratio(regretted, refused);
    by
}

/// Counts the attempts.
pub(super) fn attempts(accounting: &RequestAccounting) -> Attempts {
    let (mut all, mut ends) = (Attempts::default(), BTreeMap::<AttemptEnd, u64>::new());
    for one in &accounting.tries {
        all.most = all.most.max(one.attempts.len());
        for attempt in &one.attempts {
            all.sent += 1;
            all.second_copies += u64::from(attempt.second_copy);
            *ends.entry(attempt.end).or_default() += 1;
        }
    }
    let named = |end: AttemptEnd| serde_json::to_value(end).ok()?.as_str().map(str::to_owned);
    all.by_end = ends.into_iter().filter_map(|(end, count)| Some((named(end)?, count))).collect();
    all.wasted_share = ratio(accounting.work.1, accounting.work.0);
    all.crossed_share = ratio(accounting.crossed as f64, all.sent as f64);
    all
}
