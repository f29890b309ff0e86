//! The configuration that each sidecar starts with.

use super::audit::MAX_ATTEMPTS;
use super::experiment::Experiment;
use super::topology::Topology;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::{hashed, Schedule};
use roseproxy_emulator::simulation::{Addresses, Sidecars, Signal, Simulation};
use serde_json::{json, Value};
use std::rc::Rc;

/// Quota of the tenant: more calls than any experiment sends.
const QUOTA_PER_S: f64 = 1e6;

/// Creates configurations from a template of the emulator, with the addresses and the list of this experiment.
pub struct SidecarConfigs {
    template: Value,
    seed: u64,
}

/// Starts no sidecars: the emulator's simulation is created only to get its configuration.
struct NoSidecars;

impl Sidecars for NoSidecars {
    fn start(&self, _: usize, _: &Value) -> Result<(), String> {
        Ok(())
    }
    fn signal(&self, _: usize, _: Signal) {}
    fn ended(&self, _: usize) -> bool {
        true
    }
    fn resource_use(&self, _: usize) -> (Option<usize>, Option<f64>) {
        (None, None)
    }
}

impl SidecarConfigs {
    /// Creates the template for an experiment.
    pub fn new(experiment: &Experiment) -> Result<SidecarConfigs, String> {
        let sockets = experiment.fleet.sockets;
        let text = format!(
            "name = 'template'\nlength_s = 1\n[fleet]\nservers = 1\nsidecars = 1\n[load]\nrate = 1\n\
             [limits]\nsockets = {sockets}\nmax_attempts = {MAX_ATTEMPTS}\n\
             [server]\nreport_in_answers = {}\n",
            experiment.fleet.report_in_answers
        );
        let scenario = Scenario::parse("template", &text).map_err(|e| e.to_string())?;
        let schedule = Schedule::draw(&scenario, experiment.seed);
        let simulation =
            Simulation::new(Memory::default(), schedule, Addresses { port: 1 }, 0.0, Rc::new(NoSidecars));
        let mut template = simulation.config(0, 0);
        let settings = &mut template["settings"];
        settings["fleet_size"] = json!(experiment.fleet.sidecars);
        for customer in settings["customers"].as_array_mut().into_iter().flatten() {
            customer["quota_per_s"] = json!(QUOTA_PER_S);
        }
        Ok(SidecarConfigs { template, seed: experiment.seed })
    }

    /// The configuration of a sidecar; `start` is the number of its start and gives each start its own seed.
    pub fn config(&self, topology: &Topology, sidecar: usize, start: u64, known: Option<Value>) -> Value {
        let mut config = self.template.clone();
        let seed = (hashed(self.seed, &[2, sidecar as u64, start]) * (1_u64 << 53) as f64) as u64;
        config["name"] = json!(format!("sidecar-{sidecar:04}"));
        config["listen"] = json!(topology.sidecar(sidecar).to_string());
        config["discovery"] = json!(topology.discovery(sidecar).to_string());
        config["seed"] = json!(format!("{seed:x}"));
        config["known"] = known.unwrap_or(Value::Null);
        config["settings"]["locality"] = json!(topology.zone_name(topology.zone(sidecar)));
        config
    }
}
