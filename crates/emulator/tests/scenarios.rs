//! Scenarios: the errors of a file name the faulty key, and the draws of a schedule depend only on the seed.

use proptest::prelude::*;
use roseproxy_emulator::scenario::Scenario;
use roseproxy_emulator::schedule::{hashed, lognormal_factor, Schedule};

fn error(text: &str) -> String {
    Scenario::parse("a.toml", text).expect_err("an invalid scenario").to_string()
}

#[test]
fn errors_name_the_faulty_key() {
    assert!(error("").contains("missing field `name`"));
    assert!(error("name = 'a'\nlenght_s = 5").contains("lenght_s"));
    assert!(error("name = 'a'\n[load]\nof_capacity = [0.5, 0.3]").contains("[0.5, 0.3] is no range"));
    assert!(error("name = 'a'\n[load]\nof_capacity = 'much'").contains("a number, or a range"));
    assert!(error("name = 'a'\n[[trouble]]\nkind = 'flood'").contains("flood"));
    assert!(error("name = 'a'\n[load]\nof_capacity = nan").contains("no finite number"));
}

#[test]
fn all_invalid_figures_are_reported_at_once() {
    let text = "name = ''\nlength_s = 0\n[fleet]\nservers = 0\n[limits]\nsockets = 3\n[[trouble]]\nkind = 'burst'\nzone = 9\n";
    let message = error(text);
    for key in ["name", "length_s", "fleet.servers", "limits.sockets", "trouble 1 (Burst): zone 9"] {
        assert!(message.contains(key), "{key} in {message}");
    }
}

#[test]
fn arrivals_follow_the_rate_and_the_burst() {
    let text = "name = 'a'\nlength_s = 40\n[load]\nrate = 200\nswing = 0\n[[trouble]]\nkind = 'burst'\nat_s = 20\nlen_s = 10\nsize = 2\n";
    let schedule = Schedule::draw(&Scenario::parse("a", text).expect("a valid scenario"), 1);
    let between =
        |a: f64, b: f64| schedule.arrivals.iter().filter(|x| (a..b).contains(&(x.at / 1e3))).count() as f64;
    let (calm, burst) = (between(0.0, 20.0) / 20.0, between(20.0, 30.0) / 10.0);
    assert!((calm - 200.0).abs() < 15.0 && (burst - 400.0).abs() < 30.0, "{calm} {burst}");
    assert!(schedule.arrivals.windows(2).all(|w| w[0].at <= w[1].at));
}

#[test]
fn lognormal_factors_have_mean_one() {
    let mean = (0..20_000).map(|n| lognormal_factor(0.5, hashed(1, &[n]))).sum::<f64>() / 20_000.0;
    assert!((mean - 1.0).abs() < 0.02, "{mean}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Equal seeds draw equal schedules, and an additional fault does not change the servers and arrivals.
    #[test]
    fn draws_depend_only_on_the_seed(seed in 0_u64..1000, servers in 1_usize..40) {
        let text = format!("name = 'a'\nlength_s = 2\n[fleet]\nservers = {servers}\n");
        let scenario = Scenario::parse("a", &text).expect("a valid scenario");
        let with_fault = Scenario::parse("a", &format!("{text}[[trouble]]\nkind = 'garble'\n")).expect("a valid scenario");
        let (first, second, changed) = (Schedule::draw(&scenario, seed), Schedule::draw(&scenario, seed), Schedule::draw(&with_fault, seed));
        prop_assert_eq!(format!("{first:?}"), format!("{second:?}"));
        prop_assert_eq!(format!("{:?}", first.servers), format!("{:?}", changed.servers));
        prop_assert_eq!(format!("{:?}", first.arrivals), format!("{:?}", changed.arrivals));
        prop_assert_eq!(first.servers.len(), servers);
        let shares: f64 = first.sidecars.iter().map(|s| s.share).sum();
        prop_assert!((shares - 1.0).abs() < 1e-9);
    }
}
