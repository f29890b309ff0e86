//! All decisions of the balancer. Its events and actions are defined in `interface.rs`.
//!
//! A server enters the choice with three numbers: effective load, capacity and maximum share. The
//! water-fill of Theorem 4 (docs/design.md names the paper) turns them into shares, and every attempt
//! goes to a server drawn at random by its share. The rest handles failures, further attempts, refusals
//! and the server list.

use crate::interface::*;
use crate::learn::MAX_START_REPORT_DELAY_US;
use crate::state::{Attempt, PendingRequest, ServerState, REQUEST_RATE_WINDOW_US, SUSPECT_SCORE};
pub use crate::state::{Balancer, Candidate};
use crate::table::LATE_SHARE_DECAY_US;
pub use crate::water_fill::water_fill;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use roseproxy_fleet::draw::pick_by_share;
use roseproxy_fleet::ejection;
use std::collections::HashSet;

/// Points that probes may cost per request where only probes bring load reports. Divided by the price of a
/// probe, this is the number of probes that a request affords.
const PROBE_SPEND_WITHOUT_INLINE_REPORTS: f64 = 0.008;
/// The same where every answer brings a report, so that a probe brings no news earlier.
const PROBE_SPEND_WITH_INLINE_REPORTS: f64 = 0.0005;
/// How much fuller than the fleet this sidecar's zone must be, for each point that crossing zones costs.
const CROSS_ZONE_FULLNESS_PER_POINT: f64 = 2.0;
/// Time over which other sidecars' requests arrive while a report is used, as a multiple of its age: a report
/// was already old when it arrived, and half of its lifetime is still ahead.
const REPORT_LIFETIME_AGES: f64 = 4.0;
/// Weight of one outcome in a server's failure score.
const FAILURE_SCORE_GAIN: f64 = 0.3;
/// Duration of a server's first ejection, at a visibility of 1.
const FIRST_EJECTION_TIME_US: Micros = 300_000;
/// Longest duration of an ejection, before jitter.
const MAX_EJECTION_TIME_US: Micros = 5_000_000;
/// Repeats that each request earns: further attempts after one has ended, or second copies beside one.
const REPEATS_EARNED_PER_REQUEST: f64 = 0.15;
/// Repeats that can be saved up: a server's connections are reset together.
const MAX_SAVED_REPEATS: f64 = 5.0;
/// Minimum price of a repeat, which costs the part of a response time that the attempt before it took.
const MIN_REPEAT_PRICE: f64 = 0.25;
/// Number of mean forecast errors by which a forecast must stay below the latency goal, where a refusal can
/// say when to retry.
const FORECAST_MARGIN_WITH_RETRY_ADVICE: f64 = 1.5;
/// The same where it cannot: a refused request is lost there, and a probably late answer is worth more.
const FORECAST_MARGIN_WITHOUT_RETRY_ADVICE: f64 = -1.0;
/// Increase of the forecast margin with the share of late answers, where a refusal can say when to retry.
const LATE_SHARE_MARGIN_WITH_RETRY_ADVICE: f64 = 6.0;
/// The same where it cannot.
const LATE_SHARE_MARGIN_WITHOUT_RETRY_ADVICE: f64 = 2.0;
/// Increase of the forecast margin with the logarithm of how many times its quota a tenant has used, scaled
/// by how much less requests beyond the quota are worth.
const OVER_QUOTA_MARGIN: f64 = 6.0;
/// Upper limit of that increase.
const MAX_OVER_QUOTA_MARGIN: f64 = 6.0;
/// Reported load per unit of stated power above which a time-out indicates a full fleet.
const BUSY_LOAD_PER_POWER: f64 = 0.5;
/// Time after which an unreachable server counts as lost: it then counts as cold once it is reachable again.
const LOST_AFTER_US: Micros = 500_000;
/// Share of the capacity that must have room, so that one full server causes no refusals.
const MIN_CAPACITY_SHARE_WITH_ROOM: f64 = 0.85;
/// Share of late answers from which on a full server causes refusals all the same.
const MAX_LATE_SHARE_WITH_ROOM: f64 = 0.1;
/// By how much a key's home counts as emptier than it is, as a multiple of the fleet's fullness.
pub(crate) const HOME_LOAD_DISCOUNT: f64 = 2.0;

