//! Messages as the stand-ins read and write them: heads with lengths, no chunks.

use crate::records::now;
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest message that is read (bytes).
const LONGEST: usize = 1 << 20;

/// A message that came whole.
#[derive(Debug)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first and its last byte were read (ms).
    pub began: f64,
    /// See `began`.
    pub whole: f64,
}

impl Message {
    /// The value of a header; its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages, and keeps what came behind one.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    /// Whether part of a message has come.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message. An end before its first byte is `None`.
    pub async fn message<S: AsyncRead + Unpin>(&mut self, stream: &mut S) -> Result<Option<Message>> {
        let mut began = if self.partial() { now() } else { 0.0 };
        loop {
            if let Some(message) = self.take(began)? {
                return Ok(Some(message));
            }
            let mut chunk = [0; 16 * 1024];
            let count = stream.read(&mut chunk).await?;
            if count == 0 {
                return if self.partial() { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
            }
            if !self.partial() {
                began = now();
            }
            self.buffer.extend_from_slice(&chunk[..count]);
            if self.buffer.len() > LONGEST {
                return Err(Error::new(ErrorKind::InvalidData, "a message without end"));
            }
        }
    }

    fn take(&mut self, began: f64) -> Result<Option<Message>> {
        let Some(head) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<_> = lines.filter_map(header).collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(Ok(0), |(_, value)| value.parse::<usize>());
        let length = length.map_err(|_| Error::new(ErrorKind::InvalidData, "a length that is no number"))?;
        let end = head + 4 + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let body = self.buffer[head + 4..end].to_vec();
        self.buffer.drain(..end);
        Ok(Some(Message { start, headers, body, began, whole: now() }))
    }
}
