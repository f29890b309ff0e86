//! Client stand-in: sends requests to one sidecar, as the replicas of an application do, and reports how each one
//! ended.

use crate::control::{follow_stdin, ClientBehavior, Latest};
use crate::endpoint::reset;
use crate::http::MessageReader;
use crate::lag::LagMonitor;
use crate::records::{now, print, Class, End, Record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Choices for a request's timeout, as fractions of the longest deadline.
const TIMEOUT_SHARES: [f64; 3] = [0.35, 0.6, 1.0];
/// Time after sending a request within which a close may have crossed it; after that, the request has been read.
const CLOSE_RACE_MS: f64 = 150.0;
/// Interval at which idle connections that were closed are replaced.
const IDLE_REFILL_INTERVAL_MS: u64 = 50;
/// Time beyond its timeout for which a client still waits for a late response.
const LATE_RESPONSE_WAIT_MS: f64 = 500.0;
/// Number of times that a request is sent again on a new connection after its connection was closed without reading it.
const MAX_RESENDS: u32 = 1;
/// Number of distinct keys that requests refer to.
const KEY_COUNT: u32 = 40;
/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Maximum wait for the error or the close that follows malformed input.
const MALFORMED_RESPONSE_WAIT_MS: f64 = 6_000.0;
/// Malformed inputs: noise, unknown paths, bad or conflicting headers, and truncated messages.
const MALFORMED_INPUTS: [&str; 7] = [
    "noise\r\n\r\n",
    "GET /unknown HTTP/1.1\r\nHost: a\r\nRequest-Id: x\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 99999999\r\n\r\nbody",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: a\r\nRequest-Timeout: never\r\nRequest-Id: bad\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 50\r\n\r\nhalf",
    "GET /quote HTTP/1.1\r\nHo",
];

/// What a client has sent that stops in the middle of a request.
const HALF_REQUEST: &str = MALFORMED_INPUTS[6];

/// Connection to the sidecar.
struct Connection {
    stream: TcpStream,
    reader: MessageReader,
    /// Whether the connection has carried a request before.
    reused: bool,
}

/// Clients of one sidecar.
pub struct Clients {
    sidecar: usize,
    address: SocketAddr,
    behavior: Latest<ClientBehavior>,
    idle: RefCell<Vec<Connection>>,
    request_count: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
    lag: LagMonitor,
    seed: u64,
    /// Measurement error to allow for (ms).
    slack_ms: f64,
    /// Longest deadline of a request class (ms).
    deadline_ms: f64,
}

/// A request, which is sent again if its connection was closed before it was read.
struct Request {
    id: String,
    class: Class,
    timeout_ms: f64,
    text: Vec<u8>,
    leave_after_ms: Option<f64>,
    trailing_bytes: bool,
    slow_write: bool,
}

/// Sends requests until standard input ends.
pub async fn run(sidecar: usize, address: SocketAddr, seed: u64, slack_ms: f64, deadline_ms: f64) {
    let rng = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
    let (idle, request_count) = (RefCell::default(), Cell::new(0));
    let behavior = follow_stdin(|_| {});
    let lag = LagMonitor::start();
    let clients = Rc::new(Clients {
        sidecar,
        address,
        behavior,
        idle,
        request_count,
        rng,
        lag,
        seed,
        slack_ms,
        deadline_ms,
    });
    spawn_local(clients.clone().send_malformed_inputs());
    spawn_local(clients.clone().hold_connections("", |behavior| behavior.idle_connections));
    spawn_local(clients.clone().hold_connections(HALF_REQUEST, |behavior| behavior.half_requests));
    loop {
        let rate = clients.behavior.borrow().rate;
        if rate <= 0.0 {
            clients.idle.borrow_mut().clear();
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        let pause = -clients.draw_unit().max(1e-9).ln() / rate;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        spawn_local(clients.clone().send_request());
    }
}

impl Clients {
    fn draw_unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    fn draw_chance(&self, share: f64) -> bool {
        share > 0.0 && self.draw_unit() < share
    }

    fn new_request(&self) -> Request {
        let behavior = *self.behavior.borrow();
        self.request_count.set(self.request_count.get() + 1);
        let id = format!("{:x}-{}-{}", self.seed, self.sidecar, self.request_count.get());
        let class = Class::ALL[self.rng.borrow_mut().random_range(0..3)];
        let timeout_ms =
            TIMEOUT_SHARES[self.rng.borrow_mut().random_range(0..TIMEOUT_SHARES.len())] * self.deadline_ms;
        let key = self.rng.borrow_mut().random_range(0..KEY_COUNT);
        let (method, length) = match class {
            Class::Safe => ("GET", 0),
            _ if self.draw_chance(0.1) => ("POST", 40_000),
            _ => ("POST", 60),
        };
        let text = format!(
            "{method} /{name}?obj=k{key} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {name}\r\n\
             Idempotency-Key: {id}\r\nRequest-Timeout: {:.3}\r\nContent-Length: {length}\r\n\r\n{}",
            timeout_ms / 1e3,
            "b".repeat(length),
            name = class.name(),
        );
        let leave_after_ms =
            self.draw_chance(behavior.leave_share).then(|| self.draw_unit().powi(2) * timeout_ms);
        let (trailing_bytes, slow_write) =
            (self.draw_chance(behavior.trailing_bytes_share), self.draw_chance(behavior.slow_write_share));
        Request { id, class, timeout_ms, text: text.into_bytes(), leave_after_ms, trailing_bytes, slow_write }
    }

    async fn send_request(self: Rc<Self>) {
        if self.behavior.borrow().open_only && self.idle.borrow().is_empty() {
            return;
        }
        // Captured before the request is sent: the sidecar may exit and its successor be ready before this request's
        // end is noticed.
        let open_only = self.behavior.borrow().open_only;
        let request = self.new_request();
        let mut sent_at = now();
        let mut end = End::Unreachable;
        for resend in 0..=MAX_RESENDS {
            let connection = if resend == 0 { self.acquire_connection().await } else { self.connect().await };
            let Some(mut connection) = connection else { break };
            let written = self.write(&request, &mut connection).await;
            sent_at = now();
            end = match written {
                Ok(()) => self.read_response(&request, &mut connection).await,
                Err(_) => End::ConnectionClosed { new_connection: !connection.reused, partial: false },
            };
            match &end {
                // The close crossed the request on the wire: send it once more on another connection.
                End::ConnectionClosed { partial: false, new_connection: false }
                    if now() - sent_at < CLOSE_RACE_MS =>
                {
                    if open_only {
                        end = End::ClosedWhileSending;
                        break;
                    }
                    continue;
                }
                End::ClientLeft if self.draw_chance(0.5) => reset(connection.stream),
                End::Answered { .. } => self.release_connection(connection),
                _ => {}
            }
            break;
        }
        let Request { id, class, timeout_ms, .. } = request;
        let sidecar = self.sidecar;
        print(&Record::Request { id, sidecar, class, sent_at, timeout_ms, ended_at: now(), end });
    }

    /// Holds as many connections as `wanted` tells, with `sent` written on each, and replaces those that were closed.
    async fn hold_connections(self: Rc<Self>, sent: &str, wanted: impl Fn(&ClientBehavior) -> usize) {
        let mut held: Vec<TcpStream> = Vec::new();
        loop {
            tokio::time::sleep(Duration::from_millis(IDLE_REFILL_INTERVAL_MS)).await;
            held.retain(|stream| {
                stream.try_read(&mut [0; 1]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
            });
            let wanted = wanted(&self.behavior.borrow());
            held.truncate(wanted);
            while held.len() < wanted && !self.behavior.borrow().open_only {
                let Ok(mut stream) = TcpStream::connect(self.address).await else { break };
                let _ = stream.write_all(sent.as_bytes()).await;
                held.push(stream);
            }
        }
    }

    async fn acquire_connection(&self) -> Option<Connection> {
        let pooled = self.idle.borrow_mut().pop();
        let behavior = *self.behavior.borrow();
        if let Some(pooled) =
            pooled.filter(|_| behavior.open_only || !self.draw_chance(behavior.reconnect_share))
        {
            return Some(pooled);
        }
        if behavior.open_only {
            return None;
        }
        self.connect().await
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, reader: MessageReader::default(), reused: false })
    }

    fn release_connection(&self, mut connection: Connection) {
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    async fn write(&self, request: &Request, connection: &mut Connection) -> std::io::Result<()> {
        if request.slow_write {
            for part in request.text.chunks(request.text.len() / 4 + 1) {
                connection.stream.write_all(part).await?;
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            return Ok(());
        }
        connection.stream.write_all(&request.text).await
    }

    async fn read_response(&self, request: &Request, connection: &mut Connection) -> End {
        let wait_ms =
            request.leave_after_ms.unwrap_or(request.timeout_ms + LATE_RESPONSE_WAIT_MS + self.slack_ms);
        if request.trailing_bytes && request.leave_after_ms.is_some() {
            let _ = connection.stream.write_all(&[b'x'; 30_000]).await;
        }
        let (stream, reader) = (&mut connection.stream, &mut connection.reader);
        let response =
            tokio::time::timeout(Duration::from_secs_f64(wait_ms / 1e3), reader.read_message(stream)).await;
        match response {
            Err(_) if request.leave_after_ms.is_some() => End::ClientLeft,
            Err(_) => End::TimedOut,
            Ok(Ok(Some(answer))) => {
                let matches_request =
                    answer.status() != 200 || answer.body.starts_with(request.id.as_bytes());
                End::Answered { status: answer.status(), matches_request }
            }
            Ok(_) => End::ConnectionClosed {
                new_connection: !connection.reused,
                partial: connection.reader.has_partial_message(),
            },
        }
    }

    /// Sends malformed inputs at the configured rate.
    async fn send_malformed_inputs(self: Rc<Self>) {
        loop {
            let rate = self.behavior.borrow().malformed_per_s;
            let pause = if rate > 0.0 { 1.0 / rate } else { 0.05 };
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            if rate > 0.0 {
                let text = MALFORMED_INPUTS[self.rng.borrow_mut().random_range(0..MALFORMED_INPUTS.len())];
                spawn_local(self.clone().send_malformed(text));
            }
        }
    }

    async fn send_malformed(self: Rc<Self>, text: &'static str) {
        let started_at = now();
        let Ok(mut stream) = TcpStream::connect(self.address).await else { return };
        let _ = stream.write_all(text.as_bytes()).await;
        let mut first = [0; 1];
        let response = tokio::time::timeout(
            Duration::from_secs_f64(MALFORMED_RESPONSE_WAIT_MS / 1e3),
            stream.read(&mut first),
        )
        .await;
        let response_ms = response.is_ok().then(|| now() - started_at);
        print(&Record::MalformedInput {
            sidecar: self.sidecar,
            at: now(),
            response_ms,
            lag_ms: self.lag.worst_ms(),
        });
    }
}
