//! Compares a target connection with a model of its states under random sequences of steps.

use bytes::Bytes;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::Method;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use roseproxy_platform::request::ForwardedRequest;
use roseproxy_transport::answer_memory::AnswerMemory;
use roseproxy_transport::connection::{Connection, ConnectionState, ExchangeResult};
use roseproxy_transport::memory::MessageMemory;
use roseproxy_transport::memory_budget::MemoryBudget;
use roseproxy_transport::network::PeekResult;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, yield_now, JoinHandle};

/// Capacity of the pipe between the two ends: small, so that requests are written in parts.
const PIPE_CAPACITY_BYTES: u64 = 48;

/// Memory for the answer of an exchange: more than any of them needs.
const MESSAGE_MEMORY_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
enum Step {
    /// Send a request with a body of this length.
    Send(u8),
    /// The target reads this many bytes.
    Read(u8),
    /// The target sends a complete answer, also without a request.
    Answer,
    /// The target sends a complete answer, immediately followed by further bytes.
    AnswerWithTrailingBytes(u8),
    /// The target sends an answer that cannot be served; its connection stays open.
    MalformedAnswer(u8),
    /// The target breaks off in the middle of its answer.
    PartialAnswer,
    /// The target closes the connection.
    Close,
    /// The request is abandoned because its client has left or its time is over.
    Abandon,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 15 {
            0..=3 => Step::Send(u8::arbitrary(g)),
            4..=7 => Step::Read(u8::arbitrary(g)),
            8 | 9 => Step::Answer,
            10 => Step::PartialAnswer,
            11 => Step::AnswerWithTrailingBytes(u8::arbitrary(g)),
            12 => Step::MalformedAnswer(u8::arbitrary(g)),
            13 => Step::Abandon,
            _ => Step::Close,
        }
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Bytes that may follow an answer: a second copy of it, noise, the beginning of a head.
const TRAILING_BYTES: [&str; 3] = [OK, "\0\u{1}noise\r\n\r\n", "HTTP/1.1 "];
/// Answers that cannot be served: no head, an invalid length, conflicting lengths, a body that is
/// far too large, a protocol switch, invalid chunks.
const MALFORMED_ANSWERS: [&str; 6] = [
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

struct RealConnection {
    /// `None` while a request is in progress.
    connection: Option<Connection>,
    exchange_task: Option<JoinHandle<(Connection, ExchangeResult)>>,
    peer: Option<DuplexStream>,
}

async fn run_pending_tasks() {
    for _ in 0..40 {
        yield_now().await;
    }
}

impl RealConnection {
    async fn new() -> RealConnection {
        let (near, far) = tokio::io::duplex(PIPE_CAPACITY_BYTES as usize);
        let connection = Connection::start(near, Rc::new(|| PeekResult::Empty)).await.expect("a fresh pipe");
        RealConnection { connection: Some(connection), exchange_task: None, peer: Some(far) }
    }

    fn send(&mut self, body: u8) -> u64 {
        let headers = vec![(HOST, HeaderValue::from_static("origin.svc"))];
        let (body, id) = (Bytes::from(vec![b'x'; usize::from(body)]), HeaderValue::from_static("1"));
        let outgoing =
            ForwardedRequest { method: Method::POST, path: "/put?obj=1".into(), headers, body, id };
        let outgoing = outgoing.to_target(480.0);
        assert!(outgoing.request.headers().contains_key(CONTENT_LENGTH));
        let (length, mut connection) = (outgoing.length, self.connection.take().expect("idle"));
        let memory =
            AnswerMemory::of_budget(&MemoryBudget::new(MESSAGE_MEMORY_BYTES), &MessageMemory::default());
        self.exchange_task = Some(spawn_local(async move {
            let exchange = connection.exchange(outgoing, &memory).await;
            (connection, exchange)
        }));
        length
    }

    /// Reads exactly this many bytes; fewer bytes in the pipe mean that the model counted wrongly.
    async fn read(&mut self, bytes: u64) -> bool {
        let mut buffer = vec![0; bytes as usize];
        self.peer.as_mut().expect("open").read_exact(&mut buffer).await.is_ok()
    }

    async fn write(&mut self, text: &[u8]) {
        let peer = self.peer.as_mut().expect("open");
        // The connection may close in the middle of bytes that it has no use for.
        let _ = peer.write_all(text).await;
    }

    /// The result of the exchange if it has ended; the connection is available again then.
    async fn take_result(&mut self) -> Option<ExchangeResult> {
        if !self.exchange_task.as_ref()?.is_finished() {
            return None;
        }
        let (connection, exchange) = self.exchange_task.take()?.await.expect("the exchange does not panic");
        self.connection = Some(connection);
        Some(exchange)
    }
}

async fn step(model: Model, real: &mut RealConnection, step: &Step) -> Result<Model, String> {
    let mismatch = |what: &str| Err(format!("{what} at {model:?} on {step:?}"));
    let fully_written = |length: u64, read: u64| read + PIPE_CAPACITY_BYTES >= length;
    match (model, step) {
        (Model::Closed, _) | (Model::Busy { .. }, Step::Send(_)) | (Model::Idle, Step::Read(_)) => Ok(model),
        (Model::Idle, Step::Send(body)) => {
            let length = real.send(*body);
            Ok(Model::Busy { length, read: 0 })
        }
        (Model::Busy { length, read }, Step::Read(n)) => {
            // Often stops at the boundary: the request is fully written, or one byte short of it.
            let boundary = (length + u64::from(*n & 1)).saturating_sub(PIPE_CAPACITY_BYTES + 1 + read);
            let bytes = if *n >= 160 { boundary } else { u64::from(*n).min(length - read) };
            match real.read(bytes).await {
                true => Ok(Model::Busy { length, read: read + bytes }),
                false => mismatch("fewer bytes than expected"),
            }
        }
        // Abandoning a request closes its connection whatever its state: the target sees the end of
        // the stream and no other request.
        (Model::Busy { .. }, Step::Abandon) => {
            let Some(exchange_task) = real.exchange_task.take() else {
                return mismatch("no exchange in progress");
            };
            exchange_task.abort();
            run_pending_tasks().await;
            let mut rest = Vec::new();
            match real.peer.as_mut().expect("open").read_to_end(&mut rest).await {
                Ok(_) if exchange_task.is_finished() => Ok(Model::Closed),
                other => mismatch(&format!("expected the end of the stream, got {other:?}")),
            }
        }
        (Model::Idle, Step::Abandon) => Ok(model),
        // An early answer to a request that is not fully written is not its answer, and an
        // incomplete request never runs.
        (Model::Busy { length, read }, Step::Answer) if !fully_written(length, read) => {
            real.write(OK.as_bytes()).await;
            run_pending_tasks().await;
            match real.take_result().await {
                Some(ExchangeResult::Broken { last_byte_written: false }) => {
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => mismatch(&format!("an early answer must break the exchange, got {other:?}")),
            }
        }
        // There is nothing to answer before the complete request has arrived.
        (
            Model::Busy { length, read },
            Step::Answer | Step::PartialAnswer | Step::AnswerWithTrailingBytes(_) | Step::MalformedAnswer(_),
        ) if read < length => Ok(model),
        (Model::Busy { .. }, Step::Answer | Step::AnswerWithTrailingBytes(_)) => {
            let (trailing_bytes, next_model) = match step {
                Step::AnswerWithTrailingBytes(n) => {
                    (TRAILING_BYTES[usize::from(*n) % TRAILING_BYTES.len()], Model::Closed)
                }
                _ => ("", Model::Idle),
            };
            real.write(format!("HTTP/1.1 103 Early Hints\r\n\r\n{OK}{trailing_bytes}").as_bytes()).await;
            run_pending_tasks().await;
            match real.take_result().await {
                // The bytes after the answer are neither served nor waited for.
                Some(ExchangeResult::Answered(status, _, body)) if status == 200 && *body == *b"ok" => {
                    Ok(next_model)
                }
                other => mismatch(&format!("expected an answer, got {other:?}")),
            }
        }
        (Model::Busy { .. }, Step::MalformedAnswer(n)) => {
            real.write(MALFORMED_ANSWERS[usize::from(*n) % MALFORMED_ANSWERS.len()].as_bytes()).await;
            run_pending_tasks().await;
            match real.take_result().await {
                Some(ExchangeResult::Broken { last_byte_written: true }) => {
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => mismatch(&format!("expected a broken exchange, got {other:?}")),
            }
        }
        (
            Model::Idle,
            Step::Answer | Step::PartialAnswer | Step::AnswerWithTrailingBytes(_) | Step::MalformedAnswer(_),
        ) => {
            real.write(b"HTTP/1.1 200 OK\r\n\r\n").await;
            Ok(Model::Closed)
        }
        (Model::Idle, Step::Close) => {
            real.peer = None;
            Ok(Model::Closed)
        }
        (Model::Busy { length, read }, Step::PartialAnswer | Step::Close) => {
            if matches!(step, Step::PartialAnswer) {
                real.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok").await;
            }
            real.peer = None;
            run_pending_tasks().await;
            match real.take_result().await {
                Some(ExchangeResult::Broken { last_byte_written })
                    if last_byte_written == fully_written(length, read) =>
                {
                    // The connection is never used again, whatever was in progress.
                    real.connection = None;
                    Ok(Model::Closed)
                }
                other => {
                    mismatch(&format!("expected a broken exchange with the modelled progress, got {other:?}"))
                }
            }
        }
    }
}

fn matches_model(steps: Vec<Step>) -> TestResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let result = tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (mut model, mut real) = (Model::Idle, RealConnection::new().await);
        for s in &steps {
            // Time is paused: a step that hangs fails at once.
            let next = tokio::time::timeout(std::time::Duration::from_secs(1), step(model, &mut real, s));
            model = next.await.unwrap_or_else(|_| Err(format!("{s:?} hangs at {model:?}")))?;
            run_pending_tasks().await;
            let state = real.connection.as_ref().map(Connection::state);
            let consistent = match model {
                Model::Idle => state == Some(ConnectionState::Idle),
                Model::Busy { .. } => state.is_none(),
                Model::Closed => state.is_none_or(|s| s == ConnectionState::Closed),
            };
            if !consistent {
                return Err(format!("connection state {state:?} but model {model:?} after {s:?}"));
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
fn connection_behaves_like_its_model() {
    let rng = Gen::from_size_and_seed(40, 0x5eed);
    QuickCheck::new().rng(rng).tests(400).quickcheck(matches_model as fn(Vec<Step>) -> TestResult);
}
