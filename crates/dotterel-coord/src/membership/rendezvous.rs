//! Rendezvous hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the item that ranks highest for the key, or `None` if there are no items.
///
/// All nodes that know the same items select the same one, and removing an item moves only the
/// keys that it had.
///
/// ```
/// use dotterel_coord::rendezvous;
///
/// let nodes = ["entry-1", "entry-2", "entry-3"];
/// let owner = rendezvous("worker-7", nodes, |node| node).expect("there are nodes");
/// let others = nodes.into_iter().filter(|node| *node != "entry-9");
/// assert_eq!(rendezvous("worker-7", others, |node| node), Some(owner));
/// ```
pub fn rendezvous<T>(
    key: &str,
    items: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Option<T> {
    let seed = xxh3_64(key.as_bytes());
    items.into_iter().max_by(|a, b| {
        let rank = |item: &T| xxh3_64_with_seed(name(item).as_bytes(), seed);
        rank(a).cmp(&rank(b)).then_with(|| name(a).cmp(name(b)))
    })
}
