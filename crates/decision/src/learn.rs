//! Estimates learned from answers and reports: speed, forecasts, warm-up. `policy.rs` decides with them.

use crate::interface::Micros;
use crate::state::{Balancer, KindSpeed, ServerState};

/// Longest delay (microseconds) with which the server list reports that a server has started.
pub(crate) const MAX_START_REPORT_DELAY_US: Micros = 6_000_000;
/// Weight of one answer in a server's learned speed. An answer is compared with reports that are a second
/// old; larger steps mistake momentary overload for a slow machine.
const LOG_SPEED_GAIN: f64 = 0.03;
/// Time constant (microseconds) with which the recent time of attempts at a server decays.
const RECENT_TIME_DECAY_US: f64 = 0.7e6;
/// Number of usual answers that each server counts as having given recently, before any.
const PRIOR_ANSWERS: f64 = 2.0;
/// Exponent of its slowness by which a server loses capacity. It is above 1 because a slow server gets
/// slower by what it is sent, and by the time one sidecar notices, all others notice too.
const SLOWNESS_EXPONENT: f64 = 1.25;

impl ServerState {
    /// Decayed time that this sidecar's attempts have spent at the server, and decayed number of answers, as
    /// of now.
    fn recent(&self, now: Micros) -> (f64, f64) {
        let kept = (-((now - self.recent_as_of).max(0) as f64) / RECENT_TIME_DECAY_US).exp();
        (
            self.recent_time_us * kept + f64::from(self.in_flight) * RECENT_TIME_DECAY_US * (1.0 - kept),
            self.recent_answers * kept,
        )
    }

    /// Changes the number of attempts in flight, after counting the time that the previous ones have spent.
    pub(crate) fn set_in_flight(&mut self, in_flight: u32, now: Micros) {
        (self.recent_time_us, self.recent_answers) = self.recent(now);
        (self.recent_as_of, self.in_flight) = (now, in_flight);
    }
}

impl Balancer {
    /// Forecast of the response time of some work at a server, whose requests share its capacity equally.
    pub(crate) fn forecast(&self, slot: usize, work: f64) -> f64 {
        work * (self.effective_load(slot) + 1.0) / self.servers[slot].capacity
    }

    /// Learns from an answer the speed of its server and of the machine kind, and how reliable reports are.
    pub(crate) fn learn_from_answer(&mut self, slot: usize, work: f64, elapsed: f64) {
        let elapsed = elapsed.max(100.0);
        let miss = (self.forecast(slot, work) / elapsed).ln().clamp(-3.0, 3.0);
        self.forecast_error += (miss.abs() - self.forecast_error) * 0.05;
        self.response_time += (elapsed - self.response_time) * 0.05;
        self.mean_work += (work - self.mean_work) * 0.05;
        let server = &mut self.servers[slot];
        if server.reported_at.is_some() && !server.load_is_guess {
            // Late reports send all sidecars to servers that only look empty. This shows in answers that take
            // as long as the fleet's mean load implies, or longer, and not as long as the reports imply.
            let error = |load: f64| (elapsed * server.capacity / work / (load + 1.0)).ln().abs();
            let gain = error(self.mean_load * server.capacity) - error(server.reported_load);
            self.report_trust = (self.report_trust + gain.clamp(-1.0, 1.0) * 0.25).clamp(0.0, 1.0);
        }
        // A kind without answers starts with the fleet's speed; one answer must not make it stand out.
        let kind = self
            .kinds
            .entry(server.info.kind)
            .or_insert(KindSpeed { log_speed: self.log_speed, answers_seen: 1.0 });
        let log_speed = miss + kind.log_speed + server.log_speed;
        (self.answers_seen, kind.answers_seen) = (self.answers_seen + 1.0, kind.answers_seen + 1.0);
        self.log_speed += (log_speed - self.log_speed) * (1.0 / self.answers_seen).max(0.02);
        kind.log_speed += (log_speed - kind.log_speed) * (1.0 / kind.answers_seen).max(0.02);
        server.log_speed = (server.log_speed
            + (log_speed - kind.log_speed - server.log_speed) * LOG_SPEED_GAIN)
            .clamp(-2.5, 0.7);
    }

