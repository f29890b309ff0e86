//! What a target's answer, or the lack of one, says of a forward.

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::{HeaderMap, StatusCode};
use roseproxy_decision::interface::Outcome;
use roseproxy_routing::flow::ForwardEnd;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// The end of a forward that was answered whole.
pub fn of_answer(status: StatusCode, headers: &HeaderMap, body: Bytes) -> ForwardEnd {
    let turned_away = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    let not_started = headers.get(NOT_STARTED).is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => ForwardEnd::Served(body),
        _ if turned_away && not_started => ForwardEnd::Failed(Outcome::Rejected),
        // Whatever it is, nothing proves that the request never ran.
        _ => ForwardEnd::Failed(Outcome::Error),
    }
}

/// The end of a forward whose connection broke. Only the request's last byte makes it one that may
/// have run: a target begins no sooner.
pub fn of_break(last_byte_written: bool) -> ForwardEnd {
    ForwardEnd::Failed(if last_byte_written { Outcome::Broken } else { Outcome::Unreachable })
}
