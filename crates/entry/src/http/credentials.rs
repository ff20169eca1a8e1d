//! Bearer credentials, compared in constant time.
//!
//! Invariants: a credential is compared by its SHA-256 with every known one, with no early exit,
//! so that the time taken tells neither which one nearly matched nor where it stands; neither
//! the credential nor its hash is logged.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// The SHA-256 of a credential.
///
/// It has neither `PartialEq` nor `Debug`: the only comparison there is takes constant time, and
/// nothing can print it.
#[derive(Clone, Copy)]
pub(crate) struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of a credential.
    pub(crate) fn of(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }

    /// The hash written as 64 hexadecimal digits.
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

    /// Whether both are equal, in constant time.
    pub(crate) fn same(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

/// The index of the known hash equal to `hash`; looks at all of them whatever it finds.
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
