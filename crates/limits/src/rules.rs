//! The limits of a route, and the platform's rules that none of them may break.

use crate::budget::Terms;
use crate::hedge::When;
use crate::route::{Match, Overlap, Table};
use std::fmt;

/// Longest window of a budget (ms): a longer one would remember what is over.
const LONGEST_WINDOW: f64 = 60_000.0;

/// What may be tried again, by how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryOn {
    /// It never came up.
    Unreachable,
    /// It was turned away unseen.
    Rejected,
    /// The server answered with an error.
    Error,
    /// It broke after its last byte.
    Reset,
    /// It ran out of its own time.
    TimedOut,
}

impl RetryOn {
    /// Whether the attempt may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, RetryOn::Error | RetryOn::Reset | RetryOn::TimedOut)
    }
}

/// What a route allows; what it leaves open is the platform's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Time in all (ms).
    pub timeout: Option<f64>,
    /// Time of one attempt (ms).
    pub attempt_timeout: Option<f64>,
    /// Attempts, the first included.
    pub attempts: Option<u32>,
    /// A second copy.
    pub hedge: Option<When>,
    /// What may be tried again.
    pub retry_on: Option<Vec<RetryOn>>,
    /// What retries may add.
    pub budget: Option<Terms>,
    /// Forwards at a time.
    pub max_concurrent: Option<u32>,
    /// Flows that wait for that.
    pub max_waiting: Option<u32>,
}

/// A route of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it fits.
    pub wants: Match,
    /// What it allows.
    pub limits: Limits,
}

/// A class as the platform's settings have it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// How long a client waits in all (ms).
    pub deadline: f64,
    /// Whether it must never run twice.
    pub runs_once: bool,
}

/// What the platform's settings allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// Its classes.
    pub classes: Vec<ClassFacts>,
    /// Its tenants; empty where the settings name none, and then any name is taken.
    pub tenants: Vec<String>,
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Whether a second copy may be out.
    pub second_copies: bool,
}

/// Something that can't be: where, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The route's name.
    pub route: String,
    /// The key.
    pub key: &'static str,
    /// The reason, plain.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}: {}: {}", self.route, self.key, self.why)
    }
}

/// Every fault of these routes under the platform's rules, all in one go.
pub fn faults(routes: &[Route], platform: &Platform) -> Vec<Fault> {
    let mut all = Vec::new();
    for (number, route) in routes.iter().enumerate() {
        if routes[..number].iter().any(|r| r.name == route.name) {
            all.push(Fault {
                route: route.name.clone(),
                key: "name",
                why: "another route has it too".into(),
            });
        }
        faults_of(route, platform, &mut all);
    }
    for (earlier, later, overlap) in Table::new(routes.iter().map(|r| r.wants.clone()).collect()).conflicts()
    {
        let (first, second) = (&routes[earlier].name, &routes[later]);
        let why = match overlap {
            Overlap::Covers => {
                format!("it can never be taken: all that fits it is taken by {first} before it")
            }
            _ => format!("some requests fit it and {first} too; put a route for just those in front of both"),
        };
        all.push(Fault { route: second.name.clone(), key: "match", why });
    }
    all
}

fn faults_of(route: &Route, platform: &Platform, all: &mut Vec<Fault>) {
    let (wants, limits) = (&route.wants, &route.limits);
    let mut fault = |key: &'static str, why: String| all.push(Fault { route: route.name.clone(), key, why });
    // The classes that the route can meet: its own, or all.
    let met: Vec<&ClassFacts> =
        platform.classes.iter().filter(|c| wants.class.as_ref().is_none_or(|w| *w == c.name)).collect();
    if let Some(class) = wants.class.as_ref().filter(|_| met.is_empty()) {
        let known: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
        fault("class", format!("{class} is no class of the platform; those are {}", known.join(", ")));
    }
    if let Some(tenant) = wants.tenant.as_ref() {
        if !platform.tenants.is_empty() && !platform.tenants.contains(tenant) {
            fault("tenant", format!("{tenant} is no tenant; those are {}", platform.tenants.join(", ")));
        }
    }
    let times = [("timeout_ms", limits.timeout), ("attempt_timeout_ms", limits.attempt_timeout)];
    for (key, time) in times.into_iter().filter_map(|(key, time)| Some((key, time?))) {
        if !time.is_finite() || time <= 0.0 {
            fault(key, format!("{time} is no time above 0"));
            continue;
        }
        for class in met.iter().filter(|c| time > c.deadline) {
            fault(
                key,
                format!("{time} is beyond the deadline of {}, which is {}", class.name, class.deadline),
            );
        }
    }
    if let (Some(whole), Some(one)) = (limits.timeout, limits.attempt_timeout) {
        if one > whole {
            fault("attempt_timeout_ms", format!("{one} is more than timeout_ms, which is {whole}"));
        }
    }
    match limits.attempts {
        Some(0) => fault("attempts", "0 would send nothing".into()),
        Some(n) if n > platform.max_attempts => {
            fault(
                "attempts",
                format!("{n} is more than the platform allows, which is {}", platform.max_attempts),
            );
        }
        _ => {}
    }
    let once: Vec<&str> = met.iter().filter(|c| c.runs_once).map(|c| c.name.as_str()).collect();
    if let Some(hedge) = limits.hedge {
        if !platform.second_copies {
            fault("hedge", "the platform allows no second copy".into());
        }
        for class in &once {
            fault("hedge", format!("{class} must never run twice, and a second copy would let it"));
        }
        match hedge {
            When::After(time) if !time.is_finite() || time <= 0.0 => {
                fault("hedge.after_ms", format!("{time} is no time above 0"));
            }
            When::Percentile(share) if !(0.5..1.0).contains(&share) => {
                fault("hedge.percentile", format!("{share} is not from 0.5 to under 1"));
            }
            _ => {}
        }
    }
    for on in limits.retry_on.iter().flatten().filter(|on| on.may_have_run()) {
        for class in &once {
            fault("retry_on", format!("{class} must never run twice, and after {on:?} it may have run"));
        }
    }
    if let Some(budget) = limits.budget {
        if !(0.0..=1.0).contains(&budget.share) {
            fault("budget.share", format!("{} is not from 0 to 1", budget.share));
        }
        if !(0.0..=1e6).contains(&budget.floor) {
            fault("budget.floor_per_s", format!("{} is not from 0 to a million", budget.floor));
        }
        if !(100.0..=LONGEST_WINDOW).contains(&budget.window) {
            fault("budget.window_ms", format!("{} is not from 100 to {LONGEST_WINDOW}", budget.window));
        }
    }
    if limits.max_concurrent == Some(0) {
        fault("max_concurrent", "0 would let nothing through".into());
    }
}
