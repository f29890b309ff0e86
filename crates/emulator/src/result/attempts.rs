//! Refusals by their cause, and attempts by their end.

use super::numbers::ratio;
use crate::accounting::{AttemptEnd, Regret, RequestAccounting, Try, TryEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// Refused tries, and which of them are to be regretted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Refusals {
    /// Refused of all tries.
    pub tries_share: f64,
    /// Of the refused: those that a server in service would have answered in time.
    pub regretted_share: f64,
    /// By what the tries had behind them, and by what the emulator knew at that moment.
    pub by_cause: BTreeMap<String, u64>,
    /// By time from the try's begin to the refusal.
    pub by_wait: BTreeMap<String, u64>,
}

/// What came of attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Attempts {
    /// Attempts that came whole to a server.
    pub sent: u64,
    /// By end.
    pub by_end: BTreeMap<String, u64>,
    /// Sent while an earlier one was out.
    pub second_copies: u64,
    /// Most for one request.
    pub most: usize,
    /// Work sent that brought no answer, of all that was sent.
    pub wasted_share: f64,
    /// Sent to another zone, of all.
    pub crossed_share: f64,
}

/// What a refused try had behind it, as the servers saw it.
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

/// What came of the refused tries.
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

/// What came of the attempts.
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
