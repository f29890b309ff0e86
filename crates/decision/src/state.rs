//! Data that the decisions are based on, with small accessors. The decisions themselves are in `policy.rs`.

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

/// Failure score from which on a server is suspect: it is ejected, and stays suspect until a recovery check
/// succeeds.
pub(crate) const SUSPECT_SCORE: f64 = 0.5;

/// Time (microseconds) over which this sidecar's request rate is smoothed.
pub(crate) const REQUEST_RATE_WINDOW_US: f64 = 5e6;

/// Number of slots from which on a new server reuses the slot of one that is gone.
const SLOT_REUSE_FROM: usize = 64;

/// A server as input of the water-fill (see `water_fill.rs`).
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Effective load, in requests.
    pub load: f64,
    /// Capacity, relative to the other servers.
    pub capacity: f64,
    /// Largest share that the server may get.
    pub max_share: f64,
}

/// What this sidecar knows of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    /// The entry of the server list.
    pub info: Server,
    /// Last reported load.
    pub reported_load: f64,
    /// When the last load report arrived; `None` before the first one.
    pub reported_at: Option<Micros>,
    /// Whether the load is a guess, made because the server rejected a request, and not a report.
    pub load_is_guess: bool,
    /// Logarithm of the server's speed relative to its machine kind, learned from answers.
    pub log_speed: f64,
    /// Decayed time (microseconds) that this sidecar's attempts have spent at the server.
    pub recent_time_us: f64,
    /// Decayed number of answers to this sidecar.
    pub recent_answers: f64,
    /// Point in time up to which the two decayed figures are counted.
    pub recent_as_of: Micros,
    /// Work done per unit of time, from power, machine kind, own speed and warm-up.
    pub speed: f64,
    /// `speed` reduced by the recent slowness of this sidecar's attempts, unanswered ones included.
    pub capacity: f64,
    /// Smoothed share of bad outcomes.
    pub failure_score: f64,
    /// End of the server's ejection after too many bad outcomes.
    pub ejected_until: Micros,
    /// Duration of the next ejection.
    pub next_ejection_time: Micros,
    /// This sidecar's attempts in flight.
    pub in_flight: u32,
    /// Since when none of these attempts has been answered.
    pub unanswered_since: Micros,
    /// Whether a probe is in flight.
    pub probe_in_flight: bool,
    /// Since when the server has been unreachable.
    pub unreachable_since: Option<Micros>,
    /// When the server last became reachable again.
    pub recovered_at: Option<Micros>,
    /// Whether a connection may be open.
    pub may_be_connected: bool,
    /// When the last attempt was sent.
    pub last_sent_at: Micros,
    /// When the list first named the server's present process.
    pub known_since: Micros,
}

impl ServerState {
    /// Whether the server may be sent new requests.
    pub fn ready(&self) -> bool {
        self.info.readiness == Readiness::Ready
    }

    /// Whether the server may be sent new requests and is not suspect.
    pub fn usable(&self) -> bool {
        self.ready() && self.failure_score < SUSPECT_SCORE
    }

    /// Applies an entry of the server list. What was known of a server does not hold for its restarted
    /// process and is dropped. A power that is not a positive number counts as 1.
    pub fn update(&mut self, info: &Server, now: Micros) {
        if self.info.started_at != info.started_at {
            let (in_flight, probe_in_flight) = (self.in_flight, self.probe_in_flight);
            *self = ServerState {
                in_flight,
                probe_in_flight,
                unanswered_since: now,
                recent_as_of: now,
                known_since: now,
                ..ServerState::default()
            };
        }
        let power = if info.power > 0.0 { info.power.clamp(1e-3, 1e6) } else { 1.0 };
        self.info = Server { power, ..info.clone() };
    }
}

/// Learned speed of a machine kind.
#[derive(Debug)]
pub(crate) struct KindSpeed {
    /// Logarithm of the work that a server of this kind and of power 1 does in a unit of time.
    pub log_speed: f64,
    /// Number of answers seen.
    pub answers_seen: f64,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub slot: usize,
    pub sent_at: Micros,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        use Outcome::{NotSent, Rejected, Unreachable};
        !matches!(self.outcome, Some(Rejected | Unreachable | NotSent))
    }
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    /// Expected work (microseconds).
    pub work: f64,
    /// Whether the client stated the work; otherwise it is the estimate for the class.
    pub has_work_hint: bool,
    pub arrived_at: Micros,
    pub deadline: Micros,
    pub streaming: bool,
    pub attempts: Vec<Attempt>,
    /// Servers probed for this request.
    pub probed_slots: Vec<usize>,
    /// Number of those probes that are still awaited.
    pub awaited_probes: usize,
}

