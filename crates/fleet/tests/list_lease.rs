//! How long a list may be acted on: after a start, while it is watched, and while discovery is away.

use roseproxy_fleet::list_lease::{Failure, LeaseTerms, ListLease};

const GRACE: f64 = 750.0;
const BEGAN: f64 = 1_000_000.0;
const TOLD_WITHIN: f64 = 6_000.0;

/// A lease where an instance without a watch must ask within this time (ms).
fn kept_where(unwatched: f64) -> ListLease {
    ListLease::of_kept_list(BEGAN, LeaseTerms { grace: GRACE, unwatched })
}

fn kept() -> ListLease {
    kept_where(10_000.0)
}

fn confirmed() -> ListLease {
    let mut lease = kept();
    lease.confirmed(BEGAN);
    lease
}

/// The times, counted from the start, at which the lease has expired.
fn expired_at(lease: &ListLease, times: &[f64]) -> Vec<bool> {
    times.iter().map(|after| lease.expired(BEGAN + after)).collect()
}

#[test]
fn a_kept_list_lasts_for_the_grace_and_makes_no_sidecar_ready() {
    let lease = kept();
    assert_eq!(expired_at(&lease, &[0.0, GRACE - 1.0, GRACE, 60_000.0]), [false, false, true, true]);
    assert!(!lease.settled(BEGAN) && !lease.settled(BEGAN + 60_000.0), "no call has even failed");
    assert!(confirmed().settled(BEGAN));
}

#[test]
fn a_list_lasts_from_the_last_word_for_the_term_and_the_grace() {
    let mut lease = confirmed();
    lease.confirmed(BEGAN + 2_000.0);
    let end = 2_000.0 + TOLD_WITHIN + GRACE;
    assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true]);
    assert!(!lease.settled(BEGAN + end), "nor is the sidecar ready then");
    assert_eq!(lease.age(BEGAN + end), TOLD_WITHIN + GRACE);
}

/// The service must go on while nobody can be told anything: for as long as calls fail, and while the next one is out.
#[test]
fn a_list_lasts_while_discovery_is_away() {
    for failure in [Failure::Unreachable, Failure::Unanswered] {
        let mut lease = confirmed();
        lease.failed(BEGAN + 5_000.0, Failure::WatchEnded);
        lease.failed(BEGAN + 6_000.0, failure);
        assert_eq!(expired_at(&lease, &[TOLD_WITHIN + GRACE, 600_000.0]), [false, false], "{failure:?}");
        lease.call_started(BEGAN + 600_000.0);
        let end = 600_000.0 + TOLD_WITHIN + GRACE;
        assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true], "a call that brings nothing");
        lease.confirmed(BEGAN + end);
        assert!(!lease.expired(BEGAN + end));
    }
}

/// A call that gets no answer may have been lost on its way to a discovery that is there: one that was given up leaves the
/// term as it is, and only a second failure in a row tells of an absence.
#[test]
fn one_call_without_an_answer_tells_of_no_absence() {
    for second in [Failure::NoAnswer, Failure::Unanswered, Failure::Unreachable] {
        let mut lease = confirmed();
        lease.failed(BEGAN + 6_000.0, Failure::NoAnswer);
        assert_eq!(expired_at(&lease, &[TOLD_WITHIN + GRACE]), [true], "{second:?}");
        lease.failed(BEGAN + 9_000.0, second);
        assert_eq!(expired_at(&lease, &[9_000.0, 600_000.0]), [false, false], "{second:?}");
        lease.confirmed(BEGAN + 10_000.0);
        lease.failed(BEGAN + 16_000.0, Failure::NoAnswer);
        assert_eq!(lease.expires_at(), Some(BEGAN + 10_000.0 + TOLD_WITHIN + GRACE), "the count begins anew");
    }
}

/// A call that was reached and turned away may have met a crowd after a start of the whole fleet.
#[test]
fn after_a_start_an_absence_is_believed_at_once_only_where_no_connection_came_up() {
    let mut cut_off = kept();
    cut_off.failed(BEGAN + 2_000.0, Failure::Unreachable);
    assert!(cut_off.settled(BEGAN + 2_000.0));
    let mut turned_away = kept();
    turned_away.failed(BEGAN + 2_000.0, Failure::Unanswered);
    assert_eq!(expired_at(&turned_away, &[2_000.0, 4_999.0, 5_000.0]), [true, true, false]);
    assert_eq!(turned_away.next_change(BEGAN + 2_000.0), Some(BEGAN + 5_000.0));
    assert_eq!(turned_away.expired_since(BEGAN + 4_999.0), Some(BEGAN + GRACE));
    assert_eq!(turned_away.expired_since(BEGAN + 5_000.0), None);
    assert!(!turned_away.settled(BEGAN + 4_999.0) && turned_away.settled(BEGAN + 5_000.0));
    let mut late = kept();
    late.failed(BEGAN + 6_000.0, Failure::Unanswered);
    assert!(late.settled(BEGAN + 6_000.0));
}

/// What a start was excused for holds no longer than until discovery is heard of.
#[test]
fn a_start_before_an_absent_discovery_ends_with_its_first_word() {
    for failure in [Failure::Unanswered, Failure::NoAnswer] {
        let mut lease = kept();
        lease.failed(BEGAN + 8_000.0, failure);
        assert!(lease.settled(BEGAN + 8_000.0), "{failure:?}");
        lease.confirmed(BEGAN + 9_000.0);
        let end = 9_000.0 + TOLD_WITHIN + GRACE;
        assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true], "{failure:?}");
    }
}

#[test]
fn a_move_ends_what_an_absence_or_another_discovery_allowed() {
    let mut watching = confirmed();
    watching.moved(BEGAN + 1_000.0);
    assert_eq!(watching.expires_at(), Some(BEGAN + 1_000.0 + 4_000.0 + GRACE));
    watching.moved(BEGAN + 2_000.0);
    assert_eq!(watching.expires_at(), Some(BEGAN + 1_000.0 + 4_000.0 + GRACE), "a later move allows no more");
    let mut away = confirmed();
    away.failed(BEGAN, Failure::Unreachable);
    assert_eq!(away.expires_at(), None);
    away.moved(BEGAN + 1_000.0);
    assert_eq!(away.expires_at(), Some(BEGAN + 1_000.0 + 4_000.0 + GRACE));
}

/// A change counts as told within the time for asking, where that is shorter than the term.
#[test]
fn a_watch_that_ends_leaves_the_time_for_asking() {
    for (ask_within, left) in [(2_000.0, 2_000.0), (60_000.0, TOLD_WITHIN), (-1.0, 0.0)] {
        let mut lease = kept_where(ask_within);
        lease.confirmed(BEGAN);
        lease.failed(BEGAN, Failure::WatchEnded);
        assert_eq!(lease.expires_at(), Some(BEGAN + left + GRACE), "{ask_within}");
    }
}

/// What the agent of the own machine has counts as told at once, also when its watch has ended.
#[test]
fn a_watch_on_an_agent_that_ends_leaves_the_grace() {
    let mut pushed = kept_where(0.0);
    pushed.confirmed(BEGAN);
    assert_eq!(
        pushed.expires_at(),
        Some(BEGAN + TOLD_WITHIN + GRACE),
        "silence has the same clock everywhere"
    );
    pushed.failed(BEGAN + 1_000.0, Failure::WatchEnded);
    assert_eq!(pushed.expires_at(), Some(BEGAN + 1_000.0 + GRACE));
    pushed.failed(BEGAN + 1_010.0, Failure::Unreachable);
    assert_eq!(pushed.expires_at(), None);
}