    /// Learns this sidecar's share of the requests that the servers hold. `known` lists reported loads and
    /// capacities, and has at least one entry.
    pub(crate) fn learn_traffic_share(&mut self, known: &[(f64, f64)], passed: f64) {
        let ready = self.servers.iter().filter(|s| s.ready()).count() as f64;
        let own: u32 = self.servers.iter().map(|s| s.in_flight).sum();
        let mean = known.iter().map(|(load, _)| load).sum::<f64>() / known.len() as f64;
        self.tenants.record_held(mean * ready, own.into(), passed);
    }

    /// Factor by which a server has recently been slower than expected: the time that this sidecar's attempts
    /// have spent there, answered or not, per answer, relative to what a server of that speed takes at the
    /// fleet's mean load. Answers alone would cover only the quick attempts, as slow ones are still in
    /// flight. This does not count attempts in flight: a send changes nothing by itself, the wait for its
    /// answer does.
    pub(crate) fn slowness(&self, slot: usize) -> f64 {
        let server = &self.servers[slot];
        // Most servers of a large fleet are sent nothing for long.
        if server.in_flight == 0 && server.recent_time_us == 0.0 && server.recent_answers == 0.0 {
            return 1.0;
        }
        let (time_us, answers) = server.recent(self.now);
        // Where servers have several cores, a reported load of 0 does not mean a response time near 0.
        let usual =
            (self.mean_work * (self.mean_load + 1.0 / server.speed.max(1e-6))).max(self.response_time);
        ((PRIOR_ANSWERS + time_us / usual) / (PRIOR_ANSWERS + answers)).powf(SLOWNESS_EXPONENT)
    }

    /// The reported load, moved towards the fleet's mean for the server's capacity as the report ages; the
    /// mean if there is no report.
    pub(crate) fn effective_load(&self, slot: usize) -> f64 {
        let server = &self.servers[slot];
        let mean = self.mean_load * server.capacity;
        let Some(at) = server.reported_at else { return mean };
        let age = (self.now - at).max(0) as f64;
        // High load takes longer to drain, and a sidecar that sees a smaller share hears of that later.
        let lifetime = 8.0
            * self.response_time
            * (1.0 + (1.0 - self.visibility()) * server.reported_load / server.capacity.max(0.1));
        mean + (server.reported_load - mean) * if server.load_is_guess { 1.0 } else { self.report_trust }
            / (1.0 + age / lifetime)
    }

