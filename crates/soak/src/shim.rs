//! Builds and controls the library that makes system calls of a sidecar fail. Its source is `shim/faults.c`; it reads
//! the faults from a control file that it maps into memory.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Source of the library.
const SOURCE: &str = include_str!("../shim/faults.c");

/// Linux error numbers.
pub mod errno {
    /// Input/output error.
    pub const EIO: u32 = 5;
    /// Interrupted by a signal.
    pub const EINTR: u32 = 4;
    /// Out of memory.
    pub const ENOMEM: u32 = 12;
    /// Operation not permitted.
    pub const EPERM: u32 = 1;
    /// Too many open files in the system.
    pub const ENFILE: u32 = 23;
    /// Too many open files in the process.
    pub const EMFILE: u32 = 24;
    /// No space left on the device.
    pub const ENOSPC: u32 = 28;
    /// Cannot assign the requested address: no local port is free.
    pub const EADDRNOTAVAIL: u32 = 99;
    /// Network is unreachable.
    pub const ENETUNREACH: u32 = 101;
    /// Connection aborted before it was accepted.
    pub const ECONNABORTED: u32 = 103;
    /// No buffer space available.
    pub const ENOBUFS: u32 = 105;
    /// Connection timed out.
    pub const ETIMEDOUT: u32 = 110;
    /// No route to host.
    pub const EHOSTUNREACH: u32 = 113;
}

/// Failure of a system call, at a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Error number that the call fails with.
    pub error: u32,
    /// Number of failures per million calls.
    pub rate: u32,
}

/// Faults of one sidecar, in the order of `struct control` in the library.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Accepting connections.
    pub accept: Fault,
    /// Creating sockets.
    pub socket: Fault,
    /// Opening connections.
    pub connect: Fault,
    /// Reads and writes, and also waits if the error is EINTR.
    pub interrupt: Fault,
    /// Reads and writes transfer only a part of the data; the error number is ignored.
    pub shorten: Fault,
    /// Connections that the sidecar opened break.
    pub broken: Fault,
    /// Opening the configuration file.
    pub config: Fault,
    /// Writing to standard error, which carries the log.
    pub log: Fault,
    /// Offset of the wall clock (ns).
    pub wall_offset_ns: i64,
}

impl Faults {
    /// Encodes the faults as the library reads them.
    fn encode(&self) -> Vec<u8> {
        let faults = [
            self.accept,
            self.socket,
            self.connect,
            self.interrupt,
            self.shorten,
            self.broken,
            self.config,
            self.log,
        ];
        let words = faults.iter().flat_map(|fault| [fault.error, fault.rate]);
        let bytes = words.flat_map(u32::to_ne_bytes);
        bytes.chain(self.wall_offset_ns.to_ne_bytes()).collect()
    }
}

/// Compiles the library in a folder and returns its path.
pub fn build(folder: &Path) -> Result<PathBuf, String> {
    let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
    std::fs::write(&source, SOURCE).map_err(|e| format!("{}: {e}", source.display()))?;
    let status =
        Command::new("cc").args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).status();
    match status {
        Ok(status) if status.success() => Ok(library),
        Ok(status) => Err(format!("cc: {status}")),
        Err(e) => Err(format!("cc: {e}")),
    }
}

/// Control file of one sidecar.
#[derive(Debug)]
pub struct Control {
    /// Path of the file.
    pub path: PathBuf,
    file: File,
}

impl Control {
    /// Creates a control file without faults.
    pub fn new(path: PathBuf) -> io::Result<Control> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(&path)?;
        let control = Control { path, file };
        control.set(&Faults::default())?;
        Ok(control)
    }

    /// Replaces the faults that are in force.
    pub fn set(&self, faults: &Faults) -> io::Result<()> {
        self.file.write_all_at(&faults.encode(), 0)
    }
}
