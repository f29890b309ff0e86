//! Discovery: the list of config servers, late, from one service that answers calls in turn.

use crate::fabric::Fabric;
use crate::fleet::Member;
use crate::http::{answer_bytes, Wire};
use crate::world::World;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// How often an idle watch beats (ms).
const BEAT: u64 = 2_000;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It is in service.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It is gone: only among changes.
    Terminated,
}

impl Said {
    fn word(self) -> &'static str {
        match self {
            Said::InService => "in_service",
            Said::Terminating => "terminating",
            Said::Terminated => "terminated",
        }
    }
}

/// One entry.
#[derive(Clone, Debug)]
struct Entry {
    server: usize,
    said: Said,
    /// Unix time (ms) of its last start; 0 for long ago.
    up_since: f64,
    revision: u64,
}

/// The list with its versions.
#[derive(Debug)]
pub struct Registry {
    entries: RefCell<BTreeMap<usize, Entry>>,
    revision: watch::Sender<u64>,
    /// Announcements made so far for each server, and the last one that took effect.
    order: RefCell<BTreeMap<usize, (u64, u64)>>,
    /// When the service is free for the next call (ms).
    free: Cell<f64>,
    /// Whether it runs, and how often it has moved.
    pub state: watch::Sender<(bool, usize)>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            entries: RefCell::default(),
            revision: watch::channel(1).0,
            order: RefCell::default(),
            free: Cell::new(0.0),
            state: watch::channel((true, 0)).0,
        }
    }
}

impl Registry {
    /// What the list says at the start.
    pub fn begin(&self, members: &[Rc<Member>]) {
        for member in members {
            let entry = Entry { server: member.number, said: Said::InService, up_since: 0.0, revision: 1 };
            self.entries.borrow_mut().insert(member.number, entry);
        }
    }

    /// An announcement is made; returns its number, which [`Registry::apply`] wants back.
    pub fn announce(&self, server: usize) -> u64 {
        let mut order = self.order.borrow_mut();
        let (made, _) = order.entry(server).or_default();
        *made += 1;
        *made
    }

    /// An announcement takes effect, unless a later one of that server already has.
    pub fn apply(&self, server: usize, number: u64, said: Said, up_since: f64) -> bool {
        {
            let mut order = self.order.borrow_mut();
            let (_, applied) = order.entry(server).or_default();
            if *applied >= number {
                return false;
            }
            *applied = number;
        }
        let revision = *self.revision.borrow() + 1;
        let up_since = if said == Said::InService {
            up_since
        } else {
            self.entries.borrow().get(&server).map_or(0.0, |e| e.up_since)
        };
        self.entries.borrow_mut().insert(server, Entry { server, said, up_since, revision });
        self.revision.send_replace(revision);
        true
    }
}

/// The whole list as a sidecar sees it, or what changed after a version; with the servers it names.
fn listing<F: Fabric>(world: &World<F>, sidecar: usize, after: Option<u64>) -> (Value, Vec<(usize, bool)>) {
    let registry = &world.registry;
    let entries = registry.entries.borrow();
    let shown = entries.values().filter(|e| match after {
        Some(revision) => e.revision > revision,
        None => e.said != Said::Terminated,
    });
    let shown: Vec<&Entry> = shown.collect();
    let members: Vec<Value> = shown
        .iter()
        .map(|e| {
            let member = world.member(e.server);
            let model = member.model.borrow();
            json!({
                "id": model.plan.id,
                "host_port": world.environment.addresses.server(sidecar, member.place).to_string(),
                "locality": world.plan.day.fleet.zones[model.plan.zone],
                "flavor": model.plan.kind,
                "cell": model.plan.cell,
                "phase": e.said.word(),
                "size": model.plan.size,
                "up_since_ms": e.up_since,
            })
        })
        .collect();
    let named = shown.iter().map(|e| (e.server, e.said == Said::InService)).collect();
    let revision = *registry.revision.borrow();
    (json!({"revision": revision, "complete": after.is_none(), "members": members}), named)
}

