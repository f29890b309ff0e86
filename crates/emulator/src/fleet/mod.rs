//! Config servers on streams: the model of [`crate::server`] behind HTTP/1.1.

mod member;
mod members;
mod probes;
mod requests;

pub use member::{Fate, Member};
pub use members::Members;

use crate::fabric::Fabric;
use crate::http::{answer_bytes, Unread, Wire};
use crate::world::World;
use probes::probe;
use requests::Order;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Keeps a server's model going.
pub async fn keep_going<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>) {
    loop {
        let next = member.model.borrow().next();
        tokio::select! {
            biased;
            () = member.wake.notified() => {}
            () = world.until(next) => {}
        }
        member.touch(world.now());
    }
}

/// Listens for one sidecar at a server's address, as the server's fate allows.
pub async fn listen<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>, sidecar: usize) {
    let address = world.environment.addresses.server(sidecar, member.place);
    let mut fate = member.fate.subscribe();
    loop {
        let now = *fate.borrow_and_update();
        match now {
            Fate::Up(_) => match world.environment.fabric.bind(address).await {
                Ok(listener) => loop {
                    tokio::select! {
                        biased;
                        _ = fate.changed() => break,
                        stream = world.environment.fabric.accept(&listener) => {
                            let Ok(stream) = stream else { continue };
                            spawn_local(connection(world.clone(), member.clone(), sidecar, stream));
                        }
                    }
                },
                // The one before at this address is not quite gone.
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            },
            Fate::Down => drop(fate.changed().await),
            Fate::Cut => {
                let _mute = world.environment.fabric.mute(address).await;
                let _ = fate.changed().await;
            }
        }
    }
}

/// One place in a server's table of connections.
struct Seat(Rc<Member>, Option<f64>);

impl Drop for Seat {
    fn drop(&mut self) {
        let mut model = self.0.model.borrow_mut();
        // A process that has started since has a table of its own.
        if model.started() == self.1 {
            model.conns = model.conns.saturating_sub(1);
        }
    }
}

async fn connection<F: Fabric>(world: Rc<World<F>>, member: Rc<Member>, sidecar: usize, stream: F::Stream) {
    let mut fate = member.fate.subscribe();
    let (crowded, started) = member.with(world.now(), |m| {
        m.conns += 1;
        m.chore(m.plan.handshake.0);
        (m.conns > m.plan.conns.0, m.started())
    });
    let seat = Seat(member.clone(), started);
    *world.ledger.borrow_mut().connections.entry(member.number).or_default() += 1;
    let mut wire = Wire::new(stream);
    let ended = tokio::select! {
        biased;
        _ = fate.changed() => false,
        () = converse(&world, &member, sidecar, crowded, &mut wire) => true,
    };
    if !ended {
        // Cut off it says nothing until that ends; then, as at a death, it is reset.
        while *fate.borrow_and_update() == Fate::Cut {
            if fate.changed().await.is_err() {
                break;
            }
        }
        world.environment.fabric.reset(wire.stream);
    }
    drop(seat);
}

async fn converse<F: Fabric>(
    world: &Rc<World<F>>,
    member: &Rc<Member>,
    sidecar: usize,
    crowded: bool,
    wire: &mut Wire<F::Stream>,
) {
    let (idle, rtts) = {
        let model = member.model.borrow();
        (model.plan.idle, model.plan.handshake.1)
    };
    let mut fresh = true;
    loop {
        if !wire.ahead() {
            let more = tokio::time::timeout(Duration::from_secs_f64(idle / 1e3), wire.more()).await;
            if !matches!(more, Ok(Ok(true))) {
                return;
            }
        }
        let came = world.now();
        let request = match wire.request().await {
            Ok(request) => request,
            Err(Unread::Garbled(_)) => {
                let _ = wire.write(&answer_bytes(400, &[("connection", "close".into())], b"")).await;
                return;
            }
            Err(_) => return,
        };
        let way = world.one_way(sidecar, member);
        let handshake = if fresh { 2.0 * rtts * way } else { 0.0 };
        fresh = false;
        world.sleep(way + handshake).await;
        let path = request.path.split('?').next().unwrap_or_default();
        let goes_on = match path {
            "/stats" | "/health/live" => probe(world, member, wire, way, path == "/stats").await,
            _ => Order { world, member, sidecar, crowded, request: &request, came, way }.answer(wire).await,
        };
        if !goes_on {
            return;
        }
    }
}
