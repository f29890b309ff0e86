//! One connection of a sidecar to a server: its slot in the server's table, and its requests in order.

use super::requests::IncomingAttempt;
use super::{Fleet, Member, Reachability};
use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Request, Unread, Wire};
use std::rc::Rc;
use std::time::Duration;

/// One slot in a server's connection table, held by the start of the process that it belongs to.
struct ConnectionSlot(Rc<Member>, Option<f64>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut model = self.0.model.borrow_mut();
        // A process that has started since has a table of its own.
        if model.started() == self.1 {
            model.conns = model.conns.saturating_sub(1);
        }
    }
}

/// A connection of a sidecar to a server.
pub(super) struct Connection<F: Fabric> {
    pub(super) fleet: Rc<Fleet<F>>,
    pub(super) member: Rc<Member>,
    pub(super) sidecar: usize,
    /// Whether it exceeds the server's connection table.
    pub(super) crowded: bool,
}

impl<F: Fabric> Connection<F> {
    /// Serves a stream until it ends or the server's process does.
    pub(super) async fn serve(fleet: Rc<Fleet<F>>, member: Rc<Member>, sidecar: usize, stream: F::Stream) {
        let mut reachability = member.reachability.subscribe();
        let (crowded, started) = member.with(fleet.environment.clock.now(), |m| {
            m.conns += 1;
            m.chore(m.plan.handshake.work);
            (m.conns > m.plan.conns.size, m.started())
        });
        let slot = ConnectionSlot(member.clone(), started);
        *fleet.environment.accounting.borrow_mut().connections.entry(member.number).or_default() += 1;
        let connection = Connection { fleet, member, sidecar, crowded };
        let mut wire = Wire::new(stream);
        let ended = tokio::select! {
            biased;
            _ = reachability.changed() => false,
            () = connection.converse(&mut wire) => true,
        };
        if !ended {
            // Cut off it says nothing until that ends; then, as at a death, it is reset.
            while *reachability.borrow_and_update() == Reachability::Cut {
                if reachability.changed().await.is_err() {
                    break;
                }
            }
            connection.environment().fabric.reset(wire.stream);
        }
        drop(slot);
    }

    /// What all parties share.
    pub(super) fn environment(&self) -> &Environment<F> {
        &self.fleet.environment
    }

    /// Answers requests one after another, until the connection ends.
    async fn converse(&self, wire: &mut Wire<F::Stream>) {
        let clock = &self.environment().clock;
        let rtts = self.member.model.borrow().plan.handshake.round_trips;
        let mut fresh = true;
        loop {
            if !self.comes(wire).await {
                return;
            }
            let came = clock.now();
            let Some(request) = read(wire).await else { return };
            let way = self.fleet.one_way(self.sidecar, &self.member);
            let handshake = if fresh { 2.0 * rtts * way } else { 0.0 };
            fresh = false;
            clock.sleep(way + handshake).await;
            let path = request.path.split('?').next().unwrap_or_default();
            let goes_on = match path {
                "/stats" | "/health/live" => self.probe(wire, way, path == "/stats").await,
                _ => IncomingAttempt { connection: self, request: &request, came, way }.answer(wire).await,
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Waits for the next bytes; false where the connection ended or reached its idle timeout.
    async fn comes(&self, wire: &mut Wire<F::Stream>) -> bool {
        if wire.ahead() {
            return true;
        }
        let idle = Duration::from_secs_f64(self.member.model.borrow().plan.idle / 1e3);
        matches!(tokio::time::timeout(idle, wire.more()).await, Ok(Ok(true)))
    }
}

/// Reads a request; a malformed one is answered with 400. `None` ends the connection.
async fn read<S>(wire: &mut Wire<S>) -> Option<Request>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    match wire.request().await {
        Ok(request) => Some(request),
        Err(Unread::Garbled(_)) => {
            let _ = wire.write(&answer_bytes(400, &[("connection", "close".into())], b"")).await;
            None
        }
        Err(_) => None,
    }
}
