//! Fits, quantiles and what is computed for several layers.

use roseproxy_capacity::attempts::{amplification, one_layer, Failure, FAILURES, MOST_ATTEMPTS};
use roseproxy_capacity::cost::{status_kb, Usage};
use roseproxy_capacity::fit::{exponent, least_squares, median};
use roseproxy_capacity::layers::sums;
use roseproxy_capacity::quantiles::Times;
use roseproxy_decision::interface::Outcome;

fn near(a: f64, b: f64, within: f64) -> bool {
    (a - b).abs() <= within
}

#[test]
fn a_line_is_found_with_its_residuals() {
    let line = least_squares(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    assert!(line.is_some_and(|l| near(l.slope, 2.0, 1e-9) && near(l.intercept, 1.0, 1e-9)));
    let bent = least_squares(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]);
    assert!(bent.is_some_and(|l| near(l.slope, 0.0, 1e-9) && near(l.residuals[1], 2.0, 1e-9)));
    assert_eq!(least_squares(&[(1.0, 1.0), (1.0, 2.0)]), None, "one x has no slope");
    assert_eq!(least_squares(&[]), None);
}

#[test]
fn the_exponent_tells_a_square_from_a_line() {
    let points = |power: i32| [1.0, 10.0, 400.0].map(|x: f64| (x, 3.0 * x.powi(power)));
    assert!(exponent(&points(1)).is_some_and(|e| near(e, 1.0, 1e-9)));
    assert!(exponent(&points(2)).is_some_and(|e| near(e, 2.0, 1e-9)));
    assert_eq!(exponent(&[(0.0, 1.0), (5.0, 2.0), (6.0, -1.0)]), None, "too few with a logarithm");
}

#[test]
fn the_middle_of_odd_even_and_no_figures() {
    assert_eq!(median(&[3.0, 1.0, 2.0]), Some(2.0));
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), Some(2.5));
    assert_eq!(median(&[]), None);
}

#[test]
fn quantiles_keep_three_digits() {
    let mut times = Times::default();
    (1..=1000).for_each(|n| times.add(f64::from(n)));
    let q = times.quantiles();
    assert_eq!(q.count, 1000);
    let wanted = [(q.p50, 500.0), (q.p99, 990.0), (q.p999, 999.0), (q.max, 1000.0), (q.mean, 500.5)];
    assert!(wanted.iter().all(|(got, want)| near(*got, *want, want * 0.002)), "{q:?}");
    assert_eq!(Times::default().quantiles().max, 0.0);
}

#[test]
fn several_layers_add_up() {
    let constant = sums(&[100.0], 11, 1_000, 7).quantiles();
    assert!(near(constant.p50, 1_100.0, 2.0) && near(constant.max, 1_100.0, 2.0), "{constant:?}");
    // One draw in a hundred is slow: eleven layers meet one in a tenth of all calls.
    let mut rare = vec![100.0; 99];
    rare.push(10_000.0);
    let one = sums(&rare, 1, 50_000, 7);
    let eleven = sums(&rare, 11, 50_000, 7);
    assert!(
        one.quantile(0.98) < 200.0 && eleven.quantile(0.88) < 2_000.0 && eleven.quantile(0.92) > 10_000.0
    );
    assert_eq!(sums(&[], 11, 1_000, 7).quantiles().count, 0);
}

/// The rule as this package computes with it is the one that the decision module follows.
#[test]
fn the_rule_of_repeats_is_the_modules_own() {
    let cases = [(Outcome::Error, 1.0, 0), (Outcome::Error, 0.05, 1), (Outcome::Rejected, 0.05, 2)];
    for (outcome, part, which) in cases {
        let (module, _) = one_layer(outcome, part, 4_000);
        let (rule, _) = amplification(1, 1.0, FAILURES[which].1, 4_000);
        assert!(near(module, rule, 0.02), "{outcome:?} after {part}: module {module:.3}, rule {rule:.3}");
    }
}

#[test]
fn attempts_multiply_from_layer_to_layer_only_when_they_fail() {
    let slow = FAILURES[0].1;
    let (one, served) = amplification(1, 1.0, slow, 2_000);
    assert!(near(one, 1.15, 0.01) && served == 0.0, "{one:.3}");
    let (eleven, _) = amplification(11, 1.0, slow, 2_000);
    assert!(near(eleven, 1.15_f64.powi(11), 0.2), "{eleven:.2}");
    assert_eq!(amplification(11, 0.0, slow, 500), (1.0, 1.0), "nothing is repeated that is served");
    let free = Failure { price: 0.0, last_never_ran: true, passed_on: true };
    assert!(amplification(1, 1.0, free, 2_000).0 <= MOST_ATTEMPTS as f64);
}

#[test]
fn the_kernels_accounts_are_read() {
    assert_eq!(status_kb("VmPeak:\t 9 kB\nVmRSS:\t    4396 kB\n", "VmRSS:"), Some(4396.0));
    assert_eq!(status_kb("VmRSS:\t many kB\n", "VmRSS:"), None);
    let own = Usage::of(std::process::id());
    assert!(own.is_some_and(|u| u.resident_kb > 0.0 && u.peak_kb >= u.resident_kb && u.cpu_us >= 0.0));
    assert_eq!(Usage::of(u32::MAX), None);
}
