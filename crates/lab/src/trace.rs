//! The full trace of one flow: every try, attempt, outcome and answer, with the events that the decision module
//! received and the actions that it returned.

use crate::recording_decider::{TraceEntry, TraceLog};
use crate::strategies::Strategy;
use crate::virtual_time;
use roseproxy_decision::interface::Micros;
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::Schedule;
use std::fmt::Write;

/// Converts the time of a decision module to simulation time (ms).
fn simulation_time_ms(at: Micros) -> f64 {
    at as f64 / 1e3 - virtual_time::EPOCH_MS
}

/// Largest difference between a client's time of sending and the module's time of receiving a request.
const REQUEST_TIME_TOLERANCE_MS: f64 = 1.5;

/// Runs the scenario and returns the trace of one flow as text.
pub fn trace_flow(scenario: &Scenario, seed: u64, strategy: Strategy, flow: usize) -> Result<String, String> {
    let schedule = Schedule::draw(scenario, seed);
    let arrivals = schedule.arrivals.len();
    if flow >= arrivals {
        return Err(format!("--flow {flow}: the scenario has flows 0 to {}", arrivals.saturating_sub(1)));
    }
    let log = TraceLog::default();
    virtual_time::run(schedule, strategy, Some(log.clone()), |simulation| {
        let (schedule, accounting) = (&simulation.schedule, simulation.accounting.borrow());
        let arrival = &schedule.arrivals[flow];
        let mut text = String::new();
        let start_ms = simulation.scenario_start();
        let mut line = |at: f64, what: String| {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{:>12.3} ms  {what}", at - start_ms);
        };
        line(
            simulation.simulation_time(arrival.at),
            format!(
                "flow {flow}: {} of {} at sidecar {} (zone {}), work {:.0} ms, key {:?}, worth {}{}",
                schedule.class(arrival).name,
                schedule.scenario.tenants[arrival.tenant].name,
                arrival.sidecar,
                schedule.sidecars[arrival.sidecar].zone,
                arrival.work,
                arrival.key,
                arrival.worth,
                if arrival.over_share { ", over its share" } else { "" }
            ),
        );
        let mut entries: Vec<(f64, String)> = Vec::new();
        for request in accounting.tries.iter().filter(|t| t.flow == flow) {
            entries.push((
                request.sent,
                format!(
                    "try {} sent, id {:016x}, until {:.0}",
                    request.number,
                    request.id,
                    request.until - start_ms
                ),
            ));
            for (number, a) in request.attempts.iter().enumerate() {
                let copy = if a.second_copy { ", a second copy" } else { "" };
                entries.push((a.came, format!("  attempt {number} came to server {}{copy}", a.server)));
                if let Some(ended) = a.ended {
                    entries.push((ended, format!("  attempt {number} at server {}: {:?}", a.server, a.end)));
                }
            }
            let regret = request.regret.map_or(String::new(), |r| format!("; at that moment: {r:?}"));
            entries.push((request.ended, format!("try {} ended: {:?}{regret}", request.number, request.end)));
            // Finds the sidecar's own number of this request: the first request that its module received at the
            // time of sending, with a tolerance of 1.5 ms.
            let log = log.borrow();
            let (sent, sidecar) = (request.sent, arrival.sidecar);
            let is_this_request = |e: &&TraceEntry| {
                e.1 == sidecar
                    && e.3.starts_with("told: request")
                    && (simulation_time_ms(e.0) - sent).abs() < REQUEST_TIME_TOLERANCE_MS
            };
            if let Some((.., request_number, _)) = log.iter().find(is_this_request) {
                for (at, .., what) in log.iter().filter(|e| e.1 == sidecar && e.2 == *request_number) {
                    entries.push((simulation_time_ms(*at), format!("    {what}")));
                }
            }
        }
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries.into_iter().for_each(|(at, what)| line(at, what));
        text
    })
}
