//! Faults of a run: drawn from its seed, with two or three active at a time.

use crate::control::{ClientBehavior, EndpointBehavior};
use crate::fleet::{sleep_ms, Fleet, IN_SERVICE};
use crate::records::now;
use crate::shim::{errno, Fault};
use crate::timeline::InjectedFault;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Shortest length of a fault.
const MIN_FAULT_S: f64 = 0.4;
/// Longest length of a fault.
const MAX_FAULT_S: f64 = 3.0;
/// Shortest time between the starts of two faults. With these lengths and pauses two or three faults overlap.
const MIN_PAUSE_S: f64 = 0.4;
/// Longest time between the starts of two faults.
const MAX_PAUSE_S: f64 = 1.0;
/// Time that an endpoint keeps running after its drain is announced.
const DRAIN_MS: f64 = 4_000.0;
/// Shortest time between the announced loss of a zone's endpoints and the restart of its sidecars: sidecars elsewhere
/// have to know by then that the endpoints left.
const MIN_ZONE_OUTAGE_MS: f64 = 6_500.0;
/// Longest time between the announced loss of a zone's endpoints and the restart of its sidecars.
const MAX_ZONE_OUTAGE_MS: f64 = 9_000.0;
/// Shortest time between the restart of a zone's sidecars and the return of its endpoints.
const MIN_ZONE_RETURN_MS: f64 = 2_000.0;
/// Longest time between the restart of a zone's sidecars and the return of its endpoints.
const MAX_ZONE_RETURN_MS: f64 = 5_000.0;
/// Factor by which a third of the outages of discovery are longer than other faults.
const LONG_OUTAGE_FACTOR: f64 = 3.0;
/// Time for which a process is stopped: the platform allows 150 ms, and resuming it takes a moment too.
const STALL_MS: f64 = 100.0;

/// Maximum time for which a configuration is half written; less than a starting sidecar waits for the rest.
const HALF_WRITTEN_MS: f64 = 600.0;
/// Number of new configurations in a series.
const RELOADS_PER_SERIES: usize = 4;
/// Time between the configurations of a series.
const RELOAD_PAUSE_MS: f64 = 30.0;
/// Time after SIGTERM within which further signals are sent.
const LATER_SIGNALS_MS: f64 = 1_500.0;
/// Upper bound (exclusive) of the connections that a crowd opens at each sidecar; more than the sidecar has room
/// for.
const MAX_CROWD_CONNECTIONS: u64 = 160;
/// Factor on the usual request rate during a burst.
const BURST_FACTOR: f64 = 4.0;
/// Time that a starved sidecar is stopped in each cycle: it gets a tenth of a core.
const STARVED_STOP_MS: f64 = 18.0;
/// Time that a starved sidecar runs in each cycle.
const STARVED_RUN_MS: f64 = 2.0;

/// Kind of fault. Reports print it by `Debug`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A sidecar is stopped by SIGTERM and started again.
    Restart,
    /// A sidecar is killed without SIGTERM and started again.
    Kill,
    /// Sidecars are sent several new configurations in quick succession.
    ReloadSeries,
    /// Idle connections use up the sidecars' connection limits.
    Crowd,
    /// Connections on which clients stop in the middle of a request use up the sidecars' connection limits.
    HalfRequests,
    /// Clients send several times the usual number of requests.
    Burst,
    /// A sidecar gets only a fraction of a core.
    Starve,
    /// Discovery moves to another port, and all sidecars get a new configuration.
    Reload,
    /// Like `Reload`, while the configuration file cannot be opened.
    ReloadUnreadable,
    /// Like `Reload`, while the configuration file is half written.
    ReloadHalfWritten,
    /// A sidecar's process is stopped for a moment.
    Stall,
    /// A third of the sidecars are killed and a third of the endpoints leave the list; both come back unchanged.
    ZoneLoss,
    /// An endpoint drains and terminates; a new one replaces it.
    Drain,
    /// An endpoint's process dies and is started again, cold.
    Crash,
    /// Some endpoints misbehave.
    Endpoints(Misconduct),
    /// Discovery is down; it closes connections at once, or queues calls and rejects them.
    DiscoveryDown,
    /// All open watches fall silent.
    Silence,
    /// Clients leave before the response.
    Leave,
    /// Clients write slowly and use new connections.
    Slow,
    /// Clients send malformed input.
    Misbehave,
    /// System calls of the sidecars fail.
    Calls(Failing),
    /// The wall clock of the sidecars is stepped by this number of seconds.
    WallStep(i64),
}

