//! The client sockets: which connections hold them, and which one is closed if a client waits for
//! one.

use super::budget::{Budget, Permit};
use super::client_slot::{ClientSlot, Occupancy};
use super::duration_from_ms;
use super::event_loop_lag::TICK_PERIOD_MS;
use roseproxy_routing::event_log::SocketUse;
use roseproxy_routing::time::Now;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Minimum age at which a connection without any request so far may be closed to free its socket or
/// at shutdown: its first request may be in transit.
pub(super) const FIRST_REQUEST_GRACE_MS: f64 = 300.0;

/// The client connections that hold a socket.
pub(super) struct ClientSlots {
    budget: Budget,
    slots: RefCell<BTreeMap<u64, Rc<ClientSlot>>>,
    last_id: Cell<u64>,
    freed: Notify,
    now: Now,
}

/// A socket in use; freed on drop.
pub(super) struct OccupiedSlot {
    slots: Rc<ClientSlots>,
    id: u64,
    /// The record of the connection.
    pub slot: Rc<ClientSlot>,
    permit: Option<Permit>,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.slots.slots.borrow_mut().remove(&self.id);
        self.permit = None;
        self.slots.freed.notify_one();
    }
}

impl ClientSlots {
    /// Creates the record of the connections that hold the sockets of `budget`.
    pub fn new(budget: Budget, now: Now) -> Rc<ClientSlots> {
        Rc::new(ClientSlots {
            budget,
            slots: RefCell::default(),
            last_id: Cell::new(0),
            freed: Notify::new(),
            now,
        })
    }

    /// Takes a socket if one is free.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.budget.try_acquire()
    }

    /// Waits for a socket; closes idle connections for it.
    pub async fn make_room(&self) -> Permit {
        loop {
            if let Some(permit) = self.try_acquire() {
                return permit;
            }
            self.close_longest_idle();
            // The chosen connection may have received a request at this very moment; the next round
            // picks another.
            let _ = tokio::time::timeout(duration_from_ms(TICK_PERIOD_MS), self.freed.notified()).await;
        }
    }

    /// Records a connection that holds a socket.
    pub fn occupy(self: &Rc<Self>, slot: ClientSlot, permit: Permit) -> OccupiedSlot {
        let (id, slot) = (self.last_id.get() + 1, Rc::new(slot));
        self.last_id.set(id);
        self.slots.borrow_mut().insert(id, slot.clone());
        OccupiedSlot { slots: self.clone(), id, slot, permit: Some(permit) }
    }

    /// Whether no connection holds a socket.
    pub fn is_empty(&self) -> bool {
        self.slots.borrow().is_empty()
    }

    /// Whether more than half of the sockets are in use.
    pub fn is_crowded(&self) -> bool {
        self.slots.borrow().len() * 2 > self.budget.limit()
    }

    /// Calls `visit` with each connection.
    pub fn for_each(&self, visit: impl FnMut(&Rc<ClientSlot>)) {
        self.slots.borrow().values().for_each(visit);
    }

    /// What the sockets are used for.
    pub fn socket_use(&self) -> SocketUse {
        let mut socket_use = SocketUse::default();
        self.for_each(|slot| match slot.occupancy() {
            Occupancy::Silent { .. } => socket_use.silent += 1,
            Occupancy::Idle { .. } => socket_use.idle += 1,
            Occupancy::Receiving { .. } => socket_use.receiving += 1,
            Occupancy::Answering => socket_use.answering += 1,
        });
        socket_use
    }

    /// Requests the close of an idle connection. Connections that never carried a request go before
    /// those whose clients may send again. Connections that have only just been opened are spared,
    /// as their first request may be in transit.
    fn close_longest_idle(&self) {
        let (slots, now) = (self.slots.borrow(), (self.now)());
        let idle =
            slots.values().filter_map(|s| s.fully_idle_since().map(|since| (s.had_request.get(), since, s)));
        let idle =
            idle.filter(|(had_request, since, _)| *had_request || now - since >= FIRST_REQUEST_GRACE_MS);
        if let Some((.., slot)) = idle.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            slot.request_close();
        }
    }
}
