//! What the sidecars of a run are told, drawn by its seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

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
        Settings {
            sidecars,
            second_copies: random.random_bool(0.5),
            cancel: random.random_bool(0.5),
            pushed: random.random_bool(0.3),
            max_attempts: random.random_range(2..4),
            drain_grace: 1_500.0,
            window: random.random_range(600.0..2_000.0),
            capacity,
            cold_from: 0.12,
            warm_up: 20_000.0,
            fall_multiple: random.random_range(2.0..4.0),
            overload_for: 1_500.0,
        }
    }

    /// A sidecar's configuration.
    pub fn config(&self, name: &str, listen: u16, discovery: u16, seed: u64) -> Value {
        let micros = |millis: f64| (millis * 1e3) as u64;
        let class = |name: &str, effect: &str| json!({"aim": 100_000, "effect": effect, "give_up": 1_500_000, "name": name, "worth": 1.0});
        let mut keyed = class("stock-update", "dedup");
        keyed["group"] = json!("cell");
        keyed["window"] = json!(micros(self.window));
        json!({
            "name": name, "listen": format!("127.0.0.1:{listen}"), "discovery": format!("127.0.0.1:{discovery}"),
            "seed": format!("{seed:x}"), "limits": {"sockets": 256},
            "settings": {
                "discovery": if self.pushed { "pushed" } else { "on_request" },
                "fleet_size": self.sidecars,
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
