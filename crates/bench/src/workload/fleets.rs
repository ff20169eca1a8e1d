//! The two users' fleets: engines, failure domains and the classes' targets.

use super::{ACCOUNT_SHARES, RARE_TOKENS};
use bluebell_base::prelude::*;
use bluebell_config::{Account, Class, FirstTokenTarget, FleetConfig, Model};
use std::fmt;

/// Failure domains of each fleet.
pub const DOMAINS: u32 = 3;

/// The user whose fleet it resembles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetKind {
    /// Fógra-like: 25 replicas, short work first.
    Fogra,
    /// Prüfwerk-like: 15 replicas, first token by length first.
    Pruefwerk,
}

impl fmt::Display for FleetKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            FleetKind::Fogra => "fogra",
            FleetKind::Pruefwerk => "pruefwerk",
        })
    }
}

impl FleetKind {
    /// Both fleets.
    pub const ALL: [FleetKind; 2] = [FleetKind::Fogra, FleetKind::Pruefwerk];

    /// The number of its engines.
    pub fn engines(self) -> u32 {
        match self {
            FleetKind::Fogra => 25,
            FleetKind::Pruefwerk => 15,
        }
    }

    /// Its configuration: classes with targets, ten accounts, one model.
    pub fn config(self) -> FleetConfig {
        FleetConfig {
            classes: self.classes(),
            accounts: (0..ACCOUNT_SHARES.len()).map(account).collect(),
            models: vec![Model {
                name: ModelName::from("writer"),
                version: 1,
            }],
            ..FleetConfig::default()
        }
    }

    /// First-token targets by length, in milliseconds; the steps are about twice (Fógra) or 1.7
    /// times (Prüfwerk) what the prompt takes alone, and a bit for the way.
    fn classes(self) -> Vec<Class> {
        let draft_ms = match self {
            FleetKind::Fogra => 500,
            FleetKind::Pruefwerk => 800,
        };
        let condensed = match self {
            FleetKind::Fogra => [800, 1_200, 2_200, 4_000, 6_500],
            FleetKind::Pruefwerk => [700, 1_100, 1_900, 3_400, 5_300],
        };
        let archive = match self {
            FleetKind::Fogra => [13_000, 28_000, 80_000],
            FleetKind::Pruefwerk => [11_000, 24_000, 65_000],
        };
        let condensed_limits = [8_000, 16_000, 32_000, 64_000, RARE_TOKENS];
        let archive_limits = [200_000, 400_000];
        vec![
            class("draft", steps(&[draft_ms], &[]), 45, false),
            class(
                "condensed",
                steps(&condensed, &condensed_limits[..4]),
                150,
                true,
            ),
            class("archive", steps(&archive, &archive_limits), 600, true),
        ]
    }
}

fn class(name: &str, first_token: Vec<FirstTokenTarget>, end_s: u64, idempotent: bool) -> Class {
    Class {
        name: ClassName::from(name),
        first_token,
        end_ms: SpanMs::from_secs(end_s),
        idempotent,
    }
}

/// Targets up to each limit, and the last one for all longer prompts.
fn steps(within_ms: &[u64], limits: &[u64]) -> Vec<FirstTokenTarget> {
    let target = |(i, within_ms): (usize, &u64)| FirstTokenTarget {
        up_to_tokens: limits.get(i).copied().map(Tokens),
        within_ms: SpanMs(*within_ms),
    };
    within_ms.iter().enumerate().map(target).collect()
}

fn account(index: usize) -> Account {
    Account {
        name: AccountName::from(format!("account-{index}").as_str()),
        key_sha256: "0".repeat(64).into(),
    }
}
