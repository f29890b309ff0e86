//! What the policy remembers. Types only; every decision stands in `policy.rs`.

use crate::interface::{
    Action, ClassId, Micros, Outcome, Prices, Readiness, RequestId, Server, ServerId, Settings,
};
use rand_xoshiro::Xoshiro128PlusPlus;
use roseproxy_fleet::discovery_calls::CallSchedule;
use roseproxy_fleet::draw;
use roseproxy_fleet::key_homes::{HomeCandidate, KeyHomes};
use roseproxy_fleet::slow_start::SlowStart;
use roseproxy_fleet::tenants::TenantQuotas;
use std::collections::HashMap;

/// Trouble (smoothed share of bad outcomes) at which a server becomes suspect.
pub(crate) const SUSPECT: f64 = 0.5;

/// Time (microseconds) over which the own rate of requests is smoothed.
pub(crate) const RATE: f64 = 5e6;

/// Servers remembered before new ones take the place of those that are gone.
const MOST: usize = 64;

/// One server of a water-fill: the three numbers by which it is judged.
#[derive(Clone, Copy, Debug)]
pub struct Vessel {
    /// Effective load, in requests.
    pub load: f64,
    /// Capacity, compared with the others'.
    pub capacity: f64,
    /// Largest share it may get.
    pub cap: f64,
}

/// A server as this instance knows it.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub info: Server,
    /// Last figure, and when it came (`None`: never).
    pub load: f64,
    pub load_at: Option<Micros>,
    /// Whether that is no report but a guess, as it turned work away.
    pub guessed: bool,
    /// Logarithm of its speed compared with its kind's, as seen from answers.
    pub pace: f64,
    /// Time (microseconds) that own attempts have spent there lately, answers of late, and as of when.
    pub spent: f64,
    pub answers: f64,
    pub spent_at: Micros,
    /// Work it does in a unit of time, by power, kind, pace and warmth.
    pub speed: f64,
    /// The same as own attempts have it lately, those included that it has not answered yet.
    pub capacity: f64,
    /// Smoothed share of bad outcomes.
    pub trouble: f64,
    /// End of its rest after too many, and the length of the next one.
    pub until: Micros,
    pub rest: Micros,
    /// Own attempts out, and since when it has answered none of them.
    pub out: u32,
    pub silent_since: Micros,
    pub probing: bool,
    /// Since when it has been out of reach, and when it last came back from that.
    pub lost_at: Option<Micros>,
    pub back_at: Option<Micros>,
    /// Whether a connection may be open, and when it was last used.
    pub open: bool,
    pub used_at: Micros,
}

impl Backend {
    /// Whether it may be sent anything new.
    pub fn ready(&self) -> bool {
        self.info.readiness == Readiness::Ready
    }

    /// Whether it may be sent work on its own evidence too: it is not suspect.
    pub fn usable(&self) -> bool {
        self.ready() && self.trouble < SUSPECT
    }

    /// Takes over an entry of the list. A restarted process has nothing of what was known of the one
    /// before; a power that is no sensible figure counts as 1.
    pub fn update(&mut self, info: &Server, now: Micros) {
        if self.info.started_at != info.started_at {
            let (out, probing) = (self.out, self.probing);
            *self = Backend { out, probing, silent_since: now, spent_at: now, ..Backend::default() };
        }
        let power = if info.power > 0.0 { info.power.clamp(1e-3, 1e6) } else { 1.0 };
        self.info = Server { power, ..info.clone() };
    }
}

/// Servers of one kind: their pace as above, and answers seen.
#[derive(Debug)]
pub(crate) struct Kind {
    pub pace: f64,
    pub seen: f64,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub slot: usize,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        use Outcome::{NotSent, Rejected, Unreachable};
        !matches!(self.outcome, Some(Rejected | Unreachable | NotSent))
    }
}

/// A request that is owed its final answer.
#[derive(Debug, Default)]
pub(crate) struct Held {
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<usize>,
    /// What it is about.
    pub key: Option<u64>,
    /// Its work, and whether a hint said so.
    pub work: f64,
    pub hinted: bool,
    pub arrived: Micros,
    pub deadline: Micros,
    pub streaming: bool,
    pub attempts: Vec<Attempt>,
    /// Servers probed for it, and how many answers it still awaits.
    pub probed: Vec<usize>,
    pub awaited: usize,
}

