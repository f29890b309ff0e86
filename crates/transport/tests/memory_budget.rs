//! Tests of the memory budget: what is reserved is counted, returned and handed on in order.

use quickcheck::{quickcheck, Arbitrary, Gen};
use roseproxy_transport::memory_budget::{max_connections, MemoryBudget, Reservation};
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

const LIMIT: usize = 10_000;

#[derive(Clone, Debug)]
enum Step {
    Reserve(u16),
    /// Takes this many bytes off the oldest reservation into one of their own.
    SplitOff(u16),
    /// Shrinks the oldest reservation to this many bytes.
    ShrinkTo(u16),
    /// Drops the oldest reservation.
    Drop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let bytes = u16::arbitrary(g) % 6_000;
        match u8::arbitrary(g) % 4 {
            0 => Step::Reserve(bytes),
            1 => Step::SplitOff(bytes),
            2 => Step::ShrinkTo(bytes),
            _ => Step::Drop,
        }
    }
}

quickcheck! {
    fn what_is_reserved_is_what_reservations_hold(steps: Vec<Step>) -> bool {
        let budget = MemoryBudget::new(LIMIT);
        let mut held: Vec<Reservation> = Vec::new();
        steps.into_iter().all(|step| {
            match step {
                Step::Reserve(bytes) => held.extend(budget.try_reserve(bytes.into())),
                Step::SplitOff(bytes) => {
                    let split = held.first_mut().map(|oldest| oldest.split_off(bytes.into()));
                    held.extend(split);
                }
                Step::ShrinkTo(bytes) => held.iter_mut().take(1).for_each(|oldest| oldest.shrink_to(bytes.into())),
                Step::Drop => drop((!held.is_empty()).then(|| held.remove(0))),
            }
            let total: usize = held.iter().map(Reservation::bytes).sum();
            budget.reserved() == total && total <= LIMIT
        })
    }
}

/// Polls a future that nothing wakes.
fn poll_once<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn memory_goes_to_those_who_wait_in_the_order_of_asking() {
    let budget = MemoryBudget::new(LIMIT);
    let taken = budget.try_reserve(LIMIT).expect("free");
    let mut large = pin!(budget.reserve(LIMIT));
    let mut small = pin!(budget.reserve(1));
    assert!(poll_once(large.as_mut()).is_pending() && poll_once(small.as_mut()).is_pending());
    drop(taken);
    assert!(budget.try_reserve(1).is_none(), "passes those who wait");
    assert!(poll_once(small.as_mut()).is_pending(), "passes one who asked earlier");
    let Poll::Ready(Some(large)) = poll_once(large.as_mut()) else { panic!("still waits") };
    drop(large);
    assert!(matches!(poll_once(small.as_mut()), Poll::Ready(Some(_))));
}

#[test]
fn who_stops_waiting_holds_nothing() {
    let budget = MemoryBudget::new(LIMIT);
    let taken = budget.try_reserve(LIMIT).expect("free");
    {
        let mut waits = pin!(budget.reserve(LIMIT / 2));
        assert!(poll_once(waits.as_mut()).is_pending());
    }
    drop(taken);
    assert_eq!(budget.reserved(), 0);
    assert!(budget.try_reserve(LIMIT).is_some());
}

#[test]
fn nobody_waits_for_what_can_never_be_had() {
    let budget = MemoryBudget::new(LIMIT);
    assert!(matches!(poll_once(pin!(budget.reserve(LIMIT + 1))), Poll::Ready(None)));
    let _taken = budget.try_reserve(LIMIT).expect("free");
    let mut waits = pin!(budget.reserve(1));
    assert!(poll_once(waits.as_mut()).is_pending());
    budget.end_waits();
    assert!(matches!(poll_once(waits.as_mut()), Poll::Ready(None)));
    assert!(matches!(poll_once(pin!(budget.reserve(1))), Poll::Ready(None)));
}

/// The smallest process has room for the fewest sockets that can be configured; a larger one for more.
#[test]
fn connections_fit_into_the_memory_of_the_process() {
    assert!(max_connections(8_000_000) >= 64);
    assert!(max_connections(192_000_000) > 1_024);
}
