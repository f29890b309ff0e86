//! A simulation of a fleet of sidecars in front of config servers that start cold. The hosts are those of the
//! program; the servers and the time are simulated. Tests use it to find cold servers that get more requests than the
//! settings allow.

use super::config_with;
use roseproxy_decision::interface::{Load, Outcome, Readiness, ServerId, Settings, Update};
use roseproxy_routing::flow::{Answer, ForwardEnd, ForwardId, NewFlow, Order, ProbeEnd, Target};
use roseproxy_routing::Host;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::net::SocketAddr;

/// Network delay of a message from one machine to another.
const NETWORK_DELAY_MS: f64 = 0.3;
/// Mean work of a request, as core time.
const MEAN_WORK_MS: f64 = 40.0;
/// Cores of a server.
const CORES: usize = 4;
/// Requests that wait at a server at most.
const QUEUE_LIMIT: usize = 120;
/// Actual speeds of the servers relative to the size on the list, which is the same for all of them and only
/// approximate.
const RELATIVE_SPEEDS: [f64; 5] = [1.0, 0.6, 1.4, 0.8, 1.2];
/// Number of keys; the n-th key gets 1/n as many requests as the first.
const KEY_COUNT: usize = 300;
/// Timeout of a client.
const CLIENT_TIMEOUT_MS: f64 = 1_500.0;
/// Window over which the requests of a cold server are counted and limited.
const LOAD_WINDOW_MS: f64 = 1_500.0;
/// Time on the simulated clock when a simulation begins.
const EPOCH_MS: f64 = 1e9;

