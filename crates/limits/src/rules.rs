//! The limits of a route, and their validation against the platform's rules.

use crate::budget::BudgetConfig;
use crate::hedge::HedgeDelay;
use crate::route::{Overlap, RouteMatch, RouteTable};
use std::fmt;

/// Longest window of a retry budget (ms): a longer one would count traffic that no longer matters.
const MAX_WINDOW_MS: f64 = 60_000.0;

/// The ends of an attempt after which a retry may be allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryOn {
    /// No connection could be opened.
    Unreachable,
    /// The server rejected the request without running it.
    Rejected,
    /// The server answered with an error.
    Error,
    /// The connection broke after the whole request had been sent.
    Reset,
    /// The attempt timed out.
    TimedOut,
}

impl RetryOn {
    /// Returns whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, RetryOn::Error | RetryOn::Reset | RetryOn::TimedOut)
    }
}

/// The limits of a route; for an unset limit the platform's value holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteLimits {
    /// Time-out of a request over all its attempts (ms).
    pub timeout_ms: Option<f64>,
    /// Time-out of one attempt (ms).
    pub attempt_timeout_ms: Option<f64>,
    /// Maximum number of attempts, the first included.
    pub max_attempts: Option<u32>,
    /// When a hedged request is sent.
    pub hedge: Option<HedgeDelay>,
    /// The ends of an attempt after which a retry is allowed.
    pub retry_on: Option<Vec<RetryOn>>,
    /// The retry budget.
    pub budget: Option<BudgetConfig>,
    /// Maximum number of concurrent forwards.
    pub max_concurrent: Option<u32>,
    /// Maximum number of flows that wait for a forward.
    pub max_waiting: Option<u32>,
}

/// A route of the operator's limits file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The requests that take the route.
    pub request_match: RouteMatch,
    /// The limits for those requests.
    pub limits: RouteLimits,
}

/// A request class of the platform's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Name of the class.
    pub name: String,
    /// How long a client waits for the answer, over all attempts (ms).
    pub deadline_ms: f64,
    /// Whether a request of this class must never run twice.
    pub at_most_once: bool,
}

/// The rules that the platform's settings set for all routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformRules {
    /// The request classes.
    pub classes: Vec<ClassRules>,
    /// The tenants. Empty if the settings name none; any name is then accepted.
    pub tenants: Vec<String>,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether hedged requests are allowed.
    pub second_copies: bool,
}

/// A route or limit that the platform's rules forbid.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    /// Name of the route.
    pub route: String,
    /// Key of the limit in the limits file.
    pub key: &'static str,
    /// Why it is forbidden, for the operator.
    pub reason: String,
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}: {}: {}", self.route, self.key, self.reason)
    }
}

/// Validates routes against the platform's rules and returns all violations at once.
pub fn validate(routes: &[Route], platform: &PlatformRules) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for (number, route) in routes.iter().enumerate() {
        if routes[..number].iter().any(|r| r.name == route.name) {
            violations.push(RuleViolation {
                route: route.name.clone(),
                key: "name",
                reason: "another route has it too".into(),
            });
        }
        validate_route(route, platform, &mut violations);
    }
    for (earlier, later, overlap) in
        RouteTable::new(routes.iter().map(|r| r.request_match.clone()).collect()).conflicts()
    {
        let (first, second) = (&routes[earlier].name, &routes[later]);
        let reason = match overlap {
            Overlap::Covers => {
                format!("it can never be taken: all that fits it is taken by {first} before it")
            }
            _ => format!("some requests fit it and {first} too; put a route for just those in front of both"),
        };
        violations.push(RuleViolation { route: second.name.clone(), key: "match", reason });
    }
    violations
}

fn validate_route(route: &Route, platform: &PlatformRules, violations: &mut Vec<RuleViolation>) {
    let (request_match, limits) = (&route.request_match, &route.limits);
    let mut violation = |key: &'static str, reason: String| {
        violations.push(RuleViolation { route: route.name.clone(), key, reason });
    };
    // The classes whose requests can take the route: the one it names, or all.
    let classes: Vec<&ClassRules> = platform
        .classes
        .iter()
        .filter(|c| request_match.class.as_ref().is_none_or(|wanted| *wanted == c.name))
        .collect();
    if let Some(class) = request_match.class.as_ref().filter(|_| classes.is_empty()) {
        let known: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
        violation("class", format!("{class} is no class of the platform; those are {}", known.join(", ")));
    }
    if let Some(tenant) = request_match.tenant.as_ref() {
        if !platform.tenants.is_empty() && !platform.tenants.contains(tenant) {
            violation("tenant", format!("{tenant} is no tenant; those are {}", platform.tenants.join(", ")));
        }
    }
    let times = [("timeout_ms", limits.timeout_ms), ("attempt_timeout_ms", limits.attempt_timeout_ms)];
    for (key, time) in times.into_iter().filter_map(|(key, time)| Some((key, time?))) {
        if !time.is_finite() || time <= 0.0 {
            violation(key, format!("{time} is no time above 0"));
            continue;
        }
        for class in classes.iter().filter(|c| time > c.deadline_ms) {
            violation(
                key,
                format!("{time} is beyond the deadline of {}, which is {}", class.name, class.deadline_ms),
            );
        }
    }
    if let (Some(total), Some(attempt)) = (limits.timeout_ms, limits.attempt_timeout_ms) {
        if attempt > total {
            violation("attempt_timeout_ms", format!("{attempt} is more than timeout_ms, which is {total}"));
        }
    }
    match limits.max_attempts {
        Some(0) => violation("attempts", "0 would send nothing".into()),
        Some(n) if n > platform.max_attempts => {
            violation(
                "attempts",
                format!("{n} is more than the platform allows, which is {}", platform.max_attempts),
            );
        }
        _ => {}
    }
    let at_most_once: Vec<&str> =
        classes.iter().filter(|c| c.at_most_once).map(|c| c.name.as_str()).collect();
    if let Some(hedge) = limits.hedge {
        if !platform.second_copies {
            violation("hedge", "the platform allows no second copy".into());
        }
        for class in &at_most_once {
            violation("hedge", format!("{class} must never run twice, and a second copy would let it"));
        }
        match hedge {
            HedgeDelay::FixedMs(time) if !time.is_finite() || time <= 0.0 => {
                violation("hedge.after_ms", format!("{time} is no time above 0"));
            }
            HedgeDelay::Percentile(percentile) if !(0.5..1.0).contains(&percentile) => {
                violation("hedge.percentile", format!("{percentile} is not from 0.5 to under 1"));
            }
            _ => {}
        }
    }
    for on in limits.retry_on.iter().flatten().filter(|on| on.may_have_run()) {
        for class in &at_most_once {
            violation("retry_on", format!("{class} must never run twice, and after {on:?} it may have run"));
        }
    }
    if let Some(budget) = limits.budget {
        if !(0.0..=1.0).contains(&budget.share) {
            violation("budget.share", format!("{} is not from 0 to 1", budget.share));
        }
        if !(0.0..=1e6).contains(&budget.floor_per_s) {
            violation("budget.floor_per_s", format!("{} is not from 0 to a million", budget.floor_per_s));
        }
        if !(100.0..=MAX_WINDOW_MS).contains(&budget.window_ms) {
            violation("budget.window_ms", format!("{} is not from 100 to {MAX_WINDOW_MS}", budget.window_ms));
        }
    }
    if limits.max_concurrent == Some(0) {
        violation("max_concurrent", "0 would let nothing through".into());
    }
}
