//! A hollow discovery: one list with versions, and a service that answers calls in turn.
//!
//! It speaks as the emulator's discovery does, for more servers and sidecars than that one bears on sockets:
//! the list is the same for all sidecars of a region, and is built once for each version.

use super::link::{Accepted, Link, Service};
use super::metered::ByteCount;
use super::metrics::DiscoveryCounts;
use super::simulation::Simulation;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::http::answer_bytes;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How often an idle watch beats.
const HEARTBEAT: Duration = Duration::from_millis(2_000);
/// Where the list is, and how a watch on it is asked for.
const LIST: &str = "/registry/instances";
const WATCH: &str = "?stream=1&index=";

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is in service.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It is gone: only among changes.
    Terminated,
}

impl Phase {
    fn word(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Terminating => "terminating",
            Phase::Terminated => "terminated",
        }
    }
}

/// One entry of the list.
#[derive(Clone, Copy, Debug)]
struct Entry {
    phase: Phase,
    /// Unix time (ms) of the last start; 0 for long ago.
    up_since: f64,
    revision: u64,
}

/// A text of the list, with the servers that it names and whether each is in service.
struct Listing {
    text: Rc<str>,
    named: Rc<[(usize, bool)]>,
}

impl Clone for Listing {
    fn clone(&self) -> Listing {
        Listing { text: self.text.clone(), named: self.named.clone() }
    }
}

/// Discovery.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    revision: watch::Sender<u64>,
    /// Texts of the present version, by region and by the version that they begin behind.
    texts: RefCell<HashMap<(usize, Option<u64>), Listing>>,
    /// When the service is free for the next call (ms).
    free_at: Cell<f64>,
    /// The way to it from each region.
    pub links: Vec<watch::Sender<Link>>,
    /// What came to it.
    pub counts: Cell<DiscoveryCounts>,
    /// Watches that are open.
    watching: Rc<Cell<usize>>,
}

