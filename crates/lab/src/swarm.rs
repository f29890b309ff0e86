//! Runs random scenarios with random faults; one that breaks a rule is shrunk to a smaller one that still does.

use crate::run::{write_file, RunOptions};
use crate::sweep::{run_tasks, Task};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roseproxy_emulator::accounting::Rule;
use roseproxy_emulator::result::broken_rules;
use roseproxy_emulator::scenario::Scenario;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// No further step of a shrink begins after this many runs.
const MAX_SHRINK_RUNS: usize = 60;
/// Smaller scenarios that a shrink runs at a time.
const SHRINK_BATCH: usize = 4;

/// A fault of a random scenario.
#[derive(Clone, Debug, PartialEq)]
struct Fault {
    kind: &'static str,
    at_s: f64,
    length_s: f64,
    /// Meaning and range depend on the kind.
    size: f64,
    /// Share of the fleet that is affected.
    part: f64,
    silent: bool,
    sidecars: bool,
}

/// A random scenario, given by the few values that are drawn and shrunk.
#[derive(Clone, Debug, PartialEq)]
pub struct RandomScenario {
    seed: u64,
    length_s: f64,
    servers: usize,
    sidecars: usize,
    /// Share of the fleet's capacity.
    load: f64,
    sockets: usize,
    probe_deep: bool,
    faults: Vec<Fault>,
}

/// Kinds of faults, each with the lowest and the highest size that is drawn.
const FAULT_KINDS: [(&str, f64, f64); 14] = [
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

impl RandomScenario {
    fn draw(seed: u64) -> RandomScenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length_s = rng.random_range(8.0..25.0_f64).round();
        let count = rng.random_range(1..=4);
        let faults = (0..count).map(|_| {
            let (kind, low, high) = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())];
            Fault {
                kind,
                at_s: (rng.random_range(0.0..length_s * 0.7) * 10.0).round() / 10.0,
                length_s: rng.random_range(1.0..length_s * 0.6).round(),
                size: ((low + (high - low) * rng.random::<f64>()) * 10.0).round() / 10.0,
                part: (rng.random_range(0.05..0.6_f64) * 100.0).round() / 100.0,
                silent: rng.random(),
                sidecars: rng.random(),
            }
        });
        let faults = faults.collect();
        RandomScenario {
            seed,
            length_s,
            servers: rng.random_range(2..=14),
            sidecars: rng.random_range(1..=9),
            load: (rng.random_range(0.15..1.3_f64) * 100.0).round() / 100.0,
            sockets: [64, 96, 256, 1024][rng.random_range(0..4)],
            probe_deep: rng.random(),
            faults,
        }
    }

    /// The scenario file.
    pub fn to_toml(&self) -> String {
        let mut text = format!(
            "name = \"swarm-{}\"\nabout = \"Found by a swarm.\"\nseed = {}\nlength_s = {:.1}\n\n[fleet]\nservers = {}\nsidecars = {}\n\n\
             [load]\nof_capacity = {:.2}\n\n[limits]\nsockets = {}\n\n[server]\nprobe_deep = {}\n",
            self.seed, self.seed, self.length_s, self.servers, self.sidecars, self.load, self.sockets, self.probe_deep
        );
        for fault in &self.faults {
            // Writing to a String cannot fail.
            let _ = write!(
                text,
                "\n[[trouble]]\nkind = \"{}\"\nat_s = {:.1}\nlen_s = {:.1}\nsize = {:.1}\npart = {:.2}\nsilent = {}\nsidecars = {}\n",
                fault.kind, fault.at_s, fault.length_s, fault.size, fault.part, fault.silent, fault.sidecars
            );
        }
        text
    }

    /// All scenarios that are smaller by one step.
    fn smaller_variants(&self) -> Vec<RandomScenario> {
        let mut all: Vec<RandomScenario> = (0..self.faults.len())
            .map(|n| {
                let mut variant = self.clone();
                variant.faults.remove(n);
                variant
            })
            .collect();
        let mut push = |fits: bool, change: &dyn Fn(&mut RandomScenario)| {
            let mut variant = self.clone();
            change(&mut variant);
            if fits && variant != *self {
                all.push(variant);
            }
        };
        push(self.length_s > 4.0, &|r| r.length_s = (r.length_s / 2.0).ceil());
        push(self.sidecars > 1, &|r| r.sidecars /= 2);
        push(self.servers > 1, &|r| r.servers = (r.servers / 2).max(1));
        push(self.load > 0.2, &|r| r.load = (r.load * 50.0).round() / 100.0);
        for n in 0..self.faults.len() {
            push(self.faults[n].length_s > 1.0, &|r| {
                r.faults[n].length_s = (r.faults[n].length_s / 2.0).ceil()
            });
        }
        all
    }

    fn task(&self) -> Result<Task, String> {
        let scenario = Scenario::parse("a random scenario", &self.to_toml()).map_err(|e| e.to_string())?;
        Ok(Task { variant: "swarm".into(), scenario, seed: self.seed, options: RunOptions::default() })
    }
}

