//! The faults the platform can be told to have, and what they mean for one call.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call is refused without effect.
    Down,
    /// The call takes effect this much later.
    Slow(SpanMs),
    /// The call is taken, has no effect and is never answered.
    Freeze,
    /// The call takes effect, then its connection breaks.
    LoseAnswer,
    /// An append is stored twice; the answer names the first copy.
    Duplicate,
}

/// A kind of call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Appending to the log.
    Append,
    /// Reading the log.
    Read,
    /// Fetching the list of VMs.
    ListVms,
    /// Looking up weights.
    WeightInfo,
}

/// A fault for the next few calls of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// The calls it is for; all where not said.
    #[serde(default)]
    pub operation: Option<Operation>,
    /// The client it is for; all where not said. Over TCP clients have no names.
    #[serde(default)]
    pub client: Option<Arc<str>>,
    /// How many more calls it strikes.
    pub calls: u32,
    /// What happens to them.
    pub fault: Fault,
}

/// All faults in force: switches that hold until they are set again, and rules that run out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// See [`Fault::Down`].
    pub down: bool,
    /// See [`Fault::Slow`].
    pub slow_ms: SpanMs,
    /// See [`Fault::Freeze`].
    pub freeze: bool,
    /// See [`Fault::LoseAnswer`].
    pub lose_answer: bool,
    /// See [`Fault::Duplicate`].
    pub duplicate: bool,
    /// Faults for single calls.
    pub rules: Vec<FaultRule>,
}

/// What the faults in force mean for one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fate {
    /// It is refused.
    pub down: bool,
    /// It takes effect this much later.
    pub slow_ms: SpanMs,
    /// It is never answered.
    pub freeze: bool,
    /// Its answer is lost.
    pub lose_answer: bool,
    /// It takes effect twice.
    pub duplicate: bool,
}

impl Faults {
    /// Decides the fate of the next call and uses up the rules that strike it.
    pub fn fate(&mut self, operation: Operation, client: Option<&str>) -> Fate {
        let mut fate = Fate {
            down: self.down,
            slow_ms: self.slow_ms,
            freeze: self.freeze,
            lose_answer: self.lose_answer,
            duplicate: self.duplicate,
        };
        for rule in &mut self.rules {
            if rule.strikes(operation, client) {
                rule.calls -= 1;
                fate.add(rule.fault);
            }
        }
        self.rules.retain(|rule| rule.calls > 0);
        fate
    }
}

impl FaultRule {
    fn strikes(&self, operation: Operation, client: Option<&str>) -> bool {
        let same_operation = self.operation.is_none_or(|own| own == operation);
        let same_client = self.client.as_deref().is_none_or(|own| Some(own) == client);
        self.calls > 0 && same_operation && same_client
    }
}

impl Fate {
    fn add(&mut self, fault: Fault) {
        match fault {
            Fault::Down => self.down = true,
            Fault::Slow(span_ms) => self.slow_ms += span_ms,
            Fault::Freeze => self.freeze = true,
            Fault::LoseAnswer => self.lose_answer = true,
            Fault::Duplicate => self.duplicate = true,
        }
    }
}