impl Held {
    /// The first attempt that may have run.
    pub fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }

    /// How many attempts are out.
    pub fn pending(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// The decisions of one client process. Its methods stand in `policy.rs`.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Xoshiro128PlusPlus,
    pub(crate) now: Micros,
    /// When it started: at first its list may be old.
    pub(crate) born: Micros,
    pub(crate) out: Vec<Action>,
    pub(crate) backends: Vec<Backend>,
    pub(crate) slots: HashMap<ServerId, usize>,
    /// While a list is taken in: no slot below this one can be given to a new server, so that the search for
    /// one goes over all of them once for a whole list.
    pub(crate) no_free_below: usize,
    /// Logarithm of the work that a server of power 1 does in a unit of time, and answers seen.
    pub(crate) pace: f64,
    pub(crate) seen: f64,
    pub(crate) kinds: HashMap<u32, Kind>,
    pub(crate) requests: HashMap<RequestId, Held>,
    /// Requests that await probes, oldest first.
    pub(crate) awaiting: Vec<RequestId>,
    /// Where the keys go first that it is asked for.
    pub(crate) homes: KeyHomes,
    /// What cold servers may be sent.
    pub(crate) slow_start: SlowStart,
    /// What was sent of late for each tenant, and the own part of all.
    pub(crate) tenants: TenantQuotas,
    /// Smoothed work of each class.
    pub(crate) class_work: Vec<f64>,
    /// Smoothed work of what is answered.
    pub(crate) work: f64,
    /// Own requests a second, smoothed, and when that was.
    pub(crate) rate: f64,
    pub(crate) rate_at: Micros,
    /// Smoothed time that a request stays at a server.
    pub(crate) stay: f64,
    /// How far (in logarithms) answers are off their forecast.
    pub(crate) spread: f64,
    /// Smoothed share of usual attempts answered after the aim or never.
    pub(crate) lateness: f64,
    /// How far reports forecast answers better than the fleet's mean does (1: yes, 0: no).
    pub(crate) trust: f64,
    pub(crate) probe_budget: f64,
    pub(crate) copy_budget: f64,
    /// When discovery is called.
    pub(crate) calls: CallSchedule,
    /// Shares of all servers, and when they were made.
    pub(crate) table: Vec<f64>,
    pub(crate) table_at: Option<Micros>,
    /// Since when every first send has been refused.
    pub(crate) shut_since: Option<Micros>,
    /// Tables made so far.
    pub(crate) tables: u64,
    /// How full the emptiest server of the table is, for each unit of capacity, with nothing more sent to it.
    pub(crate) lowest_level: f64,
    /// The servers that may be homes, by id; the table that they were made with, and how often they have changed.
    pub(crate) places: Vec<HomeCandidate>,
    pub(crate) places_at: Option<Micros>,
    pub(crate) places_generation: u64,
    /// All slots, by the servers' ids once they have been put in order.
    pub(crate) slots_by_id: Vec<usize>,
    /// Whether they are.
    pub(crate) in_order: bool,
    /// When lateness was last let fade.
    pub(crate) faded_at: Option<Micros>,
    /// Mean reported load for each unit of capacity, and mean capacity.
    pub(crate) mean_load: f64,
    pub(crate) mean_capacity: f64,
    /// The last fill's servers and shares.
    pub(crate) vessels: Vec<Vessel>,
    pub(crate) shares: Vec<f64>,
}

