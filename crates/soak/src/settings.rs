//! What the sidecars of a run are told, drawn by its seed.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

/// Longest deadlines of a run (ms).
const DEADLINES: [f64; 4] = [600.0, 1_000.0, 1_500.0, 3_000.0];
/// A longer deadline counts as this one when the platform sets the time of SIGKILL, which comes so much later (ms).
const LONGEST_DEADLINE: f64 = 3_000.0;
const KILL_AFTER_DEADLINE: f64 = 700.0;
/// Share of runs with a large list, and the endpoints that it names besides; the size of such a fleet.
const LARGE: (f64, usize) = (0.25, 3_200);
const LARGE_FLEET: usize = 300;
/// Sizes that a fleet is said to have, beside its own; calls to discovery are spread by them.
const STATED_SIZES: [usize; 2] = [100, LARGE_FLEET];
/// Share of runs whose sidecars start on the list that they had last.
const KEPT_LISTS: f64 = 0.7;

/// The settings that the judge needs as well.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Sidecars.
    pub sidecars: usize,
    /// Whether a second copy may be out beside the first.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether lists are pushed.
    pub pushed: bool,
    /// The longest deadline of a class (ms): SIGKILL comes that long, and 0.7 s, after SIGTERM.
    pub deadline: f64,
    /// Sidecars that the settings state.
    pub fleet_size: usize,
    /// Whether sidecars start on the list that they had last.
    pub kept_lists: bool,
    /// Endpoints that are listed beside those that run; all of them are served by one process.
    pub listed: usize,
    /// Whether endpoints remember keys.
    pub warm_keys: bool,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Grace after word of a drain (ms).
    pub drain_grace: f64,
    /// How long repeats of keyed work are dropped (ms).
    pub window: f64,
    /// Calls that a warm endpoint bears in a second.
    pub capacity: f64,
    /// Share of that when it starts.
    pub cold_from: f64,
    /// Time until it is warm (ms).
    pub warm_up: f64,
    /// A cold endpoint falls at more than this multiple of what it bears, for this long (ms).
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub overload_for: f64,
}

impl Settings {
    /// Settings for so many sidecars.
    pub fn draw(random: &mut ChaCha8Rng, sidecars: usize, capacity: f64) -> Settings {
        let deadline = DEADLINES.choose(random).copied().unwrap_or(DEADLINES[0]);
        let listed = if random.random_bool(LARGE.0) { LARGE.1 } else { 0 };
        let sizes = [sidecars, STATED_SIZES[0], STATED_SIZES[1]];
        let stated = sizes.choose(random).copied().unwrap_or(sidecars);
        Settings {
            // A large list belongs to a large fleet.
            fleet_size: if listed > 0 { LARGE_FLEET } else { stated },
            kept_lists: random.random_bool(KEPT_LISTS),
            deadline,
            listed,
            warm_keys: random.random_bool(0.5),
            sidecars,
            second_copies: random.random_bool(0.5),
            cancel: random.random_bool(0.5),
            pushed: random.random_bool(0.3),
            max_attempts: random.random_range(2..4),
            drain_grace: 1_500.0,
            window: random.random_range(0.4..1.3) * deadline,
            capacity,
            cold_from: 0.12,
            warm_up: 20_000.0,
            fall_multiple: random.random_range(2.0..4.0),
            overload_for: 1_500.0,
        }
    }

    /// How long after SIGTERM the platform sends SIGKILL at the earliest (ms).
    pub fn kill_after(&self) -> f64 {
        self.deadline.min(LONGEST_DEADLINE) + KILL_AFTER_DEADLINE
    }

    /// A sidecar's configuration.
    pub fn config(&self, name: &str, listen: u16, discovery: u16, seed: u64) -> Value {
        let micros = |millis: f64| (millis * 1e3) as u64;
        let class = |name: &str, effect: &str| json!({"aim": 100_000, "effect": effect, "give_up": micros(self.deadline), "name": name, "worth": 1.0});
        let mut keyed = class("stock-update", "dedup");
        keyed["group"] = json!("cell");
        keyed["window"] = json!(micros(self.window));
        json!({
            "name": name, "listen": format!("127.0.0.1:{listen}"), "discovery": format!("127.0.0.1:{discovery}"),
            "seed": format!("{seed:x}"), "limits": {"sockets": 256},
            "settings": {
                "discovery": if self.pushed { "pushed" } else { "on_request" },
                "fleet_size": self.fleet_size,
                "family_info": {"warm_keys": self.warm_keys},
                "prices": {"probe": 0.1},
                "limits": {"cancel": self.cancel, "max_attempts": self.max_attempts, "max_retry_after": 1_000_000,
                    "probes": true, "retry_after": true, "second_copies": self.second_copies},
                "obligations": {"cold_from": self.cold_from, "fall_multiple": self.fall_multiple,
                    "overload_for": micros(self.overload_for), "grace_to_answer": 20_000,
                    "warm_up": micros(self.warm_up), "must_ask_in": 10_000_000,
                    "drain_grace": micros(self.drain_grace)},
                "report": {"how": "inline", "names": ["active"]},
                "request_classes": [class("quote", "retryable"), class("place-order", "fragile"), keyed]
            }
        })
    }
}
