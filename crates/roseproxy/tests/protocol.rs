//! The platform's protocol: request heads, outcomes of attempts, load reports, lists, answers and configuration.
//! Guards against input that is misread, and against malformed input that is accepted.

use bytes::Bytes;
use hyper::{HeaderMap, Request, StatusCode};
use roseproxy::config::Config;
use roseproxy_decision::interface::{Outcome, Readiness, Update};
use roseproxy_platform::request::{exceeds_body_limit, Classes, Malformed};
use roseproxy_platform::{answer, discovery, load, outcome};
use roseproxy_routing::flow::{Answer, ForwardEnd, NewFlow};
use serde_json::{json, Value};

/// A complete and valid configuration as JSON.
fn valid_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": true, "members": [list_entry("s-1", "in_service")]},
        "settings": {"customers": [{"name": "acme", "quota_per_s": 30.0, "share": 0.75}, {"name": "bolt", "quota_per_s": 10}],
            "over_share_worth": 0.1, "discovery": "on_request", "fleet_size": 4, "locality": "a",
            "limits": {"cancel": true, "conn_idle": 5000000, "connect_timeout": 250000, "max_attempts": 3,
                "max_open": 20000, "max_retry_after": 1000000, "probes": true, "retry_after": true,
                "second_copies": true},
            "obligations": {"cold_from": 0.12, "drain_grace": 1500000, "fall_multiple": 4.0,
                "grace_to_answer": 20000, "must_ask_in": 10000000, "warm_up": 23000000},
            "report": {"how": "on_probe", "names": ["active", "waiting", "cpu"]},
            "request_classes": [
                {"aim": 600000, "effect": "retryable", "give_up": 1500000, "late_worth": 0.0, "name": "quote", "worth": 2.0},
                {"aim": 500000, "effect": "fragile", "give_up": 2000000, "name": "place-order", "worth": 8.0},
                {"aim": 600000, "effect": "dedup", "give_up": 2000000, "group": "cell", "name": "stock-update",
                    "window": 4000000, "worth": 1.0}]}})
}

