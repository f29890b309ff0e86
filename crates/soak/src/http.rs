//! HTTP messages as the stand-ins read them: a head and a body with Content-Length; chunked bodies are not supported.

use crate::records::now;
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message that was read completely.
#[derive(Debug)]
pub struct Message {
    /// First line of the head.
    pub start_line: String,
    /// Header names in lower case, and values.
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Time at which the first byte was read (ms).
    pub first_byte_at: f64,
    /// Time at which the last byte was read (ms).
    pub last_byte_at: f64,
}

impl Message {
    /// Value of a header; `name` has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Status code of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a stream, and buffers bytes that follow a message.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
}

impl MessageReader {
    /// Whether part of a message has been read.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message; `None` if the stream ends before its first byte.
    pub async fn read_message<S: AsyncRead + Unpin>(&mut self, stream: &mut S) -> Result<Option<Message>> {
        let mut first_byte_at = if self.has_partial_message() { now() } else { 0.0 };
        loop {
            if let Some(message) = self.take_message(first_byte_at)? {
                return Ok(Some(message));
            }
            let mut chunk = [0; 16 * 1024];
            let count = stream.read(&mut chunk).await?;
            if count == 0 {
                return if self.has_partial_message() {
                    Err(ErrorKind::UnexpectedEof.into())
                } else {
                    Ok(None)
                };
            }
            if !self.has_partial_message() {
                first_byte_at = now();
            }
            self.buffer.extend_from_slice(&chunk[..count]);
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(Error::new(
                    ErrorKind::InvalidData,
                    format!("message longer than {MAX_MESSAGE_BYTES} bytes"),
                ));
            }
        }
    }

    fn take_message(&mut self, first_byte_at: f64) -> Result<Option<Message>> {
        let Some(head) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let start_line = lines.next().unwrap_or("").to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<_> = lines.filter_map(header).collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(Ok(0), |(_, value)| value.parse::<usize>());
        let length =
            length.map_err(|_| Error::new(ErrorKind::InvalidData, "Content-Length is not a number"))?;
        let end = head + 4 + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let body = self.buffer[head + 4..end].to_vec();
        self.buffer.drain(..end);
        Ok(Some(Message { start_line, headers, body, first_byte_at, last_byte_at: now() }))
    }
}
