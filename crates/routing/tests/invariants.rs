//! The invariants count what the guard must have prevented, and the event log records the steps of
//! a request.

use roseproxy_decision::interface::{
    Action, Class, Effect, Event, Group, Micros, Outcome, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::decider::Decider;
use roseproxy_routing::flow::{ForwardEnd, ForwardId, NewFlow, Target};
use roseproxy_routing::Host;

const NOW_MS: f64 = 1_000_000.0;
const FIRST: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);

/// Sends each request to the first endpoint, and 50 ms later once more to the other one.
struct SendTwice;

impl Decider for SendTwice {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        let send = |request, server| Action::Send { request, server, timeout: None };
        match event {
            Event::Request(request) => {
                out.push(send(request.id, FIRST));
                out.push(Action::SetTimer { token: request.id, after: 50_000 });
            }
            Event::Timer { token } => out.push(send(token, OTHER)),
            _ => {}
        }
    }
}

fn endpoint(id: ServerId, cell: u32, readiness: Readiness) -> Target {
    let address = ([127, 0, 0, 1], 7000 + id.0 as u16).into();
    Target { id, address, zone: 0, cell, kind: 0, power: 1.0, started_at: None, readiness }
}

/// Returns a host with two endpoints in different cells, and one request that was sent to the
/// first.
fn host(effect: Effect) -> (Host, ForwardId) {
    let class =
        Class { latency_goal: 500_000, client_timeout: 2_000_000, worth: 1.0, late_worth: 0.0, effect };
    let settings = Settings { classes: vec![class], second_copies: true, ..Settings::default() };
    let mut host = Host::with_decider(settings, Box::new(SendTwice));
    let both = [endpoint(FIRST, 1, Readiness::Ready), endpoint(OTHER, 2, Readiness::Ready)];
    host.update_targets(NOW_MS, Update::Complete, &both);
    let flow = host.accept_request(NOW_MS, NewFlow { class: 0, tenant: None, key: None, time_left: 1_000.0 });
    (host, ForwardId { flow, attempt: 0 })
}

fn count(host: &Host, name: &str) -> u64 {
    let lines = host.counters.named_counts();
    lines.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("no counter {name}")).1
}

fn violations(host: &Host) -> Vec<String> {
    let lines = host.counters.named_counts().into_iter();
    lines.filter(|(n, c)| n.starts_with("violations_") && *c > 0).map(|(n, _)| n).collect()
}

#[test]
fn a_faultless_request_violates_nothing_and_is_logged() {
    let (mut host, id) = host(Effect::Safe);
    assert!(host.begin_write(NOW_MS, id).is_some());
    host.attempt_began(NOW_MS, id);
    host.attempt_written(NOW_MS, id, 980.0);
    host.forward_ended(NOW_MS + 5.0, id, ForwardEnd::Served("x".into()), None);
    assert_eq!(violations(&host), [""; 0]);
    let log = host.events.text();
    for part in ["ordered", "began", "whole told=980", "ended outcome=Served", "request=1 served"] {
        assert!(log.contains(part), "{part} is missing in\n{log}");
    }
}

#[test]
fn an_attempt_that_begins_too_late_is_counted() {
    let begin = |host: &mut Host, id, now| host.attempt_began(now, id);
    let (mut ended, id) = host(Effect::Safe);
    assert!(ended.begin_write(NOW_MS, id).is_some());
    ended.client_left(NOW_MS, id.flow);
    begin(&mut ended, id, NOW_MS + 1.0);
    assert_eq!(violations(&ended), ["violations_attempt_after_end"]);

    let (mut overdue, id) = host(Effect::Safe);
    begin(&mut overdue, id, NOW_MS + 1_001.0);
    assert_eq!(violations(&overdue), ["violations_attempt_after_deadline"]);

    let (mut drained, id) = host(Effect::Safe);
    drained.update_targets(NOW_MS, Update::Changes, &[endpoint(FIRST, 1, Readiness::Draining)]);
    begin(&mut drained, id, NOW_MS + 900.0);
    assert_eq!(violations(&drained), [""; 0], "the grace of the settings is 1.5 s");
    let drain_grace = Settings::default().network.drain_grace as f64 / 1e3;
    let flow =
        drained.accept_request(NOW_MS, NewFlow { class: 0, tenant: None, key: None, time_left: 9_000.0 });
    begin(&mut drained, ForwardId { flow, attempt: 0 }, NOW_MS + drain_grace + 1.0);
    assert_eq!(violations(&drained), ["violations_attempt_at_leaving"]);
}

#[test]
fn a_forbidden_repeat_is_withheld_and_counted_if_it_begins_anyway() {
    let cell = Effect::Keyed { group: Group::Cell, window: 4_000_000 };
    for (effect, reason) in [(Effect::Unsafe, "may_have_run"), (cell, "outside_group")] {
        let (mut host, id) = host(effect);
        assert!(host.begin_write(NOW_MS, id).is_some());
        host.tick(NOW_MS + 60.0);
        let again = ForwardId { attempt: 1, ..id };
        assert!(host.begin_write(NOW_MS + 60.0, again).is_none());
        assert_eq!(count(&host, &format!("attempts_withheld_{reason}")), 1);
        host.attempt_began(NOW_MS + 60.0, again);
        assert_eq!(violations(&host), ["violations_forbidden_repeat"]);
    }
}

#[test]
fn a_time_limit_beyond_the_clients_and_a_late_answer_are_counted() {
    let (mut host, id) = host(Effect::Safe);
    assert!(host.begin_write(NOW_MS, id).is_some());
    host.attempt_written(NOW_MS + 140.0, id, 980.0);
    assert_eq!(violations(&host), [""; 0], "0.15 s are tolerated");
    host.attempt_written(NOW_MS + 200.0, id, 980.0);
    assert_eq!(violations(&host), ["violations_deadline_too_long"]);
    host.forward_ended(NOW_MS + 1_600.0, id, ForwardEnd::Failed(Outcome::Error), None);
    host.begin_shutdown(NOW_MS + 1_600.0);
    assert_eq!(count(&host, "violations_late_answer"), 1);
    assert!(host.events.text().contains("VIOLATED late_answer"));
}
