//! Validation of a scenario: reports every figure that cannot be simulated, with its key.

use super::{Class, Fault, Kind, Scenario};

/// The problems found so far.
#[derive(Default)]
struct Problems(Vec<String>);

impl Problems {
    /// Adds a problem unless a condition holds.
    fn require(&mut self, valid: bool, problem: impl Into<String>) {
        if !valid {
            self.0.push(problem.into());
        }
    }

    /// Checks that a list has shares, none negative and not all 0.
    fn shares(&mut self, key: &str, shares: impl Iterator<Item = f64>) {
        let shares: Vec<f64> = shares.collect();
        self.require(!shares.is_empty(), format!("{key}: there is none"));
        let valid = shares.iter().all(|s| *s >= 0.0) && shares.iter().sum::<f64>() > 0.0;
        self.require(valid, format!("{key}: shares are negative or sum to 0"));
    }

    fn fleet(&mut self, scenario: &Scenario) {
        let fleet = &scenario.fleet;
        let servers = fleet.servers;
        self.require((1..=200).contains(&servers), format!("fleet.servers is not from 1 to 200: {servers}"));
        let sidecars = fleet.sidecars;
        let valid = (1..=20_000).contains(&sidecars);
        self.require(valid, format!("fleet.sidecars is not from 1 to 20000: {sidecars}"));
        self.require(!fleet.zones.is_empty(), "fleet.zones names none");
        self.require(fleet.cell_size > 0, "fleet.cell_size is 0");
    }

    fn kind(&mut self, kind: &Kind) {
        let key = format!("kind {}", kind.name);
        self.require(kind.cores >= 1.0, format!("{key}: cores is below 1: {}", kind.cores));
        self.require(kind.speed.low > 0.0, format!("{key}: speed is not above 0"));
        self.require(kind.slots_per_core.low >= 1.0, format!("{key}: slots_per_core is below 1"));
        let cold_from = kind.cold_from;
        let valid = cold_from.low > 0.0 && cold_from.high <= 1.0;
        self.require(valid, format!("{key}: cold_from is not above 0 and up to 1"));
    }

    fn class(&mut self, class: &Class) {
        let key = format!("class {}", class.name);
        let valid_chars = class.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        let valid_name = valid_chars && !class.name.is_empty();
        self.require(valid_name, format!("{key}: name is not made of letters, digits and -"));
        self.require(class.work_ms.low > 0.0, format!("{key}: work_ms is not above 0"));
        self.require(class.aim_ms > 0.0, format!("{key}: aim_ms is not above 0: {}", class.aim_ms));
        let deadline = class.deadline_ms;
        self.require(deadline >= class.aim_ms, format!("{key}: deadline_ms is below aim_ms: {deadline}"));
        let window = class.window_ms;
        self.require(window > 0.0, format!("{key}: window_ms is not above 0: {window}"));
    }

    fn limits_and_load(&mut self, scenario: &Scenario) {
        let sockets = scenario.limits.sockets;
        self.require(sockets >= 64, format!("limits.sockets is below 64: {sockets}"));
        self.require(scenario.limits.max_attempts >= 1, "limits.max_attempts is 0");
        self.require(scenario.discovery.calls_per_s.low > 0.0, "discovery.calls_per_s is not above 0");
        self.require(scenario.load.of_capacity.low > 0.0, "load.of_capacity is not above 0");
        let valid_rate = scenario.load.rate.is_none_or(|r| r > 0.0 && r <= 1e5);
        self.require(valid_rate, "load.rate is not above 0 and up to 100000");
        let share = scenario.clients.try_share;
        self.require(share.low > 0.0 && share.high <= 1.0, "clients.try_share is not above 0 and up to 1");
    }

    fn fault(&mut self, number: usize, fault: &Fault, zones: usize) {
        let key = format!("trouble {} ({:?})", number + 1, fault.kind);
        self.require(fault.at_s.low >= 0.0, format!("{key}: at_s is negative"));
        self.require(fault.len_s.low >= 0.0, format!("{key}: len_s is negative"));
        self.require(fault.size.low >= 0.0, format!("{key}: size is negative"));
        let part = fault.part;
        self.require(part.low >= 0.0 && part.high <= 1.0, format!("{key}: part is not from 0 to 1"));
        let zone = fault.zone.unwrap_or(0);
        self.require(zone < zones, format!("{key}: zone {zone} is not there"));
    }
}

impl Scenario {
    /// All problems of the scenario, each with its key; empty if it can be simulated.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Problems::default();
        problems.require(!self.name.is_empty(), "name is empty");
        let length = self.length_s;
        let valid = (1.0..=3600.0).contains(&length);
        problems.require(valid, format!("length_s is not from 1 to 3600: {length}"));
        problems.fleet(self);
        problems.shares("kind.share", self.kinds.iter().map(|k| k.share));
        problems.shares("class.share", self.classes.iter().map(|c| c.share));
        problems.shares("tenant.share", self.tenants.iter().map(|t| t.share));
        self.kinds.iter().for_each(|kind| problems.kind(kind));
        self.classes.iter().for_each(|class| problems.class(class));
        problems.limits_and_load(self);
        for (number, fault) in self.faults.iter().enumerate() {
            problems.fault(number, fault, self.fleet.zones.len());
        }
        problems.0
    }
}
