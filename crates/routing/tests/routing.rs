//! The host with the decision module, without sockets: one answer for each flow, the rules on
//! repeats, and timers.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use roseproxy_decision::interface::{
    Class, Effect, Network, Outcome, Prices, Readiness, ServerId, Settings, Update,
};
use roseproxy_routing::discovery::CallEnd;
use roseproxy_routing::flow::{Answer, FlowId, ForwardEnd, ForwardId, NewFlow, Order, ProbeEnd, Target};
use roseproxy_routing::Host;
use std::collections::HashMap;

const QUOTE: usize = 0;
const PLACE_ORDER: usize = 1;

fn settings() -> Settings {
    let class = |effect| Class {
        latency_goal: 500_000,
        client_timeout: 2_000_000,
        worth: 1.0,
        late_worth: 0.0,
        effect,
    };
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        cancel: true,
        second_copies: true,
        probes: true,
        prices: Prices { probe: 0.01, ..Prices::default() },
        must_subscribe: true,
        max_retry_after: 1_000_000,
        answer_grace: 20_000,
        network: Network { max_open: 50, ..Network::default() },
        ..Settings::default()
    }
}

fn target(i: u64, readiness: Readiness) -> Target {
    let address = ([127, 0, 0, 1], 7000 + i as u16).into();
    let (id, started_at) = (ServerId(i), None);
    Target { id, address, zone: 0, cell: 0, kind: 0, power: 1.0, started_at, readiness }
}

struct Harness {
    clock: f64,
    host: Host,
    open_forwards: Vec<(ForwardId, ServerId)>,
    answers: HashMap<FlowId, Vec<Answer>>,
    stopped: Vec<ForwardId>,
    probes: Vec<ServerId>,
}

impl Harness {
    fn new() -> Harness {
        let clock = 1_000_000.0;
        let host = Host::new(settings(), 11, clock);
        let (open_forwards, answers, stopped, probes) = (Vec::new(), HashMap::new(), Vec::new(), Vec::new());
        let mut harness = Harness { clock, host, open_forwards, answers, stopped, probes };
        let group: Vec<Target> = (0..3).map(|i| target(i, Readiness::Ready)).collect();
        harness.host.update_targets(harness.clock, Update::Complete, &group);
        harness
    }

    fn now(&self) -> f64 {
        self.clock
    }

    fn wait(&mut self, millis: f64) {
        self.clock += millis;
        self.host.tick(self.now());
        self.collect_orders();
    }

    fn collect_orders(&mut self) {
        while let Some(order) = self.host.next_order() {
            match order {
                Order::Forward { id, target, .. } => self.open_forwards.push((id, target)),
                Order::GiveUp(id) => {
                    self.open_forwards.retain(|(o, _)| *o != id);
                    self.stopped.push(id);
                }
                Order::Answer(id, answer) => self.answers.entry(id).or_default().push(answer),
                Order::Probe(target, _) => self.probes.push(target),
                Order::GiveUpProbe(target) => self.probes.retain(|p| *p != target),
                Order::CloseIdle(_) | Order::Watch => {}
            }
        }
    }

    fn open_flow(&mut self, class: usize, time_left: f64) -> FlowId {
        let id =
            self.host.accept_request(self.now(), NewFlow { class, tenant: None, key: Some(5), time_left });
        self.collect_orders();
        id
    }

    fn end_forward(&mut self, id: ForwardId, end: ForwardEnd) {
        self.open_forwards.retain(|(o, _)| *o != id);
        self.host.forward_ended(self.now(), id, end, None);
        self.collect_orders();
    }

    fn answers(&self, id: FlowId) -> &[Answer] {
        self.answers.get(&id).map_or(&[], Vec::as_slice)
    }
}

#[test]
fn a_client_of_an_unresponsive_target_is_answered_in_time() {
    for class in [QUOTE, PLACE_ORDER] {
        let mut harness = Harness::new();
        let id = harness.open_flow(class, 600.0);
        assert_eq!(harness.open_forwards.len(), 1);
        harness.wait(585.0);
        assert_eq!(harness.answers(id).len(), 1, "no answer 15 ms before the client gives up");
        assert!(harness.open_forwards.is_empty(), "the forward is stopped with it");
        // A later end of the forward is ignored.
        harness
            .end_forward(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Served(Bytes::from_static(b"late")));
        assert_eq!(harness.answers(id).len(), 1);
    }
}

#[test]
fn an_unsafe_request_that_was_fully_written_is_failed_and_never_resent() {
    let mut harness = Harness::new();
    let id = harness.open_flow(PLACE_ORDER, 1000.0);
    harness.end_forward(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Failed(Outcome::Broken));
    assert_eq!(harness.answers(id), [Answer::Failed]);
    assert!(harness.open_forwards.is_empty());
}

