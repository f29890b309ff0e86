//! The faults of a run: drawn by its seed, two or three at a time.

use crate::control::{ClientConduct, EndpointConduct};
use crate::fleet::{sleep, Fleet, IN_SERVICE};
use crate::records::now;
use crate::shim::{errno, Fault};
use crate::timeline::Played;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Lengths of faults (s).
const LENGTHS: (f64, f64) = (0.4, 3.0);
/// Time between the begins of faults (s): with these lengths two or three overlap.
const PAUSES: (f64, f64) = (0.4, 1.0);
/// How long a draining endpoint stays (ms).
const DRAIN: f64 = 4_000.0;
/// How long a zone's sidecars are away, and how long after their return its endpoints come back (ms). What left counts as
/// told meanwhile.
const ZONE_AWAY: (f64, f64) = (6_500.0, 9_000.0);
const ZONE_BACK: (f64, f64) = (2_000.0, 5_000.0);
/// How much longer some absences of discovery are than other faults.
const LONG_ABSENCE: f64 = 3.0;
/// How long a process is held up (ms): the platform allows 150, and telling it to go on takes a moment too.
const STALL: f64 = 100.0;

/// How long a configuration is half written at most (ms): less than a start waits for the rest.
const HALF_WRITTEN: f64 = 600.0;
/// New configurations in a series, and the time between them (ms).
const RELOADS: usize = 4;
const RELOAD_PAUSE: f64 = 30.0;
/// How long after SIGTERM further signals come (ms).
const SERIES: f64 = 1_500.0;
/// Connections of a crowd: up to so many at each sidecar, more than it has places for.
const CROWD: u64 = 160;
/// How many times the usual requests come in a burst.
const BURST: f64 = 4.0;
/// How long a starved sidecar stands still and runs in turn (ms): a tenth of a core.
const STARVED: (f64, f64) = (18.0, 2.0);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A sidecar is ended in order and started again.
    Restart,
    /// A sidecar is killed without a word and started again.
    Kill,
    /// Signals in a series: new configurations one behind the other.
    ReloadSeries,
    /// Connections on which nothing is asked take the places.
    Crowd,
    /// A burst of requests.
    Burst,
    /// A sidecar gets a part of a core only.
    Starve,
    /// Discovery moves: all sidecars get a new configuration.
    Reload,
    /// The same, while the configuration cannot be opened.
    ReloadUnreadable,
    /// The same, while the configuration is half written.
    ReloadHalfWritten,
    /// A sidecar's process stands still for a moment.
    Stall,
    /// A third of the sidecars are killed and a third of the endpoints leave the list; both come back as they were.
    ZoneLoss,
    /// An endpoint drains and goes; a new one comes in its place.
    Drain,
    /// An endpoint's process dies; it starts again, cold.
    Crash,
    /// Endpoints misbehave.
    Endpoints(Misconduct),
    /// Discovery is down, and closes connections or lets calls wait.
    DiscoveryDown,
    /// All open watches fall silent.
    Silence,
    /// Clients leave early.
    Leave,
    /// Clients write slowly and open connections anew.
    Slow,
    /// Clients send what is no request.
    Misbehave,
    /// System calls of the sidecars fail.
    Calls(Failing),
    /// The wall clock of the sidecars is stepped by so many seconds.
    WallStep(i64),
}

/// How endpoints misbehave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misconduct {
    /// They answer nothing.
    Hang,
    /// They reset connections behind requests.
    Reset,
    /// They reset connections before requests.
    ResetEarly,
    /// They fail.
    Fail,
    /// They turn work away.
    Reject,
    /// They spoil answers.
    Spoil,
    /// They close each connection.
    Close,
    /// They are slow.
    Slow,
}

/// Which system calls fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failing {
    /// Accepting, with this error.
    Accept(u32),
    /// Making sockets, with this error.
    Socket(u32),
    /// Connecting, with this error.
    Connect(u32),
    /// Reads, writes and waits are interrupted.
    Interrupt,
    /// Reads and writes fail for want of something, with this error.
    Short(u32),
    /// Reads and writes take a part.
    Shorten,
    /// Connections to endpoints and discovery break, with this error.
    Broken(u32),
    /// Writing the log, with this error.
    Log(u32),
}

