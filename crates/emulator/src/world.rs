//! The world of a day: it starts the sidecars, lets the day happen to them, and ends with its books.

use crate::client;
use crate::day::{Effect, Tenant, TroubleKind};
use crate::discovery::{self, Registry, Said};
use crate::fabric::Fabric;
use crate::fleet::{self, Fate, Member};
use crate::http::{Answer, Wire};
use crate::ledger::{Ledger, Regret, Rule, TryEnd};
use crate::plan::{factor, hashed, Plan, TroublePlan};
use crate::rude;
use crate::server::{Phase, Server};
use serde::Serialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

/// How long a sidecar may take to become ready (ms).
const READY: f64 = 30_000.0;
/// How often the sidecars are looked at (ms).
const LOOK: f64 = 100.0;
/// How long after SIGTERM clients still come (ms), and what a kill waits beyond the longest deadline.
const STILL_COME: f64 = 300.0;
const BEFORE_KILL: f64 = 700.0;
/// How long a drained server stays at most (ms).
const DRAIN: f64 = 4_000.0;

/// What a sidecar's process is told.
#[derive(Clone, Debug)]
pub enum Signal {
    /// To end in order.
    Term,
    /// That its configuration was replaced by this.
    Reload(Value),
    /// Nothing: it ends at once.
    Kill,
}

/// Who runs the sidecars.
pub trait Sidecars {
    /// Starts one from nothing.
    fn start(&self, number: usize, config: &Value) -> Result<(), String>;
    /// Tells one.
    fn signal(&self, number: usize, signal: Signal);
    /// Whether it has ended.
    fn ended(&self, number: usize) -> bool;
    /// Descriptors that it holds, and its memory (MB), where that can be told.
    fn holds(&self, number: usize) -> (Option<usize>, Option<f64>);
}

/// Where everybody is: each sidecar reaches every party at addresses of its own.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The first port.
    pub port: u16,
}

impl Addresses {
    fn at(&self, sidecar: usize, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 16 + (sidecar >> 8) as u8, sidecar as u8, last], port))
    }

    /// A server's place, for one sidecar.
    pub fn server(&self, sidecar: usize, place: usize) -> SocketAddr {
        self.at(sidecar, 10 + (place % 240) as u8, self.port + (place / 240) as u16)
    }

    /// Discovery for one sidecar, after so many moves.
    pub fn discovery(&self, sidecar: usize, moves: usize) -> SocketAddr {
        self.at(sidecar, 1 + (moves % 8) as u8, self.port)
    }

    /// Where a sidecar listens.
    pub fn listen(&self, sidecar: usize) -> SocketAddr {
        self.at(sidecar, 9, self.port)
    }
}

/// A sidecar as its application sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Beside {
    /// Whether the application asks.
    asking: bool,
    /// Whether the process is meant to run.
    meant: bool,
    /// How often it has ended without being asked to.
    kills: u64,
    /// How often it was started.
    starts: u64,
}

/// The fleet in one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Second of the day.
    pub second: usize,
    /// Requests held by each server; negative where it is not in service.
    pub held: Vec<f64>,
    /// Servers turned slow.
    pub slow: usize,
    /// Capacity in service as a share of the whole fleet's when warm.
    pub capacity: f64,
    /// Cores idle in servers that are in service, as a share of theirs.
    pub idle: f64,
}

/// The world of a day.
pub struct World<F: Fabric> {
    /// What streams are made of.
    pub fabric: F,
    /// The day's draw.
    pub plan: Plan,
    /// Where everybody is.
    pub addresses: Addresses,
    /// The list.
    pub registry: Registry,
    /// The books.
    pub ledger: RefCell<Ledger>,
    /// Flows that were never asked for, as their application was down.
    pub unasked: RefCell<BTreeSet<usize>>,
    /// The fleet by second.
    pub samples: RefCell<Vec<Sample>>,
    origin: Instant,
    epoch: f64,
    day_start: Cell<f64>,
    /// Mean work of the day's requests.
    mean_work: f64,
    members: RefCell<Vec<Rc<Member>>>,
    beside: RefCell<Vec<Beside>>,
    kept: RefCell<Vec<Vec<Wire<F::Stream>>>>,
    /// For requests, clients hold at most a third of a sidecar's descriptors.
    places: Vec<Semaphore>,
    sidecars: Rc<dyn Sidecars>,
    draws: Cell<u64>,
    ending: Cell<bool>,
}

