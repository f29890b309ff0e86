//! Faults of limits against the platform's rules.

use roseproxy_limits::budget::Terms;
use roseproxy_limits::hedge::When;
use roseproxy_limits::route::Match;
use roseproxy_limits::rules::{faults, ClassFacts, Limits, Platform, RetryOn, Route};

fn platform() -> Platform {
    let class = |name: &str, deadline, runs_once| ClassFacts { name: name.into(), deadline, runs_once };
    Platform {
        classes: vec![class("quote", 1_500.0, false), class("place-order", 2_000.0, true)],
        tenants: vec!["east".into()],
        max_attempts: 3,
        second_copies: true,
    }
}

fn said(class: Option<&str>, limits: Limits) -> Vec<String> {
    let wants = Match { class: class.map(str::to_owned), ..Match::default() };
    faults(&[Route { name: "r".into(), wants, limits }], &platform())
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn what_the_platform_forbids_is_refused_with_its_key() {
    let hedge = Limits { hedge: Some(When::After(50.0)), ..Limits::default() };
    assert!(said(Some("place-order"), hedge.clone())[0].contains("hedge: place-order must never run twice"));
    assert!(said(None, hedge.clone())[0].contains("place-order"), "a route that meets it too");
    assert_eq!(said(Some("quote"), hedge), [""; 0]);
    let retry = Limits { retry_on: Some(vec![RetryOn::Rejected, RetryOn::Reset]), ..Limits::default() };
    assert_eq!(said(Some("place-order"), retry.clone()).len(), 1);
    assert_eq!(said(Some("quote"), retry), [""; 0]);
    let attempts = |n| said(Some("quote"), Limits { attempts: Some(n), ..Limits::default() });
    assert!(attempts(4)[0].contains("4 is more than the platform allows, which is 3"));
    assert_eq!((attempts(0).len(), attempts(3).len()), (1, 0));
    let long = Limits { timeout: Some(1_600.0), ..Limits::default() };
    assert!(said(Some("quote"), long.clone())[0].contains("beyond the deadline of quote, which is 1500"));
    assert_eq!(said(Some("place-order"), long), [""; 0]);
}

#[test]
fn figures_that_are_none_are_refused_all_at_once() {
    let bad = Limits {
        timeout: Some(f64::NAN),
        attempt_timeout: Some(-1.0),
        attempts: Some(9),
        hedge: Some(When::Percentile(1.0)),
        budget: Some(Terms { share: 1.2, floor: f64::INFINITY, window: 0.0 }),
        max_concurrent: Some(0),
        ..Limits::default()
    };
    let said = said(Some("quote"), bad).join("\n");
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
        assert!(said.contains(&format!("route r: {key}: ")), "{key} in {said}");
    }
}

#[test]
fn unknown_names_and_routes_in_each_others_way_are_refused() {
    let route = |name: &str, class: Option<&str>, tenant: Option<&str>| Route {
        name: name.into(),
        wants: Match {
            class: class.map(str::to_owned),
            tenant: tenant.map(str::to_owned),
            ..Match::default()
        },
        limits: Limits::default(),
    };
    let routes = [
        route("a", Some("qoute"), None),
        route("a", None, Some("west")),
        route("b", Some("quote"), None),
        route("c", Some("quote"), Some("east")),
    ];
    let said: Vec<String> = faults(&routes, &platform()).iter().map(ToString::to_string).collect();
    let all = said.join("\n");
    assert!(all.contains("route a: class: qoute is no class of the platform; those are quote, place-order"));
    assert!(all.contains("route a: tenant: west is no tenant; those are east"));
    assert!(all.contains("route a: name: another route has it too"));
    assert!(all.contains("route c: match: it can never be taken: all that fits it is taken by b before it"));
}
