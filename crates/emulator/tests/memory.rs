//! Streams in memory behave as TCP's do: data, half closes, resets, full buffers, refused and silent connects.

use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::memory::{Memory, MemoryStream, Waiting, BUFFER};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

fn place() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

#[test]
fn data_and_a_half_close_pass() {
    run(async {
        let (mut a, mut b) = MemoryStream::pair();
        assert_eq!(b.peek()(), Waiting::Nothing);
        a.write_all(b"hello").await.expect("room");
        a.shutdown().await.expect("open");
        assert_eq!(b.peek()(), Waiting::Bytes);
        let mut text = String::new();
        b.read_to_string(&mut text).await.expect("data");
        assert_eq!(text, "hello");
        b.write_all(b"back").await.expect("the other half is open");
        let mut back = [0; 4];
        a.read_exact(&mut back).await.expect("data");
    });
}

#[test]
fn a_write_into_a_closed_end_is_taken_and_answered_by_a_reset() {
    run(async {
        let (mut a, b) = MemoryStream::pair();
        drop(b);
        assert_eq!(a.write(b"x").await.expect("the socket takes it"), 1);
        let error = a.read(&mut [0]).await.expect_err("the reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        assert_eq!(a.write(b"x").await.expect_err("broken").kind(), ErrorKind::BrokenPipe);
    });
}

#[test]
fn closing_with_bytes_unread_resets() {
    run(async {
        let (mut a, b) = MemoryStream::pair();
        a.write_all(b"x").await.expect("room");
        drop(b);
        assert_eq!(a.read(&mut [0]).await.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    });
}

#[test]
fn a_full_pipe_holds_its_writer() {
    run(async {
        let (mut a, mut b) = MemoryStream::pair();
        let all = vec![0; BUFFER + 5];
        let writing = tokio::task::spawn_local(async move { a.write_all(&all).await });
        tokio::task::yield_now().await;
        assert!(!writing.is_finished());
        let mut read = Vec::new();
        b.read_to_end(&mut read).await.expect("data");
        assert_eq!(read.len(), BUFFER + 5);
    });
}

#[test]
fn connects_are_refused_muted_and_taken() {
    run(async {
        let memory = Memory::default();
        let refused = memory.connect(place()).await.expect_err("nobody listens");
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
        let mute = memory.mute(place()).await.expect("muted");
        let patience = std::time::Duration::from_secs(3);
        assert!(tokio::time::timeout(patience, memory.connect(place())).await.is_err(), "it hangs");
        drop(mute);
        let listener = memory.bind(place()).await.expect("free");
        assert_eq!(memory.bind(place()).await.expect_err("taken").kind(), ErrorKind::AddrInUse);
        let count = Rc::new(Cell::new(0));
        let ours = memory.connect(place()).await.expect("listens").counted(&count);
        let theirs = memory.accept(&listener).await.expect("came").counted(&count);
        assert_eq!(count.get(), 2);
        drop((ours, theirs));
        assert_eq!(count.get(), 0);
    });
}
