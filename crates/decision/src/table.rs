//! The share table: the current capacity of every server, and its share of the next request.
//!
//! Computing it visits every server. It is recomputed when it is old or after a sudden change, and in a
//! large fleet so rarely that it takes only a small part of the processor time.

use crate::interface::{Action, Micros, Readiness};
use crate::state::{Balancer, KindSpeed, SUSPECT_SCORE};
use roseproxy_fleet::typical_load::typical_load;

/// Time constant (microseconds) with which the late share decays, and the longest time for which everything
/// is refused before the estimates are reset.
pub(crate) const LATE_SHARE_DECAY_US: f64 = 1e6;
/// Time constant (microseconds) with which the learned speed of a server decays while nothing is sent to it.
const LOG_SPEED_DECAY_US: f64 = 2e6;
/// Lifetime of a share table, as a part of the usual response time.
const TABLE_LIFETIME_RESPONSE_TIMES: f64 = 1.0 / 8.0;
/// Minimum lifetime of a share table (microseconds) per server: about five hundred times what computing it
/// takes.
const MIN_TABLE_LIFETIME_US_PER_SERVER: f64 = 50.0;

/// Load reports of the servers in service.
#[derive(Default)]
struct Reports {
    /// Reported load and capacity of each server.
    known: Vec<(f64, f64)>,
    /// Sum of the reports' ages (microseconds).
    total_age_us: f64,
}

impl Balancer {
    /// Recomputes the share table if it has expired.
    pub(crate) fn refresh_share_table(&mut self) {
        if self.share_table_at.is_some_and(|at| self.now - at < self.table_lifetime()) {
            return;
        }
        self.tables_built += 1;
        let passed = self.decay_late_share();
        let reports = self.evaluate_servers();
        let age = self.apply_reports(&reports, passed);
        self.observe_warm_servers();
        let all: Vec<usize> = (0..self.servers.len()).collect();
        self.fill(&all, age, None);
        self.lowest_fill_level = self.lowest_level_of_last_fill();
        std::mem::swap(&mut self.share_table, &mut self.fill_shares);
        self.share_table_at = Some(self.now);
    }

    /// Lifetime of a share table (microseconds).
    fn table_lifetime(&self) -> Micros {
        (self.response_time * TABLE_LIFETIME_RESPONSE_TIMES)
            .max(self.servers.len() as f64 * MIN_TABLE_LIFETIME_US_PER_SERVER) as Micros
    }

    /// Decays the late share with time: a sidecar that refuses everything gets no answers to learn from and
    /// would otherwise refuse for ever. Returns the time since the last decay (microseconds).
    fn decay_late_share(&mut self) -> f64 {
        let passed = self.late_share_decayed_at.map_or(0.0, |at| (self.now - at) as f64);
        self.late_share_decayed_at = Some(self.now);
        self.late_share *= (-passed / LATE_SHARE_DECAY_US).exp();
        passed
    }

    /// Updates speed and capacity of every server, closes idle connections, ejects unresponsive servers, and
    /// collects the load reports.
    fn evaluate_servers(&mut self) -> Reports {
        let (now, idle_limit, visibility) = (self.now, self.idle_break_even_us(), self.visibility());
        let overdue = 4.0 * self.response_time + 100_000.0;
        let kind_speeds = self.kind_speeds();
        let mut reports = Reports::default();
        for slot in 0..self.servers.len() {
            let server = &mut self.servers[slot];
            if server.may_be_connected
                && server.in_flight == 0
                && (now - server.last_sent_at) as f64 > idle_limit
            {
                server.may_be_connected = false;
                self.actions.push(Action::CloseIdle { server: server.info.id });
            }
            if server.in_flight > 0
                && server.failure_score < SUSPECT_SCORE
                && (now - server.unanswered_since) as f64 > overdue
            {
                // A server that accepts requests and answers none keeps its last low report, and must not
                // attract more requests by it.
                self.eject(slot);
            }
            let warmth = self.warmth(slot);
            let server = &mut self.servers[slot];
            server.speed = server.info.power
                * kind_speeds.speed_of(
                    server.info.kind,
                    server.log_speed,
                    unused_decay(now - server.last_sent_at, visibility),
                )
                * warmth;
            let slowness = self.slowness(slot);
            let server = &mut self.servers[slot];
            server.capacity = server.speed / slowness;
            if let (Readiness::Ready, Some(at), false) =
                (server.info.readiness, server.reported_at, server.load_is_guess)
            {
                reports.total_age_us += (now - at) as f64;
                reports.known.push((server.reported_load, server.capacity));
            }
        }
        reports
    }

    /// Updates the fleet's mean load, and returns the mean age of the reports (microseconds).
    fn apply_reports(&mut self, reports: &Reports, passed: f64) -> f64 {
        if reports.known.is_empty() {
            return self.response_time;
        }
        self.learn_traffic_share(&reports.known, passed);
        let count = reports.known.len() as f64;
        self.mean_load = typical_load(&reports.known, self.visibility());
        self.mean_capacity = reports.known.iter().map(|(_, capacity)| capacity).sum::<f64>() / count;
        reports.total_age_us / count
    }

    /// The level (load per unit of capacity) at which the first server of the last water-fill gets a share.
    fn lowest_level_of_last_fill(&self) -> f64 {
        let open = self.candidates.iter().filter(|c| c.max_share > 0.0 && c.capacity > 0.0);
        open.map(|c| c.load / 2.0 / c.capacity).fold(f64::INFINITY, f64::min)
    }

    /// The speeds of all machine kinds, of which there are few.
    fn kind_speeds(&self) -> KindSpeeds {
        let of_kind = |(kind, k): (&u32, &KindSpeed)| (*kind, k.log_speed, k.log_speed.exp());
        KindSpeeds {
            kinds: self.kinds.iter().map(of_kind).collect(),
            unknown: (self.log_speed, self.log_speed.exp()),
        }
    }
}

/// Exponent by which the learned speed of a server has decayed since it was last used. A server that looked
/// slow is sent little and teaches nothing, and that alone must not keep it slow.
fn unused_decay(since_used: Micros, visibility: f64) -> f64 {
    since_used.max(0) as f64 * visibility / LOG_SPEED_DECAY_US
}

/// Speeds of the machine kinds.
struct KindSpeeds {
    /// Tag, logarithm of the speed, and speed of each kind.
    kinds: Vec<(u32, f64, f64)>,
    /// Logarithm of the speed, and speed, for kinds without answers.
    unknown: (f64, f64),
}

impl KindSpeeds {
    /// Work that a server of power 1 does in a unit of time: the speed of its kind, adjusted by its own
    /// speed as far as that has not decayed.
    fn speed_of(&self, kind: u32, log_speed: f64, decay: f64) -> f64 {
        let known = self.kinds.iter().find(|(tag, ..)| *tag == kind);
        let (kind_log_speed, kind_speed) =
            known.map_or(self.unknown, |(_, log_speed, speed)| (*log_speed, *speed));
        // Most servers of a large fleet have no learned speed of their own; this saves the exponentials.
        if log_speed == 0.0 {
            return kind_speed;
        }
        (kind_log_speed + log_speed * (-decay).exp()).exp()
    }
}
