//! The four rules, event by event: no request lost, no effect twice, drains kept, no cold server
//! pushed over.

mod common;
use common::*;
use roseproxy_decision::interface::*;

const SAFE: ClassId = 0;
const UNSAFE: ClassId = 1;
const ALL: ClassId = 2;
const ZONE: ClassId = 3;
const CELL: ClassId = 4;

const NEVER_RAN: [Outcome; 3] = [Outcome::Rejected, Outcome::Unreachable, Outcome::NotSent];
const MAY_HAVE_RUN: [Outcome; 4] = [Outcome::Error, Outcome::TimedOut, Outcome::Broken, Outcome::Cancelled];

/// Sends one request and ends its first attempt; returns the first server and what followed.
fn after_first(class: ClassId, outcome: Outcome, seed: u64, wait: Micros) -> (u64, Vec<Action>) {
    let mut d = Driver::new(settings(), seed, 16);
    let first = sent(&d.request(1, class))[0];
    d.wait(wait);
    (first, d.end(1, 0, first, outcome))
}

#[test]
fn an_answer_that_was_passed_on_ends_the_request() {
    for class in SAFE..=CELL {
        let (_, actions) = after_first(class, Outcome::Served, 1, 1000);
        assert!(actions.is_empty(), "class {class}: {actions:?}");
    }
}

#[test]
fn what_never_ran_goes_elsewhere_in_every_class() {
    for class in SAFE..=CELL {
        for outcome in NEVER_RAN {
            let (first, actions) = after_first(class, outcome, 3, 1000);
            let next = sent(&actions);
            assert_eq!(next.len(), 1, "class {class}, {outcome:?}");
            assert_ne!(next[0], first);
        }
    }
}

#[test]
fn unsafe_work_that_may_have_run_is_failed_never_sent_or_refused() {
    for outcome in MAY_HAVE_RUN {
        let (_, actions) = after_first(UNSAFE, outcome, 3, 1000);
        assert!(sent(&actions).is_empty() && failed(&actions) && !refused(&actions), "{outcome:?}");
    }
}

#[test]
fn keyed_work_repeats_only_inside_its_group_and_window() {
    for seed in 0..200 {
        for outcome in MAY_HAVE_RUN {
            let (first, actions) = after_first(CELL, outcome, seed, 1000);
            assert!(sent(&actions).iter().all(|s| s / 2 == first / 2 && *s != first), "{actions:?}");
            assert!(!refused(&actions));
            let (first, actions) = after_first(ZONE, outcome, seed, 1000);
            assert_eq!(sent(&actions).len(), 1);
            assert!(sent(&actions).iter().all(|s| s / 4 == first / 4 && *s != first), "{actions:?}");
            for class in [ALL, ZONE, CELL] {
                let (_, actions) = after_first(class, outcome, seed, 700_000);
                assert!(sent(&actions).is_empty(), "the window is over");
                assert_eq!(refused(&actions), class == ALL, "only the group of all may be refused");
                assert_eq!(answers(&actions), 1);
            }
        }
    }
}

#[test]
fn a_keyed_repeat_has_nowhere_to_go_when_its_cell_is_gone() {
    for seed in 0..50 {
        let mut d = Driver::new(settings(), seed, 8);
        let first = sent(&d.request(1, CELL))[0];
        d.change(first ^ 1, Readiness::Draining);
        let actions = d.wait(1000).end(1, 0, first, Outcome::TimedOut);
        assert!(sent(&actions).is_empty() && failed(&actions) && !refused(&actions), "{actions:?}");
    }
}

#[test]
fn without_second_copies_nothing_goes_out_while_an_attempt_is_pending() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(Settings { second_copies: false, ..settings() }, 9, 8);
        let mut tokens = Vec::new();
        for id in 1..40 {
            tokens.extend(timers(&d.request(id, class)));
        }
        for (token, _) in tokens {
            assert!(sent(&d.wait(50_000).timer(token)).is_empty());
        }
    }
}

