//! The laboratory as its users call it.

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

/// A day that is short, so that the tests are.
fn short(folder: &Path, more: &str) -> String {
    let file = folder.join("day.toml");
    std::fs::write(&file, format!("name = 'short'\nlength_s = 6\n{more}")).expect("written");
    file.display().to_string()
}

#[test]
fn equal_seeds_give_equal_bytes_and_another_gives_others() {
    let (folder, out) = folder();
    let day = short(folder.path(), "[[trouble]]\nkind = 'zone-loss'\nat_s = 1\nlen_s = 2\nsidecars = true\n");
    let result = |seed: &str, name: &str| {
        let out = format!("{out}/{name}");
        let done = lab(&["run", &day, "--seed", seed, "--out", &out]);
        assert!(done.status.success(), "{}{}", text(&done.stdout), text(&done.stderr));
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
fn faulty_files_end_with_2_and_name_the_fault() {
    let (folder, out) = folder();
    let day = short(folder.path(), "[load]\nof_capcity = 0.3\n");
    let done = lab(&["run", &day, "--out", &out]);
    assert_eq!(done.status.code(), Some(2));
    assert!(text(&done.stderr).contains("of_capcity"), "{}", text(&done.stderr));
    assert_eq!(lab(&["run", "no-such-day.toml", "--out", &out]).status.code(), Some(2));
    assert_eq!(lab(&["compare", &out, &out]).status.code(), Some(2));
}

#[test]
fn a_broken_rule_ends_with_1() {
    let (folder, out) = folder();
    // A yardstick knows nothing of cold servers, and pushes them over.
    let more = "seed = 3\n[fleet]\nservers = 4\nsidecars = 2\n[load]\nof_capacity = 0.9\n[[trouble]]\nkind = 'servers-restart'\nat_s = 1\n";
    let day = short(folder.path(), more);
    let done = lab(&["run", &day, "--strategy", "prequal", "--out", &out]);
    assert_eq!(done.status.code(), Some(1), "{}", text(&done.stdout));
    assert!(text(&done.stdout).contains("BROKEN PushedOver"), "{}", text(&done.stdout));
}

#[test]
fn days_that_a_swarm_has_found_stay_fixed() {
    for entry in std::fs::read_dir(root().join("lab/found")).expect("the folder").flatten() {
        let (_folder, out) = folder();
        let done = lab(&["run", &entry.path().display().to_string(), "--out", &out]);
        assert!(done.status.success(), "{}: {}", entry.path().display(), text(&done.stdout));
    }
}

/// Servers that go silent and come back cold, slow ones, killed and restarted sidecars, a drain: no keyed write
/// runs again where no server would drop it, and every flow is answered.
#[test]
fn keyed_work_is_done_once_through_overlapping_faults() {
    let (_folder, out) = folder();
    for seed in ["1", "4"] {
        let done = lab(&["run", "lab/days/keyed-faults.toml", "--seed", seed, "--out", &out]);
        assert!(done.status.success(), "{}", text(&done.stdout));
        let result = std::fs::read_to_string(format!("{out}/result.json")).expect("a result");
        let value: serde_json::Value = serde_json::from_str(&result).expect("JSON");
        assert!(value["flows"]["taken"].as_u64() > Some(3000), "{}", value["flows"]);
    }
}

#[test]
fn claims_are_held_against_their_bounds() {
    let folder = tempfile::tempdir().expect("a folder");
    short(folder.path(), "");
    let file = folder.path().join("claims.toml");
    let claims = |bound: f64| {
        let text = format!(
            "seeds = [1, 3]\n[[claim]]\nname = 'it serves'\nday = 'day.toml'\nmetric = 'service'\nat_least = {bound}\n\
             [[claim]]\nname = 'equal'\nday = 'day.toml'\nmetric = 'deterministic'\nstatistic = 'min'\nat_least = 1\n"
        );
        std::fs::write(&file, text).expect("written");
        lab(&["claims", &file.display().to_string(), "--seeds", "1..2"])
    };
    let kept = claims(0.5);
    assert!(kept.status.success() && text(&kept.stdout).contains("of 2 |"), "{}", text(&kept.stdout));
    let broken = claims(1.1);
    assert_eq!(broken.status.code(), Some(1));
    assert!(text(&broken.stdout).contains("| NO |"), "{}", text(&broken.stdout));
}

#[test]
fn a_sweep_keeps_its_table_and_two_variants_compare() {
    let (folder, out) = folder();
    short(folder.path(), "");
    let file = folder.path().join("sweep.toml");
    let text_of = "name = 'two loads'\ndays = ['day.toml']\nseeds = [1, 3]\n[[variant]]\nname = 'low'\n\
                   [[variant]]\nname = 'high'\nset = { 'load.of_capacity' = 1.6 }\n";
    std::fs::write(&file, text_of).expect("written");
    let done = lab(&["sweep", &file.display().to_string(), "--out", &out]);
    assert!(done.status.success(), "{}", text(&done.stderr));
    assert!(std::fs::read_to_string(format!("{out}/table.md"))
        .expect("the table")
        .contains("| short | high |"));
    let same = lab(&["compare", &format!("{out}/low"), &format!("{out}/low")]);
    assert!(text(&same.stdout).contains("cannot tell them apart"), "{}", text(&same.stdout));
    let worse = lab(&["compare", &format!("{out}/low"), &format!("{out}/high")]);
    assert!(text(&worse.stdout).contains(": lower"), "{}", text(&worse.stdout));
}

#[test]
fn a_flow_has_its_story() {
    let folder = tempfile::tempdir().expect("a folder");
    let day = short(folder.path(), "");
    let told = lab(&["trace", &day, "--flow", "40"]);
    let story = text(&told.stdout);
    for part in ["flow 40:", "try 0 sent", "told: request", "drawn: send to", "came to server", "ended:"] {
        assert!(story.contains(part), "{part} in {story}");
    }
    assert_eq!(lab(&["trace", &day, "--flow", "999999"]).status.code(), Some(2));
}
