//! Open-loop load: requests are sent at times drawn beforehand, independent of the answers, so that a slow
//! answer delays no later request (no coordinated omission).
//!
//! The time of a request counts from when it was sent. The lateness, how much later that was than when the
//! request was due, is caused by the generator alone and is recorded separately.

use crate::endpoints::parse_service_time_us;
use crate::error::{Error, Result};
use crate::messages::REQUEST_CLASS;
use crate::quantiles::TimeHistogram;
use crate::stand_ins::{run_local, system_error};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use roseproxy_emulator::http::{Answer, Wire};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Zipf exponent of the keys' popularity.
pub const KEY_ZIPF_EXPONENT: f64 = 1.0;
/// Time after which a request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of requests in one run.
const MAX_REQUESTS: usize = 1_000_000;

/// A request to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the request is due, from the start of the run.
    pub at: Duration,
    /// Key of the request, if it has one.
    pub key: Option<u64>,
}

/// Draws the arrivals of a Poisson process at `rate` requests per second; if `keys` is not 0, each has a key
/// of Zipf popularity.
pub fn draw_arrivals(rate: f64, length: Duration, keys: usize, seed: u64) -> Result<Vec<Arrival>> {
    let invalid = |name: &'static str, value: f64| Error::Argument {
        name,
        value: value.to_string(),
        expected: "above 0".into(),
    };
    let interval = Exp::new(rate).map_err(|_| invalid("rates", rate))?;
    let popularity =
        Zipf::new(keys.max(1) as f64, KEY_ZIPF_EXPONENT).map_err(|_| invalid("keys", keys as f64))?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut all) = (0.0, Vec::new());
    while all.len() < MAX_REQUESTS {
        at += interval.sample(&mut rng);
        if at >= length.as_secs_f64() {
            break;
        }
        let key = (keys > 0).then(|| popularity.sample(&mut rng) as u64);
        all.push(Arrival { at: Duration::from_secs_f64(at), key });
    }
    Ok(all)
}

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Time from sending a request to the last byte of its answer, less the time that the endpoint had it.
    pub times: TimeHistogram,
    /// Time from when a request was due until the generator sent it.
    pub lateness: TimeHistogram,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests without a good answer.
    pub failed: usize,
    /// Time of each request with a good answer (µs), in order of completion.
    pub samples: Vec<f64>,
}

/// Sends requests to an address; those due before `warm_up` are sent but not counted. `name` is the prefix of
/// the request ids.
pub fn send_load(
    address: SocketAddr,
    arrivals: Vec<Arrival>,
    warm_up: Duration,
    name: &str,
) -> Result<LoadResult> {
    let (sender, mut due) = mpsc::unbounded_channel::<(usize, Instant, Arrival)>();
    let started = Instant::now();
    // A separate thread, because the runtime's timers have a resolution of whole milliseconds.
    let sender_thread = std::thread::Builder::new().name("arrivals".into()).spawn(move || {
        for (number, arrival) in arrivals.into_iter().enumerate() {
            let at = started + arrival.at;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if sender.send((number, at, arrival)).is_err() {
                return;
            }
        }
    });
    let sender_thread = sender_thread.map_err(system_error("the thread of arrivals"))?;
    let result = run_local(async move {
        let client = Rc::new(Client { address, name: name.to_owned(), idle: RefCell::default() });
        let (mut in_flight, mut result) = (JoinSet::new(), LoadResult::default());
        loop {
            tokio::select! {
                biased;
                next = due.recv() => match next {
                    Some((number, at, arrival)) => {
                        let client = client.clone();
                        in_flight.spawn_local(async move {
                            client.send(number, at, arrival, at >= started + warm_up).await
                        });
                    }
                    None => break,
                },
                Some(done) = in_flight.join_next() => result.add(done.ok().flatten()),
            }
        }
        while let Some(done) = in_flight.join_next().await {
            result.add(done.ok().flatten());
        }
        result
    })?;
    let _ = sender_thread.join();
    Ok(result)
}

/// The sample of one request; `None` for a request of the warm-up.
type MaybeSample = Option<Sample>;

#[derive(Clone, Copy, Debug)]
struct Sample {
    lateness_us: f64,
    /// `None` without a good answer.
    time_us: Option<f64>,
}

impl LoadResult {
    fn add(&mut self, sample: MaybeSample) {
        let Some(Sample { lateness_us, time_us }) = sample else { return };
        self.sent += 1;
        self.lateness.record(lateness_us);
        match time_us {
            Some(time_us) => {
                self.times.record(time_us);
                self.samples.push(time_us);
            }
            None => self.failed += 1,
        }
    }
}

struct Client {
    address: SocketAddr,
    name: String,
    idle: RefCell<Vec<Wire<TcpStream>>>,
}

impl Client {
    async fn send(&self, number: usize, due: Instant, arrival: Arrival, counted: bool) -> MaybeSample {
        let sent = Instant::now();
        let lateness_us = sent.saturating_duration_since(due).as_secs_f64() * 1e6;
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(number, arrival)).await;
        let total_us = sent.elapsed().as_secs_f64() * 1e6;
        let good_answer = answer.ok().flatten().filter(|a| a.status == 200);
        let time_us =
            good_answer.and_then(|a| parse_service_time_us(&a.body)).map(|service_us| total_us - service_us);
        counted.then_some(Sample { lateness_us, time_us })
    }

    async fn exchange(&self, number: usize, arrival: Arrival) -> Option<Answer> {
        let text = self.request_text(number, arrival);
        let idle_connection = self.idle.borrow_mut().pop();
        if let Some(wire) = idle_connection {
            if let Some(answer) = self.send_on(wire, &text).await {
                return Some(answer);
            }
        }
        // No idle connection, or the server closed it while the request was being sent.
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        self.send_on(Wire::new(stream), &text).await
    }

    async fn send_on(&self, mut wire: Wire<TcpStream>, text: &str) -> Option<Answer> {
        wire.write(text.as_bytes()).await.ok()?;
        let answer = wire.read_answer().await.ok()?;
        if !answer.closes_connection() {
            self.idle.borrow_mut().push(wire);
        }
        Some(answer)
    }

    fn request_text(&self, number: usize, arrival: Arrival) -> String {
        let query = arrival.key.map_or(String::new(), |key| format!("?obj={key:016x}"));
        format!(
            "GET /{REQUEST_CLASS}{query} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {name}-{number:08x}\r\n\
             Request-Class: {REQUEST_CLASS}\r\nRequest-Timeout: {timeout:.3}\r\n\r\n",
            name = self.name,
            timeout = REQUEST_TIMEOUT.as_secs_f64(),
        )
    }
}
