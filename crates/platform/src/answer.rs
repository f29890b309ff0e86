//! Answers to the application.

use super::request::Malformed;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use roseproxy_routing::flow::Answer;

/// An answer in HTTP.
pub type Reply = Response<Full<Bytes>>;

/// A plain answer of the sidecar's own.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    reply
}

/// A flow's answer.
pub fn to_client(answer: Answer) -> Reply {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm\n");
            if retry_after > 0.0 {
                let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0));
                reply.headers_mut().extend(seconds.ok().map(|v| (RETRY_AFTER, v)));
            }
            reply
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed; it may have taken effect\n"),
    }
}

/// The answer to a request that is not well-formed. Its connection ends, as the rest of it is unread.
pub fn turned_away(malformed: Malformed) -> Reply {
    let mut reply = plain(malformed.status, format!("{}\n", malformed.reason));
    end_connection(&mut reply);
    reply
}

/// Ends the connection behind an answer.
pub fn end_connection(reply: &mut Reply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