/// All kinds, the ones that cross most often more than once.
const KINDS: &[Kind] = &[
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

/// A fault that is to be played.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When it begins, from the begin of the run (s).
    pub at: f64,
    /// How long it lasts (s).
    pub length: f64,
    /// What it is.
    pub kind: Kind,
    /// Says which sidecars and endpoints it meets.
    pub draw: u64,
}

/// Draws the faults of a run of this length (s).
pub fn plan(random: &mut ChaCha8Rng, length: f64) -> Vec<Planned> {
    let mut plan = Vec::new();
    let mut at = 1.0;
    while at < length {
        let kind = KINDS.choose(random).copied().unwrap_or(Kind::Leave);
        let long = random.random_range(LENGTHS.0..LENGTHS.1);
        plan.push(Planned { at, length: long, kind, draw: random.random() });
        at += random.random_range(PAUSES.0..PAUSES.1);
    }
    plan
}

impl Planned {
    /// Plays it from its begin to its end.
    pub async fn play(self, fleet: Rc<Fleet>, began: f64) {
        sleep(began + self.at * 1e3 - now()).await;
        let from = now();
        match self.kind {
            Kind::Restart => self.restart(&fleet).await,
            Kind::Kill => self.kill(&fleet).await,
            Kind::ReloadSeries => {
                for _ in 0..RELOADS {
                    reload(&fleet).await;
                    sleep(RELOAD_PAUSE).await;
                }
            }
            Kind::Crowd => {
                let crowd = (self.draw / 64 % CROWD) as usize;
                self.clients(&fleet, |c| c.crowd = crowd, |c| c.crowd = 0).await
            }
            Kind::Burst => self.clients(&fleet, |c| c.rate *= BURST, |c| c.rate /= BURST).await,
            Kind::Starve => self.starve(&fleet).await,
            Kind::Reload => reload(&fleet).await,
            Kind::ReloadUnreadable => {
                fleet.change_faults(|f| f.config = Fault { error: errno::EMFILE, rate: 1_000_000 });
                reload(&fleet).await;
                sleep(self.millis().min(1_000.0)).await;
                fleet.change_faults(|f| f.config = Fault::default());
            }
            Kind::ReloadHalfWritten => {
                fleet.half_written.set(true);
                reload(&fleet).await;
                sleep(self.millis().min(HALF_WRITTEN)).await;
                fleet.half_written.set(false);
                (0..fleet.sidecars.len()).for_each(|number| fleet.complete_config(number));
            }
            Kind::Stall => {
                let sidecar = self.sidecar(&fleet);
                fleet.signal(sidecar, Signal::STOP);
                sleep(STALL).await;
                fleet.signal(sidecar, Signal::CONT);
            }
            Kind::Drain => self.drain(&fleet).await,
            Kind::Crash => self.crash(&fleet).await,
            Kind::Endpoints(misconduct) => self.misconduct(&fleet, misconduct).await,
            Kind::DiscoveryDown => self.discovery_down(&fleet, from).await,
            Kind::ZoneLoss => self.zone_loss(&fleet).await,
            Kind::Silence => {
                fleet.registry.borrow_mut().silences += 1;
                fleet.publish().await;
            }
            Kind::Leave => {
                self.clients(
                    &fleet,
                    |c| (c.leaves, c.trails) = (0.5, 0.3),
                    |c| (c.leaves, c.trails) = (0.0, 0.0),
                )
                .await
            }
            Kind::Slow => {
                self.clients(
                    &fleet,
                    |c| (c.slow, c.reconnects) = (0.3, 0.5),
                    |c| (c.slow, c.reconnects) = (0.0, 0.0),
                )
                .await
            }
            Kind::Misbehave => self.clients(&fleet, |c| c.misbehaves = 30.0, |c| c.misbehaves = 0.0).await,
            Kind::Calls(failing) => {
                fail(&fleet, failing, true);
                sleep(self.millis()).await;
                fail(&fleet, failing, false);
            }
            Kind::WallStep(seconds) => fleet.change_faults(|f| f.wall_offset_ns = seconds * 1_000_000_000),
        }
        let what = format!("{:?}", self.kind);
        fleet.timeline.borrow_mut().faults.push(Played { from, until: now(), what });
    }

