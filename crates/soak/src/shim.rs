//! The library that fails a sidecar's system calls: built from `shim/faults.c`, steered through a file that it maps.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library's source.
const SOURCE: &str = include_str!("../shim/faults.c");

/// Error numbers of Linux, by their names.
pub mod errno {
    /// The medium fails.
    pub const EIO: u32 = 5;
    /// Interrupted by a signal.
    pub const EINTR: u32 = 4;
    /// No memory is left.
    pub const ENOMEM: u32 = 12;
    /// Not permitted.
    pub const EPERM: u32 = 1;
    /// The machine is out of descriptors.
    pub const ENFILE: u32 = 23;
    /// The process is out of descriptors.
    pub const EMFILE: u32 = 24;
    /// No space is left.
    pub const ENOSPC: u32 = 28;
    /// No local address or port is free.
    pub const EADDRNOTAVAIL: u32 = 99;
    /// No way leads there.
    pub const ENETUNREACH: u32 = 101;
    /// The connection was aborted before it was accepted.
    pub const ECONNABORTED: u32 = 103;
    /// No buffer is free.
    pub const ENOBUFS: u32 = 105;
    /// The other side does not answer any more.
    pub const ETIMEDOUT: u32 = 110;
    /// No way leads to the host any more.
    pub const EHOSTUNREACH: u32 = 113;
}

/// A call that fails with an error, so often in a million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The error.
    pub error: u32,
    /// How often.
    pub rate: u32,
}

/// What fails, in the order of the library's `struct control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Accepting.
    pub accept: Fault,
    /// Making a socket.
    pub socket: Fault,
    /// Connecting.
    pub connect: Fault,
    /// Reads and writes; waits too where it is EINTR.
    pub interrupt: Fault,
    /// Reads and writes take a part; its error has no meaning.
    pub shorten: Fault,
    /// Connections that the sidecar opened break.
    pub broken: Fault,
    /// Opening the configuration.
    pub config: Fault,
    /// Writing to standard error.
    pub log: Fault,
    /// Added to the wall clock (ns).
    pub wall_offset_ns: i64,
}

impl Faults {
    fn bytes(&self) -> Vec<u8> {
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

/// Builds the library in a folder.
pub fn build(folder: &Path) -> Result<PathBuf, String> {
    let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
    std::fs::write(&source, SOURCE).map_err(|e| format!("{}: {e}", source.display()))?;
    let built =
        Command::new("cc").args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).status();
    match built {
        Ok(status) if status.success() => Ok(library),
        Ok(status) => Err(format!("cc: {status}")),
        Err(e) => Err(format!("cc: {e}")),
    }
}

/// One sidecar's control file.
#[derive(Debug)]
pub struct Control {
    /// Where it is.
    pub path: PathBuf,
    file: File,
}

impl Control {
    /// A file with no faults in it.
    pub fn new(path: PathBuf) -> io::Result<Control> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(&path)?;
        let control = Control { path, file };
        control.set(&Faults::default())?;
        Ok(control)
    }

    /// Has these calls fail from now on, and no others.
    pub fn set(&self, faults: &Faults) -> io::Result<()> {
        self.file.write_all_at(&faults.bytes(), 0)
    }
}
