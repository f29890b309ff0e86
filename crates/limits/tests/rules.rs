//! Validation of limits against the platform's rules.

use roseproxy_limits::budget::BudgetConfig;
use roseproxy_limits::hedge::HedgeDelay;
use roseproxy_limits::route::RouteMatch;
use roseproxy_limits::rules::{validate, ClassRules, PlatformRules, RetryOn, Route, RouteLimits};

fn platform() -> PlatformRules {
    let class =
        |name: &str, deadline_ms, at_most_once| ClassRules { name: name.into(), deadline_ms, at_most_once };
    PlatformRules {
        classes: vec![class("quote", 1_500.0, false), class("place-order", 2_000.0, true)],
        tenants: vec!["east".into()],
        max_attempts: 3,
        second_copies: true,
    }
}

fn violations(class: Option<&str>, limits: RouteLimits) -> Vec<String> {
    let request_match = RouteMatch { class: class.map(str::to_owned), ..RouteMatch::default() };
    validate(&[Route { name: "r".into(), request_match, limits }], &platform())
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn limits_that_the_platform_forbids_are_refused_with_their_key() {
    let hedge = RouteLimits { hedge: Some(HedgeDelay::FixedMs(50.0)), ..RouteLimits::default() };
    assert!(
        violations(Some("place-order"), hedge.clone())[0].contains("hedge: place-order must never run twice")
    );
    assert!(
        violations(None, hedge.clone())[0].contains("place-order"),
        "a route without a class takes its requests too"
    );
    assert_eq!(violations(Some("quote"), hedge), [""; 0]);
    let retry =
        RouteLimits { retry_on: Some(vec![RetryOn::Rejected, RetryOn::Reset]), ..RouteLimits::default() };
    assert_eq!(violations(Some("place-order"), retry.clone()).len(), 1);
    assert_eq!(violations(Some("quote"), retry), [""; 0]);
    let attempts =
        |n| violations(Some("quote"), RouteLimits { max_attempts: Some(n), ..RouteLimits::default() });
    assert!(attempts(4)[0].contains("4 is more than the platform allows, which is 3"));
    assert_eq!((attempts(0).len(), attempts(3).len()), (1, 0));
    let long = RouteLimits { timeout_ms: Some(1_600.0), ..RouteLimits::default() };
    assert!(
        violations(Some("quote"), long.clone())[0].contains("beyond the deadline of quote, which is 1500")
    );
    assert_eq!(violations(Some("place-order"), long), [""; 0]);
}

#[test]
fn invalid_figures_are_all_reported_at_once() {
    let bad = RouteLimits {
        timeout_ms: Some(f64::NAN),
        attempt_timeout_ms: Some(-1.0),
        max_attempts: Some(9),
        hedge: Some(HedgeDelay::Percentile(1.0)),
        budget: Some(BudgetConfig { share: 1.2, floor_per_s: f64::INFINITY, window_ms: 0.0 }),
        max_concurrent: Some(0),
        ..RouteLimits::default()
    };
    let text = violations(Some("quote"), bad).join("\n");
    for key in [
        "timeout_ms",
        "attempt_timeout_ms",
        "attempts",
        "hedge.percentile",
        "budget.share",
        "budget.floor_per_s",
        "budget.window_ms",
        "max_concurrent",
    ] {
        assert!(text.contains(&format!("route r: {key}: ")), "{key} in {text}");
    }
}

#[test]
fn unknown_names_duplicate_names_and_unreachable_routes_are_refused() {
    let route = |name: &str, class: Option<&str>, tenant: Option<&str>| Route {
        name: name.into(),
        request_match: RouteMatch {
            class: class.map(str::to_owned),
            tenant: tenant.map(str::to_owned),
            ..RouteMatch::default()
        },
        limits: RouteLimits::default(),
    };
    let routes = [
        route("a", Some("qoute"), None),
        route("a", None, Some("west")),
        route("b", Some("quote"), None),
        route("c", Some("quote"), Some("east")),
    ];
    let messages: Vec<String> = validate(&routes, &platform()).iter().map(ToString::to_string).collect();
    let all = messages.join("\n");
    assert!(all.contains("route a: class: qoute is no class of the platform; those are quote, place-order"));
    assert!(all.contains("route a: tenant: west is no tenant; those are east"));
    assert!(all.contains("route a: name: another route has it too"));
    assert!(all.contains("route c: match: it can never be taken: all that fits it is taken by b before it"));
}
