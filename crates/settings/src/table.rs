//! The declaration of settings: what is known of one, and the macro that declares a table.

/// What a setting is where neither flag nor environment variable gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// It must be given.
    Required,
    /// It stays unset.
    Unset,
    /// This text, in the setting's unit.
    Default(&'static str),
}

/// What is known of a setting before any value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingInfo {
    /// The flag, without the leading dashes.
    pub flag: &'static str,
    /// The environment variable.
    pub env: &'static str,
    /// The unit or form of its value, such as `ms` or `ip:port`.
    pub unit: &'static str,
    /// What holds where it is not given.
    pub fallback: Fallback,
    /// What it is for.
    pub description: &'static str,
}

/// Declares a program's settings: the struct of typed values, the `argh` struct of flags, and the
/// table of [`SettingInfo`]s, in one order.
///
/// Each line reads `field: Type, "flag", "ENV", "unit", fallback;` under its doc comment, which is
/// also the setting's description.
macro_rules! settings {
    (
        $(#[$meta:meta])*
        $name:ident, $args:ident, $table:ident, $program:tt;
        $(
            #[doc = $doc:literal]
            $field:ident: $type:ty, $flag:tt, $env:literal, $unit:literal, $fallback:expr;
        )+
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(
                #[doc = $doc]
                pub $field: $type,
            )+
        }

        /// The flags as given, before they are checked; without `Debug`, since some are secrets.
        #[derive(Clone, Default, PartialEq, argh::FromArgs)]
        #[argh(description = $program)]
        pub struct $args {
            /// print the effective settings, with where each came from, and exit
            #[argh(switch)]
            pub check: bool,
            $(
                #[doc = $doc]
                #[argh(option, long = $flag, description = "see the table")]
                pub $field: Option<String>,
            )+
        }

        /// All settings of the program, in the order in which they are printed.
        pub const $table: &[$crate::table::SettingInfo] = &[
            $(
                $crate::table::SettingInfo {
                    flag: $flag,
                    env: $env,
                    unit: $unit,
                    fallback: $fallback,
                    description: $doc,
                },
            )+
        ];

        impl $name {
            /// Takes each setting from its flag, environment variable or default.
            fn resolve(args: $args, resolver: &mut $crate::resolve::Resolver<'_>) -> Option<Self> {
                // All are resolved before any is missed, so that every fault is reported.
                $(
                    let $field = resolver.take(args.$field);
                )+
                Some(Self { $($field: $field?,)+ })
            }
        }
    };
}
