//! Route selection: a request takes the first route that it matches.

use std::cmp::Ordering;
use std::collections::HashMap;

/// The criteria of a route. A request must meet all that are set; an unset criterion accepts any request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// The request class.
    pub class: Option<String>,
    /// Prefix of the path, in whole segments: `/quote` matches `/quote/a` but not `/quotes`.
    pub path_prefix: Option<String>,
    /// The host in lower case, without a port.
    pub host: Option<String>,
    /// The tenant.
    pub tenant: Option<String>,
    /// Whether the client marked the request as a retry.
    pub client_retry: Option<bool>,
}

/// The attributes of a request that routes are matched against.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes<'a> {
    /// The request class.
    pub class: &'a str,
    /// The path without the query.
    pub path: &'a str,
    /// The host, with or without a port.
    pub host: &'a str,
    /// The tenant.
    pub tenant: &'a str,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
}

/// How the sets of requests that two matches accept relate to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    /// No request matches both.
    Disjoint,
    /// Every request that matches the second also matches the first.
    Covers,
    /// Every request that matches the first also matches the second, which matches others too.
    Within,
    /// Some requests match both, and each also matches some that the other does not.
    Partial,
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn without_port(host: &str) -> &str {
    // An IPv6 address in brackets contains colons.
    let end = host.rfind(']').map_or(0, |at| at + 1);
    host[end..].find(':').map_or(host, |colon| &host[..end + colon])
}

impl RouteMatch {
    /// Returns whether a request meets all criteria.
    pub fn accepts(&self, request: &RequestAttributes) -> bool {
        let equal =
            |wanted: &Option<String>, actual: &str| wanted.as_deref().is_none_or(|wanted| wanted == actual);
        equal(&self.class, request.class)
            && equal(&self.tenant, request.tenant)
            && self.client_retry.is_none_or(|wanted| wanted == request.client_retry)
            && self.path_prefix.as_deref().is_none_or(|prefix| has_path_prefix(request.path, prefix))
            && self.host.as_deref().is_none_or(|host| host.eq_ignore_ascii_case(without_port(request.host)))
    }

    /// Returns how the requests that this match accepts relate to those of `other`, compared
    /// field by field.
    pub fn overlap_with(&self, other: &RouteMatch) -> Overlap {
        /// Compares one criterion: `Greater` if `a` accepts more. An unset criterion accepts more than any
        /// value. `None` if no request meets both.
        fn compare<T>(a: &Option<T>, b: &Option<T>, wider: impl Fn(&T, &T) -> bool) -> Option<Ordering> {
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
            compare(&self.class, &other.class, |a, b| a == b),
            compare(&self.tenant, &other.tenant, |a, b| a == b),
            compare(&self.host, &other.host, |a, b| a.eq_ignore_ascii_case(b)),
            compare(&self.path_prefix, &other.path_prefix, |a, b| has_path_prefix(b, a)),
            compare(&self.client_retry, &other.client_retry, |a, b| a == b),
        ];
        let no_field_is = |order| !fields.contains(&Some(order));
        match (fields.contains(&None), no_field_is(Ordering::Less), no_field_is(Ordering::Greater)) {
            (true, ..) => Overlap::Disjoint,
            (_, true, _) => Overlap::Covers,
            (_, _, true) => Overlap::Within,
            _ => Overlap::Partial,
        }
    }
}

/// The routes in order, with an index by class to find the first that a request matches.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    matches: Vec<RouteMatch>,
    /// For each class that a route names: the routes that accept the class, in order.
    by_class: HashMap<String, Vec<usize>>,
    /// Routes without a class, in order; used for classes that no route names.
    without_class: Vec<usize>,
}

impl RouteTable {
    /// Builds the table for routes in this order.
    pub fn new(matches: Vec<RouteMatch>) -> RouteTable {
        let without_class: Vec<usize> =
            (0..matches.len()).filter(|index| matches[*index].class.is_none()).collect();
        let mut by_class: HashMap<String, Vec<usize>> = HashMap::new();
        for class in matches.iter().filter_map(|m| m.class.as_ref()) {
            if !by_class.contains_key(class) {
                let accepts_class = |index: &usize| matches[*index].class.as_ref().is_none_or(|c| c == class);
                by_class.insert(class.clone(), (0..matches.len()).filter(accepts_class).collect());
            }
        }
        RouteTable { matches, by_class, without_class }
    }

    /// Returns the index of the first route that a request matches.
    pub fn find(&self, request: &RequestAttributes) -> Option<usize> {
        let candidates = self.by_class.get(request.class).unwrap_or(&self.without_class);
        candidates.iter().copied().find(|index| self.matches[*index].accepts(request))
    }

    /// Returns pairs of routes, the earlier one first, where the later one can never be taken or where only
    /// the order decides which route takes the requests that match both.
    pub fn conflicts(&self) -> Vec<(usize, usize, Overlap)> {
        let mut conflicts = Vec::new();
        for later in 0..self.matches.len() {
            for earlier in 0..later {
                let overlap = self.matches[earlier].overlap_with(&self.matches[later]);
                if matches!(overlap, Overlap::Covers | Overlap::Partial) {
                    conflicts.push((earlier, later, overlap));
                }
            }
        }
        conflicts
    }
}
