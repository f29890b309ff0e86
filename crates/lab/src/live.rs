//! Live table of a scenario that runs on real sockets: a row per second, and a progress bar.

use indicatif::{ProgressBar, ProgressStyle};
use roseproxy_emulator::accounting::TryEnd;
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::simulation::Simulation;
use std::rc::Rc;

/// Prints the live table and the progress bar.
pub struct LiveTable {
    bar: ProgressBar,
}

impl Default for LiveTable {
    fn default() -> LiveTable {
        let bar = ProgressBar::new(0);
        let style = ProgressStyle::with_template("{elapsed_precise} [{bar:30}] {msg}");
        if let Ok(style) = style {
            bar.set_style(style.progress_chars("=> "));
        }
        LiveTable { bar }
    }
}

impl LiveTable {
    /// Prints a row each second, until the future is dropped.
    pub async fn show<F: Fabric>(self, simulation: Rc<Simulation<F>>) {
        let print = |text: String| {
            if self.bar.is_hidden() {
                eprintln!("{text}");
            } else {
                self.bar.println(text);
            }
        };
        self.bar.set_length(simulation.schedule.scenario.length_s as u64);
        print("   s   tries/s   served  refused   failed   p50 ms   p99 ms   held by server".into());
        let mut tries_seen = 0;
        for second in 1.. {
            simulation.sleep_until(simulation.simulation_time(second as f64 * 1e3)).await;
            let row = {
                let accounting = simulation.accounting.borrow();
                let (mut served, mut refused, mut failed) = (0, 0, 0);
                let mut latencies_ms = Vec::new();
                // Counts the tries that ended within the last second; open tries are in none of the columns. Only tries
                // sent within the last 4 s are looked at.
                let from = simulation.simulation_time(second as f64 * 1e3 - 2_000.0);
                let recent = accounting.tries.iter().rev().take_while(|t| t.sent >= from - 2_000.0);
                for request in recent.filter(|t| t.ended >= from + 1_000.0) {
                    match request.end {
                        TryEnd::Served => {
                            served += 1;
                            latencies_ms.push(request.ended - request.sent);
                        }
                        TryEnd::Refused(_) => refused += 1,
                        TryEnd::Open => {}
                        _ => failed += 1,
                    }
                }
                latencies_ms.sort_by(f64::total_cmp);
                let quantile = |q: f64| {
                    latencies_ms.get((latencies_ms.len() as f64 * q) as usize).copied().unwrap_or(0.0)
                };
                let tries = accounting.tries.len() - tries_seen;
                tries_seen = accounting.tries.len();
                let held: Vec<String> = simulation
                    .members()
                    .iter()
                    .map(|m| if m.in_service() { m.model.borrow().held().to_string() } else { "-".into() })
                    .collect();
                format!(
                    "{second:4} {tries:9} {served:8} {refused:8} {failed:8} {:8.0} {:8.0}   {}",
                    quantile(0.5),
                    quantile(0.99),
                    held.join(" ")
                )
            };
            print(row);
            self.bar.set_position(second);
        }
    }
}
