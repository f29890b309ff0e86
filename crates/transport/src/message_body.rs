//! Reads the bodies of messages, which arrive in any number of parts.

use super::memory::HeldMemory;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use roseproxy_platform::buffer;

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
    body: Incoming,
    limit: usize,
    mut held: HeldMemory,
) -> Result<Bytes, BodyError> {
    let stated_length = stated_length(&body).unwrap_or(0).min(limit);
    let mut content = Vec::new();
    // Each part is copied, as it shares hyper's read buffer, which is used again only once nobody keeps a part of it.
    read_parts(body, limit, |part| {
        if content.capacity() == 0 {
            content.reserve_exact(stated_length);
        }
        buffer::append(&mut content, part);
        held.set(content.len());
        held.count_part();
    })
    .await?;
    content.shrink_to_fit();
    Ok(accounted(content, held))
}

/// Reads a body of at most `limit` bytes to its end without keeping it, after which its connection can be used again.
pub(super) async fn discard_body(body: Incoming, limit: usize) -> Result<(), BodyError> {
    read_parts(body, limit, |_| {}).await
}

/// Reads a body of at most `limit` bytes to its end, and passes on each part of it. Trailers are not passed on.
async fn read_parts(
    mut body: Incoming,
    limit: usize,
    mut on_part: impl FnMut(&[u8]),
) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(part) = frame.into_data() else { continue };
        length += part.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        on_part(&part);
    }
    Ok(())
}

/// Longest length that a body can have: the stated one, or `limit`.
pub(super) fn max_length(body: &Incoming, limit: usize) -> usize {
    stated_length(body).map_or(limit, |length| length.min(limit))
}

fn stated_length(body: &Incoming) -> Option<usize> {
    body.size_hint().exact().and_then(|length| usize::try_from(length).ok())
}