    fn millis(&self) -> f64 {
        self.length * 1e3
    }

    fn sidecar(&self, fleet: &Fleet) -> usize {
        (self.draw % fleet.sidecars.len() as u64) as usize
    }

    /// The number of an endpoint in service.
    fn endpoint(&self, fleet: &Fleet) -> Option<usize> {
        let registry = fleet.registry.borrow();
        let up: Vec<usize> =
            registry.members.iter().filter(|m| m.phase == IN_SERVICE).map(|m| m.endpoint).collect();
        // Never the last ones: the fleet has to serve.
        (up.len() > 3).then(|| up[(self.draw / 64 % up.len() as u64) as usize])
    }

    async fn restart(&self, fleet: &Rc<Fleet>) {
        let number = self.sidecar(fleet);
        if fleet.sidecars[number].busy.replace(true) {
            return;
        }
        fleet.stop(number, &self.series()).await;
        if let Err(reason) = fleet.start(number).await {
            eprintln!("roseproxy-soak: sidecar {number}: {reason}");
        }
        fleet.sidecars[number].busy.set(false);
    }

    /// Signals that come after SIGTERM: up to three.
    fn series(&self) -> Vec<(f64, Signal)> {
        let mut random = ChaCha8Rng::seed_from_u64(self.draw);
        let count = random.random_range(0..4);
        let signals = [Signal::TERM, Signal::HUP, Signal::INT];
        let one = |_| (random.random_range(0.0..SERIES), signals[random.random_range(0..signals.len())]);
        (0..count).map(one).collect()
    }

    async fn kill(&self, fleet: &Rc<Fleet>) {
        let number = self.sidecar(fleet);
        if fleet.sidecars[number].busy.replace(true) {
            return;
        }
        fleet.kill_outright(number).await;
        sleep(self.millis() / 3.0).await;
        if let Err(reason) = fleet.start(number).await {
            eprintln!("roseproxy-soak: sidecar {number}: {reason}");
        }
        fleet.sidecars[number].busy.set(false);
    }

    /// Has a sidecar run for a part of the time only, in slices that are short.
    async fn starve(&self, fleet: &Rc<Fleet>) {
        let (number, until) = (self.sidecar(fleet), now() + self.millis());
        while now() < until {
            fleet.signal(number, Signal::STOP);
            sleep(STARVED.0).await;
            fleet.signal(number, Signal::CONT);
            sleep(STARVED.1).await;
        }
    }

    async fn drain(&self, fleet: &Rc<Fleet>) {
        let Some(number) = self.endpoint(fleet) else { return };
        fleet.announce(number, "terminating").await;
        if fleet.add_endpoint(None, false).is_ok() {
            sleep(100.0).await;
            fleet.publish().await;
        }
        sleep(DRAIN).await;
        fleet.announce(number, "terminated").await;
        fleet.remove_endpoint(number);
    }

    async fn discovery_down(&self, fleet: &Rc<Fleet>, from: f64) {
        let longer = if self.draw % 3 == 0 { LONG_ABSENCE } else { 1.0 };
        {
            let mut registry = fleet.registry.borrow_mut();
            (registry.down, registry.queues) = (true, self.draw / 3 % 2 == 0);
        }
        fleet.publish().await;
        sleep(self.millis() * longer).await;
        fleet.registry.borrow_mut().down = false;
        fleet.publish().await;
        fleet.timeline.borrow_mut().discovery_down.push((from, now()));
    }

