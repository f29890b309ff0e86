//! All decisions of the balancer. What goes in and out stands in `interface.rs`.
//!
//! Every server enters the choice as three numbers: effective load, capacity, share cap. The
//! water-fill of Theorem 4 (docs/design.md names the paper) turns them into shares, and every send
//! is a random draw by shares. The rest is health, further attempts, refusals and the list.

use crate::interface::*;
use crate::learn::NEWS;
use crate::state::{Attempt, Backend, Held, RATE, SUSPECT};
pub use crate::state::{Balancer, Vessel};
use crate::table::FORGET;
pub use crate::water_fill::water_fill;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use roseproxy_fleet::draw::pick_by_share as find;
use roseproxy_fleet::ejection;
use std::collections::HashSet;

/// Points that probing may cost, where only probes bring reports and where every answer brings one, which a
/// probe tells no sooner; with the price of a probe it says how many a request affords.
const PROBE_SPEND: [f64; 2] = [0.008, 0.0005];
/// How much fuller than the fleet the own zone must be, for each point that crossing costs.
const ZONE_COST: f64 = 2.0;
/// For how many times their age figures have others' requests come in: a report was old when it came, and
/// half of its life is still ahead.
const INTERVAL: f64 = 4.0;
/// Weight of one outcome in a server's trouble.
const GAIN: f64 = 0.3;
/// First and longest time that a suspect server rests before its trial.
const REST: (Micros, Micros) = (300_000, 5_000_000);
/// Second copies and repeats that each request earns, how many can be saved up (a server's connections are
/// reset together), and the least price of a repeat: it costs the part of a stay that the try before it had.
const COPIES: (f64, f64, f64) = (0.15, 5.0, 0.25);
/// How many times the usual miss a forecast must stay under the aim, where a refusal can say when to come
/// back, and where it cannot: there what is refused is lost, and a likely late answer is worth more.
const DOUBT: [f64; 2] = [1.5, -1.0];
/// How fast refusals grow stricter with the share of own answers that come late, in these two cases.
const LATE: [f64; 2] = [6.0, 2.0];
/// How much less a forecast may miss for each (logarithm of) time that a tenant had its quota, as far as
/// work beyond it is worth less, and the most of that.
const BEYOND: (f64, f64) = (6.0, 6.0);
/// Reported load, for each unit of stated size, from which on a time-out tells of a full fleet.
const BUSY: f64 = 0.5;
/// Time out of reach after which a server counts as lost.
const LOST: Micros = 500_000;
/// Shares of capacity with room and of late answers from and up to which one full server refuses nobody.
const ROOM: (f64, f64) = (0.85, 0.1);
/// How much emptier than the fleet a key's home counts.
pub(crate) const WARM: f64 = 2.0;

// Timer tokens: a request's id and one of these.
const HOLD: u64 = 0;
const WAIT: u64 = 1;
const AGAIN: u64 = 2;
const LIST: u64 = 7;

