//! The discovery service, which serves the registry of servers as a complete list or as a watch of its changes.
//!
//! One service answers the calls of all sidecars in order of arrival; each call takes a fixed time. A call that
//! would wait longer than the timeout fails with 503.

mod registry;

pub use registry::{ListedStatus, Registry, ServiceState};

use crate::environment::Environment;
use crate::fabric::Fabric;
use crate::fleet::Members;
use crate::http::{answer_bytes, Wire};
use registry::Entry;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Interval of heartbeats (empty lines) on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long connections to the old address stay open after the service has moved.
const CLOSE_AFTER_MOVE_MS: f64 = 1_500.0;
/// Retry interval for binding an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The discovery service; it listens at a separate address for each sidecar.
pub struct Service<F: Fabric> {
    environment: Rc<Environment<F>>,
    members: Rc<Members>,
    /// The registry that it serves.
    pub registry: Registry,
    /// When it will have answered all waiting calls (ms).
    busy_until: Cell<f64>,
}

impl<F: Fabric> Service<F> {
    /// Creates a service whose registry lists these servers as in service.
    pub fn new(environment: Rc<Environment<F>>, members: Rc<Members>) -> Rc<Service<F>> {
        let registry = Registry::default();
        registry.list_initial(&members.all());
        Rc::new(Service { environment, members, registry, busy_until: Cell::new(0.0) })
    }

    /// Encodes an entry, with the server's address for this sidecar.
    fn entry_json(&self, sidecar: usize, entry: &Entry) -> Value {
        let environment = &self.environment;
        let member = self.members.get(entry.server);
        let model = member.model.borrow();
        json!({
            "id": model.parameters.id,
            "host_port": environment.addresses.server(sidecar, member.address_index).to_string(),
            "locality": environment.schedule.scenario.fleet.zones[model.parameters.zone],
            "flavor": model.parameters.kind,
            "cell": model.parameters.cell,
            "phase": entry.status.wire_name(),
            "size": model.parameters.size,
            "up_since_ms": entry.up_since,
        })
    }

    /// Encodes the complete list, or the changes after a revision, and records that the sidecar was sent these
    /// entries.
    pub fn list_json(&self, sidecar: usize, after: Option<u64>) -> Value {
        let entries = self.registry.entries.borrow();
        let selected = entries.values().filter(|e| match after {
            Some(revision) => e.revision > revision,
            None => e.status != ListedStatus::Terminated,
        });
        let selected: Vec<&Entry> = selected.collect();
        let members: Vec<Value> = selected.iter().map(|e| self.entry_json(sidecar, e)).collect();
        let now = self.environment.clock.now();
        let mut accounting = self.environment.accounting.borrow_mut();
        for entry in selected {
            let address_index = self.members.get(entry.server).address_index;
            accounting.record_listed_server(
                now,
                sidecar,
                entry.server,
                address_index,
                entry.status == ListedStatus::InService,
            );
        }
        let revision = *self.registry.revision.borrow();
        json!({"revision": revision, "complete": after.is_none(), "members": members})
    }

