//! Routes: which of them a request takes. The first that fits wins.

use std::cmp::Ordering;
use std::collections::HashMap;

/// What a route wants of a request; what it leaves open fits all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Match {
    /// The request's class.
    pub class: Option<String>,
    /// What its path begins with, by whole parts: `/quote` fits `/quote/a` and not `/quotes`.
    pub path_prefix: Option<String>,
    /// Its host, without port, in lower case.
    pub host: Option<String>,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Whether its client marked it as a retry.
    pub client_retry: Option<bool>,
}

/// A request as routes see it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its host, with or without a port.
    pub host: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// Whether its client marked it as a retry.
    pub client_retry: bool,
}

/// How two matches lie to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// No request fits both.
    Apart,
    /// All that fit the second fit the first.
    Covers,
    /// All that fit the first fit the second, and some more.
    Within,
    /// Some requests fit both, and each has some of its own.
    Cross,
}

fn begins(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn without_port(host: &str) -> &str {
    // An IPv6 address in brackets has colons of its own.
    let end = host.rfind(']').map_or(0, |at| at + 1);
    host[end..].find(':').map_or(host, |colon| &host[..end + colon])
}

impl Match {
    /// Whether a request fits.
    pub fn fits(&self, asked: &Asked) -> bool {
        let equal = |want: &Option<String>, have: &str| want.as_deref().is_none_or(|w| w == have);
        equal(&self.class, asked.class)
            && equal(&self.tenant, asked.tenant)
            && self.client_retry.is_none_or(|want| want == asked.client_retry)
            && self.path_prefix.as_deref().is_none_or(|prefix| begins(asked.path, prefix))
            && self.host.as_deref().is_none_or(|host| host.eq_ignore_ascii_case(without_port(asked.host)))
    }

    /// How this one lies to another, field by field.
    pub fn lies(&self, other: &Match) -> Lie {
        /// What is open is wider than anything named; `None`: no request fits both.
        fn field<T>(a: &Option<T>, b: &Option<T>, wider: impl Fn(&T, &T) -> bool) -> Option<Ordering> {
            match (a, b) {
                (None, None) => Some(Ordering::Equal),
                (None, Some(_)) => Some(Ordering::Greater),
                (Some(_), None) => Some(Ordering::Less),
                (Some(a), Some(b)) => match (wider(a, b), wider(b, a)) {
                    (true, true) => Some(Ordering::Equal),
                    (true, false) => Some(Ordering::Greater),
                    (false, true) => Some(Ordering::Less),
                    (false, false) => None,
                },
            }
        }
        let fields = [
            field(&self.class, &other.class, |a, b| a == b),
            field(&self.tenant, &other.tenant, |a, b| a == b),
            field(&self.host, &other.host, |a, b| a.eq_ignore_ascii_case(b)),
            field(&self.path_prefix, &other.path_prefix, |a, b| begins(b, a)),
            field(&self.client_retry, &other.client_retry, |a, b| a == b),
        ];
        let none = |order| !fields.contains(&Some(order));
        match (fields.contains(&None), none(Ordering::Less), none(Ordering::Greater)) {
            (true, ..) => Lie::Apart,
            (_, true, _) => Lie::Covers,
            (_, _, true) => Lie::Within,
            _ => Lie::Cross,
        }
    }
}

/// Routes in order, with what finds the first that fits.
#[derive(Clone, Debug, Default)]
pub struct Table {
    matches: Vec<Match>,
    /// By class: the routes that name it or none, in order.
    by_class: HashMap<String, Vec<usize>>,
    /// Routes that name no class, in order: for classes that none names.
    open: Vec<usize>,
}

impl Table {
    /// A table of these routes.
    pub fn new(matches: Vec<Match>) -> Table {
        let open: Vec<usize> = (0..matches.len()).filter(|n| matches[*n].class.is_none()).collect();
        let mut by_class: HashMap<String, Vec<usize>> = HashMap::new();
        for class in matches.iter().filter_map(|m| m.class.as_ref()) {
            if !by_class.contains_key(class) {
                let fit = |n: &usize| matches[*n].class.as_ref().is_none_or(|c| c == class);
                by_class.insert(class.clone(), (0..matches.len()).filter(fit).collect());
            }
        }
        Table { matches, by_class, open }
    }

    /// The first route that a request fits.
    pub fn find(&self, asked: &Asked) -> Option<usize> {
        let some = self.by_class.get(asked.class).unwrap_or(&self.open);
        some.iter().copied().find(|n| self.matches[*n].fits(asked))
    }

    /// Pairs of routes, the earlier first, of which the later can never be taken, or whose order alone decides
    /// over requests that fit both.
    pub fn conflicts(&self) -> Vec<(usize, usize, Lie)> {
        let mut found = Vec::new();
        for later in 0..self.matches.len() {
            for earlier in 0..later {
                let lie = self.matches[earlier].lies(&self.matches[later]);
                if matches!(lie, Lie::Covers | Lie::Cross) {
                    found.push((earlier, later, lie));
                }
            }
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

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
            [(0, 1, Lie::Covers), (0, 2, Lie::Cross), (1, 2, Lie::Cross), (2, 3, Lie::Cross)],
            "the second is never reached; quotes and orders of the east fit two"
        );
        assert!(Table::new(vec![of("quote", "/a", ""), of("quote", "", ""), of("", "", "")])
            .conflicts()
            .is_empty());
    }

    fn any_match() -> impl Strategy<Value = Match> {
        let some = |all: &'static [&'static str]| {
            prop::option::of(prop::sample::select(all).prop_map(str::to_owned))
        };
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
        fn lies_are_true_of_all_requests(a in any_match(), b in any_match()) {
            let both = all_requests().iter().any(|r| a.fits(r) && b.fits(r));
            let only_b = all_requests().iter().any(|r| !a.fits(r) && b.fits(r));
            let only_a = all_requests().iter().any(|r| a.fits(r) && !b.fits(r));
            match a.lies(&b) {
                Lie::Apart => prop_assert!(!both),
                Lie::Covers => prop_assert!(!only_b),
                Lie::Within => prop_assert!(!only_a && only_b),
                Lie::Cross => prop_assert!(both && only_a && only_b),
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
}
