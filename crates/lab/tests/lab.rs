//! Tests of the `roseproxy-lab` command line.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_roseproxy-lab"))
        .args(args)
        .current_dir(root())
        .output()
        .expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn folder() -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("out").display().to_string();
    (folder, path)
}

/// Writes a scenario of 6 s, so that the tests are fast.
fn short_scenario(folder: &Path, more: &str) -> String {
    let file = folder.join("day.toml");
    std::fs::write(&file, format!("name = 'short'\nlength_s = 6\n{more}")).expect("written");
    file.display().to_string()
}

#[test]
fn equal_seeds_give_equal_bytes_and_different_seeds_differ() {
    let (folder, out) = folder();
    let scenario = short_scenario(
        folder.path(),
        "[[trouble]]\nkind = 'zone-loss'\nat_s = 1\nlen_s = 2\nsidecars = true\n",
    );
    let result = |seed: &str, name: &str| {
        let out = format!("{out}/{name}");
        let output = lab(&["run", &scenario, "--seed", seed, "--out", &out]);
        assert!(output.status.success(), "{}{}", text(&output.stdout), text(&output.stderr));
        let read = |file: &str| std::fs::read_to_string(format!("{out}/{file}")).expect(file);
        (read("result.json"), read("series.csv"))
    };
    let (a, b, c) = (result("1", "a"), result("1", "b"), result("2", "c"));
    assert_eq!(a, b);
    assert_ne!(a.0, c.0);
    let value: serde_json::Value = serde_json::from_str(&a.0).expect("JSON");
    for key in ["service", "worst_window", "worst_class", "worst_tenant", "violations", "flows", "refusals"] {
        assert!(value.get(key).is_some(), "{key}");
    }
    assert!(value["flows"]["taken"].as_u64() > Some(100), "{}", value["flows"]);
    for file in ["report.html", "service.svg", "timing.json"] {
        assert!(Path::new(&format!("{out}/a/{file}")).exists(), "{file}");
    }
}

#[test]
fn invalid_files_exit_with_2_and_name_the_fault() {
    let (folder, out) = folder();
    let scenario = short_scenario(folder.path(), "[load]\nof_capcity = 0.3\n");
    let output = lab(&["run", &scenario, "--out", &out]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("of_capcity"), "{}", text(&output.stderr));
    assert_eq!(lab(&["run", "no-such-day.toml", "--out", &out]).status.code(), Some(2));
    assert_eq!(lab(&["compare", &out, &out]).status.code(), Some(2));
}

