//! Client requests: validation of the head, conversion to a flow, and the request sent to a target.

use crate::wire::{name_hash, ProtocolNames};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use roseproxy_decision::interface::{Class, ClassId, Effect};
use roseproxy_routing::flow::NewFlow;

/// The client's identifier of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// The request class, which is also the first segment of the path.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
/// The tenant on whose behalf the request is made.
pub const TENANT: HeaderName = HeaderName::from_static("tenant");
/// The key by which servers recognize a repeat of a request with a deduplicated effect.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the sender waits for the response, in seconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// Headers that identify a request; each may occur at most once.
const IDENTIFYING_HEADERS: [HeaderName; 6] =
    [HOST, REQUEST_ID, REQUEST_CLASS, TENANT, IDEMPOTENCY_KEY, REQUEST_TIMEOUT];
/// Longest accepted `Request-Id` and `Idempotency-Key`, in bytes.
const MAX_ID_BYTES: usize = 256;
/// Upper limit for `Request-Timeout`. A larger value would hold memory for a client that is long gone.
const MAX_REQUEST_TIMEOUT_MS: f64 = 60_000.0;

/// Why a request is answered with a 4xx status. Such a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status of the response.
    pub status: StatusCode,
    /// The fault, sent to the client as the body of the response.
    pub reason: &'static str,
}

fn malformed(status: StatusCode, reason: &'static str) -> Malformed {
    Malformed { status, reason }
}

/// The parts of a client request that are forwarded to a target unchanged.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query as received.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// The client's identifier of the request.
    pub id: HeaderValue,
}

/// The request classes of the platform, looked up by the names that requests use.
#[derive(Debug)]
pub struct Classes {
    names: ProtocolNames,
    classes: Vec<Class>,
}

impl Classes {
    /// Creates the lookup from the names and classes of the settings, which are in the same order.
    pub fn new(names: ProtocolNames, classes: Vec<Class>) -> Classes {
        Classes { names, classes }
    }

    /// Validates the head of a request and converts it to a flow.
    pub fn read(&self, parts: &Parts) -> Result<NewFlow, Malformed> {
        let bad = |reason| malformed(StatusCode::BAD_REQUEST, reason);
        // Recipients that use the first occurrence would see another request than those that use the last.
        if IDENTIFYING_HEADERS.iter().any(|name| parts.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(bad("an identifying header stands twice"));
        }
        let class = self.class(parts)?;
        // The method states whether a repeat is safe. A request whose method contradicts its class must
        // not be repeated under the rules of that class.
        let method = match self.classes[class].effect {
            Effect::Safe => Method::GET,
            Effect::Keyed { .. } | Effect::Unsafe => Method::POST,
        };
        if parts.method != method {
            return Err(malformed(StatusCode::METHOD_NOT_ALLOWED, "the class goes by another method"));
        }
        let has_valid_id = |header| {
            let length = parts.headers.get(header).map_or(0, HeaderValue::len);
            (1..=MAX_ID_BYTES).contains(&length)
        };
        if !has_valid_id(REQUEST_ID) {
            return Err(bad("no Request-Id"));
        }
        // Without a key, a server could not recognize the repeat that the class allows.
        if matches!(self.classes[class].effect, Effect::Keyed { .. }) && !has_valid_id(IDEMPOTENCY_KEY) {
            return Err(bad("no Idempotency-Key"));
        }
        let time_left = match parts.headers.get(REQUEST_TIMEOUT) {
            None => self.classes[class].client_timeout as f64 / 1000.0,
            Some(value) => seconds_to_ms(value).ok_or(bad("Request-Timeout is no number of seconds"))?,
        };
        let key = parts.uri.query().and_then(affinity_key);
        let tenant = parts.headers.get(TENANT).and_then(|t| t.to_str().ok());
        let tenant = tenant.and_then(|t| self.names.tenant(t));
        Ok(NewFlow { class, tenant, key, time_left: time_left.min(MAX_REQUEST_TIMEOUT_MS) })
    }

    fn class(&self, parts: &Parts) -> Result<ClassId, Malformed> {
        let path = parts.uri.path().trim_start_matches('/');
        let name = path.split('/').next().unwrap_or("");
        let class = self.names.class(name).ok_or(malformed(StatusCode::NOT_FOUND, "unknown class"))?;
        match parts.headers.get(REQUEST_CLASS) {
            Some(named) if named.as_bytes() != name.as_bytes() => {
                Err(malformed(StatusCode::BAD_REQUEST, "Request-Class and the path differ"))
            }
            _ => Ok(class),
        }
    }
}

