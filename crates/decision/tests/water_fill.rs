//! Compares the water-fill with the paper's worked example, and tests its edge cases.

use roseproxy_decision::policy::{water_fill, Candidate};

fn fill(loads: &[f64], m: f64) -> Vec<f64> {
    let candidates: Vec<_> =
        loads.iter().map(|&load| Candidate { load, capacity: 1.0, max_share: 1.0 }).collect();
    filled(&candidates, m)
}

fn filled(candidates: &[Candidate], m: f64) -> Vec<f64> {
    let mut shares = Vec::new();
    water_fill(candidates, m, &mut shares);
    shares
}

fn assert_close(a: f64, b: f64, tolerance: f64) {
    assert!((a - b).abs() <= tolerance, "{a} differs from {b} by more than {tolerance}");
}

/// Theorem 4 as printed: sorts, finds the smallest k and applies (5).
fn plain_theorem(loads: &[f64], m: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let mut sum = 0.0;
    for k in 1..=loads.len() {
        sum += loads[order[k - 1]];
        let level = (sum / 2.0 + m - 1.0) / k as f64;
        if k == loads.len() || level < loads[order[k]] / 2.0 {
            let mut shares = vec![0.0; loads.len()];
            order[..k].iter().for_each(|&i| shares[i] = (level - loads[i] / 2.0) / (m - 1.0));
            return shares;
        }
    }
    Vec::new()
}

#[test]
fn worked_example_of_the_paper() {
    let shares = fill(&[1.0, 3.0, 4.0, 7.0, 11.0, 12.0, 16.0, 24.0, 32.0], 20.0);
    for (share, printed) in shares.iter().zip([0.307, 0.254, 0.228, 0.149, 0.0438, 0.0175]) {
        assert_close(*share, printed, 0.0006);
    }
    assert_eq!(&shares[6..], &[0.0, 0.0, 0.0]);
}

#[test]
fn capacities_of_one_give_the_plain_theorem() {
    let mut seed = 1_u64;
    for n in 1..40 {
        let loads: Vec<f64> = (0..n)
            .map(|_| {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (seed >> 58) as f64 / 2.0
            })
            .collect();
        for m in [2.0, 3.5, 20.0, 500.0] {
            for (a, b) in fill(&loads, m).iter().zip(plain_theorem(&loads, m)) {
                assert_close(*a, b, 1e-9);
            }
        }
    }
}

#[test]
fn the_smallest_m_gives_all_to_the_emptiest_server() {
    assert_eq!(fill(&[0.0, 8.0, 8.0], 2.0), vec![1.0, 0.0, 0.0]);
    assert_eq!(fill(&[0.0, 8.0, 8.0], 0.0), vec![1.0, 0.0, 0.0]);
    assert_eq!(fill(&[0.0, 8.0, 8.0], f64::NAN), vec![1.0, 0.0, 0.0]);
}

#[test]
fn one_server_gets_all_and_equal_loads_get_equal_shares() {
    assert_eq!(fill(&[17.0], 9.0), vec![1.0]);
    fill(&[3.0; 8], 40.0).iter().for_each(|s| assert_close(*s, 0.125, 1e-12));
    assert!(fill(&[], 5.0).is_empty());
}

#[test]
fn shares_are_proportional_to_capacity_when_all_loads_are_zero() {
    let candidates = [1.0, 2.0, 5.0].map(|capacity| Candidate { load: 0.0, capacity, max_share: 1.0 });
    for (share, expected) in filled(&candidates, 30.0).iter().zip([0.125, 0.25, 0.625]) {
        assert_close(*share, expected, 1e-12);
    }
}

#[test]
fn what_exceeds_a_maximum_share_goes_to_the_other_servers() {
    let max_shares = [0.1, 1.0, 0.0, 1.0];
    let candidates = max_shares.map(|max_share| Candidate { load: 0.0, capacity: 1.0, max_share });
    for (share, expected) in filled(&candidates, 10.0).iter().zip([0.1, 0.45, 0.0, 0.45]) {
        assert_close(*share, expected, 1e-12);
    }
    // A server above the level gets a share again when a maximum share raises the level.
    let two = [
        Candidate { load: 0.0, capacity: 1.0, max_share: 0.2 },
        Candidate { load: 9.0, capacity: 1.0, max_share: 1.0 },
    ];
    assert_close(filled(&two, 2.0)[1], 0.8, 1e-12);
}

#[test]
fn maximum_shares_that_add_up_to_less_than_one_are_exceeded_in_proportion() {
    let candidates = [0.1, 0.3].map(|max_share| Candidate { load: 1.0, capacity: 1.0, max_share });
    let shares = filled(&candidates, 10.0);
    assert_close(shares[0], 0.25, 1e-12);
    assert_close(shares[1], 0.75, 1e-12);
}

#[test]
fn invalid_input_never_gives_invalid_shares() {
    let figures = [f64::NAN, f64::INFINITY, -3.0, 0.0, 1e300, 5.0];
    for load in figures {
        for capacity in figures {
            for max_share in [0.0, 0.3, 1.0, f64::NAN] {
                let invalid = Candidate { load, capacity, max_share };
                let shares = filled(&[invalid, Candidate { load: 1.0, capacity: 1.0, max_share: 1.0 }], 7.0);
                assert!(shares.iter().all(|s| *s >= 0.0 && *s <= 1.0), "{invalid:?}: {shares:?}");
                assert_close(shares.iter().sum(), 1.0, 1e-9);
            }
        }
    }
    assert_eq!(filled(&[Candidate { load: 0.0, capacity: 1.0, max_share: 0.0 }], 3.0), vec![0.0]);
}
