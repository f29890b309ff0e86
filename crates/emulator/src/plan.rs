//! One draw from a day: who there is, what comes, and what goes wrong, all of it known before the start.
//!
//! Arrivals are drawn ahead, so that answers never slow them. Each purpose has a stream of random
//! numbers of its own: a change of one leaves the others as they were.

use crate::day::{Cancel, Class, Day, Effect, Range, Trouble, TroubleKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// What a stream of random numbers is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// Machines.
    Fleet,
    /// Sidecars and their shares.
    Sidecars,
    /// Arrivals.
    Arrivals,
    /// Troubles.
    Troubles,
    /// Clients' figures.
    Clients,
    /// Discovery's figures.
    Discovery,
    /// Replacements of servers. The numbers are part of every draw.
    Replacements = 7,
}

/// A stream of random numbers.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}

/// A number from 0 to 1 that belongs to these and nothing else: the same whatever came before.
pub fn hashed(seed: u64, parts: &[u64]) -> f64 {
    let mut state = seed ^ 0x9e37_79b9_7f4a_7c15;
    for part in parts {
        // The finaliser of SplitMix64 (Steele, Lea, Flood 2014).
        state = state.wrapping_add(*part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        state ^= state >> 31;
    }
    (state >> 11) as f64 / (1_u64 << 53) as f64
}

/// A factor round 1 with this spread, from one number from 0 to 1.
pub fn factor(cv: f64, draw: f64) -> f64 {
    // Two uniform halves of the draw's bits give a normal one (Box and Muller).
    let (a, b) = (draw.clamp(1e-9, 1.0 - 1e-9), (draw * 65_536.0).fract());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let sigma = (1.0 + cv * cv).ln().sqrt();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// A config server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Its id in the list.
    pub id: String,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// The name of its kind.
    pub kind: String,
    /// The size that the list states.
    pub size: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core.
    pub speed: f64,
    /// Requests in work at a time.
    pub slots: usize,
    /// Requests that wait beyond that.
    pub queue: usize,
    /// Loss of efficiency, and from how many held on.
    pub thrash: (f64, f64),
    /// Share of its capacity when it starts, time (ms) and requests until it is warm.
    pub cold: (f64, f64, f64),
    /// Time between short pauses and their length (ms).
    pub pause: (f64, f64),
    /// Share of errors.
    pub error_rate: f64,
    /// What a hang-up drops.
    pub cancel: Cancel,
    /// Connections accepted, and the capacity that a full table takes.
    pub conns: (usize, f64),
    /// Work of a handshake (ms) and its round trips.
    pub handshake: (f64, f64),
    /// Idle time of a connection (ms).
    pub idle: f64,
    /// Work of a probe (ms), how many at a time, and whether they queue.
    pub probe: (f64, usize, bool),
    /// Period, delay (ms) and noise of the figures in reports.
    pub report: (f64, f64, f64),
    /// Work saved by a key met lately, for how long (ms), and how many are remembered.
    pub keys: (f64, f64, usize),
    /// How it turns slow when crowded; `None`: never.
    pub choke: Option<Choke>,
}

/// How a crowded server turns slow, and recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Requests waiting.
    pub at: f64,
    /// For so long (ms).
    pub over: f64,
    /// Times slower.
    pub slower: f64,
    /// Busy share of its cores under which it rests.
    pub below: f64,
    /// For so long (ms).
    pub rest: f64,
    /// Recovered after this in any case (ms).
    pub most: f64,
}

/// A sidecar and its application.
#[derive(Clone, Debug)]
pub struct SidecarPlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its share of the traffic.
    pub share: f64,
}

/// A request that will be asked for.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When (ms).
    pub at: f64,
    /// At which sidecar.
    pub sidecar: usize,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its key.
    pub key: Option<u64>,
    /// Its work (ms of a standard core).
    pub work: f64,
    /// Whether it is beyond its tenant's share.
    pub over_share: bool,
    /// What it is worth.
    pub worth: f64,
}

/// A trouble with its figures drawn.
#[derive(Clone, Debug)]
pub struct TroublePlan {
    /// What.
    pub kind: TroubleKind,
    /// From when until when (ms).
    pub from: f64,
    /// Its end (ms).
    pub until: f64,
    /// How bad.
    pub size: f64,
    /// Share that it meets.
    pub part: f64,
    /// The zone that it meets.
    pub zone: usize,
    /// Whether the zone goes silent.
    pub silent: bool,
    /// Whether sidecars are lost too.
    pub sidecars: bool,
    /// Whom it meets, in an order drawn for it.
    pub order: Vec<usize>,
}

/// Clients' figures of the day.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    /// Tries after the first.
    pub retries: usize,
    /// What a try may take.
    pub try_share: f64,
    /// Wait between tries (ms).
    pub backoff: f64,
    /// Share that honours advice.
    pub honour: f64,
}

