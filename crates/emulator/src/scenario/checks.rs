//! The validation of a scenario: every figure that can't be simulated, with its key.

use super::{Class, Fault, Kind, Scenario};

/// The problems found so far.
#[derive(Default)]
struct Problems(Vec<String>);

impl Problems {
    /// Adds a problem where a condition does not hold.
    fn want(&mut self, fine: bool, say: impl Into<String>) {
        if !fine {
            self.0.push(say.into());
        }
    }

    /// Checks the shares of a list.
    fn shares(&mut self, key: &str, shares: impl Iterator<Item = f64>) {
        let shares: Vec<f64> = shares.collect();
        self.want(!shares.is_empty(), format!("{key}: there is none"));
        let fine = shares.iter().all(|s| *s >= 0.0) && shares.iter().sum::<f64>() > 0.0;
        self.want(fine, format!("{key}: shares are negative or sum to 0"));
    }

    fn fleet(&mut self, scenario: &Scenario) {
        let fleet = &scenario.fleet;
        let servers = fleet.servers;
        self.want((1..=200).contains(&servers), format!("fleet.servers is not from 1 to 200: {servers}"));
        let sidecars = fleet.sidecars;
        let fine = (1..=20_000).contains(&sidecars);
        self.want(fine, format!("fleet.sidecars is not from 1 to 20000: {sidecars}"));
        self.want(!fleet.zones.is_empty(), "fleet.zones names none");
        self.want(fleet.cell_size > 0, "fleet.cell_size is 0");
    }

    fn kind(&mut self, kind: &Kind) {
        let key = format!("kind {}", kind.name);
        self.want(kind.cores >= 1.0, format!("{key}: cores is below 1: {}", kind.cores));
        self.want(kind.speed.low > 0.0, format!("{key}: speed is not above 0"));
        self.want(kind.slots_per_core.low >= 1.0, format!("{key}: slots_per_core is below 1"));
        let cold = kind.cold_from;
        let fine = cold.low > 0.0 && cold.high <= 1.0;
        self.want(fine, format!("{key}: cold_from is not above 0 and up to 1"));
    }

    fn class(&mut self, class: &Class) {
        let key = format!("class {}", class.name);
        let word = class.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        let named = word && !class.name.is_empty();
        self.want(named, format!("{key}: name is not made of letters, digits and -"));
        self.want(class.work_ms.low > 0.0, format!("{key}: work_ms is not above 0"));
        self.want(class.aim_ms > 0.0, format!("{key}: aim_ms is not above 0: {}", class.aim_ms));
        let deadline = class.deadline_ms;
        self.want(deadline >= class.aim_ms, format!("{key}: deadline_ms is below aim_ms: {deadline}"));
        let window = class.window_ms;
        self.want(window > 0.0, format!("{key}: window_ms is not above 0: {window}"));
    }

    fn limits_and_load(&mut self, scenario: &Scenario) {
        let sockets = scenario.limits.sockets;
        self.want(sockets >= 64, format!("limits.sockets is below 64: {sockets}"));
        self.want(scenario.limits.max_attempts >= 1, "limits.max_attempts is 0");
        self.want(scenario.discovery.calls_per_s.low > 0.0, "discovery.calls_per_s is not above 0");
        self.want(scenario.load.of_capacity.low > 0.0, "load.of_capacity is not above 0");
        let rate = scenario.load.rate.is_none_or(|r| r > 0.0 && r <= 1e5);
        self.want(rate, "load.rate is not above 0 and up to 100000");
        let share = scenario.clients.try_share;
        self.want(share.low > 0.0 && share.high <= 1.0, "clients.try_share is not above 0 and up to 1");
    }

    fn fault(&mut self, number: usize, fault: &Fault, zones: usize) {
        let key = format!("trouble {} ({:?})", number + 1, fault.kind);
        self.want(fault.at_s.low >= 0.0, format!("{key}: at_s is negative"));
        self.want(fault.len_s.low >= 0.0, format!("{key}: len_s is negative"));
        self.want(fault.size.low >= 0.0, format!("{key}: size is negative"));
        let part = fault.part;
        self.want(part.low >= 0.0 && part.high <= 1.0, format!("{key}: part is not from 0 to 1"));
        let zone = fault.zone.unwrap_or(0);
        self.want(zone < zones, format!("{key}: zone {zone} is not there"));
    }
}

impl Scenario {
    /// All problems of the scenario, each with its key; empty where it can be simulated.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Problems::default();
        problems.want(!self.name.is_empty(), "name is empty");
        let length = self.length_s;
        let fine = (1.0..=3600.0).contains(&length);
        problems.want(fine, format!("length_s is not from 1 to 3600: {length}"));
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
