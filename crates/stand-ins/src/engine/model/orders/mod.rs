//! Orders that change what the engine serves.
//!
//! Invariants: an engine that checks fencing numbers never obeys one older than the newest seen;
//! a version being loaded is served only once it is whole.

use super::{Due, EngineModel, Timed};
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{EngineOrder, OrderAnswer};

impl EngineModel {
    /// Carries an order out, or refuses it; loading goes on after the answer.
    pub fn order(&mut self, now_us: u64, order: &EngineOrder, fencing: Fencing) -> OrderAnswer {
        if self.settings.checks_fencing && fencing < self.served.fencing {
            return self.state(false);
        }
        self.served.fencing = self.served.fencing.max(fencing);
        let accepted = self.obey(order, now_us);
        self.begin_step(now_us);
        self.snapshot(now_us);
        self.state(accepted)
    }

    /// What is served now, without changing it.
    pub fn read_state(&self) -> OrderAnswer {
        self.state(true)
    }

    /// Whether a model is served.
    pub(super) fn serves(&self, model: &ModelName) -> bool {
        self.served.any_model || self.served.models.iter().any(|row| row.model == *model)
    }

    /// Serves the versions whose weights are here by now.
    pub(super) fn finish_loading(&mut self, now_us: u64) {
        let served = &mut self.served;
        let here = |loading: &mut Timed<LoadedModel>| loading.due_us <= now_us;
        for Timed { what: loaded, .. } in served.loading.extract_if(.., here) {
            served.models.retain(|row| row.model != loaded.model);
            served.models.push(loaded);
        }
    }

    fn obey(&mut self, order: &EngineOrder, now_us: u64) -> bool {
        match order {
            EngineOrder::LoadModel { model, version } => {
                let (model, version) = (model.clone(), *version);
                self.begin_loading(LoadedModel { model, version }, now_us);
                true
            }
            EngineOrder::SetRole { role } => {
                self.served.role = *role;
                true
            }
            EngineOrder::Reclaim { owner, request } => self.reclaim(*owner, *request, now_us),
        }
    }

    fn begin_loading(&mut self, wanted: LoadedModel, now_us: u64) {
        let served = &mut self.served;
        let loading = served.loading.iter().any(|row| row.what == wanted);
        if loading || served.models.contains(&wanted) {
            return;
        }
        // A later order for the same model replaces the one being loaded.
        served.loading.retain(|row| row.what.model != wanted.model);
        let rate = self.settings.weight_bytes_per_second.0.max(1.0);
        let seconds = self.settings.model_bytes.0 as f64 / rate;
        let due_us = now_us + (seconds * 1e6) as u64;
        let what = wanted;
        served.loading.push(Timed { what, due_us });
        self.due.insert((due_us, Due::Loaded));
    }

    fn state(&self, accepted: bool) -> OrderAnswer {
        OrderAnswer {
            accepted,
            fencing: self.served.fencing,
            role: self.served.role,
            models: self.served.models.clone(),
        }
    }
}
