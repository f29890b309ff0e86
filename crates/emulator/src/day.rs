//! Days as files: TOML, every figure a plain value or a range, unknown keys refused.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// A figure, or a range that a day draws it from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least.
    pub low: f64,
    /// The most; equal to the least for a plain value.
    pub high: f64,
}

impl Range {
    /// A plain value.
    pub const fn one(value: f64) -> Range {
        Range { low: value, high: value }
    }

    /// A range.
    pub const fn two(low: f64, high: f64) -> Range {
        Range { low, high }
    }

    /// Where a number from 0 to 1 falls in it.
    pub fn at(&self, part: f64) -> f64 {
        self.low + (self.high - self.low) * part
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Range, D::Error> {
        struct Either;
        impl<'de> Visitor<'de> for Either {
            type Value = Range;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number, or a range [least, most]")
            }
            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if !value.is_finite() {
                    return Err(E::custom("it is no finite number"));
                }
                Ok(Range::one(value))
            }
            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                Ok(Range::one(value as f64))
            }
            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                Ok(Range::one(value as f64))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
                let low: f64 = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
                let high: f64 = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
                if seq.next_element::<f64>()?.is_some() {
                    return Err(de::Error::invalid_length(3, &self));
                }
                if !low.is_finite() || !high.is_finite() || low > high {
                    return Err(de::Error::custom(format!("[{low}, {high}] is no range from least to most")));
                }
                Ok(Range { low, high })
            }
        }
        from.deserialize_any(Either)
    }
}

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Its name, as tables show it.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// For all draws, where the command line names no other.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long clients ask (s).
    #[serde(default = "minute")]
    pub length_s: f64,
    /// How many there are of everything, and where.
    #[serde(default)]
    pub fleet: Fleet,
    /// Machine kinds.
    #[serde(default = "kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What holds for all servers.
    #[serde(default)]
    pub server: ServerFigures,
    /// What clients ask for.
    #[serde(default)]
    pub load: Load,
    /// Request classes.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Who shares the fleet.
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How discovery behaves.
    #[serde(default)]
    pub discovery: Discovery,
    /// How the network behaves.
    #[serde(default)]
    pub network: Network,
    /// What sidecars may do and hold.
    #[serde(default)]
    pub limits: Limits,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

fn one() -> u64 {
    1
}
fn minute() -> f64 {
    60.0
}

macro_rules! figures {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $value:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
        }
        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $value,)* }
            }
        }
    };
}

figures! {
    /// Sizes and places.
    Fleet {
        /// Config servers.
        servers: usize = 10,
        /// Sidecars, each beside an application of its own.
        sidecars: usize = 6,
        /// Data centres by name.
        zones: Vec<String> = ["north", "middle", "south"].map(String::from).to_vec(),
        /// How unlike the zones' shares of servers are (0: alike).
        zone_skew: Range = Range::two(0.1, 0.4),
        /// Servers that share a cell.
        cell_size: usize = 5,
        /// Spread of the sizes that the list states, as a share of the true one.
        size_noise: Range = Range::two(0.15, 0.35),
    }
}

figures! {
    /// A machine kind.
    Kind {
        /// Its name.
        name: String = "m".into(),
        /// Share of the fleet.
        share: f64 = 1.0,
        /// Cores.
        cores: f64 = 2.0,
        /// Speed of a core compared with the standard one.
        speed: Range = Range::two(1.0, 1.5),
        /// Spread of speeds within the kind.
        speed_cv: Range = Range::two(0.05, 0.25),
        /// Requests in work at a time, a core.
        slots_per_core: Range = Range::two(4.0, 12.0),
        /// Requests that wait beyond that, a core.
        queue_per_core: Range = Range::two(27.0, 50.0),
        /// Loss of efficiency for each `thrash_at` held a core beyond the first.
        thrash: Range = Range::two(0.12, 0.25),
        /// Requests held a core from which on efficiency falls.
        thrash_at: Range = Range::two(6.0, 13.0),
        /// Share of its capacity that a started server begins with.
        cold_from: Range = Range::two(0.12, 0.28),
        /// Time after which it is warm at the latest (s).
        cold_s: Range = Range::two(10.0, 23.0),
        /// Requests after which it is warm, if that is sooner (0: by time only).
        warm_requests: Range = Range::one(150.0),
        /// Seconds between short pauses, and their length (ms); 0 ms for none.
        pause_every_s: Range = Range::two(3.0, 11.0),
        /// Length of a short pause (ms).
        pause_ms: Range = Range::two(0.0, 100.0),
        /// Share of requests answered with an error.
        error_rate: Range = Range::two(0.0, 0.002),
        /// Which work is dropped when its sidecar hangs up: `none`, `queued` or `all`.
        cancel: Cancel = Cancel::None,
    }
}

