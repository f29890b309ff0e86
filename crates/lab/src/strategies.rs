//! Yardsticks: other ways to choose, in the place of the decision module. They live in the laboratory
//! alone, and try again as simply as such balancers do: at most as often as the platform allows, and
//! never where a repeat could run an unsafe request twice.

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roseproxy_decision::interface::{
    Action, Effect, Event, GiveUpReason, Micros, Outcome, Readiness, RequestId, ServerId, Settings, Update,
};
use roseproxy_routing::decide::Decider;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Who decides.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    ValueEnum,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// The decision module.
    #[default]
    Module,
    /// A server drawn evenly.
    Random,
    /// Turns by the sizes that the list states, smoothly interleaved as nginx does it.
    WeightedRoundRobin,
    /// The one with fewer own requests open of two drawn (Mitzenmacher 2001).
    LeastOfTwo,
    /// Probing of requests in flight and latency, hot and cold (Prequal, Wydrowski and others 2024).
    Prequal,
    /// Sees the true state of all servers at every moment, which no real one can.
    AllSeeing,
}

impl Strategy {
    /// Its name, as on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// How long a unit of work would take at a server, by its true state; infinite where it takes none.
pub type Truth = Rc<dyn Fn(ServerId) -> f64>;

/// Probes kept by the Prequal kind, their longest age, and the share of them that counts as hot.
const POOL: usize = 16;
const PROBE_AGE: Micros = 1_000_000;
const HOT: f64 = 0.8;
/// Probes that a request sends there.
const PROBES: usize = 2;
const LIST: u64 = 7;

#[derive(Clone, Debug, Default)]
struct Known {
    ready: bool,
    weight: f64,
    /// Smooth turn of the weighted round robin.
    turn: f64,
    open: i64,
    latency: f64,
}

#[derive(Debug)]
struct Held {
    class: usize,
    deadline: Micros,
    tried: Vec<ServerId>,
    may_have_run: bool,
}

struct Probe {
    server: ServerId,
    inflight: f64,
    at: Micros,
}

/// A yardstick.
pub struct Yardstick {
    strategy: Strategy,
    settings: Settings,
    rng: ChaCha8Rng,
    servers: BTreeMap<ServerId, Known>,
    requests: HashMap<RequestId, Held>,
    probes: Vec<Probe>,
    truth: Truth,
    now: Micros,
}

impl Yardstick {
    pub fn new(strategy: Strategy, settings: Settings, seed: u64, truth: Truth) -> Yardstick {
        Yardstick {
            strategy,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            requests: HashMap::new(),
            probes: Vec::new(),
            truth,
            now: 0,
        }
    }

    fn choose(&mut self, tried: &[ServerId]) -> Option<ServerId> {
        let ready: Vec<ServerId> = self.servers.iter().filter(|(_, k)| k.ready).map(|(id, _)| *id).collect();
        let fresh: Vec<ServerId> = ready.iter().filter(|id| !tried.contains(id)).copied().collect();
        let among = if fresh.is_empty() { ready } else { fresh };
        if among.is_empty() {
            return None;
        }
        let draw = |rng: &mut ChaCha8Rng| among[rng.random_range(0..among.len())];
        Some(match self.strategy {
            Strategy::Module | Strategy::Random => draw(&mut self.rng),
            Strategy::LeastOfTwo => {
                let (a, b) = (draw(&mut self.rng), draw(&mut self.rng));
                if self.servers[&b].open < self.servers[&a].open {
                    b
                } else {
                    a
                }
            }
            Strategy::WeightedRoundRobin => self.turn(&among)?,
            Strategy::Prequal => self.hot_cold(&among).unwrap_or_else(|| draw(&mut self.rng)),
            Strategy::AllSeeing => {
                let first = draw(&mut self.rng);
                let best = |best: ServerId, id: &ServerId| {
                    if (self.truth)(*id) < (self.truth)(best) {
                        *id
                    } else {
                        best
                    }
                };
                among.iter().fold(first, best)
            }
        })
    }

    fn turn(&mut self, among: &[ServerId]) -> Option<ServerId> {
        let sum: f64 = among.iter().map(|id| self.servers[id].weight).sum();
        for id in among {
            let known = self.servers.get_mut(id)?;
            known.turn += known.weight;
        }
        let best = *among.iter().max_by(|a, b| self.servers[a].turn.total_cmp(&self.servers[b].turn))?;
        self.servers.get_mut(&best)?.turn -= sum;
        Some(best)
    }

