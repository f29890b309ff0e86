//! What the host does by the lease of its list: who is admitted, what is sent and written, and what it says of itself.

use roseproxy_decision::interface::{
    Action, Class, Effect, Event, Micros, Network, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::decide::Decider;
use roseproxy_routing::discovery::CallEnd;
use roseproxy_routing::flow::{Answer, FlowId, ForwardId, NewFlow, Order, Target};
use roseproxy_routing::Host;

const BEGAN: f64 = 1_000_000.0;
/// Half of the grace of these settings.
const GRACE: f64 = 750.0;
/// After this long without a word, with the grace, a list is too old.
const TOLD_WITHIN: f64 = 6_000.0;
const ENDPOINT: ServerId = ServerId(1);

/// Sends each request at once, and again after 100 ms, whatever it may be told.
struct Sends;

impl Decider for Sends {
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

/// A host that starts on a kept list and follows discovery.
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
    let mut host = Host::with(settings, Box::new(Sends));
    host.targets(BEGAN, Update::Complete, &list());
    host.follow_discovery(BEGAN, BEGAN);
    host
}

fn ask(host: &mut Host, at: f64) -> FlowId {
    host.take_in(at, NewFlow { class: 0, tenant: None, key: None, time_left: 1_000.0 })
}

/// What has been ordered: attempts and refusals.
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
    let lines = host.book.lines();
    lines.iter().find(|(n, _)| n == name).unwrap_or_else(|| panic!("no counter {name}")).1
}

#[test]
fn nothing_is_sent_by_a_list_that_is_too_old() {
    for pushed in [false, true] {
        let mut host = host(pushed);
        orders(&mut host);
        ask(&mut host, BEGAN + GRACE - 1.0);
        assert_eq!(orders(&mut host).0.len(), 1, "within the grace");
        let id = ask(&mut host, BEGAN + GRACE);
        assert_eq!(orders(&mut host), (vec![], vec![id]), "refused at once, which does no harm");
        assert_eq!(count(&host, "refused_list_expired"), 1);
        host.list_confirmed(BEGAN + 2_000.0);
        ask(&mut host, BEGAN + 2_000.0);
        assert_eq!(orders(&mut host).0.len(), 1, "confirmed");
    }
}

/// A decision is asked for again at the instant of acting: the list may have become too old since.
#[test]
fn an_attempt_that_was_allowed_is_not_written_nor_repeated_once_the_list_is_too_old() {
    let mut host = host(false);
    orders(&mut host);
    let flow = ask(&mut host, BEGAN + GRACE - 50.0);
    let id = ForwardId { flow, attempt: 0 };
    assert_eq!(orders(&mut host).0, [id]);
    let permit = host.begin_write(BEGAN + GRACE - 10.0, id).expect("it may still be written");
    assert!(!host.may_write_on(BEGAN + GRACE, id, permit, true));
    host.tick(BEGAN + GRACE + 60.0);
    assert_eq!(orders(&mut host).0, [], "no second copy");
    assert_eq!(count(&host, "attempts_withheld_list_expired"), 2);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 0);
    // What goes out all the same is found out, once the whole grace is over.
    host.attempt_began(BEGAN + 2.0 * GRACE, id);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 0);
    host.attempt_began(BEGAN + 2.0 * GRACE + 1.0, id);
    assert_eq!(count(&host, "violations_attempt_by_expired_list"), 1);
}

#[test]
fn a_sidecar_is_ready_once_its_list_is_confirmed_or_discovery_is_away() {
    let mut confirmed = host(false);
    assert!(!confirmed.can_serve(BEGAN));
    confirmed.list_confirmed(BEGAN + 100.0);
    assert!(confirmed.can_serve(BEGAN + 100.0));
    assert!(!confirmed.can_serve(BEGAN + 100.0 + TOLD_WITHIN + GRACE), "and not by an old list");
    let mut cut_off = host(false);
    cut_off.targets_failed(BEGAN + 1_000.0, CallEnd::Unreachable);
    assert!(cut_off.can_serve(BEGAN + 600_000.0));
    // That this machine could make no connection tells nothing of discovery.
    let mut short = host(false);
    short.list_confirmed(BEGAN);
    short.targets_failed(BEGAN + 1_000.0, CallEnd::NotMade);
    assert!(!short.can_serve(BEGAN + TOLD_WITHIN + GRACE));
}

/// Requests go on being served through an absence, and the log tells when the list was too old and when it was not.
#[test]
fn an_absence_that_begins_with_calls_that_wait_is_told_in_the_log() {
    let mut host = host(false);
    host.call_started(BEGAN, Some(1));
    host.tick(BEGAN + GRACE);
    host.targets_failed(BEGAN + 2_000.0, CallEnd::TurnedAway);
    host.tick(BEGAN + 5_000.0);
    let log = host.events.text();
    let expired = log.find("discovery list_expired unconfirmed_for=750").expect("it expired");
    let renewed = log.find("discovery list_renewed").expect("it holds again");
    assert!(expired < renewed, "{log}");
    assert_eq!(count(&host, "lists_expired"), 1);
    assert_eq!(count(&host, "discovery_call_ended_turned_away"), 1);
    orders(&mut host);
    ask(&mut host, BEGAN + 5_000.0);
    assert_eq!(orders(&mut host).0.len(), 1);
}

/// After a move nothing says that the list is still good, until the other discovery has been heard of.
#[test]
fn a_move_that_is_not_answered_ends_the_lease() {
    let mut host = host(false);
    host.list_confirmed(BEGAN);
    host.discovery_moved(BEGAN + 1_000.0, true);
    let end = BEGAN + 1_000.0 + 4_000.0 + GRACE;
    assert!(host.can_serve(end - 1.0) && !host.can_serve(end));
    host.list_confirmed(end);
    assert!(host.can_serve(end));
}
