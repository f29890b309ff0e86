//! How long a list may be used: after a start, while it is watched, while discovery is unavailable,
//! and while it can be reached but sends nothing.

use roseproxy_fleet::list_lease::{DiscoveryFailure, LeaseTerms, ListLease};

const GRACE_MS: f64 = 750.0;
const STARTED_AT_MS: f64 = 1_000_000.0;
const NOTICE_TERM_MS: f64 = 6_000.0;

/// A lease of a kept list with this maximum poll interval (ms).
fn kept_with(unwatched_ms: f64) -> ListLease {
    let local_agent = unwatched_ms == 0.0;
    ListLease::of_kept_list(STARTED_AT_MS, LeaseTerms { grace_ms: GRACE_MS, unwatched_ms, local_agent })
}

fn kept() -> ListLease {
    kept_with(10_000.0)
}

fn confirmed() -> ListLease {
    let mut lease = kept();
    lease.on_confirmed(STARTED_AT_MS);
    lease
}

/// Whether the lease has expired at each of these times after the start.
fn expired_at(lease: &ListLease, times: &[f64]) -> Vec<bool> {
    times.iter().map(|after| lease.is_expired(STARTED_AT_MS + after)).collect()
}

#[test]
fn a_kept_list_lasts_for_the_grace_and_makes_no_sidecar_ready() {
    let lease = kept();
    assert_eq!(expired_at(&lease, &[0.0, GRACE_MS - 1.0, GRACE_MS, 60_000.0]), [false, false, true, true]);
    assert!(
        !lease.is_settled(STARTED_AT_MS) && !lease.is_settled(STARTED_AT_MS + 60_000.0),
        "no call has even failed"
    );
    assert!(confirmed().is_settled(STARTED_AT_MS));
}

#[test]
fn a_list_lasts_for_the_term_and_the_grace_after_the_last_confirmation() {
    let mut lease = confirmed();
    lease.on_confirmed(STARTED_AT_MS + 2_000.0);
    let end = 2_000.0 + NOTICE_TERM_MS + GRACE_MS;
    assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true]);
    assert!(!lease.is_settled(STARTED_AT_MS + end), "the sidecar is not ready then");
    assert_eq!(lease.age(STARTED_AT_MS + end), NOTICE_TERM_MS + GRACE_MS);
}

/// Records a call that began and failed at these times after the start.
fn fail_call(lease: &mut ListLease, began: f64, ended: f64, failure: DiscoveryFailure) {
    lease.on_call_started(STARTED_AT_MS + began);
    lease.on_failure(STARTED_AT_MS + ended, failure);
}

/// The service must continue while discovery cannot notify any sidecar: as long as calls fail, and
/// while the next one is open. Discovery may have returned right after the last call that found it
/// unavailable, so the term counts from that call.
#[test]
fn a_list_lasts_while_discovery_is_unavailable() {
    let mut lease = confirmed();
    lease.on_failure(STARTED_AT_MS + 5_000.0, DiscoveryFailure::WatchEnded);
    fail_call(&mut lease, 6_000.0, 7_000.0, DiscoveryFailure::Unreachable);
    assert_eq!(expired_at(&lease, &[NOTICE_TERM_MS + GRACE_MS, 600_000.0]), [false, false]);
    lease.on_call_started(STARTED_AT_MS + 10_500.0);
    let end = 6_000.0 + NOTICE_TERM_MS + GRACE_MS;
    assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true], "a call without a result");
    lease.on_failure(STARTED_AT_MS + 11_500.0, DiscoveryFailure::Unreachable);
    assert_eq!(lease.expires_at(), None, "the outage lasts");
    lease.on_confirmed(STARTED_AT_MS + end);
    assert!(!lease.is_expired(STARTED_AT_MS + end));
}

/// Guards against sidecars that are turned away by a crowded discovery and send to endpoints of which
/// others are told that they drain: a call that was accepted proves that discovery could be reached.
#[test]
fn calls_that_are_turned_away_extend_no_lease() {
    for failure in [DiscoveryFailure::Rejected, DiscoveryFailure::NoAnswer] {
        let mut lease = confirmed();
        let end = STARTED_AT_MS + NOTICE_TERM_MS + GRACE_MS;
        for call in 0..20 {
            let began = 4_500.0 * f64::from(call);
            fail_call(&mut lease, began, began + 2_000.0, failure);
            assert_eq!(lease.expires_at(), Some(end), "{failure:?}, call {call}");
        }
        lease.on_confirmed(end);
        assert!(lease.is_settled(end), "{failure:?}");
    }
}