/// What a hang-up drops.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Cancel {
    /// Nothing: what has come runs.
    None,
    /// What still waits.
    Queued,
    /// What is in work too.
    All,
}

figures! {
    /// What holds for all servers.
    ServerFigures {
        /// Connections accepted, a core.
        conns_per_core: Range = Range::two(600.0, 900.0),
        /// Capacity that a full connection table takes.
        full_tax: Range = Range::two(0.17, 0.4),
        /// Work of a new connection (ms of a standard core).
        handshake_ms: Range = Range::two(1.8, 3.0),
        /// Round trips before the first request on it.
        handshake_rtts: Range = Range::two(2.0, 3.0),
        /// Idle time after which the server closes a connection (s).
        idle_s: Range = Range::one(5.0),
        /// Work of a probe (ms of a standard core).
        probe_ms: Range = Range::two(0.32, 0.64),
        /// Probes answered at a time, a core.
        probes_per_core: Range = Range::two(4.0, 9.0),
        /// Whether a probe waits in the queue like a request.
        probe_deep: bool = false,
        /// How often the figures of a report are taken anew (ms).
        report_period_ms: Range = Range::two(54.0, 200.0),
        /// How old they are when they are first seen (ms).
        report_delay_ms: Range = Range::two(2.0, 120.0),
        /// Spread of their noise.
        report_noise: Range = Range::two(0.05, 0.19),
        /// Whether every answer brings a report, and not only probes.
        report_in_answers: bool = false,
        /// Share of its work that a request of a key met lately saves.
        key_gain: Range = Range::two(0.37, 0.7),
        /// How long a key counts as met lately (s).
        key_s: Range = Range::two(2.3, 11.0),
        /// Keys remembered, a core.
        keys_per_core: Range = Range::two(4.6, 9.2),
        /// Requests waiting a core that crowd a server; 0: it never turns slow.
        choke_at: Range = Range::two(4.0, 7.0),
        /// For how long they must wait until it turns slow (s).
        choke_over_s: Range = Range::two(1.5, 2.5),
        /// How many times slower it is then.
        choke_slower: Range = Range::two(2.4, 3.2),
        /// How busy its cores may be on its way out.
        choke_below: Range = Range::two(0.25, 0.4),
        /// For how long (s).
        choke_rest_s: Range = Range::two(2.9, 4.5),
        /// After how long it recovers in any case (s).
        choke_most_s: Range = Range::two(16.0, 34.0),
    }
}

figures! {
    /// What clients ask for.
    Load {
        /// Work asked for as a share of the warm fleet's capacity, without regard to keys met lately.
        of_capacity: Range = Range::two(0.3, 0.45),
        /// Requests a second, in place of that; the work of each stays.
        rate: Option<f64> = None,
        /// Slow swing of the rate over the day, as a share.
        swing: Range = Range::two(0.1, 0.3),
        /// How unlike the zones' shares of the traffic are (0: alike).
        zone_skew: Range = Range::two(0.25, 0.6),
        /// How unlike the sidecars' shares are.
        stream_cv: Range = Range::two(0.6, 1.4),
        /// Distinct keys; 0 for none.
        keys: Range = Range::two(200.0, 440.0),
        /// Exponent of their popularity.
        key_zipf: Range = Range::two(0.9, 1.1),
        /// What traffic beyond a tenant's share is worth.
        over_share_worth: f64 = 0.1,
        /// Share of the fleet's capacity that the tenants' shares divide.
        quota_of_capacity: Range = Range::two(0.79, 0.94),
    }
}

