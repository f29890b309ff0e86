//! A test driver that passes events to one balancer.
#![allow(dead_code)]

use roseproxy_decision::interface::*;
use roseproxy_decision::policy::Balancer;

pub const START: Micros = 50_000_000;

/// A balancer and the current time.
pub struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
}

pub fn class(effect: Effect) -> Class {
    Class { latency_goal: 300_000, client_timeout: 1_200_000, worth: 1.0, late_worth: 0.2, effect }
}

pub fn keyed(group: Group) -> Effect {
    Effect::Keyed { group, window: 700_000 }
}

/// Settings of one of 20 sidecars. Classes: 0 safe, 1 unsafe, 2 to 4 keyed for all servers, a zone, a cell.
pub fn settings() -> Settings {
    let effects = [Effect::Safe, Effect::Unsafe, keyed(Group::All), keyed(Group::Zone), keyed(Group::Cell)];
    Settings {
        sidecars: 20,
        zone: Some(0),
        classes: effects.map(class).to_vec(),
        cancel: true,
        second_copies: true,
        max_attempts: 4,
        cold_from: 0.3,
        warm_up: 10_000_000,
        fall_multiple: 3.0,
        answer_grace: 20_000,
        ..Settings::default()
    }
}

/// Server `i`, with two servers per cell and four per zone.
pub fn server(i: u64) -> Server {
    Server { id: ServerId(i), zone: i as u32 / 4, cell: i as u32 / 2, power: 1.0, ..Server::default() }
}

/// A load report of this many requests in flight.
pub fn load_report(in_flight: f64) -> Option<Load> {
    Some(Load { in_flight: Some(in_flight), ..Load::default() })
}

impl Driver {
    /// A balancer that has been given a list of this many servers.
    pub fn new(settings: Settings, seed: u64, servers: u64) -> Driver {
        let mut driver = Driver { balancer: Balancer::new(settings, seed, START), now: START };
        let list: Vec<Server> = (0..servers).map(server).collect();
        driver.update_list(Update::Complete, &list);
        driver
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_list(&mut self, update: Update, servers: &[Server]) -> Vec<Action> {
        self.event(Event::Servers { update, servers })
    }

    pub fn change_readiness(&mut self, i: u64, readiness: Readiness) -> Vec<Action> {
        self.update_list(Update::Changes, &[Server { readiness, ..server(i) }])
    }

    pub fn request(&mut self, id: RequestId, class: ClassId) -> Vec<Action> {
        self.request_with_time_left(id, class, 1_200_000)
    }

    pub fn request_with_time_left(
        &mut self,
        id: RequestId,
        class: ClassId,
        time_left: Micros,
    ) -> Vec<Action> {
        self.event(Event::Request(Request { id, class, work: Some(10_000), time_left, ..Request::default() }))
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: u64,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, server, outcome, 10_000, None)
    }

    pub fn end_attempt_after(
        &mut self,
        request: RequestId,
        attempt: usize,
        server: u64,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<Load>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Served;
        let server = ServerId(server);
        self.event(Event::AttemptEnded { request, attempt, server, outcome, elapsed, finished, load })
    }

    /// Ends an attempt, and each further attempt of the request in the same way, as no attempt stays in
    /// flight for ever in service. Advances the time by `wait` before each end. Returns the actions of all
    /// ends.
    pub fn end_all_attempts(
        &mut self,
        id: RequestId,
        server: u64,
        wait: Micros,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<Load>,
    ) -> Vec<Action> {
        let (mut actions, mut next) = (Vec::new(), Some(server));
        for attempt in 0.. {
            let Some(server) = next else { break };
            let more = self.advance(wait).end_attempt_after(id, attempt, server, outcome, elapsed, load);
            next = sent_to(&more).first().copied();
            actions.extend(more);
        }
        actions
    }

    pub fn end_probe(&mut self, server: u64, outcome: Outcome, load: Option<Load>) -> Vec<Action> {
        self.event(Event::ProbeEnded { server: ServerId(server), outcome, elapsed: 500, load })
    }

    pub fn expire_timer(&mut self, token: u64) -> Vec<Action> {
        self.event(Event::Timer { token })
    }

    pub fn advance(&mut self, time: Micros) -> &mut Driver {
        self.now += time;
        self
    }
}

/// Servers that attempts were sent to.
pub fn sent_to(actions: &[Action]) -> Vec<u64> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// Servers that were probed.
pub fn probes(actions: &[Action]) -> Vec<u64> {
    let server = |a: &Action| match a {
        Action::Probe { server } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Number of final answers among the actions.
pub fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}

/// Tokens and delays of the timers set.
pub fn timers(actions: &[Action]) -> Vec<(u64, Micros)> {
    let timer = |a: &Action| match a {
        Action::SetTimer { token, after } => Some((*token, *after)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
