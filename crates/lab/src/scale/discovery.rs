//! A simplified discovery: one list with revisions, and a service that answers calls one after another.
//!
//! It uses the protocol of the emulator's discovery, but supports more servers and sidecars on sockets than that
//! one: the list is the same for all sidecars of a region and is built once per revision.

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

/// How often a watch without changes sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Path of the list.
const LIST_PATH: &str = "/registry/instances";
/// Query of a watch on the list, up to the revision.
const WATCH_QUERY: &str = "?stream=1&index=";

/// The phase of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The server is in service.
    InService,
    /// The server drains: it finishes its requests and takes no new ones.
    Terminating,
    /// The server is gone; appears in updates only, not in the whole list.
    Terminated,
}

impl Phase {
    fn name(self) -> &'static str {
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
    /// Unix time of the last start; 0 if the server did not start during the run.
    up_since_ms: f64,
    revision: u64,
}

/// A serialized list or update, with the servers in it and whether each is in service.
struct Listing {
    text: Rc<str>,
    servers: Rc<[(usize, bool)]>,
}

impl Clone for Listing {
    fn clone(&self) -> Listing {
        Listing { text: self.text.clone(), servers: self.servers.clone() }
    }
}

/// The simulated discovery service.
pub struct Discovery {
    entries: RefCell<Vec<Entry>>,
    revision: watch::Sender<u64>,
    /// Listings of the current revision, by region and by the revision after which they begin (`None`: whole list).
    listings: RefCell<HashMap<(usize, Option<u64>), Listing>>,
    /// When the service has finished the calls that it has accepted.
    free_at_ms: Cell<f64>,
    /// The network path to discovery from each region.
    pub links: Vec<watch::Sender<Link>>,
    /// What discovery has received.
    pub counts: Cell<DiscoveryCounts>,
    /// Number of open watches.
    open_watches: Rc<Cell<usize>>,
}