/// Discovery's figures of the day.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryPlan {
    /// Delay of what it is told (ms).
    pub notice: f64,
    /// Delay of what ends without a word (ms).
    pub silent_notice: f64,
    /// Delay of a start (ms).
    pub add: f64,
    /// Time of one call (ms).
    pub call: f64,
    /// A call that waits longer fails (ms).
    pub timeout: f64,
}

/// One draw from a day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The day.
    pub day: Day,
    /// The seed.
    pub seed: u64,
    /// Config servers.
    pub servers: Vec<ServerPlan>,
    /// Sidecars.
    pub sidecars: Vec<SidecarPlan>,
    /// Each tenant's quota (requests a second).
    pub quotas: Vec<f64>,
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Troubles in the order of the file.
    pub troubles: Vec<TroublePlan>,
    /// Clients' figures.
    pub clients: ClientPlan,
    /// Discovery's figures.
    pub discovery: DiscoveryPlan,
    /// One way within a zone and between zones (ms), and its spread.
    pub network: (f64, f64, f64),
}

struct Draws(ChaCha8Rng);

impl Draws {
    fn of(&mut self, range: Range) -> f64 {
        range.at(self.0.random::<f64>())
    }

    /// Shares of so many, unlike by a spread.
    fn shares(&mut self, n: usize, skew: f64) -> Vec<f64> {
        let raw: Vec<f64> = (0..n).map(|_| 1.0 + skew * (2.0 * self.0.random::<f64>() - 1.0) * 1.5).collect();
        let raw: Vec<f64> = raw.into_iter().map(|s| s.max(0.1)).collect();
        let sum: f64 = raw.iter().sum();
        raw.into_iter().map(|s| s / sum).collect()
    }

    /// An order of so many.
    fn order(&mut self, n: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        for i in (1..n).rev() {
            all.swap(i, self.0.random_range(0..=i));
        }
        all
    }
}

/// Spreads so many over zones by shares, each zone's by the largest remainder.
fn spread(n: usize, shares: &[f64]) -> Vec<usize> {
    let mut counts = vec![0_usize; shares.len()];
    (0..n)
        .map(|_| {
            let lack = |z: &usize| shares[*z] * n as f64 - counts[*z] as f64;
            let zone = (0..shares.len()).max_by(|a, b| lack(a).total_cmp(&lack(b))).unwrap_or(0);
            counts[zone] += 1;
            zone
        })
        .collect()
}

/// Draws a server of the day's kinds.
fn server(day: &Day, d: &mut Draws, number: usize, zone: usize, kind: usize) -> ServerPlan {
    let (k, s) = (&day.kinds[kind], &day.server);
    let speed = d.of(k.speed) * factor(d.of(k.speed_cv), d.0.random());
    let cores = k.cores;
    ServerPlan {
        id: format!("s-{:08x}", d.0.random::<u32>()),
        zone,
        cell: (number / day.fleet.cell_size) as u64 * 16 + zone as u64,
        kind: k.name.clone(),
        size: (cores * speed * factor(d.of(day.fleet.size_noise), d.0.random()) * 10.0).round() / 10.0,
        cores,
        speed,
        slots: (d.of(k.slots_per_core) * cores).round() as usize,
        queue: (d.of(k.queue_per_core) * cores).round() as usize,
        thrash: (d.of(k.thrash), d.of(k.thrash_at)),
        cold: (d.of(k.cold_from), d.of(k.cold_s) * 1e3, d.of(k.warm_requests)),
        pause: (d.of(k.pause_every_s) * 1e3, d.of(k.pause_ms)),
        error_rate: d.of(k.error_rate),
        cancel: k.cancel,
        conns: ((d.of(s.conns_per_core) * cores) as usize, d.of(s.full_tax)),
        handshake: (d.of(s.handshake_ms), d.of(s.handshake_rtts).round()),
        idle: d.of(s.idle_s) * 1e3,
        probe: (d.of(s.probe_ms), (d.of(s.probes_per_core) * cores).ceil() as usize, s.probe_deep),
        report: (d.of(s.report_period_ms), d.of(s.report_delay_ms), d.of(s.report_noise)),
        keys: (d.of(s.key_gain), d.of(s.key_s) * 1e3, (d.of(s.keys_per_core) * cores) as usize),
        choke: Some(Choke {
            at: d.of(s.choke_at) * cores,
            over: d.of(s.choke_over_s) * 1e3,
            slower: d.of(s.choke_slower),
            below: d.of(s.choke_below),
            rest: d.of(s.choke_rest_s) * 1e3,
            most: d.of(s.choke_most_s) * 1e3,
        })
        .filter(|c| c.at > 0.0),
    }
}

