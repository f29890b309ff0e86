//! Discovery: the list of config servers, late, from one service that answers calls in turn.

mod registry;

pub use registry::{Registry, Said};

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

/// How often an idle watch beats.
const BEAT: Duration = Duration::from_millis(2_000);
/// How long the old place keeps its connections after a move (ms).
const CLOSE_AFTER_MOVE: f64 = 1_500.0;
/// How long a bind waits where the one before at its address is not quite gone.
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// The one service that all sidecars ask, each at an address of its own.
pub struct Service<F: Fabric> {
    environment: Rc<Environment<F>>,
    members: Rc<Members>,
    /// The list.
    pub registry: Registry,
    /// When it is free for the next call (ms).
    free: Cell<f64>,
}

impl<F: Fabric> Service<F> {
    /// A service that lists these servers as in service.
    pub fn new(environment: Rc<Environment<F>>, members: Rc<Members>) -> Rc<Service<F>> {
        let registry = Registry::default();
        registry.begin(&members.all());
        Rc::new(Service { environment, members, registry, free: Cell::new(0.0) })
    }

    /// An entry in the list's form, as a sidecar sees it.
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
            "phase": entry.said.word(),
            "size": model.plan.size,
            "up_since_ms": entry.up_since,
        })
    }

    /// The whole list as it is now, or what changed after a version, in discovery's form; what it names counts
    /// as told to the sidecar.
    pub fn told(&self, sidecar: usize, after: Option<u64>) -> Value {
        let entries = self.registry.entries.borrow();
        let shown = entries.values().filter(|e| match after {
            Some(revision) => e.revision > revision,
            None => e.said != Said::Terminated,
        });
        let shown: Vec<&Entry> = shown.collect();
        let members: Vec<Value> = shown.iter().map(|e| self.entry(sidecar, e)).collect();
        let now = self.environment.clock.now();
        let mut accounting = self.environment.accounting.borrow_mut();
        for entry in shown {
            let place = self.members.get(entry.server).place;
            accounting.list_said(now, sidecar, entry.server, place, entry.said == Said::InService);
        }
        let revision = *self.registry.revision.borrow();
        json!({"revision": revision, "complete": after.is_none(), "members": members})
    }

    /// Listens for one sidecar, where discovery is now.
    pub async fn listen(self: Rc<Self>, sidecar: usize) {
        let mut state = self.registry.state.subscribe();
        loop {
            let (runs, moves) = *state.borrow_and_update();
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
        state: &mut watch::Receiver<(bool, usize)>,
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
    async fn ends(&self, mut state: watch::Receiver<(bool, usize)>) {
        let (_, moves) = *state.borrow_and_update();
        loop {
            if state.changed().await.is_err() {
                return std::future::pending().await;
            }
            let (runs, now) = *state.borrow_and_update();
            if !runs {
                return;
            }
            if now != moves {
                return self.environment.clock.sleep(CLOSE_AFTER_MOVE).await;
            }
        }
    }

    /// Waits for a call's turn; false where it would wait too long, and fails.
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

    /// A watch: changes as they come, a beat where none do.
    async fn watch(&self, sidecar: usize, wire: &mut Wire<F::Stream>, index: u64) {
        let mut revision = self.registry.revision.subscribe();
        let known = *revision.borrow_and_update();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        // A version that it never had: the whole list.
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

/// What a sidecar asks of the service.
enum Call {
    /// The whole list.
    List,
    /// What changes after a version.
    Watch(u64),
    /// A watch from a version that is no number.
    Faulty,
    /// Nothing that it knows.
    Unknown,
}

/// The call of a path.
fn call(path: &str) -> Call {
    let Some(query) = path.strip_prefix("/registry/instances") else { return Call::Unknown };
    match query.strip_prefix("?stream=1&index=").map(str::parse) {
        None => Call::List,
        Some(Ok(index)) => Call::Watch(index),
        Some(Err(_)) => Call::Faulty,
    }
}

/// Writes a text as one chunk that ends its line.
async fn chunk<S: AsyncRead + AsyncWrite + Unpin>(wire: &mut Wire<S>, text: &str) -> std::io::Result<()> {
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
