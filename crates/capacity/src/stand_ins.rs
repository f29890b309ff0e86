//! The thread that runs the stand-ins for discovery and the config servers.

use crate::discovery::Discovery;
use crate::endpoints::Endpoint;
use crate::error::{Error, Result};
use crate::messages::{endpoint_address, list_entry, list_message, Phase};
use std::future::Future;
use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as BlockingListener};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// Returns a function that converts an I/O error about `resource` into this crate's error.
pub fn system_error(resource: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |source| Error::System { resource, source }
}

/// How often another port is tried.
const MAX_PORT_RETRIES: usize = 8;

fn is_address_in_use(error: &Error) -> bool {
    matches!(error, Error::System { source, .. } if source.kind() == ErrorKind::AddrInUse)
}

/// Returns a port that is free on 127.0.0.1 at the time of the call.
pub fn free_port() -> Result<u16> {
    let listener = BlockingListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(system_error("a free port"))?;
    Ok(listener.local_addr().map_err(system_error("a free port"))?.port())
}

/// Runs a future on a single-threaded runtime, as the sidecar does.
pub fn run_local<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(system_error("the runtime"))?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Running stand-ins for discovery and the config servers; they stop when the value is dropped.
#[derive(Debug)]
pub struct StandIns {
    /// The stand-in for discovery.
    pub discovery: Discovery,
    /// Port of all endpoints.
    pub port: u16,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// The stand-ins to start.
#[derive(Clone, Copy, Debug)]
pub struct StandInConfig {
    /// Number of endpoints in the whole list.
    pub listed_endpoints: usize,
    /// Number of endpoints, from the first on, that are served; the others exist only in the list.
    pub served_endpoints: usize,
    /// Time that each endpoint takes for a request.
    pub service_time: Duration,
}

/// Builds the whole list of `count` endpoints, in JSON.
pub fn whole_list(revision: u64, count: usize, port: u16) -> String {
    let member = |n| list_entry(n, endpoint_address(n, port), Phase::InService);
    let members: Vec<_> = (0..count).map(member).collect();
    list_message(revision, true, &members).to_string()
}

impl StandIns {
    /// Starts the stand-ins and waits until they listen. Tries another port if somebody has taken the
    /// free one before it was bound.
    pub fn start(config: StandInConfig) -> Result<StandIns> {
        let mut started = StandIns::start_at(free_port()?, config);
        for _ in 0..MAX_PORT_RETRIES {
            if !started.as_ref().is_err_and(is_address_in_use) {
                break;
            }
            started = StandIns::start_at(free_port()?, config);
        }
        started
    }

    fn start_at(port: u16, config: StandInConfig) -> Result<StandIns> {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let discovery = Discovery::new(address, whole_list(1, config.listed_endpoints, port));
        let (stop, stopped) = oneshot::channel::<()>();
        let (ready, started) = mpsc::channel::<Result<()>>();
        let served_discovery = discovery.clone();
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let start_failed = ready.clone();
            let result = run_local(async move {
                let bound = serve_all(config, port, served_discovery).await;
                let listening = bound.is_ok();
                let _ = ready.send(bound);
                if listening {
                    let _ = stopped.await;
                }
            });
            if let Err(reason) = result {
                let _ = start_failed.send(Err(reason));
            }
        });
        let thread = thread.map_err(system_error("the stand-ins' thread"))?;
        let start_error =
            || Error::Process { name: "stand-ins".into(), problem: "ended during start-up".into() };
        started.recv().map_err(|_| start_error())??;
        Ok(StandIns { discovery, port, stop: Some(stop), thread: Some(thread) })
    }
}

async fn serve_all(config: StandInConfig, port: u16, discovery: Discovery) -> Result<()> {
    let listener =
        TcpListener::bind(discovery.address).await.map_err(system_error("discovery's listener"))?;
    spawn_local(discovery.serve(listener));
    for number in 0..config.served_endpoints {
        let listener = TcpListener::bind(endpoint_address(number, port)).await;
        let listener = listener.map_err(system_error("a config server's listener"))?;
        spawn_local(Endpoint::new(config.service_time).serve(listener));
    }
    Ok(())
}

impl Drop for StandIns {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed, and the figures that depend on it are missing.
            let _ = thread.join();
        }
    }
}
