//! The configuration that each sidecar starts with.

use super::audit::MAX_ATTEMPTS;
use super::experiment::Experiment;
use super::topology::Topology;
use roseproxy_emulator::day::Day;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::plan::{hashed, Plan};
use roseproxy_emulator::world::{Addresses, Sidecars, Signal, World};
use serde_json::{json, Value};
use std::rc::Rc;

/// Calls a second that a tenant may make: more than any experiment has.
const QUOTA_PER_S: f64 = 1e6;

/// Writes configurations as the emulator does for a day, with this experiment's addresses and list.
pub struct SidecarConfigs {
    template: Value,
    seed: u64,
}

/// Runs nothing: the emulator is only asked for its configuration.
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
    /// Those of an experiment.
    pub fn new(experiment: &Experiment) -> Result<SidecarConfigs, String> {
        let sockets = experiment.fleet.sockets;
        let text = format!(
            "name = 'template'\nlength_s = 1\n[fleet]\nservers = 1\nsidecars = 1\n[load]\nrate = 1\n\
             [limits]\nsockets = {sockets}\nmax_attempts = {MAX_ATTEMPTS}\n\
             [server]\nreport_in_answers = {}\n",
            experiment.fleet.report_in_answers
        );
        let day = Day::parse("template", &text).map_err(|e| e.to_string())?;
        let plan = Plan::draw(&day, experiment.seed);
        let world = World::new(Memory::default(), plan, Addresses { port: 1 }, 0.0, Rc::new(NoSidecars));
        let mut template = world.config(0, 0);
        let settings = &mut template["settings"];
        settings["fleet_size"] = json!(experiment.fleet.sidecars);
        for customer in settings["customers"].as_array_mut().into_iter().flatten() {
            customer["quota_per_s"] = json!(QUOTA_PER_S);
        }
        Ok(SidecarConfigs { template, seed: experiment.seed })
    }

    /// The configuration of a sidecar for its start of this number.
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
