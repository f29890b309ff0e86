//! The load that is usual in the fleet, from the few reports that one sidecar has.

/// How far above the middle figure one may stand and still count whole: so many times that figure, and
/// so many requests for each unit of capacity beyond.
const FAR: (f64, f64) = (2.0, 2.0);

/// Load for each unit of capacity over servers with these loads and capacities; 0 without any.
///
/// What stands far above the middle counts only up to a bound: a server that is crowded or stands still
/// holds dozens of requests, and says nothing of those that have not been asked. One sidecar of a hundred
/// knows a few servers of sixty; one such figure among them made it believe that all were full. One that
/// sees all servers (`sight` 1) takes the mean as it is.
pub fn usual_load(reports: &[(f64, f64)], sight: f64) -> f64 {
    let mut each: Vec<f64> = reports.iter().filter(|(_, c)| *c > 0.0).map(|(load, c)| load / c).collect();
    if each.is_empty() {
        return 0.0;
    }
    let middle = (each.len() - 1) / 2;
    let most = *each.select_nth_unstable_by(middle, f64::total_cmp).1 * FAR.0 + FAR.1 / (1.0 - sight);
    let (load, capacity) = reports
        .iter()
        .filter(|(_, c)| *c > 0.0)
        .fold((0.0, 0.0), |(l, c), (load, capacity)| (l + load.min(most * capacity), c + capacity));
    load / capacity
}
