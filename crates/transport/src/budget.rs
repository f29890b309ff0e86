//! The socket budget: divides the file descriptors between clients and targets before they run out.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors reserved for what is not counted: standard streams, the runtime, the listener, the
/// connection to discovery, and descriptors whose close has not taken effect yet.
pub const RESERVED_DESCRIPTORS: usize = 32;

/// The descriptors of one side, clients or targets. Clones share the same count.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Rc<Cell<usize>>,
    limit: usize,
}

/// One descriptor of a [`Budget`]; returned to it on drop.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Budget {
    /// Divides the sockets into a budget for clients and one for targets. A flow needs one socket
    /// of each; a retry or a probe needs one more for a target.
    pub fn split(sockets: usize) -> (Budget, Budget) {
        let free = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(4);
        // The platform's clients hold up to a third of all sockets for their requests, and some
        // hold additional connections without sending requests. With few sockets most of them are
        // reserved: three sevenths of the rest would then be less than that third, and requests
        // would wait unaccepted on connections that the kernel has already established.
        let clients = (free * 3 / 7).max(sockets / 3 + 1).min(free - 2);
        (Budget::new(clients), Budget::new(free - clients))
    }

    /// Creates a budget of `limit` descriptors.
    pub fn new(limit: usize) -> Budget {
        Budget { used: Rc::default(), limit }
    }

    /// Takes a descriptor if one is left.
    pub fn try_acquire(&self) -> Option<Permit> {
        (self.used.get() < self.limit).then(|| {
            self.used.set(self.used.get() + 1);
            Permit(self.used.clone())
        })
    }

    /// The total number of descriptors.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of descriptors in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}
