//! The joint between routing and the sockets.

use super::budget::Budget;
use super::connecting::{connect, ConnectError};
use super::connection::Exchange;
use super::network::{Network, Peek};
use super::pool::{Line, Pool};
use super::traffic::{count, Traffic};
use super::{length, Task};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use roseproxy_decision::interface::{Outcome, ServerId, Update};
use roseproxy_platform::load;
use roseproxy_platform::request::{Classes, ForwardedRequest, OutgoingRequest};
use roseproxy_routing::discovery::{CallEnd, DiscoveryEvent};
use roseproxy_routing::event_log::{shortened, Activity, CloseReason, EventKind, Sink};
use roseproxy_routing::flow::{Answer, FlowId, ForwardId, NewFlow, Order, ProbeEnd, Target};
use roseproxy_routing::invariants::Violation;
use roseproxy_routing::start_times::{Clocks, Source, StartTimes};
use roseproxy_routing::time::{to_millis, Now};
use roseproxy_routing::Host;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// How often idle connections are looked through (ms).
const SWEEP: f64 = 250.0;

pub(super) struct Waiting {
    pub(super) passing: Rc<ForwardedRequest>,
    /// Looks at the client's connection.
    pub(super) client: Peek,
    answer: oneshot::Sender<Answer>,
    /// Tells its forwards that nobody waits any more.
    ended: Rc<Notify>,
}

/// Carries out routing's orders on sockets and reports back.
pub struct Gateway<N> {
    network: N,
    pub(super) host: RefCell<Host>,
    now: Now,
    /// How requests name their classes.
    pub classes: Classes,
    /// What the sockets count.
    pub traffic: Traffic,
    pool: RefCell<Pool>,
    targets: Budget,
    connect_timeout: f64,
    pub(super) waiting: RefCell<HashMap<FlowId, Waiting>>,
    /// The clients' ids of the flows that wait.
    ids: RefCell<HashSet<HeaderValue>>,
    pub(super) forwards: RefCell<HashMap<ForwardId, Task>>,
    probes: RefCell<HashMap<ServerId, Task>>,
    /// When the timer task will wake, and how to wake it sooner.
    armed: Cell<f64>,
    rearm: Notify,
    /// Whether routing wants discovery watched and no watch has begun since, and who waits to hear it.
    watch_wish: Cell<bool>,
    watch: Notify,
    /// Revision of the list in hand; 0 before any.
    revision: Cell<u64>,
    /// When endpoints started, on the program's clock.
    starts: RefCell<StartTimes>,
    /// The wall clock; where there is none, the program's clock stands for it.
    wall: RefCell<Option<Now>>,
}

impl<N: Network> Gateway<N> {
    /// Joins a host with the network.
    pub fn new(network: N, host: Host, classes: Classes, targets: Budget, now: Now) -> Rc<Gateway<N>> {
        let figures = host.settings().network;
        Rc::new(Gateway {
            network,
            host: RefCell::new(host),
            now,
            classes,
            traffic: Traffic::default(),
            pool: RefCell::new(Pool::new(to_millis(figures.conn_idle))),
            targets,
            connect_timeout: to_millis(figures.connect_timeout),
            waiting: RefCell::default(),
            ids: RefCell::default(),
            forwards: RefCell::default(),
            probes: RefCell::default(),
            armed: Cell::new(f64::INFINITY),
            rearm: Notify::new(),
            watch_wish: Cell::new(false),
            watch: Notify::new(),
            revision: Cell::new(0),
            starts: RefCell::default(),
            wall: RefCell::default(),
        })
    }

    /// The program's time.
    pub fn now(&self) -> f64 {
        (self.now)()
    }

    /// Where its streams come from.
    pub(super) fn network(&self) -> &N {
        &self.network
    }

    /// The program's clock.
    pub(super) fn clock(&self) -> Now {
        self.now.clone()
    }