    /// Listens for one sidecar at the current address of the service, until the simulation ends.
    pub async fn listen(self: Rc<Self>, sidecar: usize) {
        let mut state = self.registry.state.subscribe();
        loop {
            let ServiceState { runs, moves } = *state.borrow_and_update();
            if !runs {
                if state.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let address = self.environment.addresses.discovery(sidecar, moves);
            match self.environment.fabric.bind(address).await {
                Ok(listener) => self.accept(&listener, &mut state, sidecar).await,
                Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
            }
        }
    }

    /// Accepts connections until the service moves or goes down.
    async fn accept(
        self: &Rc<Self>,
        listener: &F::Listener,
        state: &mut watch::Receiver<ServiceState>,
        sidecar: usize,
    ) {
        loop {
            tokio::select! {
                biased;
                _ = state.changed() => return,
                stream = self.environment.fabric.accept(listener) => {
                    let Ok(stream) = stream else { continue };
                    spawn_local(self.clone().serve_connection(sidecar, stream));
                }
            }
        }
    }

    /// Serves a connection until it ends or the service closes it.
    async fn serve_connection(self: Rc<Self>, sidecar: usize, stream: F::Stream) {
        let state = self.registry.state.subscribe();
        let mut wire = Wire::new(stream);
        tokio::select! {
            biased;
            () = self.connection_end(state) => {}
            () = self.serve_calls(sidecar, &mut wire) => return,
        }
        self.environment.fabric.reset(wire.stream);
    }

    /// Waits until the connections open now must be closed: immediately when the service goes down, and
    /// [`CLOSE_AFTER_MOVE_MS`] later when it moves.
    async fn connection_end(&self, mut state: watch::Receiver<ServiceState>) {
        let moves = state.borrow_and_update().moves;
        loop {
            if state.changed().await.is_err() {
                return std::future::pending().await;
            }
            let now = *state.borrow_and_update();
            if !now.runs {
                return;
            }
            if now.moves != moves {
                return self.environment.clock.sleep(CLOSE_AFTER_MOVE_MS).await;
            }
        }
    }

    /// Waits until the service answers a call; returns false after the timeout if the queue is too long.
    async fn wait_for_turn(&self) -> bool {
        let (clock, parameters) = (&self.environment.clock, &self.environment.schedule.discovery);
        let now = clock.now();
        let service_start = self.busy_until.get().max(now);
        if service_start - now > parameters.timeout {
            clock.sleep(parameters.timeout).await;
            self.environment.accounting.borrow_mut().calls_failed += 1;
            return false;
        }
        self.busy_until.set(service_start + parameters.call_time);
        clock.sleep_until(service_start + parameters.call_time).await;
        self.environment.accounting.borrow_mut().calls_answered += 1;
        true
    }

    /// Answers calls in sequence until the connection ends.
    async fn serve_calls(&self, sidecar: usize, wire: &mut Wire<F::Stream>) {
        while let Ok(request) = wire.read_request().await {
            let answer = if !self.wait_for_turn().await {
                answer_bytes(503, &[], b"")
            } else {
                match parse_call(&request.path) {
                    Call::Unknown => answer_bytes(404, &[], b""),
                    Call::List => {
                        answer_bytes(200, &[], self.list_json(sidecar, None).to_string().as_bytes())
                    }
                    Call::BadRevision => {
                        let _ = wire.write(&answer_bytes(400, &[], b"index is no number\n")).await;
                        return;
                    }
                    Call::Watch(index) => return self.watch(sidecar, wire, index).await,
                }
            };
            if wire.write(&answer).await.is_err() {
                return;
            }
        }
    }

    /// Streams the changes after revision `index` as they occur, with heartbeats in between.
    async fn watch(&self, sidecar: usize, wire: &mut Wire<F::Stream>, index: u64) {
        let mut revision = self.registry.revision.subscribe();
        let known = *revision.borrow_and_update();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        // For a revision that does not exist yet, the complete list is sent.
        let first = self.list_json(sidecar, (index <= known).then_some(index));
        if wire.write(head).await.is_err() || write_chunk(wire, &first.to_string()).await.is_err() {
            return;
        }
        let mut last = known;
        loop {
            let text = tokio::select! {
                biased;
                more = wire.fill_buffer() => match more {
                    Ok(true) => continue,
                    _ => return,
                },
                changed = revision.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = *revision.borrow_and_update();
                    let text = self.list_json(sidecar, Some(last)).to_string();
                    last = now;
                    text
                }
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => String::new(),
            };
            if write_chunk(wire, &text).await.is_err() {
                return;
            }
        }
    }
}

/// A call of a sidecar.
enum Call {
    /// The complete list.
    List,
    /// The changes after a revision.
    Watch(u64),
    /// A watch whose revision is not a number.
    BadRevision,
    /// An unknown path.
    Unknown,
}

/// Parses the path of a call.
fn parse_call(path: &str) -> Call {
    let Some(query) = path.strip_prefix("/registry/instances") else { return Call::Unknown };
    match query.strip_prefix("?stream=1&index=").map(str::parse) {
        None => Call::List,
        Some(Ok(index)) => Call::Watch(index),
        Some(Err(_)) => Call::BadRevision,
    }
}

/// Writes a line as one HTTP chunk.
async fn write_chunk<S: AsyncRead + AsyncWrite + Unpin>(
    wire: &mut Wire<S>,
    text: &str,
) -> std::io::Result<()> {
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
