//! Stage 2: what never reaches the module gets its fixed response at once.

use super::event_log::RefusalReason;
use super::flow::FlowId;
use super::Host;

impl Host {
    /// Whether the module shall see the flow. Else it is answered here: none of it ran, so it is
    /// refused.
    pub(super) fn admits(&mut self, now: f64, id: FlowId, time_left: f64) -> bool {
        // Against memory without bound where clients open flows faster than they are answered; and
        // against work for a client that has no time left to hear of it.
        let room = self.flows.len() <= self.settings.network.max_open;
        let reason = match (room, time_left > 0.0) {
            // What is open when the process ends is lost: nothing is taken on any more that cannot be answered at once.
            _ if self.ending => RefusalReason::Ending,
            (true, true) => return true,
            (false, _) => RefusalReason::NoRoom,
            (true, false) => RefusalReason::NoTime,
        };
        self.book.turned_back += 1;
        self.refuse(now, id, 0.0, reason);
        false
    }
}
