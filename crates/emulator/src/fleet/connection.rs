//! A connection of a sidecar to a server: its slot in the server's connection table and its requests.

use super::requests::IncomingAttempt;
use super::{Fleet, Member, Reachability};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, ReadError, Request, Wire};
use std::rc::Rc;
use std::time::Duration;

/// A slot in a server's connection table, with the start time of the process that owns the table.
struct ConnectionSlot(Rc<Member>, Option<f64>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut model = self.0.model.borrow_mut();
        // A process started since then has a new table.
        if model.started_at() == self.1 {
            model.connections = model.connections.saturating_sub(1);
        }
    }
}

/// A connection of a sidecar to a server.
pub(super) struct Connection<F: Fabric> {
    pub(super) fleet: Rc<Fleet<F>>,
    pub(super) member: Rc<Member>,
    pub(super) sidecar: usize,
    /// Whether it exceeds the size of the server's connection table.
    pub(super) over_table_limit: bool,
}

impl<F: Fabric> Connection<F> {
    /// Serves a stream until it ends or the server becomes unreachable.
    pub(super) async fn serve(fleet: Rc<Fleet<F>>, member: Rc<Member>, sidecar: usize, stream: F::Stream) {
        let mut reachability = member.reachability.subscribe();
        let (over_table_limit, started) = member.update(fleet.environment.clock.now(), |m| {
            m.connections += 1;
            m.add_background_work(m.parameters.handshake.work);
            (m.connections > m.parameters.connection_table.size, m.started_at())
        });
        let slot = ConnectionSlot(member.clone(), started);
        *fleet.environment.accounting.borrow_mut().connections.entry(member.number).or_default() += 1;
        let connection = Connection { fleet, member, sidecar, over_table_limit };
        let mut wire = Wire::new(stream);
        let ended = tokio::select! {
            biased;
            _ = reachability.changed() => false,
            () = connection.serve_requests(&mut wire) => true,
        };
        if !ended {
            // During a partition the connection stays silent. Afterwards, or if the process stopped, it is reset.
            while *reachability.borrow_and_update() == Reachability::Cut {
                if reachability.changed().await.is_err() {
                    break;
                }
            }
            connection.environment().fabric.reset(wire.stream);
        }
        drop(slot);
    }

    /// The state that all parties share.
    pub(super) fn environment(&self) -> &Environment<F> {
        &self.fleet.environment
    }

    /// Answers requests in sequence until the connection ends.
    async fn serve_requests(&self, wire: &mut Wire<F::Stream>) {
        let clock = &self.environment().clock;
        let handshake_round_trips = self.member.model.borrow().parameters.handshake.round_trips;
        let mut first_request = true;
        loop {
            if !self.wait_for_data(wire).await {
                return;
            }
            let received_at = clock.now();
            let Some(request) = read_request(wire).await else { return };
            let one_way = self.fleet.draw_one_way_delay(self.sidecar, &self.member);
            let handshake = if first_request { 2.0 * handshake_round_trips * one_way } else { 0.0 };
            first_request = false;
            clock.sleep(one_way + handshake).await;
            let path = request.path.split('?').next().unwrap_or_default();
            let stays_open = match path {
                "/stats" | "/health/live" => self.answer_probe(wire, one_way, path == "/stats").await,
                _ => {
                    IncomingAttempt { connection: self, request: &request, received_at, one_way }
                        .answer(wire)
                        .await
                }
            };
            if !stays_open {
                return;
            }
        }
    }

    /// Waits for data; returns false if the connection ended or reached its idle timeout.
    async fn wait_for_data(&self, wire: &mut Wire<F::Stream>) -> bool {
        if wire.has_buffered_data() {
            return true;
        }
        let idle = Duration::from_secs_f64(self.member.model.borrow().parameters.idle_timeout / 1e3);
        matches!(tokio::time::timeout(idle, wire.fill_buffer()).await, Ok(Ok(true)))
    }
}

/// Reads a request and answers a malformed one with 400; returns `None` if the connection must be closed.
async fn read_request<S>(wire: &mut Wire<S>) -> Option<Request>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    match wire.read_request().await {
        Ok(request) => Some(request),
        Err(ReadError::Malformed(_)) => {
            let _ = wire.write(&answer_bytes(400, &[("connection", "close".into())], b"")).await;
            None
        }
        Err(_) => None,
    }
}
