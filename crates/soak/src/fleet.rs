//! Processes of a run: sidecars, endpoints, discovery and clients, on ports that were free when the run began.

use crate::control::{ClientBehavior, EndpointBehavior, Member, Registry};
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

/// Range in which free ports are searched.
const PORT_RANGE: Range<u16> = 11_000..31_000;
/// Maximum time for a sidecar to become ready before the start is given up.
const READY_TIMEOUT_MS: f64 = 30_000.0;
/// Time after SIGTERM during which clients still open connections; from then until SIGKILL they use open ones only.
const CONNECT_GRACE_MS: f64 = 300.0;
/// Cell of the listed-only endpoints.
pub const LISTED_CELL: u32 = 9;
/// Number of the process that serves the listed-only endpoints.
const LISTED_NUMBER: usize = 1_000_000;

/// Phase of an endpoint that accepts work.
pub const IN_SERVICE: &str = "in_service";

/// Measurement error to allow for on a machine that is not busy.
pub const BASE_SLACK_MS: f64 = 50.0;

/// An endpoint process, which stands in for a config server.
pub struct Endpoint {
    /// Entry in the list.
    pub member: Member,
    /// Handle of the process.
    pub process: Rc<StandIn>,
}

/// A sidecar with its clients.
pub struct Sidecar {
    number: usize,
    listen: u16,
    discovery_ports: [u16; 2],
    config: PathBuf,
    /// Control file for the faults injected into its process.
    pub control: Control,
    /// Client stand-in that sends requests to this sidecar.
    pub clients: StandIn,
    child: RefCell<Option<Child>>,
    /// The last list that its process had; the next process starts on it.
    last_list: RefCell<Option<Registry>>,
    /// Number of starts so far; each start has a log file of its own.
    starts: Cell<u64>,
    /// Whether the sidecar is being stopped or restarted by a fault.
    pub restarting: Cell<bool>,
    /// Whether SIGTERM was sent more than `CONNECT_GRACE_MS` ago, so that clients only use open connections.
    open_only: Cell<bool>,
    /// Behavior that its clients were last sent; their rate is 0 while the sidecar does not serve.
    current_behavior: Cell<ClientBehavior>,
    /// Behavior that its clients have whenever the sidecar serves.
    wanted_behavior: Cell<ClientBehavior>,
}

/// All processes of a run.
pub struct Fleet {
    /// Settings of the run.
    pub settings: Settings,
    /// Sidecars, by number.
    pub sidecars: Vec<Sidecar>,
    /// Endpoints whose processes run.
    pub endpoints: RefCell<Vec<Endpoint>>,
    /// State that discovery is sent.
    pub registry: RefCell<Registry>,
    /// What was done to the processes so far.
    pub timeline: RefCell<Timeline>,
    /// Records that the stand-ins have reported so far.
    pub records: Rc<RefCell<Vec<Record>>>,
    /// Faults in force in all sidecars.
    pub faults: Cell<Faults>,
    discovery: StandIn,
    /// Serves the listed-only endpoints.
    _listed: Option<StandIn>,
    /// Delay of SIGKILL beyond the specified time (ms): 0 unless a larger slack says that the machine is busy.
    pub kill_slack_ms: f64,
    program: PathBuf,
    library: PathBuf,
    folder: PathBuf,
    seed: u64,
    last_endpoint: Cell<usize>,
    /// Whether new configurations are currently written only half.
    pub half_written: Cell<bool>,
}

/// Finds ports that are currently free. They lie below the system's range for outgoing connections, so that no outgoing
/// connection takes one before its process has bound it. Concurrent runs begin at different ports.
fn free_ports(count: usize) -> Result<Vec<u16>, String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first =
        PORT_RANGE.start + (std::process::id() * 211 % u32::from(PORT_RANGE.end - PORT_RANGE.start)) as u16;
    let _ = NEXT.compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
    let mut free = Vec::new();
    for _ in PORT_RANGE {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if port >= PORT_RANGE.end {
            NEXT.store(PORT_RANGE.start, Ordering::Relaxed);
        } else if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            free.push(port);
        }
        if free.len() == count {
            return Ok(free);
        }
    }
    Err(format!("fewer than {count} free ports in {PORT_RANGE:?}"))
}

