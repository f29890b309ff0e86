//! The host round the module, without a socket: one answer for each flow, rules, timers.

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

struct Rig {
    clock: f64,
    host: Host,
    out: Vec<(ForwardId, ServerId)>,
    answers: HashMap<FlowId, Vec<Answer>>,
    given_up: Vec<ForwardId>,
    probes: Vec<ServerId>,
}

impl Rig {
    fn new() -> Rig {
        let clock = 1_000_000.0;
        let host = Host::new(settings(), 11, clock);
        let (out, answers, given_up, probes) = (Vec::new(), HashMap::new(), Vec::new(), Vec::new());
        let mut rig = Rig { clock, host, out, answers, given_up, probes };
        let group: Vec<Target> = (0..3).map(|i| target(i, Readiness::Ready)).collect();
        rig.host.targets(rig.clock, Update::Complete, &group);
        rig
    }

    fn now(&self) -> f64 {
        self.clock
    }

    fn wait(&mut self, millis: f64) {
        self.clock += millis;
        self.host.tick(self.now());
        self.orders();
    }

    fn orders(&mut self) {
        while let Some(order) = self.host.next_order() {
            match order {
                Order::Forward { id, target, .. } => self.out.push((id, target)),
                Order::GiveUp(id) => {
                    self.out.retain(|(o, _)| *o != id);
                    self.given_up.push(id);
                }
                Order::Answer(id, answer) => self.answers.entry(id).or_default().push(answer),
                Order::Probe(target, _) => self.probes.push(target),
                Order::GiveUpProbe(target) => self.probes.retain(|p| *p != target),
                Order::CloseIdle(_) | Order::Watch => {}
            }
        }
    }

    fn flow(&mut self, class: usize, time_left: f64) -> FlowId {
        let id = self.host.take_in(self.now(), NewFlow { class, tenant: None, key: Some(5), time_left });
        self.orders();
        id
    }

    fn end(&mut self, id: ForwardId, end: ForwardEnd) {
        self.out.retain(|(o, _)| *o != id);
        self.host.forward_ended(self.now(), id, end, None);
        self.orders();
    }

    fn answers(&self, id: FlowId) -> &[Answer] {
        self.answers.get(&id).map_or(&[], Vec::as_slice)
    }
}

#[test]
fn a_silent_target_still_leaves_the_client_an_answer_in_time() {
    for class in [QUOTE, PLACE_ORDER] {
        let mut rig = Rig::new();
        let id = rig.flow(class, 600.0);
        assert_eq!(rig.out.len(), 1);
        rig.wait(585.0);
        assert_eq!(rig.answers(id).len(), 1, "no answer 15 ms before the client gives up");
        assert!(rig.out.is_empty(), "the forward is given up with it");
        // What comes after that is not heard.
        rig.end(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Served(Bytes::from_static(b"late")));
        assert_eq!(rig.answers(id).len(), 1);
    }
}

#[test]
fn unsafe_work_whose_last_byte_went_out_is_failed_and_never_sent_again() {
    let mut rig = Rig::new();
    let id = rig.flow(PLACE_ORDER, 1000.0);
    rig.end(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Lost(Outcome::Broken));
    assert_eq!(rig.answers(id), [Answer::Failed]);
    assert!(rig.out.is_empty());
}

#[test]
fn unsafe_work_that_never_ran_goes_out_again() {
    let mut rig = Rig::new();
    let id = rig.flow(PLACE_ORDER, 1000.0);
    rig.end(ForwardId { flow: id, attempt: 0 }, ForwardEnd::Lost(Outcome::Unreachable));
    assert_eq!(rig.out[0].0, ForwardId { flow: id, attempt: 1 });
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_forwards_are_given_up() {
    let mut rig = Rig::new();
    let id = rig.flow(QUOTE, 1000.0);
    rig.host.client_gone(rig.now(), id);
    rig.orders();
    assert_eq!(rig.given_up, [ForwardId { flow: id, attempt: 0 }]);
    rig.wait(2000.0);
    assert!(rig.answers(id).is_empty());
    assert_eq!(rig.host.open_flows(), 0);
}

#[test]
fn word_of_a_departure_between_decision_and_send_stops_the_send() {
    let mut rig = Rig::new();
    rig.flow(QUOTE, 1900.0);
    let (id, to) = rig.out[0];
    assert!(rig.host.begin_write(rig.now(), id).is_some());
    rig.host.targets(rig.now(), Update::Changes, &[target(to.0, Readiness::Draining)]);
    assert!(rig.host.begin_write(rig.now(), id).is_some(), "a drain leaves some grace");
    rig.clock += 1000.0;
    assert!(rig.host.begin_write(rig.now(), id).is_none(), "and no more than that");
    rig.end(id, ForwardEnd::Lost(Outcome::NotSent));
    let again: Vec<_> = rig.out.iter().map(|(_, to)| *to).collect();
    assert!(again.len() == 1 && again[0] != to, "it goes elsewhere: {again:?}");
}

#[test]
fn only_a_complete_list_removes_the_absent() {
    let mut rig = Rig::new();
    rig.host.targets(rig.now(), Update::Changes, &[target(0, Readiness::Gone), target(1, Readiness::Gone)]);
    assert!(rig.host.can_serve(rig.now()), "the third was not named and stays");
    rig.host.targets_failed(rig.now(), CallEnd::Unreachable);
    assert!(rig.host.can_serve(rig.now()), "a failure changes nothing");
    rig.host.targets(rig.now(), Update::Complete, &[]);
    assert!(!rig.host.can_serve(rig.now()));
}

#[test]
fn more_flows_than_the_platform_allows_are_refused_unseen() {
    let mut rig = Rig::new();
    let ids: Vec<_> = (0..60).map(|_| rig.flow(PLACE_ORDER, 1000.0)).collect();
    assert!(rig.host.open_flows() <= 50);
    assert_eq!(rig.answers(ids[59]), [Answer::Refused { retry_after: 0.0 }]);
    let late = rig.flow(QUOTE, 5.0);
    assert!(matches!(rig.answers(late), [Answer::Refused { .. }]), "no time is left to serve it");
}

#[test]
fn a_probe_without_an_answer_ends() {
    let mut rig = Rig::new();
    for _ in 0..40 {
        rig.flow(QUOTE, 1000.0);
    }
    let out = rig.probes.len();
    assert!(out > 0);
    rig.wait(301.0);
    assert!(rig.probes.is_empty(), "given up");
    rig.host.probe_ended(rig.now(), ServerId(0), ProbeEnd { outcome: Outcome::Served, load: None });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Take(bool, u8),
    End(u8, u8),
    Leave(u8),
    Wait(u8),
    Turn(u8, u8),
    Fail,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Take(a > 127, b),
            3..=5 => Step::End(a, b),
            6 => Step::Leave(a),
            7 => Step::Turn(a, b),
            8 if a > 200 => Step::Fail,
            _ => Step::Wait(a),
        }
    }
}

