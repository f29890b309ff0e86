//! Accounts for the memory that messages hold, by what they are.

use super::answer_memory::AnswerAllowance;
use super::memory_budget::Reservation;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Longest head of a request or an answer that is read. Read buffers do not grow beyond it either. A longer head of a
/// request gets a 431, one of an answer breaks the connection.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// What a message that holds memory is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The body of a client's request: received in part, or kept until its flow has been answered.
    RequestBody,
    /// The body of an answer: received in part, or not yet written to its client.
    Answer,
    /// The head of a request: received in part, or kept until its flow has been answered.
    Head,
    /// A list or change from discovery that has been received in part, or is being read.
    List,
}

/// All kinds with their names in the counters, in the order of [`MessageKind`].
const MESSAGE_KINDS: [(MessageKind, &str); 4] = [
    (MessageKind::RequestBody, "request_bodies"),
    (MessageKind::Answer, "answers"),
    (MessageKind::Head, "heads"),
    (MessageKind::List, "lists"),
];

/// Memory held by the messages of one kind (bytes).
#[derive(Debug, Default)]
struct Usage {
    held: AtomicUsize,
    peak: AtomicUsize,
    /// Number of reads that have brought a part of such a message so far.
    parts: AtomicUsize,
}

/// Memory held by messages, by kind. Clones share the figures.
#[derive(Clone, Debug, Default)]
pub struct MessageMemory(Arc<[Usage; MESSAGE_KINDS.len()]>);

impl MessageMemory {
    /// Begins to account for a message, which holds nothing yet.
    pub fn hold(&self, kind: MessageKind) -> HeldMemory {
        HeldMemory { memory: self.clone(), kind, bytes: 0, reservation: None, allowance: None }
    }

    /// The memory held by messages of one kind (bytes).
    pub fn held(&self, kind: MessageKind) -> usize {
        self.usage(kind).held.load(Ordering::Relaxed)
    }

    fn usage(&self, kind: MessageKind) -> &Usage {
        &self.0[kind as usize]
    }

    /// The figures of all kinds with their names.
    pub(super) fn named_counts(&self) -> Vec<(String, u64)> {
        let named = MESSAGE_KINDS.iter().zip(&*self.0).flat_map(|((_, name), usage)| {
            let figures = [("bytes", &usage.held), ("peak_bytes", &usage.peak), ("parts", &usage.parts)];
            figures.map(|(figure, value)| {
                (format!("memory_{name}_{figure}"), value.load(Ordering::Relaxed) as u64)
            })
        });
        named.collect()
    }
}

/// The memory that one message holds, accounted for until this is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: MessageMemory,
    kind: MessageKind,
    bytes: usize,
    /// What is reserved for the message, if it is part of the budget.
    reservation: Option<Reservation>,
    /// Where the reservation goes if the message does not become whole.
    allowance: Option<AnswerAllowance>,
}

impl HeldMemory {
    /// Records that the message now holds this many bytes.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let usage = self.memory.usage(self.kind);
        usage.held.fetch_add(bytes, Ordering::Relaxed);
        let held = usage.held.fetch_sub(self.bytes, Ordering::Relaxed) - self.bytes;
        usage.peak.fetch_max(held, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Adds what is reserved for the message, returned to the budget on drop.
    pub(super) fn with_reservation(mut self, reservation: Reservation) -> HeldMemory {
        self.reservation = Some(reservation);
        self
    }

    /// Adds what is reserved for the message, returned to `allowance` unless the message becomes whole.
    pub(super) fn with_allowance(
        mut self,
        reservation: Reservation,
        allowance: &AnswerAllowance,
    ) -> HeldMemory {
        self.allowance = Some(allowance.clone());
        self.with_reservation(reservation)
    }

    /// Records that the message is whole and holds this many bytes. What is reserved beyond them is returned to the
    /// budget.
    pub(super) fn complete(&mut self, bytes: usize) {
        self.set(bytes);
        self.allowance = None;
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(bytes);
        }
    }

    /// Records that a read has brought a part of the message.
    pub fn count_part(&self) {
        self.memory.usage(self.kind).parts.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.set(0);
        if let (Some(allowance), Some(reservation)) = (self.allowance.take(), self.reservation.take()) {
            allowance.put_back(reservation);
        }
    }
}