/// Runs scenarios and returns the rules that each of them broke.
fn rules_broken_by(
    scenarios: &[RandomScenario],
    threads: Option<usize>,
) -> Result<Vec<BTreeSet<Rule>>, String> {
    let tasks = scenarios.iter().map(RandomScenario::task).collect::<Result<Vec<_>, _>>()?;
    let completed = run_tasks(&tasks, threads);
    let rules = completed.into_iter().zip(scenarios).map(|(run, scenario)| match run {
        Ok(run) => Ok(broken_rules(&run.outcome)),
        Err(e) => Err(format!("seed {}: {e}", scenario.seed)),
    });
    rules.collect()
}

/// Shrinks a scenario step by step while it still breaks one of the given rules.
fn shrink(original: &RandomScenario, rules: &BTreeSet<Rule>) -> Result<RandomScenario, String> {
    let (mut best, mut runs) = (original.clone(), 0);
    'next_step: while runs < MAX_SHRINK_RUNS {
        let smaller = best.smaller_variants();
        for batch in smaller.chunks(SHRINK_BATCH) {
            runs += batch.len();
            let broken = rules_broken_by(batch, None)?;
            if let Some(at) = broken.iter().position(|b| !b.is_disjoint(rules)) {
                best = batch[at].clone();
                continue 'next_step;
            }
        }
        break;
    }
    Ok(best)
}

/// Runs a number of random scenarios; those that break a rule are shrunk and written as scenario files. Returns a
/// summary, and how many scenarios broke a rule.
pub fn run_swarm(first: u64, seeds: u64, out: &Path) -> Result<(String, usize), String> {
    let scenarios: Vec<RandomScenario> = (first..first + seeds).map(RandomScenario::draw).collect();
    let broken = rules_broken_by(&scenarios, None)?;
    let mut text = String::new();
    let mut failing = 0;
    for (random, rules) in scenarios.iter().zip(&broken).filter(|(_, rules)| !rules.is_empty()) {
        failing += 1;
        let small = shrink(random, rules)?;
        let file = out.join(format!("swarm-{}.toml", random.seed));
        write_file(&file, &small.to_toml())?;
        let names: Vec<String> = rules.iter().map(ToString::to_string).collect();
        let _ = writeln!(
            text,
            "seed {}: {}; smallest scenario with {} faults, {} s, {} servers, {} sidecars: {}",
            random.seed,
            names.join(", "),
            small.faults.len(),
            small.length_s,
            small.servers,
            small.sidecars,
            file.display()
        );
    }
    let _ = writeln!(text, "{seeds} random scenarios from seed {first}: {failing} broke a rule");
    Ok((text, failing))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn random_scenarios_and_their_smaller_variants_are_valid() {
        for seed in 0..50 {
            let random = RandomScenario::draw(seed);
            assert!(random.task().is_ok(), "{}", random.to_toml());
            for variant in random.smaller_variants() {
                assert!(variant.task().is_ok(), "{}", variant.to_toml());
            }
        }
    }
}