/// A random number generator (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws from the uniform distribution on [0, 1).
    fn uniform(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws a key by Zipf's law.
    fn key(&mut self) -> u64 {
        let weight = |key: usize| 1.0 / key as f64;
        let mut remainder = self.uniform() * (1..=KEY_COUNT).map(weight).sum::<f64>();
        let drawn = (1..=KEY_COUNT).find(|key| {
            remainder -= weight(*key);
            remainder < 0.0
        });
        (drawn.unwrap_or(KEY_COUNT) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    /// Draws from the exponential distribution with this mean.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

/// How servers warm up and how much load they can take meanwhile, as in the settings.
#[derive(Clone, Copy)]
pub struct Ramp {
    pub cold_from: f64,
    /// Duration (ms).
    pub warm_up: f64,
    pub fall_multiple: f64,
}

impl Ramp {
    /// Share of its full capacity that a server has at this age (ms).
    fn capacity_share(&self, age: f64) -> f64 {
        self.cold_from + (1.0 - self.cold_from) * (age / self.warm_up).min(1.0)
    }

    /// Requests within the window that a server of this age (ms) and speed can take. The terms with a square root
    /// allow for random variation.
    fn request_limit(&self, age: f64, speed: f64) -> f64 {
        let allowed = self.fall_multiple * speed * self.capacity_share(age) * CORES as f64 * LOAD_WINDOW_MS
            / MEAN_WORK_MS;
        if allowed < 30.0 {
            return allowed + 3.0 * allowed.sqrt() + 3.0;
        }
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// A config server. It serves as many requests at a time as it has cores, and rejects requests while its queue is
/// full.
pub struct Server {
    pub target: Target,
    speed: f64,
    pub up: bool,
    /// Time at which each core becomes free.
    free_at: [f64; CORES],
    in_flight: usize,
    /// Arrival times of the requests within the window, while the server is cold.
    recent_requests: VecDeque<f64>,
    cold_requests: usize,
    /// Highest ratio of the requests within the window to the limit.
    peak_load_ratio: f64,
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
        let recent_requests = VecDeque::new();
        Server {
            target,
            speed: RELATIVE_SPEEDS[number as usize % RELATIVE_SPEEDS.len()],
            up: true,
            free_at: [0.0; CORES],
            in_flight: 0,
            recent_requests,
            cold_requests: 0,
            peak_load_ratio: 0.0,
        }
    }

    pub fn restart(&mut self, now: f64) {
        self.target.started_at = Some(now);
        (self.up, self.free_at, self.in_flight) = (true, [now; CORES], 0);
    }

    /// Accepts a request and returns the time at which it will have been served, or `None` if it is rejected.
    fn accept(&mut self, now: f64, work: f64, ramp: Ramp) -> Option<f64> {
        let age = self.target.started_at.map_or(f64::INFINITY, |at| now - at);
        if age < ramp.warm_up {
            // Rejected requests count as well.
            self.cold_requests += 1;
            self.recent_requests.push_back(now);
            while self.recent_requests.front().is_some_and(|at| now - at > LOAD_WINDOW_MS) {
                self.recent_requests.pop_front();
            }
            self.peak_load_ratio = self
                .peak_load_ratio
                .max(self.recent_requests.len() as f64 / ramp.request_limit(age, self.speed));
        }
        if self.in_flight >= CORES + QUEUE_LIMIT {
            return None;
        }
        self.in_flight += 1;
        let core = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        *core = core.max(now) + work / (self.speed * ramp.capacity_share(age));
        Some(*core)
    }

    /// The load that the server reports: the number of waiting requests.
    fn load(&self) -> Load {
        Load { waiting: Some(self.in_flight.saturating_sub(CORES) as f64), ..Load::default() }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Request,
    Served { host: usize, id: ForwardId, server: ServerId },
    Lost { host: usize, id: ForwardId, outcome: Outcome },
    Probed { host: usize, server: ServerId },
}

/// Events in order of time; events at the same time in the order in which they were added.
#[derive(Default)]
struct Schedule {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_number: u64,
}

impl Schedule {
    fn add(&mut self, at: f64, event: Event) {
        self.last_number += 1;
        // Microseconds are the resolution of the program's own time.
        self.heap.push(Reverse(((at * 1000.0) as u64, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    fn next_at(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1000.0)
    }

    fn pop(&mut self) -> Option<Event> {
        let Reverse((_, number)) = self.heap.pop()?;
        self.events.remove(&number)
    }
}

/// A simulation of sidecars, servers, and the requests between them.
pub struct Simulation {
    pub now: f64,
    ramp: Ramp,
    random: Random,
    hosts: Vec<Host>,
    pub servers: BTreeMap<ServerId, Server>,
    schedule: Schedule,
    /// Attempts that have not ended, by the index of their host.
    open_attempts: HashSet<(usize, ForwardId)>,
    /// Mean time between requests (ms).
    pub interval: f64,
    pub served: usize,
    pub refused: usize,
}

impl Simulation {
    /// Starts with warm servers only; `load` is the share of their capacity that the requests need.
    pub fn new(settings: &Settings, ramp: Ramp, seed: u64, servers: u64, load: f64) -> Simulation {
        let hosts = 0..settings.sidecars as u64;
        let hosts =
            hosts.map(|number| Host::new(settings.clone(), seed * 1_000 + number, EPOCH_MS)).collect();
        let servers = (0..servers).map(Server::new).map(|server| (server.target.id, server));
        let servers: BTreeMap<ServerId, Server> = servers.collect();
        let interval = MEAN_WORK_MS / (load * (servers.len() * CORES) as f64);
        let mut simulation = Simulation {
            now: EPOCH_MS,
            ramp,
            random: Random(seed),
            hosts,
            servers,
            schedule: Schedule::default(),
            open_attempts: HashSet::new(),
            interval,
            served: 0,
            refused: 0,
        };
        simulation.publish_list(Update::Complete);
        simulation.schedule.add(EPOCH_MS, Event::Request);
        simulation
    }

    /// Gives every sidecar the present list.
    pub fn publish_list(&mut self, update: Update) {
        let targets: Vec<Target> = self.servers.values().map(|server| server.target.clone()).collect();
        for host in 0..self.hosts.len() {
            self.hosts[host].targets(self.now, update, &targets);
            self.execute_orders(host);
        }
    }

    /// Adds servers with these numbers, which start now.
    pub fn add_cold_servers(&mut self, numbers: std::ops::Range<u64>) {
        for mut server in numbers.map(Server::new) {
            server.restart(self.now);
            self.servers.insert(server.target.id, server);
        }
    }

    /// Runs until this time after the beginning (ms).
    pub fn run(&mut self, until: f64) {
        let until = EPOCH_MS + until;
        loop {
            let due =
                self.hosts.iter().enumerate().filter_map(|(index, host)| Some((host.next_due()?, index)));
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
                    self.execute_orders(host);
                }
                None => self.handle_next_event(),
            }
        }
        self.now = until;
    }

    /// Takes the next event from the schedule and handles it.
    fn handle_next_event(&mut self) {
        let Some(event) = self.schedule.pop() else { return };
        match event {
            Event::Request => self.send_request(),
            Event::Served { host, id, server } => {
                self.release(server);
                self.end_attempt(host, id, ForwardEnd::Served(bytes::Bytes::from_static(b"priced")));
            }
            Event::Lost { host, id, outcome } => self.end_attempt(host, id, ForwardEnd::Lost(outcome)),
            Event::Probed { host, server } => {
                let load = self.servers.get(&server).filter(|s| s.up).map(Server::load);
                let outcome = if load.is_some() { Outcome::Served } else { Outcome::Unreachable };
                self.hosts[host].probe_ended(self.now, server, ProbeEnd { outcome, load });
                self.execute_orders(host);
            }
        }
    }

    /// Handles a request of a client. One sidecar in five gets three times as many requests as the others.
    fn send_request(&mut self) {
        let next = self.now + self.random.exponential(self.interval);
        self.schedule.add(next, Event::Request);
        let count = self.hosts.len();
        let busy = count / 5;
        let draw = (self.random.uniform() * (count + 2 * busy) as f64) as usize;
        let host = if draw < count { draw } else { (draw - count) % busy };
        let key = self.random.key();
        let new = NewFlow { class: 0, tenant: None, key: Some(key), time_left: CLIENT_TIMEOUT_MS };
        self.hosts[host].take_in(self.now, new);
        self.execute_orders(host);
    }

    /// Removes a served request from its server.
    fn release(&mut self, server: ServerId) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Reports the end of an attempt to its host, unless the host has given it up.
    fn end_attempt(&mut self, host: usize, id: ForwardId, end: ForwardEnd) {
        if self.open_attempts.remove(&(host, id)) {
            self.hosts[host].forward_ended(self.now, id, end, None);
            self.execute_orders(host);
        }
    }

    /// Executes all pending orders of a host.
    fn execute_orders(&mut self, host: usize) {
        while let Some(order) = self.hosts[host].next_order() {
            match order {
                Order::Forward { id, target, .. } => self.start_attempt(host, id, target),
                Order::GiveUp(id) => drop(self.open_attempts.remove(&(host, id))),
                Order::Answer(_, Answer::Served(_)) => self.served += 1,
                Order::Answer(..) => self.refused += 1,
                Order::Probe(server, _) => {
                    self.schedule.add(self.now + 2.0 * NETWORK_DELAY_MS, Event::Probed { host, server });
                }
                Order::GiveUpProbe(_) | Order::CloseIdle(_) | Order::Watch => {}
            }
        }
    }

    /// Simulates an attempt from a host to a server.
    fn start_attempt(&mut self, host: usize, id: ForwardId, target: ServerId) {
        self.open_attempts.insert((host, id));
        if self.hosts[host].begin_write(self.now, id).is_none() {
            return self.end_attempt(host, id, ForwardEnd::Lost(Outcome::NotSent));
        }
        let work = MEAN_WORK_MS * (0.5 + self.random.uniform());
        let (arrives, returns) = (self.now + NETWORK_DELAY_MS, self.now + 2.0 * NETWORK_DELAY_MS);
        let server = self.servers.get_mut(&target).filter(|server| server.up);
        let event = match server.map(|server| server.accept(arrives, work, self.ramp)) {
            Some(Some(served)) => (served + NETWORK_DELAY_MS, Event::Served { host, id, server: target }),
            Some(None) => (returns, Event::Lost { host, id, outcome: Outcome::Rejected }),
            None => (returns, Event::Lost { host, id, outcome: Outcome::Unreachable }),
        };
        self.schedule.add(event.0, event.1);
    }

    /// The highest ratio of requests to the limit of any cold server, and the fewest requests that any server got
    /// while it was cold.
    pub fn cold_server_load(&self) -> (f64, usize) {
        let cold = || self.servers.values().filter(|server| server.target.started_at.is_some());
        let worst = cold().map(|server| server.peak_load_ratio).fold(0.0, f64::max);
        (worst, cold().map(|server| server.cold_requests).min().unwrap_or(0))
    }
}

/// Ramps of actual deployments.
pub const RAMPS: [Ramp; 4] = [
    Ramp { cold_from: 0.12, warm_up: 23_000.0, fall_multiple: 2.0 },
    Ramp { cold_from: 0.12, warm_up: 10_000.0, fall_multiple: 4.0 },
    Ramp { cold_from: 0.16, warm_up: 10_000.0, fall_multiple: 3.0 },
    Ramp { cold_from: 0.31, warm_up: 10_000.0, fall_multiple: 2.5 },
];

/// The settings of a fleet whose servers have this ramp.
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