#[test]
fn a_second_copy_is_sent_once_overdue_where_the_class_allows_it() {
    for (class, allowed) in [(SAFE, true), (UNSAFE, false), (ALL, true), (ZONE, true), (CELL, true)] {
        let mut d = Driver::new(settings(), 5, 8);
        let actions = d.request(1, class);
        let first = sent(&actions)[0];
        let again = timers(&actions);
        assert_eq!(again.len(), usize::from(allowed), "class {class}");
        for (token, after) in again {
            let copy = d.wait(after).timer(token);
            assert_eq!(sent(&copy).len(), 1);
            assert_ne!(sent(&copy)[0], first);
            // The copy is answered: what is still out is cancelled, and nothing more is owed.
            let end = d.wait(1000).end(1, 1, sent(&copy)[0], Outcome::Served);
            assert_eq!(end, vec![Action::Cancel { request: 1, attempt: 0 }]);
            assert!(d.end(1, 0, first, Outcome::Cancelled).is_empty());
        }
    }
}

#[test]
fn attempts_stay_under_the_limit() {
    let mut d = Driver::new(settings(), 5, 16);
    for id in 1..200 {
        let (mut at, mut attempts) = (sent(&d.request(id, SAFE)), 0);
        while let Some(&server) = at.first() {
            attempts += 1;
            let actions = d.wait(100).end(id, attempts - 1, server, Outcome::Rejected);
            at = sent(&actions);
            assert_eq!(answers(&actions), usize::from(at.is_empty()), "one answer when no more is sent");
        }
        assert!(attempts <= 4);
        d.wait(20_000);
    }
}

#[test]
fn the_time_out_at_the_deadline_gets_its_answer_at_once() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(settings(), 2, 8);
        let first = sent(&d.request_in(1, class, 400_000))[0];
        let actions = d.wait(400_000).end_after(1, 0, first, Outcome::TimedOut, 400_000, None);
        assert!(sent(&actions).is_empty(), "class {class}: too late to send");
        assert_eq!(answers(&actions), 1, "class {class}");
        assert_eq!(refused(&actions), matches!(class, SAFE | ALL));
    }
}

#[test]
fn a_request_without_servers_waits_for_one_and_is_refused_in_time() {
    let mut d = Driver::new(settings(), 1, 0);
    let held = d.request(1, UNSAFE);
    assert!(sent(&held).is_empty() && answers(&held) == 0);
    let (token, after) = timers(&held)[0];
    assert!(after <= 1_200_000);
    let also = d.request(2, UNSAFE);
    assert_eq!(sent(&d.wait(1000).list(Update::Changes, &[server(1)])), vec![1, 1]);
    assert!(d.wait(after).timer(token).is_empty(), "it has an attempt out by now");
    assert_eq!(timers(&also).len(), 1);

    let mut d = Driver::new(settings(), 1, 0);
    let (token, after) = timers(&d.request(1, UNSAFE))[0];
    let actions = d.wait(after).timer(token);
    assert!(refused(&actions) && answers(&actions) == 1);
    assert!(d.list(Update::Changes, &[server(1)]).is_empty(), "nothing is sent after the answer");
}

#[test]
fn an_expired_request_is_over() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(settings(), 2, 8);
        let first = sent(&d.request(1, class))[0];
        let expired = d.wait(1000).event(Event::Expired { request: 1 });
        assert_eq!(expired, vec![Action::Cancel { request: 1, attempt: 0 }]);
        for outcome in NEVER_RAN.into_iter().chain(MAY_HAVE_RUN) {
            assert!(d.end(1, 0, first, outcome).is_empty());
        }
        assert!(d.event(Event::Expired { request: 1 }).is_empty());
    }
}

#[test]
fn no_time_left_is_refused_at_once() {
    for time_left in [0, -5, Micros::MIN] {
        let actions = Driver::new(settings(), 2, 8).request_in(1, UNSAFE, time_left);
        assert!(refused(&actions) && sent(&actions).is_empty());
    }
}

#[test]
fn a_started_stream_is_left_alone() {
    let mut d = Driver::new(settings(), 2, 8);
    let actions = d.request(1, SAFE);
    d.event(Event::Opened { request: 1 });
    for (token, after) in timers(&actions) {
        assert!(d.wait(after).timer(token).is_empty());
    }
    assert!(d.event(Event::Expired { request: 1 }).is_empty(), "no cancel once the stream has started");
}

