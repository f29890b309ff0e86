//! Key affinity. The homes of a key are the servers to which all sidecars send its requests first,
//! so that the key is still cached there; each home gets a share of the key's requests.

use crate::draw::{pick_by_share, uniform};
use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro128PlusPlus;
use std::collections::HashMap;

/// Largest share of a key's requests that one home should get, relative to a server's share of all
/// requests. A popular key carries a fixed part of the traffic whatever the fleet's size, while
/// each server's part shrinks as the fleet grows: at sixty servers the most popular key is the work
/// of ten servers.
const MAX_KEY_SHARE_PER_HOME: f64 = 0.5;
/// Additional homes of every key at a visibility of 0. They take what random variation puts on one
/// server above its share.
const SPARE_HOMES: f64 = 2.0;
/// Number of counted requests at which all counts are halved.
const HALVING_REQUESTS: f64 = 512.0;
/// Maximum number of keys whose requests are counted.
pub const MAX_COUNTED_KEYS: usize = 1024;
/// Requests by which the total is increased as a prior: a key that is met first counts as a
/// twentieth of all requests. A sidecar that has seen little cannot tell popular keys from rare
/// ones, and when all sidecars start at once, each popular key would overload the few homes of a
/// rare one.
const PRIOR_REQUESTS: f64 = 20.0;
/// Minimum time for which a key's homes are kept (microseconds).
const MIN_SELECTION_LIFETIME_US: i64 = 1_000_000;
/// While the candidates are unchanged, homes are kept for longer, as long as the wanted number of
/// homes changes by no more than one in this many.
const COUNT_TOLERANCE_DIVISOR: usize = 4;
/// Requests left over by rounding when an assignment is removed.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A server that may be a home of keys.
#[derive(Clone, Copy, Debug)]
pub struct HomeCandidate {
    /// Id of the server, the same at all sidecars.
    pub id: u64,
    /// Weight in the selection of homes. Sidecars agree on homes as far as their weights agree.
    pub weight: f64,
    /// Capacity relative to the other servers.
    pub capacity: f64,
    /// Largest share of all requests that the server may get over all its keys: a limit for a cold
    /// server, independent of what other servers can do at the moment. Infinite for a warm server.
    pub max_share: f64,
}

impl HomeCandidate {
    /// Whether the server's share of the requests is limited because it is cold.
    fn is_bounded(&self) -> bool {
        self.max_share.is_finite()
    }
}

/// The servers from which homes are chosen, and the limits that apply to all keys.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// The servers that may be homes, sorted by id.
    pub servers: &'a [HomeCandidate],
    /// Number that changes whenever the ids or weights of the servers change.
    pub generation: u64,
    /// Share of the fleet's behaviour that one sidecar observes, see [`crate::visibility`].
    pub visibility: f64,
    /// Largest share of the requests that a server may get, as a multiple of its share of the
    /// capacity.
    pub load_bound: f64,
}

impl Candidates<'_> {
    fn contains(&self, server: &HomeCandidate) -> bool {
        self.servers.binary_search_by_key(&server.id, |s| s.id).is_ok()
    }
}

/// The homes of keys as one sidecar computes them from the popularity of keys in its own requests.
///
/// Each request assigns only its own key to homes, on top of the load that other keys have already
/// put on them. The cost of one request therefore grows with the number of servers, and not with
/// servers times keys.
#[derive(Debug, Default)]
pub struct KeyHomes {
    /// Recent requests by key.
    counts: HashMap<u64, f64>,
    total: f64,
    assignments: HashMap<u64, Assignment>,
    /// Load of each server as a home of all keys, in the requests counted in `counts`.
    loads: HashMap<u64, f64>,
    /// Number of key and server pairs scored so far.
    scored_pairs: u64,
}

/// A key's homes with the requests assigned to each, and the requests that none of them takes.
#[derive(Debug)]
struct Assignment {
    homes: Vec<(HomeCandidate, f64)>,
    unassigned: f64,
    selection: Selection,
}

/// When and from what a key's homes were selected.
#[derive(Clone, Copy, Debug)]
struct Selection {
    /// Time of the selection (microseconds).
    at: i64,
    /// Generation of the candidates.
    generation: u64,
    /// Wanted number of homes.
    count: usize,
}

impl Selection {
    /// Whether this selection still holds at `now`: it is recent, or neither the candidates nor the
    /// wanted number of homes have changed much.
    fn is_valid(&self, now: Selection) -> bool {
        let similar_count = self.count.abs_diff(now.count) * COUNT_TOLERANCE_DIVISOR <= now.count;
        now.at - self.at <= MIN_SELECTION_LIFETIME_US || (self.generation == now.generation && similar_count)
    }
}

