//! What answers and reports teach: pace, forecasts, warmth. What follows from it is decided in `policy.rs`.

use crate::interface::Micros;
use crate::state::{Backend, Balancer, Kind};

/// How late the list may tell of a start.
pub(crate) const NEWS: Micros = 6_000_000;
/// Weight of one answer in a server's pace. Reports are a second old, and so is what an answer is held
/// against: larger steps mistake the crowd of the moment for a slow machine.
const STEP: f64 = 0.03;
/// Time (microseconds) in which most of what own attempts have spent at a server is forgotten.
const LATELY: f64 = 0.7e6;
/// How many usual answers each server counts as having given of late, before any.
const ASSUMED: f64 = 2.0;
/// The power of its slowness by which a server loses capacity: whoever is slow gets slower by what it is
/// sent, and by the time that one sees it all others see it too.
const STEEP: f64 = 1.25;

impl Backend {
    /// Time that own attempts have spent there lately, and answers of late, as of now.
    fn spent_by(&self, now: Micros) -> (f64, f64) {
        let kept = (-((now - self.spent_at).max(0) as f64) / LATELY).exp();
        (self.spent * kept + f64::from(self.out) * LATELY * (1.0 - kept), self.answers * kept)
    }

    /// Changes the number of own attempts out, once the time that those until now have spent there is counted.
    pub(crate) fn set_out(&mut self, out: u32, now: Micros) {
        (self.spent, self.answers) = self.spent_by(now);
        (self.spent_at, self.out) = (now, out);
    }
}

impl Balancer {
    /// How long that much work should take there: all that it holds shares its capacity.
    pub(crate) fn forecast(&self, slot: usize, work: f64) -> f64 {
        work * (self.effective_load(slot) + 1.0) / self.backends[slot].capacity
    }

    /// Learns from an answer how fast its server and others of that kind are, and what reports are worth.
    pub(crate) fn learn_pace(&mut self, slot: usize, work: f64, elapsed: f64) {
        let elapsed = elapsed.max(100.0);
        let miss = (self.forecast(slot, work) / elapsed).ln().clamp(-3.0, 3.0);
        self.spread += (miss.abs() - self.spread) * 0.05;
        self.stay += (elapsed - self.stay) * 0.05;
        self.work += (work - self.work) * 0.05;
        let b = &mut self.backends[slot];
        if b.load_at.is_some() && !b.guessed {
            // Late reports send everybody to servers that only look empty. What tells: answers take as
            // long as the fleet's mean load says, or longer, and not as the reports say.
            let off = |load: f64| (elapsed * b.capacity / work / (load + 1.0)).ln().abs();
            let gain = off(self.mean_load * b.capacity) - off(b.load);
            self.trust = (self.trust + gain.clamp(-1.0, 1.0) * 0.25).clamp(0.0, 1.0);
        }
        // A kind without answers counts as the fleet; one answer must not make it stand out.
        let kind = self.kinds.entry(b.info.kind).or_insert(Kind { pace: self.pace, seen: 1.0 });
        let pace = miss + kind.pace + b.pace;
        (self.seen, kind.seen) = (self.seen + 1.0, kind.seen + 1.0);
        self.pace += (pace - self.pace) * (1.0 / self.seen).max(0.02);
        kind.pace += (pace - kind.pace) * (1.0 / kind.seen).max(0.02);
        b.pace = (b.pace + (pace - kind.pace - b.pace) * STEP).clamp(-2.5, 0.7);
    }

    /// Learns which part of what the servers hold is from here; `known` are reported loads and capacities, one
    /// at least.
    pub(crate) fn learn_part(&mut self, known: &[(f64, f64)], passed: f64) {
        let ready = self.backends.iter().filter(|b| b.ready()).count() as f64;
        let own: u32 = self.backends.iter().map(|b| b.out).sum();
        let mean = known.iter().map(|(load, _)| load).sum::<f64>() / known.len() as f64;
        self.tenants.record_held(mean * ready, own.into(), passed);
    }

    /// How much of its speed a server lacks of late: the time that own attempts have spent there, answered or
    /// not, for each answer, against what a server of that speed takes at the fleet's mean load. Answers alone
    /// would tell of the quick ones only, as those that take long are still out. This is no count of what is
    /// out: a send changes nothing by itself, the wait for its answer does.
    pub(crate) fn slowness(&self, slot: usize) -> f64 {
        let b = &self.backends[slot];
        // Most servers of a large fleet are sent nothing for long.
        if b.out == 0 && b.spent == 0.0 && b.answers == 0.0 {
            return 1.0;
        }
        let (spent, answers) = b.spent_by(self.now);
        // Where servers have several cores, a load of 0 is no stay of next to nothing.
        let usual = (self.work * (self.mean_load + 1.0 / b.speed.max(1e-6))).max(self.stay);
        ((ASSUMED + spent / usual) / (ASSUMED + answers)).powf(STEEP)
    }

