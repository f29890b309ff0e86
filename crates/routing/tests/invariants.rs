//! The run-time checks count what the guard must have prevented, and the event log tells the story of a request.

use roseproxy_decision::interface::{
    Action, Class, Effect, Event, Group, Micros, Outcome, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::decide::Decider;
use roseproxy_routing::flow::{ForwardEnd, ForwardId, NewFlow, Target};
use roseproxy_routing::Host;

const NOW: f64 = 1_000_000.0;
const FIRST: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);

/// Sends each request to the first endpoint, and once more to the other where that fails or after 50 ms.
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

/// A host with two endpoints in different cells, and one request that was sent to the first.
fn host(effect: Effect) -> (Host, ForwardId) {
    let class =
        Class { latency_goal: 500_000, client_timeout: 2_000_000, worth: 1.0, late_worth: 0.0, effect };
    let settings = Settings { classes: vec![class], second_copies: true, ..Settings::default() };
    let mut host = Host::with(settings, Box::new(SendTwice));
    let both = [endpoint(FIRST, 1, Readiness::Ready), endpoint(OTHER, 2, Readiness::Ready)];
    host.targets(NOW, Update::Complete, &both);
    let flow = host.take_in(NOW, NewFlow { class: 0, tenant: None, key: None, time_left: 1_000.0 });
    (host, ForwardId { flow, attempt: 0 })
}

fn count(host: &Host, name: &str) -> u64 {
    let lines = host.book.lines();
    lines.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("no counter {name}")).1
}

fn violations(host: &Host) -> Vec<String> {
    let lines = host.book.lines().into_iter();
    lines.filter(|(n, c)| n.starts_with("violations_") && *c > 0).map(|(n, _)| n).collect()
}

#[test]
fn a_request_without_a_fault_violates_nothing_and_leaves_its_story() {
    let (mut host, id) = host(Effect::Safe);
    assert!(host.begin_write(NOW, id).is_some());
    host.attempt_began(NOW, id);
    host.attempt_whole(NOW, id, 980.0);
    host.forward_ended(NOW + 5.0, id, ForwardEnd::Served("x".into()), None);
    assert_eq!(violations(&host), [""; 0]);
    let story = host.events.text();
    for part in ["ordered", "began", "whole told=980", "ended outcome=Served", "request=1 served"] {
        assert!(story.contains(part), "{part} is missing in\n{story}");
    }
}

#[test]
fn an_attempt_that_begins_at_a_wrong_moment_is_counted() {
    let late = |host: &mut Host, id, now| host.attempt_began(now, id);
    let (mut ended, id) = host(Effect::Safe);
    assert!(ended.begin_write(NOW, id).is_some());
    ended.client_gone(NOW, id.flow);
    late(&mut ended, id, NOW + 1.0);
    assert_eq!(violations(&ended), ["violations_attempt_after_end"]);

    let (mut overdue, id) = host(Effect::Safe);
    late(&mut overdue, id, NOW + 1_001.0);
    assert_eq!(violations(&overdue), ["violations_attempt_after_deadline"]);

    let (mut drained, id) = host(Effect::Safe);
    drained.targets(NOW, Update::Changes, &[endpoint(FIRST, 1, Readiness::Draining)]);
    late(&mut drained, id, NOW + 900.0);
    assert_eq!(violations(&drained), [""; 0], "the grace of the settings is 1.5 s");
    let patient = Settings::default().network.drain_grace as f64 / 1e3;
    let flow = drained.take_in(NOW, NewFlow { class: 0, tenant: None, key: None, time_left: 9_000.0 });
    late(&mut drained, ForwardId { flow, attempt: 0 }, NOW + patient + 1.0);
    assert_eq!(violations(&drained), ["violations_attempt_at_leaving"]);
}

#[test]
fn a_forbidden_repeat_is_withheld_and_counted_if_it_begins_all_the_same() {
    let cell = Effect::Keyed { group: Group::Cell, window: 4_000_000 };
    for (effect, reason) in [(Effect::Unsafe, "may_have_run"), (cell, "outside_group")] {
        let (mut host, id) = host(effect);
        assert!(host.begin_write(NOW, id).is_some());
        host.tick(NOW + 60.0);
        let again = ForwardId { attempt: 1, ..id };
        assert!(host.begin_write(NOW + 60.0, again).is_none());
        assert_eq!(count(&host, &format!("attempts_withheld_{reason}")), 1);
        host.attempt_began(NOW + 60.0, again);
        assert_eq!(violations(&host), ["violations_forbidden_repeat"]);
    }
}

#[test]
fn a_deadline_beyond_the_clients_and_a_late_answer_are_counted() {
    let (mut host, id) = host(Effect::Safe);
    assert!(host.begin_write(NOW, id).is_some());
    host.attempt_whole(NOW + 140.0, id, 980.0);
    assert_eq!(violations(&host), [""; 0], "0.15 s of slack");
    host.attempt_whole(NOW + 200.0, id, 980.0);
    assert_eq!(violations(&host), ["violations_deadline_too_long"]);
    host.forward_ended(NOW + 1_600.0, id, ForwardEnd::Lost(Outcome::Error), None);
    host.end(NOW + 1_600.0);
    assert_eq!(count(&host, "violations_late_answer"), 1);
    assert!(host.events.text().contains("VIOLATED late_answer"));
}
