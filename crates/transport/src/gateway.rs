//! The joint between routing and the sockets.

use super::budget::Budget;
use super::connection::ExchangeResult;
use super::connector::{connect, ConnectError};
use super::counters::{increment, Counters};
use super::network::{Network, Peek};
use super::pool::{Pool, PooledConnection};
use super::{duration_from_ms, AbortOnDrop};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use roseproxy_decision::interface::{Outcome, ServerId, Update};
use roseproxy_platform::load;
use roseproxy_platform::request::{Classes, Outgoing, Passing};
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
const IDLE_SWEEP_PERIOD_MS: f64 = 250.0;

pub(super) struct PendingFlow {
    pub(super) request: Rc<Passing>,
    /// Looks at the client's connection.
    pub(super) peek_client: Peek,
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
    pub counters: Counters,
    pool: RefCell<Pool>,
    target_budget: Budget,
    connect_timeout: f64,
    pub(super) pending_flows: RefCell<HashMap<FlowId, PendingFlow>>,
    /// The clients' ids of the flows that wait.
    open_request_ids: RefCell<HashSet<HeaderValue>>,
    pub(super) forwards: RefCell<HashMap<ForwardId, AbortOnDrop>>,
    probes: RefCell<HashMap<ServerId, AbortOnDrop>>,
    /// When the timer task will wake, and how to wake it sooner.
    timer_wakes_at: Cell<f64>,
    timer_changed: Notify,
    /// Whether routing wants discovery watched and no watch has begun since, and who waits to hear it.
    watch_pending: Cell<bool>,
    watch_notify: Notify,
    /// Revision of the list in hand; 0 before any.
    revision: Cell<u64>,
    /// When endpoints started, on the program's clock.
    start_times: RefCell<StartTimes>,
    /// The wall clock; where there is none, the program's clock stands for it.
    wall_clock: RefCell<Option<Now>>,
}