    fn hot_cold(&mut self, among: &[ServerId]) -> Option<ServerId> {
        let now = self.now;
        self.probes.retain(|p| now - p.at < PROBE_AGE);
        let fit: Vec<&Probe> = self.probes.iter().filter(|p| among.contains(&p.server)).collect();
        let mut flights: Vec<f64> = fit.iter().map(|p| p.inflight).collect();
        flights.sort_by(f64::total_cmp);
        let limit = *flights.get((flights.len() as f64 * HOT) as usize)?;
        let latency = |p: &&Probe| self.servers[&p.server].latency;
        let cold = fit.iter().filter(|p| p.inflight < limit).min_by(|a, b| latency(a).total_cmp(&latency(b)));
        let chosen = cold.or_else(|| fit.iter().min_by(|a, b| a.inflight.total_cmp(&b.inflight)))?.server;
        // Each use makes a figure older: one more is in flight there now.
        let used = self.probes.iter_mut().find(|p| p.server == chosen);
        used.into_iter().for_each(|p| p.inflight += 1.0);
        Some(chosen)
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let tried = held.tried.clone();
        match self.choose(&tried) {
            Some(server) => {
                self.servers.entry(server).and_modify(|k| k.open += 1);
                self.requests.entry(id).and_modify(|h| h.tried.push(server));
                out.push(Action::Send { request: id, server, timeout: None });
            }
            None => self.finish(id, out),
        }
    }

    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.remove(&id) else { return };
        let harmless = !held.may_have_run || self.settings.classes[held.class].effect == Effect::Safe;
        out.push(if harmless {
            Action::Refuse { request: id, retry_after: 0, reason: GiveUpReason::AttemptsFailed }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Decider for Yardstick {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Servers { update, servers } => {
                if update == Update::Complete {
                    self.servers.values_mut().for_each(|k| k.ready = false);
                }
                for s in servers {
                    let known = self.servers.entry(s.id).or_default();
                    known.ready = s.readiness == Readiness::Ready;
                    known.weight = s.power.max(0.01);
                }
                if update == Update::Failed
                    || (self.requests.is_empty() && self.now >= 0 && update == Update::Complete)
                {
                    let after = (200_000.0 * self.rng.random::<f64>()) as Micros + 20_000;
                    out.push(Action::SetTimer { token: LIST, after });
                }
            }
            Event::Request(request) => {
                if self.strategy == Strategy::Prequal {
                    let ready: Vec<ServerId> =
                        self.servers.iter().filter(|(_, k)| k.ready).map(|(id, _)| *id).collect();
                    for _ in 0..PROBES.min(ready.len()) {
                        let server = ready[self.rng.random_range(0..ready.len())];
                        out.push(Action::Probe { server });
                    }
                }
                let held = Held {
                    class: request.class,
                    deadline: now + request.time_left,
                    tried: Vec::new(),
                    may_have_run: false,
                };
                self.requests.insert(request.id, held);
                self.send(request.id, out);
            }
            Event::AttemptEnded { request, server, outcome, elapsed, finished, .. } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.open -= 1;
                    if outcome == Outcome::Served {
                        let gain = if known.latency == 0.0 { 1.0 } else { 0.1 };
                        known.latency += (elapsed as f64 - known.latency) * gain;
                    }
                }
                let Some(held) = self.requests.get_mut(&request) else { return };
                if finished || outcome == Outcome::Served {
                    self.requests.remove(&request);
                    return;
                }
                held.may_have_run |=
                    !matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent);
                let safe = self.settings.classes[held.class].effect == Effect::Safe;
                let again = (safe || !held.may_have_run)
                    && held.tried.len() < self.settings.max_attempts
                    && held.deadline > now;
                if again {
                    self.send(request, out);
                } else {
                    self.finish(request, out);
                }
            }
            Event::ClientLeft { request } => drop(self.requests.remove(&request)),
            Event::Timer { token: LIST } => out.push(Action::Subscribe),
            Event::ProbeEnded { server, load, .. } => {
                if let Some(inflight) = load.and_then(|l| l.in_flight) {
                    if self.probes.len() >= POOL {
                        self.probes.remove(0);
                    }
                    self.probes.push(Probe { server, inflight, at: now });
                }
            }
            Event::StreamStarted { .. } | Event::Timer { .. } => {}
        }
    }
}
