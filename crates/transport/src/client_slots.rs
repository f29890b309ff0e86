//! The client sockets: which connections hold them, and which one is closed if a client waits for
//! one, or for memory.

use super::budget::{Budget, Permit};
use super::client_slot::ClientSlot;
use super::connection_state::ConnectionState;
use super::duration_from_ms;
use super::memory_budget::Reservation;
use roseproxy_routing::event_log::SocketUse;
use roseproxy_routing::time::Now;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time without input after which a connection without a complete request may be closed to free its
/// socket or at shutdown: the request, or the rest of it, may be in transit. While a client waits
/// for a socket, its waiting time is subtracted, so that no client waits longer than this for the
/// first socket that is held without a complete request.
pub(super) const INPUT_GRACE_MS: f64 = 300.0;
/// Minimum of that time, however long a client has waited: a client that has just connected needs
/// some time to send its request.
const MIN_INPUT_GRACE_MS: f64 = 10.0;
/// Longest wait of a client for a socket or of a request for memory. The platform takes a request for lost if its answer comes
/// more than 500 ms after its time, however little time it has.
const MAX_WAIT_MS: f64 = 400.0;
/// Period at which another connection is chosen while a client waits for a socket.
const EVICTION_PERIOD_MS: f64 = 10.0;

/// Classes of connections in the order in which they are closed to free a socket; those that lose
/// least by it come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Never carried a request, for longer than one takes to arrive.
    Unused,
    /// Between requests: the client opens a new connection for its next one.
    Idle,
    /// Has ended, but its client has not closed it yet.
    Draining,
    /// Has a request that has not arrived, or only in part.
    Incomplete,
    /// The same, but the rest is still arriving.
    Steady,
}

/// A connection that may be closed to free its socket.
struct EvictionCandidate {
    class: EvictionClass,
    /// Since when nothing has happened on the connection (ms).
    quiet_since: f64,
    slot: Rc<ClientSlot>,
}

impl EvictionCandidate {
    /// Returns `None` for a connection with a complete request, which keeps its socket until it has
    /// been answered.
    fn new(slot: &Rc<ClientSlot>, now: f64) -> Option<EvictionCandidate> {
        let (class, quiet_since) = match slot.state() {
            ConnectionState::Silent { since, .. } if now - since >= INPUT_GRACE_MS => {
                (EvictionClass::Unused, since)
            }
            ConnectionState::Silent { since, .. } => (EvictionClass::Incomplete, since),
            ConnectionState::Idle { since } => (EvictionClass::Idle, since),
            ConnectionState::Draining { since } => (EvictionClass::Draining, since),
            ConnectionState::Receiving(request) if request.is_steady(now) => {
                (EvictionClass::Steady, request.last_input_at)
            }
            ConnectionState::Receiving(request) => (EvictionClass::Incomplete, request.last_input_at),
            ConnectionState::Processing | ConnectionState::Writing { .. } => return None,
        };
        Some(EvictionCandidate { class, quiet_since, slot: slot.clone() })
    }

    /// Whether closing the connection frees memory that was set aside for the rest of its request.
    fn holds_memory(&self) -> bool {
        let incomplete = matches!(self.class, EvictionClass::Incomplete | EvictionClass::Steady);
        incomplete && self.slot.reading_body.get()
    }

