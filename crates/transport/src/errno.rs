//! Error numbers of Linux, for errors that the standard library has no kind for.

/// Not permitted, as by a rule of the local firewall.
pub const EPERM: i32 = 1;
/// Interrupted by a signal.
pub const EINTR: i32 = 4;
/// The medium fails.
pub const EIO: i32 = 5;
/// Not now; of a connect: no port or route entry is free.
pub const EAGAIN: i32 = 11;
/// No memory is left.
pub const ENOMEM: i32 = 12;
/// Access is denied, as by a rule of the local firewall.
pub const EACCES: i32 = 13;
/// The machine is out of descriptors.
pub const ENFILE: i32 = 23;
/// The process is out of descriptors.
pub const EMFILE: i32 = 24;
/// No room is left on a device, or for another watch of the event queue.
pub const ENOSPC: i32 = 28;
/// Not a socket.
pub const ENOTSOCK: i32 = 88;
/// The port is held.
pub const EADDRINUSE: i32 = 98;
/// No local address or port is free.
pub const EADDRNOTAVAIL: i32 = 99;
/// The network is down.
pub const ENETDOWN: i32 = 100;
/// No way leads there.
pub const ENETUNREACH: i32 = 101;
/// No buffer is free.
pub const ENOBUFS: i32 = 105;
