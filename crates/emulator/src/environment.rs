//! The state that all parties of a simulation share: network, schedule, addresses, clock and request
//! accounting.

use crate::accounting::{RequestAccounting, Rule};
use crate::addresses::Addresses;
use crate::clock::Clock;
use crate::fabric::Fabric;
use crate::schedule::Schedule;
use std::cell::RefCell;
use std::rc::Rc;

/// The state shared by clients, servers and discovery.
#[derive(Debug)]
pub struct Environment<F: Fabric> {
    /// The network.
    pub fabric: F,
    /// The schedule of the scenario, as drawn by its seed.
    pub schedule: Rc<Schedule>,
    /// The addresses of all parties.
    pub addresses: Addresses,
    /// The clock.
    pub clock: Clock,
    /// The request accounting.
    pub accounting: Rc<RefCell<RequestAccounting>>,
}

impl<F: Fabric> Environment<F> {
    /// Creates an environment whose clock starts now; `epoch` is the Unix time (ms) of that start.
    pub fn new(fabric: F, schedule: Schedule, addresses: Addresses, epoch: f64) -> Environment<F> {
        let (schedule, clock) = (Rc::new(schedule), Clock::new(epoch));
        Environment { fabric, schedule, addresses, clock, accounting: Rc::default() }
    }

    /// Opens a stream to a sidecar, as its application does; returns the error of the network.
    pub async fn connect(&self, sidecar: usize) -> std::io::Result<F::Stream> {
        self.fabric.connect(self.addresses.listen(sidecar)).await
    }

    /// Records that a sidecar violates a rule now; `flow` is the number of the arrival concerned, if any.
    pub fn record_violation(&self, rule: Rule, sidecar: usize, flow: Option<usize>, what: String) {
        self.accounting.borrow_mut().record_violation(self.clock.now(), rule, Some(sidecar), flow, what);
    }
}
