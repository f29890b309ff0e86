//! The water-fill against the paper's worked example and at its edges.

use roseproxy_decision::policy::{water_fill, Vessel};

fn fill(loads: &[f64], m: f64) -> Vec<f64> {
    let vessels: Vec<_> = loads.iter().map(|&load| Vessel { load, capacity: 1.0, cap: 1.0 }).collect();
    filled(&vessels, m)
}

fn filled(vessels: &[Vessel], m: f64) -> Vec<f64> {
    let mut shares = Vec::new();
    water_fill(vessels, m, &mut shares);
    shares
}

fn close(a: f64, b: f64, within: f64) {
    assert!((a - b).abs() <= within, "{a} is not {b}");
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
        close(*share, printed, 0.0006);
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
                close(*a, b, 1e-9);
            }
        }
    }
}

#[test]
fn m_at_its_floor_takes_the_emptiest() {
    assert_eq!(fill(&[0.0, 8.0, 8.0], 2.0), vec![1.0, 0.0, 0.0]);
    assert_eq!(fill(&[0.0, 8.0, 8.0], 0.0), vec![1.0, 0.0, 0.0]);
    assert_eq!(fill(&[0.0, 8.0, 8.0], f64::NAN), vec![1.0, 0.0, 0.0]);
}

#[test]
fn one_server_gets_all_and_equal_loads_get_equal_shares() {
    assert_eq!(fill(&[17.0], 9.0), vec![1.0]);
    fill(&[3.0; 8], 40.0).iter().for_each(|s| close(*s, 0.125, 1e-12));
    assert!(fill(&[], 5.0).is_empty());
}

#[test]
fn shares_follow_capacity_where_loads_are_nothing() {
    let vessels = [1.0, 2.0, 5.0].map(|capacity| Vessel { load: 0.0, capacity, cap: 1.0 });
    for (share, expected) in filled(&vessels, 30.0).iter().zip([0.125, 0.25, 0.625]) {
        close(*share, expected, 1e-12);
    }
}

#[test]
fn what_a_cap_cuts_off_is_refilled_to_the_others() {
    let caps = [0.1, 1.0, 0.0, 1.0];
    let vessels = caps.map(|cap| Vessel { load: 0.0, capacity: 1.0, cap });
    for (share, expected) in filled(&vessels, 10.0).iter().zip([0.1, 0.45, 0.0, 0.45]) {
        close(*share, expected, 1e-12);
    }
    // A vessel above the level comes in again when a cap raises it.
    let two = [Vessel { load: 0.0, capacity: 1.0, cap: 0.2 }, Vessel { load: 9.0, capacity: 1.0, cap: 1.0 }];
    close(filled(&two, 2.0)[1], 0.8, 1e-12);
}

#[test]
fn caps_without_room_are_exceeded_in_proportion() {
    let vessels = [0.1, 0.3].map(|cap| Vessel { load: 1.0, capacity: 1.0, cap });
    let shares = filled(&vessels, 10.0);
    close(shares[0], 0.25, 1e-12);
    close(shares[1], 0.75, 1e-12);
}

#[test]
fn bad_figures_never_give_bad_shares() {
    let figures = [f64::NAN, f64::INFINITY, -3.0, 0.0, 1e300, 5.0];
    for load in figures {
        for capacity in figures {
            for cap in [0.0, 0.3, 1.0, f64::NAN] {
                let odd = Vessel { load, capacity, cap };
                let shares = filled(&[odd, Vessel { load: 1.0, capacity: 1.0, cap: 1.0 }], 7.0);
                assert!(shares.iter().all(|s| *s >= 0.0 && *s <= 1.0), "{odd:?}: {shares:?}");
                close(shares.iter().sum(), 1.0, 1e-9);
            }
        }
    }
    assert_eq!(filled(&[Vessel { load: 0.0, capacity: 1.0, cap: 0.0 }], 3.0), vec![0.0]);
}
