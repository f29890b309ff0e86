//! Where the memory for the body of an answer comes from.

use super::memory::{HeldMemory, MessageKind, MessageMemory};
use super::memory_budget::{MemoryBudget, Reservation};
use std::sync::{Arc, Mutex, PoisonError};

/// The memory for one answer that a flow reserved when it was admitted, so that a flow that has been taken always has
/// room for its answer. It is used by one attempt at a time. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct AnswerAllowance(Arc<Mutex<Option<Reservation>>>);

impl AnswerAllowance {
    pub fn new(reservation: Reservation) -> AnswerAllowance {
        AnswerAllowance(Arc::new(Mutex::new(Some(reservation))))
    }

    /// Takes the memory unless another attempt uses it.
    pub fn take(&self) -> Option<Reservation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Gives the memory back for the next attempt.
    pub fn put_back(&self, reservation: Reservation) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(reservation);
    }
}

/// Who provides the memory.
#[derive(Debug)]
enum Provider {
    /// The flow, or the budget if another attempt of the flow uses its allowance.
    Flow(AnswerAllowance, MemoryBudget),
    /// The budget.
    Budget(MemoryBudget),
    /// Nobody: the memory is set aside for good.
    SetAside,
}

/// Provides the memory for the body of one answer, and accounts for it.
#[derive(Debug)]
pub struct AnswerMemory {
    provider: Provider,
    kind: MessageKind,
    usage: MessageMemory,
    /// Longest body that is read (bytes).
    pub(super) max_body_bytes: usize,
}

impl AnswerMemory {
    /// Memory for an answer to an attempt of a flow.
    pub(super) fn of_flow(
        allowance: AnswerAllowance,
        budget: &MemoryBudget,
        usage: &MessageMemory,
    ) -> AnswerMemory {
        AnswerMemory::new(Provider::Flow(allowance, budget.clone()), MessageKind::Answer, usage)
    }

    /// Memory for an answer to a request of this sidecar's own.
    pub fn of_budget(budget: &MemoryBudget, usage: &MessageMemory) -> AnswerMemory {
        AnswerMemory::new(Provider::Budget(budget.clone()), MessageKind::Answer, usage)
    }

    /// Memory for a list from discovery of at most `max_body_bytes`, which is no part of the budget.
    pub(super) fn of_list(max_body_bytes: usize, usage: &MessageMemory) -> AnswerMemory {
        AnswerMemory { max_body_bytes, ..AnswerMemory::new(Provider::SetAside, MessageKind::List, usage) }
    }

    fn new(provider: Provider, kind: MessageKind, usage: &MessageMemory) -> AnswerMemory {
        let max_body_bytes = roseproxy_platform::MAX_BODY_BYTES;
        AnswerMemory { provider, kind, usage: usage.clone(), max_body_bytes }
    }

    /// Waits for the memory of a body of at most this length. Returns `None` if it can never be had.
    pub(super) async fn reserve(&self, max_length: usize) -> Option<HeldMemory> {
        let held = self.usage.hold(self.kind);
        match &self.provider {
            Provider::SetAside => Some(held),
            Provider::Budget(budget) => Some(held.with_reservation(budget.reserve(max_length).await?)),
            Provider::Flow(allowance, budget) => match allowance.take() {
                Some(reservation) => Some(held.with_allowance(reservation, allowance)),
                None => Some(held.with_reservation(budget.reserve(max_length).await?)),
            },
        }
    }
}
