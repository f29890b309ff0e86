//! The words of routing: flows, forwards, targets, and the orders it gives.

use bytes::Bytes;
use roseproxy_decision::interface::{ClassId, Load, Outcome, Readiness, ServerId};
use std::net::SocketAddr;

/// The program's own number of a flow; a client's `Request-Id` only passes through.
pub type FlowId = u64;

/// One attempt of a flow: its number counts from 0 in order of sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ForwardId {
    /// The flow it belongs to.
    pub flow: FlowId,
    /// Its number.
    pub attempt: usize,
}

/// What a front says of a request that it has read whole.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow {
    /// Its class.
    pub class: ClassId,
    /// Index of its tenant, where the settings name it.
    pub tenant: Option<usize>,
    /// Stable hash of what it is about.
    pub key: Option<u64>,
    /// How long the client waits, in milliseconds from when it sent the request.
    pub time_left: f64,
}

/// The one whole answer that a flow gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A target's body, unchanged.
    Served(Bytes),
    /// A fixed response: refused, and trying again is harmless; with advice in milliseconds.
    Refused {
        /// How long the client should stay away; 0 for no advice.
        retry_after: f64,
    },
    /// A fixed response: failed, with no promise.
    Failed,
}

/// How a forward ended, as the transport saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardEnd {
    /// A whole body came.
    Served(Bytes),
    /// Anything else.
    Lost(Outcome),
}

impl ForwardEnd {
    /// The module's word for it.
    pub fn outcome(&self) -> Outcome {
        match self {
            ForwardEnd::Served(_) => Outcome::Served,
            ForwardEnd::Lost(outcome) => *outcome,
        }
    }
}

/// One entry of the target group.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its id, the same at every sidecar.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tag of its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Tag of its machine kind.
    pub kind: u32,
    /// Capacity compared with the others'.
    pub power: f64,
    /// Its last start in clock time (milliseconds); `None` for long ago.
    pub started_at: Option<f64>,
    /// Whether it takes new work.
    pub readiness: Readiness,
}

/// What a probe brought.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// The target's load, where it said so.
    pub load: Option<Load>,
}

/// What routing wants done on the network. Everything comes back as a call to the [`super::Host`].
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send a flow's request to a target.
    Forward {
        /// Which attempt.
        id: ForwardId,
        /// To whom.
        target: ServerId,
        /// Where that listens.
        address: SocketAddr,
        /// How long the answer is awaited, in milliseconds.
        patience: f64,
    },
    /// Stop a forward; nothing more is to be heard of it.
    GiveUp(ForwardId),
    /// Give a flow its answer.
    Answer(FlowId, Answer),
    /// Ask a target for its load.
    Probe(ServerId, SocketAddr),
    /// Stop a probe; nothing more is to be heard of it.
    GiveUpProbe(ServerId),
    /// Close idle connections to a target.
    CloseIdle(ServerId),
    /// Watch the target group.
    Watch,
}