impl PendingRequest {
    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }

    /// Number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
}

/// The decision module of one sidecar. Its main methods are in `policy.rs`.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: Xoshiro128PlusPlus,
    /// Time of the current event.
    pub(crate) now: Micros,
    /// When the balancer was created; soon after that, its server list may be outdated.
    pub(crate) created_at: Micros,
    /// Actions of the current event.
    pub(crate) actions: Vec<Action>,
    /// Known servers; a slot is an index into this list.
    pub(crate) servers: Vec<ServerState>,
    pub(crate) slot_by_id: HashMap<ServerId, usize>,
    /// While a server list is applied: no slot below this one can be reused, so that the search for
    /// reusable slots goes over all slots only once per list.
    pub(crate) reuse_search_start: usize,
    /// Logarithm of the work that a server of power 1 does in a unit of time.
    pub(crate) log_speed: f64,
    /// Number of answers seen.
    pub(crate) answers_seen: f64,
    pub(crate) kinds: HashMap<u32, KindSpeed>,
    pub(crate) requests: HashMap<RequestId, PendingRequest>,
    /// Requests that await probes, oldest first.
    pub(crate) awaiting_probes: Vec<RequestId>,
    /// Home servers of recently requested keys.
    pub(crate) homes: KeyHomes,
    /// Budgets of calls to cold servers.
    pub(crate) slow_start: SlowStart,
    /// Recent traffic of each tenant, and this sidecar's share of all traffic.
    pub(crate) tenants: TenantQuotas,
    /// Smoothed work of each class.
    pub(crate) class_work: Vec<f64>,
    /// Smoothed work of answered requests.
    pub(crate) mean_work: f64,
    /// Decayed rate of this sidecar's requests (per second), not yet corrected for a short history.
    pub(crate) request_rate: f64,
    /// When the request rate was last updated.
    pub(crate) request_rate_at: Micros,
    /// Smoothed response time of the servers (microseconds).
    pub(crate) response_time: f64,
    /// Mean absolute error of the response time forecasts, as a logarithm.
    pub(crate) forecast_error: f64,
    /// Smoothed share of attempts of usual work answered after the latency goal or never.
    pub(crate) late_share: f64,
    /// How much better reports forecast answers than the fleet's mean load does (1: fully, 0: not at all).
    pub(crate) report_trust: f64,
    /// Saved-up probes.
    pub(crate) probe_budget: f64,
    /// Saved-up repeats.
    pub(crate) repeat_budget: f64,
    /// Schedule of the calls to discovery.
    pub(crate) discovery_calls: CallSchedule,
    /// Shares of all servers, by slot.
    pub(crate) share_table: Vec<f64>,
    /// When the share table was computed; `None` if it must be computed anew.
    pub(crate) share_table_at: Option<Micros>,
    /// Since when every first attempt has been refused.
    pub(crate) refusing_since: Option<Micros>,
    /// Share tables computed so far.
    pub(crate) tables_built: u64,
    /// Load per unit of capacity of the emptiest server of the share table, before anything more is sent to
    /// it.
    pub(crate) lowest_fill_level: f64,
    /// Servers that may be homes of keys, by id.
    pub(crate) home_candidates: Vec<HomeCandidate>,
    /// `share_table_at` of the table that they were computed with.
    pub(crate) home_candidates_at: Option<Micros>,
    /// Number of changes of the home candidates.
    pub(crate) home_candidates_generation: u64,
    /// All slots, ordered by server id if `slots_sorted`.
    pub(crate) slots_by_id: Vec<usize>,
    /// Whether `slots_by_id` is in order.
    pub(crate) slots_sorted: bool,
    /// When the late share was last decayed.
    pub(crate) late_share_decayed_at: Option<Micros>,
    /// Mean reported load per unit of capacity.
    pub(crate) mean_load: f64,
    pub(crate) mean_capacity: f64,
    /// Input of the last water-fill.
    pub(crate) candidates: Vec<Candidate>,
    /// Result of the last water-fill.
    pub(crate) fill_shares: Vec<f64>,
}