fn to_strings<const N: usize>(parts: [&dyn ToString; N]) -> Vec<String> {
    parts.iter().map(|part| part.to_string()).collect()
}

/// Sleeps for a time in ms; a negative time counts as 0.
pub async fn sleep_ms(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1e3)).await;
}

impl Fleet {
    /// Starts the stand-ins of a run with this seed and slack (ms). [`Fleet::start_all`] starts the sidecars.
    pub fn new(
        settings: Settings,
        endpoints: usize,
        program: &Path,
        folder: &Path,
        (seed, slack_ms): (u64, f64),
    ) -> Result<Rc<Fleet>, String> {
        let records = Rc::new(RefCell::new(Vec::new()));
        let ports = free_ports(settings.sidecars * 3)?;
        let (listen_ports, discovery_ports) = ports.split_at(settings.sidecars);
        let mut arguments = to_strings([&"discovery"]);
        arguments.extend(discovery_ports.iter().map(u16::to_string));
        let discovery = StandIn::start(&arguments, records.clone())?;
        let library = shim::build(folder)?;
        let mut sidecars = Vec::new();
        for (number, listen) in listen_ports.iter().enumerate() {
            let client_seed = seed * 1_000 + number as u64;
            let arguments =
                to_strings([&"client", &number, listen, &client_seed, &slack_ms, &settings.deadline]);
            let control = Control::new(folder.join(format!("sidecar-{number}.faults")));
            sidecars.push(Sidecar {
                number,
                listen: *listen,
                discovery_ports: [discovery_ports[number * 2], discovery_ports[number * 2 + 1]],
                config: folder.join(format!("sidecar-{number}.json")),
                control: control.map_err(|e| format!("control file of sidecar {number}: {e}"))?,
                clients: StandIn::start(&arguments, records.clone())?,
                child: RefCell::new(None),
                last_list: RefCell::new(None),
                starts: Cell::new(0),
                restarting: Cell::new(false),
                open_only: Cell::new(false),
                current_behavior: Cell::default(),
                wanted_behavior: Cell::default(),
            });
        }
        let mut registry = Registry::default();
        let mut listed = None;
        if settings.listed > 0 {
            (registry.listed, registry.listed_port) = (settings.listed, free_ports(1)?[0]);
            let arguments = to_strings([
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
            kill_slack_ms: (slack_ms - BASE_SLACK_MS).max(0.0),
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

    /// Starts an endpoint and returns its number. It takes over the id and the port of `previous`, if given, or gets
    /// new ones.
    pub fn add_endpoint(&self, previous: Option<&Member>, warm: bool) -> Result<usize, String> {
        let number = self.last_endpoint.get() + 1;
        self.last_endpoint.set(number);
        let port = match previous {
            Some(member) => member.port,
            None => free_ports(1)?[0],
        };
        let id = previous.map_or(number, |member| member.id);
        let cell = (id % 3) as u32;
        let arguments =
            to_strings([&"endpoint", &number, &cell, &port, &(self.seed * 1_000 + 500 + number as u64)]);
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

    /// Sets the phase of an endpoint in the list: draining, gone or in service again.
    pub async fn set_phase(&self, number: usize, phase: &str) {
        let mut event = None;
        for member in self.registry.borrow_mut().members.iter_mut().filter(|m| m.endpoint == number) {
            event = match (member.phase == IN_SERVICE, phase == IN_SERVICE) {
                (true, false) => Some(EndpointEvent::LeftService),
                (false, true) => Some(EndpointEvent::ReturnedToService),
                _ => None,
            };
            phase.clone_into(&mut member.phase);
        }
        let event = event.map(|event| (now(), number, event));
        self.timeline.borrow_mut().endpoints.extend(event);
        self.publish().await;
    }

    /// Sends the list and the behavior of discovery to the discovery process.
    pub async fn publish(&self) {
        self.registry.borrow_mut().revision += 1;
        let state = self.registry.borrow().clone();
        self.discovery.send(&state).await;
    }

    /// Kills the process of an endpoint.
    pub fn remove_endpoint(&self, number: usize) -> Option<Member> {
        let mut endpoints = self.endpoints.borrow_mut();
        let at = endpoints.iter().position(|e| e.member.endpoint == number)?;
        let endpoint = endpoints.remove(at);
        endpoint.process.kill();
        Some(endpoint.member)
    }

    /// Returns the process of a running endpoint.
    pub fn endpoint(&self, number: usize) -> Option<Rc<StandIn>> {
        let endpoints = self.endpoints.borrow();
        endpoints.iter().find(|e| e.member.endpoint == number).map(|e| e.process.clone())
    }

    /// Changes the behavior of an endpoint.
    pub async fn set_endpoint_behavior(&self, number: usize, behavior: EndpointBehavior) {
        if let Some(process) = self.endpoint(number) {
            process.send(&behavior).await;
        }
    }

    /// Changes the faults in all sidecars.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.faults.get();
        change(&mut faults);
        self.faults.set(faults);
        for sidecar in &self.sidecars {
            let _ = sidecar.control.set(&faults);
        }
    }

    /// Changes the behavior of a sidecar's clients; while they are stopped, it takes effect when they resume.
    pub async fn change_client_behavior(&self, number: usize, change: impl FnOnce(&mut ClientBehavior)) {
        let sidecar = &self.sidecars[number];
        let mut wanted = sidecar.wanted_behavior.get();
        change(&mut wanted);
        sidecar.wanted_behavior.set(wanted);
        if sidecar.current_behavior.get().rate > 0.0 {
            sidecar.send_behavior(wanted).await;
        }
    }

    /// Makes the clients of a ready sidecar behave as requested.
    pub async fn apply_client_behavior(&self, number: usize) {
        let sidecar = &self.sidecars[number];
        sidecar.send_behavior(sidecar.wanted_behavior.get()).await;
    }

    fn record_event(&self, sidecar: usize, event: SidecarEvent) {
        self.timeline.borrow_mut().sidecars.push((now(), sidecar, event));
    }

    fn write_config(&self, sidecar: &Sidecar) -> Result<(), String> {
        let discovery = sidecar.discovery_ports[self.registry.borrow().active_port];
        let name = format!("sidecar-{}", sidecar.number);
        let seed = self.seed * 1_000_000 + sidecar.number as u64 * 1_000 + sidecar.starts.get();
        let mut config = self.settings.config(&name, sidecar.listen, discovery, seed);
        if let Some(last_list) = sidecar.last_list.borrow().as_ref().filter(|_| self.settings.kept_lists) {
            config["known"] = crate::discovery::to_json(last_list, true, &last_list.members);
        }
        // The file is replaced by a rename, so that a sidecar never reads half of it.
        let new_file = sidecar.config.with_extension("new");
        let text = config.to_string();
        // Simulates a writer that does not replace the file atomically: a read in between ends too early.
        if self.half_written.get() {
            let half = &text[..text.len() / 2];
            return std::fs::write(&sidecar.config, half).map_err(|e| format!("{name}: {e}"));
        }
        let written = std::fs::write(&new_file, text);
        written.and_then(|()| std::fs::rename(&new_file, &sidecar.config)).map_err(|e| format!("{name}: {e}"))
    }

    /// Starts a sidecar, waits until it is ready, and then starts the load of its clients.
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
        self.record_event(number, SidecarEvent::Started);
        let started_at = now();
        while now() - started_at < READY_TIMEOUT_MS {
            if sidecar.get("/health/ready").await.is_some_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                self.record_event(number, SidecarEvent::Ready);
                sidecar.send_behavior(sidecar.wanted_behavior.get()).await;
                return Ok(());
            }
            if self.check_exited(number, false) {
                return Ok(());
            }
            sleep_ms(20.0).await;
        }
        self.record_event(number, SidecarEvent::NotReadyInTime);
        Ok(())
    }

    /// Starts all sidecars concurrently.
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
        for task in starting {
            task.await.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// Checks whether a sidecar's process has exited; the exit is recorded once.
    pub fn check_exited(&self, number: usize, expected: bool) -> bool {
        let mut child = self.sidecars[number].child.borrow_mut();
        let Some(running) = child.as_mut() else { return true };
        let Ok(Some(status)) = running.try_wait() else { return false };
        *child = None;
        drop(child);
        self.record_event(number, SidecarEvent::Exited { expected, status: status.to_string() });
        true
    }

    /// Sends a signal to a sidecar's process.
    pub fn signal(&self, number: usize, signal: Signal) {
        if let Some(id) = self.pid(number) {
            // The process may have exited just now; the error is then of no interest.
            let _ = kill_process(id, signal);
        }
    }

    /// Process id of a sidecar. The system does not reuse it until this program has reaped the process.
    fn pid(&self, number: usize) -> Option<Pid> {
        let id = self.sidecars[number].child.borrow().as_ref().and_then(Child::id);
        id.and_then(|id| Pid::from_raw(id as i32))
    }

    /// Writes a sidecar's configuration without notifying the sidecar.
    pub fn write_full_config(&self, number: usize) {
        // If the file cannot be written, the sidecar continues with its previous configuration.
        let _ = self.write_config(&self.sidecars[number]);
    }

    /// Writes a sidecar's configuration and notifies the sidecar by SIGHUP.
    pub fn reload(&self, number: usize) {
        if self.write_config(&self.sidecars[number]).is_ok() {
            self.signal(number, Signal::HUP);
        }
    }

    /// Stops a sidecar as the platform does: SIGTERM, then SIGKILL when its time is over. `later_signals` are sent at
    /// these times after SIGTERM (ms).
    pub async fn stop(self: &Rc<Self>, number: usize, later_signals: &[(f64, Signal)]) {
        let sidecar = &self.sidecars[number];
        self.record_event(number, SidecarEvent::SigtermSent);
        self.save_list(number);
        self.signal(number, Signal::TERM);
        let pid = self.pid(number);
        for (delay_ms, signal) in later_signals.iter().copied() {
            let fleet = self.clone();
            spawn_local(async move {
                sleep_ms(delay_ms).await;
                // The signal must not reach a process that was started in place of this one.
                if fleet.pid(number) == pid {
                    fleet.signal(number, signal);
                }
            });
        }
        let started_at = now();
        sleep_ms(CONNECT_GRACE_MS).await;
        sidecar.open_only.set(true);
        sidecar.send_behavior(sidecar.wanted_behavior.get()).await;
        let kill_after_ms = self.settings.kill_after_ms() + self.kill_slack_ms;
        while now() - started_at < kill_after_ms && !self.check_exited(number, true) {
            sleep_ms(2.0).await;
        }
        if !self.check_exited(number, true) {
            self.record_event(number, SidecarEvent::KilledAfterTimeout);
            self.kill(number).await;
        }
        sidecar.open_only.set(false);
        sidecar.send_behavior(ClientBehavior::default()).await;
    }

    /// Saves the current list for the sidecar's next process.
    pub fn save_list(&self, number: usize) {
        *self.sidecars[number].last_list.borrow_mut() = Some(self.registry.borrow().clone());
    }

    /// Kills a sidecar without SIGTERM.
    pub async fn kill_abruptly(&self, number: usize) {
        self.record_event(number, SidecarEvent::KilledAbruptly);
        self.save_list(number);
        self.kill(number).await;
        self.sidecars[number].send_behavior(ClientBehavior::default()).await;
    }

    async fn kill(&self, number: usize) {
        let child = self.sidecars[number].child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Reads the counters of a sidecar.
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
    /// Sends its clients a new behavior.
    async fn send_behavior(&self, behavior: ClientBehavior) {
        let behavior = ClientBehavior { open_only: self.open_only.get(), ..behavior };
        self.current_behavior.set(behavior);
        self.clients.send(&behavior).await;
    }

    /// Fetches one of the sidecar's health pages.
    async fn get(&self, path: &str) -> Option<String> {
        let exchange = async {
            let mut stream = TcpStream::connect(("127.0.0.1", self.listen)).await.ok()?;
            let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            Some(answer)
        };
        tokio::time::timeout(Duration::from_secs(2), exchange).await.ok().flatten()
    }
}