#[test]
fn an_unsafe_request_that_never_ran_is_resent() {
    let mut harness = Harness::new();
    let id = harness.open_flow(PLACE_ORDER, 1000.0);
    harness.end_forward(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Failed(Outcome::Unreachable));
    assert_eq!(harness.open_forwards[0].0, ForwardId { flow: id, attempt: 1 });
}

#[test]
fn the_forwards_of_a_client_that_left_are_stopped_without_an_answer() {
    let mut harness = Harness::new();
    let id = harness.open_flow(QUOTE, 1000.0);
    harness.host.client_left(harness.now(), id);
    harness.collect_orders();
    assert_eq!(harness.stopped, [ForwardId { flow: id, attempt: 0 }]);
    harness.wait(2000.0);
    assert!(harness.answers(id).is_empty());
    assert_eq!(harness.host.open_flows(), 0);
}

#[test]
fn a_drain_notice_between_decision_and_send_stops_the_send() {
    let mut harness = Harness::new();
    harness.open_flow(QUOTE, 1900.0);
    let (id, to) = harness.open_forwards[0];
    assert!(harness.host.begin_write(harness.now(), id).is_some());
    harness.host.update_targets(harness.now(), Update::Changes, &[target(to.0, Readiness::Draining)]);
    assert!(harness.host.begin_write(harness.now(), id).is_some(), "a drain leaves some grace");
    harness.clock += 1000.0;
    assert!(harness.host.begin_write(harness.now(), id).is_none(), "and no more than that");
    harness.end_forward(id, ForwardEnd::Failed(Outcome::NotSent));
    let again: Vec<_> = harness.open_forwards.iter().map(|(_, to)| *to).collect();
    assert!(again.len() == 1 && again[0] != to, "it goes elsewhere: {again:?}");
}

#[test]
fn only_a_complete_list_removes_targets_it_does_not_name() {
    let mut harness = Harness::new();
    harness.host.update_targets(
        harness.now(),
        Update::Changes,
        &[target(0, Readiness::Gone), target(1, Readiness::Gone)],
    );
    assert!(harness.host.can_serve(harness.now()), "the third was not named and stays");
    harness.host.discovery_failed(harness.now(), CallEnd::Unreachable);
    assert!(harness.host.can_serve(harness.now()), "a failure changes nothing");
    harness.host.update_targets(harness.now(), Update::Complete, &[]);
    assert!(!harness.host.can_serve(harness.now()));
}

#[test]
fn flows_beyond_the_limit_are_refused_without_the_decision_module() {
    let mut harness = Harness::new();
    let ids: Vec<_> = (0..60).map(|_| harness.open_flow(PLACE_ORDER, 1000.0)).collect();
    assert!(harness.host.open_flows() <= 50);
    assert_eq!(harness.answers(ids[59]), [Answer::Refused { retry_after: 0.0 }]);
    let late = harness.open_flow(QUOTE, 5.0);
    assert!(matches!(harness.answers(late), [Answer::Refused { .. }]), "no time is left to serve it");
}

#[test]
fn an_unanswered_probe_times_out() {
    let mut harness = Harness::new();
    for _ in 0..40 {
        harness.open_flow(QUOTE, 1000.0);
    }
    let out = harness.probes.len();
    assert!(out > 0);
    harness.wait(301.0);
    assert!(harness.probes.is_empty(), "the probe is stopped");
    harness.host.probe_ended(harness.now(), ServerId(0), ProbeEnd { outcome: Outcome::Served, load: None });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request(bool, u8),
    EndForward(u8, u8),
    ClientLeaves(u8),
    Wait(u8),
    ChangeReadiness(u8, u8),
    DiscoveryFails,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Request(a > 127, b),
            3..=5 => Step::EndForward(a, b),
            6 => Step::ClientLeaves(a),
            7 => Step::ChangeReadiness(a, b),
            8 if a > 200 => Step::DiscoveryFails,
            _ => Step::Wait(a),
        }
    }
}