    /// The report, moved towards the fleet's mean for its capacity as it ages; the mean without any.
    pub(crate) fn effective_load(&self, slot: usize) -> f64 {
        let b = &self.backends[slot];
        let mean = self.mean_load * b.capacity;
        let Some(at) = b.load_at else { return mean };
        let age = (self.now - at).max(0) as f64;
        // A crowd takes longer to leave, and the less one sees, the later it hears of that.
        let lasts = 8.0 * self.stay * (1.0 + (1.0 - self.sight()) * b.load / b.capacity.max(0.1));
        mean + (b.load - mean) * if b.guessed { 1.0 } else { self.trust } / (1.0 + age / lasts)
    }

    /// Share of its capacity that a server has at least; 1 once it is warm.
    pub(crate) fn warmth(&self, slot: usize) -> f64 {
        let b = &self.backends[slot];
        if b.info.started_at.is_none() && b.back_at.is_none() {
            return 1.0;
        }
        let ramp = self.slow_start.ramp();
        let age = |at: Option<Micros>| at.map_or(ramp.warm_up.max(1), |at| self.now - at);
        // One that is back after it was lost has most likely started anew, which the list tells late:
        // with its old share it would be pushed over before that.
        let back = b.back_at.filter(|at| self.now - at < NEWS);
        let age = age(b.info.started_at).min(age(back));
        ramp.warmth(age)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{
        Action, Class, Event, Load, Outcome, Request, Server, ServerId, Settings, Update,
    };

    /// Sends requests 5 ms apart to four servers; `answer` says after how long a request is answered, with a
    /// report of two in hand, or that it is not.
    fn play(
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
                let load = Some(Load { held: Some(2.0), ..Load::default() });
                let outcome = Outcome::Served;
                let event =
                    Event::Ended { request, attempt: 0, server, outcome, elapsed, finished: true, load };
                balancer.handle(at, event, &mut Vec::new());
            }
            let request = Request { id, time_left: 2_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut actions);
            for action in actions {
                if let Action::Send { request, server, .. } = action {
                    let after = answer(balancer, balancer.slots[&server], request);
                    due.extend(after.map(|after| (now + after, request, server, after)));
                }
            }
        }
    }

    fn new() -> Balancer {
        let class = Class { aim: 600_000, give_up: 2_000_000, ..Class::default() };
        Balancer::new(Settings { balancers: 4, classes: vec![class], ..Settings::default() }, 5, 0)
    }

    /// On the Mandal catalogue (big-1) a crowded server kept drawing its whole share for as long as its report
    /// was old, as only the answers that it did give counted.
    #[test]
    fn answers_that_do_not_come_count_before_any_rest() {
        let (mut balancer, mut got) = (new(), [0; 4]);
        // After two seconds server 1 answers every second request only: never silent for long.
        play(&mut balancer, 800, |_, slot, id| {
            got[slot] += usize::from(id > 400);
            (slot != 1 || id < 400 || id % 2 == 0).then_some(100_000)
        });
        let others = (got[0] + got[2] + got[3]) / 3;
        assert!(got[1] * 3 < others * 2, "{} to the one that owes answers, {others} to each other", got[1]);
    }

    /// The choice knows no count of what is out: it is time without an answer that tells.
    #[test]
    fn a_send_by_itself_changes_no_shares() {
        let mut balancer = new();
        play(&mut balancer, 400, |_, _, _| Some(100_000));
        let before: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        for id in 1000..1050 {
            let request = Request { id, time_left: 2_000_000, ..Request::default() };
            balancer.handle(balancer.now, Event::Request(request), &mut Vec::new());
        }
        let after: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        assert_eq!(before, after);
        assert!(balancer.backends.iter().map(|b| b.out).sum::<u32>() >= 50);
    }

    /// On the first deployment's fast day all servers reported 0 in hand, and 30 to 45% of all was refused:
    /// against a stay of next to nothing whatever was out made its server look slow.
    #[test]
    fn in_an_idle_fleet_nobody_looks_slow() {
        let mut balancer = new();
        play(&mut balancer, 400, |_, _, _| Some(100_000));
        balancer.mean_load = 0.0;
        let slow: Vec<f64> = (0..4).map(|s| balancer.slowness(s)).collect();
        assert!(slow.iter().all(|s| *s < 1.5), "{slow:.2?}");
    }

    /// Work differs: on the Mandal catalogue a server's estimated speed swung tenfold with it.
    #[test]
    fn unequal_work_does_not_swing_the_estimated_speed() {
        let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
        play(&mut new(), 3000, |balancer, _, id| {
            if id > 1000 {
                let speed = balancer.backends[0].pace.exp();
                (least, most) = (least.min(speed), most.max(speed));
            }
            Some(if id % 3 == 0 { 400_000 } else { 60_000 })
        });
        assert!(most < 3.5 * least, "{least:.2} to {most:.2}");
    }
}
