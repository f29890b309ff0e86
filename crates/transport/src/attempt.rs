//! One attempt on the network: a connection, the writing of the request, its answer.

use super::connection::ExchangeResult;
use super::duration_from_ms;
use super::gateway::Gateway;
use super::network::{Network, PeekResult};
use super::pool::PooledConnection;
use super::write_progress::{WriteObserver, WriteStage};
use roseproxy_decision::interface::{Load, Outcome, ServerId};
use roseproxy_platform::request::Passing;
use roseproxy_platform::{load, outcome};
use roseproxy_routing::event_log::Activity;
use roseproxy_routing::flow::{FlowId, ForwardEnd, ForwardId};
use roseproxy_routing::guard::WritePermit;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Share of an attempt's time that connecting may take, and the least that it gets (ms).
const CONNECT_TIME_SHARE: f64 = 0.25;
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;

impl<N: Network> Gateway<N> {
    /// Plays an attempt from its connection to its end.
    pub(super) async fn forward(
        self: Rc<Self>,
        id: ForwardId,
        target: ServerId,
        address: SocketAddr,
        deadline: f64,
        pending: (Rc<Passing>, Rc<Notify>),
    ) {
        // A target that does not come up must leave time for another.
        let connect_timeout_ms = ((deadline - self.now()) * CONNECT_TIME_SHARE).max(MIN_CONNECT_TIMEOUT_MS);
        let (end, load) = match self.connection_to(target, address, connect_timeout_ms).await {
            Ok(pooled) => self.exchange(id, target, deadline, &pending, pooled).await,
            Err(outcome) => (ForwardEnd::Lost(outcome), None),
        };
        self.timed(Activity::AttemptEnd, |host, now| host.forward_ended(now, id, end, load));
        self.execute_orders();
        // Last, as it ends this very task.
        self.forwards.borrow_mut().remove(&id);
    }

    async fn exchange(
        self: &Rc<Self>,
        id: ForwardId,
        target: ServerId,
        deadline: f64,
        (request, ended): &(Rc<Passing>, Rc<Notify>),
        mut pooled: PooledConnection,
    ) -> (ForwardEnd, Option<Load>) {
        let now = self.now();
        let permit = self.host.borrow_mut().begin_write(now, id);
        let Some(permit) = permit else {
            self.return_to_pool(target, pooled);
            return (ForwardEnd::Lost(Outcome::NotSent), None);
        };
        // Neither behind its time nor once nobody waits for it may a request be written on.
        let write_deadline = async {
            tokio::select! {
                biased;
                () = ended.notified() => {}
                () = sleep_ms_or_forever(permit.whole_by - now) => {}
            }
        };
        let announced_ms = deadline - now;
        let observer = Rc::new(AttemptWriteObserver::new(self, id, permit, announced_ms));
        match pooled
            .connection
            .exchange_guarded(request.to_target(announced_ms), write_deadline, observer.clone())
            .await
        {
            ExchangeResult::Answered(status, headers, body) => {
                self.return_to_pool(target, pooled);
                (outcome::of_answer(status, &headers, body), load::of_headers(&headers))
            }
            // Broken off by this side: that tells nothing of the target.
            ExchangeResult::Broken { last_byte_written: false }
                if observer.write_denied.get() || !self.pending_flows.borrow().contains_key(&id.flow) =>
            {
                (ForwardEnd::Lost(Outcome::NotSent), None)
            }
            ExchangeResult::Broken { last_byte_written } => (outcome::of_break(last_byte_written), None),
        }
    }

    /// Whether the client of a flow is still there, as its connection says: its departure may not have been heard of yet.
    fn client_is_connected(&self, id: FlowId) -> bool {
        let peek_client = self.pending_flows.borrow().get(&id).map(|pending| pending.peek_client.clone());
        peek_client.is_some_and(|peek_client| peek_client() != PeekResult::Closed)
    }

    /// Whether an attempt may be written on at this instant; one whose client has left ends here.
    fn attempt_may_write(self: &Rc<Self>, id: ForwardId, permit: WritePermit) -> bool {
        let client_connected = self.client_is_connected(id.flow);
        let allowed = self.host.borrow_mut().may_write_on(self.now(), id, permit, client_connected);
        if !client_connected {
            self.client_gone(id.flow);
        }
        allowed
    }

    /// Has the invariants checked at the instant at which an attempt goes out.
    fn attempt_reached(&self, id: ForwardId, milestone: WriteStage, announced_ms: f64) {
        let (now, mut host) = (self.now(), self.host.borrow_mut());
        match milestone {
            WriteStage::FirstByte => host.attempt_began(now, id),
            WriteStage::LastByte => host.attempt_whole(now, id, announced_ms),
        }
    }
}

/// Answers for the writing of an attempt.
struct AttemptWriteObserver<N> {
    gateway: Rc<Gateway<N>>,
    id: ForwardId,
    permit: WritePermit,
    /// The time that its head tells the endpoint (ms).
    announced_ms: f64,
    /// Whether it was broken off by this side.
    write_denied: Cell<bool>,
}

impl<N: Network> AttemptWriteObserver<N> {
    fn new(
        gateway: &Rc<Gateway<N>>,
        id: ForwardId,
        permit: WritePermit,
        announced_ms: f64,
    ) -> AttemptWriteObserver<N> {
        AttemptWriteObserver {
            gateway: gateway.clone(),
            id,
            permit,
            announced_ms,
            write_denied: Cell::new(false),
        }
    }
}

impl<N: Network> WriteObserver for AttemptWriteObserver<N> {
    fn may_write(&self) -> bool {
        let allowed = !self.write_denied.get() && self.gateway.attempt_may_write(self.id, self.permit);
        self.write_denied.set(!allowed);
        allowed
    }

    fn on_stage(&self, milestone: WriteStage) {
        self.gateway.attempt_reached(self.id, milestone, self.announced_ms);
    }
}

/// Waits so many milliseconds; for ever where they have no end.
async fn sleep_ms_or_forever(millis: f64) {
    match millis.is_finite() {
        true => tokio::time::sleep(duration_from_ms(millis)).await,
        false => std::future::pending().await,
    }
}
