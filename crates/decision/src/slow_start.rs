//! Slow start: no cold server is sent more calls than its budget, whatever the shares are.

use crate::interface::{GiveUpReason, RequestId};
use crate::state::Balancer;
use roseproxy_fleet::draw::pick_by_share;

impl Balancer {
    /// Updates the throughput of warm servers, from which the budgets of cold servers are derived.
    pub(crate) fn observe_warm_servers(&mut self) {
        let (mut warm_power, mut power) = (0.0, 0.0);
        for slot in 0..self.servers.len() {
            if !self.servers[slot].ready() {
                continue;
            }
            power += self.servers[slot].info.power;
            if self.warmth(slot) >= 1.0 {
                warm_power += self.servers[slot].info.power;
            }
        }
        self.slow_start.observe_power(self.now, warm_power, power);
    }

    /// Counts an answer to one of this sidecar's attempts, if the server is warm.
    pub(crate) fn count_answer(&mut self, slot: usize) {
        if self.warmth(slot) >= 1.0 {
            self.slow_start.record_answer(self.now);
        }
    }

    /// Maximum share of this sidecar's calls that a server may get.
    pub(crate) fn slow_start_share(&self, slot: usize) -> f64 {
        let server = &self.servers[slot].info;
        let share = self.slow_start.max_share(self.now, self.warmth(slot), server.power);
        // In a large fleet a server is chosen in two ways: as the home of keys, and from the share table.
        if self.settings.warm_keys && self.visibility() < 1.0 {
            share / 2.0
        } else {
            share
        }
    }

    /// Whether a server that was drawn with this share gets the call. Where the maximum shares add up to less
    /// than 1, the shares exceed them in proportion; the excess is refused at random.
    fn accept_within_max_share(&mut self, slot: usize, share: f64) -> bool {
        let max_share = self.slow_start_share(slot);
        share <= max_share || self.uniform() < max_share / share
    }

    /// Whether the budget of a server allows one more call.
    fn budget_allows_call(&mut self, slot: usize) -> bool {
        let warmth = self.warmth(slot);
        let server = &self.servers[slot].info;
        self.slow_start.allows_call(self.now, server.id.0, warmth, server.power)
    }

    /// The server drawn with this share or, if its budget is used up, another one of `others` (of all servers
    /// if `None`). Returns `None` if no budget allows the call.
    pub(crate) fn within_budget(
        &mut self,
        drawn: usize,
        share: f64,
        others: Option<&[usize]>,
    ) -> Option<usize> {
        if !self.accept_within_max_share(drawn, share) {
            return None;
        }
        if self.budget_allows_call(drawn) {
            return Some(drawn);
        }
        let mut open: Vec<usize> = match others {
            Some(others) => others.iter().copied().filter(|slot| self.servers[*slot].usable()).collect(),
            None => self.usable_slots().collect(),
        };
        open.retain(|slot| *slot != drawn && self.budget_allows_call(*slot));
        self.fill(&open, self.response_time, None);
        let draw = self.uniform();
        let index = pick_by_share(self.fill_shares.iter().copied(), draw)?;
        let share = self.fill_shares[index];
        self.accept_within_max_share(open[index], share).then_some(open[index])
    }

    /// Gives up a request for which no budget allows a call, unless one of its attempts is still in flight.
    pub(crate) fn finish_without_budget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|pending| pending.attempts_in_flight() == 0) {
            self.finish(request, GiveUpReason::SlowStart);
        }
    }
}
