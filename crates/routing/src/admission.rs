//! Stage 2: flows that must not reach the decision module are answered at once.

use super::event_log::RefusalReason;
use super::flow::{Answer, FlowId};
use super::Host;

impl Host {
    /// Whether the flow is passed to the decision module. Otherwise it is answered here; since no
    /// part of it has run, it may be refused.
    pub(super) fn admit(&mut self, now: f64, id: FlowId, time_left: f64) -> bool {
        // The first limit bounds memory when clients open flows faster than they are answered. The
        // second avoids work for a client that has no time left to receive the answer.
        let has_room = self.flows.len() <= self.settings.network.max_open;
        let reason = match (has_room, time_left > 0.0) {
            (_, false) => Some(RefusalReason::NoTime),
            (false, _) => Some(RefusalReason::NoRoom),
            // Flows open at the end of the process are lost, so a flow that cannot be answered at
            // once is no longer accepted.
            (true, true) if self.shutting_down => None,
            // No attempt may be made from an expired list.
            (true, true) if self.list_expired(now) => Some(RefusalReason::ListExpired),
            (true, true) => return true,
        };
        self.counters.not_admitted += 1;
        let Some(reason) = reason else {
            self.answer(now, id, Answer::Failed);
            return false;
        };
        self.refuse(now, id, 0.0, reason);
        false
    }
}
