//! What the sockets count.

use roseproxy_routing::event_log::{CloseReason, CLOSES};
use roseproxy_routing::kinds;
use std::cell::{Cell, RefCell};

/// What the sockets count.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections accepted.
    pub clients_accepted: Cell<u64>,
    /// Accepts that failed, as when descriptors ran out.
    pub accept_errors: Cell<u64>,
    /// Client connections ended with half a request, or with none within the time for the first.
    pub requests_late: Cell<u64>,
    /// Client connections ended as they stood idle.
    pub clients_closed_idle: Cell<u64>,
    /// Forwards and probes not sent for want of a descriptor.
    pub descriptors_spent: Cell<u64>,
    /// Requests turned away with a 4xx.
    pub requests_malformed: Cell<u64>,
    /// Connections opened to targets.
    pub targets_connected: Cell<u64>,
    /// Requests sent on a kept connection.
    pub targets_reused: Cell<u64>,
    /// Connections to targets that did not come up.
    pub targets_unreachable: Cell<u64>,
    /// Connects that failed for want of descriptors, memory or ports of this machine.
    pub connects_failed_here: Cell<u64>,
    /// Reports that could not be read.
    pub reports_unread: Cell<u64>,
    /// Discovery lines and entries that could not be read.
    pub lists_unread: Cell<u64>,
    /// Client connections closed by reason, in the order of [`CLOSES`].
    pub clients_closed_by: RefCell<[u64; CLOSES.len()]>,
}

impl Counters {
    /// A client's connection has ended.
    pub(super) fn count_close(&self, reason: CloseReason) {
        kinds::add(&mut *self.clients_closed_by.borrow_mut(), &CLOSES, reason);
    }

    /// Every count with its name.
    pub(super) fn named_counts(&self) -> Vec<(String, u64)> {
        let counts = [
            ("clients_accepted", &self.clients_accepted),
            ("accept_errors", &self.accept_errors),
            ("requests_late", &self.requests_late),
            ("clients_closed_idle", &self.clients_closed_idle),
            ("descriptors_spent", &self.descriptors_spent),
            ("requests_malformed", &self.requests_malformed),
            ("targets_connected", &self.targets_connected),
            ("targets_reused", &self.targets_reused),
            ("targets_unreachable", &self.targets_unreachable),
            ("connects_failed_here", &self.connects_failed_here),
            ("reports_unread", &self.reports_unread),
            ("lists_unread", &self.lists_unread),
        ];
        let mut named: Vec<_> = counts.map(|(name, count)| (name.to_owned(), count.get())).into();
        named.extend(kinds::named("clients_closed_by", &CLOSES, &*self.clients_closed_by.borrow()));
        named
    }
}

/// One more.
pub(super) fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
