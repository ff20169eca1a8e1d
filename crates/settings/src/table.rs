//! The declaration of settings: the properties of a setting, and the macro that declares a table.

/// The value of a setting for which neither a flag nor an environment variable is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// The setting is required.
    Required,
    /// The setting is optional and has no value.
    Unset,
    /// The default, as a text in the setting's unit.
    Default(&'static str),
}

/// The properties of a setting, without its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingInfo {
    /// The flag, without the leading dashes.
    pub flag: &'static str,
    /// The environment variable.
    pub env: &'static str,
    /// The unit or format of the value, such as `ms` or `ip:port`.
    pub unit: &'static str,
    /// The value if none is given.
    pub fallback: Fallback,
    /// The description.
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

        /// The flags before they are checked. It has no `Debug`, since some of them are secrets.
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
            /// Resolves each setting by its flag, environment variable or default.
            fn resolve(args: $args, resolver: &mut $crate::resolve::Resolver<'_>) -> Option<Self> {
                // All settings are resolved before the first error is returned, so that all errors are reported.
                $(
                    let $field = resolver.take(args.$field);
                )+
                Some(Self { $($field: $field?,)+ })
            }
        }
    };
}
