//! Macros that declare newtypes with their common traits.
//!
//! Terms: a *prefix* is the text that an id prints before its number; a *unit* is the text that a
//! size prints after it.

/// Declares integer ids that print as the prefix and the number, and parse back from the same text.
#[macro_export]
macro_rules! define_id {
    ($($(#[$meta:meta])* $name:ident($inner:ty) = $prefix:literal;)+) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            $crate::__private::serde::Serialize, $crate::__private::serde::Deserialize,
        )]
        #[serde(crate = "bluebell_base::__private::serde", transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number as an index into a dense table.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::text::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text
                    .strip_prefix($prefix)
                    .ok_or_else(|| $crate::text::ParseError::new(stringify!($name), text))?;
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| $crate::text::ParseError::new(stringify!($name), text))
            }
        }
    )+};
}

/// Declares text newtypes over `Arc<str>`. An empty text or a text with control characters does not
/// parse.
#[macro_export]
macro_rules! define_text {
    ($($(#[$meta:meta])* $name:ident;)+) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            $crate::__private::serde::Serialize, $crate::__private::serde::Deserialize,
        )]
        #[serde(crate = "bluebell_base::__private::serde", transparent)]
        pub struct $name(pub ::std::sync::Arc<str>);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::convert::From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::text::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let bad = text.is_empty() || text.chars().any(char::is_control);
                if bad {
                    return Err($crate::text::ParseError::new(stringify!($name), text));
                }
                Ok(Self(text.into()))
            }
        }
    )+};
}

/// Declares integer sizes that print with a unit. Addition and subtraction saturate.
#[macro_export]
macro_rules! define_size {
    ($($(#[$meta:meta])* $name:ident = $unit:literal;)+) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            $crate::__private::serde::Serialize, $crate::__private::serde::Deserialize,
        )]
        #[serde(crate = "bluebell_base::__private::serde", transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The size zero.
            pub const ZERO: Self = Self(0);

            /// Returns the difference, or zero if `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ::std::ops::Add for $name {
            type Output = Self;
            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ::std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl ::std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, |a, b| a + b)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::text::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| $crate::text::ParseError::new(stringify!($name), text))
            }
        }
    )+};
}
