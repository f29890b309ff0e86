//! Tests of scale experiments: their files, counts in virtual time, and hollow sidecars on sockets.

use roseproxy_lab::scale::{fit, Audit, Convergence, Experiment, Rule};
use serde_json::Value;
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

/// Runs an experiment given as text; returns the program's output and the content of `result.json`.
fn run_scale(text: &str, more: &[&str]) -> (Output, Value) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("experiment.toml").display().to_string();
    let out = folder.path().join("out").display().to_string();
    std::fs::write(&file, text).expect("written");
    let output = lab(&[&["scale", &file, "--out", &out], more].concat());
    let result = std::fs::read_to_string(format!("{out}/result.json")).unwrap_or_else(|_| "null".into());
    (output, serde_json::from_str(&result).expect("JSON"))
}

/// Runs a small fleet in virtual time and returns its figures; the program must exit successfully.
fn run_small_fleet(more: &str) -> Value {
    let text = format!(
        "name = 'small'\nlength_s = 80\n[fleet]\nservers = 24\nsidecars = 60\n[calls]\nper_s = 60\n{more}"
    );
    let (output, result) = run_scale(&text, &["--virtual"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    result["points"][0]["figures"].clone()
}

fn number(value: &Value, path: &str) -> f64 {
    let found = path.split('.').fold(value, |at, key| &at[key]);
    found.as_f64().unwrap_or_else(|| panic!("no figure {path}"))
}

#[test]
fn an_invalid_experiment_exits_with_2_and_names_file_and_key() {
    let cases = [
        ("name = 'a'\nlength_s = 5\n[fleet]\nsidecras = 5\n", "sidecras"),
        ("name = 'a'\nlength_s = 5\n[fleet]\nsidecars = 0\n", "fleet.sidecars"),
        ("name = 'a'\nlength_s = 5\n[fleet]\nsidecars = 5\nreal = 6\n", "fleet.real"),
        (
            "name = 'a'\nlength_s = 5\n[[fault]]\nkind = 'region-cut'\nat_s = 1\nregion = 9\n",
            "fault 1: region",
        ),
        ("name = 'a'\nlength_s = 5\n[[sweep]]\nkey = 'fleet.srvers'\nvalues = [1]\n", "srvers"),
        ("name = 'a'\nlength_s = 5\n[[sweep]]\nkey = 'calls.per_s'\nvalues = [1, -1]\n", "calls.per_s"),
    ];
    for (text, key) in cases {
        let (output, _) = run_scale(text, &["--virtual"]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}: {error}");
        assert!(error.contains("experiment.toml") && error.contains(key), "{key} in {error}");
    }
}

#[test]
fn shipped_experiments_are_valid() {
    let mut read = 0;
    for entry in std::fs::read_dir(root().join("lab/experiments")).expect("the folder").flatten() {
        if entry.file_name().to_string_lossy().starts_with("scale") {
            Experiment::load(&entry.path()).expect("an experiment");
            read += 1;
        }
    }
    assert!(read > 0);
}

#[test]
fn equal_files_give_equal_results_in_virtual_time() {
    let text = "name = 'a'\nlength_s = 20\n[fleet]\nservers = 10\nsidecars = 20\n[calls]\nper_s = 40\n\
                [[fault]]\nkind = 'restart-all'\nat_s = 5\n";
    let first = run_scale(text, &["--virtual"]).1;
    assert_eq!(first, run_scale(text, &["--virtual"]).1);
    assert!(number(&first["points"][0]["figures"], "fault.calls.served") > 200.0);
}

/// While discovery is away no sidecar watches it, all watch again once it is back, and no call fails.
#[test]
fn an_outage_of_discovery_ends_all_watches_and_fails_no_call() {
    let figures = run_small_fleet("[[fault]]\nkind = 'discovery-away'\nat_s = 10\nlen_s = 8\n");
    assert_eq!(number(&figures["seconds"][14], "watching"), 0.0);
    assert_eq!(number(&figures["seconds"][79], "watching"), 60.0);
    assert_eq!(number(&figures, "fault.in_force.not_told"), 0.0);
    assert!(number(&figures, "fault.watching.all_s") > 0.0);
    assert!(number(&figures, "fault.discovery.watches") >= 60.0);
    assert_eq!(number(&figures, "fault.calls.failed"), 0.0);
    assert_eq!(figures["violation_counts"], serde_json::json!({}));
}

#[test]
fn sidecars_restarted_together_call_discovery_once_each() {
    let figures = run_small_fleet("[[fault]]\nkind = 'restart-all'\nat_s = 10\n");
    assert_eq!(number(&figures, "fault.discovery.watches"), 60.0);
    assert_eq!(number(&figures, "fault.discovery.lists"), 0.0);
    assert_eq!(figures["violation_counts"], serde_json::json!({}));
}

/// One of three regions holds a third of the sidecars; they lose their watches while it is cut off.
#[test]
fn a_region_that_is_cut_off_loses_and_regains_its_watches() {
    let figures = run_small_fleet("[[fault]]\nkind = 'region-cut'\nat_s = 10\nlen_s = 20\n");
    let during = number(&figures["seconds"][25], "watching");
    assert!((30.0..50.0).contains(&during), "{during}");
    assert_eq!(number(&figures["seconds"][79], "watching"), 60.0);
    // One change when the cut is noticed, a marker in its middle, one change at its end, and those of the usual rate.
    assert!(number(&figures, "fault.in_force.changes") >= 3.0);
    assert_eq!(number(&figures, "fault.in_force.not_told"), 0.0);
}

#[test]
fn changes_are_published_at_their_rate_and_reach_all_sidecars() {
    let figures =
        run_small_fleet("[changes]\nper_day = 8640\n[[fault]]\nkind = 'changes'\nat_s = 10\nlen_s = 60\n");
    // One change in ten seconds, and ten times that rate for a minute.
    let changes = number(&figures, "fault.in_force.changes");
    assert!((56.0..=64.0).contains(&changes), "{changes}");
    assert_eq!(number(&figures, "fault.in_force.not_told"), 0.0);
    assert_eq!(figures["violation_counts"], serde_json::json!({}));
}

#[test]
fn a_sweep_gives_slopes_and_exponents() {
    let text = "name = 'a'\nlength_s = 12\n[fleet]\nservers = 10\nsidecars = 10\n[calls]\nper_s = 20\n\
                [[sweep]]\nkey = 'calls.per_s'\nvalues = [20, 40, 80]\n";
    let (output, result) = run_scale(text, &["--virtual"]);
    let fit = &result["fits"]["calls.per_s"]["quiet.per_sidecar.attempts_per_s"];
    // Ten sidecars: each has a tenth of the calls per second.
    assert!((number(fit, "slope") - 0.1).abs() < 0.01, "{fit}");
    assert!((number(fit, "exponent") - 1.0).abs() < 0.1, "{fit}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("By calls.per_s"));
}

/// Hollow sidecars in worker processes serve calls on sockets.
#[test]
fn hollow_sidecars_serve_on_sockets() {
    let text =
        "name = 'a'\nlength_s = 6\n[fleet]\nservers = 5\nsidecars = 6\nworkers = 2\n[calls]\nper_s = 30\n\
                [[fault]]\nkind = 'restart-all'\nat_s = 2\n";
    // No sidecar is real: any existing program is accepted.
    let (output, result) = run_scale(text, &["--program", env!("CARGO_BIN_EXE_roseproxy-lab")]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let figures = &result["points"][0]["figures"];
    assert!(number(figures, "quiet.calls.served") > 20.0, "{figures}");
    assert_eq!(number(figures, "fault.discovery.watches"), 6.0);
}

#[test]
fn fits_recover_a_line_and_a_power_law() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("three points");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9, "{line:?}");
    assert!(line.residuals.iter().all(|r| r.abs() < 1e-9) && (line.r_squared - 1.0).abs() < 1e-9);
    let power = fit(&[(1.0, 3.0), (2.0, 12.0), (4.0, 48.0)]).expect("three points");
    assert!((power.exponent.expect("all are above 0") - 2.0).abs() < 1e-9, "{power:?}");
    assert!(power.r_squared < 1.0 && fit(&[(1.0, 0.0), (2.0, 1.0)]).expect("two points").exponent.is_none());
    assert_eq!(fit(&[(1.0, 5.0), (1.0, 6.0)]), None, "the variable does not vary");
}

#[test]
fn a_sidecar_told_of_a_revision_is_told_of_all_earlier_ones() {
    let mut convergence = Convergence::new(4);
    convergence.record_published(1_000.0, 2);
    convergence.record_published(2_000.0, 3);
    convergence.record_told(3_000.0, 0, 2);
    convergence.record_told(4_000.0, 0, 3);
    convergence.record_told(6_000.0, 1, 3);
    let spread = convergence.spread(0.0, 10_000.0, 0.0);
    assert_eq!((spread.changes, spread.not_told, spread.last_s), (2.0, 4.0, 5.0));
    // For a change published before discovery could be reached, the time counts from then.
    assert_eq!(convergence.spread(0.0, 10_000.0, 5_500.0).last_s, 0.5);
    assert_eq!(convergence.spread(1_500.0, 10_000.0, 0.0).changes, 1.0);
}

/// The rules that an audit finds broken, with their counts.
fn violations(observe: impl Fn(&mut Audit)) -> Vec<(String, u64)> {
    let (experiment, _) = Experiment::parse("name = 'a'\nlength_s = 5\n").expect("an experiment");
    let mut audit = Audit::new(&experiment);
    observe(&mut audit);
    audit.violation_counts().iter().map(|(rule, count)| (rule.clone(), *count)).collect()
}

#[test]
fn attempts_that_break_a_rule_are_counted() {
    let broken = |rule: Rule, count| vec![(format!("{rule:?}"), count)];
    assert_eq!(violations(|a| a.attempt_received(0.0, 1, 0)), broken(Rule::UnknownRequest, 1));
    let attempt_after_end = |gap: f64| {
        violations(move |a| {
            a.request_sent(1, 0, true);
            a.request_ended(1_000.0, 1);
            a.attempt_received(1_000.0 + gap, 1, 0);
        })
    };
    assert_eq!(attempt_after_end(100.0), []);
    assert_eq!(attempt_after_end(1_000.0), broken(Rule::UnknownRequest, 1));
    let attempts = |safe: bool, count: usize| {
        violations(move |a| {
            a.request_sent(1, 0, safe);
            (0..count).for_each(|n| a.attempt_received(n as f64, 1, n));
        })
    };
    assert_eq!(attempts(true, 3), []);
    assert_eq!(attempts(true, 4), broken(Rule::TooManyAttempts, 1));
    assert_eq!(attempts(false, 2), broken(Rule::SecondRun, 1));
    let draining = |after: f64, back: bool| {
        violations(move |a| {
            a.request_sent(1, 0, true);
            a.server_state_told(0.0, 0, 7, false);
            if back {
                a.server_state_told(1.0, 0, 7, true);
            }
            a.attempt_received(after, 1, 7);
        })
    };
    assert_eq!(draining(1_000.0, false), []);
    assert_eq!(draining(2_000.0, true), []);
    assert_eq!(draining(2_000.0, false), broken(Rule::SentToDraining, 1));
}
