//! The adapter program: its replies, restarts of instances, and its errors on malformed input. Guards against changes
//! of the text protocol on its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"azs": ["east", "west"], "discovery": "pushed", "fleet_size": 3, "locality": "east",
"future_key": {"x": [1]}, "limits": {"cancel": true, "max_attempts": 4, "max_retry_after": 0, "probes": false,
"retry_after": false, "second_copies": false}, "me": 0, "obligations": {"cold_from": 0.3, "fall_multiple": 2.5,
"grace_to_answer": 20000, "warm_up": 9000000}, "prices": {"probe": 0.002}, "report": {"how": "inline",
"names": ["waiting", "active"]}, "request_classes": [{"aim": 300000, "effect": "retryable", "give_up": 1200000,
"group": "all", "name": "get", "window": 0, "worth": 1.0}, {"aim": 300000, "effect": "fragile",
"give_up": 1200000, "name": "put", "worth": 2.0}], "scoring_mix": {"worst_class": 0.3}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_roseproxy-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading early, so a broken pipe is not a failure.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The messages that start an instance with one backend on its list.
fn start_messages(agent: &str) -> String {
    let settings = SETTINGS.replace('\n', " ");
    format!("AT {agent}\nSTART 7 {settings}\nDEFINE_LIST 0 1\nENTRY 1 - big backend_a 0 east U\nDISCOVERY 0 C 41\n")
}

/// Runs the adapter on valid input, and returns its standard output.
fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

/// Checks that the input is rejected at `line` with `reason`, and that nothing is printed on standard output for its
/// batch.
fn check_error(input: &str, line: usize, reason: &str) {
    let output = run(input);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "accepted: {input}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains(&format!("line {line}:")) && error.contains(reason), "{error}");
    assert!(output.stdout.is_empty(), "{}", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn empty_batches_and_empty_input_are_accepted() {
    assert_eq!(replies("TICK 8412250 1\nCOMMIT\nTICK 8412260 2\nCOMMIT\n"), "READY 1\nREADY 2\n");
    assert_eq!(replies(""), "");
}

#[test]
fn a_request_is_forwarded_and_ends_with_its_attempt() {
    let input = format!(
        "TICK 100 1\n{}WORK_ITEM 1462377798865348 1 put 12000 acct/kd 240000 -\nCOMMIT\n\
         TICK 20000 2\nAT agent_3\nATTEMPT_END 1462377798865348 0 backend_a pass 18500 1 0,2\nCOMMIT\n",
        start_messages("agent_3")
    );
    let expected = "INSTANCE agent_3\nFORWARD 1462377798865348 backend_a -\nREADY 1\nREADY 2\n";
    assert_eq!(replies(&input), expected);
}

#[test]
fn orders_of_a_killed_instance_are_dropped() {
    let work = "WORK_ITEM 5 0 put 0 - 240000 -\n";
    let killed = format!("{}{work}KILL\n", start_messages("agent_1"));
    assert_eq!(replies(&format!("TICK 100 1\n{killed}COMMIT\n")), "READY 1\n");
    let restarted =
        format!("TICK 100 1\n{killed}{}WORK_ITEM 6 0 put 0 - 240000 -\nCOMMIT\n", start_messages("agent_1"));
    assert_eq!(replies(&restarted), "INSTANCE agent_1\nFORWARD 6 backend_a -\nREADY 1\n");
}

#[test]
fn a_list_number_can_be_redefined_within_a_batch() {
    let input = format!(
        "TICK 100 1\n{}DEFINE_LIST 0 2\nENTRY 1 - big backend_a 0 east L\nENTRY 1 50 big backend_b 1 west U\n\
         DISCOVERY 0 D 42\nWORK_ITEM 9 0 put 0 - 240000 -\nCOMMIT\n",
        start_messages("agent_2")
    );
    assert_eq!(replies(&input), "INSTANCE agent_2\nFORWARD 9 backend_b -\nREADY 1\n");
}

#[test]
fn messages_of_peers_are_ignored() {
    let input = format!("TICK 100 1\n{}NEIGHBOUR_SAYS 1 aGkgNw==\nCOMMIT\n", start_messages("agent_2"));
    assert_eq!(replies(&input), "READY 1\n");
}

#[test]
fn malformed_input_is_rejected_with_line_and_reason() {
    check_error("HELLO\n", 1, "unknown message");
    check_error("COMMIT\n", 1, "outside of a batch");
    check_error("TICK 1\n", 1, "index is missing");
    check_error("TICK one 1\n", 1, "clock is not a valid number");
    check_error("TICK 1 1\nTICK 2 2\n", 2, "inside of a batch");
    check_error("TICK 1 1\nAT agent_1\n", 3, "ends inside of a batch");
    check_error("TICK 1 1\nAT agent_1\nEXPIRED 4\n", 3, "never started");
    check_error("TICK 1 1\nAT agent_1\nSTART 7 {nonsense\n", 3, "not JSON");
    check_error("TICK 1 1\nAT agent_1\nSTART 7 {}\n", 3, "settings lack limits");
    check_error("TICK 1 1\nAT agent_1\nSTART x {}\n", 3, "rng_seed");
    let started = format!("TICK 1 1\n{}", start_messages("agent_1"));
    check_error(&format!("{started}DISCOVERY 4 F 1\n"), 7, "never defined");
    check_error(&format!("{started}DISCOVERY 16 F 1\n"), 7, "no valid list number");
    check_error(&format!("{started}DEFINE_LIST 1 1\nCOMMIT\n"), 8, "fewer entries");
    check_error(&format!("{started}ENTRY 1 - big backend_b 0 east U\n"), 7, "outside of a list");
    check_error(&format!("{started}WORK_ITEM 9 0 other 0 - 240000 -\n"), 7, "unknown class");
    check_error(&format!("{started}WORK_ITEM 9 0 get 0 - soon -\n"), 7, "time_left is not a valid number");
    check_error(&format!("{started}WORK_ITEM 9 0 get 0 -\n"), 7, "time_left is missing");
    check_error(&format!("{started}ATTEMPT_END 9 0 backend_a odd 1 1 -\n"), 7, "unknown status");
    check_error(&format!("{started}ATTEMPT_END 9 0 backend_a pass 1 2 -\n"), 7, "neither 0 nor 1");
    check_error(&format!("{started}ATTEMPT_END 9 0 backend_a pass 1 1 3\n"), 7, "missing in stats");
    check_error(&format!("{started}ALARM x\n"), 7, "key_back");
}