/// The low bits of a timer's token are its purpose; the others are the request's id, or 0.
pub(crate) const TIMER_PURPOSE_BITS: u32 = 3;
/// No server was available for the first attempt until the deadline.
const TIMER_NO_SERVER: u64 = 0;
/// Awaited probes have not been answered in time.
const TIMER_PROBES_OVERDUE: u64 = 1;
/// An attempt is overdue, and a second copy may be sent.
const TIMER_SECOND_COPY: u64 = 2;
/// The next call to discovery is due.
const TIMER_DISCOVERY_CALL: u64 = 7;

impl Balancer {
    /// A balancer that knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut new = Balancer::empty(settings, Xoshiro128PlusPlus::seed_from_u64(seed), now);
        new.reset_estimates();
        (new.repeat_budget, new.report_trust, new.mean_capacity) = (1.0, 0.7, 1.0);
        new
    }

    /// Sets the estimates that are learned from answers to initial values, soon replaced by learned ones.
    fn reset_estimates(&mut self) {
        self.class_work = self.settings.classes.iter().map(|c| c.latency_goal as f64 / 4.0).collect();
        let time = self.class_work.iter().sum::<f64>() / self.class_work.len().max(1) as f64;
        (self.response_time, self.mean_work, self.forecast_error, self.late_share) =
            (time.max(1000.0), time, 0.7, 0.0);
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Servers { update, servers } => self.on_servers(update, servers),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnded { request, attempt, server, outcome, elapsed, finished, load } => {
                let Some(&slot) = self.slot_by_id.get(&server) else { return };
                self.count_attempt_end(request, slot, outcome == Outcome::Served);
                if self.reached_present_process(request, attempt, slot, elapsed) {
                    if outcome == Outcome::Served {
                        self.count_answer(slot);
                    }
                    self.learn_from_outcome(slot, outcome, load, false);
                }
                self.on_attempt_ended(request, attempt, outcome, elapsed, finished);
            }
            Event::StreamStarted { request } => self.on_stream_started(request),
            Event::ClientLeft { request } => self.forget_request(request),
            Event::Timer { token } => {
                self.on_timer(token >> TIMER_PURPOSE_BITS, token & ((1 << TIMER_PURPOSE_BITS) - 1))
            }
            Event::ProbeEnded { server, outcome, load, .. } => {
                let Some(&slot) = self.slot_by_id.get(&server) else { return };
                self.servers[slot].probe_in_flight = false;
                self.learn_from_outcome(slot, outcome, load, true);
                self.on_probe_ended(slot);
            }
        }
        actions.append(&mut self.actions);
    }

    // ---- the server list

    fn on_servers(&mut self, update: Update, servers: &[Server]) {
        // A server that is missing in a complete list is gone.
        let listed: HashSet<ServerId> = servers.iter().map(|s| s.id).collect();
        let missing = |s: &&mut ServerState| update == Update::Complete && !listed.contains(&s.info.id);
        self.servers.iter_mut().filter(missing).for_each(|s| s.info.readiness = Readiness::Gone);
        self.reuse_search_start = 0;
        for info in servers {
            let slot = self.slot_by_id.get(&info.id).copied().unwrap_or_else(|| self.assign_slot(info.id));
            self.servers[slot].update(info, self.now);
            if info.readiness == Readiness::Gone {
                self.reuse_search_start = self.reuse_search_start.min(slot);
            }
        }
        self.share_table_at = None;
        self.schedule_discovery_call(update);
        if matches!(update, Update::Complete | Update::Changes) {
            let unsent = self.requests.iter().filter(|(_, p)| p.attempts.is_empty() && p.awaited_probes == 0);
            let mut unsent: Vec<_> = unsent.map(|(request, _)| *request).collect();
            unsent.sort_unstable(); // decisions must not depend on the order of a hash table
            unsent.into_iter().for_each(|request| self.dispatch(request));
        }
    }

    /// Sets a timer for the next call to discovery, if none is scheduled or in progress.
    fn schedule_discovery_call(&mut self, update: Update) {
        if !self.settings.must_subscribe {
            return;
        }
        let wait = match update {
            Update::Complete | Update::Changes => self.discovery_calls.on_list(&mut self.rng),
            Update::Failed => self.discovery_calls.on_failure(self.now, &mut self.rng),
            Update::Reopened => return self.discovery_calls.on_watch_reopened(self.now),
        };
        self.actions.extend(wait.map(|after| Action::SetTimer { token: TIMER_DISCOVERY_CALL, after }));
    }

    // ---- health of servers

    fn learn_from_outcome(&mut self, slot: usize, outcome: Outcome, load: Option<Load>, probe: bool) {
        let (now, created_at, visibility) = (self.now, self.created_at, self.visibility());
        let server = &mut self.servers[slot];
        let mean = self.mean_load * server.capacity;
        if let Some(load) = load.and_then(|l| l.in_flight.or(l.waiting)).filter(|l| (0.0..1e6).contains(l)) {
            (server.reported_load, server.reported_at, server.load_is_guess) = (load, Some(now), false);
        }
        if outcome == Outcome::Unreachable {
            server.unreachable_since = server.unreachable_since.or(Some(now));
        }
        let bad = match outcome {
            Outcome::Served => {
                if server.unreachable_since.take().is_some_and(|at| {
                    now - at > LOST_AFTER_US || now - created_at < MAX_START_REPORT_DELAY_US
                }) {
                    (server.recovered_at, self.share_table_at) = (Some(now), None);
                }
                0.0
            }
            Outcome::Cancelled | Outcome::NotSent => return,
            // The server is full for now, or draining, which the server list reports late. Its load is set to
            // a guess, which enters no mean (the mean would run away). The failure score rises a little, in
            // case the server never accepts anything.
            Outcome::Rejected => {
                let full = server.reported_load.max(2.0 * mean + 2.0);
                (server.reported_load, server.reported_at, server.load_is_guess) = (full, Some(now), true);
                0.6
            }
            Outcome::Unreachable => 2.0,
            Outcome::Error | Outcome::TimedOut | Outcome::Broken => 1.0,
        };
        server.unanswered_since = now;
        match (probe, bad > 0.0) {
            // A fast error or rejection must not look like an empty queue.
            (_, true) => server.reported_load = server.reported_load.max(mean),
            (false, false) => server.next_ejection_time = FIRST_EJECTION_TIME_US,
            // The recovery check succeeded: the server is used again, but the next bad outcome ejects it.
            (true, false) => server.failure_score = server.failure_score.min(FAILURE_SCORE_GAIN),
        }
        let gain = if bad > 0.0 {
            ejection::outcome_weight(FAILURE_SCORE_GAIN, visibility)
        } else {
            FAILURE_SCORE_GAIN
        };
        server.failure_score += (bad - server.failure_score) * gain;
        if server.failure_score >= SUSPECT_SCORE && server.ejected_until <= now {
            self.eject(slot);
        }
    }

    /// Ejects a server for a jittered time, and doubles the time of its next ejection.
    pub(crate) fn eject(&mut self, slot: usize) {
        let jitter = 0.5 + self.uniform();
        let first =
            ejection::first_ejection_time(FIRST_EJECTION_TIME_US, MAX_EJECTION_TIME_US, self.visibility());
        let server = &mut self.servers[slot];
        server.failure_score = server.failure_score.max(SUSPECT_SCORE);
        server.next_ejection_time = server.next_ejection_time.clamp(first, MAX_EJECTION_TIME_US);
        server.ejected_until = self.now + (server.next_ejection_time as f64 * jitter) as Micros;
        server.next_ejection_time *= 2;
        self.share_table_at = None;
    }

    // ---- shares

    /// Requests that all sidecars send to each server while reports age. Requests older than a response time
    /// have left the server again, so a longer age adds nothing.
    pub(crate) fn requests_per_server_during(&self, age: f64) -> f64 {
        let all =
            self.settings.sidecars as f64 * self.requests_per_second() * age.min(self.response_time) / 1e6;
        all / self.servers.len().max(1) as f64
    }

    /// How full a server of mean capacity is, with so many requests sent to it since its report.
    pub(crate) fn fullness(&self, requests_per_server: f64) -> f64 {
        self.mean_load * self.mean_capacity + 1.0 + 2.0 * requests_per_server
    }

    /// Load that is added to a server in another zone.
    pub(crate) fn crossing_cost(&self, fullness: f64) -> f64 {
        CROSS_ZONE_FULLNESS_PER_POINT * self.settings.prices.cross_zone * fullness
    }

    /// Computes `self.fill_shares` for the servers in `set`, with load reports of this age. A key's home
    /// counts as emptier: it gets nearly all requests for that key until it is that much fuller than others.
    pub(crate) fn fill(&mut self, set: &[usize], age: f64, home: Option<usize>) {
        let requests_per_server = self.requests_per_server_during(age);
        let lifetime = (REPORT_LIFETIME_AGES * age / self.response_time).max(1.0);
        let fullness = self.fullness(requests_per_server);
        let crossing_cost = self.crossing_cost(fullness);
        let m =
            if home.is_some() { 2.0 } else { (requests_per_server * lifetime * set.len() as f64).max(2.0) };
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let mut total_speed = 0.0;
        for &slot in set {
            let server = &self.servers[slot];
            // The request's own work is load too: on servers of unequal capacity it does not cancel out.
            let discount = if home == Some(slot) { HOME_LOAD_DISCOUNT * fullness } else { 0.0 };
            let load =
                self.effective_load(slot) + 2.0 + if self.in_other_zone(slot) { crossing_cost } else { 0.0 }
                    - discount;
            // Without probes, the recovery check is one real request at a time.
            let recovery_check =
                !self.settings.probes && server.ejected_until <= self.now && server.in_flight == 0;
            let usable = server.ready() && (server.failure_score < SUSPECT_SCORE || recovery_check);
            let (capacity, max_share) = (
                server.capacity * (1.0 - server.failure_score.min(SUSPECT_SCORE)),
                f64::from(u8::from(usable)),
            );
            total_speed += if server.ready() { server.speed } else { 0.0 };
            candidates.push(Candidate { load, capacity, max_share });
        }
        // When all servers are suspect, a suspect server is better than none, and warm suspects are better
        // than cold servers alone, which would be overloaded. Gone and draining servers stay excluded.
        let warm = |slot: &usize| self.servers[*slot].ready() && self.warmth(*slot) >= 1.0;
        let some_warm = set.iter().any(warm);
        let none_left =
            candidates.iter().zip(set).all(|(c, slot)| c.max_share == 0.0 || (some_warm && !warm(slot)));
        for (candidate, &slot) in candidates.iter_mut().zip(set) {
            if none_left {
                candidate.max_share = f64::from(u8::from(self.servers[slot].ready()));
            }
            // In a large fleet `fleet::key_homes` limits what a home gets, a part of each of its keys.
            let limited_as_home = home == Some(slot) && self.visibility() < 1.0;
            if self.warmth(slot) < 1.0 && !limited_as_home {
                // All sidecars do the same, and a cold server is overloaded when all send it too much.
                let part =
                    self.servers[slot].speed / total_speed * (self.settings.fall_multiple / 4.0).min(1.0);
                candidate.max_share *= part.min(self.slow_start_share(slot));
            }
        }
        water_fill(&candidates, m, &mut self.fill_shares);
        self.candidates = candidates;
    }

    // ---- requests

    fn on_request(&mut self, request: Request) {
        let Request { id, class, tenant, work, key, time_left } = request;
        let passed = (self.now - self.request_rate_at).max(0) as f64 / REQUEST_RATE_WINDOW_US;
        self.request_rate = self.request_rate * (-passed).exp() + 1e6 / REQUEST_RATE_WINDOW_US;
        self.request_rate_at = self.now;
        self.repeat_budget = (self.repeat_budget + REPEATS_EARNED_PER_REQUEST).min(MAX_SAVED_REPEATS);
        let goal = self.settings.classes.get(class).map(|c| c.latency_goal);
        let (Some(goal), true) = (goal, time_left > 0) else {
            let reason = GiveUpReason::UnknownClass;
            return self.actions.push(Action::Refuse { request: id, retry_after: 0, reason });
        };
        let (usual_work, work) = (self.class_work[class], work.filter(|w| *w > 0));
        let has_work_hint = work.is_some();
        let work = work.map_or(usual_work, |w| w as f64).clamp(1.0, 1e9);
        let (arrived_at, deadline) = (self.now, self.now.saturating_add(time_left));
        let pending = PendingRequest {
            class,
            tenant,
            key,
            work,
            has_work_hint,
            arrived_at,
            deadline,
            ..PendingRequest::default()
        };
        self.requests.insert(id, pending);
        // In a small fleet a key has one home, however popular it is.
        if let Some(key) = key.filter(|_| self.settings.warm_keys && self.visibility() < 1.0) {
            self.homes.record_request(key);
        }
        self.refresh_share_table();
        if self.probe_for_request(id) {
            self.awaiting_probes.push(id);
            let after = (goal / 10).min(time_left / 4);
            self.actions
                .push(Action::SetTimer { token: id << TIMER_PURPOSE_BITS | TIMER_PROBES_OVERDUE, after });
        } else {
            self.dispatch(id);
        }
    }

    /// Number of probes that a request affords. From 2 on it awaits them, and their reports are fresh.
    fn affordable_probes(&self) -> f64 {
        let spend = match self.settings.inline_reports {
            false => PROBE_SPEND_WITHOUT_INLINE_REPORTS,
            true => PROBE_SPEND_WITH_INLINE_REPORTS,
        };
        (spend / self.settings.prices.probe.max(1e-6)).min(3.0)
    }

    /// Sends the probes that a request affords; returns true if it should await the answers. Where probes are
    /// too expensive for that, occasional probes go to the servers with the oldest reports.
    fn probe_for_request(&mut self, request: RequestId) -> bool {
        if !self.settings.probes || self.servers.is_empty() {
            return false;
        }
        let (now, n) = (self.now, self.servers.len());
        let can_probe = |s: &ServerState| s.ready() && !s.probe_in_flight;
        let recovery_check_due =
            |s: &ServerState| s.failure_score >= SUSPECT_SCORE && s.ejected_until <= now && can_probe(s);
        if let Some(slot) = self.servers.iter().position(recovery_check_due) {
            // The ejection time of a suspect server is over: one probe checks whether it has recovered.
            self.servers[slot].ejected_until = now + self.servers[slot].next_ejection_time;
            self.send_probe(slot);
        }
        let affordable = self.affordable_probes();
        if affordable < 2.0 {
            self.probe_budget += affordable * 2.0 * self.uniform();
            if self.probe_budget >= 1.0 {
                self.probe_budget -= 1.0;
                let sample: Vec<usize> = (0..4).map(|_| self.rng.next_u64() as usize % n).collect();
                let eligible = sample.into_iter().filter(|slot| can_probe(&self.servers[*slot]));
                if let Some(slot) = eligible.min_by_key(|slot| self.servers[*slot].reported_at) {
                    self.send_probe(slot);
                }
            }
            return false;
        }
        let mut probed = Vec::new();
        for _ in 0..2 * affordable as usize {
            let draw = self.uniform();
            let drawn =
                pick_by_share(self.share_table.iter().copied(), draw).filter(|slot| !probed.contains(slot));
            if let Some(slot) = drawn.filter(|_| probed.len() < affordable as usize) {
                self.send_probe(slot);
                probed.push(slot);
            }
        }
        let wait = probed.len() > 1;
        self.requests
            .entry(request)
            .and_modify(|p| (p.awaited_probes, p.probed_slots) = (probed.len(), probed));
        wait
    }

    fn on_probe_ended(&mut self, slot: usize) {
        for request in self.awaiting_probes.clone() {
            let Some(pending) = self.requests.get_mut(&request).filter(|p| p.probed_slots.contains(&slot))
            else {
                continue;
            };
            pending.awaited_probes = pending.awaited_probes.saturating_sub(1);
            if pending.awaited_probes == 0 {
                self.dispatch(request);
            }
        }
    }

    fn on_timer(&mut self, request: RequestId, purpose: u64) {
        if purpose == TIMER_DISCOVERY_CALL {
            self.discovery_calls.on_call_started(self.now);
            return self.actions.push(Action::Subscribe);
        }
        let Some(pending) = self.requests.get(&request) else { return };
        match (purpose, pending.attempts_in_flight()) {
            (TIMER_PROBES_OVERDUE, 0) if pending.attempts.is_empty() && pending.awaited_probes > 0 => {
                self.dispatch(request)
            }
            (TIMER_SECOND_COPY, 1) if !pending.streaming => drop(self.try_repeat(request, 1.0)),
            (TIMER_NO_SERVER, 0) => self.finish(request, GiveUpReason::NoServer),
            _ => {}
        }
    }

    /// Sends another attempt of a request, if that is allowed and the budget covers the price.
    fn try_repeat(&mut self, request: RequestId, price: f64) -> bool {
        let affordable = self.repeat_budget >= price && self.may_repeat(request);
        if affordable {
            self.repeat_budget -= price;
            self.dispatch(request);
        }
        affordable
    }

    /// Whether a request may have another attempt, considering its class, earlier attempts and time left.
    fn may_repeat(&self, request: RequestId) -> bool {
        let Some(pending) = self.requests.get(&request) else { return false };
        let allowed = match (self.settings.classes[pending.class].effect, pending.first_possible_run()) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => self.now - first.sent_at < window,
        };
        allowed && pending.attempts.len() < self.settings.max_attempts && pending.deadline > self.now
    }

    /// Sends a request to a server drawn by shares, holds it if there is none, or refuses it.
    fn dispatch(&mut self, request: RequestId) {
        self.refresh_share_table();
        self.awaiting_probes.retain(|waiting| *waiting != request);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        pending.awaited_probes = 0;
        let pending = &*pending;
        let (arrived_at, deadline, work, key) =
            (pending.arrived_at, pending.deadline, pending.work, pending.key);
        let tenant = pending.tenant;
        let class = &self.settings.classes[pending.class];
        let ran_at = pending.first_possible_run().map(|a| &self.servers[a.slot].info);
        let in_group = |s: &ServerState| match (class.effect, ran_at) {
            (Effect::Keyed { group: Group::Zone, .. }, Some(ran_at)) => ran_at.zone == s.info.zone,
            (Effect::Keyed { group: Group::Cell, .. }, Some(ran_at)) => ran_at.cell == s.info.cell,
            _ => true,
        };
        let first = pending.attempts.is_empty();
        let mut set: Vec<usize> = Vec::new();
        if first {
            let has_fresh_report = |s: &ServerState| s.reported_at >= Some(arrived_at) && s.usable();
            set.extend(pending.probed_slots.iter().filter(|slot| has_fresh_report(&self.servers[**slot])));
        } else {
            let untried = |slot: &usize| pending.attempts.iter().all(|a| a.slot != *slot);
            let allowed = |slot: &usize| self.servers[*slot].ready() && in_group(&self.servers[*slot]);
            set.extend((0..self.servers.len()).filter(|slot| untried(slot) && allowed(slot)));
        }
        let (goal, refusable, usual_work_ratio) =
            (class.latency_goal as f64, ran_at.is_none(), self.class_work[pending.class] / work);
        let (draw, fresh) = (self.uniform(), first && !set.is_empty());
        let home = self.home_of(key).filter(|home| !fresh && (first || set.contains(home)));
        let sole_home = home.filter(|home| first && self.takes_whole_key(*home));
        if first && home.is_some() && sole_home.is_none() {
            set.extend(0..self.servers.len());
        }
        let (mut pick, mut share) = if let Some(home) = sole_home {
            (Some(home), 0.0)
        } else if first && set.is_empty() {
            let slot = pick_by_share(self.share_table.iter().copied(), draw);
            (slot, slot.map_or(0.0, |slot| self.share_table[slot]))
        } else {
            self.fill(&set, if fresh { 10_000.0 } else { self.response_time }, home);
            let index = pick_by_share(self.fill_shares.iter().copied(), draw);
            // In a large fleet `fleet::key_homes` limits what a home gets of all its keys.
            let limited_as_home = self.visibility() < 1.0 && index.map(|index| set[index]) == home;
            (
                index.map(|index| set[index]),
                index.filter(|_| !limited_as_home).map_or(0.0, |index| self.fill_shares[index]),
            )
        };
        // What a key's home leaves over goes to one and the same server, since all sidecars draw greedily.
        // The more sidecars there are, the more often it is drawn from the share table of all servers
        // instead.
        let (visibility, left_over) = (self.visibility(), first && home.is_some() && pick != home);
        if left_over && visibility < 1.0 && self.uniform() >= visibility {
            let draw = self.uniform();
            pick = pick_by_share(self.share_table.iter().copied(), draw);
            share = pick.map_or(0.0, |slot| self.share_table[slot]);
        }
        if let Some(drawn) = pick {
            let others = if first { None } else { Some(&set[..]) };
            pick = self.within_budget(drawn, share, others);
            if pick.is_none() {
                return self.finish_without_budget(request);
            }
        }
        let left = (deadline - self.now) as f64;
        // Forecasts near the latency goal are doubtful. Doubt counts against a request, because clients try
        // again at once and an overloaded server stays slow for long.
        let (forecast_margin, late_share_margin) = if self.settings.max_retry_after <= 0 {
            (FORECAST_MARGIN_WITHOUT_RETRY_ADVICE, LATE_SHARE_MARGIN_WITHOUT_RETRY_ADVICE)
        } else {
            (FORECAST_MARGIN_WITH_RETRY_ADVICE, LATE_SHARE_MARGIN_WITH_RETRY_ADVICE)
        };
        let over_quota =
            tenant.map_or(0.0, |t| self.tenants.excess(t, self.now) * (1.0 - self.settings.over_share_worth));
        let margin = forecast_margin
            + (OVER_QUOTA_MARGIN * over_quota).min(MAX_OVER_QUOTA_MARGIN)
            + late_share_margin * self.late_share;
        let longest_forecast = goal * (-self.forecast_error * margin).exp();
        // Requests that would be answered too late are refused before they take room from others. The usual
        // work of the class shows whether the fleet is full; a heavy request alone is no reason to refuse it.
        // A cold server with hardly any load is slow but not full: it warms up only by work.
        let too_late = |slot: usize| {
            let (forecast, warm) = (self.forecast(slot, work), self.warmth(slot) >= 1.0);
            forecast > 1.5 * left
                || ((warm || self.effective_load(slot) > 1.0)
                    && forecast * usual_work_ratio.min(1.0) > longest_forecast)
        };
        let mut refuse = refusable && pick.is_some_and(too_late);
        // One full server, above all a popular key's home, does not mean a full fleet: where nearly all
        // others have room, one of those is drawn. Only warm ones, since cold ones have had their share.
        let has_room =
            |slot: &usize| self.warmth(*slot) >= 1.0 && (first || set.contains(slot)) && !too_late(*slot);
        let try_others = refuse && self.late_share < MAX_LATE_SHARE_WITH_ROOM;
        let all: Vec<usize> = if try_others { self.usable_slots().collect() } else { Vec::new() };
        let room: Vec<usize> = all.iter().copied().filter(has_room).collect();
        if self.total_capacity(&room) > MIN_CAPACITY_SHARE_WITH_ROOM * self.total_capacity(&all) {
            self.fill(&room, self.response_time, None);
            let draw = self.uniform();
            (pick, refuse) =
                (pick_by_share(self.fill_shares.iter().copied(), draw).map(|index| room[index]), false);
        }
        let forecast = pick.map_or(0.0, |slot| self.forecast(slot, work));
        let Some(slot) = pick else {
            // A first attempt waits for the server list, a repeat for the attempt that is still in flight.
            if first {
                let after = (deadline - self.now - self.settings.answer_grace).max(0);
                self.actions
                    .push(Action::SetTimer { token: request << TIMER_PURPOSE_BITS | TIMER_NO_SERVER, after });
            } else if self.requests.get(&request).is_some_and(|p| p.attempts_in_flight() == 0) {
                self.finish(request, GiveUpReason::AttemptsFailed);
            }
            return;
        };
        if refuse {
            let since = *self.refusing_since.get_or_insert(self.now);
            if ((self.now - since) as f64) < LATE_SHARE_DECAY_US {
                return self.finish(request, GiveUpReason::Crowded);
            }
            // A sidecar that refuses everything gets no answers; with its old estimates it would never stop.
            self.reset_estimates();
        }
        self.refusing_since = None;
        tenant.filter(|_| first).into_iter().for_each(|t| self.tenants.record_sent(t, self.now));
        let attempt = Attempt { slot, sent_at: self.now, outcome: None };
        self.requests.entry(request).and_modify(|p| p.attempts.push(attempt));
        let overdue_after = (forecast * (3.0 * self.forecast_error).exp()).max(goal / 4.0);
        let mut timeout = None;
        if overdue_after < left * 0.6 && self.may_repeat(request) {
            if self.settings.second_copies {
                self.actions.push(Action::SetTimer {
                    token: request << TIMER_PURPOSE_BITS | TIMER_SECOND_COPY,
                    after: overdue_after as Micros,
                });
            } else if self.repeat_budget >= 1.0 {
                timeout = Some(overdue_after as Micros);
            }
        }
        let warmth = self.warmth(slot);
        self.slow_start.record_call(self.now, self.servers[slot].info.id.0, warmth);
        let (now, server) = (self.now, &mut self.servers[slot]);
        if server.in_flight == 0 {
            server.unanswered_since = now;
        }
        server.set_in_flight(server.in_flight + 1, now);
        (server.may_be_connected, server.last_sent_at) = (true, now);
        self.actions.push(Action::Send { request, server: server.info.id, timeout });
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        elapsed: Micros,
        finished: bool,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(attempt) else { return };
        attempt.outcome = Some(outcome);
        let (slot, work, class) = (attempt.slot, pending.work, pending.class);
        let (attempts, in_flight) = (pending.attempts.len(), pending.attempts_in_flight());
        let free_repeat = attempts == 1 && pending.first_possible_run().is_none();
        // A heavy request is late because of its own work; only requests of usual work show that the fleet is
        // full. Without work hints, all requests count as usual.
        let has_work_hint = pending.has_work_hint;
        let usual_work = !has_work_hint || work <= self.class_work[class];
        // A time-out at a server that reports little load says something about that server (it may be cut
        // off, or send invalid answers) and does not show that the fleet is full.
        let timed_out = outcome == Outcome::TimedOut
            && self.effective_load(slot) > BUSY_LOAD_PER_POWER * self.servers[slot].info.power;
        if usual_work && (outcome == Outcome::Served || timed_out) {
            let late = timed_out || elapsed > self.settings.classes[class].latency_goal;
            self.late_share += (f64::from(u8::from(late)) - self.late_share) * 0.1;
        }
        if outcome == Outcome::Served {
            // Without work hints, the response times stand for the work of a class.
            let seen = if has_work_hint { work } else { elapsed as f64 };
            self.class_work[class] += (seen - self.class_work[class]) * 0.05;
            self.learn_from_answer(slot, work, elapsed as f64);
        }
        if finished || outcome == Outcome::Served {
            return self.forget_request(id);
        } else if in_flight > 0 {
            return;
        }
        // One repeat is free if the first attempt never ran; further ones draw on the budget.
        let spent = if outcome == Outcome::TimedOut { 1.0 } else { elapsed as f64 / self.response_time };
        let price = spent.clamp(MIN_REPEAT_PRICE, 1.0);
        if !self.try_repeat(id, if free_repeat { 0.0 } else { price }) {
            self.finish(id, GiveUpReason::AttemptsFailed);
        }
    }

    /// Gives the final answer: a refusal if retrying the request is harmless, otherwise a failure.
    pub(crate) fn finish(&mut self, request: RequestId, reason: GiveUpReason) {
        let Some(pending) = self.requests.get(&request) else { return };
        let effect = self.settings.classes[pending.class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        let retry_after = (self.response_time as Micros).min(self.settings.max_retry_after);
        let refuse = harmless || pending.first_possible_run().is_none();
        self.actions.push(if refuse {
            Action::Refuse { request, retry_after, reason }
        } else {
            Action::Fail { request }
        });
        self.forget_request(request);
    }

    /// Forgets a request that needs no further answer, and cancels its attempts in flight.
    fn forget_request(&mut self, request: RequestId) {
        let Some(pending) = self.requests.remove(&request) else { return };
        self.awaiting_probes.retain(|waiting| *waiting != request);
        let cancel = self.settings.cancel && !pending.streaming;
        let in_flight = pending.attempts.iter().enumerate().filter(|(_, a)| cancel && a.outcome.is_none());
        self.actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request, attempt }));
        self.recount_streams(&pending);
    }
}
