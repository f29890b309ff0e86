//! Stage 1: requests become flows, and lists from discovery update the targets.

use super::flow::{FlowId, NewFlow, Order, ProbeEnd, Target};
use super::{time, EventKind, Flow, Host, Member, TIME_RESERVE_MS};
use roseproxy_decision::interface::{Event, Outcome, Readiness, Request, Server, ServerId, Update};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

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
            let named: HashSet<_> = targets.iter().map(|t| t.id).collect();
            let absent = self.members.values_mut().filter(|m| !named.contains(&m.target.id));
            for member in absent.filter(|m| m.target.readiness != Readiness::Gone) {
                member.mark_leaving(now, Readiness::Gone);
                let (endpoint, readiness) = (member.target.id, Readiness::Gone);
                self.events.record(now, None, EventKind::Endpoint { endpoint, readiness });
            }
        }
        let mut replaced = Vec::new();
        for target in targets {
            let member = self.members.entry(target.id).or_insert_with(|| Member {
                target: target.clone(),
                leaving_since: None,
                may_return: false,
                probe: None,
            });
            let readiness = target.readiness;
            if member.target.readiness != readiness {
                self.events.record(now, None, EventKind::Endpoint { endpoint: target.id, readiness });
            }
            if member.target.process() != target.process() {
                replaced.push(target.id);
            }
            member.target = target.clone();
            match readiness {
                Readiness::Ready => (member.leaving_since, member.may_return) = (None, false),
                Readiness::Draining | Readiness::Gone => member.mark_leaving(now, readiness),
            }
        }
        let superseded = self.retire_superseded(now);
        let listed = targets.iter().filter(|target| !superseded.iter().any(|other| other.id == target.id));
        let servers: Vec<Server> = listed.chain(&superseded).map(server_entry).collect();
        self.notify_module(now, Event::Servers { update, servers: &servers });
        replaced.into_iter().for_each(|id| self.forget_process(now, id));
        self.remove_gone_members();
    }

    /// Ends what is under way with the former process of a target: its idle connections and its probe.
    /// Attempts are stopped when they are about to be written.
    fn forget_process(&mut self, now: f64, id: ServerId) {
        self.orders.push_back(Order::CloseIdle(id));
        if self.members.get(&id).is_some_and(|member| member.probe.is_some()) {
            self.orders.push_back(Order::GiveUpProbe(id));
            self.probe_ended(now, id, ProbeEnd { outcome: Outcome::Cancelled, load: None });
        }
    }

    /// Takes targets out of service at whose address another one has started since: their processes have
    /// gone, which the list tells later. Returns them.
    fn retire_superseded(&mut self, now: f64) -> Vec<Target> {
        let in_service = |member: &&Member| member.target.readiness == Readiness::Ready;
        let mut latest_starts: HashMap<SocketAddr, f64> = HashMap::new();
        for target in self.members.values().filter(in_service).map(|member| &member.target) {
            let start = target.started_at.unwrap_or(f64::NEG_INFINITY);
            let latest = latest_starts.entry(target.address).or_insert(start);
            *latest = latest.max(start);
        }
        let mut superseded = Vec::new();
        for member in self.members.values_mut().filter(|member| member.target.readiness == Readiness::Ready) {
            let start = member.target.started_at.unwrap_or(f64::NEG_INFINITY);
            if latest_starts.get(&member.target.address).is_some_and(|latest| start < *latest) {
                member.mark_leaving(now, Readiness::Gone);
                superseded.push(member.target.clone());
            }
        }
        // Nothing may depend on the order of a hash table.
        superseded.sort_unstable_by_key(|target| target.id);
        for target in &superseded {
            let event = EventKind::Endpoint { endpoint: target.id, readiness: Readiness::Gone };
            self.events.record(now, None, event);
        }
        superseded
    }

    /// Applies a list that may be older than what is known. It brings no target back to service that is
    /// leaving or has gone, unless that has restarted since, and a target that it doesn't name may come
    /// with the next one.
    pub fn update_by_outdated_list(&mut self, now: f64, update: Update, mut targets: Vec<Target>) {
        self.keep_later_knowledge(&mut targets);
        if update == Update::Complete {
            let named: HashSet<_> = targets.iter().map(|target| target.id).collect();
            let in_service = |member: &&mut Member| member.target.readiness == Readiness::Ready;
            let absent =
                self.members.values_mut().filter(in_service).filter(|m| !named.contains(&m.target.id));
            absent.for_each(|member| member.may_return = true);
        }
        self.update_targets(now, update, &targets);
    }

    /// In an outdated list, keeps later starts and the readiness of targets that are leaving or gone.
    fn keep_later_knowledge(&self, targets: &mut [Target]) {
        let returns = |target: &Target| target.readiness == Readiness::Ready;
        for target in targets {
            match self.members.get(&target.id).map(|member| &member.target) {
                Some(known) if known.started_at > target.started_at => *target = known.clone(),
                Some(known) if known.started_at == target.started_at && returns(target) => {
                    target.readiness = known.readiness;
                }
                Some(_) => {}
                None if self.departed.contains(target) && returns(target) => {
                    target.readiness = Readiness::Gone
                }
                None => {}
            }
        }
    }

    /// Drops members that are gone and idle; otherwise the map would grow with every machine ever
    /// seen.
    fn remove_gone_members(&mut self) {
        let busy: HashSet<_> = self.forwards.values().map(|f| f.target).collect();
        let is_over = |id: &ServerId, m: &Member| {
            m.target.readiness == Readiness::Gone && m.probe.is_none() && !busy.contains(id)
        };
        let mut over: Vec<ServerId> =
            self.members.iter().filter(|(id, m)| is_over(id, m)).map(|(id, _)| *id).collect();
        // Nothing may depend on the order of a hash table.
        over.sort_unstable();
        for id in over {
            if let Some(member) = self.members.remove(&id).filter(|member| !member.may_return) {
                self.departed.insert(&member.target);
            }
        }
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
