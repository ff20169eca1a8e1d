//! The types that a setting may have. Each is parsed from text, checked and displayed in its own way.

use bluebell_base::prelude::*;
use bluebell_telemetry::{LogFormat, LogLevels};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// A type that a setting may have.
pub trait SettingValue: Sized {
    /// Parses and checks a text.
    ///
    /// # Errors
    /// Returns a description of the fault and of the expected form. It never contains the text of a
    /// secret.
    fn read(text: &str) -> Result<Self, String>;

    /// Returns the default value, or `None` if a value is required.
    fn unset() -> Option<Self> {
        None
    }

    /// Returns the value for display. Secrets return a placeholder.
    fn show(&self) -> String;
}

impl<T: SettingValue> SettingValue for Option<T> {
    fn read(text: &str) -> Result<Self, String> {
        T::read(text).map(Some)
    }

    fn unset() -> Option<Self> {
        Some(None)
    }

    fn show(&self) -> String {
        self.as_ref().map_or_else(|| "(unset)".into(), T::show)
    }
}

/// Implements the trait by `FromStr` and `Display`.
macro_rules! plain_values {
    ($($type:ty),+) => {$(
        impl SettingValue for $type {
            fn read(text: &str) -> Result<Self, String> {
                text.parse().map_err(|error: <$type as FromStr>::Err| error.to_string())
            }

            fn show(&self) -> String {
                self.to_string()
            }
        }
    )+};
}

plain_values!(VmName, DomainName, RegionName, LogFormat, LogLevels);

/// Implements the trait for sizes and counts, which must not be zero.
macro_rules! positive_values {
    ($($type:ty),+) => {$(
        impl SettingValue for $type {
            fn read(text: &str) -> Result<Self, String> {
                let value: Self = text
                    .parse()
                    .map_err(|_| format!("{text:?} is not a whole number"))?;
                if value == Self::default() {
                    return Err("must be more than 0".into());
                }
                Ok(value)
            }

            fn show(&self) -> String {
                self.to_string()
            }
        }
    )+};
}

positive_values!(SpanMs, Bytes, u32);

impl SettingValue for Address {
    fn read(text: &str) -> Result<Self, String> {
        let parsed: Result<SocketAddr, _> = text.parse();
        match parsed {
            Ok(address) => Ok(Address(address.to_string().into())),
            Err(_) => Err(format!("{text:?} is not an address of the form ip:port")),
        }
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

/// A list of addresses, separated by commas in its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressList(Vec<Address>);

impl AddressList {
    /// Returns the addresses, of which there is at least one.
    pub fn as_slice(&self) -> &[Address] {
        &self.0
    }
}

impl SettingValue for AddressList {
    fn read(text: &str) -> Result<Self, String> {
        let addresses: Result<Vec<_>, _> =
            text.split(',').map(str::trim).map(Address::read).collect();
        addresses.map(Self)
    }

    fn show(&self) -> String {
        let texts: Vec<&str> = self.0.iter().map(Address::as_str).collect();
        texts.join(",")
    }
}

impl SettingValue for PathBuf {
    fn read(text: &str) -> Result<Self, String> {
        if text.is_empty() {
            return Err("a path is needed".into());
        }
        Ok(text.into())
    }

    fn show(&self) -> String {
        self.display().to_string()
    }
}

/// A secret, which is neither printed nor logged.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// The minimum length of a secret, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a secret from a text without checking it.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text of the secret, to send or compare it.
    pub fn expose(&self) -> &Arc<str> {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(set)")
    }
}

impl SettingValue for Secret {
    fn read(text: &str) -> Result<Self, String> {
        if text.len() < Self::MIN_BYTES {
            return Err(format!("needs at least {} bytes", Self::MIN_BYTES));
        }
        // Secrets are sent in HTTP headers, which allow only visible ASCII.
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("must be visible ASCII without spaces".into());
        }
        Ok(Self(text.into()))
    }

    fn show(&self) -> String {
        "(set)".into()
    }
}