/// A watch that is open.
struct OpenWatch(Rc<Cell<usize>>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Discovery {
    /// Discovery of so many servers, all of them in service.
    pub fn new(servers: usize, regions: usize) -> Discovery {
        let entry = Entry { phase: Phase::InService, up_since: 0.0, revision: 1 };
        Discovery {
            entries: RefCell::new(vec![entry; servers]),
            revision: watch::channel(1).0,
            texts: RefCell::default(),
            free_at: Cell::new(0.0),
            links: (0..regions).map(|_| watch::channel(Link::Up).0).collect(),
            counts: Cell::default(),
            watching: Rc::default(),
        }
    }

    /// How many watches are open.
    pub fn watching(&self) -> usize {
        self.watching.get()
    }

    fn open_watch(&self) -> OpenWatch {
        self.watching.set(self.watching.get() + 1);
        OpenWatch(self.watching.clone())
    }

    /// The present version.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// What the list says of a server.
    pub fn phase(&self, server: usize) -> Phase {
        self.entries.borrow()[server].phase
    }

    /// Publishes entries as one new version, and returns it. `None` leaves an entry as it is.
    pub fn publish(&self, servers: &[usize], phase: Option<Phase>, now: f64) -> u64 {
        let revision = self.revision() + 1;
        for server in servers {
            let mut entries = self.entries.borrow_mut();
            let entry = &mut entries[*server];
            entry.revision = revision;
            if let Some(phase) = phase {
                entry.phase = phase;
                if phase == Phase::InService {
                    entry.up_since = now;
                }
            }
        }
        self.texts.borrow_mut().clear();
        self.revision.send_replace(revision);
        revision
    }

    fn count(&self, change: impl FnOnce(&mut DiscoveryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// The whole list as a region sees it, or what changed after a version.
fn listing<F: Fabric>(simulation: &Simulation<F>, region: usize, after: Option<u64>) -> Listing {
    let discovery = &simulation.discovery;
    if let Some(known) = discovery.texts.borrow().get(&(region, after)) {
        return known.clone();
    }
    let (mut members, mut named) = (Vec::new(), Vec::new());
    for (server, entry) in discovery.entries.borrow().iter().enumerate() {
        let shown = match after {
            Some(revision) => entry.revision > revision,
            None => entry.phase != Phase::Terminated,
        };
        if !shown {
            continue;
        }
        named.push((server, entry.phase == Phase::InService));
        members.push(json!({
            "id": format!("cs-{server:04}"),
            "host_port": simulation.topology.server(server, region).to_string(),
            "locality": simulation.topology.zone_name(simulation.topology.zone(server)),
            "flavor": "m",
            "cell": server / 5,
            "phase": entry.phase.word(),
            "size": 1.0,
            "up_since_ms": entry.up_since,
        }));
    }
    let whole = json!({"revision": discovery.revision(), "complete": after.is_none(), "members": members});
    let listing = Listing { text: whole.to_string().into(), named: named.into() };
    discovery.texts.borrow_mut().insert((region, after), listing.clone());
    listing
}

/// The list as it is now, for the configuration that a sidecar starts with; it counts as told.
pub fn known_list<F: Fabric>(simulation: &Simulation<F>, sidecar: usize) -> Value {
    let listing = listing(simulation, simulation.topology.region(sidecar), None);
    tell(simulation, sidecar, &listing);
    serde_json::from_str(&listing.text).unwrap_or(Value::Null)
}

/// What was written to a sidecar counts as told.
fn tell<F: Fabric>(simulation: &Simulation<F>, sidecar: usize, listing: &Listing) {
    let now = simulation.now();
    let mut audit = simulation.audit.borrow_mut();
    listing.named.iter().for_each(|(server, in_service)| audit.told(now, sidecar, *server, *in_service));
}

/// Discovery as one sidecar reaches it.
pub struct DiscoveryService<F: Fabric> {
    /// The simulation.
    pub simulation: Rc<Simulation<F>>,
    /// Who calls.
    pub sidecar: usize,
}

impl<F: Fabric> Clone for DiscoveryService<F> {
    fn clone(&self) -> Self {
        DiscoveryService { simulation: self.simulation.clone(), sidecar: self.sidecar }
    }
}

impl<F: Fabric> Service<F> for DiscoveryService<F> {
    async fn serve(&self, wire: &mut Accepted<F>, bytes: Rc<ByteCount>) {
        self.discovery().count(|c| c.connects += 1);
        let mut counted = 0;
        while let Ok(request) = wire.read_request().await {
            if !self.takes_turn().await {
                self.discovery().count(|c| c.failed += 1);
                if wire.write(&answer_bytes(503, &[], b"")).await.is_err() {
                    return;
                }
                self.count_bytes(&bytes, &mut counted);
                continue;
            }
            let Some(query) = request.path.strip_prefix(LIST) else {
                let _ = wire.write(&answer_bytes(404, &[], b"")).await;
                return;
            };
            match query.strip_prefix(WATCH).map(str::parse::<u64>) {
                None => {
                    if self.list(wire).await.is_err() {
                        return;
                    }
                    self.count_bytes(&bytes, &mut counted);
                }
                Some(Err(_)) => {
                    let _ = wire.write(&answer_bytes(400, &[], b"index is no number\n")).await;
                    return;
                }
                Some(Ok(index)) => return self.watch(wire, index, &bytes, &mut counted).await,
            }
        }
    }
}

impl<F: Fabric> DiscoveryService<F> {
    fn discovery(&self) -> &Discovery {
        &self.simulation.discovery
    }

    fn count_bytes(&self, bytes: &ByteCount, counted: &mut u64) {
        let now = bytes.get();
        self.discovery().count(|c| c.bytes += now - *counted);
        *counted = now;
    }

    /// Waits for a call's turn; false where it would wait too long, after that time.
    async fn takes_turn(&self) -> bool {
        let (simulation, discovery) = (&self.simulation, self.discovery());
        let figures = &simulation.experiment.discovery;
        let now = simulation.now();
        let begins = discovery.free_at.get().max(now);
        if begins - now > figures.timeout_ms {
            simulation.sleep(figures.timeout_ms).await;
            return false;
        }
        let ends = begins + 1e3 / figures.calls_per_s;
        discovery.free_at.set(ends);
        simulation.until(ends).await;
        true
    }

    async fn list(&self, wire: &mut Accepted<F>) -> io::Result<()> {
        let region = self.simulation.topology.region(self.sidecar);
        let (revision, listing) = (self.discovery().revision(), listing(&self.simulation, region, None));
        self.discovery().count(|c| c.lists += 1);
        wire.write(&answer_bytes(200, &[], listing.text.as_bytes())).await?;
        self.told(revision, &listing);
        Ok(())
    }

    fn told(&self, revision: u64, listing: &Listing) {
        tell(&self.simulation, self.sidecar, listing);
        self.simulation.told_revision(self.sidecar, revision);
    }

    /// A watch: changes as they come, a heartbeat where none do.
    async fn watch(&self, wire: &mut Accepted<F>, index: u64, bytes: &ByteCount, counted: &mut u64) {
        let region = self.simulation.topology.region(self.sidecar);
        let mut revision = self.discovery().revision.subscribe();
        let mut known = *revision.borrow_and_update();
        self.discovery().count(|c| c.watches += 1);
        let _open = self.discovery().open_watch();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        // A version that it never had: the whole list.
        let mut next = Some(listing(&self.simulation, region, (index <= known).then_some(index)));
        if wire.write(head).await.is_err() {
            return;
        }
        loop {
            let text = next.as_ref().map_or("", |listing| &listing.text);
            if chunk(wire, text).await.is_err() {
                return;
            }
            if let Some(listing) = next.take() {
                self.told(known, &listing);
            }
            self.discovery().count(|c| c.updates += 1);
            self.count_bytes(bytes, counted);
            tokio::select! {
                biased;
                ended = ended(wire) => if ended { return },
                changed = revision.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = *revision.borrow_and_update();
                    next = Some(listing(&self.simulation, region, Some(known)));
                    known = now;
                }
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
        }
    }
}

/// Waits until the other side has ended the connection; what it sends on a watch is passed over.
async fn ended<S>(wire: &mut roseproxy_emulator::http::Wire<S>) -> bool
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    while let Ok(true) = wire.fill_buffer().await {}
    true
}

async fn chunk<S>(wire: &mut roseproxy_emulator::http::Wire<S>, text: &str) -> io::Result<()>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
