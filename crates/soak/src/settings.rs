//! Settings of the sidecars of a run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

/// Choices for the longest deadline of a run.
const LONGEST_DEADLINES_MS: [f64; 4] = [600.0, 1_000.0, 1_500.0, 3_000.0];
/// Cap on the deadline from which the platform computes the time of SIGKILL.
const KILL_DEADLINE_CAP_MS: f64 = 3_000.0;
/// Delay of SIGKILL beyond the (capped) longest deadline.
const KILL_DELAY_MS: f64 = 700.0;
/// Share of runs with a large list.
const LARGE_LIST_SHARE: f64 = 0.25;
/// Listed-only endpoints in a large list, beside the ones that run.
const LARGE_LIST_ENDPOINTS: usize = 3_200;
/// Fleet size stated for a run with a large list.
const LARGE_FLEET_SIDECARS: usize = 300;
/// Fleet size that a run may state instead of its own; sidecars spread their calls to discovery by the stated size.
const MEDIUM_FLEET_SIDECARS: usize = 100;
/// Share of runs whose sidecars start on the last list that their predecessor had.
const KEPT_LISTS_SHARE: f64 = 0.7;

/// Settings of a run that the checker needs as well. Reports print them by `Debug`.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of sidecars.
    pub sidecars: usize,
    /// Whether a second copy of a request may be in flight beside the first.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether discovery pushes lists to the sidecars.
    pub pushed: bool,
    /// Longest deadline of a request class (ms). SIGKILL follows SIGTERM after this time (at most 3 s) plus 0.7 s.
    pub deadline: f64,
    /// Number of sidecars stated in their settings.
    pub fleet_size: usize,
    /// Whether sidecars start on the last list that their predecessor had.
    pub kept_lists: bool,
    /// Number of listed-only endpoints, beside those that run; one process serves all of them.
    pub listed: usize,
    /// Whether endpoints are stated to keep keys warm, so that repeats of a key are cheaper for them.
    pub warm_keys: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Grace period after notice that an endpoint drains (ms).
    pub drain_grace: f64,
    /// Deduplication window for repeats of keyed requests (ms).
    pub window: f64,
    /// Calls per second that a warm endpoint can serve.
    pub capacity: f64,
    /// Share of `capacity` that an endpoint can serve when it starts.
    pub cold_from: f64,
    /// Time from an endpoint's start until it is warm (ms).
    pub warm_up: f64,
    /// Multiple of its current capacity above which a cold endpoint is overloaded.
    pub fall_multiple: f64,
    /// How long the load has to stay above `fall_multiple` for a cold endpoint to fail (ms).
    pub overload_for: f64,
}

impl Settings {
    /// Draws the settings for the given number of sidecars.
    pub fn draw(rng: &mut ChaCha8Rng, sidecars: usize, capacity: f64) -> Settings {
        let deadline = LONGEST_DEADLINES_MS.choose(rng).copied().unwrap_or(LONGEST_DEADLINES_MS[0]);
        let listed = if rng.random_bool(LARGE_LIST_SHARE) { LARGE_LIST_ENDPOINTS } else { 0 };
        let sizes = [sidecars, MEDIUM_FLEET_SIDECARS, LARGE_FLEET_SIDECARS];
        let stated_size = sizes.choose(rng).copied().unwrap_or(sidecars);
        Settings {
            // A large list is only realistic in a large fleet.
            fleet_size: if listed > 0 { LARGE_FLEET_SIDECARS } else { stated_size },
            kept_lists: rng.random_bool(KEPT_LISTS_SHARE),
            deadline,
            listed,
            warm_keys: rng.random_bool(0.5),
            sidecars,
            second_copies: rng.random_bool(0.5),
            cancel: rng.random_bool(0.5),
            pushed: rng.random_bool(0.3),
            max_attempts: rng.random_range(2..4),
            drain_grace: 1_500.0,
            window: rng.random_range(0.4..1.3) * deadline,
            capacity,
            cold_from: 0.12,
            warm_up: 20_000.0,
            fall_multiple: rng.random_range(2.0..4.0),
            overload_for: 1_500.0,
        }
    }

    /// Earliest time after SIGTERM at which the platform sends SIGKILL (ms).
    pub fn kill_after_ms(&self) -> f64 {
        self.deadline.min(KILL_DEADLINE_CAP_MS) + KILL_DELAY_MS
    }

    /// Builds a sidecar's configuration.
    pub fn config(&self, name: &str, listen: u16, discovery: u16, seed: u64) -> Value {
        let to_micros = |ms: f64| (ms * 1e3) as u64;
        let class = |name: &str, effect: &str| json!({"aim": 100_000, "effect": effect, "give_up": to_micros(self.deadline), "name": name, "worth": 1.0});
        let mut keyed = class("stock-update", "dedup");
        keyed["group"] = json!("cell");
        keyed["window"] = json!(to_micros(self.window));
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
                    "overload_for": to_micros(self.overload_for), "grace_to_answer": 20_000,
                    "warm_up": to_micros(self.warm_up), "must_ask_in": 10_000_000,
                    "drain_grace": to_micros(self.drain_grace)},
                "report": {"how": "inline", "names": ["active"]},
                "request_classes": [class("quote", "retryable"), class("place-order", "fragile"), keyed]
            }
        })
    }
}
