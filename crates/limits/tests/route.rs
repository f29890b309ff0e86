//! Route selection, and how two routes overlap.

use proptest::prelude::*;
use roseproxy_limits::route::{Overlap, RequestAttributes, RouteMatch, RouteTable};

fn route_match(class: &str, prefix: &str, tenant: &str) -> RouteMatch {
    let some = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    RouteMatch {
        class: some(class),
        path_prefix: some(prefix),
        tenant: some(tenant),
        ..RouteMatch::default()
    }
}

#[test]
fn the_first_matching_route_wins() {
    let table = RouteTable::new(vec![
        route_match("quote", "/quote/fast", ""),
        route_match("quote", "", ""),
        route_match("", "", "east"),
    ]);
    let request =
        |class, path, tenant| RequestAttributes { class, path, tenant, ..RequestAttributes::default() };
    assert_eq!(table.find(&request("quote", "/quote/fast/7", "east")), Some(0));
    assert_eq!(table.find(&request("quote", "/quote/faster", "east")), Some(1));
    assert_eq!(table.find(&request("place-order", "/place-order", "east")), Some(2));
    assert_eq!(table.find(&request("place-order", "/place-order", "west")), None);
}

#[test]
fn hosts_match_without_port_and_in_any_case() {
    let host_match = |host: &str| RouteMatch { host: Some(host.into()), ..RouteMatch::default() };
    let accepts = |wanted: &str, host: &str| {
        host_match(wanted).accepts(&RequestAttributes { host, ..RequestAttributes::default() })
    };
    assert!(accepts("quote.example.org", "Quote.Example.org:8080"));
    assert!(accepts("[::1]", "[::1]:80") && !accepts("[::1]", "[::2]"));
    assert!(!accepts("quote.example.org", "orders.example.org"));
}

#[test]
fn unreachable_and_overlapping_routes_are_found() {
    let table = RouteTable::new(vec![
        route_match("quote", "", ""),
        route_match("quote", "/a", ""),
        route_match("", "", "east"),
        route_match("place-order", "", ""),
    ]);
    assert_eq!(
        table.conflicts(),
        [
            (0, 1, Overlap::Covers),
            (0, 2, Overlap::Partial),
            (1, 2, Overlap::Partial),
            (2, 3, Overlap::Partial)
        ],
        "the second is never reached; quotes and orders of the tenant east match two routes"
    );
    assert!(RouteTable::new(vec![
        route_match("quote", "/a", ""),
        route_match("quote", "", ""),
        route_match("", "", "")
    ])
    .conflicts()
    .is_empty());
}

fn any_match() -> impl Strategy<Value = RouteMatch> {
    let some = |values: &'static [&'static str]| {
        prop::option::of(prop::sample::select(values).prop_map(str::to_owned))
    };
    (
        some(&["q", "o"]),
        some(&["/q", "/q/a", "/o"]),
        some(&["x.org", "y.org"]),
        some(&["e", "w"]),
        prop::option::of(prop::bool::ANY),
    )
        .prop_map(|(class, path_prefix, host, tenant, client_retry)| RouteMatch {
            class,
            path_prefix,
            host,
            tenant,
            client_retry,
        })
}

fn all_requests() -> Vec<RequestAttributes<'static>> {
    let mut all = Vec::new();
    for class in ["q", "o", "z"] {
        for path in ["/q", "/q/a", "/q/a/b", "/o", "/z"] {
            for host in ["x.org", "y.org:1", "z.org"] {
                for tenant in ["e", "w", "n"] {
                    for client_retry in [false, true] {
                        all.push(RequestAttributes { class, path, host, tenant, client_retry });
                    }
                }
            }
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The overlap reported for two matches holds for every combination of request attributes.
    #[test]
    fn overlaps_hold_for_all_requests(a in any_match(), b in any_match()) {
        let both = all_requests().iter().any(|r| a.accepts(r) && b.accepts(r));
        let only_b = all_requests().iter().any(|r| !a.accepts(r) && b.accepts(r));
        let only_a = all_requests().iter().any(|r| a.accepts(r) && !b.accepts(r));
        match a.overlap_with(&b) {
            Overlap::Disjoint => prop_assert!(!both),
            Overlap::Covers => prop_assert!(!only_b),
            Overlap::Within => prop_assert!(!only_a && only_b),
            Overlap::Partial => prop_assert!(both && only_a && only_b),
        }
    }

    /// The index by class finds the same route as a linear search.
    #[test]
    fn the_table_finds_the_same_route_as_a_linear_search(all in prop::collection::vec(any_match(), 0..12)) {
        let table = RouteTable::new(all.clone());
        for request in all_requests() {
            prop_assert_eq!(table.find(&request), all.iter().position(|m| m.accepts(&request)));
        }
    }
}