/// Seed of a server's own chances; `purpose` tells those of the beginning from those added later.
fn server_seed(plan: &Plan, purpose: u64, number: usize) -> u64 {
    (hashed(plan.seed, &[purpose, number as u64]) * 1e15) as u64
}

impl<F: Fabric> World<F> {
    /// A world at its beginning; `epoch` is the Unix time (ms) that its clocks show then.
    pub fn new(
        fabric: F,
        plan: Plan,
        addresses: Addresses,
        epoch: f64,
        sidecars: Rc<dyn Sidecars>,
    ) -> Rc<World<F>> {
        let mean_work = plan.arrivals.iter().map(|a| a.work).sum::<f64>() / plan.arrivals.len().max(1) as f64;
        let members = plan.servers.iter().enumerate().map(|(n, server)| {
            let model = Server::new(server.clone(), server_seed(&plan, 41, n), mean_work);
            Member::new(n, n, model)
        });
        let members: Vec<_> = members.collect();
        let count = plan.sidecars.len();
        Rc::new(World {
            fabric,
            addresses,
            registry: Registry::default(),
            ledger: RefCell::default(),
            unasked: RefCell::default(),
            samples: RefCell::default(),
            origin: Instant::now(),
            epoch,
            day_start: Cell::new(0.0),
            mean_work,
            members: RefCell::new(members),
            beside: RefCell::new(vec![Beside::default(); count]),
            kept: RefCell::new((0..count).map(|_| Vec::new()).collect()),
            places: (0..count).map(|_| Semaphore::new(plan.day.limits.sockets / 3)).collect(),
            sidecars,
            draws: Cell::new(0),
            ending: Cell::new(false),
            plan,
        })
    }

