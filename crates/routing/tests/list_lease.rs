//! Effects of the list's lease on the host: which requests are admitted, what is sent and written,
//! and whether the sidecar reports that it is ready.

use roseproxy_decision::interface::{
    Action, Class, Effect, Event, Micros, Network, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::decider::Decider;
use roseproxy_routing::discovery::CallEnd;
use roseproxy_routing::flow::{Answer, FlowId, ForwardId, NewFlow, Order, Target};
use roseproxy_routing::Host;

const STARTED_AT_MS: f64 = 1_000_000.0;
/// Half of the drain grace in these settings.
const GRACE_MS: f64 = 750.0;
/// After this long without contact, plus the grace, a list expires.
const NOTICE_TERM_MS: f64 = 6_000.0;
const ENDPOINT: ServerId = ServerId(1);

/// Sends each request at once, and again after 100 ms whatever happened to the first attempt.
struct SendsTwice;

impl Decider for SendsTwice {
    fn handle(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        let send = |request| Action::Send { request, server: ENDPOINT, timeout: None };
        match event {
            Event::Request(request) => {
                out.push(send(request.id));
                out.push(Action::SetTimer { token: request.id, after: 100_000 });
            }
            Event::Timer { token } => out.push(send(token)),
            _ => {}
        }
    }
}

fn list() -> [Target; 1] {
    let address = ([127, 0, 0, 1], 7001).into();
    let (id, readiness) = (ENDPOINT, Readiness::Ready);
    [Target { id, address, zone: 0, cell: 0, kind: 0, power: 1.0, started_at: None, readiness }]
}

/// Returns a host that starts with a kept list and follows discovery.
fn host(pushed: bool) -> Host {
    let class = Class {
        latency_goal: 500_000,
        client_timeout: 2_000_000,
        worth: 1.0,
        late_worth: 0.0,
        effect: Effect::Safe,
    };
    let settings = Settings {
        classes: vec![class],
        second_copies: true,
        must_subscribe: !pushed,
        network: Network { drain_grace: 1_500_000, ..Network::default() },
        ..Settings::default()
    };
    let mut host = Host::with_decider(settings, Box::new(SendsTwice));
    host.update_targets(STARTED_AT_MS, Update::Complete, &list());
    host.follow_discovery(STARTED_AT_MS, STARTED_AT_MS);
    host
}

fn request(host: &mut Host, at: f64) -> FlowId {
    host.accept_request(at, NewFlow { class: 0, tenant: None, key: None, time_left: 1_000.0 })
}

/// Drains the host's orders and returns the attempts and refusals among them.
fn orders(host: &mut Host) -> (Vec<ForwardId>, Vec<FlowId>) {
    let (mut attempts, mut refused) = (Vec::new(), Vec::new());
    while let Some(order) = host.next_order() {
        match order {
            Order::Forward { id, .. } => attempts.push(id),
            Order::Answer(id, Answer::Refused { .. }) => refused.push(id),
            _ => {}
        }
    }
    (attempts, refused)
}

fn count(host: &Host, name: &str) -> u64 {
    let lines = host.counters.named_counts();
    lines.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("no counter {name}")).1
}

#[test]
fn nothing_is_sent_with_an_expired_list() {
    for pushed in [false, true] {
        let mut host = host(pushed);
        orders(&mut host);
        request(&mut host, STARTED_AT_MS + GRACE_MS - 1.0);
        assert_eq!(orders(&mut host).0.len(), 1, "within the grace");
        let id = request(&mut host, STARTED_AT_MS + GRACE_MS);
        assert_eq!(orders(&mut host), (vec![], vec![id]), "refused at once, so that a retry is harmless");
        assert_eq!(count(&host, "refused_list_expired"), 1);
        host.list_confirmed(STARTED_AT_MS + 2_000.0);
        request(&mut host, STARTED_AT_MS + 2_000.0);
        assert_eq!(orders(&mut host).0.len(), 1, "confirmed");
    }
}

