//! The driver in virtual time: whole sidecars over pipes in memory, under the runtime's paused clock.
//!
//! Every sidecar is the program itself from the listener down, in a task set of its own, so that a kill
//! drops all of it at once. One thread, one clock, one order of wakes: equal days, seeds and builds give
//! equal results to the byte.

use crate::strategies::{Strategy, Truth, Yardstick};
use crate::trace::{Log, Recorded};
use roseproxy::config::Config;
use roseproxy::signals::Asked;
use roseproxy::start::{serve, Surroundings};
use roseproxy::Clock;
use roseproxy_decision::interface::{ServerId, Settings};
use roseproxy_decision::policy::Balancer;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::memory::{Memory, MemoryListener, MemoryStream};
use roseproxy_emulator::plan::Plan;
use roseproxy_emulator::world::{Addresses, Sidecars, Signal, World};
use roseproxy_platform::wire::tag;
use roseproxy_routing::decide::Decider;
use roseproxy_routing::time::to_micros;
use roseproxy_transport::network::{Network, Quiet};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Unix time (ms) at which every virtual world begins.
pub const EPOCH: f64 = 1_800_000_000_000.0;
/// Descriptors that a program holds besides its streams: standard ones, the runtime's, the listener.
const BESIDES: usize = 8;

/// A sidecar's place in the network in memory: what it opens and accepts is counted.
#[derive(Clone)]
struct Node {
    memory: Memory,
    held: Rc<Cell<usize>>,
}

impl Network for Node {
    type Listener = MemoryListener;
    type Accepted = MemoryStream;
    type Opened = MemoryStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<MemoryListener> {
        self.memory.bind(address).await
    }

    async fn accept(&self, listener: &MemoryListener) -> io::Result<(MemoryStream, Quiet)> {
        let stream = self.memory.accept(listener).await?.counted(&self.held);
        let quiet = Box::new(stream.quiet());
        Ok((stream, quiet))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(MemoryStream, Quiet)> {
        let stream = self.memory.connect(address).await?.counted(&self.held);
        let quiet = Box::new(stream.quiet());
        Ok((stream, quiet))
    }
}

struct Running {
    task: JoinHandle<()>,
    asked: UnboundedSender<Asked>,
    /// What its configuration file holds now.
    file: Rc<RefCell<Value>>,
    held: Rc<Cell<usize>>,
}

/// Sidecars in this process.
struct InProcess {
    memory: Memory,
    strategy: Strategy,
    log: Option<Log>,
    world: RefCell<Weak<World<Memory>>>,
    running: RefCell<Vec<Option<Running>>>,
}

impl InProcess {
    fn now(&self) -> f64 {
        self.world.borrow().upgrade().map_or(0.0, |w| w.now())
    }

    fn truth(&self) -> Truth {
        let world = self.world.borrow().clone();
        Rc::new(move |id: ServerId| {
            let Some(world) = world.upgrade() else { return f64::INFINITY };
            let members = world.members();
            let member = members.iter().find(|m| tag(&m.model.borrow().plan.id) == id.0);
            let Some(member) = member.filter(|m| m.in_service()) else { return f64::INFINITY };
            member.touch(world.now());
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

impl Sidecars for InProcess {
    fn start(&self, number: usize, config: &Value) -> Result<(), String> {
        let text = config.to_string();
        let parsed = Config::read(&text, |_| None)?;
        let clock = Clock::from(EPOCH + self.now());
        let decider = self.decider(number, parsed.settings.clone(), parsed.seed, clock.now());
        let (asked, asking) = unbounded_channel();
        let file = Rc::new(RefCell::new(config.clone()));
        let held = Rc::new(Cell::new(0));
        let network = Node { memory: self.memory.clone(), held: held.clone() };
        let say: Rc<dyn Fn(&str)> = Rc::new(move |line| tracing::debug!(sidecar = number, "{line}"));
        let around = Surroundings { network, clock, say, decider };
        let read = {
            let file = file.clone();
            move || Config::read(&file.borrow().to_string(), |_| None)
        };
        let task = spawn_local(async move {
            // A set of its own: when this task is dropped, all that the sidecar had begun goes with it.
            let set = LocalSet::new();
            if let Err(reason) = set.run_until(serve(parsed, around, asking, read)).await {
                tracing::error!(sidecar = number, "{reason}");
            }
        });
        let mut running = self.running.borrow_mut();
        if running.len() <= number {
            running.resize_with(number + 1, || None);
        }
        running[number] = Some(Running { task, asked, file, held });
        Ok(())
    }

    fn signal(&self, number: usize, signal: Signal) {
        let mut running = self.running.borrow_mut();
        let Some(Some(one)) = running.get_mut(number) else { return };
        // One that has ended hears nothing any more.
        match signal {
            Signal::Term => {
                let _ = one.asked.send(Asked::End);
            }
            Signal::Reload(config) => {
                *one.file.borrow_mut() = config;
                let _ = one.asked.send(Asked::Reload);
            }
            Signal::Kill => one.task.abort(),
        }
    }

    fn ended(&self, number: usize) -> bool {
        self.running.borrow().get(number).is_none_or(|one| one.as_ref().is_none_or(|r| r.task.is_finished()))
    }

    fn holds(&self, number: usize) -> (Option<usize>, Option<f64>) {
        let running = self.running.borrow();
        let held = running.get(number).and_then(Option::as_ref).map(|one| one.held.get() + BESIDES);
        (held, None)
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
        let sidecars = Rc::new(InProcess {
            memory: memory.clone(),
            strategy,
            log,
            world: RefCell::default(),
            running: RefCell::default(),
        });
        let world = World::new(memory, plan, Addresses { port: 7070 }, EPOCH, sidecars.clone());
        *sidecars.world.borrow_mut() = Rc::downgrade(&world);
        world.play().await?;
        Ok(then(&world))
    })
}
