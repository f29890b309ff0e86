//! What comes in on a client's connection, seen before hyper reads it.
//!
//! hyper drops a `Content-Length` that stands beside a `Transfer-Encoding` and goes by the latter, so a
//! service cannot tell that there were both; and it says nothing of a head that has only begun.

use super::tap::Tap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a request says where its body ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a length; 0 where none is stated.
    Length(u64),
    /// By chunks.
    #[default]
    Chunked,
    /// By both, which may hide another request in the body.
    Both,
}

/// The request that comes in, as its bytes arrive.
#[derive(Debug, Default)]
pub(super) struct IncomingRequest {
    /// Since when its first byte is there.
    started_at: Cell<Option<f64>>,
    /// Its head, until that is whole.
    head: RefCell<Vec<u8>>,
    framing: Cell<Option<Framing>>,
    /// Bytes that came behind its head.
    bytes_after_head: Cell<u64>,
}

impl IncomingRequest {
    /// Since when a request has begun to come.
    pub fn started_at(&self) -> Option<f64> {
        self.started_at.get()
    }

    /// How the request is framed, once its head is there.
    pub fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// Whether it is sure that nothing came behind the request: only then may the next one be read, as
    /// it would pass unseen.
    pub fn has_no_trailing_bytes(&self) -> bool {
        matches!(self.framing.get(), Some(Framing::Length(length)) if self.bytes_after_head.get() <= length)
    }

    /// So many bytes came behind the request, which nobody will read.
    pub fn add_discarded(&self, count: usize) {
        self.bytes_after_head.set(self.bytes_after_head.get().saturating_add(count as u64));
    }

    /// Waits for the next request.
    pub fn reset(&self) {
        self.started_at.set(None);
        self.head.borrow_mut().clear();
        self.framing.set(None);
        self.bytes_after_head.set(0);
    }

    fn feed(&self, now: f64, bytes: &[u8], limit: usize) {
        if self.framing.get().is_some() {
            return self.bytes_after_head.set(self.bytes_after_head.get() + bytes.len() as u64);
        }
        self.started_at.set(self.started_at.get().or(Some(now)));
        let mut head = self.head.borrow_mut();
        // Against a head without end; hyper turns it away.
        let room = (limit + 1).saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        if let Some((end, framing)) = parse_head(&head) {
            self.bytes_after_head.set((head.len() - end + bytes.len().saturating_sub(room)) as u64);
            self.framing.set(Some(framing));
            // Given back: an idle connection must not hold what a large head needed.
            *head = Vec::new();
        }
    }
}

/// Where a head ends and how it frames its body; `None` until it is whole. As loose on line ends as
/// hyper is.
fn parse_head(head: &[u8]) -> Option<(usize, Framing)> {
    let (mut offset, mut has_request_line) = (0, false);
    let (mut length, mut has_transfer_encoding) = (None, false);
    for line in head.split_inclusive(|b| *b == b'\n') {
        offset += line.len();
        let text = line.strip_suffix(b"\n")?;
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.is_empty() && has_request_line {
            let framing = match (length, has_transfer_encoding) {
                (Some(_), true) => Framing::Both,
                (None, true) => Framing::Chunked,
                (length, false) => Framing::Length(length.unwrap_or(0)),
            };
            return Some((offset, framing));
        }
        has_request_line |= !text.is_empty();
        let Some(colon) = text.iter().position(|b| *b == b':') else { continue };
        let (name, value) = (text[..colon].trim_ascii(), &text[colon + 1..]);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // What is no number is hyper's to turn away.
            length = Some(std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok()).unwrap_or(0));
        }
    }
    None
}

/// Looks at what comes in on a client's stream.
pub(super) struct RequestTap {
    pub incoming: Rc<IncomingRequest>,
    pub now: roseproxy_routing::time::Now,
    /// Longest head that is read.
    pub limit: usize,
}

impl Tap for RequestTap {
    fn on_read(&mut self, bytes: &[u8]) {
        self.incoming.feed((self.now)(), bytes, self.limit);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_is_read_as_it_comes_and_as_loosely_as_hyper_does() {
        let whole = |text: &str| parse_head(text.as_bytes()).map(|(_, framing)| framing);
        assert_eq!(whole("POST / HTTP/1.1\r\nContent-Length: 3\r\n"), None);
        assert_eq!(whole("POST / HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabc"), Some(Framing::Length(3)));
        assert_eq!(whole("GET / HTTP/1.1\n\n"), Some(Framing::Length(0)));
        assert_eq!(whole("\r\n\r\nPOST / HTTP/1.1\nTransfer-Encoding: x\n\r\n"), Some(Framing::Chunked));
        for both in
            ["Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding:chunked\nContent-Length:3"]
        {
            assert_eq!(whole(&format!("POST / HTTP/1.1\r\n{both}\r\n\r\n")), Some(Framing::Both));
        }
    }

    #[test]
    fn what_comes_behind_a_request_is_seen() {
        let incoming = IncomingRequest::default();
        incoming.feed(5.0, b"POST / HTTP/1.1\r\nContent-Length: 3\r\n", 1000);
        assert_eq!((incoming.started_at(), incoming.framing()), (Some(5.0), None));
        incoming.feed(6.0, b"\r\nab", 1000);
        incoming.feed(7.0, b"c", 1000);
        assert!(incoming.has_no_trailing_bytes() && incoming.started_at() == Some(5.0));
        incoming.feed(8.0, b"P", 1000);
        assert!(!incoming.has_no_trailing_bytes());
        incoming.reset();
        assert_eq!((incoming.started_at(), incoming.framing()), (None, None));
    }
}
