//! The four rules, event by event: no request is lost, no effect happens twice, draining servers get no new
//! requests, and no cold server is overloaded.

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

/// Sends one request and ends its first attempt. Returns the server of the first attempt and the actions
/// after its end.
fn end_first_attempt(class: ClassId, outcome: Outcome, seed: u64, wait: Micros) -> (u64, Vec<Action>) {
    let mut d = Driver::new(settings(), seed, 16);
    let first = sent_to(&d.request(1, class))[0];
    d.advance(wait);
    (first, d.end_attempt(1, 0, first, outcome))
}

#[test]
fn a_served_attempt_ends_the_request() {
    for class in SAFE..=CELL {
        let (_, actions) = end_first_attempt(class, Outcome::Served, 1, 1000);
        assert!(actions.is_empty(), "class {class}: {actions:?}");
    }
}

#[test]
fn a_request_that_never_ran_goes_to_another_server_in_every_class() {
    for class in SAFE..=CELL {
        for outcome in NEVER_RAN {
            let (first, actions) = end_first_attempt(class, outcome, 3, 1000);
            let next = sent_to(&actions);
            assert_eq!(next.len(), 1, "class {class}, {outcome:?}");
            assert_ne!(next[0], first);
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_neither_repeated_nor_refused() {
    for outcome in MAY_HAVE_RUN {
        let (_, actions) = end_first_attempt(UNSAFE, outcome, 3, 1000);
        assert!(sent_to(&actions).is_empty() && failed(&actions) && !refused(&actions), "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_repeated_only_inside_its_group_and_window() {
    for seed in 0..200 {
        for outcome in MAY_HAVE_RUN {
            let (first, actions) = end_first_attempt(CELL, outcome, seed, 1000);
            assert!(sent_to(&actions).iter().all(|s| s / 2 == first / 2 && *s != first), "{actions:?}");
            assert!(!refused(&actions));
            let (first, actions) = end_first_attempt(ZONE, outcome, seed, 1000);
            assert_eq!(sent_to(&actions).len(), 1);
            assert!(sent_to(&actions).iter().all(|s| s / 4 == first / 4 && *s != first), "{actions:?}");
            for class in [ALL, ZONE, CELL] {
                let (_, actions) = end_first_attempt(class, outcome, seed, 700_000);
                assert!(sent_to(&actions).is_empty(), "the window is over");
                assert_eq!(
                    refused(&actions),
                    class == ALL,
                    "only requests of the group of all servers may be refused"
                );
                assert_eq!(final_answers(&actions), 1);
            }
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_when_its_cell_has_no_other_server() {
    for seed in 0..50 {
        let mut d = Driver::new(settings(), seed, 8);
        let first = sent_to(&d.request(1, CELL))[0];
        d.change_readiness(first ^ 1, Readiness::Draining);
        let actions = d.advance(1000).end_attempt(1, 0, first, Outcome::TimedOut);
        assert!(sent_to(&actions).is_empty() && failed(&actions) && !refused(&actions), "{actions:?}");
    }
}

#[test]
fn without_second_copies_nothing_is_sent_while_an_attempt_is_in_flight() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(Settings { second_copies: false, ..settings() }, 9, 8);
        let mut tokens = Vec::new();
        for id in 1..40 {
            tokens.extend(timers(&d.request(id, class)));
        }
        for (token, _) in tokens {
            assert!(sent_to(&d.advance(50_000).expire_timer(token)).is_empty());
        }
    }
}

#[test]
fn a_second_copy_of_an_overdue_request_is_sent_where_the_class_allows_it() {
    for (class, allowed) in [(SAFE, true), (UNSAFE, false), (ALL, true), (ZONE, true), (CELL, true)] {
        let mut d = Driver::new(settings(), 5, 8);
        let actions = d.request(1, class);
        let first = sent_to(&actions)[0];
        let again = timers(&actions);
        assert_eq!(again.len(), usize::from(allowed), "class {class}");
        for (token, after) in again {
            let copy = d.advance(after).expire_timer(token);
            assert_eq!(sent_to(&copy).len(), 1);
            assert_ne!(sent_to(&copy)[0], first);
            // The copy is answered: the first attempt is cancelled, and no further answer is due.
            let end = d.advance(1000).end_attempt(1, 1, sent_to(&copy)[0], Outcome::Served);
            assert_eq!(end, vec![Action::Cancel { request: 1, attempt: 0 }]);
            assert!(d.end_attempt(1, 0, first, Outcome::Cancelled).is_empty());
        }
    }
}

#[test]
fn attempts_stay_under_the_limit() {
    let mut d = Driver::new(settings(), 5, 16);
    for id in 1..200 {
        let (mut at, mut attempts) = (sent_to(&d.request(id, SAFE)), 0);
        while let Some(&server) = at.first() {
            attempts += 1;
            let actions = d.advance(100).end_attempt(id, attempts - 1, server, Outcome::Rejected);
            at = sent_to(&actions);
            assert_eq!(
                final_answers(&actions),
                usize::from(at.is_empty()),
                "one answer when no more is sent"
            );
        }
        assert!(attempts <= 4);
        d.advance(20_000);
    }
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(settings(), 2, 8);
        let first = sent_to(&d.request_with_time_left(1, class, 400_000))[0];
        let actions = d.advance(400_000).end_attempt_after(1, 0, first, Outcome::TimedOut, 400_000, None);
        assert!(sent_to(&actions).is_empty(), "class {class}: too late to send");
        assert_eq!(final_answers(&actions), 1, "class {class}");
        assert_eq!(refused(&actions), matches!(class, SAFE | ALL));
    }
}

#[test]
fn a_request_without_servers_waits_for_one_and_is_refused_before_its_deadline() {
    let mut d = Driver::new(settings(), 1, 0);
    let held = d.request(1, UNSAFE);
    assert!(sent_to(&held).is_empty() && final_answers(&held) == 0);
    let (token, after) = timers(&held)[0];
    assert!(after <= 1_200_000);
    let also = d.request(2, UNSAFE);
    assert_eq!(sent_to(&d.advance(1000).update_list(Update::Changes, &[server(1)])), vec![1, 1]);
    assert!(d.advance(after).expire_timer(token).is_empty(), "it has an attempt in flight by now");
    assert_eq!(timers(&also).len(), 1);

    let mut d = Driver::new(settings(), 1, 0);
    let (token, after) = timers(&d.request(1, UNSAFE))[0];
    let actions = d.advance(after).expire_timer(token);
    assert!(refused(&actions) && final_answers(&actions) == 1);
    assert!(d.update_list(Update::Changes, &[server(1)]).is_empty(), "nothing is sent after the answer");
}

#[test]
fn a_request_ends_when_its_client_leaves() {
    for class in SAFE..=CELL {
        let mut d = Driver::new(settings(), 2, 8);
        let first = sent_to(&d.request(1, class))[0];
        let actions = d.advance(1000).event(Event::ClientLeft { request: 1 });
        assert_eq!(actions, vec![Action::Cancel { request: 1, attempt: 0 }]);
        for outcome in NEVER_RAN.into_iter().chain(MAY_HAVE_RUN) {
            assert!(d.end_attempt(1, 0, first, outcome).is_empty());
        }
        assert!(d.event(Event::ClientLeft { request: 1 }).is_empty());
    }
}

#[test]
fn a_request_with_no_time_left_is_refused_at_once() {
    for time_left in [0, -5, Micros::MIN] {
        let actions = Driver::new(settings(), 2, 8).request_with_time_left(1, UNSAFE, time_left);
        assert!(refused(&actions) && sent_to(&actions).is_empty());
    }
}

#[test]
fn a_started_stream_is_neither_repeated_nor_cancelled() {
    let mut d = Driver::new(settings(), 2, 8);
    let actions = d.request(1, SAFE);
    d.event(Event::StreamStarted { request: 1 });
    for (token, after) in timers(&actions) {
        assert!(d.advance(after).expire_timer(token).is_empty());
    }
    assert!(d.event(Event::ClientLeft { request: 1 }).is_empty(), "no cancel once the stream has started");
}

#[test]
fn nothing_new_goes_to_draining_or_gone_servers() {
    for readiness in [Readiness::Draining, Readiness::Gone] {
        let mut d = Driver::new(settings(), 4, 8);
        d.change_readiness(3, readiness);
        // A complete list without servers 6 and 7, which are thereby gone too.
        let rest: Vec<Server> = [0, 1, 2, 4, 5].map(server).to_vec();
        d.update_list(Update::Complete, &rest);
        let mut to = Vec::new();
        for id in 1..300 {
            let actions = d.advance(5_000).request(id, id as usize % 5);
            to.extend(sent_to(&actions));
            for s in sent_to(&actions) {
                to.extend(sent_to(&d.end_all_attempts(id, s, 0, Outcome::Rejected, 10_000, None)));
            }
        }
        assert!(to.len() > 300, "{}", to.len());
        assert!(to.iter().all(|s| rest.iter().any(|r| r.id.0 == *s)), "{to:?}");
        // When all servers drain, none is used as a last resort.
        d.update_list(Update::Changes, &rest.drain_all());
        for id in 300..330 {
            assert!(sent_to(&d.request(id, SAFE)).is_empty());
        }
    }
}

trait DrainAll {
    fn drain_all(&self) -> Vec<Server>;
}

impl DrainAll for Vec<Server> {
    fn drain_all(&self) -> Vec<Server> {
        self.iter().map(|s| Server { readiness: Readiness::Draining, ..s.clone() }).collect()
    }
}

#[test]
fn a_failed_call_keeps_the_current_list() {
    let mut d = Driver::new(Settings { must_subscribe: true, ..settings() }, 4, 4);
    d.update_list(Update::Failed, &[]);
    assert_eq!(sent_to(&d.request(1, SAFE)).len(), 1);
}

#[test]
fn a_list_that_must_be_requested_is_requested_and_again_after_failures() {
    let settings = Settings { must_subscribe: true, max_poll_interval: 10_000_000, ..settings() };
    let mut delays = Vec::new();
    for seed in 0..50 {
        let mut d = Driver::new(settings.clone(), seed, 0);
        let start = d.update_list(Update::Complete, &[server(1)]);
        let first = timers(&start);
        // The driver's first list has already set a timer; another list before the call sets none.
        assert!(first.is_empty());
        let mut d = Driver {
            balancer: roseproxy_decision::policy::Balancer::new(settings.clone(), seed, START),
            now: START,
        };
        let (token, after) = timers(&d.update_list(Update::Complete, &[server(1)]))[0];
        assert!(after <= 2_000_000);
        delays.push(after);
        assert_eq!(d.advance(after).expire_timer(token), vec![Action::Subscribe]);
        for _ in 0..6 {
            let (token, after) = timers(&d.update_list(Update::Failed, &[]))[0];
            assert!(after <= 10_000_000, "after more than the longest time between two calls");
            assert_eq!(d.advance(after).expire_timer(token), vec![Action::Subscribe]);
        }
        assert!(d.update_list(Update::Changes, &[server(2)]).is_empty(), "the watch is open");
        assert!(d.update_list(Update::Complete, &[server(2)]).is_empty(), "a gap brings a complete list");
        assert_eq!(timers(&d.update_list(Update::Failed, &[])).len(), 1, "the watch ended");
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 40, "sidecars call discovery at the same time");
}

#[test]
fn a_pushed_list_is_never_requested() {
    let mut d = Driver::new(settings(), 1, 4);
    assert!(d.update_list(Update::Changes, &[server(5)]).is_empty());
}

#[test]
fn a_cold_server_gets_less_than_its_warm_share_however_empty_it_is() {
    let mut d = Driver::new(settings(), 6, 8);
    for id in 1..200 {
        let s = sent_to(&d.advance(5_000).request(id, SAFE))[0];
        d.advance(10_000).end_attempt_after(id, 0, s, Outcome::Served, 10_000, load_report(6.0));
    }
    // The server restarts under its id: it is empty, and all sidecars see that at once.
    let cold = Server { started_at: Some(d.now), ..server(3) };
    d.update_list(Update::Changes, &[cold]);
    let mut to_cold = 0;
    for id in 1000..2000 {
        let s = sent_to(&d.advance(500).request(id, SAFE))[0];
        to_cold += u64::from(s == 3);
        let load = if s == 3 { 0.0 } else { 6.0 };
        d.advance(500).end_attempt_after(id, 0, s, Outcome::Served, 10_000, load_report(load));
    }
    // A warm server would get 1/8; this one has 0.3 to 0.37 of that capacity and gets no more than that.
    assert!((5..60).contains(&to_cold), "{to_cold} of 1000 requests went to the cold server");
}
