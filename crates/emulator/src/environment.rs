//! What all parties of a simulation share: the network, the draw, the addresses, the clock and the ledger.

use crate::addresses::Addresses;
use crate::clock::Clock;
use crate::fabric::Fabric;
use crate::ledger::{Ledger, Rule};
use crate::plan::Plan;
use std::cell::RefCell;
use std::rc::Rc;

/// The surroundings of clients, servers and discovery.
#[derive(Debug)]
pub struct Environment<F: Fabric> {
    /// What streams are made of.
    pub fabric: F,
    /// The day's draw.
    pub plan: Rc<Plan>,
    /// The addresses of all parties.
    pub addresses: Addresses,
    /// The clock.
    pub clock: Clock,
    /// What was asked, tried, run and answered.
    pub ledger: Rc<RefCell<Ledger>>,
}

impl<F: Fabric> Environment<F> {
    /// An environment at its beginning; `epoch` is the Unix time (ms) that its clock shows then.
    pub fn new(fabric: F, plan: Plan, addresses: Addresses, epoch: f64) -> Environment<F> {
        let (plan, clock) = (Rc::new(plan), Clock::new(epoch));
        Environment { fabric, plan, addresses, clock, ledger: Rc::default() }
    }

    /// Opens a stream to a sidecar, as its application does.
    pub async fn connect(&self, sidecar: usize) -> std::io::Result<F::Stream> {
        self.fabric.connect(self.addresses.listen(sidecar)).await
    }

    /// Books a rule that a sidecar breaks now, on a flow where there is one.
    pub fn broke(&self, rule: Rule, sidecar: usize, flow: Option<usize>, what: String) {
        self.ledger.borrow_mut().broke(self.clock.now(), rule, Some(sidecar), flow, what);
    }
}
