//! Runs whole sidecars, from the listener down, as tasks of this process and over any network.

use roseproxy::config::Config;
use roseproxy::process_memory::UncountedMemory;
use roseproxy::serve::{serve, Environment};
use roseproxy::signals::Control;
use roseproxy::Clock;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::memory::{self, Memory, MemoryListener, MemoryStream};
use roseproxy_emulator::simulation::Signal;
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

/// The in-memory network as one sidecar uses it; counts the streams that the sidecar opens and accepts.
#[derive(Clone)]
pub struct MemoryNetwork {
    /// The in-memory network.
    pub memory: Memory,
    /// Number of streams that the sidecar has open.
    pub open_streams: Rc<Cell<usize>>,
}

impl Network for MemoryNetwork {
    type Listener = MemoryListener;
    type AcceptedStream = MemoryStream;
    type ConnectedStream = MemoryStream;

    async fn listen(&self, address: SocketAddr) -> io::Result<MemoryListener> {
        self.memory.bind(address).await
    }

    async fn accept(&self, listener: &MemoryListener) -> io::Result<(MemoryStream, Peek)> {
        let stream = self.memory.accept(listener).await?.counted_in(&self.open_streams);
        let peek = peek(&stream);
        Ok((stream, peek))
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<(MemoryStream, Peek)> {
        let stream = self.memory.connect(address).await?.counted_in(&self.open_streams);
        let peek = peek(&stream);
        Ok((stream, peek))
    }
}

/// Returns a function that shows whether an in-memory stream has unread data.
fn peek(stream: &MemoryStream) -> Peek {
    let peek_stream = stream.peek();
    Rc::new(move || match peek_stream() {
        memory::PeekResult::Empty => PeekResult::Empty,
        memory::PeekResult::Data => PeekResult::Data,
        memory::PeekResult::Closed => PeekResult::Closed,
    })
}

/// A started sidecar.
struct RunningSidecar {
    task: JoinHandle<()>,
    commands: UnboundedSender<Control>,
    /// Current content of its simulated configuration file.
    file: Rc<RefCell<Value>>,
}

/// Sidecars in this process, by number. All calls must be made within the same [`LocalSet`].
#[derive(Default)]
pub struct InProcess {
    running: RefCell<BTreeMap<usize, RunningSidecar>>,
}

impl InProcess {
    /// Starts a sidecar. A sidecar that already runs under this number is dropped.
    pub fn start<N: Network>(
        &self,
        number: usize,
        config: &Value,
        network: N,
        clock: Clock,
        decider: Option<Box<dyn Decider>>,
    ) -> Result<(), String> {
        let parsed = Config::read(&config.to_string(), |_| None)?;
        let (commands, command_receiver) = unbounded_channel();
        let file = Rc::new(RefCell::new(config.clone()));
        let log_line: Rc<dyn Fn(&str)> = Rc::new(move |line| tracing::debug!(sidecar = number, "{line}"));
        let environment = Environment {
            network,
            clock,
            log: log_line,
            decider,
            print_events: false,
            process_memory: Box::new(UncountedMemory),
        };
        let read_config = {
            let file = file.clone();
            move || Ok(Config::read(&file.borrow().to_string(), |_| None)?)
        };
        let task = spawn_local(async move {
            // Its own LocalSet: dropping this task also drops every task that the sidecar has spawned.
            let local_set = LocalSet::new();
            if let Err(reason) =
                local_set.run_until(serve(parsed, environment, command_receiver, read_config)).await
            {
                tracing::error!(sidecar = number, "{reason}");
            }
        });
        let previous = self.running.borrow_mut().insert(number, RunningSidecar { task, commands, file });
        if let Some(previous) = previous {
            previous.task.abort();
        }
        Ok(())
    }

    /// Sends a signal to a sidecar. Signals to a sidecar that has ended are ignored.
    pub fn signal(&self, number: usize, signal: Signal) {
        let running = self.running.borrow();
        let Some(sidecar) = running.get(&number) else { return };
        match signal {
            Signal::Term => {
                let _ = sidecar.commands.send(Control::Shutdown);
            }
            Signal::Reload(config) => {
                *sidecar.file.borrow_mut() = config;
                let _ = sidecar.commands.send(Control::Reload);
            }
            Signal::Kill => sidecar.task.abort(),
        }
    }

    /// Whether a sidecar has ended, or was never started.
    pub fn ended(&self, number: usize) -> bool {
        self.running.borrow().get(&number).is_none_or(|sidecar| sidecar.task.is_finished())
    }
}