/// Property: for any interleaving of events, a flow gets one answer or its client left, a repeat is
/// sent only if its class allows it, and nothing is forwarded for a flow that has ended.
fn check_one_answer_each(steps: Vec<Step>) -> TestResult {
    let mut harness = Harness::new();
    let (mut flows, mut gone) = (Vec::new(), Vec::new());
    let mut may_have_run: HashMap<FlowId, bool> = HashMap::new();
    let mut seen = 0;
    for step in steps {
        match step {
            Step::Request(order, time) => {
                let class = if order { PLACE_ORDER } else { QUOTE };
                flows.push((harness.open_flow(class, f64::from(time) * 8.0), class));
            }
            Step::EndForward(which, choice) if !harness.open_forwards.is_empty() => {
                let (id, _) = harness.open_forwards[usize::from(which) % harness.open_forwards.len()];
                let end = match choice % 5 {
                    0 => ForwardEnd::Served(Bytes::from_static(b"priced")),
                    1 => ForwardEnd::Failed(Outcome::Broken),
                    2 => ForwardEnd::Failed(Outcome::Rejected),
                    3 => ForwardEnd::Failed(Outcome::Unreachable),
                    _ => ForwardEnd::Failed(Outcome::Error),
                };
                let ran = matches!(end.outcome(), Outcome::Broken | Outcome::Error | Outcome::Served);
                *may_have_run.entry(id.flow).or_default() |= ran;
                harness.end_forward(id, end);
            }
            Step::ClientLeaves(which) if !flows.is_empty() => {
                let (id, _) = flows[usize::from(which) % flows.len()];
                if harness.answers(id).is_empty() && !gone.contains(&id) {
                    gone.push(id);
                }
                harness.host.client_left(harness.now(), id);
                harness.collect_orders();
            }
            Step::Wait(time) => harness.wait(f64::from(time)),
            Step::ChangeReadiness(which, choice) => {
                let readiness =
                    [Readiness::Ready, Readiness::Draining, Readiness::Gone][usize::from(choice) % 3];
                harness.host.update_targets(
                    harness.now(),
                    Update::Changes,
                    &[target(u64::from(which) % 3, readiness)],
                );
                harness.collect_orders();
            }
            Step::DiscoveryFails => {
                harness.host.discovery_failed(harness.now(), CallEnd::Unreachable);
                harness.collect_orders();
            }
            Step::EndForward(..) | Step::ClientLeaves(_) => {}
        }
        for (id, _) in &harness.open_forwards[seen.min(harness.open_forwards.len())..] {
            let class = flows.iter().find(|(f, _)| *f == id.flow).map(|(_, c)| *c);
            if class == Some(PLACE_ORDER) && id.attempt > 0 && may_have_run.get(&id.flow) == Some(&true) {
                return TestResult::error(format!("{id:?} runs twice"));
            }
        }
        seen = harness.open_forwards.len();
        if let Some((id, _)) =
            harness.open_forwards.iter().find(|(id, _)| !harness.answers(id.flow).is_empty())
        {
            return TestResult::error(format!("{id:?} is out for a flow that has its answer"));
        }
    }
    harness.wait(60_000.0);
    for (id, class) in flows {
        let answers = harness.answers(id);
        if answers.len() + usize::from(gone.contains(&id)) != 1 {
            return TestResult::error(format!("flow {id} has {answers:?}"));
        }
        let refused = matches!(answers, [Answer::Refused { .. }]);
        if refused && class == PLACE_ORDER && may_have_run.get(&id) == Some(&true) {
            return TestResult::error(format!("flow {id} may have run and is refused"));
        }
    }
    TestResult::from_bool(harness.host.open_flows() == 0)
}

#[test]
fn every_race_ends_in_one_answer() {
    let rng = Gen::from_size_and_seed(120, 0xf10e);
    QuickCheck::new().rng(rng).tests(400).quickcheck(check_one_answer_each as fn(Vec<Step>) -> TestResult);
}

/// Guards against memory that grows without end: clients give their requests much time and get their answers at once,
/// and each request left its timers behind until that time was over.
#[test]
fn requests_that_have_ended_leave_no_timers_behind() {
    const REQUESTS: usize = 50_000;
    /// Timers of the requests that are open at once, and those that are kept until pruning is worth its cost.
    const MOST_TIMERS: u64 = 2_500;
    let timers = |harness: &Harness| {
        let gauges = harness.host.snapshot();
        gauges.iter().find(|(name, _)| name == "timers_set").expect("a gauge").1
    };
    let mut harness = Harness::new();
    let waiting = harness.open_flow(QUOTE, 59_000.0);
    let mut most = 0;
    for _ in 0..REQUESTS {
        let id = harness.open_flow(QUOTE, 60_000.0);
        let attempt = harness.open_forwards.iter().find(|(forward, _)| forward.flow == id).map(|(id, _)| *id);
        if let Some(attempt) = attempt {
            harness.end_forward(attempt, ForwardEnd::Served(Bytes::from_static(b"ok")));
        }
        harness.wait(0.1);
        most = most.max(timers(&harness));
    }
    assert!(most <= MOST_TIMERS, "{most} timers after {REQUESTS} requests, one of them open");
    // The timers of a request that is still open are kept.
    harness.wait(59_000.0);
    assert_eq!(harness.answers(waiting).len(), 1, "answered at its time limit");
}
