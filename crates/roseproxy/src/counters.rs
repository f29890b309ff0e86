//! The counters as text: one `name value` a line, at exit and on request.

use std::fmt::Write;

/// Prints counts.
pub fn print(counts: &[(String, u64)]) -> String {
    counts.iter().fold(String::new(), |mut text, (name, count)| {
        // Writing to a text cannot fail.
        let _ = writeln!(text, "{name} {count}");
        text
    })
}
