//! One HTTP exchange with a sidecar: writes the request, reads the response and checks it.

use super::Clients;
use crate::accounting::{Regret, Rule, TryEnd};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{Answer, ReadError, Wire};
use crate::scenario::Effect;
use crate::schedule::Schedule;

/// The body of requests whose class is not safe to repeat.
const REQUEST_BODY: &str = "{\"design\":\"W-1200x900\",\"profile\":\"A\"}";

/// The HTTP exchange of one try.
pub(super) struct Exchange<'a, F: Fabric> {
    clients: &'a Clients<F>,
    flow: usize,
    sidecar: usize,
    /// The `Request-Id`.
    id: u64,
    /// The index of the try in the accounting.
    try_index: usize,
    /// When the client gives the try up (ms).
    until: f64,
}

impl<'a, F: Fabric> Exchange<'a, F> {
    /// Creates the exchange of a try that its client gives up at `until` (ms).
    pub(super) fn new(clients: &'a Clients<F>, flow: usize, id: u64, try_index: usize, until: f64) -> Self {
        let sidecar = clients.environment.schedule.arrivals[flow].sidecar;
        Exchange { clients, flow, sidecar, id, try_index, until }
    }

    fn environment(&self) -> &'a Environment<F> {
        &self.clients.environment
    }

    fn record_violation(&self, rule: Rule, what: String) {
        self.environment().record_violation(rule, self.sidecar, Some(self.flow), what);
    }

    fn is_written(&self) -> bool {
        self.environment().accounting.borrow().tries[self.try_index].written
    }

    fn set_written(&self, written: bool) {
        self.environment().accounting.borrow_mut().tries[self.try_index].written = written;
    }

    /// Sends the request and waits for the response; returns how the try ended.
    pub(super) async fn run(&self) -> (TryEnd, Option<Regret>) {
        let (schedule, clock) = (&self.environment().schedule, &self.environment().clock);
        let (kills, sent) = (self.clients.applications.kill_count(self.sidecar), clock.now());
        let text = self.request_text(schedule, self.until - sent);
        let limit = clock.instant(self.until + schedule.scenario.clients.slack_ms);
        let exchanged = tokio::time::timeout_at(limit, self.send_and_receive(text.as_bytes())).await;
        let excused = self.clients.applications.is_excused(self.sidecar, kills);
        match exchanged {
            Ok(Ok(answer)) => self.classify(&answer),
            _ if excused => (TryEnd::Excused, None),
            Ok(Err(ReadError::Closed | ReadError::Broken)) if !self.is_written() => {
                (TryEnd::NoConnection, None)
            }
            Err(_) if !self.is_written() => (TryEnd::NoConnection, None),
            Ok(Err(ReadError::Malformed(what))) => self.fail(Rule::WrongBody, what),
            Ok(Err(_)) => self.fail(Rule::Lost, "connection closed before a complete response".into()),
            Err(_) => {
                let waited = clock.now() - sent;
                self.fail(Rule::Unanswered, format!("no response within {waited:.0} ms of the request"))
            }
        }
    }

    /// Encodes the request; `timeout` (ms) is how long the client waits for the response.
    fn request_text(&self, schedule: &Schedule, timeout: f64) -> String {
        let arrival = &schedule.arrivals[self.flow];
        let class = schedule.class(arrival);
        let (method, body) = if class.effect == Effect::Safe { ("GET", "") } else { ("POST", REQUEST_BODY) };
        let object = arrival.key.map_or(String::new(), |key| format!("?obj=k{key}"));
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let key =
            schedule.key_of(self.flow).map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "{method} /{name}{object} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id:016x}\r\n\
             Request-Class: {name}\r\nTenant: {tenant}\r\nRequest-Timeout: {wait:.3}\r\n{key}{length}\r\n{body}",
            name = class.name,
            id = self.id,
            tenant = schedule.scenario.tenants[arrival.tenant].name,
            wait = timeout / 1e3,
        )
    }

    /// Writes a request on an idle connection, or on a new one, and reads the response.
    async fn send_and_receive(&self, text: &[u8]) -> Result<Answer, ReadError> {
        loop {
            let idle = self.clients.connections.take_idle(self.sidecar);
            let reused = idle.is_some();
            let mut wire = match idle {
                Some(wire) => wire,
                None => {
                    Wire::new(self.environment().connect(self.sidecar).await.map_err(|_| ReadError::Closed)?)
                }
            };
            if wire.write(text).await.is_err() {
                if reused {
                    continue;
                }
                return Err(ReadError::Closed);
            }
            self.set_written(true);
            match wire.read_answer().await {
                Ok(answer) => {
                    // A stopped application holds no connections.
                    if !answer.closes_connection() && self.clients.applications.is_sending(self.sidecar) {
                        self.clients.connections.return_idle(self.sidecar, wire);
                    }
                    return Ok(answer);
                }
                // The sidecar closed the idle connection while the request was in flight: send it again on
                // another connection.
                Err(ReadError::Closed) if reused => self.set_written(false),
                Err(error) => return Err(error),
            }
        }
    }

    /// Records a violation and ends the try without a response.
    fn fail(&self, rule: Rule, what: String) -> (TryEnd, Option<Regret>) {
        self.record_violation(rule, what);
        (TryEnd::Nothing, None)
    }

    /// Classifies a response; a late one is a violation.
    fn classify(&self, answer: &Answer) -> (TryEnd, Option<Regret>) {
        let now = self.environment().clock.now();
        if now > self.until + self.environment().schedule.scenario.clients.slack_ms {
            self.record_violation(Rule::Late, format!("{:.0} ms after its deadline", now - self.until));
        }
        match answer.status {
            200 => (self.check_body(&answer.body), None),
            429 | 503 => (TryEnd::Refused(retry_after_ms(answer)), Some(self.clients.regret(self.flow))),
            status => (TryEnd::Failed(status), None),
        }
    }

    /// Checks that a server produced this body for this try.
    fn check_body(&self, body: &[u8]) -> TryEnd {
        let produced = self.environment().accounting.borrow().has_body(self.try_index, body);
        if produced {
            return TryEnd::Served;
        }
        let start = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        self.record_violation(Rule::WrongBody, start);
        TryEnd::Failed(200)
    }
}

/// The `Retry-After` of a rejection (ms); 0 if absent.
fn retry_after_ms(answer: &Answer) -> f64 {
    let seconds = answer.header("retry-after").and_then(|v| v.trim().parse::<f64>().ok());
    seconds.unwrap_or(0.0) * 1e3
}
