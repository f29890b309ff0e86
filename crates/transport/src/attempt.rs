//! Runs one attempt on the network: obtains a connection, writes the request and reads the answer.

use super::answer_memory::AnswerMemory;
use super::connection::ExchangeResult;
use super::duration_from_ms;
use super::gateway::Gateway;
use super::network::Network;
use super::pending_flow::PendingRequest;
use super::pool::PooledConnection;
use super::write_progress::{WriteObserver, WriteStage};
use roseproxy_decision::interface::{Load, Outcome, ServerId};
use roseproxy_platform::{load, outcome};
use roseproxy_routing::event_log::Activity;
use roseproxy_routing::flow::{FlowId, ForwardEnd, ForwardId};
use roseproxy_routing::guard::WritePermit;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of an attempt's time that connecting may take.
const CONNECT_TIME_SHARE: f64 = 0.25;
/// Minimum time for connecting.
const MIN_CONNECT_TIMEOUT_MS: f64 = 50.0;

impl<N: Network> Gateway<N> {
    /// Runs an attempt from obtaining its connection to reporting its end.
    pub(super) async fn forward(
        self: Rc<Self>,
        id: ForwardId,
        target: ServerId,
        address: SocketAddr,
        deadline: f64,
        pending: PendingRequest,
    ) {
        // A target that cannot be connected to must leave time for an attempt on another target.
        let connect_timeout_ms = ((deadline - self.now()) * CONNECT_TIME_SHARE).max(MIN_CONNECT_TIMEOUT_MS);
        let (end, load) = match self.connection_to(target, address, connect_timeout_ms).await {
            Ok(pooled) => self.exchange(id, target, deadline, &pending, pooled).await,
            Err(outcome) => (ForwardEnd::Failed(outcome), None),
        };
        self.timed(Activity::AttemptEnd, |host, now| host.forward_ended(now, id, end, load));
        self.execute_orders();
        // Must come last: dropping the handle aborts this task.
        self.forwards.borrow_mut().remove(&id);
    }

    async fn exchange(
        self: &Rc<Self>,
        id: ForwardId,
        target: ServerId,
        deadline: f64,
        pending: &PendingRequest,
        mut pooled: PooledConnection,
    ) -> (ForwardEnd, Option<Load>) {
        let now = self.now();
        let permit = self.host.borrow_mut().begin_write(now, id);
        let Some(permit) = permit else {
            self.return_to_pool(target, pooled);
            return (ForwardEnd::Failed(Outcome::NotSent), None);
        };
        // Writing must stop once the write deadline has passed or the client no longer waits for
        // the answer.
        let write_deadline = async {
            tokio::select! {
                biased;
                () = pending.ended.notified() => {}
                () = sleep_ms_or_forever(permit.write_deadline - now) => {}
            }
        };
        let announced_ms = deadline - now;
        let observer = Rc::new(AttemptWriteObserver::new(self, id, permit, announced_ms));
        let memory =
            AnswerMemory::of_flow(pending.answer_allowance.clone(), &self.memory_budget, &self.memory);
        match pooled
            .connection
            .exchange_guarded(
                pending.request.to_target(announced_ms),
                write_deadline,
                observer.clone(),
                &memory,
            )
            .await
        {
            ExchangeResult::Answered(status, headers, body) => {
                self.return_to_pool(target, pooled);
                (outcome::from_answer(status, &headers, body), load::from_headers(&headers))
            }
            // Aborted by this side, so it says nothing about the target.
            ExchangeResult::Broken { last_byte_written: false }
                if observer.write_denied.get() || !self.pending_flows.borrow().contains_key(&id.flow) =>
            {
                (ForwardEnd::Failed(Outcome::NotSent), None)
            }
            ExchangeResult::Broken { last_byte_written } => {
                (outcome::from_disconnect(last_byte_written), None)
            }
        }
    }

    /// Whether the client of a flow is still connected according to its socket. The departure may
    /// not have been reported yet.
    fn client_is_connected(&self, id: FlowId) -> bool {
        let peek_client = self.pending_flows.borrow().get(&id).map(|pending| pending.peek_client.clone());
        peek_client.is_some_and(|peek_client| !peek_client().peer_has_closed())
    }

    /// Whether an attempt may continue to be written at this instant. If its client has left, the
    /// flow ends here.
    fn attempt_may_write(self: &Rc<Self>, id: ForwardId, permit: WritePermit) -> bool {
        let client_connected = self.client_is_connected(id.flow);
        let allowed = self.host.borrow_mut().may_continue_write(self.now(), id, permit, client_connected);
        if !client_connected {
            self.client_left(id.flow);
        }
        allowed
    }

    /// Lets routing check its invariants at the instant at which the first or last byte of an
    /// attempt is written.
    fn record_attempt_stage(&self, id: ForwardId, stage: WriteStage, announced_ms: f64) {
        if stage == WriteStage::LastByte {
            if let Some(pending) = self.pending_flows.borrow().get(&id.flow) {
                pending.written.set(true);
            }
        }
        let (now, mut host) = (self.now(), self.host.borrow_mut());
        match stage {
            WriteStage::FirstByte => host.attempt_began(now, id),
            WriteStage::LastByte => host.attempt_written(now, id, announced_ms),
        }
    }
}

/// Controls and observes the writing of one attempt.
struct AttemptWriteObserver<N> {
    gateway: Rc<Gateway<N>>,
    id: ForwardId,
    permit: WritePermit,
    /// The remaining time announced to the target in the request head (ms).
    announced_ms: f64,
    /// Whether this side refused to continue writing.
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

    fn on_stage(&self, stage: WriteStage) {
        self.gateway.record_attempt_stage(self.id, stage, self.announced_ms);
    }
}

/// Sleeps for the given milliseconds, or forever if they are infinite.
async fn sleep_ms_or_forever(millis: f64) {
    match millis.is_finite() {
        true => tokio::time::sleep(duration_from_ms(millis)).await,
        false => std::future::pending().await,
    }
}
