//! Open-loop load: requests leave at times drawn beforehand, whatever the answers do, so that a slow
//! answer holds back no later request (no coordinated omission).
//!
//! A time counts from when its request was sent; how much later that was than when it was due is the
//! generator's own lateness, which no answer has a part in, and is kept beside it.

use crate::endpoints::service_micros;
use crate::error::{Error, Result};
use crate::messages::CLASS;
use crate::quantiles::Times;
use crate::standin::{run_local, system};
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
pub const POPULARITY: f64 = 1.0;
/// Time that a request gets before it counts as failed.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Requests of one play at most.
const MOST_REQUESTS: usize = 1_000_000;

/// One request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start of the play.
    pub at: Duration,
    /// What it is about.
    pub key: Option<u64>,
}

/// Arrivals at random (Poisson) at this rate, for keys of Zipf popularity where there are any.
pub fn arrivals(rate: f64, length: Duration, keys: usize, seed: u64) -> Result<Vec<Arrival>> {
    let wrong = |name: &'static str, value: f64| Error::Argument {
        name,
        value: value.to_string(),
        wanted: "above 0".into(),
    };
    let gap = Exp::new(rate).map_err(|_| wrong("rates", rate))?;
    let popularity = Zipf::new(keys.max(1) as f64, POPULARITY).map_err(|_| wrong("keys", keys as f64))?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut all) = (0.0, Vec::new());
    while all.len() < MOST_REQUESTS {
        at += gap.sample(&mut rng);
        if at >= length.as_secs_f64() {
            break;
        }
        let key = (keys > 0).then(|| popularity.sample(&mut rng) as u64);
        all.push(Arrival { at: Duration::from_secs_f64(at), key });
    }
    Ok(all)
}

/// What a play brought.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// From when a request was sent to the last byte of its answer, less the time that the endpoint
    /// had it.
    pub times: Times,
    /// From when a request was due to when the generator sent it.
    pub lateness: Times,
    /// Requests sent.
    pub sent: usize,
    /// Those without a good answer.
    pub failed: usize,
    /// Each good answer's time (µs), in order of completion.
    pub samples: Vec<f64>,
}

/// Sends these requests to an address; those due before `warm_up` are sent and not counted.
pub fn play(target: SocketAddr, arrivals: Vec<Arrival>, warm_up: Duration, name: &str) -> Result<Played> {
    let (sender, mut due) = mpsc::unbounded_channel::<(usize, Instant, Arrival)>();
    let begun = Instant::now();
    // A thread of its own, as the runtime's timers only know whole milliseconds.
    let clock = std::thread::Builder::new().name("arrivals".into()).spawn(move || {
        for (number, arrival) in arrivals.into_iter().enumerate() {
            let at = begun + arrival.at;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if sender.send((number, at, arrival)).is_err() {
                return;
            }
        }
    });
    let clock = clock.map_err(system("the thread of arrivals"))?;
    let played = run_local(async move {
        let client = Rc::new(Client { target, name: name.to_owned(), idle: RefCell::default() });
        let (mut out, mut played) = (JoinSet::new(), Played::default());
        loop {
            tokio::select! {
                biased;
                next = due.recv() => match next {
                    Some((number, at, arrival)) => {
                        let client = client.clone();
                        out.spawn_local(async move { client.send(number, at, arrival, at >= begun + warm_up).await });
                    }
                    None => break,
                },
                Some(done) = out.join_next() => played.add(done.ok().flatten()),
            }
        }
        while let Some(done) = out.join_next().await {
            played.add(done.ok().flatten());
        }
        played
    })?;
    let _ = clock.join();
    Ok(played)
}

/// What became of one request (µs); `None` of one in the warm-up.
type Done = Option<Sample>;

#[derive(Clone, Copy, Debug)]
struct Sample {
    late: f64,
    /// `None` without a good answer.
    time: Option<f64>,
}

impl Played {
    fn add(&mut self, done: Done) {
        let Some(Sample { late, time }) = done else { return };
        self.sent += 1;
        self.lateness.add(late);
        match time {
            Some(time) => {
                self.times.add(time);
                self.samples.push(time);
            }
            None => self.failed += 1,
        }
    }
}

struct Client {
    target: SocketAddr,
    name: String,
    idle: RefCell<Vec<Wire<TcpStream>>>,
}

impl Client {
    async fn send(&self, number: usize, due: Instant, arrival: Arrival, counts: bool) -> Done {
        let sent = Instant::now();
        let late = sent.saturating_duration_since(due).as_secs_f64() * 1e6;
        let answer = tokio::time::timeout(PATIENCE, self.exchange(number, arrival)).await;
        let whole = sent.elapsed().as_secs_f64() * 1e6;
        let good = answer.ok().flatten().filter(|a| a.status == 200);
        let time = good.and_then(|a| service_micros(&a.body)).map(|service| whole - service);
        counts.then_some(Sample { late, time })
    }

    async fn exchange(&self, number: usize, arrival: Arrival) -> Option<Answer> {
        let text = self.request(number, arrival);
        let kept = self.idle.borrow_mut().pop();
        if let Some(wire) = kept {
            if let Some(answer) = self.ask(wire, &text).await {
                return Some(answer);
            }
        }
        // The first, or after a close that crossed the request.
        let stream = TcpStream::connect(self.target).await.ok()?;
        let _ = stream.set_nodelay(true);
        self.ask(Wire::new(stream), &text).await
    }

    async fn ask(&self, mut wire: Wire<TcpStream>, text: &str) -> Option<Answer> {
        wire.write(text.as_bytes()).await.ok()?;
        let answer = wire.read_answer().await.ok()?;
        if !answer.closes_connection() {
            self.idle.borrow_mut().push(wire);
        }
        Some(answer)
    }

    fn request(&self, number: usize, arrival: Arrival) -> String {
        let query = arrival.key.map_or(String::new(), |key| format!("?obj={key:016x}"));
        format!(
            "GET /{CLASS}{query} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {name}-{number:08x}\r\n\
             Request-Class: {CLASS}\r\nRequest-Timeout: {patience:.3}\r\n\r\n",
            name = self.name,
            patience = PATIENCE.as_secs_f64(),
        )
    }
}
