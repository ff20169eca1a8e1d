//! What other nodes know of the requests that they admitted.

use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use stakker::{Core, Ret};

/// Asks the node of another incarnation for a request's report.
pub trait RequestLookup {
    /// Looks `request` up; `None` where its node does not know it.
    ///
    /// An error means that the node was not reached, which proves nothing about the request.
    fn lookup(
        &self,
        core: &mut Core,
        request: RequestId,
        ret: Ret<Result<Option<RequestReport>, Error>>,
    );
}
