//! Access to the state from outside: peers' lookups, the state dump and the verifier.

use super::Requests;
use crate::budget::Budgets;
use crate::cleanup::CleanupTasks;
use crate::finished::FinishedRequests;
use crate::fleet::Fleet;
use crate::table::Table;
use crate::verify::{self, BrokenInvariant};
use crate::waiting_callers::WaitingCallers;
use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use bluebell_policy::Policy;
use stakker::{CX, Ret};

impl Requests {
    pub(super) fn answer_peer(
        &mut self,
        _: CX![],
        request: RequestId,
        ret: Ret<Option<RequestReport>>,
    ) {
        ret.ret(self.known_report(request));
    }

    /// Returns the report of a request that is live or recently ended here.
    pub(super) fn known_report(&self, request: RequestId) -> Option<RequestReport> {
        let live = self.table.find(request).and_then(|id| self.table.get(id));
        match live {
            Some(live) => Some(live.report(&self.fleet)),
            None => self.finished.get(request).map(|f| f.report.clone()),
        }
    }

    pub(super) fn dump(&mut self, cx: CX![], ret: Ret<Arc<str>>) {
        let now_ms = self.timers.now_ms(cx);
        self.finished.trim(&self.settings, now_ms);
        let dump = self.to_dump(now_ms);
        let text = serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string());
        ret.ret(text.into());
    }

    pub(super) fn check(&mut self, cx: CX![], ret: Ret<Result<(), BrokenInvariant>>) {
        let now_ms = self.timers.now_ms(cx);
        ret.ret(self.verify(now_ms));
    }

    pub(super) fn check_each_step(&mut self, _: CX![]) {
        self.verify_steps = true;
    }

    /// Checks the invariants.
    pub(super) fn verify(&self, now_ms: MonoMs) -> Result<(), BrokenInvariant> {
        verify::check_table(&self.table, self.incarnation, now_ms)?;
        if !self.finished.is_consistent() {
            return Err("the counts of the ended requests kept are inconsistent".into());
        }
        if let Some(violation) = self.policy.verify().first() {
            return Err(format!("the policy: {violation:?}").into());
        }
        Ok(())
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    pub(crate) fn cleanups(&self) -> &CleanupTasks {
        &self.cleanups
    }

    pub(crate) fn finished(&self) -> &FinishedRequests {
        &self.finished
    }

    pub(crate) fn waiting_callers(&self) -> &WaitingCallers {
        &self.waiting_callers
    }

    pub(crate) fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(crate) fn policy(&self) -> &dyn Policy {
        self.policy.as_ref()
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.is_some()
    }
}
