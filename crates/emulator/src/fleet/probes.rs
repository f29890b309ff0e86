//! Load and health probes of a server.

use super::connection::Connection;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Wire};
use crate::schedule::Probes;
use crate::server::Job;

impl<F: Fabric> Connection<F> {
    /// Answers a probe, for the load (`stats`) or the health; false where the connection ends.
    pub(super) async fn probe(&self, wire: &mut Wire<F::Stream>, way: f64, stats: bool) -> bool {
        let (environment, member) = (self.environment(), &self.member);
        *environment.accounting.borrow_mut().probes.entry(member.number).or_default() += 1;
        if !environment.schedule.day.limits.probes {
            return wire.write(&answer_bytes(404, &[], b"")).await.is_ok();
        }
        let full = self.work_on_probe().await;
        let text = member.report(environment.clock.now(), environment.schedule.seed);
        environment.clock.sleep(way).await;
        let answer = match (full, stats) {
            (true, _) => answer_bytes(503, &[], b""),
            (false, true) => answer_bytes(200, &[], text.as_bytes()),
            (false, false) => answer_bytes(200, &[], b"ok"),
        };
        wire.write(&answer).await.is_ok()
    }

    /// Does the work of a probe; true where the limit of concurrent probes is exceeded.
    async fn work_on_probe(&self) -> bool {
        let (clock, member) = (&self.environment().clock, &self.member);
        let Probes { work, limit, queued } = member.model.borrow().plan.probe;
        let full = member.with(clock.now(), |m| {
            m.probing += 1;
            m.chore(work);
            m.probing > limit
        });
        if queued && !full {
            let begun = member.begin(clock.now(), |id| Job { id, work, key: None, error: false });
            if let Ok((_, done)) = begun {
                let _ = done.await;
            }
        } else {
            // It runs beside the queue, but not while the whole machine stands still.
            let paused = member.model.borrow().next();
            if member.model.borrow().paused() {
                clock.until(paused).await;
            }
        }
        member.with(clock.now(), |m| m.probing -= 1);
        full
    }
}
