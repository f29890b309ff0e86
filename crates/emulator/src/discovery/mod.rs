//! The discovery service: serves the registry of servers as a whole list or as a watch of its changes.
//!
//! One service answers the calls of all sidecars in the order of their arrival, each taking a fixed time; a
//! call that would have to wait longer than its timeout fails with 503.

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

/// Interval of the heartbeat (an empty line) on a watch without changes.
const BEAT: Duration = Duration::from_millis(2_000);
/// How long connections stay open at the old address after the service has moved (ms).
const CLOSE_AFTER_MOVE: f64 = 1_500.0;
/// Interval of attempts to bind an address that is still in use.
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// The discovery service; each sidecar reaches it at an address of its own.
pub struct Service<F: Fabric> {
    environment: Rc<Environment<F>>,
    members: Rc<Members>,
    /// The registry that it serves.
    pub registry: Registry,
    /// When it has answered all calls that wait (ms).
    free: Cell<f64>,
}

impl<F: Fabric> Service<F> {
    /// Creates a service whose registry lists these servers as in service.
    pub fn new(environment: Rc<Environment<F>>, members: Rc<Members>) -> Rc<Service<F>> {
        let registry = Registry::default();
        registry.begin(&members.all());
        Rc::new(Service { environment, members, registry, free: Cell::new(0.0) })
    }

    /// The JSON form of an entry, with the server's address for this sidecar.
    fn entry(&self, sidecar: usize, entry: &Entry) -> Value {
        let environment = &self.environment;
        let member = self.members.get(entry.server);
        let model = member.model.borrow();
        json!({
            "id": model.plan.id,
            "host_port": environment.addresses.server(sidecar, member.place).to_string(),
            "locality": environment.schedule.day.fleet.zones[model.plan.zone],
            "flavor": model.plan.kind,
            "cell": model.plan.cell,
            "phase": entry.status.word(),
            "size": model.plan.size,
            "up_since_ms": entry.up_since,
        })
    }

    /// The JSON form of the whole list, or of the changes after a revision. The servers in it are recorded as
    /// known to the sidecar.
    pub fn told(&self, sidecar: usize, after: Option<u64>) -> Value {
        let entries = self.registry.entries.borrow();
        let shown = entries.values().filter(|e| match after {
            Some(revision) => e.revision > revision,
            None => e.status != ListedStatus::Terminated,
        });
        let shown: Vec<&Entry> = shown.collect();
        let members: Vec<Value> = shown.iter().map(|e| self.entry(sidecar, e)).collect();
        let now = self.environment.clock.now();
        let mut accounting = self.environment.accounting.borrow_mut();
        for entry in shown {
            let place = self.members.get(entry.server).place;
            accounting.list_said(now, sidecar, entry.server, place, entry.status == ListedStatus::InService);
        }
        let revision = *self.registry.revision.borrow();
        json!({"revision": revision, "complete": after.is_none(), "members": members})
    }

    /// Listens for one sidecar at the service's current address; never returns while the simulation runs.
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
                Err(_) => tokio::time::sleep(BIND_AGAIN).await,
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
                    spawn_local(self.clone().connection(sidecar, stream));
                }
            }
        }
    }

    async fn connection(self: Rc<Self>, sidecar: usize, stream: F::Stream) {
        let state = self.registry.state.subscribe();
        let mut wire = Wire::new(stream);
        tokio::select! {
            biased;
            () = self.ends(state) => {}
            () = self.converse(sidecar, &mut wire) => return,
        }
        self.environment.fabric.reset(wire.stream);
    }

    /// Waits until the connections that are open now end: at once where the service goes down, and a little
    /// later where it moves.
    async fn ends(&self, mut state: watch::Receiver<ServiceState>) {
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
                return self.environment.clock.sleep(CLOSE_AFTER_MOVE).await;
            }
        }
    }

    /// Waits until a call is answered; false where it failed by its timeout.
    async fn turn(&self) -> bool {
        let (clock, call) = (&self.environment.clock, &self.environment.schedule.discovery);
        let now = clock.now();
        let begins = self.free.get().max(now);
        if begins - now > call.timeout {
            clock.sleep(call.timeout).await;
            self.environment.accounting.borrow_mut().calls.1 += 1;
            return false;
        }
        self.free.set(begins + call.call);
        clock.until(begins + call.call).await;
        self.environment.accounting.borrow_mut().calls.0 += 1;
        true
    }

    /// Answers calls one after another, until the connection ends.
    async fn converse(&self, sidecar: usize, wire: &mut Wire<F::Stream>) {
        while let Ok(request) = wire.request().await {
            let answer = if !self.turn().await {
                answer_bytes(503, &[], b"")
            } else {
                match call(&request.path) {
                    Call::Unknown => answer_bytes(404, &[], b""),
                    Call::List => answer_bytes(200, &[], self.told(sidecar, None).to_string().as_bytes()),
                    Call::Faulty => {
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

    /// Streams changes after a revision as they happen, and heartbeats between them.
    async fn watch(&self, sidecar: usize, wire: &mut Wire<F::Stream>, index: u64) {
        let mut revision = self.registry.revision.subscribe();
        let known = *revision.borrow_and_update();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        // A revision that does not exist yet is answered with the whole list.
        let first = self.told(sidecar, (index <= known).then_some(index));
        if wire.write(head).await.is_err() || chunk(wire, &first.to_string()).await.is_err() {
            return;
        }
        let mut last = known;
        loop {
            let text = tokio::select! {
                biased;
                more = wire.more() => match more {
                    Ok(true) => continue,
                    _ => return,
                },
                changed = revision.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = *revision.borrow_and_update();
                    let text = self.told(sidecar, Some(last)).to_string();
                    last = now;
                    text
                }
                () = tokio::time::sleep(BEAT) => String::new(),
            };
            if chunk(wire, &text).await.is_err() {
                return;
            }
        }
    }
}

/// A call of a sidecar.
enum Call {
    /// The whole list.
    List,
    /// The changes after a revision.
    Watch(u64),
    /// A watch whose revision is no number.
    Faulty,
    /// An unknown path.
    Unknown,
}

/// Parses the path of a call.
fn call(path: &str) -> Call {
    let Some(query) = path.strip_prefix("/registry/instances") else { return Call::Unknown };
    match query.strip_prefix("?stream=1&index=").map(str::parse) {
        None => Call::List,
        Some(Ok(index)) => Call::Watch(index),
        Some(Err(_)) => Call::Faulty,
    }
}

/// Writes a text and a newline as one chunk.
async fn chunk<S: AsyncRead + AsyncWrite + Unpin>(wire: &mut Wire<S>, text: &str) -> std::io::Result<()> {
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
