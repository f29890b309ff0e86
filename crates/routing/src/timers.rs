//! What is to happen later, in order of time; equal times in the order they were set.

use super::flow::{FlowId, ForwardId};
use roseproxy_decision::interface::ServerId;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Due {
    /// The module asked for it.
    Module(u64),
    /// A forward's patience ends.
    Forward(ForwardId),
    /// A flow must have its answer by now.
    Flow(FlowId),
    /// A probe's patience ends; the number tells it from a later probe of the same target.
    Probe(ServerId, u64),
    /// Where lists are pushed: discovery is to be watched anew.
    Watch,
    /// The lease of the list in hand may have ended.
    ListLease,
}

#[derive(Debug)]
struct Entry {
    at: f64,
    order: u64,
    due: Due,
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
    // The heap gives the greatest first, so the earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// The timers of a host. Each open flow, forward and probe sets a few, so their number is bounded too.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Entry>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: f64, due: Due) {
        self.set += 1;
        self.heap.push(Entry { at, order: self.set, due });
    }

    pub fn next(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// Takes out the first timer that is due.
    pub fn take(&mut self, now: f64) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|e| e.due)
    }
}
