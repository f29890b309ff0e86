//! What the gateway keeps of a flow until it has been answered.

use super::answer_memory::AnswerAllowance;
use super::memory::HeldMemory;
use super::memory_budget::Reservation;
use super::network::Peek;
use super::request_ids::RequestIdClaim;
use roseproxy_platform::request::ForwardedRequest;
use roseproxy_routing::flow::Answer;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// A flow that waits for its answer.
pub(super) struct PendingFlow {
    pub request: PendingRequest,
    /// Inspects the client's connection.
    pub peek_client: Peek,
    pub answer: oneshot::Sender<Answer>,
    /// Keeps other requests from using the request's id.
    pub _id_claim: RequestIdClaim,
    /// Accounts for the memory of the request's head.
    pub _head: HeldMemory,
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
