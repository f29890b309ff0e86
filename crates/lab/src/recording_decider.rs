//! Records the request events that decision modules receive and the actions that they return.

use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_decision::snapshot::Snapshot;
use roseproxy_routing::decider::Decider;
use std::cell::RefCell;
use std::rc::Rc;

/// One recorded event or action: time (microseconds), number of the sidecar, request number within that
/// sidecar, and description.
pub type TraceEntry = (Micros, usize, u64, String);

/// The recorded events and actions of all decision modules of a run.
pub type TraceLog = Rc<RefCell<Vec<TraceEntry>>>;

/// A decider that forwards to another one and records every event and action about requests.
pub struct RecordingDecider {
    sidecar: usize,
    inner: Box<dyn Decider>,
    log: TraceLog,
}

impl RecordingDecider {
    /// Wraps the decider of a sidecar.
    pub fn new(sidecar: usize, inner: Box<dyn Decider>, log: TraceLog) -> RecordingDecider {
        RecordingDecider { sidecar, inner, log }
    }

    fn record(&self, now: Micros, request: u64, text: String) {
        self.log.borrow_mut().push((now, self.sidecar, request, text));
    }
}

impl Decider for RecordingDecider {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Request(request) => {
                let text = format!(
                    "told: request of class {} with {} ms left",
                    request.class,
                    request.time_left / 1000
                );
                self.record(now, request.id, text);
            }
            Event::AttemptEnded { request, attempt, server, outcome, elapsed, .. } => {
                let text = format!(
                    "told: attempt {attempt} at {:016x} {outcome:?} after {} ms",
                    server.0,
                    elapsed / 1000
                );
                self.record(now, *request, text);
            }
            Event::ClientLeft { request } => self.record(now, *request, "told: its client has left".into()),
            _ => {}
        }
        let before = out.len();
        self.inner.handle(now, event, out);
        let snapshot = self.inner.snapshot();
        for action in &out[before..] {
            let (request, text) = match action {
                Action::Send { request, server, timeout } => {
                    (*request, format!("drawn: send to {:016x}, time-out {timeout:?} us", server.0))
                }
                Action::Cancel { request, attempt } => {
                    (*request, format!("answered: call off attempt {attempt}"))
                }
                Action::Refuse { request, retry_after, .. } => {
                    (*request, format!("answered: refuse, come back in {} ms", retry_after / 1000))
                }
                Action::Fail { request } => (*request, "answered: fail".into()),
                _ => continue,
            };
            let text = format!(
                "{text} (picture: {} ready, {} aside, load {:.1}, late {:.2}, spread {:.2})",
                snapshot.ready,
                snapshot.set_aside,
                snapshot.mean_load,
                snapshot.late_share,
                snapshot.forecast_error
            );
            self.record(now, request, text);
        }
    }

    fn snapshot(&self) -> Snapshot {
        self.inner.snapshot()
    }
}