    /// Takes in a flow, with what looks at its client's connection; its answer comes on the channel. `None` where a request with its id is open: that
    /// one belongs to another client, and a target would take this one for a repeat of it.
    pub fn take_in(
        self: &Rc<Self>,
        new: NewFlow,
        passing: ForwardedRequest,
        client: Peek,
    ) -> Option<(FlowId, oneshot::Receiver<Answer>)> {
        if !self.ids.borrow_mut().insert(passing.id.clone()) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        let id = self.timed(Activity::Request, |host, now| host.take_in(now, new));
        let client_id = shortened(passing.id.as_bytes());
        let taken = EventKind::Taken { client_id, class: new.class, time_left: new.time_left };
        self.host.borrow_mut().events.record(self.now(), Some(id), taken);
        let waiting = Waiting { passing: Rc::new(passing), client, answer, ended: Rc::default() };
        self.waiting.borrow_mut().insert(id, waiting);
        self.settle();
        Some((id, receiver))
    }

    /// Ends the wait for a flow's answer, and lets go of its id.
    fn end_wait(&self, id: FlowId) -> Option<Waiting> {
        let waiting = self.waiting.borrow_mut().remove(&id)?;
        self.ids.borrow_mut().remove(&waiting.passing.id);
        waiting.ended.notify_waiters();
        Some(waiting)
    }

    /// The client of a flow has left. Of one that has its answer this changes nothing.
    pub fn client_gone(self: &Rc<Self>, id: FlowId) {
        if self.end_wait(id).is_some() {
            self.timed(Activity::Departure, |host, now| host.client_gone(now, id));
            self.settle();
        }
    }

    /// Has starts in wall-clock time held against this clock, too.
    pub fn set_wall_clock(&self, wall: Now) {
        *self.wall.borrow_mut() = Some(wall);
    }

    /// A list of the target group that was kept from before.
    pub fn targets(self: &Rc<Self>, update: Update, targets: &[Target]) {
        self.take_list(Source::Kept, update, targets.to_vec(), false);
    }

    /// A list that discovery has told. In one that is behind the list in hand, who leaves is not taken back into
    /// service by it.
    pub(super) fn listed(self: &Rc<Self>, update: Update, targets: Vec<Target>, behind: bool) {
        self.take_list(Source::Discovery, update, targets, behind);
    }

    fn take_list(self: &Rc<Self>, source: Source, update: Update, mut targets: Vec<Target>, behind: bool) {
        let program = self.now();
        let wall = self.wall.borrow().as_ref().map_or(program, |wall| wall());
        self.starts.borrow_mut().place(Clocks { program, wall }, source, update, &mut targets);
        if behind {
            self.host.borrow().keep_leaving(&mut targets);
        }
        self.timed(Activity::List, |host, now| host.targets(now, update, &targets));
        self.settle();
    }

    /// Records the revision of the list in hand, for the counters.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// A call to discovery failed, or the watch broke.
    pub fn targets_failed(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().targets_failed(self.now(), end);
        self.settle();
    }

    /// Records what happened between this sidecar and discovery.
    pub(super) fn discovery_event(&self, event: DiscoveryEvent) {
        self.host.borrow_mut().discovery_event(self.now(), event);
    }

    /// From now on discovery is followed; the list in hand is one that was kept from before the start, at this time (ms).
    pub(super) fn follow_discovery(self: &Rc<Self>, began: f64) {
        self.host.borrow_mut().follow_discovery(self.now(), began);
        self.settle();
    }

    /// A call to discovery goes out.
    pub(super) fn call_started(self: &Rc<Self>, revision: Option<u64>) {
        self.host.borrow_mut().call_started(self.now(), revision);
        self.settle();
    }

    /// Discovery has told of a change, or that there is none.
    pub(super) fn list_confirmed(self: &Rc<Self>) {
        self.host.borrow_mut().list_confirmed(self.now());
        self.settle();
    }

    /// Discovery was moved; `calling` is whether a call or a watch was open.
    pub(super) fn discovery_moved(self: &Rc<Self>, calling: bool) {
        self.host.borrow_mut().discovery_moved(self.now(), calling);
        self.settle();
    }

    /// The watch ended so, and is opened anew without a pause.
    pub(super) fn watch_reopened(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().watch_reopened(self.now(), end);
        self.settle();
    }

    /// Waits until routing wants to watch discovery.
    pub async fn watch_wanted(&self) {
        while !self.watch_wish.take() {
            self.watch.notified().await;
        }
    }

