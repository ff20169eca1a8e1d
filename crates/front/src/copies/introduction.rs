//! The identity that a node states in the query of its request for a peer's state.
//!
//! Invariants: a query that can't be read counts as absent, so that the state is served all the same.

use crate::gossip::Origin;
use crate::node::Node;
use std::fmt::Write;

/// The key of the identity in the query. Its value is the encoded [`Origin`] in hexadecimal.
const KEY: &str = "from=";

/// The largest encoded identity, in bytes. Names of failure domains are far shorter.
const MAX_BYTES: usize = 512;

/// Returns the query that states the identity of `node`.
pub(super) fn query(node: &Node) -> String {
    let bytes = postcard::to_allocvec(&Origin::of(node)).expect("postcard can encode an identity");
    let mut query = KEY.to_owned();
    for byte in bytes {
        write!(query, "{byte:02x}").expect("a string can be written to");
    }
    query
}

/// Returns the identity that `query` states, or `None` if it states none.
pub(super) fn read(query: &str) -> Option<Origin> {
    let digits = query.strip_prefix(KEY)?.as_bytes();
    if digits.len() % 2 != 0 || digits.len() > 2 * MAX_BYTES {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = digits.chunks_exact(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a node that panics on a query which another release or a stranger sent.
    #[test]
    fn a_malformed_query_states_no_identity() {
        for query in [
            "", "from=", "from=0", "from=zz", "from=+1", "x=00", "from=ff",
        ] {
            assert!(read(query).is_none(), "{query}");
        }
        assert!(read(&format!("from={}", "00".repeat(MAX_BYTES + 1))).is_none());
    }
}
