//! State of the applications and of the sidecar process beside each of them.

use std::cell::RefCell;

/// The state of one application and its sidecar.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether the application sends requests.
    sends: bool,
    /// Whether the sidecar process should be running.
    should_run: bool,
    /// How often the process was killed or crashed.
    kills: u64,
    /// How often the process was started.
    starts: u64,
}

/// The state of every application, indexed by the number of its sidecar.
#[derive(Debug)]
pub struct Applications(RefCell<Vec<State>>);

impl Applications {
    /// Creates `count` applications whose sidecars have not started yet.
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
    pub fn is_sending(&self, sidecar: usize) -> bool {
        self.state(sidecar).sends
    }

    /// Whether a sidecar's process should be running.
    pub fn should_run(&self, sidecar: usize) -> bool {
        self.state(sidecar).should_run
    }

    /// How often a sidecar was killed or crashed.
    pub fn kill_count(&self, sidecar: usize) -> u64 {
        self.state(sidecar).kills
    }

    /// How often a sidecar was started.
    pub fn start_count(&self, sidecar: usize) -> u64 {
        self.state(sidecar).starts
    }

    /// Whether a request in flight may fail, as its sidecar was killed or its application stopped meanwhile.
    /// `kills_before` is the [`Applications::kill_count`] at the time the request was sent.
    pub fn is_excused(&self, sidecar: usize, kills_before: u64) -> bool {
        self.kill_count(sidecar) != kills_before || !self.is_sending(sidecar)
    }

    /// Records the start of a sidecar's process.
    pub fn record_start(&self, sidecar: usize) {
        self.change(sidecar, |s| (s.should_run, s.starts) = (true, s.starts + 1));
    }

    /// Records that a sidecar is ready: its application sends requests from now on, unless the process is being
    /// stopped.
    pub fn record_ready(&self, sidecar: usize) {
        self.change(sidecar, |s| s.sends = s.should_run);
    }

    /// Records that a sidecar's process was told to exit, so that its exit does not count as a crash.
    pub fn expect_exit(&self, sidecar: usize) {
        self.change(sidecar, |s| s.should_run = false);
    }

    /// Records that an application no longer sends requests.
    pub fn stop_sending(&self, sidecar: usize) {
        self.change(sidecar, |s| s.sends = false);
    }

    /// Records that a sidecar was killed or crashed, and its application with it.
    pub fn record_kill(&self, sidecar: usize) {
        self.change(sidecar, |s| {
            (s.sends, s.should_run) = (false, false);
            s.kills += 1;
        });
    }
}
