//! The memory of the process: what the program has allocated, and what the system has given it.

/// Reads the memory of the process.
pub trait ProcessMemory {
    /// Memory that the program has allocated and not freed (bytes).
    fn allocated_bytes(&self) -> u64;

    /// The figures with the names under which they are published. What is resident and not allocated is
    /// held by the allocator, or is code and stack.
    fn named_counts(&self) -> Vec<(String, u64)> {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let kilobytes = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key));
            line.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        vec![
            ("memory_allocated_bytes".into(), self.allocated_bytes()),
            ("memory_resident_bytes".into(), kilobytes("VmRSS:") * 1024),
            ("memory_resident_peak_bytes".into(), kilobytes("VmHWM:") * 1024),
        ]
    }
}

/// A process whose allocations are not counted, as in tests and simulations.
#[derive(Clone, Copy, Debug)]
pub struct UncountedMemory;

impl ProcessMemory for UncountedMemory {
    fn allocated_bytes(&self) -> u64 {
        0
    }
}
