//! Names under which kinds of events are counted.

/// A kind and its name.
pub type Labelled<K> = (K, &'static str);

/// Returns the name of a kind.
pub(crate) fn label_of<K: PartialEq>(kinds: &[Labelled<K>], kind: K) -> &'static str {
    kinds.iter().find(|(k, _)| *k == kind).map_or("", |(_, name)| name)
}

/// Increments the count of a kind.
pub fn increment<K: PartialEq>(counts: &mut [u64], kinds: &[Labelled<K>], kind: K) {
    if let Some(index) = kinds.iter().position(|(k, _)| *k == kind) {
        counts[index] += 1;
    }
}

/// Returns the counts by kind, with their prefixed names.
pub fn labelled_counts<'a, K>(
    prefix: &'a str,
    kinds: &'a [Labelled<K>],
    counts: &'a [u64],
) -> impl Iterator<Item = (String, u64)> + 'a {
    kinds.iter().zip(counts).map(move |((_, name), count)| (format!("{prefix}_{name}"), *count))
}
