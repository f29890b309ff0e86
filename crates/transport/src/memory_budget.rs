//! The memory budget: divides the process's memory between messages and connections before it runs out.

use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Share of the process's memory for the messages in hand: requests until they are answered, and answers until they
/// are written.
const MESSAGE_SHARE: f64 = 0.4;
/// Share of the process's memory for the buffers and tasks of connections. The rest is for the program, its list of
/// targets and what the allocator cannot use.
const CONNECTION_SHARE: f64 = 0.4;
/// What a connection takes at most: read and write buffers with a long head, and its tasks.
const CONNECTION_BYTES: f64 = 28.0 * 1024.0;
/// Most that the budget counts; far more than messages can need with the sockets that a process can have.
const MAX_BUDGET_BYTES: f64 = (u32::MAX / 2) as f64;

/// The memory that messages may hold together. Clones share the same budget. Whoever waits for memory gets it in the
/// order of asking, so that no message waits behind later ones.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Arc<Semaphore>,
    limit: usize,
    /// Whether nobody may wait for memory any more.
    waits_ended: Rc<watch::Sender<bool>>,
}

/// Memory of a [`MemoryBudget`] (bytes); returned to it on drop.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

/// Most connections that a process with this much memory (bytes) can hold.
pub fn max_connections(memory_bytes: usize) -> usize {
    (memory_bytes as f64 * CONNECTION_SHARE / CONNECTION_BYTES) as usize
}

impl MemoryBudget {
    /// Creates the budget for the messages of a process that may take `memory_bytes` in all.
    pub fn of_process(memory_bytes: usize) -> MemoryBudget {
        MemoryBudget::new((memory_bytes as f64 * MESSAGE_SHARE).min(MAX_BUDGET_BYTES) as usize)
    }

    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            free: Arc::new(Semaphore::new(limit)),
            limit,
            waits_ended: Rc::new(watch::Sender::new(false)),
        }
    }

    /// Reserves `bytes`, and waits for them if they are not free. Returns `None` if they are more than the whole
    /// budget, or if nobody may wait any more.
    pub async fn reserve(&self, bytes: usize) -> Option<Reservation> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Some(reservation);
        }
        let permits = self.permits(bytes)?;
        let mut waits_ended = self.waits_ended.subscribe();
        tokio::select! {
            biased;
            permit = self.free.clone().acquire_many_owned(permits) => permit.ok().map(Reservation),
            _ = waits_ended.wait_for(|ended| *ended) => None,
        }
    }

    /// Reserves `bytes` if they are free and nobody waits for memory.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permits = self.permits(bytes)?;
        self.free.clone().try_acquire_many_owned(permits).ok().map(Reservation)
    }

    /// Turns away all who wait; from now on nobody waits.
    pub fn end_waits(&self) {
        self.waits_ended.send_replace(true);
    }

    /// The total number of bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of bytes reserved.
    pub fn reserved(&self) -> usize {
        self.limit - self.free.available_permits()
    }

    fn permits(&self, bytes: usize) -> Option<u32> {
        u32::try_from(bytes).ok().filter(|_| bytes <= self.limit)
    }
}

impl Reservation {
    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }

    /// Takes `bytes` off into a reservation of their own; all of them if there are fewer.
    pub fn split_off(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes());
        Reservation(self.0.split(bytes).expect("no more than there are"))
    }

    /// Returns what is beyond `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        drop(self.split_off(self.bytes().saturating_sub(bytes)));
    }
}
