//! The connections that applications hold to their sidecars.

use crate::http::Wire;
use std::cell::RefCell;
use tokio::sync::Semaphore;

/// Share of a sidecar's descriptors that its clients hold at most for requests.
const CLIENT_SHARE: usize = 3;

/// Connections by sidecar: those that are free, and the places for requests.
pub(super) struct Connections<S> {
    free: RefCell<Vec<Vec<Wire<S>>>>,
    places: Vec<Semaphore>,
}

impl<S> Connections<S> {
    /// None yet, to so many sidecars with so many descriptors each.
    pub(super) fn new(sidecars: usize, descriptors: usize) -> Connections<S> {
        Connections {
            free: RefCell::new((0..sidecars).map(|_| Vec::new()).collect()),
            places: (0..sidecars).map(|_| Semaphore::new(descriptors / CLIENT_SHARE)).collect(),
        }
    }

    /// The places that clients have at a sidecar, for requests.
    pub(super) fn places(&self, sidecar: usize) -> &Semaphore {
        &self.places[sidecar]
    }

    /// Takes a connection that is free.
    pub(super) fn take(&self, sidecar: usize) -> Option<Wire<S>> {
        self.free.borrow_mut()[sidecar].pop()
    }

    /// Keeps a connection for the next request.
    pub(super) fn keep(&self, sidecar: usize, wire: Wire<S>) {
        self.free.borrow_mut()[sidecar].push(wire);
    }

    /// Closes those that are free.
    pub(super) fn close(&self, sidecar: usize) {
        self.free.borrow_mut()[sidecar].clear();
    }
}
