//! Looking in from outside: peers' lookups, the state dump and the verifier.

use super::Requests;
use crate::budget::Budgets;
use crate::chores::Chores;
use crate::finished::Ring;
use crate::fleet::Fleet;
use crate::table::Table;
use crate::verify::{self, Broken};
use crate::waits::Waits;
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

    /// What is known here of a request, live or ended.
    pub(super) fn known_report(&self, request: RequestId) -> Option<RequestReport> {
        let live = self.table.find(request).and_then(|id| self.table.get(id));
        match live {
            Some(life) => Some(life.report(&self.fleet)),
            None => self.ring.get(request).map(|f| f.report.clone()),
        }
    }

    pub(super) fn dump(&mut self, cx: CX![], ret: Ret<Arc<str>>) {
        let now_ms = self.timers.now_ms(cx);
        self.ring.trim(&self.settings, now_ms);
        let dump = self.to_dump(now_ms);
        let text = serde_json::to_string_pretty(&dump).unwrap_or_else(|error| error.to_string());
        ret.ret(text.into());
    }

    pub(super) fn check(&mut self, cx: CX![], ret: Ret<Result<(), Broken>>) {
        let now_ms = self.timers.now_ms(cx);
        ret.ret(self.verify(now_ms));
    }

    pub(super) fn check_each_step(&mut self, _: CX![]) {
        self.verify_steps = true;
    }

    /// Checks the invariants.
    pub(super) fn verify(&self, now_ms: MonoMs) -> Result<(), Broken> {
        verify::table(&self.table, self.incarnation, now_ms)?;
        if !self.ring.is_consistent() {
            return Err("the ring of ended requests counts wrongly".into());
        }
        if let Some(violation) = self.policy.verify().first() {
            return Err(format!("the policy: {violation:?}").into());
        }
        Ok(())
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    pub(crate) fn chores(&self) -> &Chores {
        &self.chores
    }

    pub(crate) fn ring(&self) -> &Ring {
        &self.ring
    }

    pub(crate) fn waits(&self) -> &Waits {
        &self.waits
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