impl Plan {
    /// Draws a day.
    pub fn draw(day: &Day, seed: u64) -> Plan {
        let zones = day.fleet.zones.len();
        let mut d = Draws(stream(seed, Purpose::Fleet));
        let skew = d.of(day.fleet.zone_skew);
        let places = spread(day.fleet.servers, &d.shares(zones, skew));
        let kinds: Vec<f64> = day.kinds.iter().map(|k| k.share).collect();
        let sum: f64 = kinds.iter().sum();
        let kinds = spread(day.fleet.servers, &kinds.iter().map(|k| k / sum).collect::<Vec<_>>());
        let mixed = d.order(kinds.len());
        let servers: Vec<ServerPlan> =
            (0..places.len()).map(|n| server(day, &mut d, n, places[n], kinds[mixed[n]])).collect();
        let sidecars = sidecars(day, seed);
        let troubles = troubles(day, seed, servers.len(), sidecars.len());
        let mut d = Draws(stream(seed, Purpose::Clients));
        let clients = ClientPlan {
            retries: d.of(day.clients.retries) as usize,
            try_share: d.of(day.clients.try_share),
            backoff: d.of(day.clients.backoff_ms),
            honour: d.of(day.clients.honour),
        };
        let mut d = Draws(stream(seed, Purpose::Discovery));
        let f = &day.discovery;
        let discovery = DiscoveryPlan {
            notice: d.of(f.notice_s) * 1e3,
            silent_notice: d.of(f.silent_notice_s) * 1e3,
            add: d.of(f.add_s) * 1e3,
            call: 1e3 / d.of(f.calls_per_s),
            timeout: f.timeout_ms,
        };
        let network = (d.of(day.network.same_ms), d.of(day.network.cross_ms), d.of(day.network.jitter));
        let (quotas, arrivals) = arrivals(day, seed, &servers, &sidecars, &troubles);
        Plan {
            day: day.clone(),
            seed,
            servers,
            sidecars,
            quotas,
            arrivals,
            troubles,
            clients,
            discovery,
            network,
        }
    }

    /// A new server for a place that is free: drawn by its number, the same in every play.
    pub fn replacement(&self, number: usize, zone: usize) -> ServerPlan {
        let mut d = Draws(stream(self.seed, Purpose::Replacements));
        d.0.set_word_pos(number as u128 * 4096);
        let total: f64 = self.day.kinds.iter().map(|k| k.share).sum();
        let kind = pick(self.day.kinds.iter().map(|k| k.share / total), d.0.random());
        server(&self.day, &mut d, self.servers.len() + number, zone, kind)
    }

    /// The class of a request.
    pub fn class(&self, arrival: &Arrival) -> &Class {
        &self.day.classes[arrival.class]
    }

    /// Capacity of the warm fleet: work of a standard core, in ms a ms.
    pub fn capacity(&self) -> f64 {
        capacity_of(&self.servers)
    }

    /// The `Idempotency-Key` of a flow, equal in all its tries; `None` where its class has none.
    pub fn key_of(&self, flow: usize) -> Option<String> {
        let keyed = self.class(&self.arrivals[flow]).effect == Effect::Keyed;
        keyed.then(|| format!("{:016x}", hashed(self.seed, &[23, flow as u64]).to_bits()))
    }
}

fn capacity_of(servers: &[ServerPlan]) -> f64 {
    servers.iter().map(|s| s.cores * s.speed).sum()
}

fn sidecars(day: &Day, seed: u64) -> Vec<SidecarPlan> {
    let mut d = Draws(stream(seed, Purpose::Sidecars));
    let skew = d.of(day.load.zone_skew);
    let zones = d.shares(day.fleet.zones.len(), skew);
    let even = vec![1.0 / zones.len() as f64; zones.len()];
    let places = spread(day.fleet.sidecars, &even);
    let cv = d.of(day.load.stream_cv);
    let mut raw: Vec<f64> = places.iter().map(|z| zones[*z] * factor(cv, d.0.random()).max(0.05)).collect();
    let sum: f64 = raw.iter().sum();
    raw.iter_mut().for_each(|s| *s /= sum);
    let named = places.into_iter().zip(raw).enumerate();
    named.map(|(n, (zone, share))| SidecarPlan { name: format!("n{n}"), zone, share }).collect()
}

fn troubles(day: &Day, seed: u64, servers: usize, sidecars: usize) -> Vec<TroublePlan> {
    let mut d = Draws(stream(seed, Purpose::Troubles));
    let draw = |t: &Trouble| {
        let from = d.of(t.at_s) * 1e3;
        let until = from + d.of(t.len_s) * 1e3;
        let of_sidecars = matches!(t.kind, TroubleKind::Restart | TroubleKind::Kill | TroubleKind::Rude);
        let order = d.order(if of_sidecars { sidecars } else { servers });
        let drawn = d.0.random_range(0..day.fleet.zones.len());
        TroublePlan {
            kind: t.kind,
            from,
            until,
            size: d.of(t.size),
            part: d.of(t.part),
            zone: t.zone.unwrap_or(drawn),
            silent: t.silent,
            sidecars: t.sidecars,
            order,
        }
    };
    day.troubles.iter().map(draw).collect()
}

