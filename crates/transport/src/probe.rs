//! Runs one probe on the network: asks a target for its load.

use super::answer_memory::AnswerMemory;
use super::connection::ExchangeResult;
use super::counters::increment;
use super::gateway::Gateway;
use super::network::Network;
use hyper::StatusCode;
use roseproxy_decision::interface::{Outcome, ServerId};
use roseproxy_platform::load;
use roseproxy_platform::request::OutgoingRequest;
use roseproxy_routing::event_log::Activity;
use roseproxy_routing::flow::ProbeEnd;
use std::net::SocketAddr;
use std::rc::Rc;

impl<N: Network> Gateway<N> {
    /// Asks a target for its load and reports the result.
    pub(super) async fn probe(self: Rc<Self>, target: ServerId, address: SocketAddr) {
        let end = match self.connection_to(target, address, self.connect_timeout_ms).await {
            Err(outcome) => ProbeEnd { outcome, load: None },
            Ok(mut pooled) => {
                let memory = AnswerMemory::of_budget(&self.memory_budget, &self.memory);
                let request = OutgoingRequest::get("/stats", "origin.svc");
                match pooled.connection.exchange(request, &memory).await {
                    ExchangeResult::Answered(status, _, body) => {
                        self.return_to_pool(target, pooled);
                        self.read_probe(status, &body)
                    }
                    ExchangeResult::Broken { .. } => ProbeEnd { outcome: Outcome::Broken, load: None },
                }
            }
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
}
