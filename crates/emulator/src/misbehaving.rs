//! Misbehaving clients, which send malformed requests. Each must get an error or a close within a time limit.

use crate::accounting::Rule;
use crate::applications::Applications;
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::schedule::hashed;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::timeout_at;

/// Time limit for the error or the close.
const ANSWER_TIMEOUT_MS: f64 = 3_000.0;
/// Key of the draws of the gaps between requests. Changing it changes the results of every seed.
const DRAW_MALFORMED_GAP: u64 = 31;

/// The malformed requests, sent in rotation. None of them may be served.
const MALFORMED_REQUESTS: [&str; 14] = [
    "\0\x01\x02\x03 what is this\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nX-Endless: ",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad1\r\nContent-Length: -5\r\n\r\nhello",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad2\r\nContent-Length: 99999999999999999999\r\n\r\nhello",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad3\r\nContent-Length: 60000000\r\n\r\nhello",
    "GET /no-such-class HTTP/1.1\r\nHost: x\r\nRequest-Id: bad4\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: bad5\r\nRequest-Timeout: soon\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 0.5\r\n\r\n",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad6\r\nContent-Length: 30\r\n\r\nhalf",
    "POST /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad7\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "GET /place-order HTTP/1.1\r\nHost: x\r\nRequest-Id: bad8\r\n\r\n",
    "GET /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n",
    "BREW /quote HTTP/1.1\r\nHost: x\r\nRequest-Id: bad9\r\n\r\n",
    "",
];

/// Clients that send malformed requests.
pub struct MisbehavingClients<F: Fabric> {
    environment: Rc<Environment<F>>,
    applications: Rc<Applications>,
}

impl<F: Fabric> MisbehavingClients<F> {
    /// Creates the clients; they send only to sidecars whose application is running.
    pub fn new(environment: Rc<Environment<F>>, applications: Rc<Applications>) -> Rc<MisbehavingClients<F>> {
        Rc::new(MisbehavingClients { environment, applications })
    }

    /// Sends malformed requests to one sidecar as a Poisson process until a time (ms).
    pub async fn send_until(self: Rc<Self>, sidecar: usize, rate_per_s: f64, until: f64) {
        let clock = &self.environment.clock;
        let mut number = 0_u64;
        while clock.now() < until && rate_per_s > 0.0 {
            let draw = hashed(self.environment.schedule.seed, &[DRAW_MALFORMED_GAP, sidecar as u64, number]);
            clock.sleep(-(draw.max(1e-9)).ln() / rate_per_s * 1e3).await;
            number += 1;
            if self.applications.is_sending(sidecar) {
                spawn_local(self.clone().send(sidecar, number));
            }
        }
    }

    /// Sends one malformed request and checks the response.
    async fn send(self: Rc<Self>, sidecar: usize, number: u64) {
        let environment = &self.environment;
        let text = MALFORMED_REQUESTS[number as usize % MALFORMED_REQUESTS.len()];
        let (kills, sent_at) = (self.applications.kill_count(sidecar), environment.clock.now());
        let Ok(stream) = environment.connect(sidecar).await else { return };
        environment.accounting.borrow_mut().malformed_sent += 1;
        let deadline = environment
            .clock
            .instant(sent_at + ANSWER_TIMEOUT_MS + environment.schedule.scenario.limits.slack_ms);
        let answer = timeout_at(deadline, exchange(stream, text)).await;
        let excused = self.applications.is_excused(sidecar, kills);
        match answer {
            Ok(answer) if answer.starts_with(b"HTTP/1.1 200") => {
                environment.record_violation(Rule::ServedBad, sidecar, None, format!("{text:.60?}"));
            }
            Err(_) if !excused => {
                environment.record_violation(Rule::BadUnanswered, sidecar, None, format!("{text:.60?}"));
            }
            _ => environment.accounting.borrow_mut().malformed_rejected += 1,
        }
    }
}

/// Writes a request and reads up to the end of a response head or of the stream.
async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S, text: &str) -> Vec<u8> {
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return answer,
            Ok(read) => answer.extend_from_slice(&buffer[..read]),
        }
        // A complete head suffices; the connection may stay open.
        if answer.windows(4).any(|w| w == b"\r\n\r\n") {
            return answer;
        }
    }
}
