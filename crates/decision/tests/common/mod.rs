//! Drives one balancer event by event.
#![allow(dead_code)]

use roseproxy_decision::interface::*;
use roseproxy_decision::policy::Balancer;

pub const START: Micros = 50_000_000;

pub struct Driver {
    pub balancer: Balancer,
    pub now: Micros,
}

pub fn class(effect: Effect) -> Class {
    Class { aim: 300_000, give_up: 1_200_000, worth: 1.0, late_worth: 0.2, effect }
}

pub fn keyed(group: Group) -> Effect {
    Effect::Keyed { group, window: 700_000 }
}

/// Classes: 0 safe, 1 unsafe, 2 to 4 keyed within all, a zone, a cell.
pub fn settings() -> Settings {
    let effects = [Effect::Safe, Effect::Unsafe, keyed(Group::All), keyed(Group::Zone), keyed(Group::Cell)];
    Settings {
        balancers: 20,
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

/// Server `i`: two to a cell, four to a zone.
pub fn server(i: u64) -> Server {
    Server { id: ServerId(i), zone: i as u32 / 4, cell: i as u32 / 2, power: 1.0, ..Server::default() }
}

pub fn held(held: f64) -> Option<Load> {
    Some(Load { held: Some(held), ..Load::default() })
}

impl Driver {
    /// A balancer that knows `servers` servers, with what it did at once.
    pub fn new(settings: Settings, seed: u64, servers: u64) -> Driver {
        let mut driver = Driver { balancer: Balancer::new(settings, seed, START), now: START };
        let list: Vec<Server> = (0..servers).map(server).collect();
        driver.list(Update::Complete, &list);
        driver
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, update: Update, servers: &[Server]) -> Vec<Action> {
        self.event(Event::Servers { update, servers })
    }

    pub fn change(&mut self, i: u64, readiness: Readiness) -> Vec<Action> {
        self.list(Update::Changes, &[Server { readiness, ..server(i) }])
    }

    pub fn request(&mut self, id: RequestId, class: ClassId) -> Vec<Action> {
        self.request_in(id, class, 1_200_000)
    }

    pub fn request_in(&mut self, id: RequestId, class: ClassId, time_left: Micros) -> Vec<Action> {
        self.event(Event::Request(Request { id, class, work: Some(10_000), time_left, ..Request::default() }))
    }

    pub fn end(&mut self, id: RequestId, attempt: usize, server: u64, outcome: Outcome) -> Vec<Action> {
        self.end_after(id, attempt, server, outcome, 10_000, None)
    }

    pub fn end_after(
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
        self.event(Event::Ended { request, attempt, server, outcome, elapsed, finished, load })
    }

    /// Ends an attempt, and whatever is sent again for it likewise: nothing stays out for ever in service.
    /// Waits so long before each end; returns all that was done upon them.
    pub fn end_all(
        &mut self,
        id: RequestId,
        server: u64,
        wait: Micros,
        outcome: Outcome,
        elapsed: Micros,
        load: Option<Load>,
    ) -> Vec<Action> {
        let (mut all, mut next) = (Vec::new(), Some(server));
        for attempt in 0.. {
            let Some(to) = next else { break };
            let done = self.wait(wait).end_after(id, attempt, to, outcome, elapsed, load);
            next = sent(&done).first().copied();
            all.extend(done);
        }
        all
    }

    pub fn probed(&mut self, server: u64, outcome: Outcome, load: Option<Load>) -> Vec<Action> {
        self.event(Event::Probed { server: ServerId(server), outcome, elapsed: 500, load })
    }

    pub fn timer(&mut self, token: u64) -> Vec<Action> {
        self.event(Event::Timer { token })
    }

    pub fn wait(&mut self, time: Micros) -> &mut Driver {
        self.now += time;
        self
    }
}

/// Servers that something was sent to.
pub fn sent(actions: &[Action]) -> Vec<u64> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

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

/// Final answers among the actions.
pub fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count()
}

/// Tokens and delays of the timers set.
pub fn timers(actions: &[Action]) -> Vec<(u64, Micros)> {
    let timer = |a: &Action| match a {
        Action::Timer { token, after } => Some((*token, *after)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