/// The list as it is now, in discovery's form; what it names counts as told to the sidecar.
pub fn told<F: Fabric>(world: &World<F>, sidecar: usize, after: Option<u64>) -> Value {
    let (value, named) = listing(world, sidecar, after);
    let now = world.now();
    let mut ledger = world.ledger.borrow_mut();
    for (server, in_service) in named {
        ledger.list_said(now, sidecar, server, world.member(server).place, in_service);
    }
    value
}

/// Listens for one sidecar, where discovery is now.
pub async fn listen<F: Fabric>(world: Rc<World<F>>, sidecar: usize) {
    let mut state = world.registry.state.subscribe();
    loop {
        let (runs, moves) = *state.borrow_and_update();
        if !runs {
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Ok(listener) =
            world.environment.fabric.bind(world.environment.addresses.discovery(sidecar, moves)).await
        else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        loop {
            tokio::select! {
                biased;
                _ = state.changed() => break,
                stream = world.environment.fabric.accept(&listener) => {
                    let Ok(stream) = stream else { continue };
                    spawn_local(connection(world.clone(), sidecar, stream));
                }
            }
        }
    }
}

async fn connection<F: Fabric>(world: Rc<World<F>>, sidecar: usize, stream: F::Stream) {
    let mut state = world.registry.state.subscribe();
    let (_, moves) = *state.borrow_and_update();
    let mut wire = Wire::new(stream);
    let ends = async {
        loop {
            if state.changed().await.is_err() {
                return std::future::pending().await;
            }
            let (runs, now) = *state.borrow_and_update();
            if !runs {
                return;
            }
            if now != moves {
                // The old place closes what is open a little later.
                return world.sleep(1_500.0).await;
            }
        }
    };
    tokio::select! {
        biased;
        () = ends => {}
        () = converse(&world, sidecar, &mut wire) => return,
    }
    world.environment.fabric.reset(wire.stream);
}

async fn converse<F: Fabric>(world: &Rc<World<F>>, sidecar: usize, wire: &mut Wire<F::Stream>) {
    while let Ok(request) = wire.request().await {
        // Calls are answered in turn; one that would wait too long fails.
        let (now, call) = (world.now(), &world.plan.discovery);
        let begins = world.registry.free.get().max(now);
        if begins - now > call.timeout {
            world.sleep(call.timeout).await;
            world.ledger.borrow_mut().calls.1 += 1;
            if wire.write(&answer_bytes(503, &[], b"")).await.is_err() {
                return;
            }
            continue;
        }
        world.registry.free.set(begins + call.call);
        world.until(begins + call.call).await;
        world.ledger.borrow_mut().calls.0 += 1;
        let Some(query) = request.path.strip_prefix("/registry/instances") else {
            if wire.write(&answer_bytes(404, &[], b"")).await.is_err() {
                return;
            }
            continue;
        };
        let index = query.strip_prefix("?stream=1&index=").map(|index| index.parse::<u64>());
        match index {
            None => {
                let list = told(world, sidecar, None).to_string();
                if wire.write(&answer_bytes(200, &[], list.as_bytes())).await.is_err() {
                    return;
                }
            }
            Some(Err(_)) => {
                let _ = wire.write(&answer_bytes(400, &[], b"index is no number\n")).await;
                return;
            }
            Some(Ok(index)) => return follow(world, sidecar, wire, index).await,
        }
    }
}

/// A watch: changes as they come, a beat where none do.
async fn follow<F: Fabric>(world: &Rc<World<F>>, sidecar: usize, wire: &mut Wire<F::Stream>, index: u64) {
    let mut revision = world.registry.revision.subscribe();
    let known = *revision.borrow_and_update();
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    // A version that it never had: the whole list.
    let first = told(world, sidecar, (index <= known).then_some(index));
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
                let text = told(world, sidecar, Some(last)).to_string();
                last = now;
                text
            }
            () = tokio::time::sleep(Duration::from_millis(BEAT)) => String::new(),
        };
        if chunk(wire, &text).await.is_err() {
            return;
        }
    }
}

async fn chunk<S>(wire: &mut Wire<S>, text: &str) -> std::io::Result<()>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
