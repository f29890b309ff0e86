//! An application's copy as a process: asks one sidecar, and reports how each request ended.

use crate::control::{follow, ClientConduct, Told};
use crate::endpoint::reset;
use crate::http::Reader;
use crate::lag::Lag;
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

/// The times that clients wait, as parts of the longest deadline.
const TIMEOUTS: [f64; 3] = [0.35, 0.6, 1.0];
/// How long after a request was sent a close may still have crossed it (ms): later it has been read.
const CROSSES: f64 = 150.0;
/// How often the crowd of idle connections is filled up (ms).
const CROWD: u64 = 50;
/// How much longer than its time a client listens for an answer that is late (ms).
const LISTENS_ON: f64 = 500.0;
/// How often what was closed unread is sent on a new connection.
const RESENDS: u32 = 1;
/// Keys that requests are about.
const KEYS: u32 = 40;
/// Idle connections that are kept.
const KEPT: usize = 16;
/// The longest wait for an error or a close that misbehaving clients are owed (ms).
const OWED: f64 = 6_000.0;
/// What is no request.
const MISBEHAVIOUR: [&str; 7] = [
    "noise\r\n\r\n",
    "GET /unknown HTTP/1.1\r\nHost: a\r\nRequest-Id: x\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 99999999\r\n\r\nbody",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: a\r\nRequest-Timeout: never\r\nRequest-Id: bad\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: a\r\nRequest-Id: bad\r\nContent-Length: 50\r\n\r\nhalf",
    "GET /quote HTTP/1.1\r\nHo",
];

/// A connection to the sidecar.
struct Connection {
    stream: TcpStream,
    reader: Reader,
    /// Whether it has carried a request before.
    used: bool,
}

/// The clients of one sidecar.
pub struct Clients {
    sidecar: usize,
    address: SocketAddr,
    conduct: Told<ClientConduct>,
    idle: RefCell<Vec<Connection>>,
    asked: Cell<u64>,
    random: RefCell<ChaCha8Rng>,
    lag: Lag,
    seed: u64,
    /// What measuring may be off by (ms).
    slack: f64,
    /// The longest deadline of a class (ms).
    deadline: f64,
}

/// A request that is sent, maybe more than once where its connection was closed unread.
struct Request {
    id: String,
    class: Class,
    timeout: f64,
    text: Vec<u8>,
    leaves_after: Option<f64>,
    trails: bool,
    slow: bool,
}

/// Asks until the standard input ends.
pub async fn run(sidecar: usize, address: SocketAddr, seed: u64, slack: f64, deadline: f64) {
    let random = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
    let (idle, asked) = (RefCell::default(), Cell::new(0));
    let conduct = follow(|_| {});
    let lag = Lag::measure();
    let clients =
        Rc::new(Clients { sidecar, address, conduct, idle, asked, random, lag, seed, slack, deadline });
    spawn_local(clients.clone().misbehave());
    spawn_local(clients.clone().crowd());
    loop {
        let rate = clients.conduct.borrow().rate;
        if rate <= 0.0 {
            clients.idle.borrow_mut().clear();
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        }
        let pause = -clients.draw().max(1e-9).ln() / rate;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        spawn_local(clients.clone().ask());
    }
}

