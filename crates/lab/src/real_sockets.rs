//! Runs a scenario on real sockets in 127.0.0.0/8, against processes of the program.

use crate::live::LiveTable;
use crate::processes::Processes;
use crate::timing::Timing;
use roseproxy_emulator::fabric::Loopback;
use roseproxy_emulator::schedule::Schedule;
use roseproxy_emulator::simulation::{Addresses, Simulation};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Runs a schedule against processes of this program; `then` reads the results from the simulation.
pub fn run<T, S>(
    schedule: Schedule,
    program: &Path,
    live_table: bool,
    then: impl FnOnce(&Simulation<Loopback>) -> (T, S),
) -> Result<(T, S, Timing), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // A port that is free now, used with all addresses of this run.
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
        let port = free.map_err(|e| format!("no free port: {e}"))?.port();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let sidecars = Rc::new(Processes::new(program, port, schedule.scenario.limits.sockets)?);
        let simulation = Simulation::new(Loopback, schedule, Addresses { port }, epoch, sidecars.clone());
        let table =
            live_table.then(|| tokio::task::spawn_local(LiveTable::default().show(simulation.clone())));
        simulation.run().await?;
        table.iter().for_each(|task| task.abort());
        let (result, series) = then(&simulation);
        let (cpu_s, memory_mb) = sidecars.stop_all();
        Ok((result, series, Timing { cpu_s, memory_mb, ..Timing::default() }))
    })
}