#[test]
fn nothing_new_goes_to_draining_or_gone_servers() {
    for readiness in [Readiness::Draining, Readiness::Gone] {
        let mut d = Driver::new(settings(), 4, 8);
        d.change(3, readiness);
        // A complete list without servers 6 and 7: these are gone too.
        let rest: Vec<Server> = [0, 1, 2, 4, 5].map(server).to_vec();
        d.list(Update::Complete, &rest);
        let mut to = Vec::new();
        for id in 1..300 {
            let actions = d.wait(5_000).request(id, id as usize % 5);
            to.extend(sent(&actions));
            for s in sent(&actions) {
                to.extend(sent(&d.end_all(id, s, 0, Outcome::Rejected, 10_000, None)));
            }
        }
        assert!(to.len() > 300, "{}", to.len());
        assert!(to.iter().all(|s| rest.iter().any(|r| r.id.0 == *s)), "{to:?}");
        // When all drain, even the last resort keeps the rule.
        d.list(Update::Changes, &rest.map_drain());
        for id in 300..330 {
            assert!(sent(&d.request(id, SAFE)).is_empty());
        }
    }
}

trait Drained {
    fn map_drain(&self) -> Vec<Server>;
}

impl Drained for Vec<Server> {
    fn map_drain(&self) -> Vec<Server> {
        self.iter().map(|s| Server { readiness: Readiness::Draining, ..s.clone() }).collect()
    }
}

#[test]
fn a_failed_call_keeps_the_list_in_hand() {
    let mut d = Driver::new(Settings { must_subscribe: true, ..settings() }, 4, 4);
    d.list(Update::Failed, &[]);
    assert_eq!(sent(&d.request(1, SAFE)).len(), 1);
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_and_again_after_failures() {
    let settings = Settings { must_subscribe: true, ask_within: 10_000_000, ..settings() };
    let mut delays = Vec::new();
    for seed in 0..50 {
        let mut d = Driver::new(settings.clone(), seed, 0);
        let start = d.list(Update::Complete, &[server(1)]);
        let first = timers(&start);
        // The driver's own first list has set a timer already; one more before the call sets none.
        assert!(first.is_empty());
        let mut d = Driver {
            balancer: roseproxy_decision::policy::Balancer::new(settings.clone(), seed, START),
            now: START,
        };
        let (token, after) = timers(&d.list(Update::Complete, &[server(1)]))[0];
        assert!(after <= 2_000_000);
        delays.push(after);
        assert_eq!(d.wait(after).timer(token), vec![Action::Subscribe]);
        for _ in 0..6 {
            let (token, after) = timers(&d.list(Update::Failed, &[]))[0];
            assert!(after <= 10_000_000, "within the time after which it counts as told");
            assert_eq!(d.wait(after).timer(token), vec![Action::Subscribe]);
        }
        assert!(d.list(Update::Changes, &[server(2)]).is_empty(), "subscribed");
        assert!(d.list(Update::Complete, &[server(2)]).is_empty(), "a gap brings a complete list");
        assert_eq!(timers(&d.list(Update::Failed, &[])).len(), 1, "the subscription broke");
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 40, "instances do not ask in step");
}

#[test]
fn a_pushed_list_is_never_asked_for() {
    let mut d = Driver::new(settings(), 1, 4);
    assert!(d.list(Update::Changes, &[server(5)]).is_empty());
}

#[test]
fn a_cold_server_gets_less_than_its_warm_share_however_empty_it_is() {
    let mut d = Driver::new(settings(), 6, 8);
    for id in 1..200 {
        let s = sent(&d.wait(5_000).request(id, SAFE))[0];
        d.wait(10_000).end_after(id, 0, s, Outcome::Served, 10_000, held(6.0));
    }
    // Restarts under its id: empty, and all balancers see that at once.
    let cold = Server { started_at: Some(d.now), ..server(3) };
    d.list(Update::Changes, &[cold]);
    let mut to_cold = 0;
    for id in 1000..2000 {
        let s = sent(&d.wait(500).request(id, SAFE))[0];
        to_cold += u64::from(s == 3);
        let load = if s == 3 { 0.0 } else { 6.0 };
        d.wait(500).end_after(id, 0, s, Outcome::Served, 10_000, held(load));
    }
    // 1/8 would be fair to a warm one; it can do 0.3 to 0.37 of that, and takes no more than that.
    assert!((5..60).contains(&to_cold), "{to_cold} of 1000");
}
