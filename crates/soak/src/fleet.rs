//! The processes of a run: sidecars, endpoints, discovery and clients, on ports that were free at its start.

use crate::control::{ClientConduct, EndpointConduct, Member, Registry};
use crate::records::{now, Record};
use crate::settings::Settings;
use crate::shim::{self, Control, Faults};
use crate::stand_in::StandIn;
use crate::timeline::{EndpointEvent, SidecarEvent, Timeline};
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

/// Where ports are looked for.
const PORTS: Range<u16> = 11_000..31_000;
/// How long a sidecar may take to become ready (ms).
const READY: f64 = 30_000.0;
/// How long after SIGTERM clients still open connections (ms); up to SIGKILL they ask on those that are open.
const STILL_CONNECT: f64 = 300.0;
/// The cell of endpoints that are only listed, and the number of the process that serves them.
pub const LISTED_CELL: u32 = 9;
const LISTED_NUMBER: usize = 1_000_000;

/// The phase of an endpoint that takes work.
pub const IN_SERVICE: &str = "in_service";

/// What measuring may be off by on a machine that is not busy (ms).
pub const USUAL_SLACK: f64 = 50.0;

/// A config server.
pub struct Endpoint {
    /// Its entry in the list.
    pub member: Member,
    /// Its process.
    pub process: Rc<StandIn>,
}

/// A sidecar with its clients.
pub struct Sidecar {
    number: usize,
    listen: u16,
    ports: [u16; 2],
    config: PathBuf,
    /// What fails in its process.
    pub control: Control,
    /// Its clients.
    pub clients: StandIn,
    child: RefCell<Option<Child>>,
    /// The list as its process had it last: the next one starts on it.
    kept: RefCell<Option<Registry>>,
    /// How often it has been started; each start has a log of its own.
    starts: Cell<u64>,
    /// Whether it is being restarted.
    pub busy: Cell<bool>,
    /// Whether it was told to end, so long ago that no client opens connections to it any more.
    leaving: Cell<bool>,
    conduct: Cell<ClientConduct>,
    wanted: Cell<ClientConduct>,
}

/// All of them.
pub struct Fleet {
    /// The settings.
    pub settings: Settings,
    /// The sidecars.
    pub sidecars: Vec<Sidecar>,
    /// The endpoints that run.
    pub endpoints: RefCell<Vec<Endpoint>>,
    /// What discovery is told.
    pub registry: RefCell<Registry>,
    /// What happened.
    pub timeline: RefCell<Timeline>,
    /// What was seen.
    pub records: Rc<RefCell<Vec<Record>>>,
    /// What all sidecars' calls fail by.
    pub faults: Cell<Faults>,
    discovery: StandIn,
    /// Serves the endpoints that are only listed.
    _listed: Option<StandIn>,
    /// How much longer than the page says SIGKILL waits (ms): nothing, unless the machine is known to be busy.
    pub kill_slack: f64,
    program: PathBuf,
    library: PathBuf,
    folder: PathBuf,
    seed: u64,
    last_endpoint: Cell<usize>,
    /// Whether new configurations are written by half for now.
    pub half_written: Cell<bool>,
}

/// Ports that are free now. They lie below those that the system takes for outgoing connections, so that none of
/// those takes one before its process has bound it; runs at the same time begin at different ones.
fn free_ports(count: usize) -> Result<Vec<u16>, String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = PORTS.start + (std::process::id() * 211 % u32::from(PORTS.end - PORTS.start)) as u16;
    let _ = NEXT.compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
    let mut free = Vec::new();
    for _ in PORTS {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if port >= PORTS.end {
            NEXT.store(PORTS.start, Ordering::Relaxed);
        } else if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            free.push(port);
        }
        if free.len() == count {
            return Ok(free);
        }
    }
    Err("no free ports".into())
}

fn words<const N: usize>(parts: [&dyn ToString; N]) -> Vec<String> {
    parts.iter().map(|part| part.to_string()).collect()
}

/// Waits so long (ms); not at all for less than nothing.
pub async fn sleep(millis: f64) {
    tokio::time::sleep(Duration::from_secs_f64(millis.max(0.0) / 1e3)).await;
}

