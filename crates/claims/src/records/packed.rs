//! Integers encoded as base64 text. It is a third shorter than hex in the log, which carries each
//! claim twice.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// 128 bits, encoded as 22 characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packed128(pub u128);

/// 64 bits, encoded as 11 characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packed64(pub u64);

impl Serialize for Packed128 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&URL_SAFE_NO_PAD.encode(self.0.to_be_bytes()))
    }
}

impl Serialize for Packed64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&URL_SAFE_NO_PAD.encode(self.0.to_be_bytes()))
    }
}

impl<'de> Deserialize<'de> for Packed128 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        decode_bytes(deserializer).map(|bytes| Self(u128::from_be_bytes(bytes)))
    }
}

impl<'de> Deserialize<'de> for Packed64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        decode_bytes(deserializer).map(|bytes| Self(u64::from_be_bytes(bytes)))
    }
}

fn decode_bytes<'de, const N: usize, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<[u8; N], D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(de::Error::custom)?;
    <[u8; N]>::try_from(bytes.as_slice()).map_err(de::Error::custom)
}
