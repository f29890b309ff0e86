//! Inspects the bytes of a client's connection before hyper reads them, to find how each request is
//! framed.
//!
//! If a request has both a `Content-Length` and a `Transfer-Encoding`, hyper drops the former and
//! uses the latter, so a service cannot tell that both were present. hyper also does not report a
//! head that has only partly arrived.

use super::memory::HeldMemory;
use super::tap::Tap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a request states where its body ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By its length; 0 if none is stated.
    Length(u64),
    /// By chunked or another transfer encoding.
    #[default]
    Chunked,
    /// By both, which may hide another request in the body.
    Both,
}

/// The request being received, tracked as its bytes arrive.
#[derive(Debug, Default)]
pub struct IncomingRequest {
    /// When the request's first byte arrived.
    started_at: Cell<Option<f64>>,
    /// When a part of the request last arrived.
    last_input_at: Cell<Option<f64>>,
    /// The longest time between two parts of the request (ms).
    longest_pause: Cell<f64>,
    /// Scans the request's head until it is complete.
    head: RefCell<HeadScanner>,
    framing: Cell<Option<Framing>>,
    /// Number of bytes received after the head.
    bytes_after_head: Cell<u64>,
}

impl IncomingRequest {
    /// When the current request began to arrive (ms).
    pub fn started_at(&self) -> Option<f64> {
        self.started_at.get()
    }

    /// When a part of the current request last arrived (ms).
    pub fn last_input_at(&self) -> Option<f64> {
        self.last_input_at.get()
    }

    /// The longest time between two parts of the current request (ms).
    pub fn longest_pause(&self) -> f64 {
        self.longest_pause.get()
    }

    /// How the request is framed, once its head is complete.
    pub fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// Whether it is certain that nothing was received after the request. Only then may the next
    /// request be read, as bytes after this one would pass without inspection.
    pub fn has_no_trailing_bytes(&self) -> bool {
        matches!(self.framing.get(), Some(Framing::Length(length)) if self.bytes_after_head.get() <= length)
    }

    /// Number of bytes kept of a head that is not complete.
    pub fn buffered_head_bytes(&self) -> usize {
        self.head.borrow().line.len()
    }

    /// Counts bytes received after the request that were discarded.
    pub fn add_discarded(&self, count: usize) {
        self.bytes_after_head.set(self.bytes_after_head.get().saturating_add(count as u64));
    }

    /// Prepares for the next request.
    pub fn reset(&self) {
        self.started_at.set(None);
        self.last_input_at.set(None);
        self.longest_pause.set(0.0);
        *self.head.borrow_mut() = HeadScanner::default();
        self.framing.set(None);
        self.bytes_after_head.set(0);
    }

    /// Takes bytes that were received at `now` (ms). Of a head no more than `limit` bytes and one are
    /// scanned.
    pub fn feed(&self, now: f64, bytes: &[u8], limit: usize) {
        let pause = self.last_input_at.replace(Some(now)).map_or(0.0, |last_input_at| now - last_input_at);
        self.longest_pause.set(self.longest_pause.get().max(pause));
        if self.framing.get().is_some() {
            return self.bytes_after_head.set(self.bytes_after_head.get() + bytes.len() as u64);
        }
        self.started_at.set(self.started_at.get().or(Some(now)));
        let mut head = self.head.borrow_mut();
        // Guards against an endless head; hyper rejects it.
        let room = (limit + 1).saturating_sub(head.length).min(bytes.len());
        if let Some((used, framing)) = head.push(&bytes[..room]) {
            self.bytes_after_head.set((bytes.len() - used) as u64);
            self.framing.set(Some(framing));
            // Frees the buffer: an idle connection must not keep the memory of a long line.
            *head = HeadScanner::default();
        }
    }
}

/// Scans a head line by line as its bytes arrive, each byte once. Accepts the same line endings as
/// hyper.
#[derive(Debug, Default)]
struct HeadScanner {
    /// The line that is not complete yet.
    line: Vec<u8>,
    /// Number of bytes scanned.
    length: usize,
    has_request_line: bool,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl HeadScanner {
    /// Takes the bytes that follow. Returns how many of them belong to the head and how it frames its
    /// body, or `None` until it is complete.
    fn push(&mut self, bytes: &[u8]) -> Option<(usize, Framing)> {
        let mut used = 0;
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            used += part.len();
            self.length += part.len();
            if !part.ends_with(b"\n") {
                self.line.extend_from_slice(part);
                return None;
            }
            let ends_head = if self.line.is_empty() {
                self.scan_line(part)
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(part);
                let ends_head = self.scan_line(&line);
                line.clear();
                self.line = line;
                ends_head
            };
            if ends_head {
                return Some((used, self.framing()));
            }
        }
        None
    }

    /// Scans a line with its ending; returns whether it ends the head.
    fn scan_line(&mut self, line: &[u8]) -> bool {
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.is_empty() {
            return self.has_request_line;
        }
        self.has_request_line = true;
        let Some(colon) = text.iter().position(|byte| *byte == b':') else { return false };
        let (name, value) = (text[..colon].trim_ascii(), &text[colon + 1..]);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // hyper rejects values that are not a number.
            let value = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
            self.content_length = Some(value.unwrap_or(0));
        }
        false
    }

    fn framing(&self) -> Framing {
        match (self.content_length, self.has_transfer_encoding) {
            (Some(_), true) => Framing::Both,
            (None, true) => Framing::Chunked,
            (length, false) => Framing::Length(length.unwrap_or(0)),
        }
    }
}

/// Feeds the bytes received on a client's stream to an [`IncomingRequest`].
pub(super) struct RequestTap {
    pub incoming: Rc<IncomingRequest>,
    pub now: roseproxy_routing::time::Now,
    /// Longest head that is read (bytes).
    pub limit: usize,
    /// Accounts for the memory of a head that is not complete.
    pub held: HeldMemory,
}

impl Tap for RequestTap {
    fn on_read(&mut self, bytes: &[u8]) {
        self.incoming.feed((self.now)(), bytes, self.limit);
        self.held.set(self.incoming.buffered_head_bytes());
    }
}