impl KeyHomes {
    /// Counts a request for a key.
    pub fn record_request(&mut self, key: u64) {
        if self.total >= HALVING_REQUESTS {
            self.halve_counts();
        }
        self.total += 1.0;
        // An endless stream of new keys must not fill the memory: at the limit, only keys already
        // counted are counted further.
        if self.counts.len() < MAX_COUNTED_KEYS || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_insert(0.0) += 1.0;
        }
    }

    /// Halves all counts and loads, and drops keys that fall below half a request.
    fn halve_counts(&mut self) {
        self.total /= 2.0;
        self.counts.values_mut().for_each(|c| *c /= 2.0);
        self.counts.retain(|_, c| *c >= 0.5);
        self.loads.values_mut().for_each(|load| *load /= 2.0);
        for assignment in self.assignments.values_mut() {
            assignment.unassigned /= 2.0;
            assignment.homes.iter_mut().for_each(|(_, part)| *part /= 2.0);
        }
        let mut forgotten_keys: Vec<u64> =
            self.assignments.keys().copied().filter(|key| !self.counts.contains_key(key)).collect();
        forgotten_keys.sort_unstable(); // nothing may depend on the order of a hash table
        forgotten_keys.into_iter().for_each(|key| drop(self.remove_assignment(key)));
    }

    /// Returns the number of key and server pairs scored so far, the cost of selecting homes.
    pub fn scored_pairs(&self) -> u64 {
        self.scored_pairs
    }

    /// Returns the number of keys whose requests are counted.
    pub fn counted_keys(&self) -> usize {
        self.counts.len()
    }

    /// Returns the number of keys with assigned homes.
    pub fn keys_with_homes(&self) -> usize {
        self.assignments.len()
    }

    /// Returns the key's estimated share of all requests.
    pub fn share(&self, key: u64) -> f64 {
        self.requests(key) / self.all_requests()
    }

    fn requests(&self, key: u64) -> f64 {
        self.counts.get(&key).copied().unwrap_or(0.0).max(1.0)
    }

    fn all_requests(&self) -> f64 {
        self.total + PRIOR_REQUESTS
    }

    /// Returns one of the key's homes, chosen in proportion to their shares by `draw`, a number
    /// from 0 to 1. Returns `None` if there are no candidates, and for the share of requests beyond
    /// what the homes may get.
    pub fn choose_home(&mut self, key: u64, candidates: Candidates, now: i64, draw: f64) -> Option<u64> {
        if self.counts.contains_key(&key) {
            self.assign(key, candidates, now);
        }
        let (shares, unassigned) = self.home_shares(key, candidates);
        let all_shares = || shares.iter().map(|(_, part)| *part).chain([unassigned]);
        // If the whole share belongs to homes that have left, a full home is better than none.
        let drawn = pick_by_share(all_shares(), draw * all_shares().sum::<f64>())
            .map_or(shares.last(), |i| shares.get(i));
        drawn.map(|(s, _)| s.id)
    }

    /// Returns the key's homes with their shares, and the share that none of them gets.
    fn home_shares(&mut self, key: u64, candidates: Candidates) -> (Vec<(HomeCandidate, f64)>, f64) {
        if let Some(assignment) = self.assignments.get(&key) {
            let (homes, removed): (Vec<_>, Vec<_>) =
                assignment.homes.iter().partition(|(s, _)| candidates.contains(s));
            if !homes.is_empty() {
                // Cold servers must not take over the share of homes that have left.
                let some_cold = homes.iter().any(|(s, _): &(HomeCandidate, f64)| s.is_bounded());
                let orphaned = removed.iter().map(|(_, part)| part).sum::<f64>();
                return (homes, assignment.unassigned + if some_cold { orphaned } else { 0.0 });
            }
        }
        // The key is not counted, or all its homes have left since.
        let count = self.home_count(key, candidates);
        let homes = self.rank_servers(key, count, candidates);
        // Number of such keys for which each server is a home, compared with its share of the keys.
        let keys_per_server = candidates.servers.len() as f64 / homes.len().max(1) as f64;
        let capacity = homes.iter().map(|s| s.capacity).sum::<f64>().max(1e-9);
        let part = |s: &HomeCandidate| (s.capacity / capacity).min(s.max_share * keys_per_server);
        let parts: Vec<(HomeCandidate, f64)> = homes.iter().map(|s| (*s, part(s))).collect();
        // The share beyond the limits of cold homes goes to warm homes, if there are any.
        let excess = 1.0 - parts.iter().map(|(_, part)| part).sum::<f64>();
        let some_warm = homes.iter().any(|s| !s.is_bounded());
        (parts, if some_warm { 0.0 } else { excess.max(0.0) })
    }

    /// Returns the number of homes that the key should have by its share of the requests.
    fn home_count(&self, key: u64, candidates: Candidates) -> usize {
        home_count(self.share(key), candidates.servers.len(), candidates.visibility)
    }

    /// Returns the `count` servers with the highest scores for the key.
    fn rank_servers(&mut self, key: u64, count: usize, candidates: Candidates) -> Vec<HomeCandidate> {
        self.scored_pairs += candidates.servers.len() as u64;
        let mut ranked: Vec<(f64, HomeCandidate)> =
            candidates.servers.iter().map(|s| (rendezvous_score(key, s.id, s.weight), *s)).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by(count, |a, b| b.0.total_cmp(&a.0));
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, server)| server).collect()
    }

    /// Assigns the key's requests to its homes where other keys leave room, reselecting the homes
    /// at most once a second. Every sidecar does this from its own counts; where counts differ,
    /// sidecars still choose from the same homes.
    fn assign(&mut self, key: u64, candidates: Candidates, now: i64) {
        let count = self.home_count(key, candidates);
        let current = Selection { at: now, generation: candidates.generation, count };
        let known = self.remove_assignment(key).filter(|known| known.selection.is_valid(current));
        let (selection, ranked) = match known {
            Some(known) => (known.selection, refresh_homes(known.homes, candidates)),
            None => (current, self.rank_servers(key, count, candidates)),
        };
        let (requests, total) = (self.requests(key), self.all_requests());
        let capacity = candidates.servers.iter().map(|s| s.capacity).sum::<f64>();
        let max_load_per_capacity = candidates.load_bound * total / capacity.max(1e-9);
        let load = |s: &HomeCandidate| self.loads.get(&s.id).copied().unwrap_or(0.0);
        let loaded: Vec<HomeLoad> =
            ranked.into_iter().map(|s| HomeLoad::new(s, load(&s), s.max_share * total)).collect();
        let homes = level_loads(loaded, requests, max_load_per_capacity);
        for (server, part) in &homes {
            *self.loads.entry(server.id).or_default() += part;
        }
        let excess = requests - homes.iter().map(|(_, part)| part).sum::<f64>();
        // A rounding error must not leave a key that has homes with an unassigned share.
        let unassigned = if excess < ROUNDING_TOLERANCE * total { 0.0 } else { excess };
        self.assignments.insert(key, Assignment { homes, unassigned, selection });
    }

    /// Removes a key's requests from its homes and returns the assignment.
    fn remove_assignment(&mut self, key: u64) -> Option<Assignment> {
        let assignment = self.assignments.remove(&key)?;
        for (server, part) in &assignment.homes {
            let Some(load) = self.loads.get_mut(&server.id) else { continue };
            *load -= part;
            if *load <= ROUNDING_TOLERANCE {
                self.loads.remove(&server.id);
            }
        }
        Some(assignment)
    }
}

