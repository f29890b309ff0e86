//! Load and health probes of servers.

use super::connection::Connection;
use crate::fabric::Fabric;
use crate::http::{answer_bytes, Wire};
use crate::schedule::Probes;
use crate::server::Job;

impl<F: Fabric> Connection<F> {
    /// Answers a load probe (`stats`) or a health probe; returns false if the connection must be closed.
    pub(super) async fn answer_probe(&self, wire: &mut Wire<F::Stream>, one_way: f64, stats: bool) -> bool {
        let (environment, member) = (self.environment(), &self.member);
        *environment.accounting.borrow_mut().probes.entry(member.number).or_default() += 1;
        if !environment.schedule.scenario.limits.probes {
            return wire.write(&answer_bytes(404, &[], b"")).await.is_ok();
        }
        let over_limit = self.run_probe().await;
        let text = member.report(environment.clock.now(), environment.schedule.seed);
        environment.clock.sleep(one_way).await;
        let answer = match (over_limit, stats) {
            (true, _) => answer_bytes(503, &[], b""),
            (false, true) => answer_bytes(200, &[], text.as_bytes()),
            (false, false) => answer_bytes(200, &[], b"ok"),
        };
        wire.write(&answer).await.is_ok()
    }

    /// Does the work of a probe; returns true if the limit of concurrent probes is exceeded.
    async fn run_probe(&self) -> bool {
        let (clock, member) = (&self.environment().clock, &self.member);
        let Probes { work, limit, queued } = member.model.borrow().parameters.probes;
        let over_limit = member.update(clock.now(), |m| {
            m.open_probes += 1;
            m.add_background_work(work);
            m.open_probes > limit
        });
        if queued && !over_limit {
            let offered = member.offer(clock.now(), |id| Job { id, work, key: None, error: false });
            if let Ok((_, done)) = offered {
                let _ = done.await;
            }
        } else {
            // The probe bypasses the queue but still waits for the end of a pause of the server.
            let pause_end = member.model.borrow().next_event();
            if member.model.borrow().is_paused() {
                clock.sleep_until(pause_end).await;
            }
        }
        member.update(clock.now(), |m| m.open_probes -= 1);
        over_limit
    }
}