    /// Forgets a wish to watch that has not been met.
    pub(super) fn forget_watch_wish(&self) {
        self.watch_wish.set(false);
    }

    /// Has warnings printed as they happen, or each event.
    pub fn log_to(&self, sink: Sink, every: bool) {
        self.host.borrow_mut().events.log_to(sink, every);
    }

    /// Records an event of no request.
    pub(super) fn record(&self, kind: EventKind) {
        self.host.borrow_mut().events.record(self.now(), None, kind);
    }

    /// The latest events, one a line.
    pub fn events(&self) -> String {
        self.host.borrow().events.text()
    }

    /// A client's connection ends; `open` is the request on it that has no answer.
    pub(super) fn client_closed(&self, reason: CloseReason, open: Option<FlowId>) {
        self.traffic.closed(reason);
        let mut host = self.host.borrow_mut();
        host.events.record(self.now(), open, EventKind::Closed(reason));
        let by_client = matches!(reason, CloseReason::Client | CloseReason::Departed);
        if open.is_some() && !by_client {
            host.violated(self.now(), open, Violation::ClosedUnanswered);
        }
    }

    /// The process ends now: what is still open is lost.
    pub fn exiting(&self) {
        let mut host = self.host.borrow_mut();
        for request in host.open_ids() {
            host.violated(self.now(), Some(request), Violation::OpenAtExit);
        }
    }

    /// Whether a request would find an endpoint, by a list that may be acted on.
    pub fn can_serve(&self) -> bool {
        self.host.borrow().can_serve(self.now())
    }

    /// The process is about to end: answers all flows that are open as failed, and whatever comes from here on.
    /// Returns how many were open.
    pub fn end(self: &Rc<Self>) -> usize {
        let open = self.open_flows();
        self.host.borrow_mut().end(self.now());
        self.settle();
        open
    }

    /// Endpoints that the list in hand names.
    pub(super) fn endpoints(&self) -> usize {
        self.host.borrow().endpoints()
    }

    /// Flows without an answer.
    pub fn open_flows(&self) -> usize {
        self.host.borrow().open_flows()
    }

