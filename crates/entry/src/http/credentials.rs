//! Compares bearer credentials in constant time.
//!
//! Invariants: the SHA-256 of a credential is compared with every known hash, without an early
//! exit, so that the duration reveals neither which hash nearly matched nor its position; neither
//! the credential nor its hash is logged.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// The SHA-256 of a credential.
///
/// It implements neither `PartialEq` nor `Debug`, so that it can only be compared in constant time
/// and can't be printed.
#[derive(Clone, Copy)]
pub(crate) struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of a credential.
    pub(crate) fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }

    /// Parses a hash from 64 hexadecimal digits. Returns `None` for any other text.
    pub(crate) fn from_hex(hex: &str) -> Option<Self> {
        if hex.len() != 64 || !hex.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Compares both hashes in constant time.
    pub(crate) fn same(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

/// Returns the index of the known hash that equals `hash`. Compares with all of them, even after a
/// match.
pub(crate) fn find(known: &[KeyHash], hash: &KeyHash) -> Option<usize> {
    let mut found = Choice::from(0);
    let mut index = 0u64;
    for (i, candidate) in known.iter().enumerate() {
        let same = candidate.same(hash);
        index.conditional_assign(&(i as u64), same);
        found |= same;
    }
    bool::from(found).then_some(index as usize)
}
