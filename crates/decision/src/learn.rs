//! What answers and reports teach: pace, forecasts, warmth. What follows from it is decided in `policy.rs`.

use crate::interface::Micros;
use crate::state::{Balancer, Kind};

/// How late the list may tell of a start.
pub(crate) const NEWS: Micros = 6_000_000;

impl Balancer {
    /// How long that much work should take there: all that it holds shares its capacity.
    pub(crate) fn forecast(&self, slot: usize, work: f64) -> f64 {
        work * (self.effective_load(slot) + 1.0) / self.backends[slot].capacity
    }

    /// Learns from an answer how fast its server and others of that kind are, and what reports are worth.
    pub(crate) fn learn_pace(&mut self, slot: usize, work: f64, elapsed: f64) {
        let elapsed = elapsed.max(100.0);
        let miss = (self.forecast(slot, work) / elapsed).ln().clamp(-3.0, 3.0);
        self.spread += (miss.abs() - self.spread) * 0.05;
        self.stay += (elapsed - self.stay) * 0.05;
        let b = &mut self.backends[slot];
        if b.load_at.is_some() && !b.guessed {
            // Late reports send everybody to servers that only look empty. What tells: answers take as
            // long as the fleet's mean load says, or longer, and not as the reports say.
            let off = |load: f64| (elapsed * b.capacity / work / (load + 1.0)).ln().abs();
            let gain = off(self.mean_load * b.capacity) - off(b.load);
            self.trust = (self.trust + gain.clamp(-1.0, 1.0) * 0.25).clamp(0.0, 1.0);
        }
        // A kind without answers counts as the fleet; one answer must not make it stand out.
        let kind = self.kinds.entry(b.info.kind).or_insert(Kind { pace: self.pace, seen: 1.0 });
        let pace = miss + kind.pace + b.pace;
        (self.seen, kind.seen) = (self.seen + 1.0, kind.seen + 1.0);
        self.pace += (pace - self.pace) * (1.0 / self.seen).max(0.02);
        kind.pace += (pace - kind.pace) * (1.0 / kind.seen).max(0.02);
        b.pace = (b.pace + (pace - kind.pace - b.pace) * 0.15).clamp(-2.5, 0.7);
    }

    /// The report, moved towards the fleet's mean for its capacity as it ages; the mean without any.
    pub(crate) fn effective_load(&self, slot: usize) -> f64 {
        let b = &self.backends[slot];
        let age = b.load_at.map_or(f64::INFINITY, |at| (self.now - at).max(0) as f64);
        let mean = self.mean_load * b.capacity;
        // A crowd takes longer to leave, and the less one sees, the later it hears of that.
        let lasts = 8.0 * self.stay * (1.0 + (1.0 - self.sight()) * b.load / b.capacity.max(0.1));
        mean + (b.load - mean) * if b.guessed { 1.0 } else { self.trust } / (1.0 + age / lasts)
    }

    /// Share of its capacity that a server has at least; 1 once it is warm.
    pub(crate) fn warmth(&self, slot: usize) -> f64 {
        let (from, warm_up) = (self.settings.cold_from, self.settings.warm_up.max(1) as f64);
        let age = |at: Option<Micros>| at.map_or(warm_up, |at| (self.now - at) as f64);
        // One that is back after it was lost has most likely started anew, which the list tells late:
        // with its old share it would be pushed over before that.
        let back = self.backends[slot].back_at.filter(|at| self.now - at < NEWS);
        let age = age(self.backends[slot].info.started_at).min(age(back));
        from + (1.0 - from) * (age / warm_up).clamp(0.0, 1.0)
    }
}
