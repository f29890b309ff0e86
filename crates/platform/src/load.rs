//! Load reports: `TEXT inflight=7, queue=2, util=0.61`.

use hyper::header::{HeaderMap, HeaderName};
use roseproxy_decision::interface::Load;

const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Reads a report; `None` where not one figure in it is known. Other fields are skipped, as new ones
/// may come.
pub fn read(text: &str) -> Option<Load> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut load = Load::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Ok(value) = value.trim().parse::<f64>() else { continue };
        // Not a number, or less than nothing: no figure to decide by.
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

/// The report that came with an answer.
pub fn of_headers(headers: &HeaderMap) -> Option<Load> {
    headers.get(SERVER_LOAD).and_then(|v| v.to_str().ok()).and_then(read)
}
