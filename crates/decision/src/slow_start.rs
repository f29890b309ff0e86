//! Slow start: no cold server is sent more than its budget, whatever the shares say.

use crate::interface::{GiveUpReason, RequestId};
use crate::state::Balancer;
use roseproxy_fleet::draw::pick_by_share as find;

impl Balancer {
    /// Takes in what warm servers serve, which is the guide to what cold ones bear.
    pub(crate) fn observe_warm_servers(&mut self) {
        let (mut warm_power, mut power) = (0.0, 0.0);
        for slot in 0..self.backends.len() {
            if !self.backends[slot].ready() {
                continue;
            }
            power += self.backends[slot].info.power;
            if self.warmth(slot) >= 1.0 {
                warm_power += self.backends[slot].info.power;
            }
        }
        self.slow_start.observe_power(self.now, warm_power, power);
    }

    /// An own attempt was answered.
    pub(crate) fn answered_by(&mut self, slot: usize) {
        if self.warmth(slot) >= 1.0 {
            self.slow_start.record_answer(self.now);
        }
    }

    /// The share of all own calls that a server may get at most.
    pub(crate) fn slow_start_share(&self, slot: usize) -> f64 {
        let server = &self.backends[slot].info;
        let share = self.slow_start.max_share(self.now, self.warmth(slot), server.power);
        // In a large fleet two ways lead to a server: as its keys' home, and drawn from the table.
        if self.settings.warm_keys && self.sight() < 1.0 {
            share / 2.0
        } else {
            share
        }
    }

    /// Whether a server that was drawn with this share gets the call. Where the caps leave no room for all, the shares
    /// go over them in proportion: what is over is refused.
    fn keeps_to_share(&mut self, slot: usize, share: f64) -> bool {
        let most = self.slow_start_share(slot);
        share <= most || self.uniform() < most / share
    }

    /// Whether a server may be sent one more call.
    fn bears_one_more(&mut self, slot: usize) -> bool {
        let warmth = self.warmth(slot);
        let server = &self.backends[slot].info;
        self.slow_start.allows_call(self.now, server.id.0, warmth, server.power)
    }

    /// The server drawn with this share or, where that has had its budget, another one of these, of all where there are
    /// none; `None` where none of them bears more.
    pub(crate) fn within_budget(
        &mut self,
        drawn: usize,
        share: f64,
        others: Option<&[usize]>,
    ) -> Option<usize> {
        if !self.keeps_to_share(drawn, share) {
            return None;
        }
        if self.bears_one_more(drawn) {
            return Some(drawn);
        }
        let mut open: Vec<usize> = match others {
            Some(others) => others.iter().copied().filter(|slot| self.backends[*slot].usable()).collect(),
            None => self.usable().collect(),
        };
        open.retain(|slot| *slot != drawn && self.bears_one_more(*slot));
        self.fill(&open, self.stay, None);
        let draw = self.uniform();
        let at = find(self.shares.iter().copied(), draw)?;
        let share = self.shares[at];
        self.keeps_to_share(open[at], share).then_some(open[at])
    }

    /// Gives up a request for which no server bears one more call, unless an attempt of it is still out.
    pub(crate) fn finish_without_budget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|held| held.pending() == 0) {
            self.finish(request, GiveUpReason::SlowStart);
        }
    }
}
