//! Key homes: their number, how evenly they are loaded, and the cost of one request.

use rand_core::SeedableRng;
use rand_xoshiro::Xoshiro128PlusPlus;
use roseproxy_fleet::draw::{pick_by_share, uniform};
use roseproxy_fleet::key_homes::{home_count, Candidates, HomeCandidate, KeyHomes, MAX_COUNTED_KEYS};
use std::collections::HashMap;

const SECOND_US: i64 = 1_000_000;
/// Servers of the largest supported fleets.
const SERVERS: u64 = 3_200;
const KEYS: u64 = 300;

fn servers(count: u64) -> Vec<HomeCandidate> {
    // Every third server is half as fast, which the list does not tell.
    (1..=count)
        .map(|id| HomeCandidate {
            id,
            weight: 2.0,
            capacity: if id % 3 == 0 { 2.0 } else { 4.0 },
            max_share: f64::INFINITY,
        })
        .collect()
}

fn candidates(servers: &[HomeCandidate], visibility: f64) -> Candidates<'_> {
    Candidates { servers, generation: 0, visibility, load_bound: 2.0 }
}

#[test]
fn a_popular_key_has_homes_in_proportion_to_its_share_and_others_few() {
    assert!((3..=60).all(|n| home_count(0.0, n, 0.1) == 3));
    assert_eq!(
        (home_count(0.15, 60, 0.1), home_count(0.016, 60, 0.1), home_count(0.005, 60, 0.1)),
        (19, 4, 3)
    );
    assert_eq!((home_count(1.0, 60, 0.0), home_count(1.0, 0, 0.1), home_count(f64::NAN, 9, 0.1)), (60, 1, 3));
    assert_eq!(home_count(0.15, 10, 1.0), 1, "a small fleet keeps one");
}

#[test]
fn key_shares_are_learned_and_forgotten_in_bounded_memory() {
    let mut seen = KeyHomes::default();
    seen.record_request(1);
    assert!(
        (0.04..0.06).contains(&seen.share(1)) && seen.share(1) == seen.share(2),
        "both are assumed equally popular"
    );
    (0..1000).for_each(|n| seen.record_request(if n % 5 == 0 { 7 } else { 1000 + n }));
    assert!((0.17..0.21).contains(&seen.share(7)), "{}", seen.share(7));
    (0..100_000).for_each(|n| seen.record_request(1_000_000 + n));
    assert!(seen.share(7) < 0.003 && seen.counted_keys() <= MAX_COUNTED_KEYS, "{}", seen.counted_keys());
    assert!(
        seen.choose_home(7, candidates(&servers(60), 0.1), 0, 0.5).is_some()
            && seen.keys_with_homes() <= MAX_COUNTED_KEYS
    );
}

/// With homes chosen by hash alone, a calm day with 300 sidecars and 182 servers gave a tenth of
/// the servers nearly twice the load they could serve and another tenth half of it. The first were
/// overloaded and slowed down, and their keys were refused while half of the fleet was idle.
#[test]
fn all_sidecars_together_fill_the_servers_evenly() {
    let (sidecars, keys, servers) = (80, 300_u64, servers(120));
    let popular: Vec<f64> = (1..=keys).map(|rank| 1.0 / rank as f64).collect();
    let all: f64 = popular.iter().sum();
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(5);
    let mut drawn = || {
        let rank = pick_by_share(popular.iter().copied(), uniform(&mut rng) * all);
        rank.unwrap_or(0) as u64 * 7919
    };
    let mut loads = vec![0.0; servers.len()];
    for _ in 0..sidecars {
        let mut homes = KeyHomes::default();
        // Requests that one sidecar receives in about twenty seconds.
        (0..400).for_each(|_| homes.record_request(drawn()));
        for n in 0..400 {
            let at = f64::from(n) / 400.0;
            let home = homes.choose_home(drawn(), candidates(&servers, 0.03), 0, (at * 7.0).fract());
            // Requests beyond the homes' limits are distributed over all servers.
            home.iter().for_each(|id| loads[*id as usize - 1] += 1.0);
        }
    }
    let (sent, can): (f64, f64) = (loads.iter().sum(), servers.iter().map(|p| p.capacity).sum());
    let mut full: Vec<f64> = loads.iter().zip(&servers).map(|(l, p)| l / sent / p.capacity * can).collect();
    full.sort_unstable_by(f64::total_cmp);
    let (tenth, most) = (full[12], full[107]);
    assert!(
        tenth > 0.65 && most < 1.35,
        "a tenth of the servers get {tenth:.2} of their share or less, a tenth {most:.2}"
    );
}