/// Reads a number of seconds and converts it to milliseconds.
fn seconds_to_ms(value: &HeaderValue) -> Option<f64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds * 1000.0)
}

/// Hash of the `obj` parameter, which names the object that the request is about.
fn affinity_key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, value)| *name == "obj" && !value.is_empty()).map(|(_, value)| name_hash(value))
}

/// Whether `Content-Length` is above the limit for bodies.
pub fn exceeds_body_limit(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    length.and_then(|l| l.parse::<u64>().ok()).is_some_and(|l| l > super::MAX_BODY_BYTES as u64)
}

impl ForwardedRequest {
    /// Extracts the forwarded parts from the head of a request whose body is still to be read. They are
    /// copied, as the values of `parts` share the buffer into which the head was read, and would keep it.
    pub fn new(parts: &Parts) -> ForwardedRequest {
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let forwarded = [HOST, REQUEST_ID, REQUEST_CLASS, TENANT, IDEMPOTENCY_KEY];
        let present = forwarded.into_iter().filter_map(|name| Some((parts.headers.get(&name)?, name)));
        let (values, names): (Vec<_>, Vec<_>) = present.unzip();
        let mut headers: Vec<_> = names.into_iter().zip(copied(&values)).collect();
        // HTTP/1.1 requires a Host header, even if the client did not send one.
        if !parts.headers.contains_key(HOST) {
            headers.push((HOST, HeaderValue::from_static("origin.svc")));
        }
        let id = headers.iter().find(|(name, _)| name == REQUEST_ID).map(|(_, value)| value.clone());
        let id = id.unwrap_or(HeaderValue::from_static(""));
        ForwardedRequest { method: parts.method.clone(), path, headers, body: Bytes::new(), id }
    }

    /// Number of bytes that the forwarded parts other than the body take.
    pub fn head_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        self.path.len() + headers
    }

    /// Builds the request to a target. `timeout_ms` is how long this sidecar waits for the response.
    pub fn to_target(&self, timeout_ms: f64) -> OutgoingRequest {
        let mut headers = self.headers.clone();
        let timeout = format!("{:.3}", timeout_ms / 1000.0);
        headers.extend(HeaderValue::from_str(&timeout).ok().map(|v| (REQUEST_TIMEOUT, v)));
        if self.method != Method::GET || !self.body.is_empty() {
            headers.push((CONTENT_LENGTH, HeaderValue::from(self.body.len())));
        }
        OutgoingRequest::new(self.method.clone(), &self.path, headers, self.body.clone())
    }
}

/// Copies values into one buffer of their own.
fn copied(values: &[&HeaderValue]) -> Vec<HeaderValue> {
    let buffer = Bytes::from(values.iter().map(|value| value.as_bytes()).collect::<Vec<_>>().concat());
    let mut start = 0;
    let copy = |value: &&HeaderValue| {
        let end = start + value.len();
        let copy = HeaderValue::from_maybe_shared(buffer.slice(start..end));
        start = end;
        // What was a valid value stays one.
        copy.unwrap_or_else(|_| (*value).clone())
    };
    values.iter().map(copy).collect()
}

/// A request in the exact form in which it is written, so that its length on the connection is known.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The request.
    pub request: hyper::Request<http_body_util::Full<Bytes>>,
    /// Number of bytes that the request takes on the connection.
    pub length: u64,
}

impl OutgoingRequest {
    fn new(
        method: Method,
        path: &str,
        headers: Vec<(HeaderName, HeaderValue)>,
        body: Bytes,
    ) -> OutgoingRequest {
        let line = method.as_str().len() + 1 + path.len() + " HTTP/1.1\r\n".len();
        let fields: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
        let length = (line + fields + "\r\n".len() + body.len()) as u64;
        let mut request = hyper::Request::new(http_body_util::Full::new(body));
        *request.method_mut() = method;
        // The path was part of a valid URI when the request was received.
        *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        request.headers_mut().extend(headers);
        OutgoingRequest { request, length }
    }

    /// Builds a GET request without a body to a target or to discovery.
    pub fn get(path: &str, host: &str) -> OutgoingRequest {
        let host = HeaderValue::from_str(host).unwrap_or_else(|_| HeaderValue::from_static("origin.svc"));
        OutgoingRequest::new(Method::GET, path, vec![(HOST, host)], Bytes::new())
    }
}
