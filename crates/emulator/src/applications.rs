//! The applications beside the sidecars: whether each asks, and how often its sidecar was started and killed.

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

/// All applications, by the number of their sidecar.
#[derive(Debug)]
pub struct Applications(RefCell<Vec<State>>);

impl Applications {
    /// So many, whose sidecars have not started.
    pub fn new(count: usize) -> Applications {
        Applications(RefCell::new(vec![State::default(); count]))
    }

    fn state(&self, sidecar: usize) -> State {
        self.0.borrow()[sidecar]
    }

    fn change(&self, sidecar: usize, change: impl FnOnce(&mut State)) {
        change(&mut self.0.borrow_mut()[sidecar]);
    }

    /// Whether an application asks.
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

    /// Whether what a sidecar had in hand since it had ended so often is nobody's fault: it was killed.
    pub fn excused(&self, sidecar: usize, kills: u64) -> bool {
        self.kills(sidecar) != kills || !self.asks(sidecar)
    }

    /// A sidecar's process was started.
    pub fn started(&self, sidecar: usize) {
        self.change(sidecar, |s| (s.meant, s.starts) = (true, s.starts + 1));
    }

    /// A sidecar is ready: its application asks, unless the process is meant to end.
    pub fn ready(&self, sidecar: usize) {
        self.change(sidecar, |s| s.asks = s.meant);
    }

    /// A sidecar's process may end from here on.
    pub fn may_end(&self, sidecar: usize) {
        self.change(sidecar, |s| s.meant = false);
    }

    /// An application asks no more.
    pub fn stop(&self, sidecar: usize) {
        self.change(sidecar, |s| s.asks = false);
    }

    /// A sidecar has ended without being asked to, and its application with it.
    pub fn killed(&self, sidecar: usize) {
        self.change(sidecar, |s| {
            (s.asks, s.meant) = (false, false);
            s.kills += 1;
        });
    }
}
