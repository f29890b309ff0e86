//! Tests of the accounting for the memory that messages hold.

use roseproxy_transport::memory::{MessageKind, MessageMemory};

#[test]
fn each_kind_of_message_is_accounted_for_by_itself() {
    let memory = MessageMemory::default();
    let mut body = memory.hold(MessageKind::RequestBody);
    let mut answer = memory.hold(MessageKind::Answer);
    body.set(100);
    answer.set(7);
    body.set(60);
    let held =
        [MessageKind::RequestBody, MessageKind::Answer, MessageKind::Head].map(|kind| memory.held(kind));
    assert_eq!(held, [60, 7, 0]);
    drop(body);
    assert_eq!((memory.held(MessageKind::RequestBody), memory.held(MessageKind::Answer)), (0, 7));
}
