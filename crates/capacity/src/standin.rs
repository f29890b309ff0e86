//! The thread on which discovery and the config servers run.

use crate::discovery::Discovery;
use crate::endpoints::Endpoint;
use crate::error::{Error, Result};
use crate::messages::{endpoint_address, entry, listing, Phase};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as BlockingListener};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// Turns what the system says into this package's error.
pub fn system(what: &'static str) -> impl Fn(std::io::Error) -> Error {
    move |source| Error::System { what, source }
}

/// A port that is free on 127.0.0.1 now.
pub fn free_port() -> Result<u16> {
    let listener = BlockingListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(system("a free port"))?;
    Ok(listener.local_addr().map_err(system("a free port"))?.port())
}

/// Runs a future on a runtime of one thread, as the sidecar does.
pub fn run_local<T>(future: impl Future<Output = T>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(system("the runtime"))?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Discovery and config servers; they end when this is dropped.
#[derive(Debug)]
pub struct StandIns {
    /// Discovery.
    pub discovery: Discovery,
    /// Port of all config servers.
    pub port: u16,
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What to start.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Endpoints that the whole list names.
    pub listed: usize,
    /// Endpoints that are there, from the first on; the others are only names.
    pub served: usize,
    /// How long each takes for a request.
    pub service: Duration,
}

/// The whole list of so many endpoints.
pub fn whole_list(revision: u64, count: usize, port: u16) -> String {
    let member = |n| entry(n, endpoint_address(n, port), Phase::InService);
    let members: Vec<_> = (0..count).map(member).collect();
    listing(revision, true, &members).to_string()
}

impl StandIns {
    /// Starts them.
    pub fn start(plan: Plan) -> Result<StandIns> {
        let port = free_port()?;
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let discovery = Discovery::new(address, whole_list(1, plan.listed, port));
        let (end, ended) = oneshot::channel::<()>();
        let (ready, is_ready) = mpsc::channel::<Result<()>>();
        let served = discovery.clone();
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let failed = ready.clone();
            let ran = run_local(async move {
                let bound = serve_all(plan, port, served).await;
                let serves = bound.is_ok();
                let _ = ready.send(bound);
                if serves {
                    let _ = ended.await;
                }
            });
            if let Err(reason) = ran {
                let _ = failed.send(Err(reason));
            }
        });
        let thread = thread.map_err(system("the stand-ins' thread"))?;
        let lost = || Error::Process { name: "stand-ins".into(), what: "ended at the start".into() };
        is_ready.recv().map_err(|_| lost())??;
        Ok(StandIns { discovery, port, end: Some(end), thread: Some(thread) })
    }
}

async fn serve_all(plan: Plan, port: u16, discovery: Discovery) -> Result<()> {
    let listener = TcpListener::bind(discovery.address).await.map_err(system("discovery's listener"))?;
    spawn_local(discovery.serve(listener));
    for number in 0..plan.served {
        let listener = TcpListener::bind(endpoint_address(number, port)).await;
        let listener = listener.map_err(system("a config server's listener"))?;
        spawn_local(Endpoint::new(plan.service).serve(listener));
    }
    Ok(())
}

impl Drop for StandIns {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed; the figures that rest on it are missing.
            let _ = thread.join();
        }
    }
}