impl Balancer {
    /// A random number from 0 to 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        draw::uniform(&mut self.rng)
    }

    /// Own requests a second. The smoothed figure starts at nothing and counts for as much as it has seen.
    pub(crate) fn sends(&self) -> f64 {
        let seen = ((self.now - self.born).max(0) as f64 / RATE).max(0.04);
        self.rate / (1.0 - (-seen).exp())
    }

    /// Time (microseconds) after which keeping an idle connection has cost as much as opening it again would.
    pub(crate) fn keep(&self) -> f64 {
        let Prices { connection, handshake, .. } = self.settings.prices;
        let requests = connection * self.settings.balancers as f64 * self.sends().max(1e-3);
        1e8 * handshake * self.backends.len() as f64 / requests
    }

    /// How much of what happens to the servers it sees by itself.
    pub(crate) fn sight(&self) -> f64 {
        roseproxy_fleet::visibility(self.settings.balancers)
    }

    /// A request's answer has started to come as a stream: its servers owe nothing more, however long it lasts.
    pub(crate) fn opened(&mut self, request: RequestId) {
        let Some(held) = self.requests.get_mut(&request).filter(|h| !h.streaming) else { return };
        held.streaming = true;
        for a in held.attempts.iter().filter(|a| a.outcome.is_none()) {
            let b = &mut self.backends[a.slot];
            b.set_out(b.out.saturating_sub(1), self.now);
            (b.answers, b.silent_since) = (b.answers + 1.0, self.now);
        }
    }

    /// An attempt has ended; one whose stream had started was taken off the number out by that.
    pub(crate) fn ended(&mut self, request: RequestId, slot: usize, served: bool) {
        let streams = self.requests.get(&request).is_some_and(|h| h.streaming);
        if !streams {
            let b = &mut self.backends[slot];
            b.set_out(b.out.saturating_sub(1), self.now);
            b.answers += f64::from(u8::from(served));
        }
    }

    /// A request is forgotten. The end of a stream that goes on without it is still to come, and takes one off.
    pub(crate) fn closed(&mut self, held: &Held) {
        for a in held.attempts.iter().filter(|a| held.streaming && a.outcome.is_none()) {
            let b = &mut self.backends[a.slot];
            b.set_out(b.out + 1, self.now);
        }
    }

    /// Makes room for a new server. Past a bound it takes the place of one that is gone and that no
    /// request has to do with, or memory would grow with every server ever heard of.
    pub(crate) fn place(&mut self, id: ServerId) -> usize {
        let slot = self.free_slot().unwrap_or(self.backends.len());
        match self.backends.get_mut(slot) {
            Some(gone) => drop(self.slots.remove(&std::mem::take(gone).info.id)),
            None => {
                self.backends.push(Backend::default());
                self.slots_by_id.push(slot);
            }
        }
        self.slots.insert(id, slot);
        self.in_order = false;
        slot
    }

    fn free_slot(&mut self) -> Option<usize> {
        if self.backends.len() < MOST {
            return None;
        }
        let met = |h: &Held, s: usize| h.probed.contains(&s) || h.attempts.iter().any(|a| a.slot == s);
        let idle = |b: &Backend| b.info.readiness == Readiness::Gone && b.out == 0 && !b.probing;
        let free = |s: &usize| idle(&self.backends[*s]) && !self.requests.values().any(|h| met(h, *s));
        let slot = (self.no_free_below..self.backends.len()).find(free);
        self.no_free_below = slot.map_or(self.backends.len(), |slot| slot + 1);
        slot
    }

    /// Probes a server, unless a probe is out.
    pub(crate) fn probe(&mut self, slot: usize) {
        let b = &mut self.backends[slot];
        if !b.probing {
            b.probing = true;
            self.out.push(Action::Probe { server: b.info.id });
        }
    }

    /// Servers that may be sent work.
    pub(crate) fn usable(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.backends.len()).filter(|s| self.backends[*s].usable())
    }

    /// Capacity of some servers together.
    pub(crate) fn capacity_of(&self, slots: &[usize]) -> f64 {
        slots.iter().map(|s| self.backends[*s].capacity).sum()
    }

    /// Whether a server stands in another zone.
    pub(crate) fn far(&self, slot: usize) -> bool {
        self.settings.zone.is_some_and(|z| z != self.backends[slot].info.zone)
    }

    pub(crate) fn blank(settings: Settings, rng: Xoshiro128PlusPlus, now: Micros) -> Self {
        Balancer {
            tenants: TenantQuotas::new(&settings.tenants, settings.balancers),
            calls: CallSchedule::new(settings.balancers, settings.ask_within),
            slow_start: SlowStart::new(settings.balancers, settings.ramp()),
            settings,
            rng,
            now,
            born: now,
            out: Vec::new(),
            backends: Vec::new(),
            slots: HashMap::new(),
            no_free_below: 0,
            pace: 0.0,
            seen: 0.0,
            kinds: HashMap::new(),
            requests: HashMap::new(),
            awaiting: Vec::new(),
            homes: KeyHomes::default(),
            class_work: Vec::new(),
            work: 0.0,
            rate: 0.0,
            rate_at: now,
            stay: 0.0,
            spread: 0.0,
            lateness: 0.0,
            trust: 0.0,
            probe_budget: 0.0,
            copy_budget: 0.0,
            table: Vec::new(),
            table_at: None,
            tables: 0,
            lowest_level: f64::NEG_INFINITY,
            places: Vec::new(),
            places_at: None,
            places_generation: 0,
            slots_by_id: Vec::new(),
            in_order: true,
            shut_since: None,
            faded_at: None,
            mean_load: 0.0,
            mean_capacity: 0.0,
            vessels: Vec::new(),
            shares: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Class, Event, Request, Update};

    /// A sidecar that starts anew knew for seconds of a fifth of its own requests, so that the fill counted
    /// too few of all and crowded the servers that looked best.
    #[test]
    fn a_new_sidecar_knows_how_much_it_sends() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut balancer = Balancer::new(settings, 5, 0);
        for id in 1..=1000 {
            let now = id * 5_000;
            let request = Request { id: id as u64, time_left: 1_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut Vec::new());
            let sends = balancer.sends();
            assert!(id < 40 || (150.0..250.0).contains(&sends), "{sends:.0} of 200 a second after {now} us");
        }
    }

    /// On the Mandal catalogue the first answers of two servers took long, and for seven seconds nothing went
    /// to them while others were crowded: who looks slow is sent little and cannot show better.
    #[test]
    fn a_server_that_is_sent_nothing_does_not_look_slow_for_ever() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut balancer = Balancer::new(settings, 5, 0);
        let servers = [Server { id: ServerId(1), power: 1.0, ..Server::default() }];
        balancer.handle(0, Event::Servers { update: Update::Complete, servers: &servers }, &mut Vec::new());
        let mut speed = |id, now| {
            (balancer.backends[0].pace, balancer.backends[0].used_at) = (-2.0, 0);
            let request = Request { id, time_left: 1_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut Vec::new());
            balancer.backends[0].speed
        };
        let (soon, later) = (speed(1, 1_000), speed(2, 10_000_000));
        assert!(soon < 0.2 && later > 0.9, "{soon:.2} at once, {later:.2} after ten seconds");
    }
}