/// Misbehavior of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misconduct {
    /// They hold responses back.
    Hang,
    /// They reset connections after reading a request.
    Reset,
    /// They reset connections before reading a request.
    ResetEarly,
    /// They answer with status 500.
    Fail,
    /// They reject requests.
    Reject,
    /// They send malformed or additional responses.
    Spoil,
    /// They close the connection after each response.
    Close,
    /// They respond slowly.
    Slow,
}

/// System calls that fail, and the error number where there is a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failing {
    /// Accepting connections fails with this error.
    Accept(u32),
    /// Creating sockets fails with this error.
    Socket(u32),
    /// Opening connections fails with this error.
    Connect(u32),
    /// Reads, writes and waits are interrupted.
    Interrupt,
    /// Reads and writes fail with this error, which reports a lack of resources.
    Short(u32),
    /// Reads and writes transfer only a part of the data.
    Shorten,
    /// Connections to endpoints and discovery break with this error.
    Broken(u32),
    /// Writes to the log fail with this error.
    Log(u32),
}

/// All kinds of faults. Those that overlap with others most often are listed more than once, and so drawn more often.
const WEIGHTED_KINDS: &[Kind] = &[
    Kind::Restart,
    Kind::Restart,
    Kind::Restart,
    Kind::Kill,
    Kind::ReloadSeries,
    Kind::Crowd,
    Kind::Crowd,
    Kind::Burst,
    Kind::Starve,
    Kind::Starve,
    Kind::Reload,
    Kind::ReloadUnreadable,
    Kind::ReloadHalfWritten,
    Kind::Stall,
    Kind::ZoneLoss,
    Kind::ZoneLoss,
    Kind::Drain,
    Kind::Drain,
    Kind::Crash,
    Kind::Crash,
    Kind::Endpoints(Misconduct::Hang),
    Kind::Endpoints(Misconduct::Reset),
    Kind::Endpoints(Misconduct::ResetEarly),
    Kind::Endpoints(Misconduct::Fail),
    Kind::Endpoints(Misconduct::Reject),
    Kind::Endpoints(Misconduct::Spoil),
    Kind::Endpoints(Misconduct::Close),
    Kind::Endpoints(Misconduct::Slow),
    Kind::DiscoveryDown,
    Kind::DiscoveryDown,
    Kind::Silence,
    Kind::Leave,
    Kind::Leave,
    Kind::Slow,
    Kind::Misbehave,
    Kind::HalfRequests,
    Kind::HalfRequests,
    Kind::Calls(Failing::Accept(errno::ENFILE)),
    Kind::Calls(Failing::Accept(errno::ECONNABORTED)),
    Kind::Calls(Failing::Socket(errno::ENFILE)),
    Kind::Calls(Failing::Socket(errno::ENOBUFS)),
    Kind::Calls(Failing::Connect(errno::EADDRNOTAVAIL)),
    Kind::Calls(Failing::Connect(errno::ENETUNREACH)),
    Kind::Calls(Failing::Interrupt),
    Kind::Calls(Failing::Short(errno::ENOMEM)),
    Kind::Calls(Failing::Short(errno::ENOBUFS)),
    Kind::Calls(Failing::Connect(errno::EPERM)),
    Kind::Calls(Failing::Shorten),
    Kind::Calls(Failing::Broken(errno::ETIMEDOUT)),
    Kind::Calls(Failing::Broken(errno::EHOSTUNREACH)),
    Kind::Calls(Failing::Log(errno::ENOSPC)),
    Kind::Calls(Failing::Log(errno::EIO)),
    Kind::WallStep(3_600),
    Kind::WallStep(-3_600),
    Kind::WallStep(-5),
];

/// A fault that is scheduled in a run.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Start of the fault, from the start of the run (s).
    pub at_s: f64,
    /// Length of the fault (s).
    pub length_s: f64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Random number that selects the sidecars and endpoints that are affected.
    pub selector: u64,
}

/// Draws the faults of a run with this length (s).
pub fn draw_schedule(rng: &mut ChaCha8Rng, run_length_s: f64) -> Vec<ScheduledFault> {
    let mut schedule = Vec::new();
    let mut at_s = 1.0;
    while at_s < run_length_s {
        let kind = WEIGHTED_KINDS.choose(rng).copied().unwrap_or(Kind::Leave);
        let length_s = rng.random_range(MIN_FAULT_S..MAX_FAULT_S);
        schedule.push(ScheduledFault { at_s, length_s, kind, selector: rng.random() });
        at_s += rng.random_range(MIN_PAUSE_S..MAX_PAUSE_S);
    }
    schedule
}