    /// All counts by name.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let mut lines = self.host.borrow().book.lines();
        lines.extend(self.host.borrow().picture());
        lines.extend(self.traffic.lines());
        let now = [
            ("discovery_revision", self.revision.get()),
            ("discovery_list_age_ms", self.host.borrow().list_age(self.now()) as u64),
            ("targets_idle", self.pool.borrow().len() as u64),
            ("targets_open", self.targets.used() as u64),
        ];
        lines.extend(now.map(|(name, count)| (name.to_owned(), count)));
        lines
    }

    /// Lets routing's timers go off; runs as long as the program.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.host.borrow().next_due();
            self.armed.set(due.unwrap_or(f64::INFINITY));
            match due {
                Some(due) => tokio::select! {
                    // In this order, so that equal runs go equal ways.
                    biased;
                    () = tokio::time::sleep(length(due - self.now())) => {}
                    () = self.rearm.notified() => {}
                },
                None => self.rearm.notified().await,
            }
            self.note_late_timers(due);
            self.timed(Activity::Timers, |host, now| host.tick(now));
            self.settle();
        }
    }

    /// Closes connections that stood idle for long; runs as long as the program.
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(length(SWEEP)).await;
            self.pool.borrow_mut().sweep(self.now());
        }
    }

    /// Does something with the host; how long it held up the program's one thread is recorded.
    pub(super) fn timed<T>(&self, activity: Activity, act: impl FnOnce(&mut Host, f64) -> T) -> T {
        let began = self.now();
        let done = act(&mut self.host.borrow_mut(), began);
        self.note_held_up(activity, began);
        done
    }

    /// The one thread was busy with this since then (ms).
    pub(super) fn note_held_up(&self, activity: Activity, began: f64) {
        let now = self.now();
        self.host.borrow_mut().held_up(now, activity, now - began);
    }

    /// Timers that were due then go off only now.
    fn note_late_timers(&self, due: Option<f64>) {
        let now = self.now();
        if let Some(late) = due.map(|due| now - due) {
            self.host.borrow_mut().timers_late(now, late);
        }
    }

    /// Carries out what routing has ordered, in order.
    pub(super) fn settle(self: &Rc<Self>) {
        loop {
            let order = self.host.borrow_mut().next_order();
            match order {
                Some(order) => self.carry_out(order),
                None => break,
            }
        }
        if self.host.borrow().next_due().is_some_and(|due| due < self.armed.get()) {
            self.rearm.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, order: Order) {
        match order {
            Order::Forward { id, target, address, patience } => {
                let wait = self.waiting.borrow().get(&id.flow).map(|w| (w.passing.clone(), w.ended.clone()));
                // Routing sends only for flows that it holds open, and those wait here.
                let Some(wait) = wait else { return };
                let until = self.now() + patience;
                let task = self.clone().forward(id, target, address, until, wait);
                self.forwards.borrow_mut().insert(id, tokio::task::spawn_local(task).into());
            }
            Order::GiveUp(id) => drop(self.forwards.borrow_mut().remove(&id)),
            Order::Answer(id, answer) => {
                // A client that has left in this very moment hears nothing; that is no loss.
                self.end_wait(id).map(|w| w.answer.send(answer));
            }
            Order::Probe(target, address) => {
                let task = self.clone().probe(target, address);
                self.probes.borrow_mut().insert(target, tokio::task::spawn_local(task).into());
            }
            Order::GiveUpProbe(target) => drop(self.probes.borrow_mut().remove(&target)),
            Order::CloseIdle(target) => self.pool.borrow_mut().close(target),
            Order::Watch => {
                self.watch_wish.set(true);
                self.watch.notify_one();
            }
        }
    }

    async fn probe(self: Rc<Self>, target: ServerId, address: SocketAddr) {
        let end = match self.line(target, address, self.connect_timeout).await {
            Err(outcome) => ProbeEnd { outcome, load: None },
            Ok(mut line) => {
                match line.connection.exchange(OutgoingRequest::get("/stats", "origin.svc")).await {
                    Exchange::Answered(status, _, body) => {
                        self.keep(target, line);
                        self.read_probe(status, &body)
                    }
                    Exchange::Broke { .. } => ProbeEnd { outcome: Outcome::Broken, load: None },
                }
            }
        };
        self.timed(Activity::ProbeEnd, |host, now| host.probe_ended(now, target, end));
        self.settle();
        self.probes.borrow_mut().remove(&target);
    }

    fn read_probe(&self, status: StatusCode, body: &[u8]) -> ProbeEnd {
        if status != StatusCode::OK {
            return ProbeEnd { outcome: Outcome::Rejected, load: None };
        }
        let load = std::str::from_utf8(body).ok().and_then(load::read);
        if load.is_none() {
            count(&self.traffic.bad_reports);
        }
        ProbeEnd { outcome: Outcome::Served, load }
    }

    /// A connection to a target: a kept one, or a new one where the budget has room. Without one it says
    /// what that tells: an own shortage of descriptors tells nothing of the target.
    pub(super) async fn line(
        &self,
        target: ServerId,
        address: SocketAddr,
        within: f64,
    ) -> Result<Line, Outcome> {
        if let Some(line) = self.pool.borrow_mut().take(self.now(), target, address) {
            count(&self.traffic.reused);
            return Ok(line);
        }
        let permit = self.targets.permit().or_else(|| {
            self.pool.borrow_mut().evict();
            self.targets.permit()
        });
        let Some(permit) = permit else {
            count(&self.traffic.spent);
            return Err(Outcome::NotSent);
        };
        let (counter, line) = match connect(&self.network, address, within.min(self.connect_timeout)).await {
            Ok(connection) => (&self.traffic.opened, Ok(Line { connection, address, permit })),
            Err(ConnectError::There) => (&self.traffic.unreachable, Err(Outcome::Unreachable)),
            Err(ConnectError::Here) => (&self.traffic.connects_failed_here, Err(Outcome::NotSent)),
        };
        count(counter);
        line
    }

    /// Puts a connection back once it is ready for the next request.
    pub(super) fn keep(self: &Rc<Self>, target: ServerId, mut line: Line) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if line.connection.settle().await {
                gateway.pool.borrow_mut().put(gateway.now(), target, line);
            }
        });
    }
}
