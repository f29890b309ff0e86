//! Clients that write their request slowly, after a rest, or not to its end. Guards against requests that are read and
//! get no answer, and against clients that hold a connection with a request that never becomes whole. The limits are
//! those of the table in docs/design/client-connections.md. Time is paused.

mod common;

use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// Clients and descriptors of the sidecars.
const ROOM: usize = 64;
/// Time that the platform allows for a request, from its first byte (ms).
const ALLOWED_WRITING_MS: u64 = 2_000;
/// Time within which a client that has stopped is owed an error or a close, from connecting (ms).
const STOPPED_CLIENT_LIMIT_MS: u64 = 3_000;
/// Time from connecting within which the first request is whole, or its client has not stopped (ms).
const FIRST_REQUEST_MS: u64 = 2_500;
/// A client has stopped once it has been silent for more than this many times its longest pause.
const STEADY_PAUSE_FACTOR: u64 = 2;
/// How much later than a limit the sidecar may act on it (ms).
const LIMIT_SLACK_MS: u64 = 100;
/// Time after which no client waits any longer for an answer or a close (ms).
const WAIT_FOR_END_MS: u64 = 12_000;

/// What a client received until the connection ended.
#[derive(Debug, Default)]
struct Received {
    text: String,
    first_at: Option<Instant>,
    /// When the sidecar ended the connection, and whether by a reset.
    ended: Option<(Instant, bool)>,
}

/// Reads on a connection until it ends.
fn read_to_end(mut reader: ReadHalf<TcpStream>) -> Rc<RefCell<Received>> {
    let received = Rc::new(RefCell::new(Received::default()));
    let shared = received.clone();
    spawn_local(async move {
        let mut buffer = [0; 4096];
        loop {
            let read = reader.read(&mut buffer).await;
            let mut received = shared.borrow_mut();
            match read {
                Ok(count @ 1..) => {
                    received.first_at = received.first_at.or(Some(Instant::now()));
                    received.text.push_str(&String::from_utf8_lossy(&buffer[..count]));
                }
                end => return received.ended = Some((Instant::now(), end.is_err())),
            }
        }
    });
    received
}

/// How a request states its length.
#[derive(Clone, Copy, Debug)]
enum Framing {
    NoBody,
    Length,
    Chunked,
}

fn request(framing: Framing) -> String {
    match framing {
        Framing::NoBody => request_text("quote", "slow", ""),
        Framing::Length => request_text("place-order", "slow", "a body of some bytes"),
        Framing::Chunked => {
            let head = request_text("place-order", "slow", "");
            head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n")
                + "6\r\na body\r\n0\r\n\r\n"
        }
    }
}

/// What a client does after the pieces that it writes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// They make a whole request.
    Whole,
    /// The last piece is missing, and the client stays.
    Stops,
    /// The last piece is missing, and the client closes its connection.
    Closes,
}

/// What a client does on a connection.
#[derive(Clone, Debug)]
struct Script {
    /// Whether a request has been answered on the connection before.
    asked_before: bool,
    /// Time between connecting, or the answer to that request, and the first byte (ms).
    rest_ms: u64,
    framing: Framing,
    /// Where the request is cut, in parts of 1,000, and how long the client pauses there (ms).
    cuts: Vec<(usize, u64)>,
    end: End,
}

impl Script {
    /// The pieces of the request with the time from the first byte at which each is written (ms).
    fn pieces(&self) -> Vec<(u64, Vec<u8>)> {
        let text = request(self.framing).into_bytes();
        let mut cuts = self.cuts.clone();
        cuts.iter_mut().for_each(|(part, _)| *part = (*part * text.len() / 1_000).clamp(1, text.len() - 1));
        cuts.sort_unstable();
        cuts.dedup_by_key(|(at, _)| *at);
        let (mut pieces, mut from, mut time) = (Vec::new(), 0, 0);
        for (at, pause_ms) in cuts {
            pieces.push((time, text[from..at].to_vec()));
            (from, time) = (at, time + pause_ms);
        }
        if self.end == End::Whole {
            pieces.push((time, text[from..].to_vec()));
        }
        pieces
    }

    /// The last moment, from connecting, at which the sidecar may still wait for more (ms), if nothing follows the
    /// pieces that were written at these times.
    fn limit_after(&self, written_at: &[u64]) -> u64 {
        let (first, last) = (written_at[0], written_at[written_at.len() - 1]);
        let longest_pause = written_at.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
        let from_first_byte = first + FIRST_REQUEST_MS;
        if self.asked_before {
            return from_first_byte;
        }
        from_first_byte.min(FIRST_REQUEST_MS.max(last + STEADY_PAUSE_FACTOR * longest_pause))
    }
}

/// What became of a script, with times from connecting (ms).
#[derive(Debug)]
struct Played {
    written_at: Vec<u64>,
    closed_before_first_byte: bool,
    status: Option<u16>,
    answered_at: Option<u64>,
    ended: Option<(u64, bool)>,
}

async fn write_pieces(
    script: &Script,
    writer: &mut WriteHalf<TcpStream>,
    received: &RefCell<Received>,
    connected_at: Instant,
) -> Vec<u64> {
    let first_byte_at = Instant::now();
    let mut written_at = Vec::new();
    for (time, piece) in script.pieces() {
        sleep_until(first_byte_at + Duration::from_millis(time)).await;
        let answered = !received.borrow().text.is_empty();
        if answered || writer.write_all(&piece).await.is_err() {
            break;
        }
        written_at.push((Instant::now() - connected_at).as_millis() as u64);
    }
    written_at
}

