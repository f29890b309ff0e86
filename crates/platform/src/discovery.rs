//! Discovery's lists of config servers: the target group and its changes.

use crate::wire::tag;
use roseproxy_decision::interface::{Readiness, ServerId, Update};
use roseproxy_routing::flow::Target;
use serde_json::Value;

/// Where the whole list is.
pub const LIST: &str = "/registry/instances";
/// Entries of one list that are read; more than any fleet here has, and a bound for memory.
const MOST_MEMBERS: usize = 4096;

/// Where the changes after a version are.
pub fn watch_path(revision: u64) -> String {
    format!("{LIST}?stream=1&index={revision}")
}

/// A list or the changes to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its version.
    pub revision: u64,
    /// Whether it names all there are.
    pub update: Update,
    /// Its entries.
    pub targets: Vec<Target>,
    /// Entries that could not be read. A list with any is never taken as complete: a member that
    /// only could not be read has not left.
    pub unread: usize,
}

/// Reads a list from its text.
pub fn read(text: &[u8]) -> Result<Listing, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    from_json(&value)
}

/// Reads a list.
pub fn from_json(value: &Value) -> Result<Listing, String> {
    let revision = value.get("revision").and_then(Value::as_u64);
    let revision = revision.ok_or("revision is not a whole number")?;
    let complete = value.get("complete").and_then(Value::as_bool);
    let complete = complete.ok_or("complete is neither true nor false")?;
    let members = value.get("members").and_then(Value::as_array).ok_or("members is not a list")?;
    let targets: Vec<Target> = members.iter().take(MOST_MEMBERS).filter_map(member).collect();
    let unread = members.len() - targets.len();
    let update = if complete && unread == 0 { Update::Complete } else { Update::Changes };
    Ok(Listing { revision, update, targets, unread })
}

fn member(value: &Value) -> Option<Target> {
    let text = |name| value.get(name).and_then(Value::as_str);
    let started = value.get("up_since_ms").and_then(Value::as_f64).unwrap_or(0.0);
    Some(Target {
        id: ServerId(tag(text("id").filter(|id| !id.is_empty())?)),
        address: text("host_port")?.parse().ok()?,
        zone: tag(text("locality").unwrap_or("")) as u32,
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0) as u32,
        kind: tag(text("flavor").unwrap_or("")) as u32,
        power: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        started_at: (started > 0.0).then_some(started),
        readiness: match text("phase")? {
            "in_service" => Readiness::Ready,
            "terminating" => Readiness::Draining,
            "terminated" => Readiness::Gone,
            _ => return None,
        },
    })
}
