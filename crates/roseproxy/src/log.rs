//! The log: lines on standard error, which neither hold the program up nor end it.
//!
//! `eprintln!` panics where standard error fails (a full disk, a reader that has gone), and waits where nobody reads a
//! full pipe; the program has one thread. Here a line that cannot be written at once is dropped and counted.

use roseproxy_transport::errno::ENOTSOCK;
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::time::Duration;

/// Has opens and writes fail in place of waiting (Linux: `O_NONBLOCK`).
const NON_BLOCKING: i32 = 0o4000;
/// The same for one send on a socket (Linux: `MSG_DONTWAIT`).
const DO_NOT_WAIT: i32 = 0x40;
/// Where Linux lets a process open its standard error anew, so that other processes' share of it stays as it is.
const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// How often the last lines are tried, and how long each time waits: a reader may just be slow.
const LAST_TRIES: (u32, Duration) = (20, Duration::from_millis(5));

/// How standard error is written.
#[derive(Debug)]
enum Output {
    /// Opened anew: a file, a terminal or a pipe.
    Opened(File),
    /// As it is: a socket, or what cannot be opened.
    Inherited,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    output: Output,
    lost: Cell<u64>,
}

impl Log {
    /// The log on standard error.
    pub fn open() -> Log {
        let opened = OpenOptions::new().append(true).custom_flags(NON_BLOCKING).open(STANDARD_ERROR);
        let output = opened.map_or(Output::Inherited, Output::Opened);
        Log { output, lost: Cell::new(0) }
    }

    /// Writes a line, or drops it.
    pub fn say(&self, line: &str) {
        if self.write(format!("roseproxy: {line}\n").as_bytes()).is_err() {
            self.lost.set(self.lost.get() + 1);
        }
    }

    /// Writes what is said last, a line at a time; a slow reader is given a moment.
    pub fn say_last(&self, text: &str) {
        let (mut tries, pause) = LAST_TRIES;
        for line in text.split_inclusive('\n') {
            while tries > 0 && self.write(line.as_bytes()).is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                tries -= 1;
                std::thread::sleep(pause);
            }
        }
    }

    /// Lines dropped so far.
    pub fn lost(&self) -> u64 {
        self.lost.get()
    }

    /// Writes all of it at once; what is left of a part that was taken is dropped.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let written = match &self.output {
            Output::Opened(file) => (&*file).write(bytes),
            Output::Inherited => inherited(bytes),
        };
        match written {
            Ok(count) if count < bytes.len() => Err(ErrorKind::WriteZero.into()),
            Ok(_) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Writes to standard error as it is; on a socket without waiting.
fn inherited(bytes: &[u8]) -> io::Result<usize> {
    let error = io::stderr();
    let sent = socket2::SockRef::from(&error).send_with_flags(bytes, DO_NOT_WAIT);
    match sent {
        Err(e) if e.raw_os_error() == Some(ENOTSOCK) => error.lock().write(bytes),
        sent => sent,
    }
}