/// An entry of a list as JSON.
fn list_entry(id: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": "127.0.0.1:7070", "locality": "a", "flavor": "m2", "cell": 3,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

fn read_config(config: &Value) -> Result<Config, String> {
    Config::read(&config.to_string(), |_| None)
}

/// Reads the head of a request with the classes of the configuration.
fn read_head(request: hyper::http::request::Builder) -> Result<NewFlow, Malformed> {
    let config = read_config(&valid_config()).expect("a good configuration");
    let classes = Classes::new(config.names, config.settings.classes);
    classes.read(&request.body(()).expect("well-formed").into_parts().0)
}

/// The head of a valid request of class `quote`, to which a test adds headers.
fn quote_head() -> hyper::http::request::Builder {
    Request::get("/quote?obj=7f3a").header("Request-Id", "9b1f").header("Request-Timeout", "0.480")
}

#[test]
fn a_head_gives_class_key_and_timeout() {
    let flow = read_head(quote_head().header("Request-Class", "quote")).expect("a valid head");
    assert_eq!((flow.class, flow.time_left), (0, 480.0));
    assert_eq!(flow.key, Some(roseproxy_platform::wire::name_hash("7f3a")));
    let flow = read_head(Request::post("/place-order").header("Request-Id", "9b1f")).expect("a valid head");
    assert_eq!((flow.class, flow.key, flow.time_left), (1, None, 2000.0));
}

/// Requests beyond a tenant's quota have a lower worth, so the decision module needs the tenant of each request.
#[test]
fn a_known_tenant_is_passed_on_and_an_unknown_one_is_none() {
    let tenant = |name: &str| read_head(quote_head().header("Tenant", name)).expect("good").tenant;
    assert_eq!([tenant("bolt"), tenant("acme"), tenant("zenith")], [Some(1), Some(0), None]);
    assert_eq!(read_head(quote_head()).expect("good").tenant, None);
    let mut config = valid_config();
    let settings = read_config(&config).expect("good").settings;
    assert_eq!((settings.tenants, settings.over_share_worth), (vec![30.0, 10.0], 0.1));
    for key in ["customers", "over_share_worth"] {
        config["settings"].as_object_mut().expect("an object").remove(key);
    }
    let settings = read_config(&config).expect("a platform without tenants").settings;
    assert_eq!((settings.tenants, settings.over_share_worth), (vec![], 1.0));
}

#[test]
fn malformed_heads_get_a_4xx() {
    let status = |request| read_head(request).expect_err("malformed").status.as_u16();
    assert_eq!(status(Request::get("/quote")), 400);
    assert_eq!(status(Request::get("/other").header("Request-Id", "1")), 404);
    assert_eq!(status(Request::post("/quote").header("Request-Id", "1")), 405);
    assert_eq!(status(quote_head().header("Request-Class", "place-order")), 400);
    for timeout in ["soon", "-1", "NaN", "inf", ""] {
        let request = Request::get("/quote").header("Request-Id", "1").header("Request-Timeout", timeout);
        assert_eq!(status(request), 400, "{timeout}");
    }
    let keyed = || Request::post("/stock-update").header("Request-Id", "1");
    assert_eq!(read_head(keyed().header("Idempotency-Key", "5c0f")).expect("good").class, 2);
    assert_eq!(status(keyed()), 400, "without a key a server could not drop a repeat");
    assert_eq!(status(keyed().header("Idempotency-Key", "")), 400);
    assert_eq!(status(keyed().header("Idempotency-Key", "5c0f").header("Idempotency-Key", "5c10")), 400);
    let mut headers = HeaderMap::new();
    headers.insert("content-length", "65537".parse().expect("a value"));
    assert!(exceeds_body_limit(&headers));
}

#[test]
fn only_a_rejection_by_the_platform_proves_that_nothing_ran() {
    let end = |status: u16, not_started: bool| {
        let mut headers = HeaderMap::new();
        if not_started {
            headers.insert("not-started", "1".parse().expect("a value"));
        }
        outcome::from_answer(StatusCode::from_u16(status).expect("a status"), &headers, Bytes::new())
    };
    assert_eq!(end(200, false), ForwardEnd::Served(Bytes::new()));
    assert_eq!(end(503, true), ForwardEnd::Failed(Outcome::Rejected));
    assert_eq!(end(504, true), ForwardEnd::Failed(Outcome::Rejected));
    for (status, not_started) in
        [(500, false), (500, true), (503, false), (504, false), (404, true), (204, false)]
    {
        assert_eq!(end(status, not_started), ForwardEnd::Failed(Outcome::Error), "{status}");
    }
    assert_eq!(outcome::from_disconnect(true).outcome(), Outcome::Broken);
    assert_eq!(outcome::from_disconnect(false).outcome(), Outcome::Unreachable);
}

#[test]
fn valid_figures_of_a_partly_invalid_report_are_used() {
    let report = load::read("TEXT inflight=7, queue=2, util=0.61\n").expect("a report");
    assert_eq!((report.in_flight, report.waiting, report.utilization), (Some(7.0), Some(2.0), Some(0.61)));
    let partial = load::read("TEXT inflight=NaN, queue=-3, util, later=9, qps=4").expect("one figure");
    assert_eq!((partial.in_flight, partial.waiting, partial.requests_per_s), (None, None, Some(4.0)));
    assert!(load::read("").is_none() && load::read("<html>").is_none());
}

#[test]
fn broken_entries_of_a_list_never_remove_an_endpoint() {
    let list = |members: Value| json!({"revision": 43, "complete": true, "members": members}).to_string();
    let members =
        json!([list_entry("a", "in_service"), list_entry("b", "terminating"), list_entry("c", "terminated")]);
    let all = discovery::read(list(members).as_bytes()).expect("a list");
    assert_eq!((all.revision, all.update, all.unreadable_entries), (43, Update::Complete, 0));
    let phases: Vec<_> = all.targets.iter().map(|target| target.readiness).collect();
    assert_eq!(phases, [Readiness::Ready, Readiness::Draining, Readiness::Gone]);
    let broken = json!([list_entry("a", "in_service"), list_entry("b", "dozing"), {"id": "d"}, 7]);
    let partial = discovery::read(list(broken).as_bytes()).expect("a list");
    assert_eq!((partial.update, partial.targets.len(), partial.unreadable_entries), (Update::Changes, 1, 3));
    for invalid in ["", "{", "[]", "{}", r#"{"revision":-1,"complete":true,"members":[]}"#] {
        assert!(discovery::read(invalid.as_bytes()).is_err(), "{invalid}");
    }
}

#[test]
fn answers_have_the_required_status_and_headers() {
    let served = answer::to_reply(Answer::Served(Bytes::from_static(b"\x00\xff priced")));
    assert_eq!(served.status(), 200);
    let refused = answer::to_reply(Answer::Refused { retry_after: 250.0 });
    assert_eq!(
        (refused.status().as_u16(), &refused.headers()["retry-after"]),
        (503, &"0.250".parse().expect("value"))
    );
    assert!(!answer::to_reply(Answer::Refused { retry_after: 0.0 }).headers().contains_key("retry-after"));
    let failed = answer::to_reply(Answer::Failed).status().as_u16();
    assert!(failed >= 500 && failed != 503, "a client would repeat a failure that looks like a refusal");
}

#[test]
fn the_error_for_an_invalid_configuration_names_its_key() {
    assert!(read_config(&valid_config()).is_ok());
    let faults = [
        ("/name", json!(7), "name"),
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(null), "discovery"),
        ("/seed", json!("xyz"), "seed"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!(1), "limits.memory_mb"),
        ("/limits/memory_mb", json!("192"), "limits.memory_mb"),
        ("/known", json!({"revision": 1}), "known"),
        ("/settings", json!({}), "limits"),
        ("/settings/customers/1/quota_per_s", json!("ten"), "quota_per_s"),
        ("/settings/customers/0/quota_per_s", json!(-1), "quota_per_s"),
        ("/settings/request_classes/0/give_up", json!(0), "give_up is not a whole number above 0"),
        ("/settings/request_classes/0/aim", json!(-5), "aim is not a whole number above 0"),
        ("/settings/request_classes/0/late_worth", json!("half"), "late_worth is not a number"),
        ("/settings/over_share_worth", json!("none"), "over_share_worth is not a number"),
        ("/settings/customers/0/name", json!(null), "name"),
        ("/settings/fleet_size", json!("four"), "fleet_size"),
        ("/settings/limits/conn_idle", json!(0), "conn_idle"),
        ("/settings/limits/connect_timeout", json!(-5), "connect_timeout"),
        ("/settings/obligations/drain_grace", json!("long"), "drain_grace"),
        ("/settings/request_classes", json!(3), "request_classes"),
    ];
    for (path, value, key) in faults {
        let mut config = valid_config();
        *config.pointer_mut(path).expect("a key") = value;
        let reason = read_config(&config).expect_err(path);
        assert!(reason.contains(key), "{path}: {reason}");
    }
    assert!(Config::load(|_| None).expect_err("no file").to_string().contains("LB_CONFIG"));
    let mut incomplete = valid_config();
    incomplete.as_object_mut().expect("an object").remove("listen");
    assert!(read_config(&incomplete).expect_err("no address").contains("LB_LISTEN"));
    let variables = |name: &str| (name == "LB_LISTEN").then(|| "127.0.0.1:99".to_owned());
    let read = Config::read(&incomplete.to_string(), variables).expect("the variable replaces the key");
    assert_eq!(read.listen.port(), 99);
}

/// Guards against a fleet in step: sidecars that were given equal seeds drew the same pauses before each call to
/// discovery and the same endpoints for their requests.
#[test]
fn sidecars_with_equal_seeds_draw_different_numbers() {
    let named = |name: &str| {
        let mut config = valid_config();
        config["name"] = json!(name);
        read_config(&config).expect("a good configuration").sidecar_seed()
    };
    let seeds: std::collections::HashSet<u64> = (0..900).map(|number| named(&format!("n{number}"))).collect();
    assert_eq!(seeds.len(), 900);
    assert_eq!(named("n3"), named("n3"), "equal configurations draw equal numbers");
    let mut other = valid_config();
    other["seed"] = json!("1");
    assert_ne!(read_config(&other).expect("a good configuration").sidecar_seed(), named("n3"));
}
