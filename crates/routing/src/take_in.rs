//! Stage 1: a request becomes a flow, and the list becomes the target group.

use super::flow::{FlowId, NewFlow, Target};
use super::{time, EventKind, Flow, Host, Member, SPARE};
use roseproxy_decision::interface::{Event, Readiness, Request, Server, Update};

impl Host {
    /// Takes a request that a client sent whole. From here on it is owed exactly one answer, which
    /// comes as an [`super::flow::Order::Answer`] with the id returned.
    pub fn take_in(&mut self, now: f64, new: NewFlow) -> FlowId {
        self.last_flow += 1;
        let id = self.last_flow;
        self.book.taken += 1;
        let time_left = new.time_left - SPARE;
        let (class, deadline) = (new.class, now + time_left);
        self.flows.insert(id, Flow { deadline, class, attempts: 0, written: Vec::new() });
        if self.admits(now, id, time_left) {
            let request = Request {
                id,
                class: new.class,
                tenant: new.tenant,
                work: None,
                key: new.key,
                time_left: time::to_micros(time_left),
            };
            self.owe_by(id);
            self.tell(now, Event::Request(request));
        }
        id
    }

    /// The client of a flow has left: nothing is owed any more, and its forwards are called off.
    pub fn client_gone(&mut self, now: f64, id: FlowId) {
        // An answer may have won the race; then the flow is not there any more.
        if self.close_flow(now, id) {
            self.book.gone += 1;
            self.events.record(now, Some(id), EventKind::ClientLeft);
            self.tell(now, Event::ClientLeft { request: id });
        }
    }

    /// News of the target group. Only a complete list removes those that it does not name.
    pub fn targets(&mut self, now: f64, update: Update, targets: &[Target]) {
        self.book.lists += 1;
        self.pushed_calls.received();
        if update == Update::Complete {
            let named: std::collections::HashSet<_> = targets.iter().map(|t| t.id).collect();
            let absent = self.members.values_mut().filter(|m| !named.contains(&m.target.id));
            for member in absent.filter(|m| m.target.readiness != Readiness::Gone) {
                member.leave(now, Readiness::Gone);
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
                Readiness::Draining | Readiness::Gone => member.leave(now, readiness),
            }
        }
        let servers: Vec<Server> = targets.iter().map(entry).collect();
        self.tell(now, Event::Servers { update, servers: &servers });
        self.forget_gone();
    }

    /// In a list that may be older than the one in hand: marks those that are leaving, unless they have started anew since.
    pub fn keep_leaving(&self, targets: &mut [Target]) {
        for target in targets {
            let known = self.members.get(&target.id).filter(|m| m.leaving_since.is_some());
            if let Some(member) = known.filter(|m| m.target.started_at == target.started_at) {
                target.readiness = member.target.readiness;
            }
        }
    }

    /// Drops members that are gone and idle, or the map would grow with every machine ever seen.
    fn forget_gone(&mut self) {
        let busy: std::collections::HashSet<_> = self.forwards.values().map(|f| f.target).collect();
        self.members
            .retain(|id, m| m.target.readiness != Readiness::Gone || m.probe.is_some() || busy.contains(id));
    }
}

impl Member {
    fn leave(&mut self, now: f64, readiness: Readiness) {
        self.target.readiness = readiness;
        // The grace counts from the first word of it.
        self.leaving_since.get_or_insert(now);
    }
}

fn entry(target: &Target) -> Server {
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
