//! Retries during startup, for machines that are temporarily short of a resource.

use roseproxy_transport::errno::{EADDRINUSE, EAGAIN, EINTR, EIO, EMFILE, ENFILE, ENOBUFS, ENOMEM};
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Pause between two tries.
const RETRY_INTERVAL_MS: f64 = 100.0;
/// Maximum number of retries. Together they take half of the time that the platform allows a sidecar to become ready.
const MAX_RETRIES: u32 = 150;

/// Descriptors that the runtime and its signal handling need: the epoll instance with a duplicate, its waker, both ends
/// of the signal pipe with a duplicate, and a reserve.
const RUNTIME_DESCRIPTORS: usize = 8;

/// Whether an error may be temporary: a resource is short, or the previous process still holds the port.
pub fn is_transient(error: &io::Error) -> bool {
    let transient = [EINTR, EIO, EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRINUSE, ENOBUFS];
    error.raw_os_error().is_some_and(|number| transient.contains(&number))
}

/// How often startup retries after this error.
pub fn max_retries(error: &io::Error) -> u32 {
    if is_transient(error) {
        MAX_RETRIES
    } else {
        0
    }
}

/// Runs an operation until it succeeds, or has been retried as often as `max_retries` allows for its last error. Only
/// the first failure is logged.
pub async fn retry_transient<T, E: Display, F: Future<Output = Result<T, E>>>(
    log: &dyn Fn(&str),
    max_retries: impl Fn(&E) -> u32,
    operation: impl Fn() -> F,
) -> Result<T, E> {
    let mut retries = 0;
    loop {
        match operation().await {
            Err(e) if retries < max_retries(&e) => {
                if retries == 0 {
                    log(&format!("startup delayed, retrying: {e}"));
                }
                retries += 1;
                tokio::time::sleep(Duration::from_secs_f64(RETRY_INTERVAL_MS / 1e3)).await;
            }
            result => return result,
        }
    }
}

/// Waits until the descriptors that the runtime needs are available. Creating the runtime
/// while they are short ends the process, so the wait has to come first.
pub fn wait_for_descriptors(log: &dyn Fn(&str)) {
    for retries in 0..MAX_RETRIES {
        let pairs: io::Result<Vec<_>> = (0..RUNTIME_DESCRIPTORS / 2).map(|_| UnixStream::pair()).collect();
        match pairs {
            Err(e) if is_transient(&e) => {
                if retries == 0 {
                    log(&format!("startup delayed, retrying: {e}"));
                }
                std::thread::sleep(Duration::from_secs_f64(RETRY_INTERVAL_MS / 1e3));
            }
            _ => return,
        }
    }
}
