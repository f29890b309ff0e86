//! Tests of the inspection of a request's bytes as they arrive.

use roseproxy_transport::request_framing::{Framing, IncomingRequest};

/// The framing of a request of which this text has been received.
fn framing_of(text: &str) -> Option<Framing> {
    let incoming = IncomingRequest::default();
    incoming.feed(0.0, text.as_bytes(), 1000);
    incoming.framing()
}

#[test]
fn head_is_parsed_incrementally_with_hypers_line_endings() {
    assert_eq!(framing_of("POST / HTTP/1.1\r\nContent-Length: 3\r\n"), None);
    assert_eq!(framing_of("POST / HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabc"), Some(Framing::Length(3)));
    assert_eq!(framing_of("GET / HTTP/1.1\n\n"), Some(Framing::Length(0)));
    assert_eq!(framing_of("\r\n\r\nPOST / HTTP/1.1\nTransfer-Encoding: x\n\r\n"), Some(Framing::Chunked));
    for both in
        ["Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding:chunked\nContent-Length:3"]
    {
        assert_eq!(framing_of(&format!("POST / HTTP/1.1\r\n{both}\r\n\r\n")), Some(Framing::Both));
    }
}

#[test]
fn bytes_after_a_request_are_detected() {
    let incoming = IncomingRequest::default();
    incoming.feed(5.0, b"POST / HTTP/1.1\r\nContent-Length: 3\r\n", 1000);
    assert_eq!((incoming.started_at(), incoming.framing()), (Some(5.0), None));
    incoming.feed(6.0, b"\r\nab", 1000);
    incoming.feed(7.0, b"c", 1000);
    assert!(incoming.has_no_trailing_bytes() && incoming.started_at() == Some(5.0));
    assert_eq!(incoming.last_input_at(), Some(7.0));
    incoming.feed(8.0, b"P", 1000);
    assert!(!incoming.has_no_trailing_bytes());
    incoming.reset();
    assert_eq!((incoming.started_at(), incoming.last_input_at(), incoming.framing()), (None, None, None));
}

#[test]
fn the_longest_pause_between_parts_of_a_request_is_known() {
    let incoming = IncomingRequest::default();
    for (now, bytes) in [(5.0, "POST / HTTP/1.1\r\n"), (105.0, "Content-Length: 3\r\n\r\n"), (125.0, "a")] {
        incoming.feed(now, bytes.as_bytes(), 1000);
    }
    assert_eq!((incoming.last_input_at(), incoming.longest_pause()), (Some(125.0), 100.0));
    incoming.reset();
    incoming.feed(900.0, b"GET ", 1000);
    assert_eq!((incoming.last_input_at(), incoming.longest_pause()), (Some(900.0), 0.0));
}
