//! What the service does with a call, and what it has counted.

use bluebell_base::prelude::*;
use bluebell_upstreams::{ServiceAnswer, ServiceCall};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

const JSON: &str = "application/json";

/// The methods that leave no effect.
const READS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// The settings of a stand-in service; every field left out takes its default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The service's name, given back in its answers.
    pub name: Arc<str>,
    /// How long each call takes, in milliseconds.
    pub work_ms: SpanMs,
    /// Whether a call with a key that is known already leaves no second effect.
    pub dedupes: bool,
}

/// What was counted of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEffects {
    /// The key.
    pub key: Arc<str>,
    /// Its effects.
    pub effects: u64,
}

/// What the service has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Calls that were carried out, reads included.
    pub calls: u64,
    /// Effects in all.
    pub effects: u64,
    /// Keys that have left an effect.
    pub keys: u64,
    /// Keys whose effect was made more than once.
    pub repeated: Vec<KeyEffects>,
}

/// The answer to a call, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReply {
    /// The service's name.
    pub service: Arc<str>,
    /// The request it answers.
    pub request: RequestId,
    /// The path that was called.
    pub path: Arc<str>,
    /// The key's effects so far.
    pub effects: u64,
}

/// The service itself.
#[derive(Debug, Default)]
pub struct ServiceModel {
    settings: ServiceSettings,
    calls: u64,
    effects: HashMap<Arc<str>, u64>,
}

impl ServiceModel {
    /// Opens a service that has done nothing yet.
    pub fn new(settings: ServiceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The settings it was opened with.
    pub fn settings(&self) -> &ServiceSettings {
        &self.settings
    }

    /// Carries a call out.
    pub fn call(&mut self, call: &ServiceCall) -> ServiceAnswer {
        self.calls += 1;
        let key = key_of(call);
        if !READS.contains(&&*call.method) {
            let effects = self.effects.entry(key.clone()).or_default();
            if *effects == 0 || !self.settings.dedupes {
                *effects += 1;
            }
        }
        let reply = ServiceReply {
            service: self.settings.name.clone(),
            request: call.request,
            path: call.path.clone(),
            effects: self.effects_of(&key),
        };
        ServiceAnswer {
            status: 200,
            content_type: Some(JSON.into()),
            body: serde_json::to_vec(&reply).unwrap_or_default(),
        }
    }

    /// The effects counted of a key.
    pub fn effects_of(&self, key: &str) -> u64 {
        self.effects.get(key).copied().unwrap_or(0)
    }

    /// The effects of every key, by ascending key.
    pub fn all_effects(&self) -> Vec<KeyEffects> {
        let effects = self.effects.iter().map(|(key, effects)| KeyEffects {
            key: key.clone(),
            effects: *effects,
        });
        let mut effects: Vec<KeyEffects> = effects.collect();
        effects.sort_by(|a, b| a.key.cmp(&b.key));
        effects
    }

    /// What was counted.
    pub fn stats(&self) -> ServiceStats {
        let mut repeated = self.all_effects();
        repeated.retain(|row| row.effects > 1);
        ServiceStats {
            calls: self.calls,
            effects: self.effects.values().sum(),
            keys: self.effects.len() as u64,
            repeated,
        }
    }
}

fn key_of(call: &ServiceCall) -> Arc<str> {
    match &call.idempotency_key {
        Some(key) => key.0.clone(),
        None => call.request.to_string().into(),
    }
}
