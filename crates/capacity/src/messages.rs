//! What the platform sends and what a sidecar is configured with, as JSON.

use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

/// The one request class of all measurements: safe to repeat.
pub const CLASS: &str = "read";
/// Zones that endpoints are spread over evenly.
pub const ZONES: u64 = 8;
/// Microseconds in a millisecond.
const MS: i64 = 1_000;

/// The phases in which a list may name an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    InService,
    /// It finishes what it has.
    Terminating,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Terminating => "terminating",
        }
    }
}

/// The id of an endpoint by its number.
pub fn endpoint_id(number: usize) -> String {
    format!("s-{:08x}", (number as u32).wrapping_mul(0x9e37_79b1))
}

/// One entry of discovery's list.
pub fn entry(number: usize, address: SocketAddr, phase: Phase) -> Value {
    json!({
        "id": endpoint_id(number),
        "host_port": address.to_string(),
        "locality": format!("zone-{}", number as u64 % ZONES),
        "flavor": "m2",
        "cell": number as u64 % 64,
        "phase": phase.name(),
        "size": 1.0,
        "up_since_ms": 0,
    })
}

/// A list, or the changes to one, as discovery words it.
pub fn listing(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// The platform's figures as a sidecar of such a fleet gets them. Lists are pushed; reports come
/// with answers; there are no probes.
pub fn settings(sidecars: usize, keyed: bool) -> Value {
    json!({
        "discovery": "pushed",
        "fleet_size": sidecars,
        "locality": "zone-0",
        "limits": {"cancel": true, "max_attempts": 3, "max_retry_after": 1_000 * MS, "probes": false,
                   "retry_after": true, "second_copies": false},
        "obligations": {"cold_from": 0.12, "fall_multiple": 4.0, "grace_to_answer": 20 * MS,
                        "warm_up": 23_000 * MS},
        "report": {"how": "inline", "names": ["inflight"]},
        "family_info": {"warm_keys": keyed},
        "request_classes": [{"name": CLASS, "aim": 600 * MS, "give_up": 1_500 * MS, "worth": 2.0,
                             "effect": "retryable"}],
    })
}

/// The configuration of one sidecar.
pub fn configuration(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    settings: &Value,
) -> Value {
    json!({
        "name": name,
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": settings,
    })
}

/// The address of an endpoint by its number, in 127.32.0.0 and up.
pub fn endpoint_address(number: usize, port: u16) -> SocketAddr {
    let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 32 + high % 64, middle, low), port))
}
