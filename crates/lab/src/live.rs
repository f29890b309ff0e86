//! The live table of a day on real sockets: one line a second, and a bar for how far it is.

use indicatif::{ProgressBar, ProgressStyle};
use roseproxy_emulator::fabric::Fabric;
use roseproxy_emulator::ledger::TryEnd;
use roseproxy_emulator::world::World;
use std::rc::Rc;

pub struct Live {
    bar: ProgressBar,
}

impl Default for Live {
    fn default() -> Live {
        let bar = ProgressBar::new(0);
        let style = ProgressStyle::with_template("{elapsed_precise} [{bar:30}] {msg}");
        if let Ok(style) = style {
            bar.set_style(style.progress_chars("=> "));
        }
        Live { bar }
    }
}

impl Live {
    /// Shows a line each second, until it is dropped.
    pub async fn show<F: Fabric>(self, world: Rc<World<F>>) {
        let say = |text: String| {
            if self.bar.is_hidden() {
                eprintln!("{text}");
            } else {
                self.bar.println(text);
            }
        };
        self.bar.set_length(world.schedule.scenario.length_s as u64);
        say("   s   tries/s   served  refused   failed   p50 ms   p99 ms   held by server".into());
        let mut seen = 0;
        for second in 1.. {
            world.sleep_until(world.simulation_time(second as f64 * 1e3)).await;
            let line = {
                let ledger = world.accounting.borrow();
                let (mut served, mut refused, mut failed) = (0, 0, 0);
                let mut times = Vec::new();
                // Tries of the last second that have ended; those that have not are counted by none.
                let from = world.simulation_time(second as f64 * 1e3 - 2_000.0);
                let recent = ledger.tries.iter().rev().take_while(|t| t.sent >= from - 2_000.0);
                for one in recent.filter(|t| t.ended >= from + 1_000.0) {
                    match one.end {
                        TryEnd::Served => {
                            served += 1;
                            times.push(one.ended - one.sent);
                        }
                        TryEnd::Refused(_) => refused += 1,
                        TryEnd::Open => {}
                        _ => failed += 1,
                    }
                }
                times.sort_by(f64::total_cmp);
                let at = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or(0.0);
                let tries = ledger.tries.len() - seen;
                seen = ledger.tries.len();
                let held: Vec<String> = world
                    .members()
                    .iter()
                    .map(|m| if m.in_service() { m.model.borrow().held().to_string() } else { "-".into() })
                    .collect();
                format!(
                    "{second:4} {tries:9} {served:8} {refused:8} {failed:8} {:8.0} {:8.0}   {}",
                    at(0.5),
                    at(0.99),
                    held.join(" ")
                )
            };
            say(line);
            self.bar.set_position(second);
        }
    }
}
