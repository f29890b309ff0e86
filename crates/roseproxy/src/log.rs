//! The log on standard error, written without ever blocking or ending the process.
//!
//! `eprintln!` panics if standard error fails (a full disk, a closed pipe), and blocks on a full pipe, which
//! would stall the only thread of the sidecar. This log drops and counts lines that cannot be written at once.

use roseproxy_transport::errno::ENOTSOCK;
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::time::Duration;

/// Makes opens and writes fail instead of blocking (Linux).
const O_NONBLOCK: i32 = 0o4000;
/// Makes one send on a socket fail instead of blocking (Linux).
const MSG_DONTWAIT: i32 = 0x40;
/// Path by which a Linux process opens its standard error again. Other processes that share standard error
/// are not affected by the non-blocking mode of the new descriptor.
const STDERR_PATH: &str = "/proc/self/fd/2";
/// How often writes of the final lines are retried in total, because the reader may only be slow.
const FINAL_WRITE_RETRIES: u32 = 20;
/// Pause before each retry of a final line.
const FINAL_WRITE_PAUSE: Duration = Duration::from_millis(5);

/// How standard error is written to.
#[derive(Debug)]
enum Output {
    /// Through a descriptor of its own: a file, a terminal or a pipe.
    Reopened(File),
    /// Through the inherited descriptor: a socket, or anything that cannot be opened again.
    Inherited,
}

/// The log on standard error.
#[derive(Debug)]
pub struct Log {
    output: Output,
    lines_lost: Cell<u64>,
}

impl Log {
    /// Opens the log.
    pub fn open() -> Log {
        let opened = OpenOptions::new().append(true).custom_flags(O_NONBLOCK).open(STDERR_PATH);
        let output = opened.map_or(Output::Inherited, Output::Reopened);
        Log { output, lines_lost: Cell::new(0) }
    }

    /// Writes a line, or drops and counts it if it cannot be written at once.
    pub fn write_line(&self, line: &str) {
        if self.write(format!("roseproxy: {line}\n").as_bytes()).is_err() {
            self.lines_lost.set(self.lines_lost.get() + 1);
        }
    }

    /// Writes the final lines of the process, with a few retries for a slow reader.
    pub fn write_final(&self, text: &str) {
        let mut retries = FINAL_WRITE_RETRIES;
        for line in text.split_inclusive('\n') {
            while retries > 0 && self.write(line.as_bytes()).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
            {
                retries -= 1;
                std::thread::sleep(FINAL_WRITE_PAUSE);
            }
        }
    }

    /// Number of lines dropped so far.
    pub fn lines_lost(&self) -> u64 {
        self.lines_lost.get()
    }

    /// Makes one write; if it writes only a part, the rest is dropped and an error returned.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let written = match &self.output {
            Output::Reopened(file) => (&*file).write(bytes),
            Output::Inherited => write_inherited(bytes),
        };
        match written {
            Ok(count) if count < bytes.len() => Err(ErrorKind::WriteZero.into()),
            Ok(_) => Ok(()),
            Err(e) => Err(e),
        }
    }
}

/// Writes to the inherited standard error; on a socket without blocking.
fn write_inherited(bytes: &[u8]) -> io::Result<usize> {
    let stderr = io::stderr();
    let sent = socket2::SockRef::from(&stderr).send_with_flags(bytes, MSG_DONTWAIT);
    match sent {
        Err(e) if e.raw_os_error() == Some(ENOTSOCK) => stderr.lock().write(bytes),
        sent => sent,
    }
}
