//! Random days with random faults; one that breaks a rule is shrunk to the smallest that still does.

use crate::run::{write, How};
use crate::sweep::{play_all, Task};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roseproxy_emulator::day::Day;
use roseproxy_emulator::ledger::Rule;
use roseproxy_emulator::result::broken_rules;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// Plays for one shrink at most.
const SHRINKS: usize = 60;

/// A fault in a random day.
#[derive(Clone, Debug, PartialEq)]
struct Fault {
    kind: &'static str,
    at: f64,
    length: f64,
    size: f64,
    part: f64,
    silent: bool,
    sidecars: bool,
}

/// A random day, small enough to be varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Random {
    seed: u64,
    length: f64,
    servers: usize,
    sidecars: usize,
    load: f64,
    sockets: usize,
    deep: bool,
    faults: Vec<Fault>,
}

const KINDS: [(&str, f64, f64); 14] = [
    ("burst", 1.3, 3.0),
    ("pauses", 50.0, 900.0),
    ("zone-loss", 1.0, 1.0),
    ("shrink", 1.0, 1.0),
    ("stale", 1.0, 9.0),
    ("discovery-down", 1.0, 1.0),
    ("churn", 6.0, 60.0),
    ("rude", 1.0, 25.0),
    ("garble", 1.0, 1.0),
    ("reload", 1.0, 4.0),
    ("restart", 1.0, 1.0),
    ("kill", 0.2, 3.0),
    ("servers-restart", 1.0, 1.0),
    ("slow", 2.0, 6.0),
];

impl Random {
    fn draw(seed: u64) -> Random {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = rng.random_range(8.0..25.0_f64).round();
        let count = rng.random_range(1..=4);
        let faults = (0..count).map(|_| {
            let (kind, low, high) = KINDS[rng.random_range(0..KINDS.len())];
            Fault {
                kind,
                at: (rng.random_range(0.0..length * 0.7) * 10.0).round() / 10.0,
                length: rng.random_range(1.0..length * 0.6).round(),
                size: ((low + (high - low) * rng.random::<f64>()) * 10.0).round() / 10.0,
                part: (rng.random_range(0.05..0.6_f64) * 100.0).round() / 100.0,
                silent: rng.random(),
                sidecars: rng.random(),
            }
        });
        let faults = faults.collect();
        Random {
            seed,
            length,
            servers: rng.random_range(2..=14),
            sidecars: rng.random_range(1..=9),
            load: (rng.random_range(0.15..1.3_f64) * 100.0).round() / 100.0,
            sockets: [64, 96, 256, 1024][rng.random_range(0..4)],
            deep: rng.random(),
            faults,
        }
    }

    /// The day's file.
    pub fn text(&self) -> String {
        let mut text = format!(
            "name = \"swarm-{}\"\nabout = \"Found by a swarm.\"\nseed = {}\nlength_s = {:.1}\n\n[fleet]\nservers = {}\nsidecars = {}\n\n\
             [load]\nof_capacity = {:.2}\n\n[limits]\nsockets = {}\n\n[server]\nprobe_deep = {}\n",
            self.seed, self.seed, self.length, self.servers, self.sidecars, self.load, self.sockets, self.deep
        );
        for f in &self.faults {
            // Writing to a text cannot fail.
            let _ = write!(
                text,
                "\n[[trouble]]\nkind = \"{}\"\nat_s = {:.1}\nlen_s = {:.1}\nsize = {:.1}\npart = {:.2}\nsilent = {}\nsidecars = {}\n",
                f.kind, f.at, f.length, f.size, f.part, f.silent, f.sidecars
            );
        }
        text
    }

    /// Every day that is a step smaller.
    fn smaller(&self) -> Vec<Random> {
        let mut all: Vec<Random> = (0..self.faults.len())
            .map(|n| {
                let mut less = self.clone();
                less.faults.remove(n);
                less
            })
            .collect();
        let mut push = |fits: bool, change: &dyn Fn(&mut Random)| {
            let mut less = self.clone();
            change(&mut less);
            if fits && less != *self {
                all.push(less);
            }
        };
        push(self.length > 4.0, &|r| r.length = (r.length / 2.0).ceil());
        push(self.sidecars > 1, &|r| r.sidecars /= 2);
        push(self.servers > 1, &|r| r.servers = (r.servers / 2).max(1));
        push(self.load > 0.2, &|r| r.load = (r.load * 50.0).round() / 100.0);
        for n in 0..self.faults.len() {
            push(self.faults[n].length > 1.0, &|r| r.faults[n].length = (r.faults[n].length / 2.0).ceil());
        }
        all
    }

    fn task(&self) -> Result<Task, String> {
        let day = Day::parse("a random day", &self.text()).map_err(|e| e.to_string())?;
        Ok(Task { variant: "swarm".into(), day, seed: self.seed, how: How::default() })
    }
}

fn rules(randoms: &[Random], threads: Option<usize>) -> Result<Vec<BTreeSet<Rule>>, String> {
    let tasks = randoms.iter().map(Random::task).collect::<Result<Vec<_>, _>>()?;
    let played = play_all(&tasks, threads);
    let rules = played.into_iter().zip(randoms).map(|(p, r)| match p {
        Ok(p) => Ok(broken_rules(&p.outcome)),
        Err(e) => Err(format!("seed {}: {e}", r.seed)),
    });
    rules.collect()
}

/// The smallest day found that still breaks one of these rules.
fn shrink(from: &Random, wanted: &BTreeSet<Rule>) -> Result<Random, String> {
    let (mut best, mut played) = (from.clone(), 0);
    'again: while played < SHRINKS {
        let smaller = best.smaller();
        for some in smaller.chunks(4) {
            played += some.len();
            let broken = rules(some, None)?;
            if let Some(at) = broken.iter().position(|b| !b.is_disjoint(wanted)) {
                best = some[at].clone();
                continue 'again;
            }
        }
        break;
    }
    Ok(best)
}

/// Plays so many random days; failing ones are shrunk and written as day files. Returns what was found,
/// in words, and how many days broke a rule.
pub fn swarm(first: u64, seeds: u64, out: &Path) -> Result<(String, usize), String> {
    let all: Vec<Random> = (first..first + seeds).map(Random::draw).collect();
    let broken = rules(&all, None)?;
    let mut text = String::new();
    let mut found = 0;
    for (random, rules) in all.iter().zip(&broken).filter(|(_, rules)| !rules.is_empty()) {
        found += 1;
        let small = shrink(random, rules)?;
        let file = out.join(format!("swarm-{}.toml", random.seed));
        write(&file, &small.text())?;
        let names: Vec<String> = rules.iter().map(ToString::to_string).collect();
        let _ = writeln!(
            text,
            "seed {}: {}; smallest day with {} troubles, {} s, {} servers, {} sidecars: {}",
            random.seed,
            names.join(", "),
            small.faults.len(),
            small.length,
            small.servers,
            small.sidecars,
            file.display()
        );
    }
    let _ = writeln!(text, "{seeds} random days from seed {first}: {found} broke a rule");
    Ok((text, found))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn random_days_can_be_read_and_get_smaller() {
        for seed in 0..50 {
            let random = Random::draw(seed);
            assert!(random.task().is_ok(), "{}", random.text());
            for less in random.smaller() {
                assert!(less.task().is_ok(), "{}", less.text());
            }
        }
    }
}
