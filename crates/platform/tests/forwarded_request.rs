//! Tests of what is kept of a client's request.

use bytes::Bytes;
use hyper::header::{HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::Request;
use roseproxy_platform::request::{ForwardedRequest, IDEMPOTENCY_KEY, REQUEST_CLASS, REQUEST_ID, TENANT};

/// The head of a request whose values are slices of `buffer`, as those of a head that was read from a socket.
fn head_in(buffer: &Bytes) -> Parts {
    let value =
        |start: usize| HeaderValue::from_maybe_shared(buffer.slice(start..start + 4)).expect("a value");
    let mut request = Request::new(());
    *request.uri_mut() = "/place-order?obj=7f3a".parse().expect("a path");
    for (index, name) in [HOST, REQUEST_ID, REQUEST_CLASS, TENANT, IDEMPOTENCY_KEY].into_iter().enumerate() {
        request.headers_mut().insert(name, value(index));
    }
    request.into_parts().0
}

/// Guards against read buffers that are kept for as long as a request is open.
#[test]
fn a_forwarded_request_does_not_keep_the_buffer_of_its_head() {
    let buffer = Bytes::from(vec![b'a'; 8192]);
    let parts = head_in(&buffer);
    let forwarded = ForwardedRequest::new(&parts);
    assert!(!buffer.is_unique(), "the head shares the buffer");
    drop(parts);
    assert!(buffer.is_unique(), "the forwarded request shares the buffer");
    assert_eq!(forwarded.id, "aaaa");
    assert_eq!(forwarded.headers.len(), 5);
}
