//! Types shared with front ends: flows, forwards, targets, and the host's orders.

use bytes::Bytes;
use roseproxy_decision::interface::{ClassId, Load, Outcome, Readiness, ServerId};
use std::net::SocketAddr;

/// The program's own number of a flow; a client's `Request-Id` is only passed through.
pub type FlowId = u64;

/// Identifies one attempt of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ForwardId {
    /// The flow that the attempt belongs to.
    pub flow: FlowId,
    /// Number of the attempt, from 0 in the order of sending.
    pub attempt: usize,
}

/// A request that a front end has read completely.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow {
    /// Class of the request.
    pub class: ClassId,
    /// Index of the request's tenant, if the settings name the tenant.
    pub tenant: Option<usize>,
    /// Stable hash of the key that the request concerns.
    pub key: Option<u64>,
    /// Time until the client gives up, counted from when it sent the request (ms).
    pub time_left: f64,
}

/// The single complete answer of a flow.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A target's body, unchanged.
    Served(Bytes),
    /// A fixed response: refused, and a retry by the client is harmless.
    Refused {
        /// Time for which the client should not retry (ms); 0 for no advice.
        retry_after: f64,
    },
    /// A fixed response: failed, without any guarantee about effects.
    Failed,
}

/// How a forward ended, as the transport observed it.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEnd {
    /// A complete body arrived.
    Served(Bytes),
    /// Any other outcome.
    Failed(Outcome),
}

impl ForwardEnd {
    /// Returns the corresponding outcome of the decision module.
    pub fn outcome(&self) -> Outcome {
        match self {
            ForwardEnd::Served(_) => Outcome::Served,
            ForwardEnd::Failed(outcome) => *outcome,
        }
    }
}

/// One entry of the target list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of the target, the same at every sidecar.
    pub id: ServerId,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Tag of the target's zone.
    pub zone: u32,
    /// Tag of the target's cell.
    pub cell: u32,
    /// Tag of the target's machine kind.
    pub kind: u32,
    /// Capacity relative to the other targets.
    pub power: f64,
    /// Last start in clock time (ms); `None` if it was long ago.
    pub started_at: Option<f64>,
    /// Whether the target accepts new work.
    pub readiness: Readiness,
}

/// The process behind a target: another one may come up at its address, or under its id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TargetProcess {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// When it started, in clock time (ms); `None` if that was long ago.
    pub started_at: Option<f64>,
}

impl Target {
    /// The process that the list names.
    pub(super) fn process(&self) -> TargetProcess {
        TargetProcess { address: self.address, started_at: self.started_at }
    }
}

/// Result of a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnd {
    /// How the probe ended.
    pub outcome: Outcome,
    /// Load reported by the target, if any.
    pub load: Option<Load>,
}

/// An instruction of the host to the network. Results are reported by calls to [`super::Host`].
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send a flow's request to a target.
    Forward {
        /// The attempt.
        id: ForwardId,
        /// The target.
        target: ServerId,
        /// Address of the target.
        address: SocketAddr,
        /// Time limit for the answer (ms).
        timeout: f64,
    },
    /// Stop a forward; its end must not be reported.
    GiveUp(ForwardId),
    /// Send a flow's answer to its client.
    Answer(FlowId, Answer),
    /// Ask a target for its load.
    Probe(ServerId, SocketAddr),
    /// Stop a probe; its end must not be reported.
    GiveUpProbe(ServerId),
    /// Close idle connections to a target.
    CloseIdle(ServerId),
    /// Call discovery and open a watch on the target list.
    Watch,
}
