//! Clients that send input which cannot be read, or never ends, a few bytes at a time. Guards against connections that
//! are kept for as long as bytes arrive, and against memory that grows with them. Time is paused.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Clients and descriptors of the sidecars.
const ROOM: usize = 64;
/// Time from the first byte within which such a client is owed an error or a close.
const MISBEHAVING_CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// Pause between two pieces.
const PAUSE: Duration = Duration::from_millis(5);
/// Longest head that is read (bytes). No input of this test has a body that is longer.
const MAX_HEAD_BYTES: u64 = 16 << 10;

/// What a client sends: a beginning, and what it repeats until the connection is closed.
struct Input {
    what: &'static str,
    beginning: String,
    repeated: &'static [u8],
    piece_bytes: usize,
}

fn inputs() -> Vec<Input> {
    let head = request_text("place-order", "dribbled", "");
    let with = |field: &str| head.replace("Content-Length: 0", field);
    let chunked = with("Transfer-Encoding: chunked");
    let input = |what, beginning, repeated, piece_bytes| Input { what, beginning, repeated, piece_bytes };
    vec![
        input("a head that never ends", "GET /quote HTTP/1.1\r\n".into(), b"f:\r\n", 4),
        input("a line that never ends", "GET /quote HTTP/1.1\r\nf: ".into(), b"x", 64),
        input("empty lines before a request", String::new(), b"\r\n", 2),
        input("a body that never comes whole", with("Content-Length: 60000"), b"y", 1),
        input("a length that is no number", with("Content-Length: many"), b"y", 1),
        input("a length beyond all", with("Content-Length: 99999999999999999999"), b"y", 1),
        input("two lengths", with("Content-Length: 3\r\nContent-Length: 4"), b"y", 1),
        input("a chunk length that never ends", chunked.clone(), b"0", 1),
        input("a chunk length beyond all", chunked.clone(), b"F", 1),
        input("chunk extensions of megabytes", chunked.clone() + "5;", b"e", 16 << 10),
        input("chunks of one byte", chunked.clone(), b"1\r\nx\r\n", 6),
        input("trailers that never end", chunked + "0\r\n", b"f: x\r\n", 6),
    ]
}

/// Sends the input until the connection ends; returns what the sidecar has answered.
async fn send_slowly(input: &Input, stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let beginning = input.beginning.as_bytes().chunks(input.piece_bytes);
    let repeated = input.repeated.repeat(input.piece_bytes / input.repeated.len());
    for piece in beginning.chain(std::iter::repeat(&repeated[..])) {
        let written = stream.write_all(piece).await;
        // An end or a reset is what the client waits for; an answer is read on to its end.
        let read = timeout(PAUSE, stream.read_buf(&mut answer)).await;
        if written.is_err() || matches!(read, Ok(Ok(0) | Err(_))) {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_client_that_dribbles_bad_input_gets_an_error_in_time() {
    for input in inputs() {
        run_paused(async {
            let (endpoint, address) = bind_port().await;
            let served = count_requests(endpoint);
            let sidecar = start_sidecar(&[address], ROOM).await;
            let mut stream = connect_without_delay(sidecar.address).await;
            let began = Instant::now();
            let answer = send_slowly(&input, &mut stream).await;
            let took = began.elapsed();
            assert!(took <= MISBEHAVING_CLIENT_LIMIT, "{}: turned away after {took:?}", input.what);
            assert!(answer.starts_with("HTTP/1.1 4"), "{}: {answer}", input.what);
            assert_eq!(served.get(), 0, "{}: sent on", input.what);
            for kind in ["memory_heads_peak_bytes", "memory_request_bodies_peak_bytes"] {
                let peak = counter(&sidecar.gateway, kind);
                assert!(peak <= MAX_HEAD_BYTES + 1, "{}: {peak} {kind}", input.what);
            }
        });
    }
}
