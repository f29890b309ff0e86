//! Sidecars before config servers that start cold: the hosts are those of the program; the servers and the time are
//! simulated.

use super::config_with;
use roseproxy_decision::interface::{Load, Outcome, Readiness, ServerId, Settings, Update};
use roseproxy_routing::flow::{Answer, ForwardEnd, ForwardId, NewFlow, Order, ProbeEnd, Target};
use roseproxy_routing::Host;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Time of a message from one machine to another (ms).
const TRIP: f64 = 0.3;
/// Mean work of a request, in time of a core (ms).
const WORK: f64 = 40.0;
/// Cores of a server, and requests that wait there at most.
const CORES: usize = 4;
const QUEUE: usize = 120;
/// What servers can do, compared with what the list says of all of them, which is rough.
const SPEEDS: [f64; 5] = [1.0, 0.6, 1.4, 0.8, 1.2];
/// Keys that requests are about; the n-th is asked for a n-th as often as the first.
const KEYS: usize = 300;
/// How long a client waits (ms).
const PATIENCE: f64 = 1_500.0;
/// The time in which a cold server may get so much and no more (ms).
const WINDOW: f64 = 1_500.0;
/// What the clock says when a scene begins (ms).
const EPOCH: f64 = 1e9;

/// A stream of random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// From 0 to 1.
    fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A key, by Zipf's law.
    fn key(&mut self) -> u64 {
        let weight = |key: usize| 1.0 / key as f64;
        let mut at = self.uniform() * (1..=KEYS).map(weight).sum::<f64>();
        let drawn = (1..=KEYS).find(|key| {
            at -= weight(*key);
            at < 0.0
        });
        (drawn.unwrap_or(KEYS) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// From an exponential distribution with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

/// How servers warm up and what they bear meanwhile, as the settings say.
#[derive(Clone, Copy)]
pub struct Ramp {
    pub cold_from: f64,
    pub warm_up: f64,
    pub fall_multiple: f64,
}

impl Ramp {
    /// Share of its capacity that a server has that started so long ago.
    fn warmth(&self, age: f64) -> f64 {
        self.cold_from + (1.0 - self.cold_from) * (age / self.warm_up).min(1.0)
    }

    /// Requests that one of this age and speed bears within the window, chance included.
    fn most(&self, age: f64, speed: f64) -> f64 {
        let allowed = self.fall_multiple * speed * self.warmth(age) * CORES as f64 * WINDOW / WORK;
        if allowed < 30.0 {
            return allowed + 3.0 * allowed.sqrt() + 3.0;
        }
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// A config server, which serves as many requests at a time as it has cores and turns away what finds its queue full.
pub struct Server {
    pub target: Target,
    speed: f64,
    pub up: bool,
    /// When each core is free.
    free_at: [f64; CORES],
    holds: usize,
    /// When requests came within the window, while it is cold.
    lately: VecDeque<f64>,
    cold_requests: usize,
    /// The most that it got of what it may get.
    worst: f64,
}

impl Server {
    fn new(number: u64) -> Server {
        let target = Target {
            id: ServerId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16)),
            zone: number as u32 % 3,
            cell: number as u32 % 3,
            kind: 1,
            power: 1.0,
            started_at: None,
            readiness: Readiness::Ready,
        };
        let lately = VecDeque::new();
        Server {
            target,
            speed: SPEEDS[number as usize % SPEEDS.len()],
            up: true,
            free_at: [0.0; CORES],
            holds: 0,
            lately,
            cold_requests: 0,
            worst: 0.0,
        }
    }

    pub fn restart(&mut self, now: f64) {
        self.target.started_at = Some(now);
        (self.up, self.free_at, self.holds) = (true, [now; CORES], 0);
    }

    /// Takes a request; returns when it will have been served, or `None` where it is turned away.
    fn take(&mut self, now: f64, work: f64, ramp: Ramp) -> Option<f64> {
        let age = self.target.started_at.map_or(f64::INFINITY, |at| now - at);
        if age < ramp.warm_up {
            // What it turns away counts too.
            self.cold_requests += 1;
            self.lately.push_back(now);
            while self.lately.front().is_some_and(|at| now - at > WINDOW) {
                self.lately.pop_front();
            }
            self.worst = self.worst.max(self.lately.len() as f64 / ramp.most(age, self.speed));
        }
        if self.holds >= CORES + QUEUE {
            return None;
        }
        self.holds += 1;
        let core = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        *core = core.max(now) + work / (self.speed * ramp.warmth(age));
        Some(*core)
    }

    /// What it says of its load: the requests that wait.
    fn load(&self) -> Load {
        Load { waiting: Some(self.holds.saturating_sub(CORES) as f64), ..Load::default() }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Request,
    Served { host: usize, id: ForwardId, server: ServerId },
    Lost { host: usize, id: ForwardId, outcome: Outcome },
    Probed { host: usize, server: ServerId },
}

/// Events in order of time; equal times in the order they were set.
#[derive(Default)]
struct Schedule {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last: u64,
}

impl Schedule {
    fn set(&mut self, at: f64, event: Event) {
        self.last += 1;
        // Microseconds are as fine as the program's own time.
        self.heap.push(Reverse(((at * 1000.0) as u64, self.last)));
        self.events.insert(self.last, event);
    }

    fn next_at(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1000.0)
    }

    fn take(&mut self) -> Option<Event> {
        let Reverse((_, number)) = self.heap.pop()?;
        self.events.remove(&number)
    }
}

/// Sidecars, servers, and the requests between them.
pub struct Simulation {
    pub now: f64,
    ramp: Ramp,
    random: Random,
    hosts: Vec<Host>,
    pub servers: BTreeMap<ServerId, Server>,
    schedule: Schedule,
    /// Attempts that are out.
    out: HashSet<(usize, ForwardId)>,
    /// Mean time between requests (ms).
    pub interval: f64,
    pub served: usize,
    pub refused: usize,
}

impl Simulation {
    /// So many warm servers, loaded to this share of what they can do.
    pub fn new(settings: &Settings, ramp: Ramp, seed: u64, servers: u64, load: f64) -> Simulation {
        let hosts = 0..settings.balancers as u64;
        let hosts = hosts.map(|number| Host::new(settings.clone(), seed * 1_000 + number, EPOCH)).collect();
        let servers = (0..servers).map(Server::new).map(|server| (server.target.id, server));
        let servers: BTreeMap<ServerId, Server> = servers.collect();
        let interval = WORK / (load * (servers.len() * CORES) as f64);
        let mut simulation = Simulation {
            now: EPOCH,
            ramp,
            random: Random(seed),
            hosts,
            servers,
            schedule: Schedule::default(),
            out: HashSet::new(),
            interval,
            served: 0,
            refused: 0,
        };
        simulation.tell(Update::Complete);
        simulation.schedule.set(EPOCH, Event::Request);
        simulation
    }

    /// Tells every sidecar the whole list as it is now.
    pub fn tell(&mut self, update: Update) {
        let targets: Vec<Target> = self.servers.values().map(|server| server.target.clone()).collect();
        for host in 0..self.hosts.len() {
            self.hosts[host].update_targets(self.now, update, &targets);
            self.settle(host);
        }
    }

    /// New servers, which start now.
    pub fn join(&mut self, numbers: std::ops::Range<u64>) {
        for mut server in numbers.map(Server::new) {
            server.restart(self.now);
            self.servers.insert(server.target.id, server);
        }
    }

    /// Runs until so long after the beginning.
    pub fn run(&mut self, until: f64) {
        let until = EPOCH + until;
        loop {
            let due = self.hosts.iter().enumerate().filter_map(|(i, host)| Some((host.next_timer()?, i)));
            let due = due.min_by(|a, b| a.0.total_cmp(&b.0));
            let next = self.schedule.next_at();
            let tick = due.filter(|(at, _)| *at <= next);
            let at = tick.map_or(next, |(at, _)| at);
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            match tick {
                Some((_, host)) => {
                    self.hosts[host].tick(self.now);
                    self.settle(host);
                }
                None => self.happen(),
            }
        }
        self.now = until;
    }

    fn happen(&mut self) {
        let Some(event) = self.schedule.take() else { return };
        match event {
            Event::Request => self.request(),
            Event::Served { host, id, server } => {
                self.release(server);
                self.end(host, id, ForwardEnd::Served(bytes::Bytes::from_static(b"priced")));
            }
            Event::Lost { host, id, outcome } => self.end(host, id, ForwardEnd::Failed(outcome)),
            Event::Probed { host, server } => {
                let load = self.servers.get(&server).filter(|s| s.up).map(Server::load);
                let outcome = if load.is_some() { Outcome::Served } else { Outcome::Unreachable };
                self.hosts[host].probe_ended(self.now, server, ProbeEnd { outcome, load });
                self.settle(host);
            }
        }
    }

    /// A client asks. One sidecar of five sees three times as much as the others.
    fn request(&mut self) {
        let next = self.now + self.random.exponential(self.interval);
        self.schedule.set(next, Event::Request);
        let count = self.hosts.len();
        let busy = count / 5;
        let draw = (self.random.uniform() * (count + 2 * busy) as f64) as usize;
        let host = if draw < count { draw } else { (draw - count) % busy };
        let key = self.random.key();
        let new = NewFlow { class: 0, tenant: None, key: Some(key), time_left: PATIENCE };
        self.hosts[host].accept_request(self.now, new);
        self.settle(host);
    }

    /// A server is done with a request.
    fn release(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.holds = server.holds.saturating_sub(1);
        }
    }

    fn end(&mut self, host: usize, id: ForwardId, end: ForwardEnd) {
        if self.out.remove(&(host, id)) {
            self.hosts[host].forward_ended(self.now, id, end, None);
            self.settle(host);
        }
    }

    /// Carries out what a host has ordered.
    fn settle(&mut self, host: usize) {
        while let Some(order) = self.hosts[host].next_order() {
            match order {
                Order::Forward { id, target, .. } => self.forward(host, id, target),
                Order::GiveUp(id) => drop(self.out.remove(&(host, id))),
                Order::Answer(_, Answer::Served(_)) => self.served += 1,
                Order::Answer(..) => self.refused += 1,
                Order::Probe(server, _) => {
                    self.schedule.set(self.now + 2.0 * TRIP, Event::Probed { host, server });
                }
                Order::GiveUpProbe(_) | Order::CloseIdle(_) | Order::Watch => {}
            }
        }
    }

    fn forward(&mut self, host: usize, id: ForwardId, target: ServerId) {
        self.out.insert((host, id));
        if self.hosts[host].begin_write(self.now, id).is_none() {
            return self.end(host, id, ForwardEnd::Failed(Outcome::NotSent));
        }
        let work = WORK * (0.5 + self.random.uniform());
        let (arrives, returns) = (self.now + TRIP, self.now + 2.0 * TRIP);
        let server = self.servers.get_mut(&target).filter(|server| server.up);
        let event = match server.map(|server| server.take(arrives, work, self.ramp)) {
            Some(Some(served)) => (served + TRIP, Event::Served { host, id, server: target }),
            Some(None) => (returns, Event::Lost { host, id, outcome: Outcome::Rejected }),
            None => (returns, Event::Lost { host, id, outcome: Outcome::Unreachable }),
        };
        self.schedule.set(event.0, event.1);
    }

    /// The most that a cold server got of what it may get, and the fewest requests that one got while cold.
    pub fn cold(&self) -> (f64, usize) {
        let cold = || self.servers.values().filter(|server| server.target.started_at.is_some());
        let worst = cold().map(|server| server.worst).fold(0.0, f64::max);
        (worst, cold().map(|server| server.cold_requests).min().unwrap_or(0))
    }
}

/// The figures of ramps that deployments have.
pub const RAMPS: [Ramp; 4] = [
    Ramp { cold_from: 0.12, warm_up: 23_000.0, fall_multiple: 2.0 },
    Ramp { cold_from: 0.12, warm_up: 10_000.0, fall_multiple: 4.0 },
    Ramp { cold_from: 0.16, warm_up: 10_000.0, fall_multiple: 3.0 },
    Ramp { cold_from: 0.31, warm_up: 10_000.0, fall_multiple: 2.5 },
];

/// Settings of a fleet with this ramp.
pub fn settings(ramp: Ramp, sidecars: usize, warm_keys: bool) -> Settings {
    let config = config_with(|s| {
        s["discovery"] = json!("pushed");
        s["fleet_size"] = json!(sidecars);
        s["family_info"] = json!({ "warm_keys": warm_keys });
        s["prices"] = json!({"probe": 0.08, "cross_zone": 0.01});
        s["limits"]["second_copies"] = json!(false);
        s["obligations"]["cold_from"] = json!(ramp.cold_from);
        s["obligations"]["warm_up"] = json!((ramp.warm_up * 1000.0) as i64);
        s["obligations"]["fall_multiple"] = json!(ramp.fall_multiple);
        s["report"]["names"] = json!(["waiting"]);
        for class in s["request_classes"].as_array_mut().expect("classes") {
            class["aim"] = json!(400_000);
            class["give_up"] = json!(2_000_000);
        }
    });
    config.settings
}
