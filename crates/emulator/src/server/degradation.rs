//! The degraded state of a server, entered when its queue exceeds a limit for some time, and its recovery.

use super::Server;

/// The state of the queue and of the degradation by it. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QueueState {
    /// The queue is within the limit.
    Normal,
    /// The queue has exceeded the limit since this time.
    OverLimit(f64),
    /// Degraded since the first time; nearly idle since the second, if it is nearly idle.
    Degraded(f64, Option<f64>),
}

impl Server {
    /// Whether the server is degraded by a long queue.
    pub fn is_degraded(&self) -> bool {
        matches!(self.queue_state, QueueState::Degraded(..))
    }

    /// Enters the degraded state once the queue has exceeded its limit for long enough, and leaves it after a
    /// nearly idle period or the maximum duration.
    pub(super) fn update_queue_state(&mut self) {
        let Some(parameters) = self.parameters.degradation else { return };
        let queued = (self.held() as f64 - self.parameters.cores).max(0.0);
        let busy = self.busy_share();
        let now = self.now;
        self.queue_state = match self.queue_state {
            QueueState::Normal if queued > parameters.queue_limit => QueueState::OverLimit(now),
            QueueState::OverLimit(_) if queued <= parameters.queue_limit => QueueState::Normal,
            QueueState::OverLimit(since) if now - since >= parameters.queue_duration => {
                self.degradations += 1;
                QueueState::Degraded(now, None)
            }
            QueueState::Degraded(since, idle) => {
                let idle = (busy < parameters.idle_below).then(|| idle.unwrap_or(now));
                if now - since >= parameters.max_duration
                    || idle.is_some_and(|at| now - at >= parameters.idle_duration)
                {
                    QueueState::Normal
                } else {
                    QueueState::Degraded(since, idle)
                }
            }
            same => same,
        };
    }

    /// The busy share of the cores.
    pub(super) fn busy_share(&self) -> f64 {
        (self.running.len() as f64 / self.parameters.cores).min(1.0)
    }
}
