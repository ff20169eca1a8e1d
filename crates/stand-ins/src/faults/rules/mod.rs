//! Rules that strike single calls to an in-process stand-in.

use bluebell_base::prelude::*;
use std::collections::VecDeque;

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection can be made: certainly not run.
    Refuse,
    /// The connection breaks before the call has any effect, which the caller can't know.
    Break,
    /// The call takes effect; its answer, or the whole stream of its events, is lost.
    LoseAnswer,
    /// The call arrives only after this time; the caller is told nothing meanwhile.
    Delay(SpanMs),
}

/// Which call a fault strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule {
    /// The call's name, as the port's method is called; `None` strikes any.
    pub call: Option<&'static str>,
    /// How many matching calls pass before it strikes.
    pub skip: u32,
    /// What happens.
    pub fault: CallFault,
}

/// The rules still to strike, in order; each strikes once.
#[derive(Clone, Debug, Default)]
pub struct FaultRules {
    rules: VecDeque<CallRule>,
}

impl FaultRules {
    /// Adds a rule.
    pub fn add(&mut self, rule: CallRule) {
        self.rules.push_back(rule);
    }

    /// The fault of a call that is being made, where a rule strikes it.
    pub fn strike(&mut self, call: &str) -> Option<CallFault> {
        let matches = |rule: &CallRule| rule.call.is_none_or(|name| name == call);
        let place = self.rules.iter().position(matches)?;
        let rule = &mut self.rules[place];
        if rule.skip > 0 {
            rule.skip -= 1;
            return None;
        }
        self.rules.remove(place).map(|rule| rule.fault)
    }
}
