//! Queries to other nodes about the requests that they admitted.

use bluebell_base::prelude::*;
use bluebell_peers::RequestReport;
use stakker::{Core, Ret};

/// Queries the node that admitted a request for its report.
pub trait RequestLookup {
    /// Looks up `request` on the node of its incarnation; `None` if that node does not know it.
    ///
    /// An error means that the node was not reached, which proves nothing about the request.
    fn lookup(
        &self,
        core: &mut Core,
        request: RequestId,
        ret: Ret<Result<Option<RequestReport>, Error>>,
    );
}
