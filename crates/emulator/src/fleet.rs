//! Config servers on streams: the model of [`crate::server`] behind HTTP/1.1.

use crate::fabric::Fabric;
use crate::http::{answer_bytes, Request, Unread, Wire};
use crate::ledger::{AttemptEnd, Place, Rule};
use crate::plan::{factor, hashed};
use crate::server::{Done, Job, Phase, Server, TurnedAway};
use crate::spoil;
use crate::world::World;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;

/// What the network makes of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It can be reached; the number counts its starts.
    Up(u64),
    /// It is gone: connections are reset, new ones refused.
    Down,
    /// It is cut off: connections are silent, new ones never come up.
    Cut,
}

/// A server with what others need of it.
pub struct Member {
    /// Its number.
    pub number: usize,
    /// The number of its address; one that replaces another may have that one's.
    pub place: usize,
    /// The model.
    pub model: RefCell<Server>,
    /// What the network makes of it.
    pub fate: watch::Sender<Fate>,
    wake: Notify,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Done>>>,
    jobs: Cell<u64>,
}

impl Member {
    /// A member from its model.
    pub fn new(number: usize, place: usize, model: Server) -> Rc<Member> {
        Rc::new(Member {
            number,
            place,
            model: RefCell::new(model),
            fate: watch::channel(Fate::Up(0)).0,
            wake: Notify::new(),
            waiting: RefCell::default(),
            jobs: Cell::new(0),
        })
    }

    /// Lets the model work until now, and tells who waits for what has ended.
    pub fn touch(&self, now: f64) {
        let mut done = Vec::new();
        self.model.borrow_mut().advance(now, &mut done);
        for one in done {
            if let Some(waits) = self.waiting.borrow_mut().remove(&one.id) {
                // Who waited may have gone; the work was done all the same.
                let _ = waits.send(one);
            }
        }
    }

    /// What it says of its load, as probes and answers bring it.
    fn report<F: Fabric>(&self, world: &World<F>) -> String {
        let now = world.now();
        let draw = hashed(world.plan.seed, &[11, self.number as u64, now as u64]);
        let report = self.with(now, |m| m.report(draw));
        format!("TEXT inflight={}, queue={}, util={:.2}", report.inflight, report.queue, report.util)
    }

    /// Touches the model and changes it.
    pub fn with<T>(&self, now: f64, change: impl FnOnce(&mut Server) -> T) -> T {
        self.touch(now);
        let result = change(&mut self.model.borrow_mut());
        self.wake.notify_one();
        result
    }

    fn begin(
        &self,
        now: f64,
        job: impl FnOnce(u64) -> Job,
    ) -> Result<(u64, oneshot::Receiver<Done>), TurnedAway> {
        self.jobs.set(self.jobs.get() + 1);
        let id = self.jobs.get();
        self.with(now, |m| m.offer(job(id)))?;
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        Ok((id, receiver))
    }

    /// Its process ends at once: what it held is lost, its connections are reset.
    pub fn die(&self, now: f64) {
        self.with(now, |m| m.stop());
        self.waiting.borrow_mut().clear();
        self.fate.send_replace(Fate::Down);
    }

    /// Its process starts anew, cold.
    pub fn start(&self, now: f64, start: u64) {
        self.with(now, |m| m.start(now));
        self.fate.send_replace(Fate::Up(start));
    }

    /// Whether it takes work and can be reached.
    pub fn in_service(&self) -> bool {
        matches!(*self.fate.borrow(), Fate::Up(_)) && self.model.borrow().phase == Phase::Up
    }
}

/// Keeps a server's model going.
pub async fn keep_going<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>) {
    loop {
        let next = member.model.borrow().next();
        tokio::select! {
            biased;
            () = member.wake.notified() => {}
            () = world.until(next) => {}
        }
        member.touch(world.now());
    }
}

/// Listens for one sidecar at a server's address, as the server's fate allows.
pub async fn listen<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>, sidecar: usize) {
    let address = world.addresses.server(sidecar, member.place);
    let mut fate = member.fate.subscribe();
    loop {
        let now = *fate.borrow_and_update();
        match now {
            Fate::Up(_) => match world.fabric.bind(address).await {
                Ok(listener) => loop {
                    tokio::select! {
                        biased;
                        _ = fate.changed() => break,
                        stream = world.fabric.accept(&listener) => {
                            let Ok(stream) = stream else { continue };
                            spawn_local(connection(world.clone(), member.clone(), sidecar, stream));
                        }
                    }
                },
                // The one before at this address is not quite gone.
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            },
            Fate::Down => drop(fate.changed().await),
            Fate::Cut => {
                let _mute = world.fabric.mute(address).await;
                let _ = fate.changed().await;
            }
        }
    }
}

/// One place in a server's table of connections.
struct Seat(Rc<Member>, Option<f64>);

