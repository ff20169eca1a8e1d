//! Max-min fair distribution of placed work, and the part of an account's demand that is held.

use rustc_hash::FxHashMap;

use super::account::{AccountKey, AccountWork, PRIORITIES};

/// Share of the placed work that is withheld from accounts whose demand is twice the level or more.
/// Others' requests wait behind what these accounts had placed before the sums showed their demand.
/// In a replay with 0.1, others' requests were late for 5 s after the start of a surge, and with
/// 0.3 for 3 s.
const WITHHELD_SHARE: f64 = 0.3;

/// Multiple of the level, above it, at which all of that is withheld. Requests that were held return
/// and count again, so an account just above the level would otherwise stay there.
const WITHHELD_RANGE: f64 = 1.0;

/// The level of one priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// The most work that an account of the priority gets. It is infinite if none asks for more than
    /// its share.
    pub level_ms: f64,
    /// The work that an account far above the level gets.
    reduced_ms: f64,
}

impl Level {
    /// The level where no account is above its share.
    pub const NONE: Self = Self {
        level_ms: f64::INFINITY,
        reduced_ms: f64::INFINITY,
    };

    /// Returns the level of accounts with these demands that get `share_ms` together, of which
    /// `withheld_ms` are withheld from those far above the level.
    fn of(demands: &mut [f64], share_ms: f64, withheld_ms: f64) -> Self {
        let level_ms = max_min_level(demands, share_ms);
        match level_ms.is_finite() {
            true => Self {
                level_ms,
                reduced_ms: max_min_level(demands, share_ms - withheld_ms),
            },
            false => Self::NONE,
        }
    }

    /// Returns the part, from 0 to 1, of a demand that is held.
    pub fn held_part(&self, demand_ms: f64) -> f64 {
        if demand_ms <= self.level_ms {
            return 0.0;
        }
        let above = (demand_ms - self.level_ms) / (self.level_ms * WITHHELD_RANGE);
        let withheld_ms = (self.level_ms - self.reduced_ms) * above.min(1.0);
        1.0 - (self.level_ms - withheld_ms) / demand_ms
    }

    /// Returns the level, or `None` if no account is above its share.
    pub fn finite_ms(&self) -> Option<u64> {
        self.level_ms.is_finite().then_some(self.level_ms as u64)
    }
}

/// Returns the level at which the sum of all demands, each cut off at the level, equals `capacity`.
/// Returns infinity if the capacity suffices for all demands.
pub fn max_min_level(demands: &mut [f64], capacity: f64) -> f64 {
    if demands.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    demands.sort_unstable_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    let mut above = demands.len();
    for demand in demands.iter() {
        let even = left / above as f64;
        if *demand >= even {
            return even;
        }
        left -= demand;
        above -= 1;
    }
    f64::INFINITY
}

/// Returns the level of each priority. The work that was placed for all accounts is distributed to
/// the priorities in their order, and each distributes what it gets among its accounts. `rest` is
/// the work of accounts that aren't named, by priority; they count as below the level.
pub(super) fn levels(
    accounts: &FxHashMap<AccountKey, AccountWork>,
    rest: &[AccountWork; PRIORITIES],
) -> [Level; PRIORITIES] {
    if has_one_account(accounts, rest) {
        return [Level::NONE; PRIORITIES];
    }
    let placed = accounts.values().chain(rest).map(|work| work.placed_ms);
    let placed_ms: f64 = placed.sum();
    let mut left_ms = placed_ms;
    let mut levels = [Level::NONE; PRIORITIES];
    for (priority, level) in levels.iter_mut().enumerate() {
        let same = accounts
            .iter()
            .filter(|(key, _)| usize::from(key.priority) == priority);
        let mut demands: Vec<f64> = same.map(|(_, work)| work.demand_ms).collect();
        let rest_ms = rest[priority].demand_ms;
        *level = Level::of(&mut demands, left_ms - rest_ms, placed_ms * WITHHELD_SHARE);
        left_ms = (left_ms - demands.iter().sum::<f64>() - rest_ms).max(0.0);
    }
    levels
}

/// Returns true if at most one account asks for work. Holding it would serve nobody.
fn has_one_account(
    accounts: &FxHashMap<AccountKey, AccountWork>,
    rest: &[AccountWork; PRIORITIES],
) -> bool {
    let mut names = accounts.keys().map(|key| key.name_hash);
    let first = names.next();
    rest.iter().all(|work| work.demand_ms <= 0.0) && names.all(|name| Some(name) == first)
}
