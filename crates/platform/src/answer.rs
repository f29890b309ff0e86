//! HTTP responses to the application.

use super::request::Malformed;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use roseproxy_routing::flow::Answer;

/// An HTTP response to a client.
pub type Reply = Response<Full<Bytes>>;

/// The response, as sent, to a client that has to do without a socket: its request has not been read
/// to its end. Nothing has been sent on, so trying again is harmless.
pub const NO_SOCKET_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The response, as sent, to a client whose request did not arrive completely in time.
pub const LATE_REQUEST_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Builds a plain-text response of the sidecar itself, as opposed to one of a target.
pub fn plain_text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    reply
}

/// Converts the answer of a flow to an HTTP response.
pub fn to_reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut reply =
                plain_text(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm\n");
            if retry_after > 0.0 {
                let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1000.0));
                reply.headers_mut().extend(seconds.ok().map(|v| (RETRY_AFTER, v)));
            }
            reply
        }
        Answer::Failed => plain_text(StatusCode::BAD_GATEWAY, "failed; it may have taken effect\n"),
    }
}

/// Builds the response to a malformed request. It closes the connection, because the rest of the request
/// has not been read.
pub fn malformed_request(malformed: Malformed) -> Reply {
    let mut reply = plain_text(malformed.status, format!("{}\n", malformed.reason));
    set_connection_close(&mut reply);
    reply
}

/// Adds `Connection: close` to a response.
pub fn set_connection_close(reply: &mut Reply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
