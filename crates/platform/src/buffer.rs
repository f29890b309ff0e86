//! Growth of buffers for messages of unknown length.

/// A buffer that is full gets room for this part of its length more. Less is copied than allocated that way, and a long
/// message costs little more than its bytes.
const GROWTH_DIVISOR: usize = 8;

/// Appends received bytes.
pub fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.len() > buffer.capacity() - buffer.len() {
        buffer.reserve_exact(bytes.len().max(buffer.len() / GROWTH_DIVISOR));
    }
    buffer.extend_from_slice(bytes);
}