impl Drop for Seat {
    fn drop(&mut self) {
        let mut model = self.0.model.borrow_mut();
        // A process that has started since has a table of its own.
        if model.started() == self.1 {
            model.conns = model.conns.saturating_sub(1);
        }
    }
}

async fn connection<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>, sidecar: usize, stream: F::Stream) {
    let mut fate = member.fate.subscribe();
    let (crowded, started) = member.with(world.now(), |m| {
        m.conns += 1;
        m.chore(m.plan.handshake.0);
        (m.conns > m.plan.conns.0, m.started())
    });
    let seat = Seat(member.clone(), started);
    *world.ledger.borrow_mut().connections.entry(member.number).or_default() += 1;
    let mut wire = Wire::new(stream);
    let ended = tokio::select! {
        biased;
        _ = fate.changed() => false,
        () = converse(&world, &member, sidecar, crowded, &mut wire) => true,
    };
    if !ended {
        // Cut off it says nothing until that ends; then, as at a death, it is reset.
        while *fate.borrow_and_update() == Fate::Cut {
            if fate.changed().await.is_err() {
                break;
            }
        }
        world.fabric.reset(wire.stream);
    }
    drop(seat);
}

async fn converse<F: Fabric>(
    world: &Rc<World<F>>,
    member: &Rc<Member>,
    sidecar: usize,
    crowded: bool,
    wire: &mut Wire<F::Stream>,
) {
    let (idle, rtts) = {
        let model = member.model.borrow();
        (model.plan.idle, model.plan.handshake.1)
    };
    let mut fresh = true;
    loop {
        if !wire.ahead() {
            let more = tokio::time::timeout(Duration::from_secs_f64(idle / 1e3), wire.more()).await;
            if !matches!(more, Ok(Ok(true))) {
                return;
            }
        }
        let came = world.now();
        let request = match wire.request().await {
            Ok(request) => request,
            Err(Unread::Garbled(_)) => {
                let _ = wire.write(&answer_bytes(400, &[("connection", "close".into())], b"")).await;
                return;
            }
            Err(_) => return,
        };
        let way = world.one_way(sidecar, member);
        let handshake = if fresh { 2.0 * rtts * way } else { 0.0 };
        fresh = false;
        world.sleep(way + handshake).await;
        let path = request.path.split('?').next().unwrap_or_default();
        let goes_on = match path {
            "/stats" | "/health/live" => probe(world, member, wire, way, path == "/stats").await,
            _ => order(world, member, sidecar, crowded, &request, came, wire, way).await,
        };
        if !goes_on {
            return;
        }
    }
}

/// Answers a probe; false where the connection ends.
async fn probe<F: Fabric>(
    world: &Rc<World<F>>,
    member: &Rc<Member>,
    wire: &mut Wire<F::Stream>,
    way: f64,
    stats: bool,
) -> bool {
    *world.ledger.borrow_mut().probes.entry(member.number).or_default() += 1;
    if !world.plan.day.limits.probes {
        return wire.write(&answer_bytes(404, &[], b"")).await.is_ok();
    }
    let (work, most, deep) = member.model.borrow().plan.probe;
    let full = member.with(world.now(), |m| {
        m.probing += 1;
        m.chore(work);
        m.probing > most
    });
    if deep && !full {
        let begun = member.begin(world.now(), |id| Job { id, work, key: None, error: false });
        if let Ok((_, done)) = begun {
            let _ = done.await;
        }
    } else {
        // It runs beside the queue, but not while the whole machine stands still.
        let paused = member.model.borrow().next();
        if member.model.borrow().paused() {
            world.until(paused).await;
        }
    }
    member.with(world.now(), |m| m.probing -= 1);
    let text = member.report(world);
    world.sleep(way).await;
    let answer = match (full, stats) {
        (true, _) => answer_bytes(503, &[], b""),
        (false, true) => answer_bytes(200, &[], text.as_bytes()),
        (false, false) => answer_bytes(200, &[], b"ok"),
    };
    wire.write(&answer).await.is_ok()
}

/// Ends an attempt as cut where its connection's task is dropped: by a death or a cut.
struct Open<F: Fabric> {
    world: Rc<World<F>>,
    attempt: (usize, usize),
}

impl<F: Fabric> Drop for Open<F> {
    fn drop(&mut self) {
        let now = self.world.now();
        self.world.ledger.borrow_mut().attempt_ended(now, self.attempt, AttemptEnd::Cut);
    }
}

