//! The applications: an open loop of calls, each sent once to the application's own sidecar.

use super::audit::{Rule, SAFE_CLASS, UNSAFE_CLASS};
use super::metrics::CallCounts;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::{Answer, ReadError, Wire};
use roseproxy_emulator::schedule::hashed;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Share of the calls that belong to the safe class.
const SAFE_SHARE: f64 = 0.6;
/// How long after its time-out a call may still be answered.
const ANSWER_TOLERANCE_MS: f64 = 500.0;
/// Name of the tenant of all calls.
const TENANT: &str = "east";

/// The applications of all sidecars.
pub struct Clients<F: Fabric> {
    /// How many calls ended in which way.
    pub counts: Cell<CallCounts>,
    idle_connections: RefCell<Vec<Vec<Wire<F::Stream>>>>,
}

impl<F: Fabric> Clients<F> {
    /// Applications for this number of sidecars, none of them connected.
    pub fn new(sidecars: usize) -> Clients<F> {
        Clients {
            counts: Cell::default(),
            idle_connections: RefCell::new((0..sidecars).map(|_| Vec::new()).collect()),
        }
    }

    /// Closes the connections to a sidecar, because its application ends together with it.
    pub fn close_connections(&self, sidecar: usize) {
        self.idle_connections.borrow_mut()[sidecar].clear();
    }

    fn count(&self, change: impl FnOnce(&mut CallCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// Sends calls at the configured rate until the future is dropped.
pub async fn send_calls<F: Fabric>(simulation: Rc<Simulation<F>>) {
    let (rate, seed) = (simulation.experiment.calls.per_s, simulation.experiment.seed);
    if rate <= 0.0 {
        return;
    }
    let (began, sidecars) = (simulation.now(), simulation.experiment.fleet.sidecars);
    let mut send_at_ms = began;
    for call in 0.. {
        // A Poisson process: the gaps between calls are exponentially distributed.
        send_at_ms -= (1.0 - hashed(seed, &[3, call])).ln() * 1e3 / rate;
        simulation.sleep_until(send_at_ms).await;
        let sidecar = ((hashed(seed, &[4, call]) * sidecars as f64) as usize).min(sidecars - 1);
        if !simulation.state(sidecar).ready {
            simulation.clients.count(|c| c.not_sent += 1);
            continue;
        }
        spawn_local(run_call(simulation.clone(), call, sidecar));
    }
}

/// Sends one call and records how it ended.
async fn run_call<F: Fabric>(simulation: Rc<Simulation<F>>, call: u64, sidecar: usize) {
    let seed = simulation.experiment.seed;
    let id = (hashed(seed, &[5, call]) * (1_u64 << 53) as f64) as u64;
    let safe = hashed(seed, &[6, call]) < SAFE_SHARE;
    let timeout_ms = simulation.experiment.calls.timeout_ms;
    let starts = simulation.state(sidecar).starts;
    simulation.audit.borrow_mut().request_sent(id, sidecar, safe);
    simulation.clients.count(|c| c.sent += 1);
    let text = request_text(id, safe, timeout_ms);
    let limit = Duration::from_secs_f64((timeout_ms + ANSWER_TOLERANCE_MS) / 1e3);
    let end = tokio::time::timeout(limit, exchange(&simulation, sidecar, text.as_bytes())).await;
    let state = simulation.state(sidecar);
    let excused = !state.ready || state.starts != starts;
    let mut audit = simulation.audit.borrow_mut();
    audit.request_ended(simulation.now(), id);
    simulation.clients.count(|counts| match end {
        Ok(Ok(answer)) => match answer.status {
            200 => counts.served += 1,
            429 | 503 => counts.rejected += 1,
            _ => counts.failed += 1,
        },
        _ if excused => counts.no_sidecar += 1,
        Ok(Err(NotAnswered { written: false })) => counts.no_sidecar += 1,
        Ok(Err(NotAnswered { written: true })) => {
            counts.failed += 1;
            audit.record_violation(Rule::Lost, || format!("id {id:016x} of sidecar {sidecar}"));
        }
        Err(_) => {
            counts.failed += 1;
            audit.record_violation(Rule::Unanswered, || format!("id {id:016x} of sidecar {sidecar}"));
        }
    });
}

/// The bytes of a call's HTTP request.
fn request_text(id: u64, safe: bool, timeout_ms: f64) -> String {
    let (method, class, body) = match safe {
        true => ("GET", SAFE_CLASS, ""),
        false => ("POST", UNSAFE_CLASS, "{\"design\":\"W-1200x900\",\"profile\":\"A\"}"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id:016x}\r\nRequest-Class: {class}\r\n\
         Tenant: {TENANT}\r\nRequest-Timeout: {:.3}\r\n{length}\r\n{body}",
        timeout_ms / 1e3
    )
}

/// A request that had no answer.
struct NotAnswered {
    /// Whether it was written to a connection that the sidecar had accepted.
    written: bool,
}

/// Writes a request to an idle connection, or to a new one, and reads the answer.
async fn exchange<F: Fabric>(
    simulation: &Rc<Simulation<F>>,
    sidecar: usize,
    text: &[u8],
) -> Result<Answer, NotAnswered> {
    let clients = &simulation.clients;
    loop {
        let idle = clients.idle_connections.borrow_mut()[sidecar].pop();
        let reused = idle.is_some();
        let mut wire = match idle {
            Some(wire) => wire,
            None => {
                let stream = simulation.fabric.connect(simulation.topology.sidecar(sidecar)).await;
                Wire::new(stream.map_err(|_| NotAnswered { written: false })?)
            }
        };
        if wire.write(text).await.is_err() {
            if reused {
                continue;
            }
            return Err(NotAnswered { written: false });
        }
        match wire.read_answer().await {
            Ok(answer) => {
                if !answer.closes_connection() && simulation.state(sidecar).ready {
                    clients.idle_connections.borrow_mut()[sidecar].push(wire);
                }
                return Ok(answer);
            }
            // The sidecar closed the idle connection while the request was on its way: sends it again on another one.
            Err(ReadError::Closed) if reused => {}
            Err(_) => return Err(NotAnswered { written: true }),
        }
    }
}
