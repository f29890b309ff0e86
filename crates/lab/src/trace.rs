//! One flow's whole story: every try, send, outcome and answer, with what the decision module was told
//! and what it answered.

use crate::recorded::{Entry, Log};
use crate::strategies::Strategy;
use crate::virtual_time;
use roseproxy_decision::interface::Micros;
use roseproxy_emulator::day::Day;
use roseproxy_emulator::plan::Plan;
use std::fmt::Write;

/// The world's time (ms) of a module's.
fn world_time(at: Micros) -> f64 {
    at as f64 / 1e3 - virtual_time::EPOCH
}

/// Plays the day and tells the story of one flow.
pub fn story(day: &Day, seed: u64, strategy: Strategy, flow: usize) -> Result<String, String> {
    let plan = Plan::draw(day, seed);
    let arrivals = plan.arrivals.len();
    if flow >= arrivals {
        return Err(format!("--flow {flow}: the day has flows 0 to {}", arrivals.saturating_sub(1)));
    }
    let log = Log::default();
    virtual_time::play(plan, strategy, Some(log.clone()), |world| {
        let (plan, ledger) = (&world.schedule, world.accounting.borrow());
        let arrival = &plan.arrivals[flow];
        let mut text = String::new();
        let begin = world.scenario_start();
        let mut line = |at: f64, what: String| {
            // Writing to a text cannot fail.
            let _ = writeln!(text, "{:>12.3} ms  {what}", at - begin);
        };
        line(
            world.simulation_time(arrival.at),
            format!(
                "flow {flow}: {} of {} at sidecar {} (zone {}), work {:.0} ms, key {:?}, worth {}{}",
                plan.class(arrival).name,
                plan.scenario.tenants[arrival.tenant].name,
                arrival.sidecar,
                plan.sidecars[arrival.sidecar].zone,
                arrival.work,
                arrival.key,
                arrival.worth,
                if arrival.over_share { ", over its share" } else { "" }
            ),
        );
        let mut entries: Vec<(f64, String)> = Vec::new();
        for one in ledger.tries.iter().filter(|t| t.flow == flow) {
            entries.push((
                one.sent,
                format!("try {} sent, id {:016x}, until {:.0}", one.number, one.id, one.until - begin),
            ));
            for (number, a) in one.attempts.iter().enumerate() {
                let copy = if a.second_copy { ", a second copy" } else { "" };
                entries.push((a.came, format!("  attempt {number} came to server {}{copy}", a.server)));
                if let Some(ended) = a.ended {
                    entries.push((ended, format!("  attempt {number} at server {}: {:?}", a.server, a.end)));
                }
            }
            let regret = one.regret.map_or(String::new(), |r| format!("; at that moment: {r:?}"));
            entries.push((one.ended, format!("try {} ended: {:?}{regret}", one.number, one.end)));
            // The sidecar's own number of this request: the first it was told of at that moment.
            let log = log.borrow();
            let (sent, sidecar) = (one.sent, arrival.sidecar);
            let at_host = |e: &&Entry| {
                e.1 == sidecar && e.3.starts_with("told: request") && (world_time(e.0) - sent).abs() < 1.5
            };
            if let Some((.., request, _)) = log.iter().find(at_host) {
                for (at, .., what) in log.iter().filter(|e| e.1 == sidecar && e.2 == *request) {
                    entries.push((world_time(*at), format!("    {what}")));
                }
            }
        }
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries.into_iter().for_each(|(at, what)| line(at, what));
        text
    })
}
