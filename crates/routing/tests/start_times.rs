//! Start times of targets on the program's clock, with and without steps of the wall clock.

use roseproxy_decision::interface::{Readiness, ServerId, Update};
use roseproxy_routing::flow::Target;
use roseproxy_routing::start_times::{Clocks, ListSource, StartTimes};

const NOW_MS: f64 = 1_700_000_000_000.0;
const HOUR_MS: f64 = 3_600_000.0;

fn clocks(program: f64, step: f64) -> Clocks {
    Clocks { program, wall: program + step }
}

/// Returns the age that a target with this listed start counts as (ms).
fn age(starts: &mut StartTimes, clocks: Clocks, source: ListSource, id: u64, listed: f64) -> f64 {
    let address = ([127, 0, 0, 1], 7000).into();
    let (id, readiness) = (ServerId(id), Readiness::Ready);
    let started_at = Some(listed);
    let mut list = [Target { id, address, zone: 0, cell: 0, kind: 0, power: 1.0, started_at, readiness }];
    starts.place_on_program_clock(clocks, source, Update::Changes, &mut list);
    clocks.program - list[0].started_at.expect("a start")
}

#[test]
fn without_a_clock_step_a_start_is_as_listed() {
    let mut starts = StartTimes::default();
    assert_eq!(age(&mut starts, clocks(NOW_MS, 0.0), ListSource::Kept, 1, NOW_MS - 9_000.0), 9_000.0);
    assert_eq!(age(&mut starts, clocks(NOW_MS, 0.0), ListSource::Discovery, 2, NOW_MS - 9_000.0), 9_000.0);
    let later = clocks(NOW_MS + 500.0, 0.0);
    assert_eq!(
        age(&mut starts, later, ListSource::Discovery, 3, NOW_MS - 3_000.0),
        3_500.0,
        "lists arrive late"
    );
}

#[test]
fn a_start_is_converted_once_and_ages_in_real_time() {
    let mut starts = StartTimes::default();
    assert_eq!(age(&mut starts, clocks(NOW_MS, 0.0), ListSource::Discovery, 1, NOW_MS - 1_000.0), 1_000.0);
    for step in [HOUR_MS, -HOUR_MS] {
        let later = clocks(NOW_MS + 2_000.0, step);
        assert_eq!(age(&mut starts, later, ListSource::Discovery, 1, NOW_MS - 1_000.0), 3_000.0);
    }
    // The same target after a restart.
    let later = clocks(NOW_MS + 3_000.0, 0.0);
    assert_eq!(age(&mut starts, later, ListSource::Discovery, 1, NOW_MS + 2_500.0), 500.0);
}

#[test]
fn where_the_clocks_disagree_an_endpoint_counts_as_the_younger() {
    for step in [HOUR_MS, -HOUR_MS, 5_000.0, -5_000.0] {
        let mut starts = StartTimes::default();
        let now = clocks(NOW_MS, step);
        // Listed by the clock that was stepped, and by the one that was not.
        assert_eq!(age(&mut starts, now, ListSource::Kept, 1, now.wall), 0.0, "{step}");
        assert_eq!(age(&mut starts, now, ListSource::Kept, 2, now.program), 0.0, "{step}");
    }
}

#[test]
fn a_start_that_discovery_would_have_reported_earlier_counts_as_new() {
    let mut starts = StartTimes::default();
    // The process started after the wall clock was stepped forward by an hour: both its clocks are
    // ahead.
    assert_eq!(
        age(&mut starts, clocks(NOW_MS, 0.0), ListSource::Discovery, 1, NOW_MS - 2.0 * HOUR_MS),
        2.0 * HOUR_MS
    );
    let later = clocks(NOW_MS + 2_000.0, 0.0);
    assert_eq!(age(&mut starts, later, ListSource::Discovery, 2, NOW_MS + 1_500.0 - HOUR_MS), 2_000.0);
    // A start from a kept list may be of any age.
    assert_eq!(age(&mut starts, later, ListSource::Kept, 3, NOW_MS - HOUR_MS), HOUR_MS + 2_000.0);
}
