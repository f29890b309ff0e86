//! Baseline strategies that replace the decision module, for comparison. They exist in this crate only.
//! Their retries are as simple as those of common load balancers: at most as many as the platform allows,
//! and never where a repeat could run an unsafe request twice.

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roseproxy_decision::interface::{
    Action, Effect, Event, GiveUpReason, Micros, Outcome, Readiness, RequestId, ServerId, Settings, Update,
};
use roseproxy_routing::decider::Decider;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The strategy that chooses the server of each attempt.
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
    /// A server drawn uniformly at random.
    Random,
    /// Smooth weighted round robin as in nginx, with the sizes in the server list as weights.
    WeightedRoundRobin,
    /// Of two random servers, the one with fewer open requests from this sidecar (Mitzenmacher 2001).
    LeastOfTwo,
    /// Hot-cold selection by probed requests in flight and latency (Prequal, Wydrowski and others 2024).
    Prequal,
    /// Knows the true state of all servers at every moment, which no real balancer can.
    AllSeeing,
}

impl Strategy {
    /// The name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// How long a unit of work would take at a server by its true state; infinite if the server takes no work.
pub type TrueServiceTime = Rc<dyn Fn(ServerId) -> f64>;

/// Most probe results that Prequal keeps.
const PREQUAL_POOL_SIZE: usize = 16;
const PREQUAL_MAX_PROBE_AGE_US: Micros = 1_000_000;
/// Servers whose requests in flight reach this quantile of the probe pool count as hot.
const PREQUAL_HOT_QUANTILE: f64 = 0.8;
const PREQUAL_PROBES_PER_REQUEST: usize = 2;
/// Timer after which the decider subscribes to the server list again.
const SUBSCRIBE_TIMER_TOKEN: u64 = 7;
const MIN_SUBSCRIBE_DELAY_US: Micros = 20_000;
/// Most random delay on top of the minimum.
const SUBSCRIBE_JITTER_US: f64 = 200_000.0;
/// Weight of a new latency in a server's moving average.
const LATENCY_GAIN: f64 = 0.1;
/// Least weight of a server, so that each has one above 0.
const MIN_WEIGHT: f64 = 0.01;

/// State of a server as a baseline strategy knows it.
#[derive(Clone, Debug, Default)]
struct ServerState {
    ready: bool,
    weight: f64,
    /// Current weight of the smooth weighted round robin.
    current_weight: f64,
    open_requests: i64,
    /// Moving average (microseconds); 0 before the first answer.
    latency: f64,
}

/// A request that has not ended.
#[derive(Debug)]
struct OpenRequest {
    class: usize,
    deadline: Micros,
    tried: Vec<ServerId>,
    may_have_run: bool,
}

/// The result of a probe.
struct Probe {
    server: ServerId,
    inflight: f64,
    at: Micros,
}

/// A decider that follows a baseline strategy.
pub struct BaselineDecider {
    strategy: Strategy,
    settings: Settings,
    rng: ChaCha8Rng,
    servers: BTreeMap<ServerId, ServerState>,
    requests: HashMap<RequestId, OpenRequest>,
    probes: Vec<Probe>,
    true_service_time: TrueServiceTime,
    now: Micros,
}

impl BaselineDecider {
    /// A decider that knows no servers yet; `true_service_time` is used by [`Strategy::AllSeeing`] only.
    pub fn new(
        strategy: Strategy,
        settings: Settings,
        seed: u64,
        true_service_time: TrueServiceTime,
    ) -> BaselineDecider {
        BaselineDecider {
            strategy,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: BTreeMap::new(),
            requests: HashMap::new(),
            probes: Vec::new(),
            true_service_time,
            now: 0,
        }
    }

    fn choose_server(&mut self, tried: &[ServerId]) -> Option<ServerId> {
        let ready: Vec<ServerId> = self.servers.iter().filter(|(_, k)| k.ready).map(|(id, _)| *id).collect();
        let untried: Vec<ServerId> = ready.iter().filter(|id| !tried.contains(id)).copied().collect();
        let candidates = if untried.is_empty() { ready } else { untried };
        if candidates.is_empty() {
            return None;
        }
        let draw = |rng: &mut ChaCha8Rng| candidates[rng.random_range(0..candidates.len())];
        Some(match self.strategy {
            Strategy::Module | Strategy::Random => draw(&mut self.rng),
            Strategy::LeastOfTwo => {
                let (a, b) = (draw(&mut self.rng), draw(&mut self.rng));
                if self.servers[&b].open_requests < self.servers[&a].open_requests {
                    b
                } else {
                    a
                }
            }
            Strategy::WeightedRoundRobin => self.smooth_round_robin(&candidates)?,
            Strategy::Prequal => self.hot_cold_choice(&candidates).unwrap_or_else(|| draw(&mut self.rng)),
            Strategy::AllSeeing => {
                let first = draw(&mut self.rng);
                let best = |best: ServerId, id: &ServerId| {
                    if (self.true_service_time)(*id) < (self.true_service_time)(best) {
                        *id
                    } else {
                        best
                    }
                };
                candidates.iter().fold(first, best)
            }
        })
    }

