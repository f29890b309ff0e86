//! A config server as a process: answers requests, and reports every attempt that it has read whole.

use crate::control::{follow, EndpointConduct, Told};
use crate::http::{Message, Reader};
use crate::lag::Lag;
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

/// Times of an answer (ms).
const ANSWERS: (f64, f64) = (2.0, 25.0);
/// How long until a lag of this moment has been measured.
const LAG_KNOWN: Duration = Duration::from_millis(2);
/// Share of answers that are large, and their size (bytes).
const LARGE: (f64, usize) = (0.05, 48 * 1024);

/// The endpoint of this number and cell.
pub struct Endpoint {
    number: usize,
    cell: u32,
    conduct: Told<EndpointConduct>,
    in_flight: Cell<usize>,
    lag: Lag,
    random: RefCell<ChaCha8Rng>,
}

/// Serves on a listener until the standard input ends.
pub async fn run(number: usize, cell: u32, port: u16, seed: u64) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let random = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
    let (conduct, in_flight, lag) = (follow(|_| {}), Cell::new(0), Lag::measure());
    let endpoint = Rc::new(Endpoint { number, cell, conduct, in_flight, lag, random });
    loop {
        let (stream, _) = listener.accept().await?;
        spawn_local(endpoint.clone().serve(stream));
    }
}

impl Endpoint {
    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random::<f64>() < share
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        loop {
            if self.happens(self.conduct.borrow().resets_early) {
                return reset(stream);
            }
            let Ok(Some(message)) = reader.message(&mut stream).await else { return };
            self.in_flight.set(self.in_flight.get() + 1);
            let goes_on = self.answer(&mut stream, &message).await;
            self.in_flight.set(self.in_flight.get() - 1);
            match goes_on {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return reset(stream),
            }
        }
    }

    /// Answers a request; false where the connection ends in order behind that, an error where by a reset.
    async fn answer(&self, stream: &mut TcpStream, message: &Message) -> io::Result<bool> {
        let load = format!("Server-Load: TEXT inflight={}\r\n", self.in_flight.get());
        let Some(id) = message.header("request-id").map(str::to_owned) else {
            let body = format!("TEXT inflight={}", self.in_flight.get());
            write(stream, "200 OK", "", body.as_bytes()).await?;
            return Ok(true);
        };
        let conduct = *self.conduct.borrow();
        let rejected = self.happens(conduct.rejects);
        // What is late just now is measured in the next period.
        tokio::time::sleep(LAG_KNOWN).await;
        self.report(&id, message, !rejected);
        if rejected {
            write(stream, "503 Busy", &format!("Not-Started: 1\r\n{load}"), b"full").await?;
            return Ok(true);
        }
        let draw = self.random.borrow_mut().random_range(ANSWERS.0..ANSWERS.1);
        tokio::time::sleep(Duration::from_secs_f64((draw + conduct.slow) / 1e3)).await;
        while self.conduct.borrow().hangs {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if self.happens(conduct.resets) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.happens(conduct.fails) {
            write(stream, "500 Failed", &load, b"failed").await?;
            return Ok(true);
        }
        let mut body = id.into_bytes();
        if self.happens(LARGE.0) {
            body.resize(LARGE.1, b'.');
        }
        if self.happens(conduct.spoils) {
            return self.spoil(stream, &body).await;
        }
        let close = if conduct.closes { "Connection: close\r\n" } else { "" };
        write(stream, "200 OK", &format!("{close}{load}"), &body).await?;
        Ok(!conduct.closes)
    }

    /// Answers with what is no answer, or with one too many.
    async fn spoil(&self, stream: &mut TcpStream, body: &[u8]) -> io::Result<bool> {
        let kind = self.random.borrow_mut().random_range(0..4);
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

    fn report(&self, id: &str, message: &Message, ran: bool) {
        let path = message.start.split(' ').nth(1).unwrap_or("/");
        let name = path.trim_start_matches('/').split('?').next().unwrap_or("");
        let seconds = message.header("request-timeout").and_then(|value| value.parse::<f64>().ok());
        let Some(class) = Class::named(name) else {
            return print(&Record::Trouble { what: format!("an attempt of no class: {}", message.start) });
        };
        print(&Record::Attempt {
            id: id.to_owned(),
            class,
            endpoint: self.number,
            cell: self.cell,
            began: message.began,
            whole: message.whole,
            told: seconds.unwrap_or(f64::MAX) * 1e3,
            ran,
            lag: self.lag.millis(),
        });
    }
}

async fn write(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).await
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    // A linger of 0 makes the close a reset; where that cannot be set it is an orderly one.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
