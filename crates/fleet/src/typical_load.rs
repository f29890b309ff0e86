//! Estimate of the fleet's typical load from the few load reports that one sidecar has.

/// A load is capped at this multiple of the median load per unit of capacity, plus a margin.
const OUTLIER_MEDIAN_MULTIPLE: f64 = 2.0;
/// Requests per unit of capacity by which the cap exceeds that multiple, divided by one minus the
/// visibility.
const OUTLIER_MARGIN: f64 = 2.0;

/// Returns the load per unit of capacity over servers with these `(load, capacity)` reports, or 0
/// if no report has a positive capacity.
///
/// Loads far above the median are capped: an overloaded or stalled server holds dozens of requests
/// and says nothing about the servers that have not reported. A sidecar in a fleet of a hundred
/// knows a few of sixty servers, and one such report among them made it treat the whole fleet as
/// full. At a visibility of 1 the plain mean is returned, since that sidecar knows all servers.
pub fn typical_load(reports: &[(f64, f64)], visibility: f64) -> f64 {
    let mut loads_per_capacity: Vec<f64> =
        reports.iter().filter(|(_, c)| *c > 0.0).map(|(load, c)| load / c).collect();
    if loads_per_capacity.is_empty() {
        return 0.0;
    }
    let median_index = (loads_per_capacity.len() - 1) / 2;
    let cap = *loads_per_capacity.select_nth_unstable_by(median_index, f64::total_cmp).1
        * OUTLIER_MEDIAN_MULTIPLE
        + OUTLIER_MARGIN / (1.0 - visibility);
    let (load, capacity) = reports.iter().filter(|(_, c)| *c > 0.0).fold(
        (0.0, 0.0),
        |(total_load, total_capacity), (load, capacity)| {
            (total_load + load.min(cap * capacity), total_capacity + capacity)
        },
    );
    load / capacity
}