impl ScheduledFault {
    /// Injects the fault, and undoes it at its end.
    pub async fn inject(self, fleet: Rc<Fleet>, run_started_at: f64) {
        sleep_ms(run_started_at + self.at_s * 1e3 - now()).await;
        let started_at = now();
        match self.kind {
            Kind::Restart => self.restart(&fleet).await,
            Kind::Kill => self.kill(&fleet).await,
            Kind::ReloadSeries => {
                for _ in 0..RELOADS_PER_SERIES {
                    reload(&fleet).await;
                    sleep_ms(RELOAD_PAUSE_MS).await;
                }
            }
            Kind::Crowd => {
                let crowd = (self.selector / 64 % MAX_CROWD_CONNECTIONS) as usize;
                self.with_client_behavior(&fleet, |c| c.idle_connections = crowd, |c| c.idle_connections = 0)
                    .await
            }
            Kind::HalfRequests => {
                let crowd = (self.selector / 64 % MAX_CROWD_CONNECTIONS) as usize;
                self.with_client_behavior(&fleet, |c| c.half_requests = crowd, |c| c.half_requests = 0).await
            }
            Kind::Burst => {
                self.with_client_behavior(&fleet, |c| c.rate *= BURST_FACTOR, |c| c.rate /= BURST_FACTOR)
                    .await
            }
            Kind::Starve => self.starve(&fleet).await,
            Kind::Reload => reload(&fleet).await,
            Kind::ReloadUnreadable => {
                fleet.change_faults(|f| f.config = Fault { error: errno::EMFILE, rate: 1_000_000 });
                reload(&fleet).await;
                sleep_ms(self.length_ms().min(1_000.0)).await;
                fleet.change_faults(|f| f.config = Fault::default());
            }
            Kind::ReloadHalfWritten => {
                fleet.half_written.set(true);
                reload(&fleet).await;
                sleep_ms(self.length_ms().min(HALF_WRITTEN_MS)).await;
                fleet.half_written.set(false);
                (0..fleet.sidecars.len()).for_each(|number| fleet.write_full_config(number));
            }
            Kind::Stall => {
                let sidecar = self.pick_sidecar(&fleet);
                fleet.signal(sidecar, Signal::STOP);
                sleep_ms(STALL_MS).await;
                fleet.signal(sidecar, Signal::CONT);
            }
            Kind::Drain => self.drain(&fleet).await,
            Kind::Crash => self.crash(&fleet).await,
            Kind::Endpoints(misconduct) => self.apply_misconduct(&fleet, misconduct).await,
            Kind::DiscoveryDown => self.take_discovery_down(&fleet, started_at).await,
            Kind::ZoneLoss => self.lose_zone(&fleet).await,
            Kind::Silence => {
                fleet.registry.borrow_mut().silence_count += 1;
                fleet.publish().await;
            }
            Kind::Leave => {
                self.with_client_behavior(
                    &fleet,
                    |c| (c.leave_share, c.trailing_bytes_share) = (0.5, 0.3),
                    |c| (c.leave_share, c.trailing_bytes_share) = (0.0, 0.0),
                )
                .await
            }
            Kind::Slow => {
                self.with_client_behavior(
                    &fleet,
                    |c| (c.slow_write_share, c.reconnect_share) = (0.3, 0.5),
                    |c| (c.slow_write_share, c.reconnect_share) = (0.0, 0.0),
                )
                .await
            }
            Kind::Misbehave => {
                self.with_client_behavior(&fleet, |c| c.malformed_per_s = 30.0, |c| c.malformed_per_s = 0.0)
                    .await
            }
            Kind::Calls(failing) => {
                set_call_failure(&fleet, failing, true);
                sleep_ms(self.length_ms()).await;
                set_call_failure(&fleet, failing, false);
            }
            Kind::WallStep(seconds) => fleet.change_faults(|f| f.wall_offset_ns = seconds * 1_000_000_000),
        }
        let description = format!("{:?}", self.kind);
        fleet.timeline.borrow_mut().faults.push(InjectedFault { started_at, ended_at: now(), description });
    }

    fn length_ms(&self) -> f64 {
        self.length_s * 1e3
    }

