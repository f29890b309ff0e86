//! Requests: from the application's form to a flow, and on to a target.

use crate::wire::{tag, Dialect};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use roseproxy_decision::interface::{Class, ClassId, Effect};
use roseproxy_routing::flow::NewFlow;

/// The client's id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// The class, which is also the first part of the path.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
/// Whose request it is.
pub const TENANT: HeaderName = HeaderName::from_static("tenant");
/// By what servers tell a repeat of keyed work from new work.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the sender waits, in seconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
/// Headers that say what a request is; each may stand once.
const IDENTIFYING: [HeaderName; 6] =
    [HOST, REQUEST_ID, REQUEST_CLASS, TENANT, IDEMPOTENCY_KEY, REQUEST_TIMEOUT];
/// Longest name of a request or of its work (bytes).
const LONGEST_NAME: usize = 256;
/// Longest wait believed (ms): a larger figure would hold memory for a client long gone.
const LONGEST_WAIT: f64 = 60_000.0;

/// Why a request is turned away with a 4xx. Nothing of it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status of the answer.
    pub status: StatusCode,
    /// What is wrong, for the client's log.
    pub reason: &'static str,
}

fn malformed(status: StatusCode, reason: &'static str) -> Malformed {
    Malformed { status, reason }
}

/// What passes on to a target unchanged.
#[derive(Clone, Debug)]
pub struct Passing {
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub path: String,
    /// The headers that targets get to see.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// The client's id of it.
    pub id: HeaderValue,
}

/// The classes of the platform, as requests name them.
#[derive(Debug)]
pub struct Classes {
    dialect: Dialect,
    classes: Vec<Class>,
}

impl Classes {
    /// Classes by the settings.
    pub fn new(dialect: Dialect, classes: Vec<Class>) -> Classes {
        Classes { dialect, classes }
    }

    /// Reads a request's head.
    pub fn read(&self, parts: &Parts) -> Result<NewFlow, Malformed> {
        let bad = |reason| malformed(StatusCode::BAD_REQUEST, reason);
        // Whoever reads the last of them would see another request than who reads the first.
        if IDENTIFYING.iter().any(|name| parts.headers.get_all(name).iter().nth(1).is_some()) {
            return Err(bad("an identifying header stands twice"));
        }
        let class = self.class(parts)?;
        // The method says whether a repeat is safe; a request that says otherwise than its class must
        // not be repeated by that class's rule.
        let method = match self.classes[class].effect {
            Effect::Safe => Method::GET,
            Effect::Keyed { .. } | Effect::Unsafe => Method::POST,
        };
        if parts.method != method {
            return Err(malformed(StatusCode::METHOD_NOT_ALLOWED, "the class goes by another method"));
        }
        let named = |header| {
            let name = parts.headers.get(header).map_or(0, HeaderValue::len);
            (1..=LONGEST_NAME).contains(&name)
        };
        if !named(REQUEST_ID) {
            return Err(bad("no Request-Id"));
        }
        // Without one, no server could drop the repeat that the class allows.
        if matches!(self.classes[class].effect, Effect::Keyed { .. }) && !named(IDEMPOTENCY_KEY) {
            return Err(bad("no Idempotency-Key"));
        }
        let time_left = match parts.headers.get(REQUEST_TIMEOUT) {
            None => self.classes[class].client_timeout as f64 / 1000.0,
            Some(value) => seconds(value).ok_or(bad("Request-Timeout is no number of seconds"))?,
        };
        let key = parts.uri.query().and_then(key);
        let tenant = parts.headers.get(TENANT).and_then(|t| t.to_str().ok());
        let tenant = tenant.and_then(|t| self.dialect.tenant(t));
        Ok(NewFlow { class, tenant, key, time_left: time_left.min(LONGEST_WAIT) })
    }

    fn class(&self, parts: &Parts) -> Result<ClassId, Malformed> {
        let path = parts.uri.path().trim_start_matches('/');
        let name = path.split('/').next().unwrap_or("");
        let class = self.dialect.class(name).ok_or(malformed(StatusCode::NOT_FOUND, "unknown class"))?;
        match parts.headers.get(REQUEST_CLASS) {
            Some(named) if named.as_bytes() != name.as_bytes() => {
                Err(malformed(StatusCode::BAD_REQUEST, "Request-Class and the path differ"))
            }
            _ => Ok(class),
        }
    }
}

fn seconds(value: &HeaderValue) -> Option<f64> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds * 1000.0)
}

fn key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, value)| *name == "obj" && !value.is_empty()).map(|(_, value)| tag(value))
}

/// Whether a stated length is more than the platform allows.
pub fn oversized(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    length.and_then(|l| l.parse::<u64>().ok()).is_some_and(|l| l > super::BODY_LIMIT as u64)
}

impl Passing {
    /// Takes what passes on of a request read whole.
    pub fn new(parts: &Parts, body: Bytes) -> Passing {
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let pass = [HOST, REQUEST_ID, REQUEST_CLASS, TENANT, IDEMPOTENCY_KEY];
        let mut headers: Vec<_> =
            pass.into_iter().filter_map(|n| parts.headers.get(&n).map(|v| (n, v.clone()))).collect();
        // HTTP/1.1 wants a Host, whatever the client sent.
        if !parts.headers.contains_key(HOST) {
            headers.push((HOST, HeaderValue::from_static("origin.svc")));
        }
        let id = parts.headers.get(REQUEST_ID).cloned().unwrap_or(HeaderValue::from_static(""));
        Passing { method: parts.method.clone(), path, headers, body, id }
    }

    /// The request to a target, with how long this sidecar will wait (ms).
    pub fn to_target(&self, patience: f64) -> Outgoing {
        let mut headers = self.headers.clone();
        let wait = format!("{:.3}", patience / 1000.0);
        headers.extend(HeaderValue::from_str(&wait).ok().map(|v| (REQUEST_TIMEOUT, v)));
        if self.method != Method::GET || !self.body.is_empty() {
            headers.push((CONTENT_LENGTH, HeaderValue::from(self.body.len())));
        }
        Outgoing::new(self.method.clone(), &self.path, headers, self.body.clone())
    }
}

/// A request in the very form that it is written in, so that its length is known.
#[derive(Debug)]
pub struct Outgoing {
    /// The request.
    pub request: hyper::Request<http_body_util::Full<Bytes>>,
    /// How many bytes it takes on the connection.
    pub length: u64,
}

impl Outgoing {
    fn new(method: Method, path: &str, headers: Vec<(HeaderName, HeaderValue)>, body: Bytes) -> Outgoing {
        let line = method.as_str().len() + 1 + path.len() + " HTTP/1.1\r\n".len();
        let fields: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
        let length = (line + fields + "\r\n".len() + body.len()) as u64;
        let mut request = hyper::Request::new(http_body_util::Full::new(body));
        *request.method_mut() = method;
        // It was a URI when it came in.
        *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        request.headers_mut().extend(headers);
        Outgoing { request, length }
    }

    /// A bodiless question to a target or to discovery.
    pub fn get(path: &str, host: &str) -> Outgoing {
        let host = HeaderValue::from_str(host).unwrap_or_else(|_| HeaderValue::from_static("origin.svc"));
        Outgoing::new(Method::GET, path, vec![(HOST, host)], Bytes::new())
    }
}
