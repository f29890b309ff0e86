//! Stage 3: happenings become the module's events, and its actions are carried out in order.

use super::flow::{Answer, Order, ProbeEnd};
use super::timers::Due;
use super::{micros_since, time, Host, PROBE_PATIENCE};
use roseproxy_decision::interface::{Action, Event, Outcome, ServerId};

impl Host {
    /// Tells the module, carries out what it wants, and tells it in turn what came of that.
    pub(super) fn tell(&mut self, now: f64, event: Event) {
        self.handle(now, event);
        while let Some(ending) = self.endings.pop_front() {
            let event = Event::AttemptEnded {
                request: ending.id.flow,
                attempt: ending.id.attempt,
                server: ending.target,
                outcome: ending.outcome,
                elapsed: time::to_micros(ending.elapsed),
                finished: !self.flows.contains_key(&ending.id.flow),
                load: None,
            };
            self.book.ended(ending.outcome);
            self.record_end(now, ending.id, ending.outcome);
            self.handle(now, event);
        }
    }

    fn handle(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(time::to_micros(now), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(now, request, server, timeout),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::Refuse { request, retry_after, reason } => {
                self.refuse(now, request, time::to_millis(retry_after), reason.into());
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::SetTimer { token, after } => {
                self.timers.set(now + time::to_millis(after), Due::Module(token));
            }
            Action::Probe { server } => self.probe(now, server),
            Action::CloseIdle { server } => self.orders.push_back(Order::CloseIdle(server)),
            Action::Subscribe => self.orders.push_back(Order::Watch),
        }
    }

    pub(super) fn module_timer(&mut self, now: f64, token: u64) {
        self.tell(now, Event::Timer { token });
    }

    fn probe(&mut self, now: f64, server: ServerId) {
        self.last_probe += 1;
        let number = self.last_probe;
        let Some(member) = self.members.get_mut(&server) else { return };
        member.probe = Some((number, now));
        self.book.probes += 1;
        self.orders.push_back(Order::Probe(server, member.target.address));
        self.timers.set(now + PROBE_PATIENCE, Due::Probe(server, number));
    }

    /// A probe has ended. One that its patience ended before is heard no more.
    pub fn probe_ended(&mut self, now: f64, server: ServerId, end: ProbeEnd) {
        let out = self.members.get_mut(&server).and_then(|m| m.probe.take());
        let Some((_, sent)) = out else { return };
        if end.outcome != Outcome::Served {
            self.book.probes_lost += 1;
        }
        let elapsed = micros_since(sent, now);
        self.tell(now, Event::ProbeEnded { server, outcome: end.outcome, elapsed, load: end.load });
    }

    pub(super) fn probe_overdue(&mut self, now: f64, server: ServerId, number: u64) {
        let probe = self.members.get(&server).and_then(|m| m.probe);
        if probe.is_some_and(|(n, _)| n == number) {
            self.orders.push_back(Order::GiveUpProbe(server));
            self.probe_ended(now, server, ProbeEnd { outcome: Outcome::TimedOut, load: None });
        }
    }
}
