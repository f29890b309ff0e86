//! Key affinity: requests for a key go to the key's home server first, because a server that handled a key
//! recently does less work for it.

use crate::interface::ServerId;
use crate::policy::HOME_LOAD_DISCOUNT;
use crate::state::Balancer;
use roseproxy_fleet::key_homes::{Candidates, HomeCandidate};

impl Balancer {
    /// The slot of one of the home servers of a key, to which all sidecars send the key first.
    pub(crate) fn home_of(&mut self, key: Option<u64>) -> Option<usize> {
        let key = key.filter(|_| self.settings.warm_keys)?;
        self.refresh_home_candidates();
        let (visibility, bound) = (self.visibility(), self.home_capacity_factor());
        let draw = if visibility < 1.0 { self.uniform() } else { 0.0 };
        let candidates = Candidates {
            servers: &self.home_candidates,
            generation: self.home_candidates_generation,
            visibility,
            load_bound: bound,
        };
        let home = self.homes.choose_home(key, candidates, self.now, draw)?;
        self.slot_by_id.get(&ServerId(home)).copied()
    }

    /// Upper limit of a home's load, as a multiple of its share of the capacity: half of what a cold server
    /// can bear. The other half is reserved for bursts, repeats and probes.
    fn home_capacity_factor(&self) -> f64 {
        (self.settings.fall_multiple / 2.0).max(1.0)
    }

    /// Updates the servers that may be homes. In a large fleet this happens once per share table, since both
    /// are computed from the same figures.
    fn refresh_home_candidates(&mut self) {
        let current = self.share_table_at.is_some() && self.home_candidates_at == self.share_table_at;
        if current && self.visibility() < 1.0 {
            return;
        }
        self.home_candidates_at = self.share_table_at;
        if !self.slots_sorted {
            // The slots are nearly sorted already: a change of the server list moves only a few.
            self.slots_by_id.sort_by_key(|slot| self.servers[*slot].info.id);
            self.slots_sorted = true;
        }
        let total_speed: f64 = self.servers.iter().filter(|s| s.ready()).map(|s| s.speed).sum();
        let mut candidates = Vec::with_capacity(self.home_candidates.len());
        for index in 0..self.slots_by_id.len() {
            let slot = self.slots_by_id[index];
            if self.servers[slot].usable() {
                candidates.push(self.home_candidate(slot, total_speed));
            }
        }
        let same = |(a, b): (&HomeCandidate, &HomeCandidate)| a.id == b.id && a.weight == b.weight;
        if candidates.len() != self.home_candidates.len()
            || !candidates.iter().zip(&self.home_candidates).all(same)
        {
            self.home_candidates_generation += 1;
        }
        self.home_candidates = candidates;
    }

    fn home_candidate(&self, slot: usize, total_speed: f64) -> HomeCandidate {
        let (server, warmth) = (&self.servers[slot], self.warmth(slot));
        // A cold server must not take over what warm servers lose while they are slow or ejected.
        let max_share = match warmth < 1.0 {
            true => {
                (self.home_capacity_factor() * server.speed / total_speed).min(self.slow_start_share(slot))
            }
            false => f64::INFINITY,
        };
        let weight = server.info.power * warmth;
        HomeCandidate { id: server.info.id.0, weight, capacity: server.capacity, max_share }
    }

    /// Whether the water-fill would give a home all requests for its key: with all of them it is still less
    /// full than any other server is without them. The share table stores how full the other servers are, so
    /// that a large fleet need not be visited again; in a small fleet the water-fill is computed instead.
    pub(crate) fn takes_whole_key(&self, home: usize) -> bool {
        let server = &self.servers[home];
        if self.visibility() >= 1.0 || !server.usable() {
            return false;
        }
        let fullness = self.fullness(self.requests_per_server_during(self.response_time));
        let crossing = if self.in_other_zone(home) { self.crossing_cost(fullness) } else { 0.0 };
        let load = self.effective_load(home) + 2.0 + crossing - HOME_LOAD_DISCOUNT * fullness;
        let capacity = server.capacity * (1.0 - server.failure_score);
        (1.0 + load / 2.0) / capacity <= self.lowest_fill_level
    }
}
