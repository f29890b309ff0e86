//! The driver in virtual time: whole sidecars over pipes in memory, under the runtime's paused clock.
//!
//! Every sidecar is the program itself from the listener down, in a task set of its own, so that a kill
//! drops all of it at once. One thread, one clock, one order of wakes: equal days, seeds and builds give
//! equal results to the byte.

use crate::in_process::{InProcess, MemoryNetwork};
use crate::recorded::{Log, Recorded};
use crate::strategies::{Strategy, Truth, Yardstick};
use roseproxy::config::Config;
use roseproxy::Clock;
use roseproxy_decision::interface::{ServerId, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_emulator::memory::Memory;
use roseproxy_emulator::plan::Plan;
use roseproxy_emulator::world::{Addresses, Sidecars, Signal, World};
use roseproxy_platform::wire::name_hash;
use roseproxy_routing::decider::Decider;
use roseproxy_routing::time::to_micros;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use tokio::task::LocalSet;

/// Unix time (ms) at which every virtual world begins.
pub const EPOCH: f64 = 1_800_000_000_000.0;
/// Descriptors that a program holds besides its streams: standard ones, the runtime's, the listener.
const BESIDES: usize = 8;

/// Sidecars over pipes in memory.
struct MemorySidecars {
    memory: Memory,
    strategy: Strategy,
    log: Option<Log>,
    world: RefCell<Weak<World<Memory>>>,
    in_process: InProcess,
    held: RefCell<BTreeMap<usize, Rc<Cell<usize>>>>,
}

impl MemorySidecars {
    fn now(&self) -> f64 {
        self.world.borrow().upgrade().map_or(0.0, |w| w.now())
    }

    fn truth(&self) -> Truth {
        let world = self.world.borrow().clone();
        Rc::new(move |id: ServerId| {
            let Some(world) = world.upgrade() else { return f64::INFINITY };
            let members = world.members();
            let member = members.iter().find(|m| name_hash(&m.model.borrow().plan.id) == id.0);
            let Some(member) = member.filter(|m| m.in_service()) else { return f64::INFINITY };
            member.advance(world.now());
            let forecast = member.model.borrow().forecast(100.0);
            forecast
        })
    }

    fn decider(&self, number: usize, settings: Settings, seed: u64, now: f64) -> Option<Box<dyn Decider>> {
        let decider: Box<dyn Decider> = match (self.strategy, &self.log) {
            (Strategy::Module, None) => return None,
            (Strategy::Module, Some(_)) => Box::new(Balancer::new(settings, seed, to_micros(now))),
            (strategy, _) => Box::new(Yardstick::new(strategy, settings, seed, self.truth())),
        };
        Some(match &self.log {
            None => decider,
            Some(log) => Box::new(Recorded::new(number, decider, log.clone())),
        })
    }
}

impl Sidecars for MemorySidecars {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let parsed = Config::read(&config.to_string(), |_| None)?;
        let clock = Clock::simulated(EPOCH + self.now());
        let decider = self.decider(number, parsed.settings, parsed.seed, clock.now());
        let held = Rc::new(Cell::new(0));
        let network = MemoryNetwork { memory: self.memory.clone(), held: held.clone() };
        self.held.borrow_mut().insert(number, held);
        self.in_process.start(number, config, network, clock, decider)
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.in_process.signal(number, signal);
    }

    fn ended(&self, number: usize) -> bool {
        self.in_process.ended(number)
    }

    fn resource_use(&self, number: usize) -> (Option<usize>, Option<f64>) {
        let held = self.held.borrow();
        (held.get(&number).map(|held| held.get() + BESIDES), None)
    }
}

/// Plays a draw of a day; `then` reads what it wants from the world before that ends.
pub fn play<T>(
    plan: Plan,
    strategy: Strategy,
    log: Option<Log>,
    then: impl FnOnce(&World<Memory>) -> T,
) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let memory = Memory::default();
        let sidecars = Rc::new(MemorySidecars {
            memory: memory.clone(),
            strategy,
            log,
            world: RefCell::default(),
            in_process: InProcess::default(),
            held: RefCell::default(),
        });
        let world = World::new(memory, plan, Addresses { port: 7070 }, EPOCH, sidecars.clone());
        *sidecars.world.borrow_mut() = Rc::downgrade(&world);
        world.play().await?;
        Ok(then(&world))
    })
}
