//! Text form of the counters, used at exit and in answers to `/health/counters`: one `name value` per line.

use std::fmt::Write;

/// Formats counters, one per line.
pub fn to_text(counters: &[(String, u64)]) -> String {
    counters.iter().fold(String::new(), |mut text, (name, count)| {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{name} {count}");
        text
    })
}
