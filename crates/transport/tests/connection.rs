//! A model of a target connection's states, against which the real connection code takes random steps.

use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::Method;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use roseproxy_platform::request::ForwardedRequest;
use roseproxy_transport::connection::{Connection, Exchange, State};
use roseproxy_transport::network::Unread;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, yield_now, JoinHandle};

/// What the pipe between the two ends holds: small, so that requests are written in parts.
const PIPE: u64 = 48;

#[derive(Clone, Debug)]
enum Step {
    /// Send a request with a body so long.
    Send(u8),
    /// The target reads so many bytes.
    Read(u8),
    /// The target answers whole, also where nobody asked.
    Answer,
    /// The target answers whole, and more comes right behind.
    Surplus(u8),
    /// The target answers what cannot be served; its connection stays open.
    Spoilt(u8),
    /// The target breaks off inside of its answer.
    Half,
    /// The target closes.
    Close,
    /// The client behind the request leaves, or its time is over: the request is given up.
    Leave,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 15 {
            0..=3 => Step::Send(u8::arbitrary(g)),
            4..=7 => Step::Read(u8::arbitrary(g)),
            8 | 9 => Step::Answer,
            10 => Step::Half,
            11 => Step::Surplus(u8::arbitrary(g)),
            12 => Step::Spoilt(u8::arbitrary(g)),
            13 => Step::Leave,
            _ => Step::Close,
        }
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// What may come behind an answer: a second copy of it, noise, the begin of a head.
const BEHIND: [&str; 3] = [OK, "\0\u{1}noise\r\n\r\n", "HTTP/1.1 "];
/// Answers that cannot be served: no head, a length that is none, lengths that differ, a body far too
/// large, another protocol, chunks that are none.
const SPOILT: [&str; 6] = [
    "\0\u{1}\u{2}noise\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nok",
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nno\r\nok",
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Model {
    Idle,
    Busy { length: u64, read: u64 },
    Closed,
}

struct Real {
    /// Away while a request is on it.
    connection: Option<Connection>,
    running: Option<JoinHandle<(Connection, Exchange)>>,
    peer: Option<DuplexStream>,
}

async fn quiet() {
    for _ in 0..40 {
        yield_now().await;
    }
}

impl Real {
    async fn new() -> Real {
        let (near, far) = tokio::io::duplex(PIPE as usize);
        let connection = Connection::start(near, Rc::new(|| Unread::Nothing)).await.expect("a fresh pipe");
        Real { connection: Some(connection), running: None, peer: Some(far) }
    }

    fn send(&mut self, body: u8) -> u64 {
        let headers = vec![(HOST, HeaderValue::from_static("origin.svc"))];
        let (body, id) = (Bytes::from(vec![b'x'; usize::from(body)]), HeaderValue::from_static("1"));
        let outgoing =
            ForwardedRequest { method: Method::POST, path: "/put?obj=1".into(), headers, body, id };
        let outgoing = outgoing.to_target(480.0);
        assert!(outgoing.request.headers().contains_key(CONTENT_LENGTH));
        let (length, mut connection) = (outgoing.length, self.connection.take().expect("idle"));
        self.running = Some(spawn_local(async move {
            let exchange = connection.exchange(outgoing).await;
            (connection, exchange)
        }));
        length
    }

    /// Reads exactly so many bytes; a pipe that has fewer is an error of the count.
    async fn read(&mut self, bytes: u64) -> bool {
        let mut buffer = vec![0; bytes as usize];
        self.peer.as_mut().expect("open").read_exact(&mut buffer).await.is_ok()
    }

    async fn write(&mut self, text: &[u8]) {
        let peer = self.peer.as_mut().expect("open");
        // It may close in the middle of what it has no use for.
        let _ = peer.write_all(text).await;
    }

    /// The exchange's end, where it has ended; the connection is back then.
    async fn ended(&mut self) -> Option<Exchange> {
        if !self.running.as_ref()?.is_finished() {
            return None;
        }
        let (connection, exchange) = self.running.take()?.await.expect("no panic");
        self.connection = Some(connection);
        Some(exchange)
    }
}

async fn step(model: Model, real: &mut Real, step: &Step) -> Result<Model, String> {
    let wrong = |what: &str| Err(format!("{what} at {model:?} on {step:?}"));
    let whole = |length: u64, read: u64| read + PIPE >= length;
    match (model, step) {
        (Model::Closed, _) | (Model::Busy { .. }, Step::Send(_)) | (Model::Idle, Step::Read(_)) => Ok(model),
        (Model::Idle, Step::Send(body)) => {
            let length = real.send(*body);
            Ok(Model::Busy { length, read: 0 })
        }
        (Model::Busy { length, read }, Step::Read(n)) => {
            // Often to the brink: one byte short of the whole request's being written, or just not.
            let brink = (length + u64::from(*n & 1)).saturating_sub(PIPE + 1 + read);
            let bytes = if *n >= 160 { brink } else { u64::from(*n).min(length - read) };
            match real.read(bytes).await {
                true => Ok(Model::Busy { length, read: read + bytes }),
                false => wrong("too few bytes"),
            }
        }
        // What is given up closes its connection, whatever is on it: the target sees the end and no other request.
        (Model::Busy { .. }, Step::Leave) => {
            let Some(running) = real.running.take() else { return wrong("nothing runs") };
            running.abort();
            quiet().await;
            let mut rest = Vec::new();
            match real.peer.as_mut().expect("open").read_to_end(&mut rest).await {
                Ok(_) if running.is_finished() => Ok(Model::Closed),
                other => wrong(&format!("no end but {other:?}")),
            }
        }
        (Model::Idle, Step::Leave) => Ok(model),
        // An answer to a request that is not written whole belongs to nothing, and what is not whole never runs.
        (Model::Busy { length, read }, Step::Answer) if !whole(length, read) => {
            real.write(OK.as_bytes()).await;
            quiet().await;
            match real.ended().await {
                Some(Exchange::Broke { last_byte_written: false }) => {
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => wrong(&format!("an early answer is {other:?}")),
            }
        }
        // Before the whole request has come there is nothing to answer.
        (Model::Busy { length, read }, Step::Answer | Step::Half | Step::Surplus(_) | Step::Spoilt(_))
            if read < length =>
        {
            Ok(model)
        }
        (Model::Busy { .. }, Step::Answer | Step::Surplus(_)) => {
            let (behind, after) = match step {
                Step::Surplus(n) => (BEHIND[usize::from(*n) % BEHIND.len()], Model::Closed),
                _ => ("", Model::Idle),
            };
            real.write(format!("HTTP/1.1 103 Early Hints\r\n\r\n{OK}{behind}").as_bytes()).await;
            quiet().await;
            match real.ended().await {
                // What came behind it is neither served nor waited for.
                Some(Exchange::Answered(status, _, body)) if status == 200 && *body == *b"ok" => Ok(after),
                other => wrong(&format!("no answer but {other:?}")),
            }
        }
        (Model::Busy { .. }, Step::Spoilt(n)) => {
            real.write(SPOILT[usize::from(*n) % SPOILT.len()].as_bytes()).await;
            quiet().await;
            match real.ended().await {
                Some(Exchange::Broke { last_byte_written: true }) => {
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => wrong(&format!("no failure but {other:?}")),
            }
        }
        (Model::Idle, Step::Answer | Step::Half | Step::Surplus(_) | Step::Spoilt(_)) => {
            real.write(b"HTTP/1.1 200 OK\r\n\r\n").await;
            Ok(Model::Closed)
        }
        (Model::Idle, Step::Close) => {
            real.peer = None;
            Ok(Model::Closed)
        }
        (Model::Busy { length, read }, Step::Half | Step::Close) => {
            if matches!(step, Step::Half) {
                real.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok").await;
            }
            real.peer = None;
            quiet().await;
            match real.ended().await {
                Some(Exchange::Broke { last_byte_written }) if last_byte_written == whole(length, read) => {
                    // Whatever was on it, it is never used again.
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => wrong(&format!("no such break but {other:?}")),
            }
        }
    }
}

fn holds(steps: Vec<Step>) -> TestResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let result = tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (mut model, mut real) = (Model::Idle, Real::new().await);
        for s in &steps {
            // Time stands still: a step that hangs is an error at once.
            let next = tokio::time::timeout(std::time::Duration::from_secs(1), step(model, &mut real, s));
            model = next.await.unwrap_or_else(|_| Err(format!("{s:?} hangs at {model:?}")))?;
            quiet().await;
            let state = real.connection.as_ref().map(Connection::state);
            let same = match model {
                Model::Idle => state == Some(State::Idle),
                Model::Busy { .. } => state.is_none(),
                Model::Closed => state.is_none_or(|s| s == State::Closed),
            };
            if !same {
                return Err(format!("{state:?} where the model is {model:?}, after {s:?}"));
            }
        }
        Ok(())
    });
    match result {
        Ok(()) => TestResult::passed(),
        Err(reason) => TestResult::error(reason),
    }
}

#[test]
fn a_connection_does_as_its_model_says() {
    let rng = Gen::from_size_and_seed(40, 0x5eed);
    QuickCheck::new().rng(rng).tests(400).quickcheck(holds as fn(Vec<Step>) -> TestResult);
}
