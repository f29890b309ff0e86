//! Connection pools of the applications to their sidecars.

use crate::http::Wire;
use std::cell::RefCell;
use tokio::sync::Semaphore;

/// Clients send at most one concurrent request per this many descriptors of a sidecar.
const DESCRIPTORS_PER_CLIENT_REQUEST: usize = 3;

/// The idle connections to each sidecar and the permits that limit concurrent requests.
pub(super) struct Connections<S> {
    idle: RefCell<Vec<Vec<Wire<S>>>>,
    permits: Vec<Semaphore>,
}

impl<S> Connections<S> {
    /// Creates empty pools for `sidecars` sidecars with `descriptors` descriptors each.
    pub(super) fn new(sidecars: usize, descriptors: usize) -> Connections<S> {
        Connections {
            idle: RefCell::new((0..sidecars).map(|_| Vec::new()).collect()),
            permits: (0..sidecars)
                .map(|_| Semaphore::new(descriptors / DESCRIPTORS_PER_CLIENT_REQUEST))
                .collect(),
        }
    }

    /// The permits for concurrent requests to a sidecar.
    pub(super) fn permits(&self, sidecar: usize) -> &Semaphore {
        &self.permits[sidecar]
    }

    /// Takes the most recently used idle connection.
    pub(super) fn take_idle(&self, sidecar: usize) -> Option<Wire<S>> {
        self.idle.borrow_mut()[sidecar].pop()
    }

    /// Returns a connection to the pool of its sidecar.
    pub(super) fn return_idle(&self, sidecar: usize, wire: Wire<S>) {
        self.idle.borrow_mut()[sidecar].push(wire);
    }

    /// Closes the idle connections to a sidecar.
    pub(super) fn close_idle(&self, sidecar: usize) {
        self.idle.borrow_mut()[sidecar].clear();
    }
}
