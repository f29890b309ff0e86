//! Kinds of events with the names that they are counted under.

/// A kind and its name.
pub type Named<K> = (K, &'static str);

/// The name of a kind.
pub(crate) fn name_of<K: PartialEq>(kinds: &[Named<K>], kind: K) -> &'static str {
    kinds.iter().find(|(k, _)| *k == kind).map_or("", |(_, name)| name)
}

/// One more of a kind.
pub fn add<K: PartialEq>(counts: &mut [u64], kinds: &[Named<K>], kind: K) {
    if let Some(at) = kinds.iter().position(|(k, _)| *k == kind) {
        counts[at] += 1;
    }
}

/// Counts by kind, with their names.
pub fn named<'a, K>(
    prefix: &'a str,
    kinds: &'a [Named<K>],
    counts: &'a [u64],
) -> impl Iterator<Item = (String, u64)> + 'a {
    kinds.iter().zip(counts).map(move |((_, name), count)| (format!("{prefix}_{name}"), *count))
}
