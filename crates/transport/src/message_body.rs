//! Reads the bodies of messages, which arrive in any number of parts.

use super::memory::HeldMemory;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// The connection failed or the framing is invalid.
    Broken,
}

/// A complete body, accounted for as long as it is kept.
struct MessageBody {
    content: Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for MessageBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut held: HeldMemory,
) -> Result<Bytes, BodyError> {
    let (mut parts, mut length) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        // Trailers are not passed on.
        let Ok(part) = frame.into_data() else { continue };
        length += part.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        held.set(length);
        held.count_part();
        parts.push(part);
    }
    let mut content = BytesMut::with_capacity(length);
    parts.iter().for_each(|part| content.extend_from_slice(part));
    Ok(Bytes::from_owner(MessageBody { content: content.freeze(), _held: held }))
}
