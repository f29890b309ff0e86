//! The socket budget: descriptors are shared out before they run out.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors kept for what is not counted: standard streams, the runtime's own, the listener,
/// discovery, and those that a close has not freed yet.
pub const RESERVED_DESCRIPTORS: usize = 32;

/// Descriptors of one side.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Rc<Cell<usize>>,
    limit: usize,
}

/// One descriptor; free again when dropped.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Budget {
    /// Shares the sockets out: for clients and for targets. A flow needs one of each, and a repeat or
    /// a probe one more of the latter.
    pub fn split(sockets: usize) -> (Budget, Budget) {
        let free = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(4);
        // The platform's clients hold up to a third of all for their requests; some hold more for none.
        // Where the reserve is most of it, three sevenths of the rest would be less than that third, and
        // requests would wait unaccepted on connections that the machine has accepted.
        let clients = (free * 3 / 7).max(sockets / 3 + 1).min(free - 2);
        (Budget::new(clients), Budget::new(free - clients))
    }

    /// A budget of so many.
    pub fn new(limit: usize) -> Budget {
        Budget { used: Rc::default(), limit }
    }

    /// A descriptor, where one is left.
    pub fn try_acquire(&self) -> Option<Permit> {
        (self.used.get() < self.limit).then(|| {
            self.used.set(self.used.get() + 1);
            Permit(self.used.clone())
        })
    }

    /// Descriptors in all.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Descriptors in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}