/// Plays a script on a sidecar of its own.
async fn play(script: &Script) -> Played {
    let (endpoint, address) = bind_port().await;
    let served = count_requests(endpoint);
    let sidecar = start_sidecar(&[address], ROOM).await;
    let mut client = connect_without_delay(sidecar.address).await;
    let connected_at = Instant::now();
    if script.asked_before {
        exchange(&mut client, &request_text("place-order", "before", "b")).await;
    }
    let (reader, mut writer) = tokio::io::split(client);
    let received = read_to_end(reader);
    sleep(Duration::from_millis(script.rest_ms)).await;
    let closed_before_first_byte = received.borrow().ended.is_some();
    let written_at = write_pieces(script, &mut writer, &received, connected_at).await;
    if script.end == End::Closes {
        writer.shutdown().await.ok();
    }
    sleep(Duration::from_millis(WAIT_FOR_END_MS)).await;
    let received = received.borrow();
    let since_connect = |at: Instant| (at - connected_at).as_millis() as u64;
    let status = received.text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let sent_on = served.get() - usize::from(script.asked_before);
    assert_eq!(sent_on, usize::from(status == Some(200)), "requests sent on; {script:?} {received:?}");
    Played {
        written_at,
        closed_before_first_byte,
        status,
        answered_at: received.first_at.map(since_connect),
        ended: received.ended.map(|(at, reset)| (since_connect(at), reset)),
    }
}

/// Whether the sidecar has to wait for the whole of a request that was written at these times.
fn must_be_served(script: &Script, written_at: &[u64]) -> bool {
    let writing_ms = written_at[written_at.len() - 1] - written_at[0];
    let in_time =
        |count: usize| written_at[count] + LIMIT_SLACK_MS < script.limit_after(&written_at[..count]);
    writing_ms <= ALLOWED_WRITING_MS && (1..written_at.len()).all(in_time)
}

fn check(script: &Script, played: &Played) {
    if played.closed_before_first_byte {
        assert!(script.rest_ms >= FIRST_REQUEST_MS && !script.asked_before, "closed while resting");
        return;
    }
    let written_at = &played.written_at;
    let whole = script.end == End::Whole && written_at.len() == script.pieces().len();
    if whole && must_be_served(script, written_at) {
        assert_eq!(played.status, Some(200), "served");
        return;
    }
    if script.end == End::Closes {
        return;
    }
    let status = played.status.expect("a request that was read in part or whole is answered");
    if status != 200 {
        let answered_at = played.answered_at.expect("answered");
        let limit = script.limit_after(written_at) + STOPPED_CLIENT_LIMIT_MS - FIRST_REQUEST_MS;
        assert!(status >= 400 && answered_at <= limit, "an error after {answered_at} ms, owed after {limit}");
        assert!(played.ended.is_some(), "the connection ends");
    }
}

fn scripts() -> impl Strategy<Value = Script> {
    let framing = prop_oneof![Just(Framing::NoBody), Just(Framing::Length), Just(Framing::Chunked)];
    let end = prop_oneof![4 => Just(End::Whole), 2 => Just(End::Stops), 1 => Just(End::Closes)];
    let cuts = vec((0..1_000_usize, 0..1_200_u64), 1..6);
    (any::<bool>(), 0..3_000_u64, framing, cuts, end).prop_map(
        |(asked_before, rest_ms, framing, cuts, end)| Script { asked_before, rest_ms, framing, cuts, end },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_request_that_is_read_is_answered_in_time(script in scripts()) {
        run_paused(async {
            let played = play(&script).await;
            check(&script, &played);
        });
    }
}

/// A first request after a rest takes as long to write as the platform allows any other.
#[test]
fn a_first_request_that_is_written_slowly_after_a_rest_is_served() {
    for (rest_ms, writing_ms) in [(0, 1_700), (1_000, 1_700), (1_600, 1_100), (2_200, 500), (2_400, 2_000)] {
        for framing in [Framing::NoBody, Framing::Length, Framing::Chunked] {
            let pause_ms = writing_ms / 20;
            let cuts = (1..=20).map(|number| (number * 49, pause_ms)).collect();
            let script = Script { asked_before: false, rest_ms, framing, cuts, end: End::Whole };
            let played = run_paused(async { play(&script).await });
            assert_eq!(
                played.status,
                Some(200),
                "{rest_ms} ms of rest, {writing_ms} ms of writing, {framing:?}"
            );
        }
    }
}

/// The rest of the request arrives just after its time is over: the client reads its answer only then.
#[test]
fn a_request_that_is_given_up_is_answered() {
    for (asked_before, rest_ms, pause_ms) in
        [(false, 0, 2_700), (false, 1_000, 2_400), (false, 2_000, 700), (true, 1_000, 2_700)]
    {
        for framing in [Framing::NoBody, Framing::Length, Framing::Chunked] {
            for cut in [200, 990] {
                let cuts = vec![(cut, pause_ms)];
                let script = Script { asked_before, rest_ms, framing, cuts, end: End::Whole };
                let played = run_paused(async { play(&script).await });
                let what =
                    format!("rest of {rest_ms} ms, pause of {pause_ms} ms at {cut}, {framing:?}: {played:?}");
                assert_eq!(played.status, Some(408), "{what}");
                assert!(played.ended.is_some_and(|(_, reset)| !reset), "{what}");
            }
        }
    }
}
