//! A start on a machine that is short of something for a moment.

use roseproxy_transport::errno::{EADDRINUSE, EAGAIN, EINTR, EIO, EMFILE, ENFILE, ENOBUFS, ENOMEM};
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// How long a start waits before it tries again (ms), and how often it does: half of the time that the platform gives it
/// to be ready.
const RETRY: f64 = 100.0;
const MOST_TRIES: u32 = 150;

/// Descriptors that the runtime and its signals hold: the event queue with a copy, its alarm, both ends of the signals' pipe with
/// a copy, and some to spare.
const OF_THE_RUNTIME: usize = 8;

/// Whether an error may be gone in a moment: something is short, or the process before still holds its port.
pub fn passes(error: &io::Error) -> bool {
    let passing = [EINTR, EIO, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRINUSE, ENOBUFS];
    error.raw_os_error().is_some_and(|number| passing.contains(&number))
}

/// How often a start tries again after this error.
pub fn tries(error: &io::Error) -> u32 {
    if passes(error) {
        MOST_TRIES
    } else {
        0
    }
}

/// Tries until it succeeds, or has been tried as often as `tries` says of its error; says so once.
pub async fn patiently<T, E: Display, F: Future<Output = Result<T, E>>>(
    say: &dyn Fn(&str),
    tries: impl Fn(&E) -> u32,
    attempt: impl Fn() -> F,
) -> Result<T, E> {
    let mut tried = 0;
    loop {
        match attempt().await {
            Err(e) if tried < tries(&e) => {
                if tried == 0 {
                    say(&format!("start waits: {e}"));
                }
                tried += 1;
                tokio::time::sleep(Duration::from_secs_f64(RETRY / 1e3)).await;
            }
            done => return done,
        }
    }
}

/// Waits until the runtime finds the descriptors that it needs: it ends the process where they are short, and nothing can be
/// said to it before it is there.
pub fn wait_for_descriptors(say: &dyn Fn(&str)) {
    for tried in 0..MOST_TRIES {
        let pairs: io::Result<Vec<_>> = (0..OF_THE_RUNTIME / 2).map(|_| UnixStream::pair()).collect();
        match pairs {
            Err(e) if passes(&e) => {
                if tried == 0 {
                    say(&format!("start waits: {e}"));
                }
                std::thread::sleep(Duration::from_secs_f64(RETRY / 1e3));
            }
            _ => return,
        }
    }
}
