//! Runs a scenario in virtual time: whole sidecars over in-memory streams, under the runtime's paused clock.
//!
//! Every sidecar is the program itself from the listener down, in its own task set, so that a kill drops all
//! of its tasks at once. One thread, one clock and one order of wake-ups make results reproducible: equal
//! scenarios, seeds and builds give byte-identical results.

use crate::in_process::{InProcess, MemoryNetwork};
use crate::recording_decider::{RecordingDecider, TraceLog};
use crate::strategies::{BaselineDecider, Strategy, TrueServiceTime};
use roseproxy::config::Config;
use roseproxy::Clock;
use roseproxy_decision::interface::{ServerId, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::schedule::Schedule;
use roseproxy_emulator::simulation::{Addresses, Sidecars, Signal, Simulation};
use roseproxy_platform::wire::name_hash;
use roseproxy_routing::decider::Decider;
use roseproxy_routing::time::to_micros;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::task::LocalSet;

/// Unix time at which every simulation in virtual time begins.
pub const EPOCH_MS: f64 = 1_800_000_000_000.0;
/// Descriptors that a process holds in addition to its streams: standard streams, the runtime's, the listener.
const BASE_DESCRIPTORS: usize = 8;

/// Sidecars over in-memory streams.
struct MemorySidecars {
    memory: Memory,
    strategy: Strategy,
    log: Option<TraceLog>,
    simulation: RefCell<Weak<Simulation<Memory>>>,
    in_process: InProcess,
    open_streams: RefCell<BTreeMap<usize, Rc<Cell<usize>>>>,
}

impl MemorySidecars {
    fn now(&self) -> f64 {
        self.simulation.borrow().upgrade().map_or(0.0, |w| w.now())
    }

    fn true_service_time(&self) -> TrueServiceTime {
        let simulation = self.simulation.borrow().clone();
        Rc::new(move |id: ServerId| {
            let Some(simulation) = simulation.upgrade() else { return f64::INFINITY };
            let members = simulation.members();
            let member = members.iter().find(|m| name_hash(&m.model.borrow().parameters.id) == id.0);
            let Some(member) = member.filter(|m| m.in_service()) else { return f64::INFINITY };
            member.advance(simulation.now());
            let forecast = member.model.borrow().forecast(100.0);
            forecast
        })
    }

    fn decider(&self, number: usize, settings: Settings, seed: u64, now: f64) -> Option<Box<dyn Decider>> {
        let decider: Box<dyn Decider> = match (self.strategy, &self.log) {
            (Strategy::Module, None) => return None,
            (Strategy::Module, Some(_)) => Box::new(Balancer::new(settings, seed, to_micros(now))),
            (strategy, _) => {
                Box::new(BaselineDecider::new(strategy, settings, seed, self.true_service_time()))
            }
        };
        Some(match &self.log {
            None => decider,
            Some(log) => Box::new(RecordingDecider::new(number, decider, log.clone())),
        })
    }
}

impl Sidecars for MemorySidecars {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let parsed = Config::read(&config.to_string(), |_| None)?;
        let clock = Clock::simulated(EPOCH_MS + self.now());
        let decider = self.decider(number, parsed.settings, parsed.seed, clock.now());
        let open_streams = Rc::new(Cell::new(0));
        let network = MemoryNetwork { memory: self.memory.clone(), open_streams: open_streams.clone() };
        self.open_streams.borrow_mut().insert(number, open_streams);
        self.in_process.start(number, config, network, clock, decider)
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.in_process.signal(number, signal);
    }

    fn ended(&self, number: usize) -> bool {
        self.in_process.ended(number)
    }

    fn resource_use(&self, number: usize) -> (Option<usize>, Option<f64>) {
        let open_streams = self.open_streams.borrow();
        (open_streams.get(&number).map(|count| count.get() + BASE_DESCRIPTORS), None)
    }
}

/// Runs a schedule in virtual time; `then` reads the results from the simulation before it is dropped.
pub fn run<T>(
    schedule: Schedule,
    strategy: Strategy,
    log: Option<TraceLog>,
    then: impl FnOnce(&Simulation<Memory>) -> T,
) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let memory = Memory::default();
        let sidecars = Rc::new(MemorySidecars {
            memory: memory.clone(),
            strategy,
            log,
            simulation: RefCell::default(),
            in_process: InProcess::default(),
            open_streams: RefCell::default(),
        });
        let simulation =
            Simulation::new(memory, schedule, Addresses { port: 7070 }, EPOCH_MS, sidecars.clone());
        *sidecars.simulation.borrow_mut() = Rc::downgrade(&simulation);
        simulation.run().await?;
        Ok(then(&simulation))
    })
}