impl Balancer {
    /// A random number from 0 to 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        draw::uniform(&mut self.rng)
    }

    /// This sidecar's requests per second. The smoothed rate starts at 0, so it is divided by the part of
    /// the smoothing window that has passed.
    pub(crate) fn requests_per_second(&self) -> f64 {
        let windows = ((self.now - self.created_at).max(0) as f64 / REQUEST_RATE_WINDOW_US).max(0.04);
        self.request_rate / (1.0 - (-windows).exp())
    }

    /// Time (microseconds) after which keeping an idle connection has cost as much as a new handshake would.
    pub(crate) fn idle_break_even_us(&self) -> f64 {
        let Prices { connection, handshake, .. } = self.settings.prices;
        let requests = connection * self.settings.sidecars as f64 * self.requests_per_second().max(1e-3);
        1e8 * handshake * self.servers.len() as f64 / requests
    }

    /// Share of the servers' traffic that this sidecar observes, see [`roseproxy_fleet::visibility`].
    pub(crate) fn visibility(&self) -> f64 {
        roseproxy_fleet::visibility(self.settings.sidecars)
    }

    /// Handles the start of a streamed answer: its attempts no longer count as in flight, however long the
    /// stream lasts.
    pub(crate) fn on_stream_started(&mut self, request: RequestId) {
        let Some(pending) = self.requests.get_mut(&request).filter(|p| !p.streaming) else { return };
        pending.streaming = true;
        for attempt in pending.attempts.iter().filter(|a| a.outcome.is_none()) {
            let server = &mut self.servers[attempt.slot];
            server.set_in_flight(server.in_flight.saturating_sub(1), self.now);
            (server.recent_answers, server.unanswered_since) = (server.recent_answers + 1.0, self.now);
        }
    }

    /// Counts the end of an attempt. An attempt whose stream had started was already taken off the count.
    pub(crate) fn count_attempt_end(&mut self, request: RequestId, slot: usize, served: bool) {
        let streams = self.requests.get(&request).is_some_and(|p| p.streaming);
        if !streams {
            let server = &mut self.servers[slot];
            server.set_in_flight(server.in_flight.saturating_sub(1), self.now);
            server.recent_answers += f64::from(u8::from(served));
        }
    }

    /// Whether an attempt was sent to the server's present process. What became of one that was sent to the
    /// process before it says nothing of this one.
    pub(crate) fn reached_present_process(
        &self,
        request: RequestId,
        attempt: usize,
        slot: usize,
        elapsed: Micros,
    ) -> bool {
        let attempt = self.requests.get(&request).and_then(|pending| pending.attempts.get(attempt));
        let sent_at = attempt.map_or(self.now - elapsed, |attempt| attempt.sent_at);
        sent_at >= self.servers[slot].known_since
    }

    /// Counts the streams of a forgotten request as in flight again: their ends are still to come, and each
    /// takes one off the count.
    pub(crate) fn recount_streams(&mut self, pending: &PendingRequest) {
        for attempt in pending.attempts.iter().filter(|a| pending.streaming && a.outcome.is_none()) {
            let server = &mut self.servers[attempt.slot];
            server.set_in_flight(server.in_flight + 1, self.now);
        }
    }

    /// Assigns a slot to a new server. From `SLOT_REUSE_FROM` slots on, it takes the slot of a server that is
    /// gone and that no request refers to; otherwise memory would grow with every server ever listed.
    pub(crate) fn assign_slot(&mut self, id: ServerId) -> usize {
        let slot = self.reusable_slot().unwrap_or(self.servers.len());
        match self.servers.get_mut(slot) {
            Some(gone) => drop(self.slot_by_id.remove(&std::mem::take(gone).info.id)),
            None => {
                self.servers.push(ServerState::default());
                self.slots_by_id.push(slot);
            }
        }
        self.slot_by_id.insert(id, slot);
        self.slots_sorted = false;
        slot
    }

    fn reusable_slot(&mut self) -> Option<usize> {
        if self.servers.len() < SLOT_REUSE_FROM {
            return None;
        }
        let refers_to = |p: &PendingRequest, slot: usize| {
            p.probed_slots.contains(&slot) || p.attempts.iter().any(|a| a.slot == slot)
        };
        let idle = |server: &ServerState| {
            server.info.readiness == Readiness::Gone && server.in_flight == 0 && !server.probe_in_flight
        };
        let reusable =
            |slot: &usize| idle(&self.servers[*slot]) && !self.requests.values().any(|p| refers_to(p, *slot));
        let slot = (self.reuse_search_start..self.servers.len()).find(reusable);
        self.reuse_search_start = slot.map_or(self.servers.len(), |slot| slot + 1);
        slot
    }

    /// Probes a server, unless a probe to it is in flight.
    pub(crate) fn send_probe(&mut self, slot: usize) {
        let server = &mut self.servers[slot];
        if !server.probe_in_flight {
            server.probe_in_flight = true;
            self.actions.push(Action::Probe { server: server.info.id });
        }
    }

    /// Slots of the servers that may be sent new requests and are not suspect.
    pub(crate) fn usable_slots(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(|slot| self.servers[*slot].usable())
    }

    /// Total capacity of some servers.
    pub(crate) fn total_capacity(&self, slots: &[usize]) -> f64 {
        slots.iter().map(|slot| self.servers[*slot].capacity).sum()
    }

    /// Whether a server is in another zone than this sidecar.
    pub(crate) fn in_other_zone(&self, slot: usize) -> bool {
        self.settings.zone.is_some_and(|zone| zone != self.servers[slot].info.zone)
    }

    /// A balancer without servers, requests or estimates.
    pub(crate) fn empty(settings: Settings, rng: Xoshiro128PlusPlus, now: Micros) -> Self {
        Balancer {
            tenants: TenantQuotas::new(&settings.tenants, settings.sidecars),
            discovery_calls: CallSchedule::new(settings.sidecars, settings.max_poll_interval),
            slow_start: SlowStart::new(settings.sidecars, settings.ramp()),
            settings,
            rng,
            now,
            created_at: now,
            actions: Vec::new(),
            servers: Vec::new(),
            slot_by_id: HashMap::new(),
            reuse_search_start: 0,
            log_speed: 0.0,
            answers_seen: 0.0,
            kinds: HashMap::new(),
            requests: HashMap::new(),
            awaiting_probes: Vec::new(),
            homes: KeyHomes::default(),
            class_work: Vec::new(),
            mean_work: 0.0,
            request_rate: 0.0,
            request_rate_at: now,
            response_time: 0.0,
            forecast_error: 0.0,
            late_share: 0.0,
            report_trust: 0.0,
            probe_budget: 0.0,
            repeat_budget: 0.0,
            share_table: Vec::new(),
            share_table_at: None,
            tables_built: 0,
            lowest_fill_level: f64::NEG_INFINITY,
            home_candidates: Vec::new(),
            home_candidates_at: None,
            home_candidates_generation: 0,
            slots_by_id: Vec::new(),
            slots_sorted: true,
            refusing_since: None,
            late_share_decayed_at: None,
            mean_load: 0.0,
            mean_capacity: 0.0,
            candidates: Vec::new(),
            fill_shares: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Class, Event, Request, Update};

    /// For seconds after its start a sidecar counted a fifth of its own requests, so that the water-fill
    /// underestimated all traffic and overloaded the servers that looked best.
    #[test]
    fn a_new_sidecar_knows_its_own_request_rate() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut balancer = Balancer::new(settings, 5, 0);
        for id in 1..=1000 {
            let now = id * 5_000;
            let request = Request { id: id as u64, time_left: 1_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut Vec::new());
            let rate = balancer.requests_per_second();
            assert!(id < 40 || (150.0..250.0).contains(&rate), "{rate:.0} of 200 per second after {now} us");
        }
    }

    /// On the Mandal catalogue the first answers of two servers took long, and for seven seconds nothing
    /// went to them while others were overloaded: a server that looks slow is sent little and cannot prove
    /// otherwise. Its learned slowness must therefore decay.
    #[test]
    fn learned_slowness_of_an_unused_server_decays() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut balancer = Balancer::new(settings, 5, 0);
        let servers = [Server { id: ServerId(1), power: 1.0, ..Server::default() }];
        balancer.handle(0, Event::Servers { update: Update::Complete, servers: &servers }, &mut Vec::new());
        let mut speed = |id, now| {
            (balancer.servers[0].log_speed, balancer.servers[0].last_sent_at) = (-2.0, 0);
            let request = Request { id, time_left: 1_000_000, ..Request::default() };
            balancer.handle(now, Event::Request(request), &mut Vec::new());
            balancer.servers[0].speed
        };
        let (soon, later) = (speed(1, 1_000), speed(2, 10_000_000));
        assert!(soon < 0.2 && later > 0.9, "speed {soon:.2} at once, {later:.2} after ten seconds");
    }
}