impl Balancer {
    /// A balancer that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut new = Balancer::blank(settings, Xoshiro128PlusPlus::seed_from_u64(seed), now);
        new.guess();
        (new.copy_budget, new.trust, new.mean_capacity) = (1.0, 0.7, 1.0);
        new
    }

    /// First guesses at what answers tell, soon overruled by them.
    fn guess(&mut self) {
        self.class_work = self.settings.classes.iter().map(|c| c.aim as f64 / 4.0).collect();
        let stay = self.class_work.iter().sum::<f64>() / self.class_work.len().max(1) as f64;
        (self.stay, self.work, self.spread, self.lateness) = (stay.max(1000.0), stay, 0.7, 0.0);
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Servers { update, servers } => self.on_servers(update, servers),
            Event::Request(request) => self.on_request(request),
            Event::Ended { request, attempt, server, outcome, elapsed, finished, load } => {
                let Some(&slot) = self.slots.get(&server) else { return };
                self.ended(request, slot, outcome == Outcome::Served);
                if outcome == Outcome::Served {
                    self.answered_by(slot);
                }
                self.learn(slot, outcome, load, false);
                self.on_ended(request, attempt, outcome, elapsed, finished);
            }
            Event::Opened { request } => self.opened(request),
            Event::Expired { request } => self.close(request),
            Event::Timer { token } => self.on_timer(token >> 3, token & 7),
            Event::Probed { server, outcome, load, .. } => {
                let Some(&slot) = self.slots.get(&server) else { return };
                self.backends[slot].probing = false;
                self.learn(slot, outcome, load, true);
                self.on_probed(slot);
            }
        }
        out.append(&mut self.out);
    }

    // ---- the list of servers

    fn on_servers(&mut self, update: Update, servers: &[Server]) {
        // A server that a complete list no longer names is gone.
        let named: HashSet<ServerId> = servers.iter().map(|s| s.id).collect();
        let missing = |b: &&mut Backend| update == Update::Complete && !named.contains(&b.info.id);
        self.backends.iter_mut().filter(missing).for_each(|b| b.info.readiness = Readiness::Gone);
        self.no_free_below = 0;
        for info in servers {
            let slot = self.slots.get(&info.id).copied().unwrap_or_else(|| self.place(info.id));
            self.backends[slot].update(info, self.now);
            if info.readiness == Readiness::Gone {
                self.no_free_below = self.no_free_below.min(slot);
            }
        }
        self.table_at = None;
        self.follow(update);
        if matches!(update, Update::Complete | Update::Changes) {
            let homeless = self.requests.iter().filter(|(_, h)| h.attempts.is_empty() && h.awaited == 0);
            let mut held: Vec<_> = homeless.map(|(r, _)| *r).collect();
            held.sort_unstable(); // nothing may depend on the order of a hash table
            held.into_iter().for_each(|r| self.dispatch(r));
        }
    }

    /// Keeps the subscription: plans the next call to discovery where none is planned or out.
    fn follow(&mut self, update: Update) {
        if !self.settings.must_subscribe {
            return;
        }
        let wait = match update {
            Update::Complete | Update::Changes => self.calls.on_list(&mut self.rng),
            Update::Failed => self.calls.on_failure(self.now, &mut self.rng),
            Update::Reopened => return self.calls.on_watch_reopened(self.now),
        };
        self.out.extend(wait.map(|after| Action::Timer { token: LIST, after }));
    }

    // ---- what is known of a server

    fn learn(&mut self, slot: usize, outcome: Outcome, load: Option<Load>, probe: bool) {
        let (now, born, sight) = (self.now, self.born, self.sight());
        let b = &mut self.backends[slot];
        let mean = self.mean_load * b.capacity;
        if let Some(figure) = load.and_then(|l| l.held.or(l.waiting)).filter(|l| (0.0..1e6).contains(l)) {
            (b.load, b.load_at, b.guessed) = (figure, Some(now), false);
        }
        if outcome == Outcome::Unreachable {
            b.lost_at = b.lost_at.or(Some(now));
        }
        let bad = match outcome {
            Outcome::Served => {
                if b.lost_at.take().is_some_and(|at| now - at > LOST || now - born < NEWS) {
                    (b.back_at, self.table_at) = (Some(now), None);
                }
                0.0
            }
            Outcome::Cancelled | Outcome::NotSent => return,
            // Full for now, or draining, which the list tells late: a guess at its load, which counts for
            // no mean (it would run away), and some trouble, in case it never takes anything.
            Outcome::Rejected => {
                let full = b.load.max(2.0 * mean + 2.0);
                (b.load, b.load_at, b.guessed) = (full, Some(now), true);
                0.6
            }
            Outcome::Unreachable => 2.0,
            Outcome::Error | Outcome::TimedOut | Outcome::Broken => 1.0,
        };
        b.silent_since = now;
        match (probe, bad > 0.0) {
            // A fast error or refusal must not look like an empty queue.
            (_, true) => b.load = b.load.max(mean),
            (false, false) => b.rest = REST.0,
            // The trial is passed: real work again, but the next bad outcome brings the rest back.
            (true, false) => b.trouble = b.trouble.min(GAIN),
        }
        let gain = if bad > 0.0 { ejection::outcome_weight(GAIN, sight) } else { GAIN };
        b.trouble += (bad - b.trouble) * gain;
        if b.trouble >= SUSPECT && b.until <= now {
            self.suspect(slot);
        }
    }

    pub(crate) fn suspect(&mut self, slot: usize) {
        let jitter = 0.5 + self.uniform();
        let first = ejection::first_ejection_time(REST.0, REST.1, self.sight());
        let b = &mut self.backends[slot];
        b.trouble = b.trouble.max(SUSPECT);
        b.rest = b.rest.clamp(first, REST.1);
        b.until = self.now + (b.rest as f64 * jitter) as Micros;
        b.rest *= 2;
        self.table_at = None;
    }

    // ---- shares

    /// Requests that all balancers send to each server while the figures age. What came earlier than a
    /// request's stay has left again, so a longer age adds nothing.
    pub(crate) fn sent_while(&self, age: f64) -> f64 {
        let all = self.settings.balancers as f64 * self.sends() * age.min(self.stay) / 1e6;
        all / self.backends.len().max(1) as f64
    }

    /// How full a server of mean capacity is, with so many requests sent to it meanwhile.
    pub(crate) fn fullness(&self, each: f64) -> f64 {
        self.mean_load * self.mean_capacity + 1.0 + 2.0 * each
    }

    /// How much fuller a server in another zone counts.
    pub(crate) fn crossing_cost(&self, fullness: f64) -> f64 {
        ZONE_COST * self.settings.prices.cross_zone * fullness
    }

    /// Fills `self.shares` for the servers in `set`, with figures of this age. A key's home counts as
    /// emptier: the fill gives it nearly all of that key until it is so much fuller than the others.
    pub(crate) fn fill(&mut self, set: &[usize], age: f64, home_at: Option<usize>) {
        let each = self.sent_while(age);
        let old = (INTERVAL * age / self.stay).max(1.0);
        let fullness = self.fullness(each);
        let abroad = self.crossing_cost(fullness);
        let m = if home_at.is_some() { 2.0 } else { (each * old * set.len() as f64).max(2.0) };
        let mut vessels = std::mem::take(&mut self.vessels);
        vessels.clear();
        let mut total = 0.0;
        for &slot in set {
            let b = &self.backends[slot];
            // Its own work is load too: on servers of unequal capacity it does not cancel out.
            let warm = if home_at == Some(slot) { WARM * fullness } else { 0.0 };
            let load = self.effective_load(slot) + 2.0 + if self.far(slot) { abroad } else { 0.0 } - warm;
            // Without probes, a trial is one real request at a time.
            let trial = !self.settings.probes && b.until <= self.now && b.out == 0;
            let usable = b.ready() && (b.trouble < SUSPECT || trial);
            let (capacity, cap) = (b.capacity * (1.0 - b.trouble.min(SUSPECT)), f64::from(u8::from(usable)));
            total += if b.ready() { b.speed } else { 0.0 };
            vessels.push(Vessel { load, capacity, cap });
        }
        // When all are suspect, better a suspect server than none, and better warm suspects than cold ones
        // alone, which would fall over. Gone and draining ones stay out.
        let warm = |s: &usize| self.backends[*s].ready() && self.warmth(*s) >= 1.0;
        let some_warm = set.iter().any(warm);
        let none = vessels.iter().zip(set).all(|(v, s)| v.cap == 0.0 || (some_warm && !warm(s)));
        for (v, &slot) in vessels.iter_mut().zip(set) {
            if none {
                v.cap = f64::from(u8::from(self.backends[slot].ready()));
            }
            // In a large fleet `fleet::homes` bounds what a home gets, which is a part of each of its keys.
            let parted = home_at == Some(slot) && self.sight() < 1.0;
            if self.warmth(slot) < 1.0 && !parted {
                // All balancers do alike, and a cold server falls over when all send it too much.
                let part = self.backends[slot].speed / total * (self.settings.fall_multiple / 4.0).min(1.0);
                v.cap *= part.min(self.slow_start_share(slot));
            }
        }
        water_fill(&vessels, m, &mut self.shares);
        self.vessels = vessels;
    }

    // ---- requests

    fn on_request(&mut self, request: Request) {
        let Request { id, class, tenant, work, key, time_left } = request;
        let passed = (self.now - self.rate_at).max(0) as f64 / RATE;
        self.rate = self.rate * (-passed).exp() + 1e6 / RATE;
        self.rate_at = self.now;
        self.copy_budget = (self.copy_budget + COPIES.0).min(COPIES.1);
        let aim = self.settings.classes.get(class).map(|c| c.aim);
        let (Some(aim), true) = (aim, time_left > 0) else {
            let reason = GiveUpReason::UnknownClass;
            return self.out.push(Action::Refuse { request: id, retry_after: 0, reason });
        };
        let (usual, work) = (self.class_work[class], work.filter(|w| *w > 0));
        let hinted = work.is_some();
        let work = work.map_or(usual, |w| w as f64).clamp(1.0, 1e9);
        let (arrived, deadline) = (self.now, self.now.saturating_add(time_left));
        let held = Held { class, tenant, key, work, hinted, arrived, deadline, ..Held::default() };
        self.requests.insert(id, held);
        // In a small fleet a key has one home whatever its share.
        if let Some(key) = key.filter(|_| self.settings.warm_keys && self.sight() < 1.0) {
            self.homes.record_request(key);
        }
        self.refresh_table();
        if self.probe_for(id) {
            self.awaiting.push(id);
            let after = (aim / 10).min(time_left / 4);
            self.out.push(Action::Timer { token: id << 3 | WAIT, after });
        } else {
            self.dispatch(id);
        }
    }

    /// Probes that a request affords; from 2 on they are awaited, and their figures are fresh.
    fn afford(&self) -> f64 {
        let spend = PROBE_SPEND[usize::from(self.settings.inline_reports)];
        (spend / self.settings.prices.probe.max(1e-6)).min(3.0)
    }

    /// Probes what a request affords; true when it should await the answers. Where probes are too
    /// dear for that, they trickle to the servers with the oldest figures.
    fn probe_for(&mut self, request: RequestId) -> bool {
        if !self.settings.probes || self.backends.is_empty() {
            return false;
        }
        let (now, n) = (self.now, self.backends.len());
        let ready = |b: &Backend| b.ready() && !b.probing;
        let due = |b: &Backend| b.trouble >= SUSPECT && b.until <= now && ready(b);
        if let Some(slot) = self.backends.iter().position(due) {
            // A suspect has rested: one probe is its trial.
            self.backends[slot].until = now + self.backends[slot].rest;
            self.probe(slot);
        }
        let afford = self.afford();
        if afford < 2.0 {
            self.probe_budget += afford * 2.0 * self.uniform();
            if self.probe_budget >= 1.0 {
                self.probe_budget -= 1.0;
                let some: Vec<usize> = (0..4).map(|_| self.rng.next_u64() as usize % n).collect();
                let fit = some.into_iter().filter(|s| ready(&self.backends[*s]));
                if let Some(slot) = fit.min_by_key(|s| self.backends[*s].load_at) {
                    self.probe(slot);
                }
            }
            return false;
        }
        let mut probed = Vec::new();
        for _ in 0..2 * afford as usize {
            let draw = self.uniform();
            let drawn = find(self.table.iter().copied(), draw).filter(|s| !probed.contains(s));
            if let Some(slot) = drawn.filter(|_| probed.len() < afford as usize) {
                self.probe(slot);
                probed.push(slot);
            }
        }
        let wait = probed.len() > 1;
        self.requests.entry(request).and_modify(|h| (h.awaited, h.probed) = (probed.len(), probed));
        wait
    }

    fn on_probed(&mut self, slot: usize) {
        for r in self.awaiting.clone() {
            let Some(held) = self.requests.get_mut(&r).filter(|h| h.probed.contains(&slot)) else { continue };
            held.awaited = held.awaited.saturating_sub(1);
            if held.awaited == 0 {
                self.dispatch(r);
            }
        }
    }

    fn on_timer(&mut self, request: RequestId, what: u64) {
        if what == LIST {
            self.calls.on_call_started(self.now);
            return self.out.push(Action::Subscribe);
        }
        let Some(held) = self.requests.get(&request) else { return };
        match (what, held.pending()) {
            (WAIT, 0) if held.attempts.is_empty() && held.awaited > 0 => self.dispatch(request),
            (AGAIN, 1) if !held.streaming => drop(self.repeat(request, 1.0)),
            (HOLD, 0) => self.finish(request, GiveUpReason::NoServer),
            _ => {}
        }
    }

    /// Sends a request once more, where that is allowed and the budget has the price.
    fn repeat(&mut self, request: RequestId, price: f64) -> bool {
        let affords = self.copy_budget >= price && self.may_repeat(request);
        if affords {
            self.copy_budget -= price;
            self.dispatch(request);
        }
        affords
    }

    /// Whether a request may be sent once more, by its class, earlier attempts and time left.
    fn may_repeat(&self, request: RequestId) -> bool {
        let Some(held) = self.requests.get(&request) else { return false };
        let allowed = match (self.settings.classes[held.class].effect, held.ran()) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => self.now - first.sent < window,
        };
        allowed && held.attempts.len() < self.settings.max_attempts && held.deadline > self.now
    }

    /// Sends a request to a server drawn by shares, holds it where there is none, or refuses it.
    fn dispatch(&mut self, request: RequestId) {
        self.refresh_table();
        self.awaiting.retain(|a| *a != request);
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.awaited = 0;
        let held = &*held;
        let (arrived, deadline, work, key) = (held.arrived, held.deadline, held.work, held.key);
        let tenant = held.tenant;
        let class = &self.settings.classes[held.class];
        let ran = held.ran().map(|a| &self.backends[a.slot].info);
        let allowed = |b: &Backend| match (class.effect, ran) {
            (Effect::Keyed { group: Group::Zone, .. }, Some(r)) => r.zone == b.info.zone,
            (Effect::Keyed { group: Group::Cell, .. }, Some(r)) => r.cell == b.info.cell,
            _ => true,
        };
        let first = held.attempts.is_empty();
        let mut set: Vec<usize> = Vec::new();
        if first {
            let news = |b: &Backend| b.load_at >= Some(arrived) && b.usable();
            set.extend(held.probed.iter().filter(|s| news(&self.backends[**s])));
        } else {
            let open = |s: &usize| held.attempts.iter().all(|a| a.slot != *s);
            let fits = |s: &usize| self.backends[*s].ready() && allowed(&self.backends[*s]);
            set.extend((0..self.backends.len()).filter(|s| open(s) && fits(s)));
        }
        let (aim, refusable, usual) = (class.aim as f64, ran.is_none(), self.class_work[held.class] / work);
        let (draw, fresh) = (self.uniform(), first && !set.is_empty());
        let home = self.home_of(key).filter(|h| !fresh && (first || set.contains(h)));
        let alone = home.filter(|h| first && self.takes_whole_key(*h));
        if first && home.is_some() && alone.is_none() {
            set.extend(0..self.backends.len());
        }
        let (mut pick, mut share) = if let Some(home) = alone {
            (Some(home), 0.0)
        } else if first && set.is_empty() {
            let slot = find(self.table.iter().copied(), draw);
            (slot, slot.map_or(0.0, |slot| self.table[slot]))
        } else {
            self.fill(&set, if fresh { 10_000.0 } else { self.stay }, home);
            let at = find(self.shares.iter().copied(), draw);
            // In a large fleet `fleet::homes` bounds what a home gets of all its keys.
            let parted = self.sight() < 1.0 && at.map(|at| set[at]) == home;
            (at.map(|at| set[at]), at.filter(|_| !parted).map_or(0.0, |at| self.shares[at]))
        };
        // What a key's home leaves over goes to one and the same server, drawn greedily by all
        // sidecars: the more of them there are, the more often it is drawn from the whole table instead.
        let (sight, left_over) = (self.sight(), first && home.is_some() && pick != home);
        if left_over && sight < 1.0 && self.uniform() >= sight {
            let draw = self.uniform();
            pick = find(self.table.iter().copied(), draw);
            share = pick.map_or(0.0, |slot| self.table[slot]);
        }
        if let Some(drawn) = pick {
            let others = if first { None } else { Some(&set[..]) };
            pick = self.within_budget(drawn, share, others);
            if pick.is_none() {
                return self.finish_without_budget(request);
            }
        }
        let left = (deadline - self.now) as f64;
        // Clients ask again at once and a crowded server turns slow for long: a doubt is no benefit.
        let lost = usize::from(self.settings.max_retry_after <= 0);
        let beyond =
            tenant.map_or(0.0, |t| self.tenants.excess(t, self.now) * (1.0 - self.settings.over_share_worth));
        let strict = DOUBT[lost] + (BEYOND.0 * beyond).min(BEYOND.1) + LATE[lost] * self.lateness;
        let late = aim * (-self.spread * strict).exp();
        // Work that comes too late is refused before it takes room from work that would not. The usual
        // work of its class tells whether the fleet is full; a heavy request alone is no reason.
        // A cold server with next to nothing in hand is slow and not full: it warms by work alone.
        let too_late = |s: usize| {
            let (forecast, warm) = (self.forecast(s, work), self.warmth(s) >= 1.0);
            forecast > 1.5 * left
                || ((warm || self.effective_load(s) > 1.0) && forecast * usual.min(1.0) > late)
        };
        let mut refuse = refusable && pick.is_some_and(too_late);
        // One full server, a popular key's home above all, is no full fleet: where nearly all others have
        // room, it is drawn among those. Warm ones only: cold ones have had their share.
        let fits = |s: &usize| self.warmth(*s) >= 1.0 && (first || set.contains(s)) && !too_late(*s);
        let asks = refuse && self.lateness < ROOM.1;
        let all: Vec<usize> = if asks { self.usable().collect() } else { Vec::new() };
        let room: Vec<usize> = all.iter().copied().filter(fits).collect();
        if self.capacity_of(&room) > ROOM.0 * self.capacity_of(&all) {
            self.fill(&room, self.stay, None);
            let draw = self.uniform();
            (pick, refuse) = (find(self.shares.iter().copied(), draw).map(|i| room[i]), false);
        }
        let forecast = pick.map_or(0.0, |slot| self.forecast(slot, work));
        let Some(slot) = pick else {
            // A first send waits for the list, a repeat for the attempt that is still out.
            if first {
                let after = (deadline - self.now - self.settings.answer_grace).max(0);
                self.out.push(Action::Timer { token: request << 3 | HOLD, after });
            } else if self.requests.get(&request).is_some_and(|h| h.pending() == 0) {
                self.finish(request, GiveUpReason::AttemptsFailed);
            }
            return;
        };
        if refuse {
            let since = *self.shut_since.get_or_insert(self.now);
            if ((self.now - since) as f64) < FORGET {
                return self.finish(request, GiveUpReason::Crowded);
            }
            // Who refuses all hears no answers, and would by its old figures refuse for ever.
            self.guess();
        }
        self.shut_since = None;
        tenant.filter(|_| first).into_iter().for_each(|t| self.tenants.record_sent(t, self.now));
        let attempt = Attempt { slot, sent: self.now, outcome: None };
        self.requests.entry(request).and_modify(|h| h.attempts.push(attempt));
        let again = (forecast * (3.0 * self.spread).exp()).max(aim / 4.0);
        let mut timeout = None;
        if again < left * 0.6 && self.may_repeat(request) {
            if self.settings.second_copies {
                self.out.push(Action::Timer { token: request << 3 | AGAIN, after: again as Micros });
            } else if self.copy_budget >= 1.0 {
                timeout = Some(again as Micros);
            }
        }
        let warmth = self.warmth(slot);
        self.slow_start.record_call(self.now, self.backends[slot].info.id.0, warmth);
        let (now, b) = (self.now, &mut self.backends[slot]);
        if b.out == 0 {
            b.silent_since = now;
        }
        b.set_out(b.out + 1, now);
        (b.open, b.used_at) = (true, now);
        self.out.push(Action::Send { request, server: b.info.id, timeout });
    }

    fn on_ended(&mut self, id: RequestId, attempt: usize, outcome: Outcome, elapsed: Micros, finished: bool) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(a) = held.attempts.get_mut(attempt) else { return };
        a.outcome = Some(outcome);
        let (slot, work, class) = (a.slot, held.work, held.class);
        let (attempts, pending) = (held.attempts.len(), held.pending());
        let free = attempts == 1 && held.ran().is_none();
        // A heavy request is late by itself; only usual ones tell of a full fleet. Without hints all are.
        let hinted = held.hinted;
        let usual = !hinted || work <= self.class_work[class];
        // A time-out at a server that says it has little to do tells of that server (it may be cut off, or
        // answer what is no answer) and not of a full fleet.
        let timed_out =
            outcome == Outcome::TimedOut && self.effective_load(slot) > BUSY * self.backends[slot].info.power;
        if usual && (outcome == Outcome::Served || timed_out) {
            let late = timed_out || elapsed > self.settings.classes[class].aim;
            self.lateness += (f64::from(u8::from(late)) - self.lateness) * 0.1;
        }
        if outcome == Outcome::Served {
            // Without hints, the time that its answers take stands for the work of a class.
            let seen = if hinted { work } else { elapsed as f64 };
            self.class_work[class] += (seen - self.class_work[class]) * 0.05;
            self.learn_pace(slot, work, elapsed as f64);
        }
        if finished || outcome == Outcome::Served {
            return self.close(id);
        } else if pending > 0 {
            return;
        }
        // One repeat is free where the first never ran; more of them draw on the budget.
        let had = if outcome == Outcome::TimedOut { 1.0 } else { elapsed as f64 / self.stay };
        let price = had.clamp(COPIES.2, 1.0);
        if !self.repeat(id, if free { 0.0 } else { price }) {
            self.finish(id, GiveUpReason::AttemptsFailed);
        }
    }

    /// Gives the final answer: a refusal where that is true, else a failure.
    pub(crate) fn finish(&mut self, request: RequestId, reason: GiveUpReason) {
        let Some(held) = self.requests.get(&request) else { return };
        let effect = self.settings.classes[held.class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        let retry_after = (self.stay as Micros).min(self.settings.max_retry_after);
        let refuse = harmless || held.ran().is_none();
        self.out.push(if refuse {
            Action::Refuse { request, retry_after, reason }
        } else {
            Action::Fail { request }
        });
        self.close(request);
    }

    /// Forgets a request that has its final answer, and stops what is still out for it.
    fn close(&mut self, request: RequestId) {
        let Some(held) = self.requests.remove(&request) else { return };
        self.awaiting.retain(|a| *a != request);
        let stop = self.settings.cancel && !held.streaming;
        let pending = held.attempts.iter().enumerate().filter(|(_, a)| stop && a.outcome.is_none());
        self.out.extend(pending.map(|(attempt, _)| Action::Cancel { request, attempt }));
        self.closed(&held);
    }
}
