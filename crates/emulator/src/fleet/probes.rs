//! Probes: what a server answers when it is asked for its load or its health.

use super::Member;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Wire};
use crate::server::Job;
use crate::world::World;
use std::rc::Rc;

/// Answers a probe; false where the connection ends.
pub(super) async fn probe<F: Fabric>(
    world: &Rc<World<F>>,
    member: &Rc<Member>,
    wire: &mut Wire<F::Stream>,
    way: f64,
    stats: bool,
) -> bool {
    *world.ledger.borrow_mut().probes.entry(member.number).or_default() += 1;
    if !world.plan.day.limits.probes {
        return wire.write(&answer_bytes(404, &[], b"")).await.is_ok();
    }
    let (work, most, deep) = member.model.borrow().plan.probe;
    let full = member.with(world.now(), |m| {
        m.probing += 1;
        m.chore(work);
        m.probing > most
    });
    if deep && !full {
        let begun = member.begin(world.now(), |id| Job { id, work, key: None, error: false });
        if let Ok((_, done)) = begun {
            let _ = done.await;
        }
    } else {
        // It runs beside the queue, but not while the whole machine stands still.
        let paused = member.model.borrow().next();
        if member.model.borrow().paused() {
            world.until(paused).await;
        }
    }
    member.with(world.now(), |m| m.probing -= 1);
    let text = member.report(world);
    world.sleep(way).await;
    let answer = match (full, stats) {
        (true, _) => answer_bytes(503, &[], b""),
        (false, true) => answer_bytes(200, &[], text.as_bytes()),
        (false, false) => answer_bytes(200, &[], b"ok"),
    };
    wire.write(&answer).await.is_ok()
}
