//! The applications: open-loop calls through their sidecars, each sent once.

use super::audit::{Rule, SAFE_CLASS, UNSAFE_CLASS};
use super::metrics::CallCounts;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{Answer, ReadError, Wire};
use roseproxy_emulator::plan::hashed;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Share of the calls that may run again.
const SAFE_SHARE: f64 = 0.6;
/// How much later than its time an answer may come (ms).
const SLACK: f64 = 500.0;
/// The name of the tenant that asks.
const TENANT: &str = "east";

/// The applications of all sidecars.
pub struct Clients<F: Fabric> {
    /// How calls ended.
    pub counts: Cell<CallCounts>,
    kept: RefCell<Vec<Vec<Wire<F::Stream>>>>,
}

impl<F: Fabric> Clients<F> {
    /// Applications beside so many sidecars.
    pub fn new(sidecars: usize) -> Clients<F> {
        Clients { counts: Cell::default(), kept: RefCell::new((0..sidecars).map(|_| Vec::new()).collect()) }
    }

    /// Closes the connections to a sidecar, as its application ends with it.
    pub fn forget(&self, sidecar: usize) {
        self.kept.borrow_mut()[sidecar].clear();
    }

    fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// Sends calls at their times, until it is dropped.
pub async fn send<F: Fabric>(simulation: Rc<Simulation<F>>) {
    let (rate, seed) = (simulation.experiment.calls.per_s, simulation.experiment.seed);
    if rate <= 0.0 {
        return;
    }
    let (began, sidecars) = (simulation.now(), simulation.experiment.fleet.sidecars);
    let mut at = began;
    for call in 0.. {
        // A Poisson stream: gaps are exponential.
        at -= (1.0 - hashed(seed, &[3, call])).ln() * 1e3 / rate;
        simulation.until(at).await;
        let sidecar = ((hashed(seed, &[4, call]) * sidecars as f64) as usize).min(sidecars - 1);
        if !simulation.state(sidecar).ready {
            simulation.clients.count(|c| c.not_sent += 1);
            continue;
        }
        spawn_local(one(simulation.clone(), call, sidecar));
    }
}

/// One call from its start to its end.
async fn one<F: Fabric>(simulation: Rc<Simulation<F>>, call: u64, sidecar: usize) {
    let seed = simulation.experiment.seed;
    let id = (hashed(seed, &[5, call]) * (1_u64 << 53) as f64) as u64;
    let safe = hashed(seed, &[6, call]) < SAFE_SHARE;
    let timeout = simulation.experiment.calls.timeout_ms;
    let starts = simulation.state(sidecar).starts;
    simulation.audit.borrow_mut().sent(id, sidecar, safe);
    simulation.clients.count(|c| c.sent += 1);
    let text = request(id, safe, timeout);
    let limit = Duration::from_secs_f64((timeout + SLACK) / 1e3);
    let end = tokio::time::timeout(limit, exchange(&simulation, sidecar, text.as_bytes())).await;
    let state = simulation.state(sidecar);
    let excused = !state.ready || state.starts != starts;
    let mut audit = simulation.audit.borrow_mut();
    audit.ended(simulation.now(), id);
    simulation.clients.count(|counts| match end {
        Ok(Ok(answer)) => match answer.status {
            200 => counts.served += 1,
            429 | 503 => counts.rejected += 1,
            _ => counts.failed += 1,
        },
        _ if excused => counts.no_sidecar += 1,
        Ok(Err(NotAnswered { taken: false })) => counts.no_sidecar += 1,
        Ok(Err(NotAnswered { taken: true })) => {
            counts.failed += 1;
            audit.broke(Rule::Lost, || format!("id {id:016x} of sidecar {sidecar}"));
        }
        Err(_) => {
            counts.failed += 1;
            audit.broke(Rule::Unanswered, || format!("id {id:016x} of sidecar {sidecar}"));
        }
    });
}

fn request(id: u64, safe: bool, timeout: f64) -> String {
    let (method, class, body) = match safe {
        true => ("GET", SAFE_CLASS, ""),
        false => ("POST", UNSAFE_CLASS, "{\"design\":\"W-1200x900\",\"profile\":\"A\"}"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id:016x}\r\nRequest-Class: {class}\r\n\
         Tenant: {TENANT}\r\nRequest-Timeout: {:.3}\r\n{length}\r\n{body}",
        timeout / 1e3
    )
}

/// A request had no answer.
struct NotAnswered {
    /// Whether it was written to a connection that the sidecar had accepted.
    taken: bool,
}

/// Writes a request on a connection that is free, or on a new one, and reads the answer.
async fn exchange<F: Fabric>(
    simulation: &Rc<Simulation<F>>,
    sidecar: usize,
    text: &[u8],
) -> Result<Answer, NotAnswered> {
    let clients = &simulation.clients;
    loop {
        let kept = clients.kept.borrow_mut()[sidecar].pop();
        let reused = kept.is_some();
        let mut wire = match kept {
            Some(wire) => wire,
            None => {
                let stream = simulation.fabric.connect(simulation.topology.sidecar(sidecar)).await;
                Wire::new(stream.map_err(|_| NotAnswered { taken: false })?)
            }
        };
        if wire.write(text).await.is_err() {
            if reused {
                continue;
            }
            return Err(NotAnswered { taken: false });
        }
        match wire.read_answer().await {
            Ok(answer) => {
                if !answer.closes_connection() && simulation.state(sidecar).ready {
                    clients.kept.borrow_mut()[sidecar].push(wire);
                }
                return Ok(answer);
            }
            // A close between requests crossed this one: it is sent once more, on a new connection.
            Err(ReadError::Closed) if reused => {}
            Err(_) => return Err(NotAnswered { taken: true }),
        }
    }
}