/// Changes that discovery made while it turned this sidecar away count as received in time, whatever
/// becomes of it afterwards.
#[test]
fn an_outage_after_calls_were_turned_away_extends_no_lease() {
    let mut lease = confirmed();
    fail_call(&mut lease, 1_000.0, 3_000.0, DiscoveryFailure::Rejected);
    fail_call(&mut lease, 5_500.0, 5_501.0, DiscoveryFailure::Unreachable);
    assert_eq!(lease.expires_at(), Some(STARTED_AT_MS + NOTICE_TERM_MS + GRACE_MS));
    lease.on_confirmed(STARTED_AT_MS + 9_000.0);
    fail_call(&mut lease, 10_000.0, 13_000.0, DiscoveryFailure::NoAnswer);
    fail_call(&mut lease, 14_500.0, 14_501.0, DiscoveryFailure::Unreachable);
    assert_eq!(lease.expires_at(), None, "confirmed in between, and cut off in the middle of a call");
}

/// A discovery that returns and turns this sidecar away may have had changes right after the last call
/// that did not reach it.
#[test]
fn a_rejection_after_an_outage_counts_from_the_last_call_that_found_none() {
    let mut lease = confirmed();
    fail_call(&mut lease, 5_000.0, 5_001.0, DiscoveryFailure::Unreachable);
    fail_call(&mut lease, 9_500.0, 9_501.0, DiscoveryFailure::Unreachable);
    let end = STARTED_AT_MS + 9_500.0 + NOTICE_TERM_MS + GRACE_MS;
    for call in [14_000.0, 18_500.0] {
        fail_call(&mut lease, call, call + 2_000.0, DiscoveryFailure::Rejected);
        assert_eq!(lease.expires_at(), Some(end), "call at {call}");
    }
}

/// After a start, the kept list is used beyond the grace only where no connection is established: a
/// call that was rejected or got no answer met a discovery that serves others.
#[test]
fn after_a_start_a_kept_list_is_used_on_only_without_a_connection() {
    let mut cut_off = kept();
    fail_call(&mut cut_off, 1_000.0, 2_000.0, DiscoveryFailure::Unreachable);
    assert!(cut_off.is_settled(STARTED_AT_MS + 2_000.0));
    cut_off.on_call_started(STARTED_AT_MS + 5_500.0);
    assert!(cut_off.is_settled(STARTED_AT_MS + 5_500.0), "ready while the next call is open");
    for failure in [DiscoveryFailure::Rejected, DiscoveryFailure::NoAnswer] {
        let mut turned_away = kept();
        for call in 0..20 {
            let began = 4_500.0 * f64::from(call);
            fail_call(&mut turned_away, began, began + 2_000.0, failure);
            let now = STARTED_AT_MS + began + 2_000.0;
            assert_eq!(turned_away.expired_since(now), Some(STARTED_AT_MS + GRACE_MS), "{failure:?}");
            assert!(!turned_away.is_settled(now), "{failure:?}: ready with an expired list");
        }
        turned_away.on_confirmed(STARTED_AT_MS + 95_000.0);
        assert!(turned_away.is_settled(STARTED_AT_MS + 95_000.0), "{failure:?}");
    }
}

/// A whole list without a watch is held for the maximum poll interval at most, and after a move not
/// beyond the term that counts from the move.
#[test]
fn a_fetched_list_lasts_as_long_as_a_sidecar_without_a_watch_may_wait() {
    for (unwatched_ms, left) in [(2_000.0, 2_000.0), (60_000.0, NOTICE_TERM_MS)] {
        let mut lease = kept_with(unwatched_ms);
        lease.on_list_fetched(STARTED_AT_MS + 100.0);
        assert_eq!(lease.expires_at(), Some(STARTED_AT_MS + 100.0 + left + GRACE_MS), "{unwatched_ms}");
    }
    let mut moved = confirmed();
    moved.on_moved(STARTED_AT_MS + 1_000.0);
    moved.on_list_fetched(STARTED_AT_MS + 1_010.0);
    fail_call(&mut moved, 1_010.0, 3_010.0, DiscoveryFailure::Rejected);
    assert_eq!(moved.expires_at(), Some(STARTED_AT_MS + 1_000.0 + 4_000.0 + GRACE_MS), "no watch yet");
    moved.on_confirmed(STARTED_AT_MS + 4_000.0);
    assert_eq!(moved.expires_at(), Some(STARTED_AT_MS + 4_000.0 + NOTICE_TERM_MS + GRACE_MS));
}

