//! Stand-ins for config servers. Each answers after a fixed time with a load report; the body states how
//! long the endpoint had the request, so that the measurement can subtract that time.

use roseproxy_emulator::http::{answer_bytes, Wire};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A stand-in for one config server.
#[derive(Debug)]
pub struct Endpoint {
    /// Time taken for each request.
    pub service_time: Duration,
    /// Requests in progress.
    in_flight: Cell<u32>,
}

impl Endpoint {
    /// Creates an idle endpoint.
    pub fn new(service_time: Duration) -> Rc<Endpoint> {
        Rc::new(Endpoint { service_time, in_flight: Cell::new(0) })
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let endpoint = self.clone();
            tokio::task::spawn_local(async move { endpoint.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while wire.read_request().await.is_ok() {
            let started = Instant::now();
            self.in_flight.set(self.in_flight.get() + 1);
            tokio::time::sleep(self.service_time).await;
            self.in_flight.set(self.in_flight.get() - 1);
            let load = [("server-load", format!("TEXT inflight={}", self.in_flight.get()))];
            let service_nanos = started.elapsed().as_nanos().to_string();
            if wire.write(&answer_bytes(200, &load, service_nanos.as_bytes())).await.is_err() {
                return;
            }
        }
    }
}

/// Parses the time (µs) that the endpoint had a request from the body of its answer.
pub fn parse_service_time_us(body: &[u8]) -> Option<f64> {
    let nanos: f64 = std::str::from_utf8(body).ok()?.parse().ok()?;
    Some(nanos / 1e3)
}