figures! {
    /// A request class.
    Class {
        /// Its name, the first part of the path.
        name: String = "quote".into(),
        /// Share of the requests.
        share: f64 = 1.0,
        /// Mean work (ms of a standard core).
        work_ms: Range = Range::two(90.0, 160.0),
        /// Spread of the work.
        cv: Range = Range::two(0.3, 0.67),
        /// Spread of the work of one attempt against another of the same request.
        attempt_noise: Range = Range::two(0.06, 0.5),
        /// An answer within this time earns its worth (ms).
        aim_ms: f64 = 600.0,
        /// How long a client waits over all its tries (ms).
        deadline_ms: f64 = 1500.0,
        /// Worth of a request.
        worth: f64 = 2.0,
        /// Whether it may run again.
        effect: Effect = Effect::Safe,
        /// Who drops a repeat of keyed work: `all` servers, those of a `zone` or of a `cell`.
        group: Group = Group::Cell,
        /// For how long after the first run (ms).
        window_ms: f64 = 4000.0,
    }
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing more.
    Safe,
    /// Harm: it must never run twice.
    Unsafe,
    /// Nothing more inside a group of servers and for a while, which drop it by its key; else harm.
    Keyed,
}

/// Servers that drop each other's repeats of keyed work.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

figures! {
    /// Who shares the fleet.
    Tenant {
        /// Its name.
        name: String = "all".into(),
        /// Its share.
        share: f64 = 1.0,
        /// How much of it is used.
        usage: Range = Range::two(0.7, 1.1),
    }
}

figures! {
    /// How clients behave.
    Clients {
        /// Tries after the first.
        retries: Range = Range::two(3.0, 4.99),
        /// What one try may take of the class's time.
        try_share: Range = Range::two(0.4, 0.55),
        /// Wait between tries (ms).
        backoff_ms: Range = Range::two(0.0, 200.0),
        /// Share of clients that honour `Retry-After`.
        honour: Range = Range::two(0.0, 0.36),
        /// How much later than a try's time its answer may still come (ms).
        slack_ms: f64 = 50.0,
    }
}

figures! {
    /// How discovery behaves.
    Discovery {
        /// How late the list tells of what it is told (s).
        notice_s: Range = Range::two(0.9, 4.4),
        /// How late it tells of what ended without a word (s).
        silent_notice_s: Range = Range::two(7.7, 13.0),
        /// How late it tells of a start (s).
        add_s: Range = Range::two(1.1, 2.3),
        /// Calls answered a second, in turn.
        calls_per_s: Range = Range::two(40.0, 70.0),
        /// A call that would wait longer fails (ms).
        timeout_ms: f64 = 2000.0,
    }
}

figures! {
    /// How the network behaves.
    Network {
        /// One way within a zone (ms).
        same_ms: Range = Range::two(0.13, 0.34),
        /// One way between zones (ms).
        cross_ms: Range = Range::two(0.42, 0.78),
        /// Spread of one delay against another.
        jitter: Range = Range::two(0.06, 0.32),
    }
}

figures! {
    /// What sidecars may do and hold.
    Limits {
        /// Descriptors of a sidecar.
        sockets: usize = 256,
        /// Memory of a sidecar (MB), held against a real one's.
        memory_mb: f64 = 32.0,
        /// Attempts of one request.
        max_attempts: usize = 3,
        /// Nothing new may go to a server this long after word of its drain (ms).
        drain_grace_ms: f64 = 1500.0,
        /// Every time limit is so much longer (ms).
        slack_ms: f64 = 50.0,
        /// Discovery's word counts as told after this at the latest (ms).
        told_within_ms: f64 = 6000.0,
        /// A cold server sent more than this multiple of what it can do falls over.
        fall_multiple: f64 = 4.0,
        /// The window of that (ms).
        fall_ms: f64 = 1500.0,
        /// The longest wait that a refusal may advise (ms); 0: none may.
        max_retry_after_ms: f64 = 1000.0,
        /// Whether probes are allowed.
        probes: bool = true,
        /// Whether a second copy may be out.
        second_copies: bool = true,
        /// Whether an attempt may be called off.
        cancel: bool = true,
    }
}