impl Fleet {
    /// Starts the stand-ins of a run with this seed and slack (ms); the sidecars are started by [`Fleet::start_all`].
    pub fn new(
        settings: Settings,
        endpoints: usize,
        program: &Path,
        folder: &Path,
        (seed, slack): (u64, f64),
    ) -> Result<Rc<Fleet>, String> {
        let records = Rc::new(RefCell::new(Vec::new()));
        let ports = free_ports(settings.sidecars * 3)?;
        let (listens, calls) = ports.split_at(settings.sidecars);
        let mut arguments = words([&"discovery"]);
        arguments.extend(calls.iter().map(u16::to_string));
        let discovery = StandIn::start(&arguments, records.clone())?;
        let library = shim::build(folder)?;
        let mut sidecars = Vec::new();
        for (number, listen) in listens.iter().enumerate() {
            let own_seed = seed * 1_000 + number as u64;
            let arguments = words([&"client", &number, listen, &own_seed, &slack, &settings.deadline]);
            let control = Control::new(folder.join(format!("sidecar-{number}.faults")));
            sidecars.push(Sidecar {
                number,
                listen: *listen,
                ports: [calls[number * 2], calls[number * 2 + 1]],
                config: folder.join(format!("sidecar-{number}.json")),
                control: control.map_err(|e| format!("the control file: {e}"))?,
                clients: StandIn::start(&arguments, records.clone())?,
                child: RefCell::new(None),
                kept: RefCell::new(None),
                starts: Cell::new(0),
                busy: Cell::new(false),
                leaving: Cell::new(false),
                conduct: Cell::default(),
                wanted: Cell::default(),
            });
        }
        let mut registry = Registry::default();
        let mut listed = None;
        if settings.listed > 0 {
            (registry.listed, registry.listed_port) = (settings.listed, free_ports(1)?[0]);
            let arguments = words([
                &"endpoint",
                &LISTED_NUMBER,
                &LISTED_CELL,
                &registry.listed_port,
                &(seed * 1_000 + 400),
            ]);
            listed = Some(StandIn::start(&arguments, records.clone())?);
        }
        let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        let fleet = Rc::new(Fleet {
            settings,
            sidecars,
            endpoints: RefCell::default(),
            registry: RefCell::new(registry),
            timeline: RefCell::default(),
            records,
            faults: Cell::default(),
            discovery,
            _listed: listed,
            kill_slack: (slack - USUAL_SLACK).max(0.0),
            program,
            library,
            folder: folder.to_owned(),
            seed,
            last_endpoint: Cell::new(0),
            half_written: Cell::new(false),
        });
        for _ in 0..endpoints {
            fleet.add_endpoint(None, true)?;
        }
        Ok(fleet)
    }

    /// Starts an endpoint, under the id and at the port of one that is gone or under a new one. Returns its number.
    pub fn add_endpoint(&self, old: Option<&Member>, warm: bool) -> Result<usize, String> {
        let number = self.last_endpoint.get() + 1;
        self.last_endpoint.set(number);
        let port = match old {
            Some(member) => member.port,
            None => free_ports(1)?[0],
        };
        let id = old.map_or(number, |member| member.id);
        let cell = (id % 3) as u32;
        let arguments =
            words([&"endpoint", &number, &cell, &port, &(self.seed * 1_000 + 500 + number as u64)]);
        let process = Rc::new(StandIn::start(&arguments, self.records.clone())?);
        let up_since_ms = if warm { 0.0 } else { now().round() };
        let member = Member { endpoint: number, id, port, cell, phase: "in_service".into(), up_since_ms };
        if !warm {
            self.timeline.borrow_mut().endpoints.push((now(), number, EndpointEvent::Started));
        }
        self.registry.borrow_mut().members.retain(|m| m.id != id);
        self.registry.borrow_mut().members.push(member.clone());
        self.endpoints.borrow_mut().push(Endpoint { member, process });
        Ok(number)
    }

    /// Has the list say that an endpoint drains, is gone, or is in service again.
    pub async fn announce(&self, number: usize, phase: &str) {
        let mut event = None;
        for member in self.registry.borrow_mut().members.iter_mut().filter(|m| m.endpoint == number) {
            event = match (member.phase == IN_SERVICE, phase == IN_SERVICE) {
                (true, false) => Some(EndpointEvent::Leaves),
                (false, true) => Some(EndpointEvent::Returns),
                _ => None,
            };
            phase.clone_into(&mut member.phase);
        }
        let event = event.map(|event| (now(), number, event));
        self.timeline.borrow_mut().endpoints.extend(event);
        self.publish().await;
    }

