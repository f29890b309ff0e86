//! What the sockets count.

use roseproxy_routing::event_log::{CloseReason, CLOSE_REASONS};
use roseproxy_routing::labels;
use std::cell::{Cell, RefCell};

/// What the sockets count.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Client connections accepted.
    pub accepted: Cell<u64>,
    /// Accepts that failed, as when descriptors ran out.
    pub accept_errors: Cell<u64>,
    /// Client connections ended with half a request, or with none within the time for the first.
    pub late_requests: Cell<u64>,
    /// Client connections ended as they stood idle.
    pub closed_idle: Cell<u64>,
    /// Forwards and probes not sent for want of a descriptor.
    pub spent: Cell<u64>,
    /// Requests turned away with a 4xx.
    pub malformed: Cell<u64>,
    /// Connections opened to targets.
    pub opened: Cell<u64>,
    /// Requests sent on a kept connection.
    pub reused: Cell<u64>,
    /// Connections to targets that did not come up.
    pub unreachable: Cell<u64>,
    /// Connects that failed for want of descriptors, memory or ports of this machine.
    pub connects_failed_here: Cell<u64>,
    /// Reports that could not be read.
    pub bad_reports: Cell<u64>,
    /// Discovery lines and entries that could not be read.
    pub bad_lists: Cell<u64>,
    /// Client connections closed by reason, in the order of [`CLOSE_REASONS`].
    pub closes: RefCell<[u64; CLOSE_REASONS.len()]>,
}

impl Traffic {
    /// A client's connection has ended.
    pub(super) fn closed(&self, reason: CloseReason) {
        labels::increment(&mut *self.closes.borrow_mut(), &CLOSE_REASONS, reason);
    }

    /// Every count with its name.
    pub(super) fn lines(&self) -> Vec<(String, u64)> {
        let counts = [
            ("clients_accepted", &self.accepted),
            ("accept_errors", &self.accept_errors),
            ("requests_late", &self.late_requests),
            ("clients_closed_idle", &self.closed_idle),
            ("descriptors_spent", &self.spent),
            ("requests_malformed", &self.malformed),
            ("targets_connected", &self.opened),
            ("targets_reused", &self.reused),
            ("targets_unreachable", &self.unreachable),
            ("connects_failed_here", &self.connects_failed_here),
            ("reports_unread", &self.bad_reports),
            ("lists_unread", &self.bad_lists),
        ];
        let mut lines: Vec<_> = counts.map(|(name, count)| (name.to_owned(), count.get())).into();
        lines.extend(labels::labelled_counts("clients_closed_by", &CLOSE_REASONS, &*self.closes.borrow()));
        lines
    }
}

/// One more.
pub(super) fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
