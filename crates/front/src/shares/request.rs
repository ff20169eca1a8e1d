//! The share of one request of an account.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::shares::engine_time_ms;
use std::cell::Cell;

/// A request of an account for engines, as its share counts it.
#[derive(Debug)]
pub(crate) struct RequestShare {
    account: AccountName,
    service: ServiceKey,
    request: ShareRequest,
    /// True if the request's demand covers a placement that is still to come.
    is_placement_due: Cell<bool>,
    /// The decision that was drawn under contention.
    decided: Cell<Option<bool>>,
    /// True if the last placement decision held the request.
    held: Cell<bool>,
}

impl RequestShare {
    /// Returns the share of a request. `None` if it has no account or isn't for engines. A resumed
    /// stream was placed before, at the peer that forwarded it.
    pub fn of(
        service: &Service,
        account: Option<&Account>,
        route: &Route,
        (prompt_tokens, answer_tokens): (Tokens, Tokens),
        is_resumed: bool,
    ) -> Option<Self> {
        let (spec, account) = (service.engine.as_ref()?, account?);
        let priority = account.priority.unwrap_or(route.priority);
        Some(Self {
            account: account.name.clone(),
            service: ServiceKey::of(&service.name),
            request: ShareRequest {
                account: AccountKey::of(&account.name, priority),
                work_ms: engine_time_ms(spec, prompt_tokens, answer_tokens),
                draw: rand::random(),
            },
            is_placement_due: Cell::new(!is_resumed),
            decided: Cell::new(None),
            held: Cell::new(false),
        })
    }

    /// Returns the name of the account.
    pub fn account(&self) -> &AccountName {
        &self.account
    }

    /// Returns the key of the service.
    pub fn service_key(&self) -> ServiceKey {
        self.service
    }

    /// Returns the request as the shares count it.
    pub fn request(&self) -> &ShareRequest {
        &self.request
    }

    /// Records a placement. Returns true if it is the one that was asked for when the request was
    /// admitted.
    pub(super) fn on_placed(&self) -> bool {
        self.is_placement_due.replace(false)
    }

    /// Returns the decision of `draw`, which is asked once.
    pub(super) fn decide(&self, draw: impl FnOnce(&ShareRequest) -> bool) -> bool {
        let decided = self.decided.get().unwrap_or_else(|| draw(&self.request));
        self.decided.set(Some(decided));
        decided
    }

    /// Records if the placement decision holds the request.
    pub fn set_held(&self, held: bool) {
        self.held.set(held);
    }

    /// Returns true if the last placement decision held the request.
    pub fn is_held(&self) -> bool {
        self.held.get()
    }
}