    fn smooth_round_robin(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        let sum: f64 = candidates.iter().map(|id| self.servers[id].weight).sum();
        for id in candidates {
            let server_state = self.servers.get_mut(id)?;
            server_state.current_weight += server_state.weight;
        }
        let best = *candidates
            .iter()
            .max_by(|a, b| self.servers[a].current_weight.total_cmp(&self.servers[b].current_weight))?;
        self.servers.get_mut(&best)?.current_weight -= sum;
        Some(best)
    }

    fn hot_cold_choice(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        let now = self.now;
        self.probes.retain(|p| now - p.at < PREQUAL_MAX_PROBE_AGE_US);
        let probed: Vec<&Probe> = self.probes.iter().filter(|p| candidates.contains(&p.server)).collect();
        let mut in_flight: Vec<f64> = probed.iter().map(|p| p.inflight).collect();
        in_flight.sort_by(f64::total_cmp);
        let limit = *in_flight.get((in_flight.len() as f64 * PREQUAL_HOT_QUANTILE) as usize)?;
        let latency = |p: &&Probe| self.servers[&p.server].latency;
        let cold =
            probed.iter().filter(|p| p.inflight < limit).min_by(|a, b| latency(a).total_cmp(&latency(b)));
        let chosen = cold.or_else(|| probed.iter().min_by(|a, b| a.inflight.total_cmp(&b.inflight)))?.server;
        // The probe result stays in the pool; the request sent now adds one to its requests in flight.
        let reused_probe = self.probes.iter_mut().find(|p| p.server == chosen);
        reused_probe.into_iter().for_each(|p| p.inflight += 1.0);
        Some(chosen)
    }

    fn send_attempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open_request) = self.requests.get(&id) else { return };
        let tried = open_request.tried.clone();
        match self.choose_server(&tried) {
            Some(server) => {
                self.servers.entry(server).and_modify(|k| k.open_requests += 1);
                self.requests.entry(id).and_modify(|h| h.tried.push(server));
                out.push(Action::Send { request: id, server, timeout: None });
            }
            None => self.refuse_or_fail(id, out),
        }
    }

    fn refuse_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open_request) = self.requests.remove(&id) else { return };
        let may_refuse =
            !open_request.may_have_run || self.settings.classes[open_request.class].effect == Effect::Safe;
        out.push(if may_refuse {
            Action::Refuse { request: id, retry_after: 0, reason: GiveUpReason::AttemptsFailed }
        } else {
            Action::Fail { request: id }
        });
    }
}

impl Decider for BaselineDecider {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Servers { update, servers } => {
                if update == Update::Complete {
                    self.servers.values_mut().for_each(|k| k.ready = false);
                }
                for server in servers {
                    let server_state = self.servers.entry(server.id).or_default();
                    server_state.ready = server.readiness == Readiness::Ready;
                    server_state.weight = server.power.max(MIN_WEIGHT);
                }
                if update == Update::Failed
                    || (self.requests.is_empty() && self.now >= 0 && update == Update::Complete)
                {
                    let after =
                        (SUBSCRIBE_JITTER_US * self.rng.random::<f64>()) as Micros + MIN_SUBSCRIBE_DELAY_US;
                    out.push(Action::SetTimer { token: SUBSCRIBE_TIMER_TOKEN, after });
                }
            }
            Event::Request(request) => {
                if self.strategy == Strategy::Prequal {
                    let ready: Vec<ServerId> =
                        self.servers.iter().filter(|(_, k)| k.ready).map(|(id, _)| *id).collect();
                    for _ in 0..PREQUAL_PROBES_PER_REQUEST.min(ready.len()) {
                        let server = ready[self.rng.random_range(0..ready.len())];
                        out.push(Action::Probe { server });
                    }
                }
                let open_request = OpenRequest {
                    class: request.class,
                    deadline: now + request.time_left,
                    tried: Vec::new(),
                    may_have_run: false,
                };
                self.requests.insert(request.id, open_request);
                self.send_attempt(request.id, out);
            }
            Event::AttemptEnded { request, server, outcome, elapsed, finished, .. } => {
                if let Some(server_state) = self.servers.get_mut(&server) {
                    server_state.open_requests -= 1;
                    if outcome == Outcome::Served {
                        let gain = if server_state.latency == 0.0 { 1.0 } else { LATENCY_GAIN };
                        server_state.latency += (elapsed as f64 - server_state.latency) * gain;
                    }
                }
                let Some(open_request) = self.requests.get_mut(&request) else { return };
                if finished || outcome == Outcome::Served {
                    self.requests.remove(&request);
                    return;
                }
                open_request.may_have_run |=
                    !matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent);
                let safe = self.settings.classes[open_request.class].effect == Effect::Safe;
                let may_retry = (safe || !open_request.may_have_run)
                    && open_request.tried.len() < self.settings.max_attempts
                    && open_request.deadline > now;
                if may_retry {
                    self.send_attempt(request, out);
                } else {
                    self.refuse_or_fail(request, out);
                }
            }
            Event::ClientLeft { request } => drop(self.requests.remove(&request)),
            Event::Timer { token: SUBSCRIBE_TIMER_TOKEN } => out.push(Action::Subscribe),
            Event::ProbeEnded { server, load, .. } => {
                if let Some(inflight) = load.and_then(|l| l.in_flight) {
                    if self.probes.len() >= PREQUAL_POOL_SIZE {
                        self.probes.remove(0);
                    }
                    self.probes.push(Probe { server, inflight, at: now });
                }
            }
            Event::StreamStarted { .. } | Event::Timer { .. } => {}
        }
    }
}
