//! Which route a request takes, and how two routes relate.

use proptest::prelude::*;
use roseproxy_limits::route::{Asked, Match, Overlap, Table};

fn of(class: &str, prefix: &str, tenant: &str) -> Match {
    let some = |t: &str| (!t.is_empty()).then(|| t.to_owned());
    Match { class: some(class), path_prefix: some(prefix), tenant: some(tenant), ..Match::default() }
}

#[test]
fn the_first_route_that_fits_wins() {
    let table = Table::new(vec![of("quote", "/quote/fast", ""), of("quote", "", ""), of("", "", "east")]);
    let asked = |class, path, tenant| Asked { class, path, tenant, ..Asked::default() };
    assert_eq!(table.find(&asked("quote", "/quote/fast/7", "east")), Some(0));
    assert_eq!(table.find(&asked("quote", "/quote/faster", "east")), Some(1));
    assert_eq!(table.find(&asked("place-order", "/place-order", "east")), Some(2));
    assert_eq!(table.find(&asked("place-order", "/place-order", "west")), None);
}

#[test]
fn hosts_fit_without_their_port_and_in_any_case() {
    let host = |h: &str| Match { host: Some(h.into()), ..Match::default() };
    let fits = |h: &str, asked: &str| host(h).fits(&Asked { host: asked, ..Asked::default() });
    assert!(fits("quote.example.org", "Quote.Example.org:8080"));
    assert!(fits("[::1]", "[::1]:80") && !fits("[::1]", "[::2]"));
    assert!(!fits("quote.example.org", "orders.example.org"));
}

#[test]
fn routes_that_cannot_be_taken_or_that_cross_are_found() {
    let table = Table::new(vec![
        of("quote", "", ""),
        of("quote", "/a", ""),
        of("", "", "east"),
        of("place-order", "", ""),
    ]);
    assert_eq!(
        table.conflicts(),
        [
            (0, 1, Overlap::Covers),
            (0, 2, Overlap::Partial),
            (1, 2, Overlap::Partial),
            (2, 3, Overlap::Partial)
        ],
        "the second is never reached; quotes and orders of the east fit two"
    );
    assert!(Table::new(vec![of("quote", "/a", ""), of("quote", "", ""), of("", "", "")])
        .conflicts()
        .is_empty());
}

fn any_match() -> impl Strategy<Value = Match> {
    let some =
        |all: &'static [&'static str]| prop::option::of(prop::sample::select(all).prop_map(str::to_owned));
    (
        some(&["q", "o"]),
        some(&["/q", "/q/a", "/o"]),
        some(&["x.org", "y.org"]),
        some(&["e", "w"]),
        prop::option::of(prop::bool::ANY),
    )
        .prop_map(|(class, path_prefix, host, tenant, client_retry)| Match {
            class,
            path_prefix,
            host,
            tenant,
            client_retry,
        })
}

fn all_requests() -> Vec<Asked<'static>> {
    let mut all = Vec::new();
    for class in ["q", "o", "z"] {
        for path in ["/q", "/q/a", "/q/a/b", "/o", "/z"] {
            for host in ["x.org", "y.org:1", "z.org"] {
                for tenant in ["e", "w", "n"] {
                    for client_retry in [false, true] {
                        all.push(Asked { class, path, host, tenant, client_retry });
                    }
                }
            }
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// What is said of two matches holds for every request there can be.
    #[test]
    fn overlaps_are_true_of_all_requests(a in any_match(), b in any_match()) {
        let both = all_requests().iter().any(|r| a.fits(r) && b.fits(r));
        let only_b = all_requests().iter().any(|r| !a.fits(r) && b.fits(r));
        let only_a = all_requests().iter().any(|r| a.fits(r) && !b.fits(r));
        match a.overlap_with(&b) {
            Overlap::Disjoint => prop_assert!(!both),
            Overlap::Covers => prop_assert!(!only_b),
            Overlap::Within => prop_assert!(!only_a && only_b),
            Overlap::Partial => prop_assert!(both && only_a && only_b),
        }
    }

    /// The index by class finds what a walk over all routes finds.
    #[test]
    fn the_table_finds_what_a_walk_finds(all in prop::collection::vec(any_match(), 0..12)) {
        let table = Table::new(all.clone());
        for asked in all_requests() {
            prop_assert_eq!(table.find(&asked), all.iter().position(|m| m.fits(&asked)));
        }
    }
}
