//! Days: what is faulty in a file is said with its key, and a draw depends on its seed alone.

use proptest::prelude::*;
use roseproxy_emulator::day::Day;
use roseproxy_emulator::plan::{factor, hashed, Plan};

fn fault(text: &str) -> String {
    Day::read("a.toml", text).expect_err("a fault").to_string()
}

#[test]
fn faults_name_their_key() {
    assert!(fault("").contains("missing field `name`"));
    assert!(fault("name = 'a'\nlenght_s = 5").contains("lenght_s"));
    assert!(fault("name = 'a'\n[load]\nof_capacity = [0.5, 0.3]").contains("[0.5, 0.3] is no range"));
    assert!(fault("name = 'a'\n[load]\nof_capacity = 'much'").contains("a number, or a range"));
    assert!(fault("name = 'a'\n[[trouble]]\nkind = 'flood'").contains("flood"));
    assert!(fault("name = 'a'\n[load]\nof_capacity = nan").contains("no finite number"));
}

#[test]
fn all_impossible_figures_are_named_at_once() {
    let text = "name = ''\nlength_s = 0\n[fleet]\nservers = 0\n[limits]\nsockets = 3\n[[trouble]]\nkind = 'burst'\nzone = 9\n";
    let said = fault(text);
    for key in ["name", "length_s", "fleet.servers", "limits.sockets", "trouble 1 (Burst): zone 9"] {
        assert!(said.contains(key), "{key} in {said}");
    }
}

#[test]
fn the_load_and_the_burst_are_in_the_arrivals() {
    let text = "name = 'a'\nlength_s = 40\n[load]\nrate = 200\nswing = 0\n[[trouble]]\nkind = 'burst'\nat_s = 20\nlen_s = 10\nsize = 2\n";
    let plan = Plan::draw(&Day::read("a", text).expect("a day"), 1);
    let between =
        |a: f64, b: f64| plan.arrivals.iter().filter(|x| (a..b).contains(&(x.at / 1e3))).count() as f64;
    let (calm, burst) = (between(0.0, 20.0) / 20.0, between(20.0, 30.0) / 10.0);
    assert!((calm - 200.0).abs() < 15.0 && (burst - 400.0).abs() < 30.0, "{calm} {burst}");
    assert!(plan.arrivals.windows(2).all(|w| w[0].at <= w[1].at));
}

#[test]
fn a_factor_has_the_mean_one() {
    let mean = (0..20_000).map(|n| factor(0.5, hashed(1, &[n]))).sum::<f64>() / 20_000.0;
    assert!((mean - 1.0).abs() < 0.02, "{mean}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Equal seeds draw equal days, and one trouble more changes nothing else of the fleet.
    #[test]
    fn draws_depend_on_the_seed_alone(seed in 0_u64..1000, servers in 1_usize..40) {
        let text = format!("name = 'a'\nlength_s = 2\n[fleet]\nservers = {servers}\n");
        let day = Day::read("a", &text).expect("a day");
        let more = Day::read("a", &format!("{text}[[trouble]]\nkind = 'garble'\n")).expect("a day");
        let (a, b, c) = (Plan::draw(&day, seed), Plan::draw(&day, seed), Plan::draw(&more, seed));
        prop_assert_eq!(format!("{a:?}"), format!("{b:?}"));
        prop_assert_eq!(format!("{:?}", a.servers), format!("{:?}", c.servers));
        prop_assert_eq!(format!("{:?}", a.arrivals), format!("{:?}", c.arrivals));
        prop_assert_eq!(a.servers.len(), servers);
        let shares: f64 = a.sidecars.iter().map(|s| s.share).sum();
        prop_assert!((shares - 1.0).abs() < 1e-9);
    }
}
