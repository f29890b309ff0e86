//! Linux error numbers for errors without an [`std::io::ErrorKind`].

/// Operation not permitted, for example by a local firewall rule.
pub const EPERM: i32 = 1;
/// Interrupted by a signal.
pub const EINTR: i32 = 4;
/// Input/output error of the device.
pub const EIO: i32 = 5;
/// Try again; for connect: no free port or routing entry.
pub const EAGAIN: i32 = 11;
/// Out of memory.
pub const ENOMEM: i32 = 12;
/// Permission denied, for example by a local firewall rule.
pub const EACCES: i32 = 13;
/// The system has run out of file descriptors.
pub const ENFILE: i32 = 23;
/// The process has run out of file descriptors.
pub const EMFILE: i32 = 24;
/// No space left on a device, or for another watch of the event queue.
pub const ENOSPC: i32 = 28;
/// Not a socket.
pub const ENOTSOCK: i32 = 88;
/// The address and port are in use.
pub const EADDRINUSE: i32 = 98;
/// No local address or port is available.
pub const EADDRNOTAVAIL: i32 = 99;
/// The network is down.
pub const ENETDOWN: i32 = 100;
/// The network is unreachable.
pub const ENETUNREACH: i32 = 101;
/// No buffer space is available.
pub const ENOBUFS: i32 = 105;
