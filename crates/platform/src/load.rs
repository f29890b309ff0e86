//! Load reports of config servers, for example `TEXT inflight=7, queue=2, util=0.61`.

use hyper::header::{HeaderMap, HeaderName};
use roseproxy_decision::interface::Load;

const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Reads a report, and returns `None` if it has no known field with a valid value. Unknown fields are
/// skipped, because servers may add new ones.
pub fn read(text: &str) -> Option<Load> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut load = Load::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        // Non-finite and negative values cannot be load figures.
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        match name.trim() {
            "inflight" | "active" => load.in_flight = Some(value),
            "queue" | "waiting" => load.waiting = Some(value),
            "util" | "cpu" => load.utilization = Some(value),
            "latency_ms" | "avg_ms" => load.latency_ms = Some(value),
            "qps" | "rps" => load.requests_per_s = Some(value),
            "eps" | "err_rps" => load.errors_per_s = Some(value),
            _ => {}
        }
    }
    (load != Load::default()).then_some(load)
}

/// Reads the report in the headers of a response.
pub fn from_headers(headers: &HeaderMap) -> Option<Load> {
    headers.get(SERVER_LOAD).and_then(|v| v.to_str().ok()).and_then(read)
}
