//! The gateway between routing and the sockets.

use super::answer_memory::AnswerAllowance;
use super::budget::Budget;
use super::connector::{connect, ConnectError};
use super::counters::{increment, Counters};
use super::memory::{MessageKind, MessageMemory};
use super::memory_budget::MemoryBudget;
use super::network::{Network, Peek};
use super::pending_flow::{PendingFlow, PendingRequest, RequestMemory};
use super::pool::{Pool, PooledConnection};
use super::request_ids::{RequestIdClaim, RequestIds};
use super::{duration_from_ms, AbortOnDrop};
use roseproxy_decision::interface::{Outcome, ServerId, Update};
use roseproxy_platform::request::{Classes, ForwardedRequest};
use roseproxy_routing::discovery::{CallEnd, DiscoveryEvent};
use roseproxy_routing::event_log::{truncate_client_id, Activity, CloseReason, EventKind, Sink};
use roseproxy_routing::flow::{Answer, FlowId, ForwardId, NewFlow, Order, Target};
use roseproxy_routing::invariants::Violation;
use roseproxy_routing::start_times::{Clocks, ListSource, StartTimes};
use roseproxy_routing::time::{to_millis, Now};
use roseproxy_routing::Host;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Period at which expired idle connections are closed.
const IDLE_SWEEP_PERIOD_MS: f64 = 250.0;

/// Executes routing's orders on the network and reports the results back to routing.
pub struct Gateway<N> {
    network: N,
    pub(super) host: RefCell<Host>,
    now: Now,
    /// Determines the class that a request names.
    pub classes: Classes,
    /// Counters of the socket layer.
    pub counters: Counters,
    /// Accounts for the memory that messages hold.
    pub memory: MessageMemory,
    /// The memory that messages may hold together.
    pub memory_budget: MemoryBudget,
    pool: RefCell<Pool>,
    target_budget: Budget,
    pub(super) connect_timeout_ms: f64,
    pub(super) pending_flows: RefCell<HashMap<FlowId, PendingFlow>>,
    /// The request ids, as sent by the clients, that no further request may use.
    pub(super) request_ids: RequestIds,
    pub(super) forwards: RefCell<HashMap<ForwardId, AbortOnDrop>>,
    pub(super) probes: RefCell<HashMap<ServerId, AbortOnDrop>>,
    /// When the timer task will wake; infinite while no timer is set.
    timer_wakes_at: Cell<f64>,
    /// Wakes the timer task before that time.
    timer_changed: Notify,
    /// Whether routing has requested a watch on discovery and none has been started since.
    watch_pending: Cell<bool>,
    /// Wakes the task that waits for a watch request.
    watch_notify: Notify,
    /// Revision of the current list; 0 before the first.
    revision: Cell<u64>,
    /// Start times of the endpoints on the program's clock.
    start_times: RefCell<StartTimes>,
    /// The wall clock; if unset, the program's clock is used in its place.
    wall_clock: RefCell<Option<Now>>,
}

