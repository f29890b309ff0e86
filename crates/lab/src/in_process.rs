//! Whole sidecars in this process, from the listener down, over any network.

use roseproxy::config::Config;
use roseproxy::serve::{serve, Environment};
use roseproxy::signals::Control;
use roseproxy::Clock;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::memory::{self, Memory, MemoryListener, MemoryStream};
use roseproxy_emulator::world::Signal;
use roseproxy_routing::decider::Decider;
use roseproxy_transport::network::{Network, Peek, PeekResult};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// A sidecar's place in the network in memory: what it opens and accepts is counted.
#[derive(Clone)]
pub struct MemoryNetwork {
    /// The network.
    pub memory: Memory,
    /// Streams that the sidecar holds.
    pub held: Rc<Cell<usize>>,
}

impl Network for MemoryNetwork {
    type Listener = MemoryListener;
    type AcceptedStream = MemoryStream;
    type ConnectedStream = MemoryStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<MemoryListener> {
        self.memory.bind(address).await
    }

    async fn accept(&self, listener: &MemoryListener) -> io::Result<(MemoryStream, Peek)> {
        let stream = self.memory.accept(listener).await?.counted_in(&self.held);
        let peek = peek(&stream);
        Ok((stream, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(MemoryStream, Peek)> {
        let stream = self.memory.connect(address).await?.counted_in(&self.held);
        let peek = peek(&stream);
        Ok((stream, peek))
    }
}

/// Looks at a stream in memory.
fn peek(stream: &MemoryStream) -> Peek {
    let look = stream.peek();
    Rc::new(move || match look() {
        memory::PeekResult::Empty => PeekResult::Empty,
        memory::PeekResult::Data => PeekResult::Data,
        memory::PeekResult::Closed => PeekResult::Closed,
    })
}

/// One sidecar that was started.
struct Running {
    task: JoinHandle<()>,
    asked: UnboundedSender<Control>,
    /// What its configuration file holds now.
    file: Rc<RefCell<Value>>,
}

/// Sidecars in this process, by number. All calls must be made inside of one [`LocalSet`].
#[derive(Default)]
pub struct InProcess {
    running: RefCell<BTreeMap<usize, Running>>,
}

impl InProcess {
    /// Starts a sidecar. One that runs under this number is dropped.
    pub fn start<N: Network>(
        &self,
        number: usize,
        config: &Value,
        network: N,
        clock: Clock,
        decider: Option<Box<dyn Decider>>,
    ) -> Result<(), String> {
        let parsed = Config::read(&config.to_string(), |_| None)?;
        let (asked, asking) = unbounded_channel();
        let file = Rc::new(RefCell::new(config.clone()));
        let say: Rc<dyn Fn(&str)> = Rc::new(move |line| tracing::debug!(sidecar = number, "{line}"));
        let around = Environment { network, clock, log: say, decider, print_events: false };
        let read = {
            let file = file.clone();
            move || Ok(Config::read(&file.borrow().to_string(), |_| None)?)
        };
        let task = spawn_local(async move {
            // A set of its own: when this task is dropped, all that the sidecar had begun goes with it.
            let set = LocalSet::new();
            if let Err(reason) = set.run_until(serve(parsed, around, asking, read)).await {
                tracing::error!(sidecar = number, "{reason}");
            }
        });
        let before = self.running.borrow_mut().insert(number, Running { task, asked, file });
        if let Some(before) = before {
            before.task.abort();
        }
        Ok(())
    }

    /// Tells a sidecar something. One that has ended hears nothing any more.
    pub fn signal(&self, number: usize, signal: Signal) {
        let running = self.running.borrow();
        let Some(one) = running.get(&number) else { return };
        match signal {
            Signal::Term => {
                let _ = one.asked.send(Control::Shutdown);
            }
            Signal::Reload(config) => {
                *one.file.borrow_mut() = config;
                let _ = one.asked.send(Control::Reload);
            }
            Signal::Kill => one.task.abort(),
        }
    }

    /// Whether a sidecar has ended, or was never started.
    pub fn ended(&self, number: usize) -> bool {
        self.running.borrow().get(&number).is_none_or(|one| one.task.is_finished())
    }
}
