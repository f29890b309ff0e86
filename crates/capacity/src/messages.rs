//! The platform's messages and a sidecar's configuration, as JSON.

use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};

/// The request class of all measurements; its requests are safe to retry.
pub const REQUEST_CLASS: &str = "read";
/// Number of zones that endpoints are spread over evenly.
pub const ZONE_COUNT: u64 = 8;
const MICROS_PER_MS: i64 = 1_000;

/// The phases that a list may give an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The endpoint accepts requests.
    InService,
    /// The endpoint only finishes the requests it has.
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

/// Returns the id of the endpoint with this number.
pub fn endpoint_id(number: usize) -> String {
    format!("s-{:08x}", (number as u32).wrapping_mul(0x9e37_79b1))
}

/// Builds one entry of discovery's list.
pub fn list_entry(number: usize, address: SocketAddr, phase: Phase) -> Value {
    json!({
        "id": endpoint_id(number),
        "host_port": address.to_string(),
        "locality": format!("zone-{}", number as u64 % ZONE_COUNT),
        "flavor": "m2",
        "cell": number as u64 % 64,
        "phase": phase.name(),
        "size": 1.0,
        "up_since_ms": 0,
    })
}

/// Builds a list, or changes to a list, in discovery's form.
pub fn list_message(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Builds the platform's settings for a sidecar in a fleet of this many sidecars. Lists are pushed, load
/// reports come with answers, and there are no probes.
pub fn sidecar_settings(sidecars: usize, keyed: bool) -> Value {
    json!({
        "discovery": "pushed",
        "fleet_size": sidecars,
        "locality": "zone-0",
        "limits": {"cancel": true, "max_attempts": 3, "max_retry_after": 1_000 * MICROS_PER_MS,
                   "probes": false, "retry_after": true, "second_copies": false},
        "obligations": {"cold_from": 0.12, "fall_multiple": 4.0, "grace_to_answer": 20 * MICROS_PER_MS,
                        "warm_up": 23_000 * MICROS_PER_MS},
        "report": {"how": "inline", "names": ["inflight"]},
        "family_info": {"warm_keys": keyed},
        "request_classes": [{"name": REQUEST_CLASS, "aim": 600 * MICROS_PER_MS,
                             "give_up": 1_500 * MICROS_PER_MS, "worth": 2.0, "effect": "retryable"}],
    })
}

/// Builds the configuration of one sidecar.
pub fn sidecar_config(
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

/// Returns the address of the endpoint with this number, in 127.32.0.0 and up.
pub fn endpoint_address(number: usize, port: u16) -> SocketAddr {
    let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 32 + high % 64, middle, low), port))
}