/// Updates homes to the candidates' present values; a home that is no longer a candidate stays
/// unchanged.
fn refresh_homes(homes: Vec<(HomeCandidate, f64)>, candidates: Candidates) -> Vec<HomeCandidate> {
    let now = |server: &HomeCandidate| {
        candidates.servers.binary_search_by_key(&server.id, |s| s.id).ok().map(|at| candidates.servers[at])
    };
    homes.into_iter().map(|(server, _)| now(&server).unwrap_or(server)).collect()
}

/// A home with its load from other keys and its load limit.
struct HomeLoad {
    server: HomeCandidate,
    load: f64,
    /// Load per unit of capacity.
    load_per_capacity: f64,
    max_load: f64,
}

impl HomeLoad {
    fn new(server: HomeCandidate, load: f64, max_load: f64) -> HomeLoad {
        HomeLoad { server, load, load_per_capacity: load / server.capacity.max(1e-9), max_load }
    }
}

/// Distributes a key's requests over its homes so that their loads per unit of capacity reach one
/// common level, limited by `max_load_per_capacity` and by each home's own limit. Returns the
/// requests assigned to each home.
fn level_loads(
    mut homes: Vec<HomeLoad>,
    requests: f64,
    max_load_per_capacity: f64,
) -> Vec<(HomeCandidate, f64)> {
    homes.sort_unstable_by(|a, b| {
        a.load_per_capacity.total_cmp(&b.load_per_capacity).then(a.server.id.cmp(&b.server.id))
    });
    let (mut load, mut capacity, mut level) = (requests, 0.0, 0.0);
    for home in &homes {
        if capacity > 0.0 && home.load_per_capacity >= level {
            break;
        }
        (load, capacity) = (load + home.load, capacity + home.server.capacity.max(1e-9));
        level = load / capacity;
    }
    let level = level.min(max_load_per_capacity);
    let part = |home: &HomeLoad| {
        let filled = (level * home.server.capacity.max(1e-9)).min(home.max_load);
        (filled - home.load).max(0.0)
    };
    homes.iter().map(|home| (home.server, part(home))).collect()
}

/// Returns the number of homes of a key with this share of the requests among `servers` servers. It
/// is one at a visibility of 1.
pub fn home_count(share: f64, servers: usize, visibility: f64) -> usize {
    let homes = (share * servers as f64 / MAX_KEY_SHARE_PER_HOME * (1.0 - visibility)).ceil().max(1.0);
    let spare = (SPARE_HOMES * (1.0 - visibility)).round();
    ((homes + spare) as usize).clamp(1, servers.max(1))
}

/// Score of a server for a key; the servers with the highest scores are the key's homes.
///
/// This is weighted rendezvous hashing: the result is the same at all sidecars, and when a server
/// leaves only its own keys move. A sidecar that considers a key less popular uses fewer of the
/// same homes.
fn rendezvous_score(key: u64, server: u64, weight: f64) -> f64 {
    let uniform_hash = uniform(&mut Xoshiro128PlusPlus::seed_from_u64(key ^ server));
    // The offset avoids the logarithm of 0, which is infinite.
    (uniform_hash + f64::EPSILON / 2.0).ln() / weight
}