/// Answers a request; false where the connection ends.
#[allow(clippy::too_many_arguments)] // one message with its surroundings
async fn order<F: Fabric>(
    world: &Rc<World<F>>,
    member: &Rc<Member>,
    sidecar: usize,
    crowded: bool,
    request: &Request,
    came: f64,
    wire: &mut Wire<F::Stream>,
    way: f64,
) -> bool {
    let id = request.header("request-id").and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some(id) = id else {
        return wire.write(&answer_bytes(404, &[], b"no id\n")).await.is_ok();
    };
    let now = world.now();
    let plan = &world.plan;
    let attempt =
        world.ledger.borrow_mut().attempt(plan, id, sidecar, (member.number, member.place), came, now);
    let Some(attempt) = attempt else {
        return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
    };
    let open = Open { world: world.clone(), attempt };
    let flow = world.ledger.borrow().tries[attempt.0].flow;
    let key = plan.key_of(flow);
    if key.is_some() && request.header("idempotency-key") != key.as_deref() {
        let what = format!("id {id:016x} without the key that its client sent");
        world.ledger.borrow_mut().broke(now, Rule::Unknown, Some(sidecar), Some(flow), what);
        return wire.write(&answer_bytes(400, &[], b"nobody asked that\n")).await.is_ok();
    }
    let arrival = &plan.arrivals[flow];
    let draws = |what: u64| hashed(plan.seed, &[what, id, attempt.1 as u64]);
    let noise =
        plan.day.classes[arrival.class].attempt_noise.at(hashed(plan.seed, &[3, arrival.class as u64]));
    let work = arrival.work * factor(noise, draws(4));
    {
        let mut ledger = world.ledger.borrow_mut();
        ledger.work.0 += work;
        let model = member.model.borrow();
        ledger.crossed += u64::from(model.plan.zone != plan.sidecars[sidecar].zone);
    }
    let limits = &plan.day.limits;
    if member.with(now, |m| m.push(work, limits.fall_multiple, limits.fall_ms)) {
        let what = format!("server {} at warmth {:.2}", member.number, member.model.borrow().warmth());
        world.ledger.borrow_mut().broke(now, Rule::PushedOver, Some(sidecar), Some(flow), what);
        member.die(now);
        return false;
    }
    let error_rate = member.model.borrow().plan.error_rate;
    let error = draws(5) < error_rate;
    let begun = if crowded {
        Err(AttemptEnd::Crowded)
    } else {
        let key = arrival.key;
        member.begin(now, |id| Job { id, work, key, error }).map_err(|why| match why {
            TurnedAway::Full => AttemptEnd::Full,
            TurnedAway::Draining | TurnedAway::Down => AttemptEnd::Draining,
        })
    };
    let (job, mut done) = match begun {
        Ok(begun) => begun,
        Err(why) => {
            world.ledger.borrow_mut().attempt_ended(now, attempt, why);
            world.sleep(way).await;
            let mut headers = vec![("not-started", "1".to_owned())];
            if crowded {
                headers.push(("connection", "close".into()));
            }
            return wire.write(&answer_bytes(503, &headers, b"")).await.is_ok() && !crowded;
        }
    };
    let place = {
        let model = member.model.borrow();
        Place { zone: model.plan.zone, cell: model.plan.cell }
    };
    world.ledger.borrow_mut().ran(plan, now, attempt, place);
    let done = loop {
        tokio::select! {
            biased;
            done = &mut done => break done,
            more = wire.more() => if !matches!(more, Ok(true)) {
                // Given up: it hung up, or ended its sending.
                let dropped = member.with(world.now(), |m| m.hang_up(job));
                let mut ledger = world.ledger.borrow_mut();
                ledger.attempt_ended(world.now(), attempt, AttemptEnd::HungUp);
                ledger.work.1 += if dropped { 0.0 } else { work };
                return false;
            },
        }
    };
    let Ok(done) = done else { return false };
    world.sleep(way).await;
    let ended = world.now();
    if done.error {
        world.ledger.borrow_mut().attempt_ended(ended, attempt, AttemptEnd::Error);
        return wire.write(&answer_bytes(500, &[], b"error\n")).await.is_ok();
    }
    let body = Bytes::from(format!(
        "{{\"id\":\"{id:016x}\",\"server\":\"{}\",\"attempt\":{},\"price\":{:.2},\"valid\":true}}\n",
        member.model.borrow().plan.id,
        attempt.1,
        draws(6) * 1000.0
    ));
    let spoil = world.spoilt_share(ended);
    let spoil = (draws(7) < spoil)
        .then(|| spoil::ALL[(draws(8) * spoil::ALL.len() as f64) as usize % spoil::ALL.len()]);
    {
        let mut ledger = world.ledger.borrow_mut();
        if let Some(spoil) = spoil {
            *ledger.spoilt.entry(format!("{spoil:?}")).or_default() += 1;
        }
        let good = spoil.is_none_or(spoil::Spoil::good);
        ledger.attempt_ended(ended, attempt, if good { AttemptEnd::Served } else { AttemptEnd::Spoilt });
        if good {
            ledger.made(attempt.0, body.clone());
        }
    }
    let good = || {
        let report = plan.day.server.report_in_answers.then(|| ("server-load", member.report(world)));
        answer_bytes(200, report.as_slice(), &body)
    };
    let bytes = spoil.map_or_else(good, |s| s.bytes(&body));
    drop(open);
    wire.write(&bytes).await.is_ok()
}
