//! What decision modules were told and answered, written down for later.

use roseproxy_decision::interface::{Action, Event, Micros};
use roseproxy_decision::snapshot::Snapshot;
use roseproxy_routing::decider::Decider;
use std::cell::RefCell;
use std::rc::Rc;

/// One thing that a module was told or answered: when (microseconds), at which sidecar, about which
/// request of that sidecar's, in words.
pub type Entry = (Micros, usize, u64, String);

/// What the modules of a day were told and answered.
pub type Log = Rc<RefCell<Vec<Entry>>>;

/// A decider that writes down all that concerns requests.
pub struct Recorded {
    sidecar: usize,
    inner: Box<dyn Decider>,
    log: Log,
}

impl Recorded {
    /// Records what passes to and from a decider, under the number of its sidecar.
    pub fn new(sidecar: usize, inner: Box<dyn Decider>, log: Log) -> Recorded {
        Recorded { sidecar, inner, log }
    }

    fn note(&self, now: Micros, request: u64, text: String) {
        self.log.borrow_mut().push((now, self.sidecar, request, text));
    }
}

impl Decider for Recorded {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Request(r) => {
                let text = format!("told: request of class {} with {} ms left", r.class, r.time_left / 1000);
                self.note(now, r.id, text);
            }
            Event::AttemptEnded { request, attempt, server, outcome, elapsed, .. } => {
                let text = format!(
                    "told: attempt {attempt} at {:016x} {outcome:?} after {} ms",
                    server.0,
                    elapsed / 1000
                );
                self.note(now, *request, text);
            }
            Event::ClientLeft { request } => self.note(now, *request, "told: its client has left".into()),
            _ => {}
        }
        let before = out.len();
        self.inner.handle(now, event, out);
        let p = self.inner.snapshot();
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
                p.ready, p.set_aside, p.mean_load, p.late_share, p.forecast_error
            );
            self.note(now, request, text);
        }
    }

    fn snapshot(&self) -> Snapshot {
        self.inner.snapshot()
    }
}
