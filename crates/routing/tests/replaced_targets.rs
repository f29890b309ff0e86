//! Targets whose process was replaced: a new one comes up at the address of one that has gone, or under its id. Guards
//! against work that goes to the wrong process.

use bytes::Bytes;
use roseproxy_decision::interface::{
    Action, Class, Effect, Event, Micros, Outcome, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::decider::Decider;
use roseproxy_routing::flow::{FlowId, ForwardEnd, ForwardId, NewFlow, Order, Target};
use roseproxy_routing::Host;
use std::cell::RefCell;
use std::rc::Rc;

const NOW_MS: f64 = 1_000_000.0;
const OLD: ServerId = ServerId(1);
const NEW: ServerId = ServerId(2);

/// What the host has told the decision module of targets and probes.
#[derive(Default)]
struct Told {
    readiness: Vec<(ServerId, Readiness)>,
    probe_ends: Vec<(ServerId, Outcome)>,
}

/// Sends each request to the old target, and probes it with each request.
struct SendsToOld(Rc<RefCell<Told>>);

impl Decider for SendsToOld {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => {
                out.push(Action::Send { request: request.id, server: OLD, timeout: None });
                out.push(Action::Probe { server: OLD });
            }
            Event::Servers { servers, .. } => {
                let told = servers.iter().map(|server| (server.id, server.readiness));
                self.0.borrow_mut().readiness.extend(told);
            }
            Event::ProbeEnded { server, outcome, .. } => {
                self.0.borrow_mut().probe_ends.push((server, outcome));
            }
            _ => {}
        }
    }
}

fn target(id: ServerId, port: u16, started_at: Option<f64>) -> Target {
    let address = ([127, 0, 0, 1], port).into();
    let readiness = Readiness::Ready;
    Target { id, address, zone: 0, cell: 0, kind: 0, power: 1.0, started_at, readiness }
}

struct Harness {
    host: Host,
    told: Rc<RefCell<Told>>,
}

