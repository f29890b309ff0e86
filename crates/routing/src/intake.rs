//! Stage 1: requests become flows, and lists from discovery update the targets.

use super::flow::{FlowId, NewFlow, Target};
use super::{time, EventKind, Flow, Host, Member, TIME_RESERVE_MS};
use roseproxy_decision::interface::{Event, Readiness, Request, Server, Update};

impl Host {
    /// Accepts a request that a client has sent completely. It is owed exactly one answer, which is
    /// issued as an [`super::flow::Order::Answer`] with the returned id.
    pub fn accept_request(&mut self, now: f64, request: NewFlow) -> FlowId {
        self.last_flow += 1;
        let id = self.last_flow;
        self.counters.flows_taken += 1;
        let time_left = request.time_left - TIME_RESERVE_MS;
        let (class, deadline) = (request.class, now + time_left);
        self.flows.insert(id, Flow { deadline, class, attempts: 0, written: Vec::new() });
        if self.admit(now, id, time_left) {
            let event = Request {
                id,
                class: request.class,
                tenant: request.tenant,
                work: None,
                key: request.key,
                time_left: time::to_micros(time_left),
            };
            self.prune_timers();
            self.set_answer_timer(id);
            self.notify_module(now, Event::Request(event));
        }
        id
    }

    /// Handles the departure of a flow's client: no answer is owed any more, and its forwards are
    /// stopped.
    pub fn client_left(&mut self, now: f64, id: FlowId) {
        // If an answer was sent first, the flow no longer exists.
        if self.close_flow(now, id) {
            self.counters.clients_left += 1;
            self.events.record(now, Some(id), EventKind::ClientLeft);
            self.notify_module(now, Event::ClientLeft { request: id });
        }
    }

    /// Applies a target list or changes of it. Only a complete list removes targets that it does not
    /// name.
    pub fn update_targets(&mut self, now: f64, update: Update, targets: &[Target]) {
        self.counters.lists_taken += 1;
        self.push_backoff.on_list();
        if update == Update::Complete {
            let named: std::collections::HashSet<_> = targets.iter().map(|t| t.id).collect();
            let absent = self.members.values_mut().filter(|m| !named.contains(&m.target.id));
            for member in absent.filter(|m| m.target.readiness != Readiness::Gone) {
                member.mark_leaving(now, Readiness::Gone);
                let (endpoint, readiness) = (member.target.id, Readiness::Gone);
                self.events.record(now, None, EventKind::Endpoint { endpoint, readiness });
            }
        }
        for target in targets {
            let member = self.members.entry(target.id).or_insert_with(|| Member {
                target: target.clone(),
                leaving_since: None,
                probe: None,
            });
            let readiness = target.readiness;
            if member.target.readiness != readiness {
                self.events.record(now, None, EventKind::Endpoint { endpoint: target.id, readiness });
            }
            member.target = target.clone();
            match readiness {
                Readiness::Ready => member.leaving_since = None,
                Readiness::Draining | Readiness::Gone => member.mark_leaving(now, readiness),
            }
        }
        let servers: Vec<Server> = targets.iter().map(server_entry).collect();
        self.notify_module(now, Event::Servers { update, servers: &servers });
        self.remove_gone_members();
    }

    /// In a list that may be older than the current one, keeps the readiness of targets that are
    /// leaving, unless they have restarted since.
    pub fn preserve_leaving(&self, targets: &mut [Target]) {
        for target in targets {
            let known = self.members.get(&target.id).filter(|m| m.leaving_since.is_some());
            if let Some(member) = known.filter(|m| m.target.started_at == target.started_at) {
                target.readiness = member.target.readiness;
            }
        }
    }

    /// Drops members that are gone and idle; otherwise the map would grow with every machine ever
    /// seen.
    fn remove_gone_members(&mut self) {
        let busy: std::collections::HashSet<_> = self.forwards.values().map(|f| f.target).collect();
        self.members
            .retain(|id, m| m.target.readiness != Readiness::Gone || m.probe.is_some() || busy.contains(id));
    }
}

impl Member {
    fn mark_leaving(&mut self, now: f64, readiness: Readiness) {
        self.target.readiness = readiness;
        // The grace counts from the first notice.
        self.leaving_since.get_or_insert(now);
    }
}

fn server_entry(target: &Target) -> Server {
    Server {
        id: target.id,
        zone: target.zone,
        cell: target.cell,
        kind: target.kind,
        power: target.power,
        started_at: target.started_at.map(time::to_micros),
        readiness: target.readiness,
    }
}