    /// The time: ms since the world began.
    pub fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1e3
    }

    /// A time as the runtime counts it; a hair later, so that it has come when it is waited for.
    pub fn instant(&self, at: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at.clamp(0.0, 1e10) / 1e3 + 1e-8)
    }

    /// Waits until a time.
    pub async fn until(&self, at: f64) {
        if at.is_infinite() {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Waits for so long (ms).
    pub async fn sleep(&self, millis: f64) {
        self.until(self.now() + millis).await;
    }

    /// A time of the day as the world's.
    pub fn day_at(&self, at: f64) -> f64 {
        self.day_start.get() + at
    }

    /// When the day began.
    pub fn day_start(&self) -> f64 {
        self.day_start.get()
    }

    /// A server.
    pub fn member(&self, number: usize) -> Rc<Member> {
        self.members.borrow()[number].clone()
    }

    /// All servers there have been.
    pub fn members(&self) -> Vec<Rc<Member>> {
        self.members.borrow().clone()
    }

    /// One way between a sidecar and a server, this time (ms).
    pub fn one_way(&self, sidecar: usize, member: &Member) -> f64 {
        let (same, cross, jitter) = self.plan.network;
        let near = self.plan.sidecars[sidecar].zone == member.model.borrow().plan.zone;
        self.draws.set(self.draws.get() + 1);
        let draw = hashed(self.plan.seed, &[42, self.draws.get()]);
        (if near { same } else { cross }) * factor(jitter, draw)
    }

    /// Share of the answers that is spoilt now.
    pub fn spoilt_share(&self, now: f64) -> f64 {
        self.active(TroubleKind::Garble, now).map(|t| t.part).sum()
    }

    fn active(&self, kind: TroubleKind, now: f64) -> impl Iterator<Item = &TroublePlan> {
        let at = now - self.day_start.get();
        self.plan.troubles.iter().filter(move |t| t.kind == kind && (t.from..t.until).contains(&at))
    }

    /// Whether a sidecar's application asks.
    pub fn sidecar_up(&self, sidecar: usize) -> bool {
        self.beside.borrow()[sidecar].asking
    }

    /// How often a sidecar has ended without being asked to.
    pub fn kills(&self, sidecar: usize) -> u64 {
        self.beside.borrow()[sidecar].kills
    }

    /// Whether what a sidecar had in hand since it had ended so often is nobody's fault: it was killed.
    pub fn excused(&self, sidecar: usize, kills: u64) -> bool {
        self.kills(sidecar) != kills || !self.sidecar_up(sidecar)
    }

    /// How often a sidecar was started.
    pub fn started(&self, sidecar: usize) -> u64 {
        self.beside.borrow()[sidecar].starts
    }

    /// The places that clients have at a sidecar, for requests.
    pub fn places(&self, sidecar: usize) -> &Semaphore {
        &self.places[sidecar]
    }

    /// A client connection that is free.
    pub fn kept(&self, sidecar: usize) -> Option<Wire<F::Stream>> {
        self.kept.borrow_mut()[sidecar].pop()
    }

    /// Keeps a client connection for the next request, as long as the application runs.
    pub fn keep(&self, sidecar: usize, wire: Wire<F::Stream>) {
        if self.sidecar_up(sidecar) {
            self.kept.borrow_mut()[sidecar].push(wire);
        }
    }

    /// What the world knows of a request that is being refused at this moment.
    pub fn regret(&self, flow: usize) -> Regret {
        let (now, arrival) = (self.now(), &self.plan.arrivals[flow]);
        let left = self.plan.class(arrival).aim_ms - (now - self.day_at(arrival.at));
        let (mut best, mut regret) = (f64::INFINITY, Regret::Nobody);
        for member in self.members.borrow().iter().filter(|m| m.in_service()) {
            member.touch(now);
            let model = member.model.borrow();
            let forecast = model.forecast(arrival.work);
            if forecast < best {
                best = forecast;
                let idle = (model.held() as f64) < model.plan.cores;
                regret = match (forecast <= left, idle) {
                    (true, true) => Regret::CoreIdle,
                    (true, false) => Regret::WouldFit,
                    (false, _) => Regret::Full,
                };
            }
        }
        regret
    }

    /// The configuration of a sidecar, in the platform's form.
    pub fn config(&self, sidecar: usize, start: u64) -> Value {
        let plan = &self.plan;
        let (day, limits) = (&plan.day, &plan.day.limits);
        let us = |ms: f64| (ms * 1e3).round() as i64;
        let (_, moves) = *self.registry.state.borrow();
        let seed = (hashed(plan.seed, &[43, sidecar as u64, start]) * (1_u64 << 53) as f64) as u64;
        let colds = plan.servers.iter().map(|s| s.cold);
        let classes: Vec<Value> = day
            .classes
            .iter()
            .map(|c| {
                let effect = match c.effect {
                    Effect::Safe => "retryable",
                    Effect::Unsafe => "fragile",
                    Effect::Keyed => "dedup",
                };
                json!({"name": c.name, "aim": us(c.aim_ms), "give_up": us(c.deadline_ms), "worth": c.worth,
                       "late_worth": 0.0, "effect": effect, "group": c.group, "window": us(c.window_ms)})
            })
            .collect();
        let of = |(tenant, quota): (&Tenant, &f64)| json!({"name": tenant.name, "quota_per_s": quota});
        let customers: Vec<Value> = day.tenants.iter().zip(&plan.quotas).map(of).collect();
        let how = if day.server.report_in_answers { "inline" } else { "on_probe" };
        json!({
            "name": plan.sidecars[sidecar].name,
            "listen": self.addresses.listen(sidecar).to_string(),
            "discovery": self.addresses.discovery(sidecar, moves).to_string(),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": discovery::told(self, sidecar, None),
            "settings": {
                "fleet_size": plan.sidecars.len(),
                "locality": day.fleet.zones[plan.sidecars[sidecar].zone],
                "discovery": "on_request",
                "request_classes": classes,
                "customers": customers,
                "over_share_worth": day.load.over_share_worth,
                "report": {"how": how, "names": ["active", "waiting", "cpu"]},
                "limits": {"probes": limits.probes, "cancel": limits.cancel,
                           "second_copies": limits.second_copies, "max_attempts": limits.max_attempts,
                           "retry_after": limits.max_retry_after_ms > 0.0,
                           "max_retry_after": us(limits.max_retry_after_ms),
                           "conn_idle": us(day.server.idle_s.low * 1e3), "connect_timeout": 250_000},
                "obligations": {"drain_grace": us(limits.drain_grace_ms), "must_ask_in": 10_000_000,
                                "grace_to_answer": 50_000, "fall_multiple": limits.fall_multiple,
                                "cold_from": colds.clone().map(|c| c.0).fold(1.0, f64::min),
                                "warm_up": us(colds.map(|c| c.1).fold(0.0, f64::max))},
                "family_info": {"warm_keys": day.load.keys.high > 0.0},
                "prices": {"probe": 0.01, "cross_zone": 0.03, "waste": 0.04, "handshake": 0.02},
                "scoring_mix": {"worst_class": 0.2},
            },
        })
    }

    fn change(&self, sidecar: usize, change: impl FnOnce(&mut Beside)) {
        change(&mut self.beside.borrow_mut()[sidecar]);
    }

    /// A call of the emulator's own to a sidecar.
    pub async fn call(&self, sidecar: usize, path: &str) -> Option<Answer> {
        let asks = async {
            let stream = self.fabric.connect(self.addresses.listen(sidecar)).await.ok()?;
            let mut wire = Wire::new(stream);
            let text = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            wire.answer().await.ok()
        };
        tokio::time::timeout(Duration::from_secs(2), asks).await.ok().flatten()
    }

    /// Starts a sidecar and waits until it is ready; then its application asks.
    async fn start(self: &Rc<Self>, sidecar: usize) -> Result<(), String> {
        let starts = self.started(sidecar);
        let config = self.config(sidecar, starts);
        self.sidecars.start(sidecar, &config)?;
        self.change(sidecar, |b| (b.meant, b.starts) = (true, starts + 1));
        let began = self.now();
        while self.now() - began < READY {
            if self.call(sidecar, "/health/ready").await.is_some_and(|a| a.status == 200) {
                self.change(sidecar, |b| b.asking = b.meant);
                return Ok(());
            }
            if self.sidecars.ended(sidecar) {
                break;
            }
            self.sleep(20.0).await;
        }
        let what = format!("not ready {:.0} ms after its start", self.now() - began);
        self.ledger.borrow_mut().broke(self.now(), Rule::NotReady, Some(sidecar), None, what);
        Ok(())
    }

    /// Kills a sidecar; its application goes with it.
    fn kill(&self, sidecar: usize) {
        self.change(sidecar, |b| {
            (b.asking, b.meant) = (false, false);
            b.kills += 1;
        });
        self.sidecars.signal(sidecar, Signal::Kill);
        self.kept.borrow_mut()[sidecar].clear();
    }

    /// A planned restart.
    async fn restart(self: &Rc<Self>, sidecar: usize) {
        if !self.sidecar_up(sidecar) {
            return;
        }
        self.change(sidecar, |b| b.meant = false);
        self.sidecars.signal(sidecar, Signal::Term);
        self.sleep(STILL_COME).await;
        self.change(sidecar, |b| b.asking = false);
        self.kept.borrow_mut()[sidecar].clear();
        let longest = self.plan.day.classes.iter().map(|c| c.deadline_ms).fold(3_000.0, f64::max);
        let kill_at = self.now() - STILL_COME + longest + BEFORE_KILL;
        while !self.sidecars.ended(sidecar) && self.now() < kill_at {
            self.sleep(20.0).await;
        }
        self.sidecars.signal(sidecar, Signal::Kill);
        self.begin_again(sidecar).await;
    }

    async fn begin_again(self: &Rc<Self>, sidecar: usize) {
        // Another trouble may have started it already.
        if self.ending.get() || !self.sidecars.ended(sidecar) {
            return;
        }
        if let Err(reason) = self.start(sidecar).await {
            self.ledger.borrow_mut().broke(self.now(), Rule::NotReady, Some(sidecar), None, reason);
        }
    }

    /// Announces something to the list: it shows there after its delay, and later while the list is stale.
    fn announce(self: &Rc<Self>, server: usize, said: Said, delay: f64) {
        let number = self.registry.announce(server);
        let world = self.clone();
        let up_since = self.epoch + self.now();
        spawn_local(async move {
            let stale: f64 = world.active(TroubleKind::Stale, world.now()).map(|t| t.size * 1e3).sum();
            world.sleep(delay + stale).await;
            if world.registry.apply(server, number, said, up_since) {
                world.ledger.borrow_mut().list_has(world.now(), server, said == Said::InService);
            }
        });
    }

    /// A server's process starts, cold.
    fn start_server(self: &Rc<Self>, member: &Rc<Member>) {
        self.draws.set(self.draws.get() + 1);
        member.start(self.now(), self.draws.get());
        self.announce(member.number, Said::InService, self.plan.discovery.add);
    }

    /// A server drains and goes.
    async fn drain(self: &Rc<Self>, member: &Rc<Member>) {
        member.with(self.now(), |m| m.phase = Phase::Draining);
        self.announce(member.number, Said::Terminating, self.plan.discovery.notice);
        let until = self.now() + DRAIN.max(self.plan.discovery.notice + 2_000.0);
        self.until(until).await;
        member.die(self.now());
        self.announce(member.number, Said::Terminated, self.plan.discovery.notice);
    }

    /// A new server with a new id, at its own address or at that of one that has gone.
    fn add_server(self: &Rc<Self>, zone: usize, place: Option<usize>) {
        let number = self.members.borrow().len();
        let plan = self.plan.replacement(number - self.plan.servers.len(), zone);
        let model = Server::new(plan, server_seed(&self.plan, 44, number), self.mean_work);
        let member = Member::new(number, place.unwrap_or(number), model);
        self.members.borrow_mut().push(member.clone());
        member.with(self.now(), |m| m.start(self.now()));
        self.serve(&member);
        self.announce(number, Said::InService, self.plan.discovery.add);
    }

    fn serve(self: &Rc<Self>, member: &Rc<Member>) {
        spawn_local(fleet::keep_going(self.clone(), member.clone()));
        for sidecar in 0..self.plan.sidecars.len() {
            spawn_local(fleet::listen(self.clone(), member.clone(), sidecar));
        }
    }

    /// Plays one trouble.
    async fn trouble(self: Rc<Self>, number: usize) {
        let trouble = self.plan.troubles[number].clone();
        self.until(self.day_at(trouble.from)).await;
        let until = self.day_at(trouble.until);
        let some = ((trouble.order.len() as f64 * trouble.part).ceil() as usize).min(trouble.order.len());
        let met = &trouble.order[..some];
        let draw = |n: u64| hashed(self.plan.seed, &[45, number as u64, n]);
        match trouble.kind {
            // They lie in the arrivals, the answers and the list.
            TroubleKind::Burst | TroubleKind::Garble | TroubleKind::Stale => {}
            TroubleKind::Pauses => {
                let mut round = 0;
                while self.now() < until {
                    for server in met {
                        let now = self.now();
                        self.member(*server).with(now, |m| m.pause(now + trouble.size));
                    }
                    round += 1;
                    self.sleep(800.0 + 1_200.0 * draw(round)).await;
                }
            }
            TroubleKind::Slow => {
                let slow = |by: f64| {
                    met.iter().for_each(|s| self.member(*s).with(self.now(), |m| m.slowed = by));
                };
                slow(trouble.size.max(1.0));
                self.until(until).await;
                slow(1.0);
            }
            TroubleKind::ZoneLoss => {
                let all = self.members();
                let lost = all.into_iter().filter(|m| m.model.borrow().plan.zone == trouble.zone).collect();
                self.lose(&trouble, lost, until).await;
            }
            TroubleKind::Vanish => {
                let lost = met.iter().map(|s| self.member(*s)).collect();
                self.lose(&trouble, lost, until).await;
            }
            TroubleKind::Shrink => {
                let step = (trouble.until - trouble.from) / met.len().max(1) as f64;
                for server in met {
                    let (world, member) = (self.clone(), self.member(*server));
                    spawn_local(async move { world.drain(&member).await });
                    self.sleep(step).await;
                }
            }
            TroubleKind::DiscoveryDown => {
                let (_, moves) = *self.registry.state.borrow();
                self.registry.state.send_replace((false, moves));
                self.until(until).await;
                self.registry.state.send_replace((true, moves));
            }
            TroubleKind::Churn => self.churn(&trouble, until).await,
            TroubleKind::Rude => {
                for sidecar in met {
                    spawn_local(rude::annoy(self.clone(), *sidecar, trouble.size, until));
                }
            }
            TroubleKind::Reload => {
                let times = trouble.size.max(1.0) as usize;
                let step = (trouble.until - trouble.from) / times as f64;
                for _ in 0..times {
                    let (runs, moves) = *self.registry.state.borrow();
                    self.registry.state.send_replace((runs, moves + 1));
                    for sidecar in 0..self.plan.sidecars.len() {
                        if self.sidecar_up(sidecar) {
                            let config = self.config(sidecar, self.started(sidecar));
                            self.sidecars.signal(sidecar, Signal::Reload(config));
                        }
                    }
                    self.sleep(step).await;
                }
            }
            TroubleKind::Restart => {
                for sidecar in met {
                    self.restart(*sidecar).await;
                }
            }
            TroubleKind::Kill => {
                for sidecar in met.iter().filter(|s| self.sidecar_up(**s)) {
                    let (world, sidecar, after) = (self.clone(), *sidecar, trouble.size * 1e3);
                    world.kill(sidecar);
                    spawn_local(async move {
                        world.sleep(after).await;
                        world.begin_again(sidecar).await;
                    });
                    self.sleep((trouble.until - trouble.from) / met.len().max(1) as f64).await;
                }
            }
            TroubleKind::ServersRestart => {
                let members = self.members();
                let up: Vec<_> = members.iter().filter(|m| m.in_service()).cloned().collect();
                up.iter().for_each(|m| m.die(self.now()));
                self.sleep(1_000.0).await;
                up.iter().for_each(|m| self.start_server(m));
            }
        }
    }

    /// Servers go silent or are reset; with a zone its sidecars may go too. All come back cold.
    async fn lose(self: &Rc<Self>, trouble: &TroublePlan, lost: Vec<Rc<Member>>, until: f64) {
        let lost: Vec<_> = lost.into_iter().filter(|m| m.in_service()).collect();
        for member in &lost {
            if trouble.silent {
                member.fate.send_replace(Fate::Cut);
            } else {
                member.die(self.now());
            }
            self.announce(member.number, Said::Terminated, self.plan.discovery.silent_notice);
        }
        let beside = (0..self.plan.sidecars.len()).filter(|s| {
            trouble.sidecars && self.plan.sidecars[*s].zone == trouble.zone && self.sidecar_up(*s)
        });
        let beside: Vec<usize> = beside.collect();
        beside.iter().for_each(|s| self.kill(*s));
        self.until(until).await;
        for member in &lost {
            // What was cut off has started anew meanwhile.
            member.die(self.now());
            self.start_server(member);
        }
        for sidecar in beside {
            let world = self.clone();
            spawn_local(async move { world.begin_again(sidecar).await });
        }
    }

    async fn churn(self: &Rc<Self>, trouble: &TroublePlan, until: f64) {
        let step = 60_000.0 / trouble.size.max(0.1);
        let mut round = 0;
        while self.now() + step < until {
            let up: Vec<_> = self.members().into_iter().filter(|m| m.in_service()).collect();
            let Some(oldest) = up.first().cloned() else { return };
            let zone = oldest.model.borrow().plan.zone;
            let same_place = round % 2 == 1;
            let world = self.clone();
            spawn_local(async move {
                if !same_place {
                    world.add_server(zone, None);
                }
                world.drain(&oldest).await;
                if same_place {
                    world.add_server(zone, Some(oldest.place));
                }
            });
            round += 1;
            self.sleep(step).await;
        }
    }

    /// Looks at the sidecars: whether they run, and what they hold.
    async fn watch(self: Rc<Self>) {
        let limits = self.plan.day.limits.clone();
        loop {
            self.sleep(LOOK).await;
            for sidecar in 0..self.plan.sidecars.len() {
                let (descriptors, memory) = self.sidecars.holds(sidecar);
                if let Some(held) = descriptors {
                    self.ledger.borrow_mut().holds(self.now(), sidecar, held, limits.sockets);
                }
                if memory.is_some_and(|mb| mb > limits.memory_mb) {
                    let what = format!("{:.1} of {} MB", memory.unwrap_or(0.0), limits.memory_mb);
                    self.ledger.borrow_mut().broke(self.now(), Rule::Memory, Some(sidecar), None, what);
                }
                let meant = self.beside.borrow()[sidecar].meant;
                if meant && self.sidecars.ended(sidecar) {
                    self.ledger.borrow_mut().broke(
                        self.now(),
                        Rule::Crash,
                        Some(sidecar),
                        None,
                        "it ended".into(),
                    );
                    self.kill(sidecar);
                }
            }
        }
    }

    /// Takes a sample each second of the day.
    async fn sample(self: Rc<Self>) {
        let whole = self.plan.capacity();
        for second in 0.. {
            self.until(self.day_at(second as f64 * 1e3 + 500.0)).await;
            let mut sample = Sample { second, ..Sample::default() };
            let (mut cores, mut idle) = (0.0, 0.0);
            for member in self.members() {
                member.touch(self.now());
                let up = member.in_service();
                let model = member.model.borrow();
                let held = model.held() as f64;
                sample.held.push(if up { held } else { -1.0 });
                if up {
                    sample.slow += usize::from(model.slow());
                    sample.capacity += model.capacity() / whole;
                    cores += model.plan.cores;
                    idle += (model.plan.cores - held).max(0.0);
                }
            }
            sample.idle = if cores > 0.0 { idle / cores } else { 0.0 };
            self.samples.borrow_mut().push(sample);
        }
    }

    /// Holds the sidecars' books against the emulator's.
    async fn compare_books(self: &Rc<Self>) {
        let faults = |sidecar: usize, text: &str| -> Vec<String> {
            let count = |name: &str| {
                let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
                line.and_then(|v| v.trim().parse::<u64>().ok()).unwrap_or(0)
            };
            let ledger = self.ledger.borrow();
            let mine =
                ledger.tries.iter().filter(|t| self.plan.arrivals[t.flow].sidecar == sidecar && t.taken);
            let (mut taken, mut served, mut refused) = (0, 0, 0);
            for one in mine {
                taken += 1;
                served += u64::from(one.end == TryEnd::Served);
                refused += u64::from(matches!(one.end, TryEnd::Refused(_)));
            }
            let pairs = [("flows_taken", taken), ("flows_served", served), ("flows_refused", refused)];
            let differ = pairs.into_iter().filter(|(name, books)| count(name) != *books);
            differ.map(|(name, books)| format!("{name} {} there, {books} here", count(name))).collect()
        };
        for sidecar in 0..self.plan.sidecars.len() {
            if self.started(sidecar) != 1 || !self.sidecar_up(sidecar) {
                continue;
            }
            let Some(answer) = self.call(sidecar, "/health/counters").await else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            for what in faults(sidecar, &text) {
                self.ledger.borrow_mut().broke(self.now(), Rule::Books, Some(sidecar), None, what);
            }
        }
    }

    /// Plays the day to its end. The error says why it could not begin.
    pub async fn play(self: &Rc<Self>) -> Result<(), String> {
        let members = self.members();
        self.registry.begin(&members);
        members.iter().for_each(|member| self.serve(member));
        for sidecar in 0..self.plan.sidecars.len() {
            spawn_local(discovery::listen(self.clone(), sidecar));
        }
        tokio::task::yield_now().await;
        let starting: Vec<JoinHandle<Result<(), String>>> = (0..self.plan.sidecars.len())
            .map(|sidecar| {
                let world = self.clone();
                spawn_local(async move { world.start(sidecar).await })
            })
            .collect();
        for one in starting {
            one.await.map_err(|e| e.to_string())??;
        }
        self.day_start.set(self.now() + 50.0);
        let watch = spawn_local(self.clone().watch());
        let sample = spawn_local(self.clone().sample());
        let troubles: Vec<_> =
            (0..self.plan.troubles.len()).map(|t| spawn_local(self.clone().trouble(t))).collect();
        self.until(self.day_start.get()).await;
        client::ask(self.clone()).await;
        self.ending.set(true);
        let longest = self.plan.day.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        self.until(self.day_at(self.plan.day.length_s * 1e3 + longest)).await;
        sample.abort();
        self.compare_books().await;
        watch.abort();
        troubles.iter().for_each(|t| t.abort());
        (0..self.plan.sidecars.len()).for_each(|s| self.change(s, |b| b.meant = false));
        Ok(())
    }
}
