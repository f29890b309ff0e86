//! The subset of HTTP/1.1 (RFC 9112) that the emulator needs.
//!
//! It controls every byte on the stream, as the emulator sends malformed messages and must see where a
//! response ends.

use bytes::{Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a message head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;

/// Why no message could be read from a stream.
#[derive(Debug)]
pub enum ReadError {
    /// The stream ended before the first byte of the message.
    Closed,
    /// The stream ended or failed within a message.
    Broken,
    /// The bytes are not valid HTTP, or use a feature that is not supported.
    Malformed(String),
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> ReadError {
        ReadError::Broken
    }
}

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The request method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// An HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
}

impl Request {
    /// The value of the first header with this name (in lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

impl Answer {
    /// The value of the first header with this name (in lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Whether the connection is closed after the response (`connection: close`).
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A stream with a read buffer, on which HTTP messages are read and written.
#[derive(Debug)]
pub struct Wire<S> {
    /// The underlying stream.
    pub stream: S,
    buffer: BytesMut,
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

fn content_length(headers: &[(String, String)]) -> Result<usize, ReadError> {
    match find_header(headers, "content-length") {
        None => Ok(0),
        Some(text) => text.trim().parse().map_err(|_| ReadError::Malformed(format!("content-length {text}"))),
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// Creates a wire with an empty buffer.
    pub fn new(stream: S) -> Wire<S> {
        Wire { stream, buffer: BytesMut::new() }
    }

    /// Whether the read buffer holds bytes.
    pub fn has_buffered_data(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more bytes into the buffer; returns false at the end of the stream. Cancel-safe.
    pub async fn fill_buffer(&mut self) -> io::Result<bool> {
        self.buffer.reserve(4096);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Writes and flushes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Reads a request.
    pub async fn read_request(&mut self) -> Result<Request, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Err(e) => return Err(ReadError::Malformed(e.to_string())),
                Ok(httparse::Status::Partial) => self.read_more_of_head().await?,
                Ok(httparse::Status::Complete(end)) => {
                    let mut request = Request {
                        method: parsed.method.unwrap_or_default().into(),
                        path: parsed.path.unwrap_or_default().into(),
                        headers: owned_headers(parsed.headers),
                        body: Bytes::new(),
                    };
                    request.body = self.read_body(end, content_length(&request.headers)?).await?;
                    return Ok(request);
                }
            }
        }
    }

    /// Reads a response, skipping interim (1xx) ones.
    pub async fn read_answer(&mut self) -> Result<Answer, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Err(e) => return Err(ReadError::Malformed(e.to_string())),
                Ok(httparse::Status::Partial) => self.read_more_of_head().await?,
                Ok(httparse::Status::Complete(end)) => {
                    let status = parsed.code.unwrap_or_default();
                    let headers = owned_headers(parsed.headers);
                    if (100..200).contains(&status) {
                        drop(self.buffer.split_to(end));
                        continue;
                    }
                    if find_header(&headers, "transfer-encoding").is_some() {
                        return Err(ReadError::Malformed("chunked response is not supported".into()));
                    }
                    let body = self.read_body(end, content_length(&headers)?).await?;
                    return Ok(Answer { status, headers, body });
                }
            }
        }
    }

    /// Reads more bytes of an incomplete head.
    async fn read_more_of_head(&mut self) -> Result<(), ReadError> {
        if self.buffer.len() > MAX_HEAD_BYTES {
            return Err(ReadError::Malformed(format!("message head exceeds {MAX_HEAD_BYTES} bytes")));
        }
        let was_empty = self.buffer.is_empty();
        match self.fill_buffer().await {
            Ok(true) => Ok(()),
            Ok(false) if was_empty => Err(ReadError::Closed),
            Err(_) if was_empty => Err(ReadError::Closed),
            _ => Err(ReadError::Broken),
        }
    }

    /// Removes the parsed head from the buffer and reads the body.
    async fn read_body(&mut self, head_len: usize, body_len: usize) -> Result<Bytes, ReadError> {
        while self.buffer.len() < head_len + body_len {
            if !self.fill_buffer().await? {
                return Err(ReadError::Broken);
            }
        }
        drop(self.buffer.split_to(head_len));
        Ok(self.buffer.split_to(body_len).freeze())
    }
}

/// Encodes a response.
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