    /// Smallest share of its capacity that a server has now; 1 once it is warm.
    pub(crate) fn warmth(&self, slot: usize) -> f64 {
        let server = &self.servers[slot];
        if server.info.started_at.is_none() && server.recovered_at.is_none() {
            return 1.0;
        }
        let ramp = self.slow_start.ramp();
        let age = |at: Option<Micros>| at.map_or(ramp.warm_up.max(1), |at| self.now - at);
        // A server that is reachable again has most likely restarted, which the server list reports late.
        // With its former share it would be overloaded before that report.
        let recovered_at = server.recovered_at.filter(|at| self.now - at < MAX_START_REPORT_DELAY_US);
        let age = age(server.info.started_at).min(age(recovered_at));
        ramp.warmth(age)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{
        Action, Class, Event, Load, Outcome, Request, Server, ServerId, Settings, Update,
    };

    /// Sends requests 5 ms apart to four servers. `answer` returns after what time a request is answered,
    /// with a report of two requests in flight, or `None` if it is not answered.
    fn send_requests(
        balancer: &mut Balancer,
        count: u64,
        mut answer: impl FnMut(&Balancer, usize, u64) -> Option<Micros>,
    ) {
        let server = |i| Server { id: ServerId(i), power: 1.0, ..Server::default() };
        let servers: Vec<Server> = (0..4).map(server).collect();
        let mut due = Vec::<(Micros, u64, ServerId, Micros)>::new();
        balancer.handle(0, Event::Servers { update: Update::Complete, servers: &servers }, &mut Vec::new());
        for id in 1..=count {
            let (now, mut actions) = (id as Micros * 5_000, Vec::new());
            due.sort_unstable_by_key(|d| (d.0, d.1));
            while due.first().is_some_and(|d| d.0 <= now) {
                let (at, request, server, elapsed) = due.remove(0);
                let load = Some(Load { in_flight: Some(2.0), ..Load::default() });
                let outcome = Outcome::Served;
                let event = Event::AttemptEnded {
                    request,
                    attempt: 0,
                    server,
                    outcome,
                    elapsed,
                    finished: true,
                    load,
                };
                balancer.handle(at, event, &mut Vec::new());
            }
            let request = Request { id, time_left: 2_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut actions);
            for action in actions {
                if let Action::Send { request, server, .. } = action {
                    let after = answer(balancer, balancer.slot_by_id[&server], request);
                    due.extend(after.map(|after| (now + after, request, server, after)));
                }
            }
        }
    }

    fn one_of_four_sidecars() -> Balancer {
        let class = Class { latency_goal: 600_000, client_timeout: 2_000_000, ..Class::default() };
        Balancer::new(Settings { sidecars: 4, classes: vec![class], ..Settings::default() }, 5, 0)
    }

    /// On the Mandal catalogue (big-1) an overloaded server kept its whole share while its report was old,
    /// because only the answers that it did give were counted.
    #[test]
    fn missing_answers_reduce_a_server_share_before_it_is_ejected() {
        let (mut balancer, mut got) = (one_of_four_sidecars(), [0; 4]);
        // After two seconds server 1 answers only every second request, so it is never silent for long.
        send_requests(&mut balancer, 800, |_, slot, id| {
            got[slot] += usize::from(id > 400);
            (slot != 1 || id < 400 || id % 2 == 0).then_some(100_000)
        });
        let others = (got[0] + got[2] + got[3]) / 3;
        assert!(
            got[1] * 3 < others * 2,
            "{} requests to the server with missing answers, {others} to each other one",
            got[1]
        );
    }

    /// Slowness depends on the time without an answer and not on the number of attempts in flight.
    #[test]
    fn a_send_by_itself_does_not_change_the_slowness() {
        let mut balancer = one_of_four_sidecars();
        send_requests(&mut balancer, 400, |_, _, _| Some(100_000));
        let before: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        for id in 1000..1050 {
            let request = Request { id, time_left: 2_000_000, ..Request::default() };
            balancer.handle(balancer.now, Event::Request(request), &mut Vec::new());
        }
        let after: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        assert_eq!(before, after);
        assert!(balancer.servers.iter().map(|s| s.in_flight).sum::<u32>() >= 50);
    }

    /// On the first deployment's fast day all servers reported 0 requests in flight, and 30 to 45% of all
    /// requests were refused: compared with a response time near 0, any attempt in flight made its server
    /// look slow.
    #[test]
    fn no_server_of_an_idle_fleet_looks_slow() {
        let mut balancer = one_of_four_sidecars();
        send_requests(&mut balancer, 400, |_, _, _| Some(100_000));
        balancer.mean_load = 0.0;
        let slow: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        assert!(slow.iter().all(|s| *s < 1.5), "{slow:.2?}");
    }

    /// The work of requests differs: on the Mandal catalogue a server's estimated speed swung tenfold with
    /// it.
    #[test]
    fn unequal_work_does_not_swing_the_estimated_speed() {
        let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
        send_requests(&mut one_of_four_sidecars(), 3000, |balancer, _, id| {
            if id > 1000 {
                let speed = balancer.servers[0].log_speed.exp();
                (least, most) = (least.min(speed), most.max(speed));
            }
            Some(if id % 3 == 0 { 400_000 } else { 60_000 })
        });
        assert!(most < 3.5 * least, "{least:.2} to {most:.2}");
    }
}
