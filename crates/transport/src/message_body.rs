//! Reads the bodies of messages, which arrive in any number of parts.

use super::memory::HeldMemory;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// A body of unknown length gets room for this part of its length more when it has none left.
const GROWTH_DIVISOR: usize = 8;

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
    content: Vec<u8>,
    _held: HeldMemory,
}

impl AsRef<[u8]> for MessageBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Makes a whole body of `content`, accounted for by `held` until nobody keeps it.
pub(super) fn accounted(content: Vec<u8>, mut held: HeldMemory) -> Bytes {
    held.complete(content.len());
    Bytes::from_owner(MessageBody { content, _held: held })
}

/// Reads a whole body of at most `limit` bytes.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut held: HeldMemory,
) -> Result<Bytes, BodyError> {
    let stated_length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        // Trailers are not passed on.
        let Ok(part) = frame.into_data() else { continue };
        let length = content.len() + part.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        // Each part is copied, as it shares hyper's read buffer, which is used again only once nobody keeps a part
        // of it.
        reserve(&mut content, length, stated_length.unwrap_or(0).min(limit));
        content.extend_from_slice(&part);
        held.set(length);
        held.count_part();
    }
    content.shrink_to_fit();
    Ok(accounted(content, held))
}

/// Reads a body of at most `limit` bytes to its end without keeping it, after which its connection can be used again.
pub(super) async fn discard_body(mut body: Incoming, limit: usize) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}

/// Longest length that a body can have: the stated one, or `limit`.
pub(super) fn max_length(body: &Incoming, limit: usize) -> usize {
    let stated = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    stated.map_or(limit, |length| length.min(limit))
}

/// Makes room for `length` bytes: for the whole body if its length is stated, and for a share more otherwise.
fn reserve(content: &mut Vec<u8>, length: usize, stated_length: usize) {
    if length <= content.capacity() {
        return;
    }
    let grown = content.capacity() + content.capacity() / GROWTH_DIVISOR;
    let capacity = length.max(if stated_length > 0 { stated_length } else { grown });
    content.reserve_exact(capacity - content.len());
}