/// Decisions are checked again immediately before the action, since the list may have expired in
/// between.
#[test]
fn an_allowed_attempt_is_neither_written_nor_repeated_once_the_list_has_expired() {
    let mut host = host(false);
    orders(&mut host);
    let flow = request(&mut host, STARTED_AT_MS + GRACE_MS - 50.0);
    let id = ForwardId { flow, attempt: 0 };
    assert_eq!(orders(&mut host).0, [id]);
    let permit = host.begin_write(STARTED_AT_MS + GRACE_MS - 10.0, id).expect("it may still be written");
    assert!(!host.may_continue_write(STARTED_AT_MS + GRACE_MS, id, permit, true));
    host.tick(STARTED_AT_MS + GRACE_MS + 60.0);
    assert_eq!(orders(&mut host).0, [], "no second copy");
    assert_eq!(count(&host, "attempts_withheld_list_expired"), 2);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 0);
    // An attempt that is written anyway counts as a violation once the whole grace is over.
    host.attempt_began(STARTED_AT_MS + 2.0 * GRACE_MS, id);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 0);
    host.attempt_began(STARTED_AT_MS + 2.0 * GRACE_MS + 1.0, id);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 1);
}

#[test]
fn a_sidecar_is_ready_once_its_list_is_confirmed_or_discovery_is_unavailable() {
    let mut confirmed = host(false);
    assert!(!confirmed.can_serve(STARTED_AT_MS));
    confirmed.list_confirmed(STARTED_AT_MS + 100.0);
    assert!(confirmed.can_serve(STARTED_AT_MS + 100.0));
    assert!(
        !confirmed.can_serve(STARTED_AT_MS + 100.0 + NOTICE_TERM_MS + GRACE_MS),
        "not ready with an expired list"
    );
    let mut cut_off = host(false);
    cut_off.discovery_failed(STARTED_AT_MS + 1_000.0, CallEnd::Unreachable);
    assert!(cut_off.can_serve(STARTED_AT_MS + 600_000.0));
    // That this machine could not open a connection says nothing about discovery.
    let mut out_of_ports = host(false);
    out_of_ports.list_confirmed(STARTED_AT_MS);
    out_of_ports.discovery_failed(STARTED_AT_MS + 1_000.0, CallEnd::NotMade);
    assert!(!out_of_ports.can_serve(STARTED_AT_MS + NOTICE_TERM_MS + GRACE_MS));
}

/// Guards against sidecars that discovery turns away and that serve on an old list: the log states when
/// the list expired and when it became valid again, and requests are refused in between.
#[test]
fn requests_are_refused_while_discovery_turns_calls_away() {
    for end in [CallEnd::TurnedAway, CallEnd::Broken, CallEnd::Unreadable, CallEnd::NoAnswer] {
        let mut host = host(false);
        host.list_confirmed(STARTED_AT_MS);
        let mut now = STARTED_AT_MS;
        while now < STARTED_AT_MS + 60_000.0 {
            host.discovery_call_started(now, Some(1));
            host.discovery_failed(now + 2_000.0, end);
            now += 4_500.0;
            host.tick(now);
        }
        orders(&mut host);
        let id = request(&mut host, now);
        assert_eq!(orders(&mut host), (vec![], vec![id]), "{end:?}: refused, as a retry is harmless");
        host.list_confirmed(now);
        request(&mut host, now);
        assert_eq!(orders(&mut host).0.len(), 1, "{end:?}: confirmed");
        let log = host.events.text();
        let expired = log.find("discovery list_expired unconfirmed_for=").expect("it expired");
        let renewed = log.find("discovery list_renewed").expect("it is valid again");
        assert!(expired < renewed, "{log}");
        assert_eq!(count(&host, "lists_expired"), 1, "{end:?}");
    }
}

/// Requests are served on while discovery cannot be reached by any connection.
#[test]
fn requests_are_served_while_discovery_is_unreachable() {
    let mut host = host(false);
    host.list_confirmed(STARTED_AT_MS);
    orders(&mut host);
    for call in 0..20 {
        let now = STARTED_AT_MS + 4_500.0 * f64::from(call);
        host.discovery_call_started(now, Some(1));
        host.discovery_failed(now + 1_000.0, CallEnd::Unreachable);
        request(&mut host, now + 4_499.0);
        assert_eq!(orders(&mut host).0.len(), 1, "call {call}");
    }
    assert_eq!(count(&host, "lists_expired"), 0);
}

/// After a move the list is not known to be valid until the new discovery has confirmed it.
#[test]
fn the_lease_ends_after_a_move_without_confirmation() {
    let mut host = host(false);
    host.list_confirmed(STARTED_AT_MS);
    host.discovery_moved(STARTED_AT_MS + 1_000.0, true);
    let end = STARTED_AT_MS + 1_000.0 + 4_000.0 + GRACE_MS;
    assert!(host.can_serve(end - 1.0) && !host.can_serve(end));
    host.list_confirmed(end);
    assert!(host.can_serve(end));
}