    fn pick_sidecar(&self, fleet: &Fleet) -> usize {
        (self.selector % fleet.sidecars.len() as u64) as usize
    }

    /// Selects an endpoint in service and returns its number.
    fn pick_endpoint(&self, fleet: &Fleet) -> Option<usize> {
        let registry = fleet.registry.borrow();
        let in_service: Vec<usize> =
            registry.members.iter().filter(|m| m.phase == IN_SERVICE).map(|m| m.endpoint).collect();
        // At least three endpoints are left in service, as the fleet has to be able to serve.
        (in_service.len() > 3).then(|| in_service[(self.selector / 64 % in_service.len() as u64) as usize])
    }

    async fn restart(&self, fleet: &Rc<Fleet>) {
        let number = self.pick_sidecar(fleet);
        if fleet.sidecars[number].restarting.replace(true) {
            return;
        }
        fleet.stop(number, &self.draw_signals()).await;
        if let Err(reason) = fleet.start(number).await {
            eprintln!("roseproxy-soak: sidecar {number} did not start: {reason}");
        }
        fleet.sidecars[number].restarting.set(false);
    }

    /// Draws up to three signals that follow SIGTERM, with their delays (ms).
    fn draw_signals(&self) -> Vec<(f64, Signal)> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.selector);
        let count = rng.random_range(0..4);
        let signals = [Signal::TERM, Signal::HUP, Signal::INT];
        let draw_signal =
            |_| (rng.random_range(0.0..LATER_SIGNALS_MS), signals[rng.random_range(0..signals.len())]);
        (0..count).map(draw_signal).collect()
    }

    async fn kill(&self, fleet: &Rc<Fleet>) {
        let number = self.pick_sidecar(fleet);
        if fleet.sidecars[number].restarting.replace(true) {
            return;
        }
        fleet.kill_abruptly(number).await;
        sleep_ms(self.length_ms() / 3.0).await;
        if let Err(reason) = fleet.start(number).await {
            eprintln!("roseproxy-soak: sidecar {number} did not start: {reason}");
        }
        fleet.sidecars[number].restarting.set(false);
    }

    /// Stops and resumes a sidecar in short cycles, so that it runs for a fraction of the time only.
    async fn starve(&self, fleet: &Rc<Fleet>) {
        let (number, until) = (self.pick_sidecar(fleet), now() + self.length_ms());
        while now() < until {
            fleet.signal(number, Signal::STOP);
            sleep_ms(STARVED_STOP_MS).await;
            fleet.signal(number, Signal::CONT);
            sleep_ms(STARVED_RUN_MS).await;
        }
    }

    async fn drain(&self, fleet: &Rc<Fleet>) {
        let Some(number) = self.pick_endpoint(fleet) else { return };
        fleet.set_phase(number, "terminating").await;
        if fleet.add_endpoint(None, false).is_ok() {
            sleep_ms(100.0).await;
            fleet.publish().await;
        }
        sleep_ms(DRAIN_MS).await;
        fleet.set_phase(number, "terminated").await;
        fleet.remove_endpoint(number);
    }

    async fn take_discovery_down(&self, fleet: &Rc<Fleet>, started_at: f64) {
        let length_factor = if self.selector % 3 == 0 { LONG_OUTAGE_FACTOR } else { 1.0 };
        {
            let mut registry = fleet.registry.borrow_mut();
            (registry.down, registry.queue_while_down) = (true, self.selector / 3 % 2 == 0);
        }
        fleet.publish().await;
        sleep_ms(self.length_ms() * length_factor).await;
        fleet.registry.borrow_mut().down = false;
        fleet.publish().await;
        fleet.timeline.borrow_mut().discovery_down.push((started_at, now()));
    }

    async fn lose_zone(&self, fleet: &Rc<Fleet>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.selector);
        let in_zone = |number: usize| number as u64 % 3 == self.selector % 3;
        let lost: Vec<usize> = (0..fleet.sidecars.len())
            .filter(|number| in_zone(*number) && !fleet.sidecars[*number].restarting.replace(true))
            .collect();
        for number in &lost {
            fleet.kill_abruptly(*number).await;
        }
        let removed: Vec<usize> = {
            let registry = fleet.registry.borrow();
            let up = registry.members.iter().filter(|m| m.phase == IN_SERVICE && in_zone(m.id));
            up.map(|m| m.endpoint).collect()
        };
        sleep_ms(self.length_ms() / 3.0).await;
        for number in &removed {
            fleet.set_phase(*number, "terminated").await;
        }
        sleep_ms(rng.random_range(MIN_ZONE_OUTAGE_MS..MAX_ZONE_OUTAGE_MS)).await;
        let starting = lost.into_iter().map(|number| {
            let fleet = fleet.clone();
            spawn_local(async move {
                if let Err(reason) = fleet.start(number).await {
                    eprintln!("roseproxy-soak: sidecar {number} did not start: {reason}");
                }
                fleet.sidecars[number].restarting.set(false);
            })
        });
        let starting: Vec<_> = starting.collect();
        sleep_ms(rng.random_range(MIN_ZONE_RETURN_MS..MAX_ZONE_RETURN_MS)).await;
        for number in &removed {
            fleet.set_phase(*number, IN_SERVICE).await;
        }
        for task in starting {
            let _ = task.await;
        }
    }

    async fn crash(&self, fleet: &Rc<Fleet>) {
        let Some(number) = self.pick_endpoint(fleet) else { return };
        let Some(member) = fleet.remove_endpoint(number) else { return };
        sleep_ms(self.length_ms() / 2.0).await;
        fleet.set_phase(number, "terminated").await;
        sleep_ms(self.length_ms() / 2.0).await;
        if fleet.add_endpoint(Some(&member), false).is_ok() {
            sleep_ms(100.0).await;
            fleet.publish().await;
        }
    }

    async fn apply_misconduct(&self, fleet: &Rc<Fleet>, misconduct: Misconduct) {
        let mut behavior = EndpointBehavior::default();
        match misconduct {
            Misconduct::Hang => behavior.hang = true,
            Misconduct::Reset => behavior.reset_share = 0.3,
            Misconduct::ResetEarly => behavior.early_reset_share = 0.3,
            Misconduct::Fail => behavior.error_share = 0.5,
            Misconduct::Reject => behavior.reject_share = 0.7,
            Misconduct::Spoil => behavior.malformed_share = 0.4,
            Misconduct::Close => behavior.close_after_response = true,
            Misconduct::Slow => behavior.added_delay_ms = 400.0,
        }
        let affected: Vec<usize> = {
            let endpoints = fleet.endpoints.borrow();
            let divisor = 2 + self.selector / 64 % 3;
            endpoints.iter().map(|e| e.member.endpoint).filter(|n| *n as u64 % divisor == 0).collect()
        };
        for number in &affected {
            fleet.set_endpoint_behavior(*number, behavior).await;
        }
        sleep_ms(self.length_ms()).await;
        for number in &affected {
            fleet.set_endpoint_behavior(*number, EndpointBehavior::default()).await;
        }
    }

    /// Changes the behavior of all clients for the length of the fault.
    async fn with_client_behavior(
        &self,
        fleet: &Rc<Fleet>,
        begin: impl Fn(&mut ClientBehavior),
        end: impl Fn(&mut ClientBehavior),
    ) {
        for number in 0..fleet.sidecars.len() {
            fleet.change_client_behavior(number, &begin).await;
        }
        sleep_ms(self.length_ms()).await;
        for number in 0..fleet.sidecars.len() {
            fleet.change_client_behavior(number, &end).await;
        }
    }
}

/// Moves discovery to its other port, and has all sidecars reload a configuration with that port.
async fn reload(fleet: &Rc<Fleet>) {
    let port = fleet.registry.borrow().active_port;
    fleet.registry.borrow_mut().active_port = 1 - port;
    for number in 0..fleet.sidecars.len() {
        fleet.reload(number);
    }
    fleet.publish().await;
}

/// Makes system calls fail, or succeed again.
fn set_call_failure(fleet: &Fleet, failing: Failing, on: bool) {
    let fault = |error, rate| if on { Fault { error, rate } } else { Fault::default() };
    fleet.change_faults(|faults| match failing {
        Failing::Accept(error) => faults.accept = fault(error, 900_000),
        Failing::Socket(error) => faults.socket = fault(error, 700_000),
        Failing::Connect(error) => faults.connect = fault(error, 700_000),
        Failing::Interrupt => faults.interrupt = fault(errno::EINTR, 100_000),
        Failing::Short(error) => faults.interrupt = fault(error, 100_000),
        Failing::Shorten => faults.shorten = fault(errno::EINTR, 300_000),
        Failing::Broken(error) => faults.broken = fault(error, 20_000),
        Failing::Log(error) => faults.log = fault(error, 1_000_000),
    });
}
