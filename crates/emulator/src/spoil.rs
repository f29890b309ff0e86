//! Answers that are spoilt, or bring more than belongs to them.

use crate::http::answer_bytes;

/// What an answer is made into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
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

/// All of them.
pub const ALL: [Spoil; 9] = [
    Spoil::Noise,
    Spoil::EndlessHead,
    Spoil::BadLength,
    Spoil::TwoLengths,
    Spoil::Huge,
    Spoil::Twice,
    Spoil::NoiseBehind,
    Spoil::BadReport,
    Spoil::Informed,
];

impl Spoil {
    /// Whether what is left is a good answer.
    pub fn good(self) -> bool {
        matches!(self, Spoil::Twice | Spoil::NoiseBehind | Spoil::BadReport | Spoil::Informed)
    }

    /// The bytes in place of a good answer with this body.
    pub fn bytes(self, body: &[u8]) -> Vec<u8> {
        let good = answer_bytes(200, &[], body);
        match self {
            Spoil::Noise => b"\0\x01\x02 noise \xff\xfe\r\n\r\n".to_vec(),
            Spoil::EndlessHead => b"HTTP/1.1 200 OK\r\nx-filler: aaaaaaaaaaaaaaaa\r\n".to_vec(),
            Spoil::BadLength => b"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok".to_vec(),
            Spoil::TwoLengths => {
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok".to_vec()
            }
            Spoil::Huge => {
                let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n".to_vec();
                bytes.extend(std::iter::repeat_n(b'x', 16 * 1024));
                bytes
            }
            Spoil::Twice => [good.clone(), good].concat(),
            Spoil::NoiseBehind => [good, b"\0\x01noise\r\n\r\n".to_vec()].concat(),
            Spoil::BadReport => {
                answer_bytes(200, &[("server-load", "TEXT inflight=,queue=-nan,%%".into())], body)
            }
            Spoil::Informed => {
                let informed =
                    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".to_vec();
                [informed, good].concat()
            }
        }
    }
}