#[test]
fn a_key_whose_homes_have_left_gets_others_at_once() {
    let mut homes = KeyHomes::default();
    (0..50).for_each(|_| homes.record_request(7));
    let all = servers(30);
    let first = homes.choose_home(7, candidates(&all, 0.5), 0, 0.3).unwrap_or_default();
    let rest: Vec<HomeCandidate> = all.iter().copied().filter(|p| p.id % 2 != first % 2).collect();
    assert!((0..20).all(|n| {
        let home = homes.choose_home(7, candidates(&rest, 0.5), 1, f64::from(n) / 20.0);
        home.is_some_and(|id| rest.iter().any(|p| p.id == id))
    }));
    assert_eq!(homes.choose_home(7, candidates(&[], 0.5), 2, 0.5), None);
}

/// All sidecars have just started and none has seen the key before. The key makes up a tenth of all
/// requests, and with only three homes each would get six times its share at once, which a cold
/// server does not tolerate.
#[test]
fn a_popular_key_overloads_no_server_when_all_sidecars_start_at_once() {
    let (all, mut went) = (servers(180), HashMap::new());
    for n in 0..900 {
        let mut homes = KeyHomes::default();
        homes.record_request(7);
        let home = homes.choose_home(7, candidates(&all, 0.03), 0, f64::from(n) / 900.0);
        *went.entry(home).or_insert(0.0) += 0.1 / 900.0 * 180.0;
    }
    let most = went.values().copied().fold(0.0, f64::max);
    assert!(most < 2.0, "one server gets {most:.1} times its share");
}

/// Four keys make up all requests, and their few homes have little capacity. Requests beyond the
/// load bound are distributed over all servers and go to no home.
#[test]
fn no_home_gets_more_than_the_bound() {
    let mut all = servers(60);
    all.iter_mut().for_each(|p| (p.weight, p.capacity) = if p.id <= 30 { (1e3, 0.2) } else { (1.0, 4.0) });
    let mut homes = KeyHomes::default();
    (0..400).for_each(|n| homes.record_request(n % 4));
    let (mut went, draws) = (HashMap::new(), 4000);
    for n in 0..draws {
        let at = f64::from(n) / f64::from(draws);
        let home = homes.choose_home(u64::from(n as u32 % 4), candidates(&all, 0.1), 0, (at * 7.0).fract());
        *went.entry(home).or_insert(0.0) += 1.0;
    }
    let capacity: f64 = all.iter().map(|p| p.capacity).sum();
    for p in &all {
        let part = went.get(&Some(p.id)).copied().unwrap_or(0.0) / f64::from(draws);
        assert!(part < 2.3 * p.capacity / capacity, "{} gets {part:.3}", p.id);
    }
}

/// The program has one thread. When one request scored every server for every key, all other
/// requests waited unread; at a twentieth of a core that took half a second.
#[test]
fn one_request_scores_servers_for_its_own_key_only() {
    let (servers, mut homes) = (servers(SERVERS), KeyHomes::default());
    let candidates = candidates(&servers, 0.03);
    for number in 0..2 * KEYS {
        homes.record_request(number % KEYS);
        let before = homes.scored_pairs();
        homes.choose_home(number % KEYS, candidates, number as i64 * SECOND_US / 10, 0.5);
        let scored = homes.scored_pairs() - before;
        assert!(scored <= SERVERS, "request {number} scored {scored} pairs of keys and servers");
    }
}