figures! {
    /// One thing that goes wrong.
    Trouble {
        /// What.
        kind: TroubleKind = TroubleKind::Burst,
        /// When (s).
        at_s: Range = Range::one(20.0),
        /// For how long (s).
        len_s: Range = Range::one(10.0),
        /// How bad; its meaning depends on the kind.
        size: Range = Range::one(1.0),
        /// Share of the servers, sidecars or answers that it meets.
        part: Range = Range::one(0.3),
        /// The zone that it meets, counted from 0; drawn where absent.
        zone: Option<usize> = None,
        /// Whether what is lost goes silent, in place of being reset.
        silent: bool = false,
        /// Whether the zone's sidecars are lost too.
        sidecars: bool = false,
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Traffic times `size`.
    Burst,
    /// `part` of the servers stand still for `size` ms about every second.
    Pauses,
    /// A zone's servers are lost (and its sidecars, with `sidecars`); they come back cold.
    ZoneLoss,
    /// `part` of the servers are lost, wherever they stand; they come back cold.
    Vanish,
    /// `part` of the servers drain one after another and go.
    Shrink,
    /// The list runs `size` seconds further behind.
    Stale,
    /// Discovery is down.
    DiscoveryDown,
    /// About `size` servers a minute are replaced, by turns under new ids and at the old address.
    Churn,
    /// `size` bad clients a second at each sidecar.
    Rude,
    /// `part` of the answers are spoilt or bring more than belongs to them.
    Garble,
    /// The configuration is replaced and discovery moves, `size` times.
    Reload,
    /// Sidecars are restarted in order (SIGTERM), one after another, `part` of them.
    Restart,
    /// Sidecars are killed outright, `part` of them, and start again after `size` seconds.
    Kill,
    /// All servers restart at once under their ids, cold.
    ServersRestart,
    /// `part` of the servers work at 1/`size` of their speed.
    Slow,
}

fn kinds() -> Vec<Kind> {
    vec![
        Kind { name: "fast".into(), share: 0.6, speed: Range::two(1.5, 2.1), ..Kind::default() },
        Kind {
            name: "slow".into(),
            share: 0.4,
            speed: Range::two(0.77, 1.0),
            cold_s: Range::two(10.0, 18.0),
            ..Kind::default()
        },
    ]
}

fn classes() -> Vec<Class> {
    vec![
        Class { share: 0.6, ..Class::default() },
        Class {
            name: "place-order".into(),
            share: 0.4,
            work_ms: Range::two(76.0, 140.0),
            aim_ms: 500.0,
            deadline_ms: 2000.0,
            worth: 8.0,
            effect: Effect::Unsafe,
            ..Class::default()
        },
    ]
}

fn tenants() -> Vec<Tenant> {
    let tenant = |name: &str, share| Tenant { name: name.into(), share, ..Tenant::default() };
    vec![tenant("east", 0.75), tenant("rambla", 0.13), tenant("salto", 0.12)]
}

/// Why a day can't be played: all faults at once, each with its key.
#[derive(Debug, thiserror::Error)]
pub enum Faulty {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no day.
    #[error("{0}: {1}")]
    Unparsable(String, toml::de::Error),
    /// Its figures can't be played.
    #[error("{0}: {list}", list = .1.join("; "))]
    Impossible(String, Vec<String>),
}

impl Day {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Day, Faulty> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Faulty::Unreadable(name.clone(), e))?;
        Day::read(&name, &text)
    }

    /// Reads a day's text; `name` stands in the faults.
    pub fn read(name: &str, text: &str) -> Result<Day, Faulty> {
        let day: Day = toml::from_str(text).map_err(|e| Faulty::Unparsable(name.into(), e))?;
        let faults = day.faults();
        if faults.is_empty() {
            Ok(day)
        } else {
            Err(Faulty::Impossible(name.into(), faults))
        }
    }

    /// Everything in it that can't be played.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut want = |fine: bool, say: String| {
            if !fine {
                faults.push(say);
            }
        };
        want(!self.name.is_empty(), "name is empty".into());
        let length = self.length_s;
        want((1.0..=3600.0).contains(&length), format!("length_s is not from 1 to 3600: {length}"));
        let fleet = &self.fleet;
        want(
            (1..=200).contains(&fleet.servers),
            format!("fleet.servers is not from 1 to 200: {}", fleet.servers),
        );
        let sidecars = fleet.sidecars;
        want((1..=20_000).contains(&sidecars), format!("fleet.sidecars is not from 1 to 20000: {sidecars}"));
        want(!fleet.zones.is_empty(), "fleet.zones names none".into());
        want(fleet.cell_size > 0, "fleet.cell_size is 0".into());
        let mut list = |key: &str, shares: Vec<f64>| {
            want(!shares.is_empty(), format!("{key}: there is none"));
            let fine = shares.iter().all(|s| *s >= 0.0) && shares.iter().sum::<f64>() > 0.0;
            want(fine, format!("{key}: shares are negative or sum to 0"));
        };
        list("kind.share", self.kinds.iter().map(|k| k.share).collect());
        list("class.share", self.classes.iter().map(|c| c.share).collect());
        list("tenant.share", self.tenants.iter().map(|t| t.share).collect());
        for kind in &self.kinds {
            let key = format!("kind {}", kind.name);
            want(kind.cores >= 1.0, format!("{key}: cores is below 1: {}", kind.cores));
            want(kind.speed.low > 0.0, format!("{key}: speed is not above 0"));
            want(kind.slots_per_core.low >= 1.0, format!("{key}: slots_per_core is below 1"));
            let cold = kind.cold_from;
            want(cold.low > 0.0 && cold.high <= 1.0, format!("{key}: cold_from is not above 0 and up to 1"));
        }
        for class in &self.classes {
            let key = format!("class {}", class.name);
            let word =
                !class.name.is_empty() && class.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
            want(word, format!("{key}: name is not made of letters, digits and -"));
            want(class.work_ms.low > 0.0, format!("{key}: work_ms is not above 0"));
            want(class.aim_ms > 0.0, format!("{key}: aim_ms is not above 0: {}", class.aim_ms));
            let deadline = class.deadline_ms;
            want(deadline >= class.aim_ms, format!("{key}: deadline_ms is below aim_ms: {deadline}"));
            let window = class.window_ms;
            want(window > 0.0, format!("{key}: window_ms is not above 0: {window}"));
        }
        let sockets = self.limits.sockets;
        want(sockets >= 64, format!("limits.sockets is below 64: {sockets}"));
        want(self.limits.max_attempts >= 1, "limits.max_attempts is 0".into());
        want(self.discovery.calls_per_s.low > 0.0, "discovery.calls_per_s is not above 0".into());
        want(self.load.of_capacity.low > 0.0, "load.of_capacity is not above 0".into());
        want(
            self.load.rate.is_none_or(|r| r > 0.0 && r <= 1e5),
            "load.rate is not above 0 and up to 100000".into(),
        );
        let share = self.clients.try_share;
        want(share.low > 0.0 && share.high <= 1.0, "clients.try_share is not above 0 and up to 1".into());
        for (number, trouble) in self.troubles.iter().enumerate() {
            let key = format!("trouble {} ({:?})", number + 1, trouble.kind);
            want(trouble.at_s.low >= 0.0, format!("{key}: at_s is negative"));
            want(trouble.len_s.low >= 0.0, format!("{key}: len_s is negative"));
            want(trouble.size.low >= 0.0, format!("{key}: size is negative"));
            let part = trouble.part;
            want(part.low >= 0.0 && part.high <= 1.0, format!("{key}: part is not from 0 to 1"));
            let zone = trouble.zone.unwrap_or(0);
            want(zone < fleet.zones.len(), format!("{key}: zone {zone} is not there"));
        }
        faults
    }
}
