//! Endpoint stand-in: a config server that answers requests and reports every attempt that it has read completely.

use crate::control::{follow_stdin, EndpointBehavior, Latest};
use crate::http::{Message, MessageReader};
use crate::lag::LagMonitor;
use crate::records::{print, Class, Record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Shortest time to a response.
const MIN_RESPONSE_MS: f64 = 2.0;
/// Longest time to a response, before any added delay.
const MAX_RESPONSE_MS: f64 = 25.0;
/// Time after which the lag of the current moment has been measured.
const LAG_MEASUREMENT_DELAY: Duration = Duration::from_millis(2);
/// Share of responses that are large.
const LARGE_RESPONSE_SHARE: f64 = 0.05;
/// Size of the body of a large response.
const LARGE_RESPONSE_BYTES: usize = 48 * 1024;

/// State of the endpoint that this process stands in for.
pub struct Endpoint {
    number: usize,
    cell: u32,
    behavior: Latest<EndpointBehavior>,
    in_flight: Cell<usize>,
    lag: LagMonitor,
    rng: RefCell<ChaCha8Rng>,
}

/// Serves on `port` until standard input ends.
pub async fn run(number: usize, cell: u32, port: u16, seed: u64) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let rng = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
    let (behavior, in_flight, lag) = (follow_stdin(|_| {}), Cell::new(0), LagMonitor::start());
    let endpoint = Rc::new(Endpoint { number, cell, behavior, in_flight, lag, rng });
    loop {
        let (stream, _) = listener.accept().await?;
        spawn_local(endpoint.clone().serve(stream));
    }
}

impl Endpoint {
    fn draw_chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::default();
        loop {
            if self.draw_chance(self.behavior.borrow().early_reset_share) {
                return reset(stream);
            }
            let Ok(Some(message)) = reader.read_message(&mut stream).await else { return };
            self.in_flight.set(self.in_flight.get() + 1);
            let keep_open = self.answer(&mut stream, &message).await;
            self.in_flight.set(self.in_flight.get() - 1);
            match keep_open {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return reset(stream),
            }
        }
    }

    /// Answers a request. Returns false if the connection is then to be closed, and an error if it is to be reset.
    async fn answer(&self, stream: &mut TcpStream, message: &Message) -> io::Result<bool> {
        let load = format!("Server-Load: TEXT inflight={}\r\n", self.in_flight.get());
        let Some(id) = message.header("request-id").map(str::to_owned) else {
            let body = format!("TEXT inflight={}", self.in_flight.get());
            write(stream, "200 OK", "", body.as_bytes()).await?;
            return Ok(true);
        };
        let behavior = *self.behavior.borrow();
        let rejected = self.draw_chance(behavior.reject_share);
        // The lag of the current moment is only measured in the monitor's next period.
        tokio::time::sleep(LAG_MEASUREMENT_DELAY).await;
        self.report_attempt(&id, message, !rejected);
        if rejected {
            write(stream, "503 Busy", &format!("Not-Started: 1\r\n{load}"), b"full").await?;
            return Ok(true);
        }
        let response_ms = self.rng.borrow_mut().random_range(MIN_RESPONSE_MS..MAX_RESPONSE_MS);
        tokio::time::sleep(Duration::from_secs_f64((response_ms + behavior.added_delay_ms) / 1e3)).await;
        while self.behavior.borrow().hang {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if self.draw_chance(behavior.reset_share) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.draw_chance(behavior.error_share) {
            write(stream, "500 Failed", &load, b"failed").await?;
            return Ok(true);
        }
        let mut body = id.into_bytes();
        if self.draw_chance(LARGE_RESPONSE_SHARE) {
            body.resize(LARGE_RESPONSE_BYTES, b'.');
        }
        if self.draw_chance(behavior.malformed_share) {
            return self.send_malformed(stream, &body).await;
        }
        let close = if behavior.close_after_response { "Connection: close\r\n" } else { "" };
        write(stream, "200 OK", &format!("{close}{load}"), &body).await?;
        Ok(!behavior.close_after_response)
    }

    /// Sends a malformed response, or a response followed by a second one.
    async fn send_malformed(&self, stream: &mut TcpStream, body: &[u8]) -> io::Result<bool> {
        let kind = self.rng.borrow_mut().random_range(0..4);
        match kind {
            0 => stream.write_all(b"noise\r\n\r\n").await?,
            1 => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart").await?,
            2 => {
                write(stream, "200 OK", "", body).await?;
                write(stream, "200 OK", "", b"a second answer").await?;
                return Ok(true);
            }
            _ => {
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
                stream.write_all(&body[..body.len() / 2]).await?;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(false)
    }

    fn report_attempt(&self, id: &str, message: &Message, executed: bool) {
        let path = message.start_line.split(' ').nth(1).unwrap_or("/");
        let name = path.trim_start_matches('/').split('?').next().unwrap_or("");
        let timeout_s = message.header("request-timeout").and_then(|value| value.parse::<f64>().ok());
        let Some(class) = Class::from_name(name) else {
            return print(&Record::StandInError {
                message: format!("attempt of unknown class: {}", message.start_line),
            });
        };
        print(&Record::Attempt {
            id: id.to_owned(),
            class,
            endpoint: self.number,
            cell: self.cell,
            first_byte_at: message.first_byte_at,
            last_byte_at: message.last_byte_at,
            timeout_ms: timeout_s.unwrap_or(f64::MAX) * 1e3,
            executed,
            lag_ms: self.lag.worst_ms(),
        });
    }
}

async fn write(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).await
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    // Closing with a linger time of 0 sends a reset. If the option cannot be set, the connection is closed normally.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
