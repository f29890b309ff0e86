//! Stage 2: what never reaches the module gets its fixed response at once.

use super::event_log::RefusalReason;
use super::flow::{Answer, FlowId};
use super::Host;

impl Host {
    /// Whether the module shall see the flow. Else it is answered here: none of it ran, so it is
    /// refused.
    pub(super) fn admits(&mut self, now: f64, id: FlowId, time_left: f64) -> bool {
        // Against memory without bound where clients open flows faster than they are answered; and
        // against work for a client that has no time left to hear of it.
        let room = self.flows.len() <= self.settings.network.max_open;
        let reason = match (room, time_left > 0.0) {
            (_, false) => Some(RefusalReason::NoTime),
            (false, _) => Some(RefusalReason::NoRoom),
            // What is open when the process ends is lost: nothing is taken on any more that cannot be answered at once.
            (true, true) if self.ending => None,
            // No attempt may be made by a list that is too old.
            (true, true) if self.list_expired(now) => Some(RefusalReason::ListExpired),
            (true, true) => return true,
        };
        self.book.turned_back += 1;
        let Some(reason) = reason else {
            self.answer(now, id, Answer::Failed);
            return false;
        };
        self.refuse(now, id, 0.0, reason);
        false
    }
}
