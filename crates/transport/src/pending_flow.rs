//! What the gateway keeps of a flow until it has been answered.

use super::answer_memory::AnswerAllowance;
use super::memory::HeldMemory;
use super::memory_budget::Reservation;
use super::network::Peek;
use super::request_ids::RequestIdClaim;
use roseproxy_platform::request::ForwardedRequest;
use roseproxy_routing::flow::Answer;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// A flow that waits for its answer.
pub(super) struct PendingFlow {
    pub request: PendingRequest,
    /// Inspects the client's connection.
    pub peek_client: Peek,
    pub answer: oneshot::Sender<Answer>,
    /// Keeps other requests from using the request's id.
    pub id_claim: RequestIdClaim,
    /// Whether an attempt has been written whole, so that the request may have run.
    pub written: Cell<bool>,
    /// Accounts for the memory of the request's head.
    pub _head: HeldMemory,
}

impl PendingFlow {
    /// Gives the answer to the client's connection.
    pub fn end_with(self, answer: Answer) {
        let outcome_unknown = matches!(answer, Answer::Failed);
        let PendingFlow { answer: sender, id_claim, written, .. } = self;
        release(id_claim, outcome_unknown && written.get());
        // A client that left at this very moment does not receive the answer, which is no loss.
        let _ = sender.send(answer);
    }

    /// Ends the flow of a client that has left. If its request may have run, its id stays in use.
    pub fn end_by_departure(self) {
        release(self.id_claim, self.written.get());
    }
}

fn release(id_claim: RequestIdClaim, may_have_run: bool) {
    if may_have_run {
        id_claim.retire();
    }
}

/// What the attempts of a flow share.
#[derive(Clone)]
pub(super) struct PendingRequest {
    pub request: Rc<ForwardedRequest>,
    /// Notifies the flow's forwards that no one waits for the answer any more.
    pub ended: Rc<Notify>,
    /// The memory reserved for the flow's answer.
    pub answer_allowance: AnswerAllowance,
}

/// The memory reserved for a request when it was admitted.
pub struct RequestMemory {
    /// For its head.
    pub head: Reservation,
    /// For its answer.
    pub answer: Reservation,
}
