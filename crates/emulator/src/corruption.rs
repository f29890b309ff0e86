//! Corrupted responses of servers: malformed ones, and valid ones with extra bytes around them.

use crate::http::answer_bytes;

/// A kind of corruption. The names are keys of `result.json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// Noise.
    Noise,
    /// A head that does not end.
    EndlessHead,
    /// A length that is none.
    BadLength,
    /// Two lengths that differ.
    TwoLengths,
    /// 3 GB, said and begun.
    Huge,
    /// Good, and the same once more right behind.
    Twice,
    /// Good, and noise right behind.
    NoiseBehind,
    /// Good, with a load report that can't be read.
    BadReport,
    /// Good, with 1xx answers in front.
    Informed,
}

/// All kinds, in the order in which they are drawn.
pub const ALL: [Corruption; 9] = [
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
        let good = answer_bytes(200, &[], body);
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
            Corruption::Twice => [good.clone(), good].concat(),
            Corruption::NoiseBehind => [good, b"\0\x01noise\r\n\r\n".to_vec()].concat(),
            Corruption::BadReport => {
                answer_bytes(200, &[("server-load", "TEXT inflight=,queue=-nan,%%".into())], body)
            }
            Corruption::Informed => {
                let informed =
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_vec();
                [informed, good].concat()
            }
        }
    }
}
