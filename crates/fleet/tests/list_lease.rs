//! How long a list may be used: after a start, while it is watched, and while discovery is
//! unavailable.

use roseproxy_fleet::list_lease::{DiscoveryFailure, LeaseTerms, ListLease};

const GRACE_MS: f64 = 750.0;
const STARTED_AT_MS: f64 = 1_000_000.0;
const NOTICE_TERM_MS: f64 = 6_000.0;

/// A lease of a kept list with this maximum poll interval (ms).
fn kept_with(unwatched_ms: f64) -> ListLease {
    ListLease::of_kept_list(STARTED_AT_MS, LeaseTerms { grace_ms: GRACE_MS, unwatched_ms })
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

/// The service must continue while discovery cannot notify any sidecar: as long as calls fail, and
/// while the next one is open.
#[test]
fn a_list_lasts_while_discovery_is_unavailable() {
    for failure in [DiscoveryFailure::Unreachable, DiscoveryFailure::Unanswered] {
        let mut lease = confirmed();
        lease.on_failure(STARTED_AT_MS + 5_000.0, DiscoveryFailure::WatchEnded);
        lease.on_failure(STARTED_AT_MS + 6_000.0, failure);
        assert_eq!(
            expired_at(&lease, &[NOTICE_TERM_MS + GRACE_MS, 600_000.0]),
            [false, false],
            "{failure:?}"
        );
        lease.on_call_started(STARTED_AT_MS + 600_000.0);
        let end = 600_000.0 + NOTICE_TERM_MS + GRACE_MS;
        assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true], "a call without a result");
        lease.on_confirmed(STARTED_AT_MS + end);
        assert!(!lease.is_expired(STARTED_AT_MS + end));
    }
}

/// An unanswered call may have been lost on its way to an available discovery: the first one leaves
/// the term unchanged, and only a second failure in a row means that discovery is unavailable.
#[test]
fn one_unanswered_call_does_not_mean_that_discovery_is_unavailable() {
    for second in [DiscoveryFailure::NoAnswer, DiscoveryFailure::Unanswered, DiscoveryFailure::Unreachable] {
        let mut lease = confirmed();
        lease.on_failure(STARTED_AT_MS + 6_000.0, DiscoveryFailure::NoAnswer);
        assert_eq!(expired_at(&lease, &[NOTICE_TERM_MS + GRACE_MS]), [true], "{second:?}");
        lease.on_failure(STARTED_AT_MS + 9_000.0, second);
        assert_eq!(expired_at(&lease, &[9_000.0, 600_000.0]), [false, false], "{second:?}");
        lease.on_confirmed(STARTED_AT_MS + 10_000.0);
        lease.on_failure(STARTED_AT_MS + 16_000.0, DiscoveryFailure::NoAnswer);
        assert_eq!(
            lease.expires_at(),
            Some(STARTED_AT_MS + 10_000.0 + NOTICE_TERM_MS + GRACE_MS),
            "the count starts again"
        );
    }
}

/// A call that was rejected may have met an overload after a start of the whole fleet.
#[test]
fn after_a_start_discovery_counts_as_unavailable_at_once_only_without_a_connection() {
    let mut cut_off = kept();
    cut_off.on_failure(STARTED_AT_MS + 2_000.0, DiscoveryFailure::Unreachable);
    assert!(cut_off.is_settled(STARTED_AT_MS + 2_000.0));
    let mut turned_away = kept();
    turned_away.on_failure(STARTED_AT_MS + 2_000.0, DiscoveryFailure::Unanswered);
    assert_eq!(expired_at(&turned_away, &[2_000.0, 4_999.0, 5_000.0]), [true, true, false]);
    assert_eq!(turned_away.next_change(STARTED_AT_MS + 2_000.0), Some(STARTED_AT_MS + 5_000.0));
    assert_eq!(turned_away.expired_since(STARTED_AT_MS + 4_999.0), Some(STARTED_AT_MS + GRACE_MS));
    assert_eq!(turned_away.expired_since(STARTED_AT_MS + 5_000.0), None);
    assert!(
        !turned_away.is_settled(STARTED_AT_MS + 4_999.0) && turned_away.is_settled(STARTED_AT_MS + 5_000.0)
    );
    let mut late = kept();
    late.on_failure(STARTED_AT_MS + 6_000.0, DiscoveryFailure::Unanswered);
    assert!(late.is_settled(STARTED_AT_MS + 6_000.0));
}

/// The exception for a start without discovery holds only until the first confirmation.
#[test]
fn a_start_without_discovery_ends_with_the_first_confirmation() {
    for failure in [DiscoveryFailure::Unanswered, DiscoveryFailure::NoAnswer] {
        let mut lease = kept();
        lease.on_failure(STARTED_AT_MS + 8_000.0, failure);
        assert!(lease.is_settled(STARTED_AT_MS + 8_000.0), "{failure:?}");
        lease.on_confirmed(STARTED_AT_MS + 9_000.0);
        let end = 9_000.0 + NOTICE_TERM_MS + GRACE_MS;
        assert_eq!(expired_at(&lease, &[end - 1.0, end]), [false, true], "{failure:?}");
    }
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