#[test]
fn a_broken_rule_exits_with_1() {
    let (folder, out) = folder();
    // A baseline strategy does not know about cold servers and overloads them.
    let more = "seed = 3\n[fleet]\nservers = 4\nsidecars = 2\n[load]\nof_capacity = 0.9\n[[trouble]]\nkind = 'servers-restart'\nat_s = 1\n";
    let scenario = short_scenario(folder.path(), more);
    let output = lab(&["run", &scenario, "--strategy", "prequal", "--out", &out]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    assert!(text(&output.stdout).contains("BROKEN PushedOver"), "{}", text(&output.stdout));
}

/// A server that is down when it is drained has no next event; its model must not wake up without an end.
#[test]
fn a_scenario_ends_that_drains_servers_that_are_down() {
    let (folder, out) = folder();
    let loss = "[[trouble]]\nkind = 'zone-loss'\nat_s = 0.5\nlen_s = 5\nsilent = false\n";
    let drains = "[[trouble]]\nkind = 'shrink'\nat_s = 3.5\nlen_s = 2\npart = 0.6\n";
    let scenario = short_scenario(folder.path(), &format!("{loss}{drains}"));
    let output = lab(&["run", &scenario, "--out", &out]);
    assert_ne!(output.status.code(), Some(2), "{}", text(&output.stderr));
}

#[test]
fn scenarios_found_by_a_swarm_break_no_rule_any_more() {
    for entry in std::fs::read_dir(root().join("lab/found")).expect("the folder").flatten() {
        let (_folder, out) = folder();
        let output = lab(&["run", &entry.path().display().to_string(), "--out", &out]);
        assert!(output.status.success(), "{}: {}", entry.path().display(), text(&output.stdout));
    }
}

/// Guards against repeated keyed writes and unanswered flows when faults overlap: servers that go silent and come
/// back cold, slow servers, killed and restarted sidecars, and a drain. A keyed write must not run again on a
/// server that cannot recognize it as a repeat.
#[test]
fn keyed_requests_run_once_during_overlapping_faults() {
    let (_folder, out) = folder();
    for seed in ["1", "4"] {
        let output = lab(&["run", "lab/days/keyed-faults.toml", "--seed", seed, "--out", &out]);
        assert!(output.status.success(), "{}", text(&output.stdout));
        let result = std::fs::read_to_string(format!("{out}/result.json")).expect("a result");
        let value: serde_json::Value = serde_json::from_str(&result).expect("JSON");
        assert!(value["flows"]["taken"].as_u64() > Some(3000), "{}", value["flows"]);
    }
}

#[test]
fn claims_are_checked_against_their_bounds() {
    let folder = tempfile::tempdir().expect("a folder");
    short_scenario(folder.path(), "");
    let file = folder.path().join("claims.toml");
    let claims = |bound: f64| {
        let text = format!(
            "seeds = [1, 3]\n[[claim]]\nname = 'it serves'\nday = 'day.toml'\nmetric = 'service'\nat_least = {bound}\n\
             [[claim]]\nname = 'equal'\nday = 'day.toml'\nmetric = 'deterministic'\nstatistic = 'min'\nat_least = 1\n"
        );
        std::fs::write(&file, text).expect("written");
        lab(&["claims", &file.display().to_string(), "--seeds", "1..2"])
    };
    let met = claims(0.5);
    assert!(met.status.success() && text(&met.stdout).contains("of 2 |"), "{}", text(&met.stdout));
    let unmet = claims(1.1);
    assert_eq!(unmet.status.code(), Some(1));
    assert!(text(&unmet.stdout).contains("| NO |"), "{}", text(&unmet.stdout));
}

#[test]
fn a_sweep_writes_its_table_and_two_variants_compare() {
    let (folder, out) = folder();
    short_scenario(folder.path(), "");
    let file = folder.path().join("sweep.toml");
    let text_of = "name = 'two loads'\ndays = ['day.toml']\nseeds = [1, 3]\n[[variant]]\nname = 'low'\n\
                   [[variant]]\nname = 'high'\nset = { 'load.of_capacity' = 1.6 }\n";
    std::fs::write(&file, text_of).expect("written");
    let output = lab(&["sweep", &file.display().to_string(), "--out", &out]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(std::fs::read_to_string(format!("{out}/table.md"))
        .expect("the table")
        .contains("| short | high |"));
    let same = lab(&["compare", &format!("{out}/low"), &format!("{out}/low")]);
    assert!(text(&same.stdout).contains("cannot tell them apart"), "{}", text(&same.stdout));
    let worse = lab(&["compare", &format!("{out}/low"), &format!("{out}/high")]);
    assert!(text(&worse.stdout).contains(": lower"), "{}", text(&worse.stdout));
}

#[test]
fn trace_prints_every_step_of_a_flow() {
    let folder = tempfile::tempdir().expect("a folder");
    let scenario = short_scenario(folder.path(), "");
    let output = lab(&["trace", &scenario, "--flow", "40"]);
    let trace = text(&output.stdout);
    for part in ["flow 40:", "try 0 sent", "told: request", "drawn: send to", "came to server", "ended:"] {
        assert!(trace.contains(part), "{part} in {trace}");
    }
    assert_eq!(lab(&["trace", &scenario, "--flow", "999999"]).status.code(), Some(2));
}