impl Clients {
    fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.draw() < share
    }

    fn request(&self) -> Request {
        let conduct = *self.conduct.borrow();
        self.asked.set(self.asked.get() + 1);
        let id = format!("{:x}-{}-{}", self.seed, self.sidecar, self.asked.get());
        let class = Class::ALL[self.random.borrow_mut().random_range(0..3)];
        let timeout = TIMEOUTS[self.random.borrow_mut().random_range(0..TIMEOUTS.len())] * self.deadline;
        let key = self.random.borrow_mut().random_range(0..KEYS);
        let (method, length) = match class {
            Class::Safe => ("GET", 0),
            _ if self.happens(0.1) => ("POST", 40_000),
            _ => ("POST", 60),
        };
        let text = format!(
            "{method} /{name}?obj=k{key} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nRequest-Class: {name}\r\n\
             Idempotency-Key: {id}\r\nRequest-Timeout: {:.3}\r\nContent-Length: {length}\r\n\r\n{}",
            timeout / 1e3,
            "b".repeat(length),
            name = class.name(),
        );
        let leaves_after = self.happens(conduct.leaves).then(|| self.draw().powi(2) * timeout);
        let (trails, slow) = (self.happens(conduct.trails), self.happens(conduct.slow));
        Request { id, class, timeout, text: text.into_bytes(), leaves_after, trails, slow }
    }

    async fn ask(self: Rc<Self>) {
        if self.conduct.borrow().open_only && self.idle.borrow().is_empty() {
            return;
        }
        // As it is when the request is made: the process may end, and the next one be there, before its end is seen.
        let open_only = self.conduct.borrow().open_only;
        let request = self.request();
        let mut sent = now();
        let mut end = End::Unreachable;
        for tried in 0..=RESENDS {
            let connection = if tried == 0 { self.connection().await } else { self.connect().await };
            let Some(mut connection) = connection else { break };
            let written = self.write(&request, &mut connection).await;
            sent = now();
            end = match written {
                Ok(()) => self.hear(&request, &mut connection).await,
                Err(_) => End::Cut { new_connection: !connection.used, partial: false },
            };
            match &end {
                // A close that crossed the request: it is sent once more on another connection.
                End::Cut { partial: false, new_connection: false } if now() - sent < CROSSES => {
                    if open_only {
                        end = End::Crossed;
                        break;
                    }
                    continue;
                }
                End::Left if self.happens(0.5) => reset(connection.stream),
                End::Answered { .. } => self.keep(connection),
                _ => {}
            }
            break;
        }
        let Request { id, class, timeout, .. } = request;
        let sidecar = self.sidecar;
        print(&Record::Request { id, sidecar, class, sent, timeout, at: now(), end });
    }

    /// Holds as many idle connections as it is told, and opens those anew that were closed.
    async fn crowd(self: Rc<Self>) {
        let mut held: Vec<TcpStream> = Vec::new();
        loop {
            tokio::time::sleep(Duration::from_millis(CROWD)).await;
            held.retain(|stream| {
                stream.try_read(&mut [0; 1]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
            });
            let wanted = self.conduct.borrow().crowd;
            held.truncate(wanted);
            while held.len() < wanted && !self.conduct.borrow().open_only {
                let Ok(stream) = TcpStream::connect(self.address).await else { break };
                held.push(stream);
            }
        }
    }

    async fn connection(&self) -> Option<Connection> {
        let kept = self.idle.borrow_mut().pop();
        let conduct = *self.conduct.borrow();
        if let Some(kept) = kept.filter(|_| conduct.open_only || !self.happens(conduct.reconnects)) {
            return Some(kept);
        }
        if conduct.open_only {
            return None;
        }
        self.connect().await
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, reader: Reader::default(), used: false })
    }

    fn keep(&self, mut connection: Connection) {
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < KEPT {
            idle.push(connection);
        }
    }

    async fn write(&self, request: &Request, connection: &mut Connection) -> std::io::Result<()> {
        if request.slow {
            for part in request.text.chunks(request.text.len() / 4 + 1) {
                connection.stream.write_all(part).await?;
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            return Ok(());
        }
        connection.stream.write_all(&request.text).await
    }

    async fn hear(&self, request: &Request, connection: &mut Connection) -> End {
        let waits = request.leaves_after.unwrap_or(request.timeout + LISTENS_ON + self.slack);
        if request.trails && request.leaves_after.is_some() {
            let _ = connection.stream.write_all(&[b'x'; 30_000]).await;
        }
        let (stream, reader) = (&mut connection.stream, &mut connection.reader);
        let heard = tokio::time::timeout(Duration::from_secs_f64(waits / 1e3), reader.message(stream)).await;
        match heard {
            Err(_) if request.leaves_after.is_some() => End::Left,
            Err(_) => End::Silence,
            Ok(Ok(Some(answer))) => {
                let own = answer.status() != 200 || answer.body.starts_with(request.id.as_bytes());
                End::Answered { status: answer.status(), own }
            }
            Ok(_) => End::Cut { new_connection: !connection.used, partial: connection.reader.partial() },
        }
    }

    /// Sends what is no request, at the rate told.
    async fn misbehave(self: Rc<Self>) {
        loop {
            let rate = self.conduct.borrow().misbehaves;
            let pause = if rate > 0.0 { 1.0 / rate } else { 0.05 };
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            if rate > 0.0 {
                let text = MISBEHAVIOUR[self.random.borrow_mut().random_range(0..MISBEHAVIOUR.len())];
                spawn_local(self.clone().send_bad(text));
            }
        }
    }

    async fn send_bad(self: Rc<Self>, text: &'static str) {
        let began = now();
        let Ok(mut stream) = TcpStream::connect(self.address).await else { return };
        let _ = stream.write_all(text.as_bytes()).await;
        let mut first = [0; 1];
        let heard = tokio::time::timeout(Duration::from_secs_f64(OWED / 1e3), stream.read(&mut first)).await;
        let within = heard.is_ok().then(|| now() - began);
        print(&Record::Misbehaved { sidecar: self.sidecar, at: now(), within, lag: self.lag.millis() });
    }
}