/// An agent on the same machine gives no answer while discovery is unavailable; one call may be lost.
#[test]
fn a_local_agent_that_stays_silent_means_that_discovery_is_unavailable() {
    let mut pushed = kept_with(0.0);
    pushed.on_confirmed(STARTED_AT_MS);
    fail_call(&mut pushed, 3_000.0, 6_000.0, DiscoveryFailure::NoAnswer);
    assert_eq!(expired_at(&pushed, &[NOTICE_TERM_MS + GRACE_MS]), [true], "one call");
    fail_call(&mut pushed, 6_100.0, 9_100.0, DiscoveryFailure::NoAnswer);
    assert_eq!(pushed.expires_at(), None);
    pushed.on_confirmed(STARTED_AT_MS + 10_000.0);
    fail_call(&mut pushed, 13_000.0, 16_000.0, DiscoveryFailure::NoAnswer);
    assert_eq!(
        pushed.expires_at(),
        Some(STARTED_AT_MS + 10_000.0 + NOTICE_TERM_MS + GRACE_MS),
        "the count starts again"
    );
}

#[test]
fn a_move_limits_a_lease_granted_before_it() {
    let mut watching = confirmed();
    watching.on_moved(STARTED_AT_MS + 1_000.0);
    assert_eq!(watching.expires_at(), Some(STARTED_AT_MS + 1_000.0 + 4_000.0 + GRACE_MS));
    watching.on_moved(STARTED_AT_MS + 2_000.0);
    assert_eq!(
        watching.expires_at(),
        Some(STARTED_AT_MS + 1_000.0 + 4_000.0 + GRACE_MS),
        "a later move allows no more"
    );
    let mut unavailable = confirmed();
    unavailable.on_failure(STARTED_AT_MS, DiscoveryFailure::Unreachable);
    assert_eq!(unavailable.expires_at(), None);
    unavailable.on_moved(STARTED_AT_MS + 1_000.0);
    assert_eq!(unavailable.expires_at(), Some(STARTED_AT_MS + 1_000.0 + 4_000.0 + GRACE_MS));
}

/// Notice of a change counts as received after the maximum poll interval, if that is shorter than
/// the term.
#[test]
fn the_end_of_a_watch_leaves_the_maximum_poll_interval() {
    for (max_poll_interval, left) in [(2_000.0, 2_000.0), (60_000.0, NOTICE_TERM_MS), (-1.0, 0.0)] {
        let mut lease = kept_with(max_poll_interval);
        lease.on_confirmed(STARTED_AT_MS);
        lease.on_failure(STARTED_AT_MS, DiscoveryFailure::WatchEnded);
        assert_eq!(lease.expires_at(), Some(STARTED_AT_MS + left + GRACE_MS), "{max_poll_interval}");
    }
}

/// Notice of a change that the agent on the same machine has counts as received at once, even when
/// the watch on that agent has ended.
#[test]
fn the_end_of_a_watch_on_a_local_agent_leaves_the_grace() {
    let mut pushed = kept_with(0.0);
    pushed.on_confirmed(STARTED_AT_MS);
    assert_eq!(
        pushed.expires_at(),
        Some(STARTED_AT_MS + NOTICE_TERM_MS + GRACE_MS),
        "silence is limited by the same term everywhere"
    );
    pushed.on_failure(STARTED_AT_MS + 1_000.0, DiscoveryFailure::WatchEnded);
    assert_eq!(pushed.expires_at(), Some(STARTED_AT_MS + 1_000.0 + GRACE_MS));
    pushed.on_failure(STARTED_AT_MS + 1_010.0, DiscoveryFailure::Unreachable);
    assert_eq!(pushed.expires_at(), None);
}
