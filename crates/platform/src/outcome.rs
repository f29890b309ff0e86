//! The outcome of a forward, derived from the target's response or from the loss of its connection.

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::{HeaderMap, StatusCode};
use roseproxy_decision::interface::Outcome;
use roseproxy_routing::flow::ForwardEnd;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// Classifies a complete response. Only a 503 or 504 with `Not-Started: 1` counts as a rejection that is
/// known not to have run.
pub fn from_answer(status: StatusCode, headers: &HeaderMap, body: Bytes) -> ForwardEnd {
    let rejected = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    let not_started = headers.get(NOT_STARTED).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => ForwardEnd::Served(body),
        _ if rejected && not_started => ForwardEnd::Failed(Outcome::Rejected),
        // Nothing in any other response proves that the request did not run.
        _ => ForwardEnd::Failed(Outcome::Error),
    }
}

/// Classifies a forward whose connection broke. The request may have run only if its last byte was
/// written, because a target does not start before it has the complete request.
pub fn from_disconnect(last_byte_written: bool) -> ForwardEnd {
    ForwardEnd::Failed(if last_byte_written { Outcome::Broken } else { Outcome::Unreachable })
}
