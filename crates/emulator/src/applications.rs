//! The life cycle of the applications and of the sidecars beside them, as the clients need it.

use std::cell::RefCell;

/// A sidecar as its application sees it.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether the application asks.
    asks: bool,
    /// Whether the process is meant to run.
    meant: bool,
    /// How often it has ended without being asked to.
    kills: u64,
    /// How often it was started.
    starts: u64,
}

/// The state of every application, by the number of its sidecar.
#[derive(Debug)]
pub struct Applications(RefCell<Vec<State>>);

impl Applications {
    /// Creates so many applications whose sidecars have not started yet.
    pub fn new(count: usize) -> Applications {
        Applications(RefCell::new(vec![State::default(); count]))
    }

    fn state(&self, sidecar: usize) -> State {
        self.0.borrow()[sidecar]
    }

    fn change(&self, sidecar: usize, change: impl FnOnce(&mut State)) {
        change(&mut self.0.borrow_mut()[sidecar]);
    }

    /// Whether an application sends requests.
    pub fn asks(&self, sidecar: usize) -> bool {
        self.state(sidecar).asks
    }

    /// Whether a sidecar's process is meant to run.
    pub fn meant(&self, sidecar: usize) -> bool {
        self.state(sidecar).meant
    }

    /// How often a sidecar has ended without being asked to.
    pub fn kills(&self, sidecar: usize) -> u64 {
        self.state(sidecar).kills
    }

    /// How often a sidecar was started.
    pub fn starts(&self, sidecar: usize) -> u64 {
        self.state(sidecar).starts
    }

    /// Whether a request in flight since the sidecar had been killed so often may fail: it was killed or
    /// stopped meanwhile.
    pub fn excused(&self, sidecar: usize, kills: u64) -> bool {
        self.kills(sidecar) != kills || !self.asks(sidecar)
    }

    /// Records the start of a sidecar's process.
    pub fn started(&self, sidecar: usize) {
        self.change(sidecar, |s| (s.meant, s.starts) = (true, s.starts + 1));
    }

    /// Records that a sidecar is ready: its application sends requests, unless the process is being stopped.
    pub fn ready(&self, sidecar: usize) {
        self.change(sidecar, |s| s.asks = s.meant);
    }

    /// Records that a sidecar's process is told to exit, so that its exit is no crash.
    pub fn may_end(&self, sidecar: usize) {
        self.change(sidecar, |s| s.meant = false);
    }

    /// Records that an application sends no more requests.
    pub fn stop(&self, sidecar: usize) {
        self.change(sidecar, |s| s.asks = false);
    }

    /// Records that a sidecar was killed or crashed, and its application with it.
    pub fn killed(&self, sidecar: usize) {
        self.change(sidecar, |s| {
            (s.asks, s.meant) = (false, false);
            s.kills += 1;
        });
    }
}
