//! The connection pools of the applications to their sidecars.

use crate::http::Wire;
use std::cell::RefCell;
use tokio::sync::Semaphore;

/// Clients use at most one of so many descriptors of a sidecar for their requests.
const CLIENT_SHARE: usize = 3;

/// Idle connections by sidecar, and the permits that limit concurrent requests.
pub(super) struct Connections<S> {
    free: RefCell<Vec<Vec<Wire<S>>>>,
    places: Vec<Semaphore>,
}

impl<S> Connections<S> {
    /// Creates empty pools for so many sidecars with so many descriptors each.
    pub(super) fn new(sidecars: usize, descriptors: usize) -> Connections<S> {
        Connections {
            free: RefCell::new((0..sidecars).map(|_| Vec::new()).collect()),
            places: (0..sidecars).map(|_| Semaphore::new(descriptors / CLIENT_SHARE)).collect(),
        }
    }

    /// The permits for concurrent requests to a sidecar.
    pub(super) fn places(&self, sidecar: usize) -> &Semaphore {
        &self.places[sidecar]
    }

    /// Takes an idle connection, the last used first.
    pub(super) fn take(&self, sidecar: usize) -> Option<Wire<S>> {
        self.free.borrow_mut()[sidecar].pop()
    }

    /// Returns a connection to the pool.
    pub(super) fn keep(&self, sidecar: usize, wire: Wire<S>) {
        self.free.borrow_mut()[sidecar].push(wire);
    }

    /// Closes the idle connections to a sidecar.
    pub(super) fn close(&self, sidecar: usize) {
        self.free.borrow_mut()[sidecar].clear();
    }
}