    /// How long the connection has to be quiet before it is closed for a client that has waited for
    /// `waited_ms`.
    fn required_quiet_ms(&self, waited_ms: f64) -> f64 {
        match self.class {
            EvictionClass::Unused | EvictionClass::Idle | EvictionClass::Draining => 0.0,
            EvictionClass::Incomplete | EvictionClass::Steady => {
                (INPUT_GRACE_MS - waited_ms).max(MIN_INPUT_GRACE_MS)
            }
        }
    }
}

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
    /// Freed after the slot is removed, and before whoever waits for it runs.
    _permit: Permit,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.slots.slots.borrow_mut().remove(&self.id);
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

    /// Waits for a socket for a client that has been waiting since `waiting_since` (ms) at the
    /// earliest. Closes connections that have no complete request to free one. Returns `None` if the
    /// client has waited for too long and no connection can be closed.
    pub async fn make_room(&self, waiting_since: f64) -> Option<Permit> {
        loop {
            if let Some(permit) = self.try_acquire() {
                return Some(permit);
            }
            let now = (self.now)();
            match self.choose_eviction(now, now - waiting_since, |_| true) {
                Some(slot) => slot.request_eviction(),
                None if now - waiting_since >= MAX_WAIT_MS => return None,
                None => {}
            }
            // The chosen connection may have received input at this very moment; the next round
            // picks another.
            let _ = tokio::time::timeout(duration_from_ms(EVICTION_PERIOD_MS), self.freed.notified()).await;
        }
    }

    /// Waits for memory for a request of which the first byte was sent at `waiting_since` (ms). Closes connections that hold
    /// memory for a request that has stopped arriving. Returns `None` if the request has waited for too long, or if its
    /// client has left.
    pub async fn make_room_in_memory(
        &self,
        waiting: &ClientSlot,
        waiting_since: f64,
        reserve: impl Future<Output = Option<Reservation>>,
    ) -> Option<Reservation> {
        let mut reserve = pin!(reserve);
        loop {
            let now = (self.now)();
            let waited_ms = now - waiting_since;
            if waited_ms >= MAX_WAIT_MS || (waiting.peek)().peer_has_closed() {
                return None;
            }
            if let Some(slot) = self.choose_eviction(now, waited_ms, EvictionCandidate::holds_memory) {
                slot.request_eviction();
            }
            let period = duration_from_ms(EVICTION_PERIOD_MS.min(MAX_WAIT_MS - waited_ms));
            if let Ok(reservation) = tokio::time::timeout(period, &mut reserve).await {
                return reservation;
            }
        }
    }

    /// Records a connection that holds a socket.
    pub fn occupy(self: &Rc<Self>, slot: ClientSlot, permit: Permit) -> OccupiedSlot {
        let (id, slot) = (self.last_id.get() + 1, Rc::new(slot));
        self.last_id.set(id);
        self.slots.borrow_mut().insert(id, slot.clone());
        OccupiedSlot { slots: self.clone(), id, slot, _permit: permit }
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
        self.for_each(|slot| match slot.state() {
            ConnectionState::Silent { .. } => socket_use.silent += 1,
            ConnectionState::Idle { .. } => socket_use.idle += 1,
            ConnectionState::Receiving(_) => socket_use.receiving += 1,
            ConnectionState::Processing | ConnectionState::Writing { .. } => socket_use.answering += 1,
            ConnectionState::Draining { .. } => socket_use.draining += 1,
        });
        socket_use
    }

    /// Chooses the connection to close for a client that has waited for `waited_ms`, among those that
    /// `frees_what_is_needed`: of the first class that has any, the one that has been quiet longest. Connections of a later class are
    /// spared even if they have been quiet for longer, as those of the first class can be closed
    /// soon. Unread input may complete a request; on an idle connection it is answered before the
    /// close.
    fn choose_eviction(
        &self,
        now: f64,
        waited_ms: f64,
        frees_what_is_needed: impl Fn(&EvictionCandidate) -> bool,
    ) -> Option<Rc<ClientSlot>> {
        let slots = self.slots.borrow();
        let mut candidates: Vec<_> =
            slots.values().filter_map(|slot| EvictionCandidate::new(slot, now)).collect();
        candidates.retain(frees_what_is_needed);
        let first_class = candidates.iter().map(|candidate| candidate.class).min()?;
        candidates.retain(|candidate| candidate.class == first_class);
        candidates.sort_by(|a, b| a.quiet_since.total_cmp(&b.quiet_since));
        let chosen =
            candidates.into_iter().find(|c| c.class == EvictionClass::Idle || c.slot.input_is_empty())?;
        (now - chosen.quiet_since >= chosen.required_quiet_ms(waited_ms)).then_some(chosen.slot)
    }
}
