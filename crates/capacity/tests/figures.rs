//! Fits, quantiles, and the computations for several layers.

use roseproxy_capacity::attempts::{amplification, simulate_one_layer, Failure, FAILURES, MAX_ATTEMPTS};
use roseproxy_capacity::fit::{least_squares, median, power_law_exponent};
use roseproxy_capacity::layers::draw_sums;
use roseproxy_capacity::quantiles::TimeHistogram;
use roseproxy_capacity::usage::{parse_status_kb, Usage};
use roseproxy_decision::interface::Outcome;

fn is_near(a: f64, b: f64, tolerance: f64) -> bool {
    (a - b).abs() <= tolerance
}

#[test]
fn least_squares_finds_a_line_and_its_residuals() {
    let line = least_squares(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    assert!(line.is_some_and(|l| is_near(l.slope, 2.0, 1e-9) && is_near(l.intercept, 1.0, 1e-9)));
    let bent = least_squares(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]);
    assert!(bent.is_some_and(|l| is_near(l.slope, 0.0, 1e-9) && is_near(l.residuals[1], 2.0, 1e-9)));
    assert_eq!(least_squares(&[(1.0, 1.0), (1.0, 2.0)]), None, "a single x gives no slope");
    assert_eq!(least_squares(&[]), None);
}

#[test]
fn the_exponent_distinguishes_quadratic_from_linear_growth() {
    let points = |power: i32| [1.0, 10.0, 400.0].map(|x: f64| (x, 3.0 * x.powi(power)));
    assert!(power_law_exponent(&points(1)).is_some_and(|e| is_near(e, 1.0, 1e-9)));
    assert!(power_law_exponent(&points(2)).is_some_and(|e| is_near(e, 2.0, 1e-9)));
    assert_eq!(
        power_law_exponent(&[(0.0, 1.0), (5.0, 2.0), (6.0, -1.0)]),
        None,
        "too few points with a logarithm"
    );
}

#[test]
fn the_median_of_odd_even_and_no_figures() {
    assert_eq!(median(&[3.0, 1.0, 2.0]), Some(2.0));
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), Some(2.5));
    assert_eq!(median(&[]), None);
}

#[test]
fn quantiles_keep_three_digits() {
    let mut times = TimeHistogram::default();
    (1..=1000).for_each(|n| times.record(f64::from(n)));
    let q = times.quantiles();
    assert_eq!(q.count, 1000);
    let wanted = [(q.p50, 500.0), (q.p99, 990.0), (q.p999, 999.0), (q.max, 1000.0), (q.mean, 500.5)];
    assert!(wanted.iter().all(|(got, want)| is_near(*got, *want, want * 0.002)), "{q:?}");
    assert_eq!(TimeHistogram::default().quantiles().max, 0.0);
}

#[test]
fn the_latencies_of_layers_add_up() {
    let constant = draw_sums(&[100.0], 11, 1_000, 7).quantiles();
    assert!(is_near(constant.p50, 1_100.0, 2.0) && is_near(constant.max, 1_100.0, 2.0), "{constant:?}");
    // One draw in a hundred is slow, so about a tenth of the calls through eleven layers contain a slow one.
    let mut rare = vec![100.0; 99];
    rare.push(10_000.0);
    let one = draw_sums(&rare, 1, 50_000, 7);
    let eleven = draw_sums(&rare, 11, 50_000, 7);
    assert!(
        one.quantile(0.98) < 200.0 && eleven.quantile(0.88) < 2_000.0 && eleven.quantile(0.92) > 10_000.0
    );
    assert_eq!(draw_sums(&[], 11, 1_000, 7).quantiles().count, 0);
}

/// The retry rule as implemented in this crate gives the same results as the decision module.
#[test]
fn the_retry_rule_agrees_with_the_decision_module() {
    let cases = [(Outcome::Error, 1.0, 0), (Outcome::Error, 0.05, 1), (Outcome::Rejected, 0.05, 2)];
    for (outcome, part, failure) in cases {
        let (module, _) = simulate_one_layer(outcome, part, 4_000);
        let (rule, _) = amplification(1, 1.0, FAILURES[failure].1, 4_000);
        assert!(is_near(module, rule, 0.02), "{outcome:?} after {part}: module {module:.3}, rule {rule:.3}");
    }
}

#[test]
fn attempts_multiply_across_layers_only_when_they_fail() {
    let slow = FAILURES[0].1;
    let (one, served) = amplification(1, 1.0, slow, 2_000);
    assert!(is_near(one, 1.15, 0.01) && served == 0.0, "{one:.3}");
    let (eleven, _) = amplification(11, 1.0, slow, 2_000);
    assert!(is_near(eleven, 1.15_f64.powi(11), 0.2), "{eleven:.2}");
    assert_eq!(amplification(11, 0.0, slow, 500), (1.0, 1.0), "served requests are not retried");
    let free = Failure { price: 0.0, last_never_ran: true, passed_on: true };
    assert!(amplification(1, 1.0, free, 2_000).0 <= MAX_ATTEMPTS as f64);
}

#[test]
fn the_kernels_accounting_is_read() {
    assert_eq!(parse_status_kb("VmPeak:\t 9 kB\nVmRSS:\t    4396 kB\n", "VmRSS:"), Some(4396.0));
    assert_eq!(parse_status_kb("VmRSS:\t many kB\n", "VmRSS:"), None);
    let own = Usage::of_process(std::process::id());
    assert!(own.is_some_and(|u| u.resident_kb > 0.0 && u.peak_kb >= u.resident_kb && u.cpu_us >= 0.0));
    assert_eq!(Usage::of_process(u32::MAX), None);
}
