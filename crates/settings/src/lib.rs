//! Settings of the programs, from flags and environment variables, checked all at once.
//!
//! Terms: a *setting* is declared once, in a [`settings!`] table, with its flag, environment
//! variable, type, unit, default and description; its *source* is where its value came from.
//!
//! Invariants: a flag wins over the environment, the environment over the default; every fault is
//! reported, not only the first; a secret is never printed, only `(set)`.

#[macro_use]
mod table;
mod check;
mod node;
mod print;
mod resolve;
mod value;

pub use check::SettingError;
pub use node::{NODE_SETTINGS, NodeArgs, NodeSettings};
pub use print::{effective_text, flags_page, help_text};
pub use resolve::{Effective, EnvVar, Parsed, Source};
pub use table::{Fallback, SettingInfo};
pub use value::{AddressList, Secret, SettingValue};
