//! In-memory streams behave like TCP: data, half closes, resets, full buffers, refused and hanging connects.

use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::memory::{Memory, MemoryStream, PeekResult, PIPE_CAPACITY_BYTES};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

#[test]
fn data_passes_in_both_directions_around_a_half_close() {
    run(async {
        let (mut a, mut b) = MemoryStream::pair();
        assert_eq!(b.peek()(), PeekResult::Empty);
        a.write_all(b"hello").await.expect("free buffer space");
        a.shutdown().await.expect("an open stream");
        assert_eq!(b.peek()(), PeekResult::Data);
        let mut text = String::new();
        b.read_to_string(&mut text).await.expect("data");
        assert_eq!(text, "hello");
        b.write_all(b"back").await.expect("the other half is open");
        let mut back = [0; 4];
        a.read_exact(&mut back).await.expect("data");
    });
}

#[test]
fn a_write_to_a_closed_peer_succeeds_and_is_answered_by_a_reset() {
    run(async {
        let (mut a, b) = MemoryStream::pair();
        drop(b);
        assert_eq!(a.write(b"x").await.expect("the write succeeds"), 1);
        let error = a.read(&mut [0]).await.expect_err("the reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        assert_eq!(a.write(b"x").await.expect_err("broken").kind(), ErrorKind::BrokenPipe);
    });
}

#[test]
fn closing_with_unread_bytes_resets() {
    run(async {
        let (mut a, b) = MemoryStream::pair();
        a.write_all(b"x").await.expect("free buffer space");
        drop(b);
        assert_eq!(a.read(&mut [0]).await.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn a_full_pipe_blocks_its_writer() {
    run(async {
        let (mut a, mut b) = MemoryStream::pair();
        let data = vec![0; PIPE_CAPACITY_BYTES + 5];
        let writing = tokio::task::spawn_local(async move { a.write_all(&data).await });
        tokio::task::yield_now().await;
        assert!(!writing.is_finished());
        let mut read = Vec::new();
        b.read_to_end(&mut read).await.expect("data");
        assert_eq!(read.len(), PIPE_CAPACITY_BYTES + 5);
    });
}

#[test]
fn connects_are_refused_blocked_and_accepted() {
    run(async {
        let memory = Memory::default();
        let refused = memory.connect(address()).await.expect_err("no listener");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        let block = memory.block_connects(address()).await.expect("blocked");
        let wait = std::time::Duration::from_secs(3);
        assert!(tokio::time::timeout(wait, memory.connect(address())).await.is_err(), "the connect hangs");
        drop(block);
        let listener = memory.bind(address()).await.expect("a free address");
        assert_eq!(memory.bind(address()).await.expect_err("an address in use").kind(), ErrorKind::AddrInUse);
        let count = Rc::new(Cell::new(0));
        let ours = memory.connect(address()).await.expect("a listener").counted_in(&count);
        let theirs = memory.accept(&listener).await.expect("a waiting stream").counted_in(&count);
        assert_eq!(count.get(), 2);
        drop((ours, theirs));
        assert_eq!(count.get(), 0);
    });
}
