//! Timers in order of time; timers with equal times fire in the order in which they were set.

use super::flow::{FlowId, ForwardId};
use roseproxy_decision::interface::ServerId;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TimerKind {
    /// Timer requested by the decision module, with its token.
    Module(u64),
    /// Time limit of a forward.
    Forward(ForwardId),
    /// Time by which a flow must have its answer.
    Flow(FlowId),
    /// Time limit of a probe; the number distinguishes it from a later probe of the same target.
    Probe(ServerId, u64),
    /// Next call to discovery where lists are pushed.
    Watch,
    /// Possible change of the list's lease.
    ListLease,
}

#[derive(Debug)]
struct Entry {
    at: f64,
    sequence: u64,
    kind: TimerKind,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    // The heap yields the greatest entry first, so the earliest timer compares as the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Number of timers from which on those that nothing waits for are removed.
const MIN_PRUNED_TIMERS: usize = 1_024;

/// The timers of a host. Each open flow, forward and probe sets a few. They stay when their flow has
/// ended, until they are due or pruned.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Entry>,
    last_sequence: u64,
    /// Number of timers that were left when they were last pruned.
    left_by_pruning: usize,
}

impl Timers {
    pub fn set(&mut self, at: f64, kind: TimerKind) {
        self.last_sequence += 1;
        self.heap.push(Entry { at, sequence: self.last_sequence, kind });
    }

    /// Number of timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether so many timers were set since the last pruning that another one costs no more than
    /// setting them did.
    pub fn pruning_is_due(&self) -> bool {
        self.heap.len() >= MIN_PRUNED_TIMERS.max(2 * self.left_by_pruning)
    }

    /// Removes the timers that nothing waits for.
    pub fn prune(&mut self, is_awaited: impl Fn(TimerKind) -> bool) {
        self.heap.retain(|entry| is_awaited(entry.kind));
        self.heap.shrink_to(2 * self.heap.len());
        self.left_by_pruning = self.heap.len();
    }

    pub fn next_time(&self) -> Option<f64> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// Removes and returns the first timer that is due.
    pub fn take_due(&mut self, now: f64) -> Option<TimerKind> {
        if self.next_time()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.kind)
    }
}