/// Whatever races whatever: a flow has one answer or its client left, a repeat comes only where the
/// class allows it, and nothing is forwarded for a flow that is over.
fn one_answer_each(steps: Vec<Step>) -> TestResult {
    let mut rig = Rig::new();
    let (mut flows, mut gone) = (Vec::new(), Vec::new());
    let mut may_have_run: HashMap<FlowId, bool> = HashMap::new();
    let mut seen = 0;
    for step in steps {
        match step {
            Step::Take(order, time) => {
                let class = if order { PLACE_ORDER } else { QUOTE };
                flows.push((rig.flow(class, f64::from(time) * 8.0), class));
            }
            Step::End(which, how) if !rig.out.is_empty() => {
                let (id, _) = rig.out[usize::from(which) % rig.out.len()];
                let end = match how % 5 {
                    0 => ForwardEnd::Served(Bytes::from_static(b"priced")),
                    1 => ForwardEnd::Lost(Outcome::Broken),
                    2 => ForwardEnd::Lost(Outcome::Rejected),
                    3 => ForwardEnd::Lost(Outcome::Unreachable),
                    _ => ForwardEnd::Lost(Outcome::Error),
                };
                let ran = matches!(end.outcome(), Outcome::Broken | Outcome::Error | Outcome::Served);
                *may_have_run.entry(id.flow).or_default() |= ran;
                rig.end(id, end);
            }
            Step::Leave(which) if !flows.is_empty() => {
                let (id, _) = flows[usize::from(which) % flows.len()];
                if rig.answers(id).is_empty() && !gone.contains(&id) {
                    gone.push(id);
                }
                rig.host.client_gone(rig.now(), id);
                rig.orders();
            }
            Step::Wait(time) => rig.wait(f64::from(time)),
            Step::Turn(which, how) => {
                let readiness =
                    [Readiness::Ready, Readiness::Draining, Readiness::Gone][usize::from(how) % 3];
                rig.host.targets(rig.now(), Update::Changes, &[target(u64::from(which) % 3, readiness)]);
                rig.orders();
            }
            Step::Fail => {
                rig.host.targets_failed(rig.now(), CallEnd::Unreachable);
                rig.orders();
            }
            Step::End(..) | Step::Leave(_) => {}
        }
        for (id, _) in &rig.out[seen.min(rig.out.len())..] {
            let class = flows.iter().find(|(f, _)| *f == id.flow).map(|(_, c)| *c);
            if class == Some(PLACE_ORDER) && id.attempt > 0 && may_have_run.get(&id.flow) == Some(&true) {
                return TestResult::error(format!("{id:?} runs twice"));
            }
        }
        seen = rig.out.len();
        if let Some((id, _)) = rig.out.iter().find(|(id, _)| !rig.answers(id.flow).is_empty()) {
            return TestResult::error(format!("{id:?} is out for a flow that has its answer"));
        }
    }
    rig.wait(60_000.0);
    for (id, class) in flows {
        let answers = rig.answers(id);
        if answers.len() + usize::from(gone.contains(&id)) != 1 {
            return TestResult::error(format!("flow {id} has {answers:?}"));
        }
        let refused = matches!(answers, [Answer::Refused { .. }]);
        if refused && class == PLACE_ORDER && may_have_run.get(&id) == Some(&true) {
            return TestResult::error(format!("flow {id} may have run and is refused"));
        }
    }
    TestResult::from_bool(rig.host.open_flows() == 0)
}

#[test]
fn every_race_leaves_one_answer() {
    let rng = Gen::from_size_and_seed(120, 0xf10e);
    QuickCheck::new().rng(rng).tests(400).quickcheck(one_answer_each as fn(Vec<Step>) -> TestResult);
}
