//! Limits on the policy file itself: its length, and what it may mention.

const POLICY: &str = include_str!("../src/policy.rs");

#[test]
fn the_policy_stays_one_readable_file() {
    let lines = POLICY.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 640, "{lines} lines that are not blank");
    for (number, line) in POLICY.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", number + 1);
    }
    assert!(
        POLICY.lines().take(5).any(|l| l.contains("interface.rs")),
        "the first lines do not name interface.rs"
    );
}

#[test]
fn the_policy_mentions_no_deployment_and_no_system_interface() {
    let lower = POLICY.to_lowercase();
    // Deployments, customers, zones, classes, machine kinds, words of the simulator, and system interfaces.
    let names = "lagring nord similarity-checks athens thumbs spillagring papadakis clyde oslo bergen trondheim \
        hall- kifisia peristeri load-save add-items trade-items view-report match-detail submit-doc flag-review \
        cover-set quad- dual-std fast-six slow-five backend_ agent_ std::env std::fs std::net std::time \
        instant:: systemtime static thread println unwrap( expect( panic! unreachable!";
    for name in names.split_whitespace() {
        assert!(!lower.contains(name), "policy.rs mentions {name}");
    }
}
