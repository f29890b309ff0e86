//! One HTTP exchange with a sidecar: writes the request, reads the response and checks it.

use super::Clients;
use crate::accounting::{Regret, Rule, TryEnd};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{Answer, Unread, Wire};
use crate::scenario::Effect;
use crate::schedule::Schedule;

/// The body of requests that are not safe to repeat.
const BODY: &str = "{\"design\":\"W-1200x900\",\"profile\":\"A\"}";

/// The HTTP exchange of one try.
pub(super) struct Exchange<'a, F: Fabric> {
    clients: &'a Clients<F>,
    flow: usize,
    sidecar: usize,
    /// Its `Request-Id`.
    id: u64,
    /// The index of its try in the accounting.
    at: usize,
    /// When its client gives it up (ms).
    until: f64,
}

impl<'a, F: Fabric> Exchange<'a, F> {
    /// Creates the exchange of a try that is given up at `until` (ms).
    pub(super) fn new(clients: &'a Clients<F>, flow: usize, id: u64, at: usize, until: f64) -> Self {
        let sidecar = clients.environment.schedule.arrivals[flow].sidecar;
        Exchange { clients, flow, sidecar, id, at, until }
    }

    fn environment(&self) -> &'a Environment<F> {
        &self.clients.environment
    }

    fn record_violation(&self, rule: Rule, what: String) {
        self.environment().record_violation(rule, self.sidecar, Some(self.flow), what);
    }

    fn taken(&self) -> bool {
        self.environment().accounting.borrow().tries[self.at].taken
    }

    fn set_taken(&self, taken: bool) {
        self.environment().accounting.borrow_mut().tries[self.at].taken = taken;
    }

    /// Sends the request and waits for the response; returns how the try ended.
    pub(super) async fn run(&self) -> (TryEnd, Option<Regret>) {
        let (schedule, clock) = (&self.environment().schedule, &self.environment().clock);
        let (kills, sent) = (self.clients.applications.kills(self.sidecar), clock.now());
        let text = self.text(schedule, self.until - sent);
        let limit = clock.instant(self.until + schedule.day.clients.slack_ms);
        let exchanged = tokio::time::timeout_at(limit, self.exchange(text.as_bytes())).await;
        let excused = self.clients.applications.excused(self.sidecar, kills);
        match exchanged {
            Ok(Ok(answer)) => self.judge(&answer),
            _ if excused => (TryEnd::Excused, None),
            Ok(Err(Unread::Closed | Unread::Broken)) if !self.taken() => (TryEnd::NoConnection, None),
            Err(_) if !self.taken() => (TryEnd::NoConnection, None),
            Ok(Err(Unread::Garbled(what))) => self.nothing(Rule::WrongBody, what),
            Ok(Err(_)) => self.nothing(Rule::Lost, "the connection ended".into()),
            Err(_) => {
                let waited = clock.now() - sent;
                self.nothing(Rule::Unanswered, format!("no answer {waited:.0} ms after it was sent"))
            }
        }
    }

    /// The text of the request; its client waits `patience` (ms) for the response.
    fn text(&self, schedule: &Schedule, patience: f64) -> String {
        let arrival = &schedule.arrivals[self.flow];
        let class = schedule.class(arrival);
        let (method, body) = if class.effect == Effect::Safe { ("GET", "") } else { ("POST", BODY) };
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
            tenant = schedule.day.tenants[arrival.tenant].name,
            wait = patience / 1e3,
        )
    }

    /// Writes a request on an idle connection, or on a new one, and reads the response.
    async fn exchange(&self, text: &[u8]) -> Result<Answer, Unread> {
        loop {
            let kept = self.clients.connections.take(self.sidecar);
            let reused = kept.is_some();
            let mut wire = match kept {
                Some(wire) => wire,
                None => {
                    Wire::new(self.environment().connect(self.sidecar).await.map_err(|_| Unread::Closed)?)
                }
            };
            if wire.write(text).await.is_err() {
                if reused {
                    continue;
                }
                return Err(Unread::Closed);
            }
            self.set_taken(true);
            match wire.answer().await {
                Ok(answer) => {
                    // A stopped application keeps no connections.
                    if !answer.closes() && self.clients.applications.asks(self.sidecar) {
                        self.clients.connections.keep(self.sidecar, wire);
                    }
                    return Ok(answer);
                }
                // The sidecar closed the idle connection while the request was on its way: send it again.
                Err(Unread::Closed) if reused => self.set_taken(false),
                Err(why) => return Err(why),
            }
        }
    }

    /// Records a violation where no response was received.
    fn nothing(&self, rule: Rule, what: String) -> (TryEnd, Option<Regret>) {
        self.record_violation(rule, what);
        (TryEnd::Nothing, None)
    }

    /// Classifies a response, and records a violation where it came too late.
    fn judge(&self, answer: &Answer) -> (TryEnd, Option<Regret>) {
        let now = self.environment().clock.now();
        if now > self.until + self.environment().schedule.day.clients.slack_ms {
            self.record_violation(Rule::Late, format!("{:.0} ms after its time", now - self.until));
        }
        match answer.status {
            200 => (self.judge_body(&answer.body), None),
            429 | 503 => (TryEnd::Refused(advice(answer)), Some(self.clients.regret(self.flow))),
            status => (TryEnd::Failed(status), None),
        }
    }

    /// Checks that a server produced this body for this request.
    fn judge_body(&self, body: &[u8]) -> TryEnd {
        let made = self.environment().accounting.borrow().is_made(self.at, body);
        if made {
            return TryEnd::Served;
        }
        let begin = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        self.record_violation(Rule::WrongBody, begin);
        TryEnd::Failed(200)
    }
}

/// The `Retry-After` of a rejection (ms); 0 where there is none.
fn advice(answer: &Answer) -> f64 {
    let seconds = answer.header("retry-after").and_then(|v| v.trim().parse::<f64>().ok());
    seconds.unwrap_or(0.0) * 1e3
}
