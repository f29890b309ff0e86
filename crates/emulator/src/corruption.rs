//! Corrupted server responses: malformed ones, and valid ones with additional bytes or a broken report.

use crate::http::answer_bytes;

/// A kind of corruption. The names are keys of `result.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Bytes that are not HTTP.
    Noise,
    /// A response head that never ends.
    EndlessHead,
    /// A negative `content-length`.
    BadLength,
    /// Two different `content-length` headers.
    TwoLengths,
    /// A `content-length` of 3 GB, followed by only the first 16 KiB of the body.
    Huge,
    /// A valid response, sent twice.
    Twice,
    /// A valid response, followed by bytes that are not HTTP.
    NoiseBehind,
    /// A valid response with a malformed load report.
    BadReport,
    /// A valid response after interim (1xx) responses.
    Informed,
}

/// All kinds; a draw selects one by its index, so the order must not change.
pub const ALL_CORRUPTIONS: [Corruption; 9] = [
    Corruption::Noise,
    Corruption::EndlessHead,
    Corruption::BadLength,
    Corruption::TwoLengths,
    Corruption::Huge,
    Corruption::Twice,
    Corruption::NoiseBehind,
    Corruption::BadReport,
    Corruption::Informed,
];

impl Corruption {
    /// Whether a client can still read a valid response from the bytes.
    pub fn is_valid(self) -> bool {
        matches!(
            self,
            Corruption::Twice | Corruption::NoiseBehind | Corruption::BadReport | Corruption::Informed
        )
    }

    /// The bytes to send instead of a response with this body.
    pub fn bytes(self, body: &[u8]) -> Vec<u8> {
        let valid = answer_bytes(200, &[], body);
        match self {
            Corruption::Noise => b"\0\x01\x02 noise \xff\xfe\r\n\r\n".to_vec(),
            Corruption::EndlessHead => b"HTTP/1.1 200 OK\r\nx-filler: aaaaaaaaaaaaaaaa\r\n".to_vec(),
            Corruption::BadLength => b"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok".to_vec(),
            Corruption::TwoLengths => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok".to_vec()
            }
            Corruption::Huge => {
                let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n".to_vec();
                bytes.extend(std::iter::repeat_n(b'x', 16 * 1024));
                bytes
            }
            Corruption::Twice => [valid.clone(), valid].concat(),
            Corruption::NoiseBehind => [valid, b"\0\x01noise\r\n\r\n".to_vec()].concat(),
            Corruption::BadReport => {
                answer_bytes(200, &[("server-load", "TEXT inflight=,queue=-nan,%%".into())], body)
            }
            Corruption::Informed => {
                let interim =
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_vec();
                [interim, valid].concat()
            }
        }
    }
}
