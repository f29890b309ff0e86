//! The driver on real sockets: the same day on 127.0.0.0/8 against processes of the program.

use crate::live::Live;
use crate::processes::Processes;
use crate::timing::Timing;
use roseproxy_emulator::fabric::Loopback;
use roseproxy_emulator::plan::Plan;
use roseproxy_emulator::world::{Addresses, World};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// Plays a draw of a day with processes of this program.
pub fn play<T, S>(
    plan: Plan,
    program: &Path,
    show: bool,
    then: impl FnOnce(&World<Loopback>) -> (T, S),
) -> Result<(T, S, Timing), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // A port that is free now, for all the addresses of this play.
        let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
        let port = free.map_err(|e| format!("no free port: {e}"))?.port();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3);
        let sidecars = Rc::new(Processes::new(program, port, plan.scenario.limits.sockets)?);
        let world = World::new(Loopback, plan, Addresses { port }, epoch, sidecars.clone());
        let shown = show.then(|| tokio::task::spawn_local(Live::default().show(world.clone())));
        world.play().await?;
        shown.iter().for_each(|s| s.abort());
        let (result, more) = then(&world);
        let (cpu_s, memory_mb) = sidecars.end_all();
        Ok((result, more, Timing { cpu_s, memory_mb, ..Timing::default() }))
    })
}
