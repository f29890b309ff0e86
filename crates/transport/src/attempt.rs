//! One attempt on the network: a connection, the writing of the request, its answer.

use super::connection::Exchange;
use super::gateway::Gateway;
use super::length;
use super::meter::{Milestone, Writing};
use super::network::{Network, Unread};
use super::pool::Line;
use roseproxy_decision::interface::{Load, Outcome, ServerId};
use roseproxy_platform::request::ForwardedRequest;
use roseproxy_platform::{load, outcome};
use roseproxy_routing::event_log::Activity;
use roseproxy_routing::flow::{FlowId, ForwardEnd, ForwardId};
use roseproxy_routing::guard::WritePermit;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Share of an attempt's time that connecting may take, and the least that it gets (ms).
const CONNECT_SHARE: f64 = 0.25;
const CONNECT_LEAST: f64 = 50.0;

impl<N: Network> Gateway<N> {
    /// Plays an attempt from its connection to its end.
    pub(super) async fn forward(
        self: Rc<Self>,
        id: ForwardId,
        target: ServerId,
        address: SocketAddr,
        until: f64,
        wait: (Rc<ForwardedRequest>, Rc<Notify>),
    ) {
        // A target that does not come up must leave time for another.
        let within = ((until - self.now()) * CONNECT_SHARE).max(CONNECT_LEAST);
        let (end, load) = match self.line(target, address, within).await {
            Ok(line) => self.exchange(id, target, until, &wait, line).await,
            Err(outcome) => (ForwardEnd::Lost(outcome), None),
        };
        self.timed(Activity::AttemptEnd, |host, now| host.forward_ended(now, id, end, load));
        self.settle();
        // Last, as it ends this very task.
        self.forwards.borrow_mut().remove(&id);
    }

    async fn exchange(
        self: &Rc<Self>,
        id: ForwardId,
        target: ServerId,
        until: f64,
        (passing, ended): &(Rc<ForwardedRequest>, Rc<Notify>),
        mut line: Line,
    ) -> (ForwardEnd, Option<Load>) {
        let now = self.now();
        let permit = self.host.borrow_mut().begin_write(now, id);
        let Some(permit) = permit else {
            self.keep(target, line);
            return (ForwardEnd::Lost(Outcome::NotSent), None);
        };
        // Neither behind its time nor once nobody waits for it may a request be written on.
        let too_late = async {
            tokio::select! {
                biased;
                () = ended.notified() => {}
                () = at(permit.whole_by - now) => {}
            }
        };
        let told = until - now;
        let writing = Rc::new(AttemptWriting::new(self, id, permit, told));
        match line.connection.exchange_unless(passing.to_target(told), too_late, writing.clone()).await {
            Exchange::Answered(status, headers, body) => {
                self.keep(target, line);
                (outcome::from_answer(status, &headers, body), load::from_headers(&headers))
            }
            // Broken off by this side: that tells nothing of the target.
            Exchange::Broke { last_byte_written: false }
                if writing.withheld.get() || !self.waiting.borrow().contains_key(&id.flow) =>
            {
                (ForwardEnd::Lost(Outcome::NotSent), None)
            }
            Exchange::Broke { last_byte_written } => (outcome::from_disconnect(last_byte_written), None),
        }
    }

    /// Whether the client of a flow is still there, as its connection says: its departure may not have been heard of yet.
    fn client_is_there(&self, id: FlowId) -> bool {
        let client = self.waiting.borrow().get(&id).map(|waiting| waiting.client.clone());
        client.is_some_and(|client| client() != Unread::End)
    }

    /// Whether an attempt may be written on at this instant; one whose client has left ends here.
    fn may_write_on(self: &Rc<Self>, id: ForwardId, permit: WritePermit) -> bool {
        let present = self.client_is_there(id.flow);
        let allowed = self.host.borrow_mut().may_write_on(self.now(), id, permit, present);
        if !present {
            self.client_gone(id.flow);
        }
        allowed
    }

    /// Has the invariants checked at the instant at which an attempt goes out.
    fn attempt_passed(&self, id: ForwardId, milestone: Milestone, told: f64) {
        let (now, mut host) = (self.now(), self.host.borrow_mut());
        match milestone {
            Milestone::Began => host.attempt_began(now, id),
            Milestone::Whole => host.attempt_whole(now, id, told),
        }
    }
}

/// Answers for the writing of an attempt.
struct AttemptWriting<N> {
    gateway: Rc<Gateway<N>>,
    id: ForwardId,
    permit: WritePermit,
    /// The time that its head tells the endpoint (ms).
    told: f64,
    /// Whether it was broken off by this side.
    withheld: Cell<bool>,
}

impl<N: Network> AttemptWriting<N> {
    fn new(gateway: &Rc<Gateway<N>>, id: ForwardId, permit: WritePermit, told: f64) -> AttemptWriting<N> {
        AttemptWriting { gateway: gateway.clone(), id, permit, told, withheld: Cell::new(false) }
    }
}

impl<N: Network> Writing for AttemptWriting<N> {
    fn may_go(&self) -> bool {
        let allowed = !self.withheld.get() && self.gateway.may_write_on(self.id, self.permit);
        self.withheld.set(!allowed);
        allowed
    }

    fn passed(&self, milestone: Milestone) {
        self.gateway.attempt_passed(self.id, milestone, self.told);
    }
}

/// Waits so many milliseconds; for ever where they have no end.
async fn at(millis: f64) {
    match millis.is_finite() {
        true => tokio::time::sleep(length(millis)).await,
        false => std::future::pending().await,
    }
}