    /// Tells discovery the list and its own conduct.
    pub async fn publish(&self) {
        self.registry.borrow_mut().revision += 1;
        let state = self.registry.borrow().clone();
        self.discovery.tell(&state).await;
    }

    /// Ends an endpoint's process.
    pub fn remove_endpoint(&self, number: usize) -> Option<Member> {
        let mut endpoints = self.endpoints.borrow_mut();
        let at = endpoints.iter().position(|e| e.member.endpoint == number)?;
        let endpoint = endpoints.remove(at);
        endpoint.process.kill();
        Some(endpoint.member)
    }

    /// The process of an endpoint that runs.
    pub fn endpoint(&self, number: usize) -> Option<Rc<StandIn>> {
        let endpoints = self.endpoints.borrow();
        endpoints.iter().find(|e| e.member.endpoint == number).map(|e| e.process.clone())
    }

    /// Has an endpoint behave differently.
    pub async fn conduct(&self, number: usize, conduct: EndpointConduct) {
        if let Some(process) = self.endpoint(number) {
            process.tell(&conduct).await;
        }
    }

    /// Has all sidecars' calls fail as `change` says.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults.get();
        change(&mut faults);
        self.faults.set(faults);
        for sidecar in &self.sidecars {
            let _ = sidecar.control.set(&faults);
        }
    }

    /// Has the clients of a sidecar behave differently.
    pub async fn ask(&self, number: usize, change: impl FnOnce(&mut ClientConduct)) {
        let sidecar = &self.sidecars[number];
        let mut wanted = sidecar.wanted.get();
        change(&mut wanted);
        sidecar.wanted.set(wanted);
        if sidecar.conduct.get().rate > 0.0 {
            sidecar.say(wanted).await;
        }
    }

    /// Has the clients of a sidecar that is ready ask as they were told.
    pub async fn resume(&self, number: usize) {
        let sidecar = &self.sidecars[number];
        sidecar.say(sidecar.wanted.get()).await;
    }

    fn event(&self, sidecar: usize, event: SidecarEvent) {
        self.timeline.borrow_mut().sidecars.push((now(), sidecar, event));
    }

    fn write_config(&self, sidecar: &Sidecar) -> Result<(), String> {
        let discovery = sidecar.ports[self.registry.borrow().port];
        let name = format!("sidecar-{}", sidecar.number);
        let seed = self.seed * 1_000_000 + sidecar.number as u64 * 1_000 + sidecar.starts.get();
        let mut config = self.settings.config(&name, sidecar.listen, discovery, seed);
        if let Some(kept) = sidecar.kept.borrow().as_ref().filter(|_| self.settings.kept_lists) {
            config["known"] = crate::discovery::list(kept, true, &kept.members);
        }
        // Replaced whole: half a file is never read.
        let fresh = sidecar.config.with_extension("new");
        let text = config.to_string();
        // A folder that is replaced badly: what is read in between ends too early.
        if self.half_written.get() {
            let half = &text[..text.len() / 2];
            return std::fs::write(&sidecar.config, half).map_err(|e| format!("{name}: {e}"));
        }
        let written = std::fs::write(&fresh, text);
        written.and_then(|()| std::fs::rename(&fresh, &sidecar.config)).map_err(|e| format!("{name}: {e}"))
    }

    /// Starts a sidecar, waits until it is ready, and has its clients ask.
    pub async fn start(self: &Rc<Self>, number: usize) -> Result<(), String> {
        let sidecar = &self.sidecars[number];
        sidecar.starts.set(sidecar.starts.get() + 1);
        self.write_config(sidecar)?;
        let log = self.folder.join(format!("sidecar-{number}-{}.log", sidecar.starts.get()));
        let log = std::fs::File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.program);
        command
            .env("LB_CONFIG", &sidecar.config)
            .env("LB_EVENT_LOG", "1")
            .env("LD_PRELOAD", &self.library)
            .env("SOAK_SHIM", &sidecar.control.path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        *sidecar.child.borrow_mut() = Some(child);
        self.event(number, SidecarEvent::Started);
        let began = now();
        while now() - began < READY {
            if sidecar.get("/health/ready").await.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                self.event(number, SidecarEvent::Ready);
                sidecar.say(sidecar.wanted.get()).await;
                return Ok(());
            }
            if self.exited(number, false) {
                return Ok(());
            }
            sleep(20.0).await;
        }
        self.event(number, SidecarEvent::NeverReady);
        Ok(())
    }

    /// Starts all sidecars at once.
    pub async fn start_all(self: &Rc<Self>) -> Result<(), String> {
        let number = |sidecar: &Sidecar| sidecar.number;
        let starting: Vec<_> = self
            .sidecars
            .iter()
            .map(number)
            .map(|number| {
                let fleet = self.clone();
                spawn_local(async move { fleet.start(number).await })
            })
            .collect();
        for one in starting {
            one.await.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// Whether a sidecar's process has exited; that is recorded once.
    pub fn exited(&self, number: usize, expected: bool) -> bool {
        let mut child = self.sidecars[number].child.borrow_mut();
        let Some(running) = child.as_mut() else { return true };
        let Ok(Some(status)) = running.try_wait() else { return false };
        *child = None;
        drop(child);
        self.event(number, SidecarEvent::Exited { expected, status: status.to_string() });
        true
    }

    /// Sends a signal to a sidecar's process.
    pub fn signal(&self, number: usize, signal: Signal) {
        if let Some(id) = self.process(number) {
            // One that has ended in this moment hears nothing.
            let _ = kill_process(id, signal);
        }
    }

    /// The id of a sidecar's process, which is not free before this program has seen its end.
    fn process(&self, number: usize) -> Option<Pid> {
        let id = self.sidecars[number].child.borrow().as_ref().and_then(Child::id);
        id.and_then(|id| Pid::from_raw(id as i32))
    }

    /// Writes a sidecar's configuration as it is now, and says nothing.
    pub fn complete_config(&self, number: usize) {
        // A sidecar whose file cannot be written goes on with the one before.
        let _ = self.write_config(&self.sidecars[number]);
    }

    /// Replaces the configuration and says so.
    pub fn reload(&self, number: usize) {
        if self.write_config(&self.sidecars[number]).is_ok() {
            self.signal(number, Signal::HUP);
        }
    }

    /// Ends a sidecar in order, as the platform does; further signals may come after the first (ms from then).
    pub async fn stop(self: &Rc<Self>, number: usize, series: &[(f64, Signal)]) {
        let sidecar = &self.sidecars[number];
        self.event(number, SidecarEvent::Terminated);
        self.keep_list(number);
        self.signal(number, Signal::TERM);
        let process = self.process(number);
        for (after, signal) in series.iter().copied() {
            let fleet = self.clone();
            spawn_local(async move {
                sleep(after).await;
                // Not the process that was started in its place.
                if fleet.process(number) == process {
                    fleet.signal(number, signal);
                }
            });
        }
        let began = now();
        sleep(STILL_CONNECT).await;
        sidecar.leaving.set(true);
        sidecar.say(sidecar.wanted.get()).await;
        let kill_after = self.settings.kill_after() + self.kill_slack;
        while now() - began < kill_after && !self.exited(number, true) {
            sleep(2.0).await;
        }
        if !self.exited(number, true) {
            self.event(number, SidecarEvent::Killed);
            self.kill(number).await;
        }
        sidecar.leaving.set(false);
        sidecar.say(ClientConduct::default()).await;
    }

    /// Keeps the list as it is now for a sidecar's next process.
    pub fn keep_list(&self, number: usize) {
        *self.sidecars[number].kept.borrow_mut() = Some(self.registry.borrow().clone());
    }

    /// Ends a sidecar without a word.
    pub async fn kill_outright(&self, number: usize) {
        self.event(number, SidecarEvent::KilledOutright);
        self.keep_list(number);
        self.kill(number).await;
        self.sidecars[number].say(ClientConduct::default()).await;
    }

    async fn kill(&self, number: usize) {
        let child = self.sidecars[number].child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// What a sidecar counts.
    pub async fn counters(&self, number: usize) -> Vec<(String, u64)> {
        let answer = self.sidecars[number].get("/health/counters").await.unwrap_or_default();
        let pair = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        answer.lines().filter_map(pair).collect()
    }
}

impl Sidecar {
    /// Has its clients behave differently.
    async fn say(&self, conduct: ClientConduct) {
        let conduct = ClientConduct { open_only: self.leaving.get(), ..conduct };
        self.conduct.set(conduct);
        self.clients.tell(&conduct).await;
    }

    /// Asks it for one of its own pages.
    async fn get(&self, path: &str) -> Option<String> {
        let asks = async {
            let mut stream = TcpStream::connect(("127.0.0.1", self.listen)).await.ok()?;
            let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer)
        };
        tokio::time::timeout(Duration::from_secs(2), asks).await.ok().flatten()
    }
}