impl<N: Network> Gateway<N> {
    /// Joins a host with the network.
    pub fn new(network: N, host: Host, classes: Classes, targets: Budget, now: Now) -> Rc<Gateway<N>> {
        let network_settings = host.settings().network;
        Rc::new(Gateway {
            network,
            host: RefCell::new(host),
            now,
            classes,
            counters: Counters::default(),
            pool: RefCell::new(Pool::new(to_millis(network_settings.conn_idle))),
            target_budget: targets,
            connect_timeout: to_millis(network_settings.connect_timeout),
            pending_flows: RefCell::default(),
            open_request_ids: RefCell::default(),
            forwards: RefCell::default(),
            probes: RefCell::default(),
            timer_wakes_at: Cell::new(f64::INFINITY),
            timer_changed: Notify::new(),
            watch_pending: Cell::new(false),
            watch_notify: Notify::new(),
            revision: Cell::new(0),
            start_times: RefCell::default(),
            wall_clock: RefCell::default(),
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
    pub fn start_flow(
        self: &Rc<Self>,
        new: NewFlow,
        request: Passing,
        peek_client: Peek,
    ) -> Option<(FlowId, oneshot::Receiver<Answer>)> {
        if !self.open_request_ids.borrow_mut().insert(request.id.clone()) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        let id = self.timed(Activity::Request, |host, now| host.take_in(now, new));
        let client_id = shortened(request.id.as_bytes());
        let taken = EventKind::Taken { client_id, class: new.class, time_left: new.time_left };
        self.host.borrow_mut().events.record(self.now(), Some(id), taken);
        let pending = PendingFlow { request: Rc::new(request), peek_client, answer, ended: Rc::default() };
        self.pending_flows.borrow_mut().insert(id, pending);
        self.execute_orders();
        Some((id, receiver))
    }

    /// Ends the wait for a flow's answer, and lets go of its id.
    fn remove_pending(&self, id: FlowId) -> Option<PendingFlow> {
        let pending = self.pending_flows.borrow_mut().remove(&id)?;
        self.open_request_ids.borrow_mut().remove(&pending.request.id);
        pending.ended.notify_waiters();
        Some(pending)
    }

    /// The client of a flow has left. Of one that has its answer this changes nothing.
    pub fn client_gone(self: &Rc<Self>, id: FlowId) {
        if self.remove_pending(id).is_some() {
            self.timed(Activity::Departure, |host, now| host.client_gone(now, id));
            self.execute_orders();
        }
    }

    /// Has starts in wall-clock time held against this clock, too.
    pub fn set_wall_clock(&self, wall: Now) {
        *self.wall_clock.borrow_mut() = Some(wall);
    }

    /// A list of the target group that was kept from before.
    pub fn apply_kept_list(self: &Rc<Self>, update: Update, targets: &[Target]) {
        self.apply_list(Source::Kept, update, targets.to_vec(), false);
    }

    /// A list that discovery has told. In one that is behind the list in hand, who leaves is not taken back into
    /// service by it.
    pub(super) fn apply_discovery_list(
        self: &Rc<Self>,
        update: Update,
        targets: Vec<Target>,
        outdated: bool,
    ) {
        self.apply_list(Source::Discovery, update, targets, outdated);
    }

    fn apply_list(self: &Rc<Self>, source: Source, update: Update, mut targets: Vec<Target>, outdated: bool) {
        let program = self.now();
        let wall = self.wall_clock.borrow().as_ref().map_or(program, |wall| wall());
        self.start_times.borrow_mut().place(Clocks { program, wall }, source, update, &mut targets);
        if outdated {
            self.host.borrow().keep_leaving(&mut targets);
        }
        self.timed(Activity::List, |host, now| host.targets(now, update, &targets));
        self.execute_orders();
    }

    /// Records the revision of the list in hand, for the counters.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// A call to discovery failed, or the watch broke.
    pub fn discovery_failed(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().targets_failed(self.now(), end);
        self.execute_orders();
    }

    /// Records what happened between this sidecar and discovery.
    pub(super) fn discovery_event(&self, event: DiscoveryEvent) {
        self.host.borrow_mut().discovery_event(self.now(), event);
    }

    /// From now on discovery is followed; the list in hand is one that was kept from before the start, at this time (ms).
    pub(super) fn follow_discovery(self: &Rc<Self>, began: f64) {
        self.host.borrow_mut().follow_discovery(self.now(), began);
        self.execute_orders();
    }

    /// A call to discovery goes out.
    pub(super) fn call_started(self: &Rc<Self>, revision: Option<u64>) {
        self.host.borrow_mut().call_started(self.now(), revision);
        self.execute_orders();
    }

    /// Discovery has told of a change, or that there is none.
    pub(super) fn list_confirmed(self: &Rc<Self>) {
        self.host.borrow_mut().list_confirmed(self.now());
        self.execute_orders();
    }

    /// Discovery was moved; `calling` is whether a call or a watch was open.
    pub(super) fn discovery_moved(self: &Rc<Self>, calling: bool) {
        self.host.borrow_mut().discovery_moved(self.now(), calling);
        self.execute_orders();
    }

    /// The watch ended so, and is opened anew without a pause.
    pub(super) fn watch_reopened(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().watch_reopened(self.now(), end);
        self.execute_orders();
    }

    /// Waits until routing wants to watch discovery.
    pub async fn watch_requested(&self) {
        while !self.watch_pending.take() {
            self.watch_notify.notified().await;
        }
    }

    /// Forgets a wish to watch that has not been met.
    pub(super) fn clear_watch_request(&self) {
        self.watch_pending.set(false);
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
        self.counters.count_close(reason);
        let mut host = self.host.borrow_mut();
        host.events.record(self.now(), open, EventKind::Closed(reason));
        let by_client = matches!(reason, CloseReason::Client | CloseReason::Departed);
        if open.is_some() && !by_client {
            host.violated(self.now(), open, Violation::ClosedUnanswered);
        }
    }

    /// The process ends now: what is still open is lost.
    pub fn record_open_at_exit(&self) {
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
    pub fn shut_down(self: &Rc<Self>) -> usize {
        let open = self.open_flows();
        self.host.borrow_mut().end(self.now());
        self.execute_orders();
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
        lines.extend(self.counters.named_counts());
        let now = [
            ("discovery_revision", self.revision.get()),
            ("discovery_list_age_ms", self.host.borrow().list_age(self.now()) as u64),
            ("targets_idle", self.pool.borrow().len() as u64),
            ("targets_open", self.target_budget.used() as u64),
        ];
        lines.extend(now.map(|(name, count)| (name.to_owned(), count)));
        lines
    }

    /// Lets routing's timers go off; runs as long as the program.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.host.borrow().next_due();
            self.timer_wakes_at.set(due.unwrap_or(f64::INFINITY));
            match due {
                Some(due) => tokio::select! {
                    // In this order, so that equal runs go equal ways.
                    biased;
                    () = tokio::time::sleep(duration_from_ms(due - self.now())) => {}
                    () = self.timer_changed.notified() => {}
                },
                None => self.timer_changed.notified().await,
            }
            self.note_late_timers(due);
            self.timed(Activity::Timers, |host, now| host.tick(now));
            self.execute_orders();
        }
    }

    /// Closes connections that stood idle for long; runs as long as the program.
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(duration_from_ms(IDLE_SWEEP_PERIOD_MS)).await;
            self.pool.borrow_mut().close_expired(self.now());
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
    pub(super) fn execute_orders(self: &Rc<Self>) {
        loop {
            let order = self.host.borrow_mut().next_order();
            match order {
                Some(order) => self.execute_order(order),
                None => break,
            }
        }
        if self.host.borrow().next_due().is_some_and(|due| due < self.timer_wakes_at.get()) {
            self.timer_changed.notify_one();
        }
    }

    fn execute_order(self: &Rc<Self>, order: Order) {
        match order {
            Order::Forward { id, target, address, patience } => {
                let pending = self
                    .pending_flows
                    .borrow()
                    .get(&id.flow)
                    .map(|flow| (flow.request.clone(), flow.ended.clone()));
                // Routing sends only for flows that it holds open, and those wait here.
                let Some(pending) = pending else { return };
                let deadline = self.now() + patience;
                let task = self.clone().forward(id, target, address, deadline, pending);
                self.forwards.borrow_mut().insert(id, tokio::task::spawn_local(task).into());
            }
            Order::GiveUp(id) => drop(self.forwards.borrow_mut().remove(&id)),
            Order::Answer(id, answer) => {
                // A client that has left in this very moment hears nothing; that is no loss.
                self.remove_pending(id).map(|flow| flow.answer.send(answer));
            }
            Order::Probe(target, address) => {
                let task = self.clone().probe(target, address);
                self.probes.borrow_mut().insert(target, tokio::task::spawn_local(task).into());
            }
            Order::GiveUpProbe(target) => drop(self.probes.borrow_mut().remove(&target)),
            Order::CloseIdle(target) => self.pool.borrow_mut().close_target(target),
            Order::Watch => {
                self.watch_pending.set(true);
                self.watch_notify.notify_one();
            }
        }
    }

    async fn probe(self: Rc<Self>, target: ServerId, address: SocketAddr) {
        let end = match self.connection_to(target, address, self.connect_timeout).await {
            Err(outcome) => ProbeEnd { outcome, load: None },
            Ok(mut pooled) => match pooled.connection.exchange(Outgoing::get("/stats", "origin.svc")).await {
                ExchangeResult::Answered(status, _, body) => {
                    self.return_to_pool(target, pooled);
                    self.read_probe(status, &body)
                }
                ExchangeResult::Broken { .. } => ProbeEnd { outcome: Outcome::Broken, load: None },
            },
        };
        self.timed(Activity::ProbeEnd, |host, now| host.probe_ended(now, target, end));
        self.execute_orders();
        self.probes.borrow_mut().remove(&target);
    }

    fn read_probe(&self, status: StatusCode, body: &[u8]) -> ProbeEnd {
        if status != StatusCode::OK {
            return ProbeEnd { outcome: Outcome::Rejected, load: None };
        }
        let load = std::str::from_utf8(body).ok().and_then(load::read);
        if load.is_none() {
            increment(&self.counters.reports_unread);
        }
        ProbeEnd { outcome: Outcome::Served, load }
    }

    /// A connection to a target: a kept one, or a new one where the budget has room. Without one it says
    /// what that tells: an own shortage of descriptors tells nothing of the target.
    pub(super) async fn connection_to(
        &self,
        target: ServerId,
        address: SocketAddr,
        timeout_ms: f64,
    ) -> Result<PooledConnection, Outcome> {
        if let Some(pooled) = self.pool.borrow_mut().take(self.now(), target, address) {
            increment(&self.counters.targets_reused);
            return Ok(pooled);
        }
        let permit = self.target_budget.try_acquire().or_else(|| {
            self.pool.borrow_mut().evict_oldest();
            self.target_budget.try_acquire()
        });
        let Some(permit) = permit else {
            increment(&self.counters.descriptors_spent);
            return Err(Outcome::NotSent);
        };
        let (counter, pooled) =
            match connect(&self.network, address, timeout_ms.min(self.connect_timeout)).await {
                Ok(connection) => {
                    (&self.counters.targets_connected, Ok(PooledConnection { connection, address, permit }))
                }
                Err(ConnectError::Remote) => (&self.counters.targets_unreachable, Err(Outcome::Unreachable)),
                Err(ConnectError::Local) => (&self.counters.connects_failed_here, Err(Outcome::NotSent)),
            };
        increment(counter);
        pooled
    }

    /// Puts a connection back once it is ready for the next request.
    pub(super) fn return_to_pool(self: &Rc<Self>, target: ServerId, mut pooled: PooledConnection) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if pooled.connection.wait_until_idle().await {
                gateway.pool.borrow_mut().put(gateway.now(), target, pooled);
            }
        });
    }
}