impl Harness {
    /// A host that knows the old target, which started long ago at port 7001.
    fn new() -> Harness {
        let class = Class {
            latency_goal: 500_000,
            client_timeout: 2_000_000,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Unsafe,
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let told = Rc::new(RefCell::new(Told::default()));
        let mut host = Host::with_decider(settings, Box::new(SendsToOld(told.clone())));
        host.update_targets(NOW_MS, Update::Complete, &[target(OLD, 7001, None)]);
        let mut harness = Harness { host, told };
        harness.orders();
        harness
    }

    fn request(&mut self, at: f64) -> ForwardId {
        let flow: FlowId =
            self.host.accept_request(at, NewFlow { class: 0, tenant: None, key: None, time_left: 1_000.0 });
        ForwardId { flow, attempt: 0 }
    }

    fn update(&mut self, at: f64, targets: &[Target]) {
        self.host.update_targets(at, Update::Changes, targets);
    }

    fn orders(&mut self) -> Vec<Order> {
        std::iter::from_fn(|| self.host.next_order()).collect()
    }

    fn withheld(&self) -> u64 {
        let counts = self.host.counters.named_counts();
        counts.iter().find(|(name, _)| name == "attempts_withheld_endpoint_replaced").expect("a counter").1
    }
}

/// The ways in which the process of a target is replaced under its id.
fn replacements() -> [(&'static str, Target); 3] {
    [
        ("another address", target(OLD, 7002, None)),
        ("a start at the same address", target(OLD, 7001, Some(NOW_MS))),
        ("a start at another address", target(OLD, 7002, Some(NOW_MS))),
    ]
}

/// The attempt was decided for the former process, and its connection leads to that one's address.
#[test]
fn an_attempt_is_not_written_to_a_process_that_has_been_replaced() {
    for (what, replacement) in replacements() {
        let mut harness = Harness::new();
        let connecting = harness.request(NOW_MS);
        let writing = harness.request(NOW_MS);
        let permit = harness.host.begin_write(NOW_MS + 1.0, writing).expect("may be written");
        harness.update(NOW_MS + 2.0, &[replacement]);
        assert!(harness.host.begin_write(NOW_MS + 3.0, connecting).is_none(), "{what}: written");
        assert!(
            !harness.host.may_continue_write(NOW_MS + 3.0, writing, permit, true),
            "{what}: written to the end"
        );
        assert_eq!(harness.withheld(), 2, "{what}");
        let later = harness.request(NOW_MS + 4.0);
        assert!(harness.host.begin_write(NOW_MS + 5.0, later).is_some(), "{what}: for the present process");
    }
}

/// An entry that changes in other ways, or comes again unchanged, replaces nothing.
#[test]
fn an_attempt_is_written_to_the_process_for_which_it_was_decided() {
    let mut harness = Harness::new();
    let connecting = harness.request(NOW_MS);
    harness.update(NOW_MS + 2.0, &[Target { power: 2.0, ..target(OLD, 7001, None) }]);
    assert!(harness.host.begin_write(NOW_MS + 3.0, connecting).is_some());
    assert_eq!(harness.withheld(), 0);
}

#[test]
fn idle_connections_and_probes_end_with_their_process() {
    for (what, replacement) in replacements() {
        let mut harness = Harness::new();
        harness.request(NOW_MS);
        harness.orders();
        harness.update(NOW_MS + 2.0, &[replacement]);
        let orders = harness.orders();
        assert!(orders.contains(&Order::CloseIdle(OLD)), "{what}: {orders:?}");
        assert!(orders.contains(&Order::GiveUpProbe(OLD)), "{what}: {orders:?}");
        assert_eq!(harness.told.borrow().probe_ends, [(OLD, Outcome::Cancelled)], "{what}");
    }
}

/// Discovery lists the new target at the address of the old one before it tells that the old one has gone.
#[test]
fn a_target_whose_address_another_has_taken_over_gets_nothing_more() {
    let mut harness = Harness::new();
    let connecting = harness.request(NOW_MS);
    harness.update(NOW_MS + 2.0, &[target(NEW, 7001, Some(NOW_MS))]);
    assert!(harness.host.begin_write(NOW_MS + 3.0, connecting).is_none(), "written to the new process");
    let later = harness.request(NOW_MS + 4.0);
    assert!(harness.host.begin_write(NOW_MS + 5.0, later).is_none(), "sent to the new process");
    assert!(harness.told.borrow().readiness.ends_with(&[(NEW, Readiness::Ready), (OLD, Readiness::Gone)]));
    // A list that is late names both, and changes nothing.
    harness.told.borrow_mut().readiness.clear();
    let both = [target(OLD, 7001, None), target(NEW, 7001, Some(NOW_MS))];
    harness.host.update_targets(NOW_MS + 6.0, Update::Complete, &both);
    assert_eq!(harness.told.borrow().readiness, [(NEW, Readiness::Ready), (OLD, Readiness::Gone)]);
    // The old id comes back elsewhere.
    harness.update(NOW_MS + 7.0, &[target(OLD, 7003, Some(NOW_MS + 6.0))]);
    let back = harness.request(NOW_MS + 8.0);
    assert!(harness.host.begin_write(NOW_MS + 9.0, back).is_some(), "back at another address");
}

/// Targets that started alike at one address are taken as they are listed.
#[test]
fn targets_that_share_an_address_and_a_start_are_all_used() {
    let mut harness = Harness::new();
    harness.update(NOW_MS + 1.0, &[target(NEW, 7001, None)]);
    let connecting = harness.request(NOW_MS + 2.0);
    assert!(harness.host.begin_write(NOW_MS + 3.0, connecting).is_some());
    harness.host.forward_ended(NOW_MS + 4.0, connecting, ForwardEnd::Served(Bytes::from_static(b"ok")), None);
}

/// A replica of discovery that is behind another one sends its list, and then the changes up to what was known.
#[test]
fn an_outdated_list_undoes_nothing_and_loses_nothing() {
    let mut harness = Harness::new();
    let readiness = |harness: &Harness| harness.told.borrow().readiness.last().copied();
    let restarted = target(OLD, 7001, Some(NOW_MS));
    harness.update(NOW_MS, &[restarted.clone(), target(NEW, 7002, None)]);
    // The list is from before the restart of the one target and the arrival of the other.
    let before = vec![target(OLD, 7001, None)];
    harness.host.update_by_outdated_list(NOW_MS + 1.0, Update::Complete, before);
    let attempt = harness.request(NOW_MS + 2.0);
    assert!(harness.host.begin_write(NOW_MS + 3.0, attempt).is_some(), "the start stays as it was known");
    harness.host.update_by_outdated_list(NOW_MS + 4.0, Update::Changes, vec![target(NEW, 7002, None)]);
    assert_eq!(readiness(&harness), Some((NEW, Readiness::Ready)), "its arrival comes with the changes");
    // A target that was told to have gone stays away, and comes back with a start of its own.
    let gone = Target { readiness: Readiness::Gone, ..target(NEW, 7002, None) };
    harness.update(NOW_MS + 5.0, &[gone]);
    harness.host.update_by_outdated_list(NOW_MS + 6.0, Update::Changes, vec![target(NEW, 7002, None)]);
    assert_eq!(readiness(&harness), Some((NEW, Readiness::Gone)), "known to have gone");
    let back = target(NEW, 7002, Some(NOW_MS + 6.0));
    harness.host.update_by_outdated_list(NOW_MS + 7.0, Update::Changes, vec![back]);
    assert_eq!(readiness(&harness), Some((NEW, Readiness::Ready)), "started again");
}
