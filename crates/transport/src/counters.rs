//! Counters of the socket layer.

use roseproxy_routing::event_log::{CloseReason, CLOSE_REASONS};
use roseproxy_routing::labels;
use std::cell::{Cell, RefCell};

/// Counters of the socket layer.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections accepted, including those that still wait for a free socket.
    pub clients_accepted: Cell<u64>,
    /// Client connections that had to wait for a free socket after they were accepted.
    pub clients_waited: Cell<u64>,
    /// The longest that any of those may have waited for its socket since its client connected (ms).
    pub clients_longest_wait_ms: Cell<u64>,
    /// Client connections refused because no socket was freed for them in time.
    pub clients_turned_away: Cell<u64>,
    /// Requests that had to wait for memory before their body was read.
    pub requests_waited_for_memory: Cell<u64>,
    /// Requests refused, and own texts not given, because no memory was freed for them in time.
    pub requests_refused_for_memory: Cell<u64>,
    /// Accepts that failed, for example because descriptors ran out.
    pub accept_errors: Cell<u64>,
    /// Client connections closed with an incomplete request, or without a first request in time.
    pub requests_late: Cell<u64>,
    /// Client connections closed because they were idle.
    pub clients_closed_idle: Cell<u64>,
    /// Forwards and probes not sent for lack of a descriptor.
    pub descriptors_spent: Cell<u64>,
    /// Requests rejected with a 4xx status.
    pub requests_malformed: Cell<u64>,
    /// Requests rejected because another one has their id.
    pub requests_id_in_use: Cell<u64>,
    /// Connections opened to targets.
    pub targets_connected: Cell<u64>,
    /// Requests sent on a pooled connection.
    pub targets_reused: Cell<u64>,
    /// Connections to targets that could not be established.
    pub targets_unreachable: Cell<u64>,
    /// Connects that failed for lack of descriptors, memory or ports on this machine.
    pub connects_failed_here: Cell<u64>,
    /// Load reports that could not be decoded.
    pub reports_unread: Cell<u64>,
    /// Discovery messages and list entries that could not be decoded.
    pub lists_unread: Cell<u64>,
    /// Client connections closed, by reason, in the order of [`CLOSE_REASONS`].
    pub clients_closed_by: RefCell<[u64; CLOSE_REASONS.len()]>,
}

impl Counters {
    /// Counts a client connection that has waited for a socket, whether or not it got one.
    pub(super) fn count_wait(&self, waited_ms: f64) {
        increment(&self.clients_waited);
        self.clients_longest_wait_ms.set(self.clients_longest_wait_ms.get().max(waited_ms as u64));
    }

    /// Counts a closed client connection.
    pub(super) fn count_close(&self, reason: CloseReason) {
        labels::increment(&mut *self.clients_closed_by.borrow_mut(), &CLOSE_REASONS, reason);
    }

    /// All counters with their names.
    pub(super) fn named_counts(&self) -> Vec<(String, u64)> {
        let counts = [
            ("clients_accepted", &self.clients_accepted),
            ("clients_waited", &self.clients_waited),
            ("clients_longest_wait_ms", &self.clients_longest_wait_ms),
            ("clients_turned_away", &self.clients_turned_away),
            ("requests_waited_for_memory", &self.requests_waited_for_memory),
            ("requests_refused_for_memory", &self.requests_refused_for_memory),
            ("accept_errors", &self.accept_errors),
            ("requests_late", &self.requests_late),
            ("clients_closed_idle", &self.clients_closed_idle),
            ("descriptors_spent", &self.descriptors_spent),
            ("requests_malformed", &self.requests_malformed),
            ("requests_id_in_use", &self.requests_id_in_use),
            ("targets_connected", &self.targets_connected),
            ("targets_reused", &self.targets_reused),
            ("targets_unreachable", &self.targets_unreachable),
            ("connects_failed_here", &self.connects_failed_here),
            ("reports_unread", &self.reports_unread),
            ("lists_unread", &self.lists_unread),
        ];
        let mut named: Vec<_> = counts.map(|(name, count)| (name.to_owned(), count.get())).into();
        named.extend(labels::labelled_counts(
            "clients_closed_by",
            &CLOSE_REASONS,
            &*self.clients_closed_by.borrow(),
        ));
        named
    }
}

pub(super) fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
