//! Key affinity: the server that a key's requests go to first, as one that met it lately does less work for it.

use crate::interface::ServerId;
use crate::policy::WARM;
use crate::state::Balancer;
use roseproxy_fleet::key_homes::{Candidates, HomeCandidate};

impl Balancer {
    /// One of the servers that all balancers give a key to first.
    pub(crate) fn home_of(&mut self, key: Option<u64>) -> Option<usize> {
        let key = key.filter(|_| self.settings.warm_keys)?;
        self.refresh_places();
        let (sight, bound) = (self.sight(), self.home_bound());
        let draw = if sight < 1.0 { self.uniform() } else { 0.0 };
        let fleet = Candidates {
            servers: &self.places,
            generation: self.places_generation,
            visibility: sight,
            load_bound: bound,
        };
        let home = self.homes.choose_home(key, fleet, self.now, draw)?;
        self.slots.get(&ServerId(home)).copied()
    }

    /// How many times its part of the capacity a home may get: half of what may come to a cold server, as the rest is for
    /// bursts, repeats and probes.
    fn home_bound(&self) -> f64 {
        (self.settings.fall_multiple / 2.0).max(1.0)
    }

    /// Takes over the servers that may be homes; in a large fleet once for each table of shares, which is made of the same
    /// figures.
    fn refresh_places(&mut self) {
        let current = self.table_at.is_some() && self.places_at == self.table_at;
        if current && self.sight() < 1.0 {
            return;
        }
        self.places_at = self.table_at;
        if !self.in_order {
            // Most are: a change of the list moves a few.
            self.slots_by_id.sort_by_key(|slot| self.backends[*slot].info.id);
            self.in_order = true;
        }
        let speeds: f64 = self.backends.iter().filter(|b| b.ready()).map(|b| b.speed).sum();
        let mut places = Vec::with_capacity(self.places.len());
        for at in 0..self.slots_by_id.len() {
            let slot = self.slots_by_id[at];
            if self.backends[slot].usable() {
                places.push(self.place_of(slot, speeds));
            }
        }
        let same = |(a, b): (&HomeCandidate, &HomeCandidate)| a.id == b.id && a.weight == b.weight;
        if places.len() != self.places.len() || !places.iter().zip(&self.places).all(same) {
            self.places_generation += 1;
        }
        self.places = places;
    }

    fn place_of(&self, slot: usize, speeds: f64) -> HomeCandidate {
        let (server, warmth) = (&self.backends[slot], self.warmth(slot));
        // What warm servers lose for a moment, slow or set aside, is not a cold one's to take over.
        let most = match warmth < 1.0 {
            true => (self.home_bound() * server.speed / speeds).min(self.slow_start_share(slot)),
            false => f64::INFINITY,
        };
        let weight = server.info.power * warmth;
        HomeCandidate { id: server.info.id.0, weight, capacity: server.capacity, max_share: most }
    }

    /// Whether the water-fill would give a home all of its key: even then it is less full than any other server is
    /// without it. The table of shares has how full those are, so that the many of a large fleet need not be looked at
    /// again; in a small one that is done.
    pub(crate) fn takes_whole_key(&self, home: usize) -> bool {
        let server = &self.backends[home];
        if self.sight() >= 1.0 || !server.usable() {
            return false;
        }
        let fullness = self.fullness(self.sent_while(self.stay));
        let far = if self.far(home) { self.crossing_cost(fullness) } else { 0.0 };
        let load = self.effective_load(home) + 2.0 + far - WARM * fullness;
        let capacity = server.capacity * (1.0 - server.trouble);
        (1.0 + load / 2.0) / capacity <= self.lowest_level
    }
}
