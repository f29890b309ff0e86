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

/// The framing is the same wherever a head is cut.
#[test]
fn a_head_may_be_cut_anywhere() {
    for head in [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nX: y\r\n\r\nabc",
        "\r\nPOST / HTTP/1.1\nTransfer-Encoding: chunked\n\nabc",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "GET / HTTP/1.1\r\n:\r\n\r\nabc",
    ] {
        let whole = framing_of(head);
        assert!(whole.is_some(), "{head:?}");
        for cut in 1..head.len() {
            let incoming = IncomingRequest::default();
            incoming.feed(0.0, &head.as_bytes()[..cut], 1000);
            incoming.feed(1.0, &head.as_bytes()[cut..], 1000);
            assert_eq!(incoming.framing(), whole, "{head:?} cut at {cut}");
            assert_eq!(incoming.has_no_trailing_bytes(), whole == Some(Framing::Length(3)), "{head:?}");
        }
    }
}

/// A head of very many short fields that arrives in small parts keeps no more than its last line.
#[test]
fn only_the_last_line_of_a_head_is_kept() {
    let incoming = IncomingRequest::default();
    incoming.feed(0.0, b"GET / HTTP/1.1\r\n", 20_000);
    for number in 0..2_000 {
        incoming.feed(0.0, format!("f{number}:\r\nf").as_bytes(), 20_000);
        assert_eq!(incoming.buffered_head_bytes(), 1);
    }
}

/// Time that it takes to feed a head of this many bytes, byte by byte.
fn time_to_feed(bytes: usize) -> std::time::Duration {
    let head = "GET / HTTP/1.1\r\n".to_owned() + &"f:\r\n".repeat(bytes / 4);
    let incoming = IncomingRequest::default();
    let began = std::time::Instant::now();
    for byte in head.as_bytes() {
        incoming.feed(0.0, &[*byte], usize::MAX / 2);
    }
    began.elapsed()
}

/// Guards against a process that is kept busy by heads in small parts: the whole head was searched again at each part.
#[test]
fn the_work_for_a_head_grows_with_its_length_alone() {
    const FACTOR: u32 = 16;
    let (short, long) = (time_to_feed(16_000), time_to_feed(16_000 * FACTOR as usize));
    // Work that grows with the square of the length takes 256 times as long.
    assert!(long < short * FACTOR * 4, "{short:?} for a short head, {long:?} for one {FACTOR} times as long");
}
