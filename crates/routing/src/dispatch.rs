//! Stage 3: reported events are passed to the decision module, and its actions are executed in
//! order.

use super::flow::{Answer, Order, ProbeEnd};
use super::timers::TimerKind;
use super::{micros_since, time, Host, PROBE_TIMEOUT_MS};
use roseproxy_decision::interface::{Action, Event, Outcome, ServerId};

impl Host {
    /// Passes an event to the decision module, executes its actions, and reports the forwards that
    /// these ended.
    pub(super) fn notify_module(&mut self, now: f64, event: Event) {
        self.handle_event(now, event);
        while let Some(forward) = self.ended_forwards.pop_front() {
            let event = Event::AttemptEnded {
                request: forward.id.flow,
                attempt: forward.id.attempt,
                server: forward.target,
                outcome: forward.outcome,
                elapsed: time::to_micros(forward.elapsed),
                finished: !self.flows.contains_key(&forward.id.flow),
                load: None,
            };
            self.counters.count_outcome(forward.outcome);
            self.record_attempt_end(now, forward.id, forward.outcome);
            self.handle_event(now, event);
        }
    }

    fn handle_event(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(time::to_micros(now), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, now: f64, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(now, request, server, timeout),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::Refuse { request, retry_after, reason } => {
                self.refuse(now, request, time::to_millis(retry_after), reason.into());
            }
            Action::Fail { request } => self.answer(now, request, Answer::Failed),
            Action::SetTimer { token, after } => {
                self.timers.set(now + time::to_millis(after), TimerKind::Module(token));
            }
            Action::Probe { server } => self.probe(now, server),
            Action::CloseIdle { server } => self.orders.push_back(Order::CloseIdle(server)),
            Action::Subscribe => self.orders.push_back(Order::Watch),
        }
    }

    pub(super) fn module_timer_fired(&mut self, now: f64, token: u64) {
        self.notify_module(now, Event::Timer { token });
    }

    fn probe(&mut self, now: f64, server: ServerId) {
        self.last_probe_number += 1;
        let number = self.last_probe_number;
        let Some(member) = self.members.get_mut(&server) else { return };
        member.probe = Some((number, now));
        self.counters.probes_sent += 1;
        self.orders.push_back(Order::Probe(server, member.target.address));
        self.timers.set(now + PROBE_TIMEOUT_MS, TimerKind::Probe(server, number));
    }

    /// Handles the end of a probe. The end of a probe that has already timed out is ignored.
    pub fn probe_ended(&mut self, now: f64, server: ServerId, end: ProbeEnd) {
        let probe = self.members.get_mut(&server).and_then(|m| m.probe.take());
        let Some((_, sent)) = probe else { return };
        if end.outcome != Outcome::Served {
            self.counters.probes_lost += 1;
        }
        let elapsed = micros_since(sent, now);
        self.notify_module(now, Event::ProbeEnded { server, outcome: end.outcome, elapsed, load: end.load });
    }

    pub(super) fn probe_overdue(&mut self, now: f64, server: ServerId, number: u64) {
        let probe = self.members.get(&server).and_then(|m| m.probe);
        if probe.is_some_and(|(n, _)| n == number) {
            self.orders.push_back(Order::GiveUpProbe(server));
            self.probe_ended(now, server, ProbeEnd { outcome: Outcome::TimedOut, load: None });
        }
    }
}