impl<N: Network> Gateway<N> {
    /// Connects routing's host to a network; `targets` is the socket budget for connections to
    /// targets, `memory_budget` bounds the messages in hand.
    pub fn new(
        network: N,
        host: Host,
        classes: Classes,
        targets: Budget,
        memory_budget: MemoryBudget,
        now: Now,
    ) -> Rc<Gateway<N>> {
        let network_settings = host.settings().network;
        Rc::new(Gateway {
            network,
            host: RefCell::new(host),
            now,
            classes,
            counters: Counters::default(),
            memory: MessageMemory::default(),
            memory_budget,
            pool: RefCell::new(Pool::new(to_millis(network_settings.conn_idle))),
            target_budget: targets,
            connect_timeout_ms: to_millis(network_settings.connect_timeout),
            pending_flows: RefCell::default(),
            request_ids: RequestIds::default(),
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

    /// The current time on the program's clock (ms).
    pub fn now(&self) -> f64 {
        (self.now)()
    }

    /// The network from which streams are obtained.
    pub(super) fn network(&self) -> &N {
        &self.network
    }

    /// The program's clock.
    pub(super) fn clock(&self) -> Now {
        self.now.clone()
    }

    /// Starts a flow for a request, which holds the claim on its id until it is answered. `peek_client`
    /// inspects the client's connection; the answer is sent on the returned channel.
    pub fn start_flow(
        self: &Rc<Self>,
        new: NewFlow,
        request: ForwardedRequest,
        id_claim: RequestIdClaim,
        reserved: RequestMemory,
        peek_client: Peek,
    ) -> (FlowId, oneshot::Receiver<Answer>) {
        let (answer, receiver) = oneshot::channel();
        let id = self.timed(Activity::Request, |host, now| host.accept_request(now, new));
        let client_id = truncate_client_id(request.id.as_bytes());
        let taken = EventKind::Taken { client_id, class: new.class, time_left: new.time_left };
        self.host.borrow_mut().events.record(self.now(), Some(id), taken);
        let mut head = self.memory.hold(MessageKind::Head).with_reservation(reserved.head);
        head.set(request.head_bytes());
        let request = PendingRequest {
            request: Rc::new(request),
            ended: Rc::default(),
            answer_allowance: AnswerAllowance::new(reserved.answer),
        };
        let written = Cell::new(false);
        let pending = PendingFlow { request, peek_client, answer, id_claim, written, _head: head };
        self.pending_flows.borrow_mut().insert(id, pending);
        self.execute_orders();
        (id, receiver)
    }

    /// Removes a flow from the pending ones and notifies its forwards.
    fn remove_pending(&self, id: FlowId) -> Option<PendingFlow> {
        let pending = self.pending_flows.borrow_mut().remove(&id)?;
        pending.request.ended.notify_waiters();
        Some(pending)
    }

    /// Reports that the client of a flow has left. Has no effect on a flow that has been answered.
    pub fn client_left(self: &Rc<Self>, id: FlowId) {
        if let Some(pending) = self.remove_pending(id) {
            pending.end_by_departure();
            self.timed(Activity::Departure, |host, now| host.client_left(now, id));
            self.execute_orders();
        }
    }

    /// Sets the wall clock, against which start times given in wall-clock time are compared as
    /// well.
    pub fn set_wall_clock(&self, wall: Now) {
        *self.wall_clock.borrow_mut() = Some(wall);
    }

    /// Applies a target list that was stored before the start.
    pub fn apply_kept_list(self: &Rc<Self>, update: Update, targets: &[Target]) {
        self.apply_list(ListSource::Kept, update, targets.to_vec(), false);
    }

    /// Applies a target list received from discovery. A list that is `outdated`, behind the current
    /// one, does not bring targets that are leaving back into service.
    pub(super) fn apply_discovery_list(
        self: &Rc<Self>,
        update: Update,
        targets: Vec<Target>,
        outdated: bool,
    ) {
        self.apply_list(ListSource::Discovery, update, targets, outdated);
    }

    fn apply_list(
        self: &Rc<Self>,
        source: ListSource,
        update: Update,
        mut targets: Vec<Target>,
        outdated: bool,
    ) {
        let program = self.now();
        let wall = self.wall_clock.borrow().as_ref().map_or(program, |wall| wall());
        self.start_times.borrow_mut().place_on_program_clock(
            Clocks { program, wall },
            source,
            update,
            &mut targets,
        );
        self.timed(Activity::List, |host, now| match outdated {
            true => host.update_by_outdated_list(now, update, targets),
            false => host.update_targets(now, update, &targets),
        });
        self.execute_orders();
    }

    /// Records the revision of the current list for the counters.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Reports that a call to discovery failed or that the watch broke.
    pub fn discovery_failed(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().discovery_failed(self.now(), end);
        self.execute_orders();
    }

    /// Records an event between this sidecar and discovery.
    pub(super) fn discovery_event(&self, event: DiscoveryEvent) {
        self.host.borrow_mut().record_discovery_event(self.now(), event);
    }

    /// Whether lists have to be requested from a discovery that other sidecars call as well.
    pub(super) fn requests_lists(&self) -> bool {
        self.host.borrow().settings().must_subscribe
    }

    /// Starts following discovery. The current list was stored before the start, which was at
    /// `started_at` (ms).
    pub(super) fn follow_discovery(self: &Rc<Self>, started_at: f64) {
        self.host.borrow_mut().follow_discovery(self.now(), started_at);
        self.execute_orders();
    }

    /// Reports that a call to discovery is being made.
    pub(super) fn call_started(self: &Rc<Self>, revision: Option<u64>) {
        self.host.borrow_mut().discovery_call_started(self.now(), revision);
        self.execute_orders();
    }

    /// Reports that discovery has sent the whole list in answer to a call.
    pub(super) fn list_fetched(self: &Rc<Self>) {
        self.host.borrow_mut().list_fetched(self.now());
        self.execute_orders();
    }

    /// Reports that an open watch has sent a change or confirmed that there is none.
    pub(super) fn list_confirmed(self: &Rc<Self>) {
        self.host.borrow_mut().list_confirmed(self.now());
        self.execute_orders();
    }

    /// Reports that discovery moved to another address; `calling` tells whether a call or a watch
    /// was open.
    pub(super) fn discovery_moved(self: &Rc<Self>, calling: bool) {
        self.host.borrow_mut().discovery_moved(self.now(), calling);
        self.execute_orders();
    }

    /// Reports that the watch ended and is reopened without a pause.
    pub(super) fn watch_reopened(self: &Rc<Self>, end: CallEnd) {
        self.host.borrow_mut().watch_reopened(self.now(), end);
        self.execute_orders();
    }

    /// Waits until routing requests a watch on discovery.
    pub async fn watch_requested(&self) {
        while !self.watch_pending.take() {
            self.watch_notify.notified().await;
        }
    }

    /// Discards a watch request that has not been served.
    pub(super) fn clear_watch_request(&self) {
        self.watch_pending.set(false);
    }

    /// Logs warnings as they happen, or every event if `every` is set.
    pub fn log_to(&self, sink: Sink, every: bool) {
        self.host.borrow_mut().events.set_sink(sink, every);
    }

    /// Records an event that belongs to no request.
    pub(super) fn record(&self, kind: EventKind) {
        self.host.borrow_mut().events.record(self.now(), None, kind);
    }

    /// The latest events, one per line.
    pub fn events(&self) -> String {
        self.host.borrow().events.text()
    }

    /// Records that a client's connection ends; `open` is the unanswered flow on it, if any.
    pub(super) fn client_closed(&self, reason: CloseReason, open: Option<FlowId>) {
        self.counters.count_close(reason);
        let mut host = self.host.borrow_mut();
        host.events.record(self.now(), open, EventKind::Closed(reason));
        let by_client = matches!(reason, CloseReason::Client | CloseReason::Departed);
        if open.is_some() && !by_client {
            host.record_violation(self.now(), open, Violation::ClosedUnanswered);
        }
    }

    /// Records every flow that is still open when the process exits as a violation, as it is lost.
    pub fn record_open_at_exit(&self) {
        let mut host = self.host.borrow_mut();
        for request in host.open_flow_ids() {
            host.record_violation(self.now(), Some(request), Violation::OpenAtExit);
        }
    }

    /// Whether a request could be sent to an endpoint of a list that is still valid.
    pub fn can_serve(&self) -> bool {
        self.host.borrow().can_serve(self.now())
    }

    /// Prepares for the end of the process: answers all open flows as failed, and likewise all that
    /// follow; those that wait for memory are refused. Returns how many were open.
    pub fn shut_down(self: &Rc<Self>) -> usize {
        let open = self.open_flows();
        self.memory_budget.end_waits();
        self.host.borrow_mut().begin_shutdown(self.now());
        self.execute_orders();
        open
    }

    /// Number of endpoints in the current list.
    pub(super) fn endpoints(&self) -> usize {
        self.host.borrow().endpoint_count()
    }

    /// Number of unanswered flows.
    pub fn open_flows(&self) -> usize {
        self.host.borrow().open_flows()
    }

    /// All counters and gauges with their names.
    pub fn counts(&self) -> Vec<(String, u64)> {
        let mut counts = self.host.borrow().counters.named_counts();
        counts.extend(self.host.borrow().snapshot());
        counts.extend(self.counters.named_counts());
        counts.extend(self.memory.named_counts());
        let gauges = [
            ("discovery_revision", self.revision.get()),
            ("discovery_list_age_ms", self.host.borrow().list_age(self.now()) as u64),
            ("targets_idle", self.pool.borrow().len() as u64),
            ("targets_open", self.target_budget.used() as u64),
            ("memory_budget_bytes", self.memory_budget.limit() as u64),
            ("memory_reserved_bytes", self.memory_budget.reserved() as u64),
        ];
        counts.extend(gauges.map(|(name, count)| (name.to_owned(), count)));
        counts
    }

    /// Fires routing's timers when they are due; runs as long as the program.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.host.borrow().next_timer();
            self.timer_wakes_at.set(due.unwrap_or(f64::INFINITY));
            match due {
                Some(due) => tokio::select! {
                    // Biased so that equal runs take equal paths.
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

    /// Periodically closes expired idle connections; runs as long as the program.
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(duration_from_ms(IDLE_SWEEP_PERIOD_MS)).await;
            self.pool.borrow_mut().close_expired(self.now());
        }
    }

    /// Runs an operation on the host and records how long it blocked the single-threaded event
    /// loop.
    pub(super) fn timed<T>(&self, activity: Activity, act: impl FnOnce(&mut Host, f64) -> T) -> T {
        let started_at = self.now();
        let result = act(&mut self.host.borrow_mut(), started_at);
        self.note_held_up(activity, started_at);
        result
    }

    /// Records that an activity has blocked the event loop since `started_at` (ms).
    pub(super) fn note_held_up(&self, activity: Activity, started_at: f64) {
        let now = self.now();
        self.host.borrow_mut().record_held_up(now, activity, now - started_at);
    }

    /// Records how late the timers that were due at `due` fire.
    fn note_late_timers(&self, due: Option<f64>) {
        let now = self.now();
        if let Some(late) = due.map(|due| now - due) {
            self.host.borrow_mut().record_late_timers(now, late);
        }
    }

    /// Executes routing's pending orders in sequence.
    pub(super) fn execute_orders(self: &Rc<Self>) {
        loop {
            let order = self.host.borrow_mut().next_order();
            match order {
                Some(order) => self.execute_order(order),
                None => break,
            }
        }
        if self.host.borrow().next_timer().is_some_and(|due| due < self.timer_wakes_at.get()) {
            self.timer_changed.notify_one();
        }
    }

    fn execute_order(self: &Rc<Self>, order: Order) {
        match order {
            Order::Forward { id, target, address, timeout } => {
                let pending = self.pending_flows.borrow().get(&id.flow).map(|flow| flow.request.clone());
                // Routing sends only for flows that it holds open, and those are pending here.
                let Some(pending) = pending else { return };
                let deadline = self.now() + timeout;
                let task = self.clone().forward(id, target, address, deadline, pending);
                self.forwards.borrow_mut().insert(id, tokio::task::spawn_local(task).into());
            }
            Order::GiveUp(id) => drop(self.forwards.borrow_mut().remove(&id)),
            Order::Answer(id, answer) => {
                if let Some(pending) = self.remove_pending(id) {
                    pending.end_with(answer);
                }
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

    /// Returns a connection to a target: a pooled one, or a new one if the budget allows. The error
    /// tells what the failure means for the target; a local shortage of descriptors says nothing
    /// about it.
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
            match connect(&self.network, address, timeout_ms.min(self.connect_timeout_ms)).await {
                Ok(connection) => {
                    (&self.counters.targets_connected, Ok(PooledConnection { connection, address, permit }))
                }
                Err(ConnectError::Remote) => (&self.counters.targets_unreachable, Err(Outcome::Unreachable)),
                Err(ConnectError::Local) => (&self.counters.connects_failed_here, Err(Outcome::NotSent)),
            };
        increment(counter);
        pooled
    }

    /// Returns a connection to the pool once it is ready for the next request.
    pub(super) fn return_to_pool(self: &Rc<Self>, target: ServerId, mut pooled: PooledConnection) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if pooled.connection.wait_until_idle().await {
                gateway.pool.borrow_mut().put(gateway.now(), target, pooled);
            }
        });
    }
}
