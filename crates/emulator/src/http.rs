//! The subset of HTTP/1.1 (RFC 9112) that the emulator needs, with control of every byte: it must be able to
//! send malformed messages and to see where a response ends.

use bytes::{Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest message head that is read (bytes).
const HEAD: usize = 64 * 1024;
/// Most headers of a message that are read.
const HEADERS: usize = 64;

/// Why no message could be read.
#[derive(Debug)]
pub enum Unread {
    /// The stream ended before a byte came.
    Closed,
    /// The stream ended or failed inside a message.
    Broken,
    /// The bytes are no HTTP that the emulator reads.
    Garbled(String),
}

impl From<io::Error> for Unread {
    fn from(_: io::Error) -> Unread {
        Unread::Broken
    }
}

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

impl Request {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Whether its connection closes after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A stream with a read buffer.
#[derive(Debug)]
pub struct Wire<S> {
    /// The stream.
    pub stream: S,
    buffer: BytesMut,
}

fn collect(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

fn length(headers: &[(String, String)]) -> Result<usize, Unread> {
    match find(headers, "content-length") {
        None => Ok(0),
        Some(text) => text.trim().parse().map_err(|_| Unread::Garbled(format!("content-length {text}"))),
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// Creates a wire with an empty buffer.
    pub fn new(stream: S) -> Wire<S> {
        Wire { stream, buffer: BytesMut::new() }
    }

    /// Whether bytes are buffered.
    pub fn ahead(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer; false at the end of the stream. It is safe to cancel.
    pub async fn more(&mut self) -> io::Result<bool> {
        self.buffer.reserve(4096);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Writes and flushes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Reads a request.
    pub async fn request(&mut self) -> Result<Request, Unread> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Err(e) => return Err(Unread::Garbled(e.to_string())),
                Ok(httparse::Status::Partial) => self.need().await?,
                Ok(httparse::Status::Complete(end)) => {
                    let mut request = Request {
                        method: parsed.method.unwrap_or_default().into(),
                        path: parsed.path.unwrap_or_default().into(),
                        headers: collect(parsed.headers),
                        body: Bytes::new(),
                    };
                    request.body = self.body(end, length(&request.headers)?).await?;
                    return Ok(request);
                }
            }
        }
    }

    /// Reads a response; interim (1xx) responses are skipped.
    pub async fn answer(&mut self) -> Result<Answer, Unread> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Err(e) => return Err(Unread::Garbled(e.to_string())),
                Ok(httparse::Status::Partial) => self.need().await?,
                Ok(httparse::Status::Complete(end)) => {
                    let status = parsed.code.unwrap_or_default();
                    let headers = collect(parsed.headers);
                    if (100..200).contains(&status) {
                        drop(self.buffer.split_to(end));
                        continue;
                    }
                    if find(&headers, "transfer-encoding").is_some() {
                        return Err(Unread::Garbled("an answer in chunks".into()));
                    }
                    let body = self.body(end, length(&headers)?).await?;
                    return Ok(Answer { status, headers, body });
                }
            }
        }
    }

    async fn need(&mut self) -> Result<(), Unread> {
        if self.buffer.len() > HEAD {
            return Err(Unread::Garbled("a head without end".into()));
        }
        let fresh = self.buffer.is_empty();
        match self.more().await {
            Ok(true) => Ok(()),
            Ok(false) if fresh => Err(Unread::Closed),
            Err(_) if fresh => Err(Unread::Closed),
            _ => Err(Unread::Broken),
        }
    }

    async fn body(&mut self, head: usize, length: usize) -> Result<Bytes, Unread> {
        while self.buffer.len() < head + length {
            if !self.more().await? {
                return Err(Unread::Broken);
            }
        }
        drop(self.buffer.split_to(head));
        Ok(self.buffer.split_to(length).freeze())
    }
}

/// The bytes of a response.
pub fn answer_bytes(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