    async fn zone_loss(&self, fleet: &Rc<Fleet>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.draw);
        let in_zone = |number: usize| number as u64 % 3 == self.draw % 3;
        let lost: Vec<usize> = (0..fleet.sidecars.len())
            .filter(|number| in_zone(*number) && !fleet.sidecars[*number].busy.replace(true))
            .collect();
        for number in &lost {
            fleet.kill_outright(*number).await;
        }
        let gone: Vec<usize> = {
            let registry = fleet.registry.borrow();
            let up = registry.members.iter().filter(|m| m.phase == IN_SERVICE && in_zone(m.id));
            up.map(|m| m.endpoint).collect()
        };
        sleep(self.millis() / 3.0).await;
        for number in &gone {
            fleet.announce(*number, "terminated").await;
        }
        sleep(random.random_range(ZONE_AWAY.0..ZONE_AWAY.1)).await;
        let starting = lost.into_iter().map(|number| {
            let fleet = fleet.clone();
            spawn_local(async move {
                if let Err(reason) = fleet.start(number).await {
                    eprintln!("roseproxy-soak: sidecar {number}: {reason}");
                }
                fleet.sidecars[number].busy.set(false);
            })
        });
        let starting: Vec<_> = starting.collect();
        sleep(random.random_range(ZONE_BACK.0..ZONE_BACK.1)).await;
        for number in &gone {
            fleet.announce(*number, IN_SERVICE).await;
        }
        for one in starting {
            let _ = one.await;
        }
    }

    async fn crash(&self, fleet: &Rc<Fleet>) {
        let Some(number) = self.endpoint(fleet) else { return };
        let Some(member) = fleet.remove_endpoint(number) else { return };
        sleep(self.millis() / 2.0).await;
        fleet.announce(number, "terminated").await;
        sleep(self.millis() / 2.0).await;
        if fleet.add_endpoint(Some(&member), false).is_ok() {
            sleep(100.0).await;
            fleet.publish().await;
        }
    }

    async fn misconduct(&self, fleet: &Rc<Fleet>, misconduct: Misconduct) {
        let mut conduct = EndpointConduct::default();
        match misconduct {
            Misconduct::Hang => conduct.hangs = true,
            Misconduct::Reset => conduct.resets = 0.3,
            Misconduct::ResetEarly => conduct.resets_early = 0.3,
            Misconduct::Fail => conduct.fails = 0.5,
            Misconduct::Reject => conduct.rejects = 0.7,
            Misconduct::Spoil => conduct.spoils = 0.4,
            Misconduct::Close => conduct.closes = true,
            Misconduct::Slow => conduct.slow = 400.0,
        }
        let met: Vec<usize> = {
            let endpoints = fleet.endpoints.borrow();
            let every = 2 + self.draw / 64 % 3;
            endpoints.iter().map(|e| e.member.endpoint).filter(|n| *n as u64 % every == 0).collect()
        };
        for number in &met {
            fleet.conduct(*number, conduct).await;
        }
        sleep(self.millis()).await;
        for number in &met {
            fleet.conduct(*number, EndpointConduct::default()).await;
        }
    }

    async fn clients(
        &self,
        fleet: &Rc<Fleet>,
        begin: impl Fn(&mut ClientConduct),
        end: impl Fn(&mut ClientConduct),
    ) {
        for number in 0..fleet.sidecars.len() {
            fleet.ask(number, &begin).await;
        }
        sleep(self.millis()).await;
        for number in 0..fleet.sidecars.len() {
            fleet.ask(number, &end).await;
        }
    }
}

/// Moves discovery, and has all sidecars read where to.
async fn reload(fleet: &Rc<Fleet>) {
    let port = fleet.registry.borrow().port;
    fleet.registry.borrow_mut().port = 1 - port;
    for number in 0..fleet.sidecars.len() {
        fleet.reload(number);
    }
    fleet.publish().await;
}

/// Has calls fail, or succeed again.
fn fail(fleet: &Fleet, failing: Failing, on: bool) {
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