/// Distribution of a class's work: lognormal with its mean and spread.
fn works(class: &Class, d: &mut Draws) -> LogNormal<f64> {
    let (mean, cv) = (d.of(class.work_ms), d.of(class.cv).max(0.01));
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let fallback = LogNormal::new(0.0, 1.0).unwrap_or_else(|_| unreachable!("a spread of 1 is one"));
    LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).unwrap_or(fallback)
}

/// Draws every arrival of the day: a Poisson stream whose rate swings and bursts, thinned from its peak.
fn arrivals(
    day: &Day,
    seed: u64,
    servers: &[ServerPlan],
    sidecars: &[SidecarPlan],
    troubles: &[TroublePlan],
) -> (Vec<f64>, Vec<Arrival>) {
    let mut d = Draws(stream(seed, Purpose::Arrivals));
    let class_sum: f64 = day.classes.iter().map(|c| c.share).sum();
    let tenant_sum: f64 = day.tenants.iter().map(|t| t.share).sum();
    let used: Vec<f64> = day.tenants.iter().map(|t| t.share / tenant_sum * d.of(t.usage)).collect();
    let used_sum: f64 = used.iter().sum();
    let mean_work: f64 = {
        let means = day.classes.iter().map(|c| c.share / class_sum * (c.work_ms.low + c.work_ms.high) / 2.0);
        means.sum()
    };
    let works: Vec<_> = day.classes.iter().map(|c| works(c, &mut d)).collect();
    let most = capacity_of(servers) / mean_work * 1e3; // requests a second
    let rate = day.load.rate.unwrap_or(most * d.of(day.load.of_capacity));
    let (swing, phase) = (d.of(day.load.swing), d.0.random::<f64>());
    let length = day.length_s * 1e3;
    let bursts: Vec<&TroublePlan> = troubles.iter().filter(|t| t.kind == TroubleKind::Burst).collect();
    let rate_at = |at: f64| {
        let slow = 1.0 + swing * (std::f64::consts::TAU * (at / length + phase)).sin();
        let burst = bursts.iter().filter(|b| (b.from..b.until).contains(&at)).map(|b| b.size);
        rate * slow * burst.product::<f64>()
    };
    let peak = rate * (1.0 + swing) * bursts.iter().map(|b| b.size.max(1.0)).product::<f64>();
    let keys = d.of(day.load.keys).round();
    let popularity = Zipf::new(keys.max(1.0), d.of(day.load.key_zipf)).ok();
    let quota = d.of(day.load.quota_of_capacity) * most;
    // Each tenant may save up a second of its share.
    let mut purses: Vec<(f64, f64)> =
        day.tenants.iter().map(|t| (t.share / tenant_sum * quota, 0.0)).collect();
    let quotas: Vec<f64> = purses.iter().map(|p| p.0).collect();
    let mut arrivals = Vec::new();
    let Ok(gaps) = Exp::new(peak / 1e3) else { return (quotas, arrivals) };
    let mut at = 0.0;
    loop {
        at += gaps.sample(&mut d.0);
        if at >= length {
            return (quotas, arrivals);
        }
        if d.0.random::<f64>() * peak >= rate_at(at) {
            continue;
        }
        let class = pick(day.classes.iter().map(|c| c.share / class_sum), d.0.random());
        let tenant = pick(used.iter().map(|u| u / used_sum), d.0.random());
        let sidecar = pick(sidecars.iter().map(|s| s.share), d.0.random());
        let key = popularity.filter(|_| keys >= 1.0).map(|p| p.sample(&mut d.0) as u64);
        let (saved, since) = &mut purses[tenant];
        *saved = (*saved + (at - *since) / 1e3 * quotas[tenant]).min(quotas[tenant].max(1.0));
        *since = at;
        let over_share = *saved < 1.0;
        if !over_share {
            *saved -= 1.0;
        }
        let worth = day.classes[class].worth * if over_share { day.load.over_share_worth } else { 1.0 };
        let work = works[class].sample(&mut d.0).clamp(1.0, 10_000.0);
        arrivals.push(Arrival { at, sidecar, class, tenant, key, work, over_share, worth });
    }
}

/// Where a number from 0 to 1 falls among shares.
fn pick(shares: impl Iterator<Item = f64>, mut at: f64) -> usize {
    let mut last = 0;
    for (number, share) in shares.enumerate() {
        last = number;
        at -= share;
        if at < 0.0 {
            break;
        }
    }
    last
}