/// Counts a watch as open until it is dropped.
struct OpenWatch(Rc<Cell<usize>>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Discovery {
    /// Discovery with this number of servers, all in service.
    pub fn new(servers: usize, regions: usize) -> Discovery {
        let entry = Entry { phase: Phase::InService, up_since_ms: 0.0, revision: 1 };
        Discovery {
            entries: RefCell::new(vec![entry; servers]),
            revision: watch::channel(1).0,
            listings: RefCell::default(),
            free_at_ms: Cell::new(0.0),
            links: (0..regions).map(|_| watch::channel(Link::Up).0).collect(),
            counts: Cell::default(),
            open_watches: Rc::default(),
        }
    }

    /// Number of open watches.
    pub fn open_watches(&self) -> usize {
        self.open_watches.get()
    }

    fn open_watch(&self) -> OpenWatch {
        self.open_watches.set(self.open_watches.get() + 1);
        OpenWatch(self.open_watches.clone())
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// The phase of a server in the list.
    pub fn phase(&self, server: usize) -> Phase {
        self.entries.borrow()[server].phase
    }

    /// Publishes entries as one new revision and returns it. Without a phase, entries change only their revision.
    pub fn publish(&self, servers: &[usize], phase: Option<Phase>, now: f64) -> u64 {
        let revision = self.revision() + 1;
        for server in servers {
            let mut entries = self.entries.borrow_mut();
            let entry = &mut entries[*server];
            entry.revision = revision;
            if let Some(phase) = phase {
                entry.phase = phase;
                if phase == Phase::InService {
                    entry.up_since_ms = now;
                }
            }
        }
        self.listings.borrow_mut().clear();
        self.revision.send_replace(revision);
        revision
    }

    fn count(&self, change: impl FnOnce(&mut DiscoveryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// The list with the addresses of a region: the whole list, or the entries that changed after a revision.
fn listing<F: Fabric>(simulation: &Simulation<F>, region: usize, after: Option<u64>) -> Listing {
    let discovery = &simulation.discovery;
    if let Some(known) = discovery.listings.borrow().get(&(region, after)) {
        return known.clone();
    }
    let (mut members, mut named) = (Vec::new(), Vec::new());
    for (server, entry) in discovery.entries.borrow().iter().enumerate() {
        let included = match after {
            Some(revision) => entry.revision > revision,
            None => entry.phase != Phase::Terminated,
        };
        if !included {
            continue;
        }
        named.push((server, entry.phase == Phase::InService));
        members.push(json!({
            "id": format!("cs-{server:04}"),
            "host_port": simulation.topology.server(server, region).to_string(),
            "locality": simulation.topology.zone_name(simulation.topology.zone(server)),
            "flavor": "m",
            "cell": server / 5,
            "phase": entry.phase.name(),
            "size": 1.0,
            "up_since_ms": entry.up_since_ms,
        }));
    }
    let body = json!({"revision": discovery.revision(), "complete": after.is_none(), "members": members});
    let listing = Listing { text: body.to_string().into(), servers: named.into() };
    discovery.listings.borrow_mut().insert((region, after), listing.clone());
    listing
}

/// The current list for the start configuration of a sidecar; records that the sidecar was told of it.
pub fn known_list<F: Fabric>(simulation: &Simulation<F>, sidecar: usize) -> Value {
    let listing = listing(simulation, simulation.topology.region(sidecar), None);
    record_told_servers(simulation, sidecar, &listing);
    serde_json::from_str(&listing.text).unwrap_or(Value::Null)
}

/// Records in the audit that a sidecar was told of the servers of a listing.
fn record_told_servers<F: Fabric>(simulation: &Simulation<F>, sidecar: usize, listing: &Listing) {
    let now = simulation.now();
    let mut audit = simulation.audit.borrow_mut();
    listing
        .servers
        .iter()
        .for_each(|(server, in_service)| audit.server_state_told(now, sidecar, *server, *in_service));
}

/// Discovery at the address that one sidecar uses.
pub struct DiscoveryService<F: Fabric> {
    /// The simulation that discovery belongs to.
    pub simulation: Rc<Simulation<F>>,
    /// The sidecar that uses this address.
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
            if !self.wait_for_turn().await {
                self.discovery().count(|c| c.failed += 1);
                if wire.write(&answer_bytes(503, &[], b"")).await.is_err() {
                    return;
                }
                self.count_bytes(&bytes, &mut counted);
                continue;
            }
            let Some(query) = request.path.strip_prefix(LIST_PATH) else {
                let _ = wire.write(&answer_bytes(404, &[], b"")).await;
                return;
            };
            match query.strip_prefix(WATCH_QUERY).map(str::parse::<u64>) {
                None => {
                    if self.answer_list(wire).await.is_err() {
                        return;
                    }
                    self.count_bytes(&bytes, &mut counted);
                }
                Some(Err(_)) => {
                    let _ = wire.write(&answer_bytes(400, &[], b"index is no number\n")).await;
                    return;
                }
                Some(Ok(index)) => return self.serve_watch(wire, index, &bytes, &mut counted).await,
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

    /// Waits until the service answers this call. If the wait would exceed the time-out, waits for the time-out and
    /// returns false.
    async fn wait_for_turn(&self) -> bool {
        let (simulation, discovery) = (&self.simulation, self.discovery());
        let settings = &simulation.experiment.discovery;
        let now = simulation.now();
        let begin_ms = discovery.free_at_ms.get().max(now);
        if begin_ms - now > settings.timeout_ms {
            simulation.sleep(settings.timeout_ms).await;
            return false;
        }
        let end_ms = begin_ms + 1e3 / settings.calls_per_s;
        discovery.free_at_ms.set(end_ms);
        simulation.sleep_until(end_ms).await;
        true
    }

    /// Answers a call for the whole list.
    async fn answer_list(&self, wire: &mut Accepted<F>) -> io::Result<()> {
        let region = self.simulation.topology.region(self.sidecar);
        let (revision, listing) = (self.discovery().revision(), listing(&self.simulation, region, None));
        self.discovery().count(|c| c.lists += 1);
        wire.write(&answer_bytes(200, &[], listing.text.as_bytes())).await?;
        self.record_told(revision, &listing);
        Ok(())
    }

    /// Records that the sidecar was told of a listing.
    fn record_told(&self, revision: u64, listing: &Listing) {
        record_told_servers(&self.simulation, self.sidecar, listing);
        self.simulation.record_told_revision(self.sidecar, revision);
    }

    /// Serves a watch: writes changes as they are published, and heartbeats between them.
    async fn serve_watch(&self, wire: &mut Accepted<F>, index: u64, bytes: &ByteCount, counted: &mut u64) {
        let region = self.simulation.topology.region(self.sidecar);
        let mut revision = self.discovery().revision.subscribe();
        let mut sent_revision = *revision.borrow_and_update();
        self.discovery().count(|c| c.watches += 1);
        let _open = self.discovery().open_watch();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        // An index above the current revision was never published: sends the whole list.
        let mut next = Some(listing(&self.simulation, region, (index <= sent_revision).then_some(index)));
        if wire.write(head).await.is_err() {
            return;
        }
        loop {
            let text = next.as_ref().map_or("", |listing| &listing.text);
            if write_chunk(wire, text).await.is_err() {
                return;
            }
            if let Some(listing) = next.take() {
                self.record_told(sent_revision, &listing);
            }
            self.discovery().count(|c| c.updates += 1);
            self.count_bytes(bytes, counted);
            tokio::select! {
                biased;
                closed = closed_by_peer(wire) => if closed { return },
                changed = revision.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let now = *revision.borrow_and_update();
                    next = Some(listing(&self.simulation, region, Some(sent_revision)));
                    sent_revision = now;
                }
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
        }
    }
}

/// Waits until the peer closes the connection; ignores data that it sends on a watch.
async fn closed_by_peer<S>(wire: &mut roseproxy_emulator::http::Wire<S>) -> bool
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    while let Ok(true) = wire.fill_buffer().await {}
    true
}

/// Writes one chunk of a chunked response.
async fn write_chunk<S>(wire: &mut roseproxy_emulator::http::Wire<S>, text: &str) -> io::Result<()>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    wire.write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await
}
