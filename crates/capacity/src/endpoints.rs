//! Stand-ins for config servers: each answers after a fixed time, with a load report, and says in
//! its body how long it had the request, so that whoever measures can take that time off.

use roseproxy_emulator::http::{answer_bytes, Wire};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// One config server.
#[derive(Debug)]
pub struct Endpoint {
    /// How long it takes for each request.
    pub service: Duration,
    /// Requests in hand.
    active: Cell<u32>,
}

impl Endpoint {
    /// An idle one.
    pub fn new(service: Duration) -> Rc<Endpoint> {
        Rc::new(Endpoint { service, active: Cell::new(0) })
    }

    /// Accepts connections for as long as it is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let endpoint = self.clone();
            tokio::task::spawn_local(async move { endpoint.converse(stream).await });
        }
    }

    async fn converse(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while wire.read_request().await.is_ok() {
            let begun = Instant::now();
            self.active.set(self.active.get() + 1);
            tokio::time::sleep(self.service).await;
            self.active.set(self.active.get() - 1);
            let load = [("server-load", format!("TEXT inflight={}", self.active.get()))];
            let had = begun.elapsed().as_nanos().to_string();
            if wire.write(&answer_bytes(200, &load, had.as_bytes())).await.is_err() {
                return;
            }
        }
    }
}

/// The time (µs) that an endpoint had a request, by the body of its answer.
pub fn service_micros(body: &[u8]) -> Option<f64> {
    let nanos: f64 = std::str::from_utf8(body).ok()?.parse().ok()?;
    Some(nanos / 1e3)
}
