//! Fetches the list of VMs over HTTP.

use super::{VmEntry, VmListPort};
use crate::http::{Effect, HttpCall, PlatformClient};
use bluebell_base::prelude::*;
use stakker::{Core, Ret};
use std::rc::Rc;

/// The port to the list of VMs over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    client: PlatformClient,
}

impl HttpVmList {
    /// Opens the list through `client`.
    pub fn open(client: &PlatformClient) -> Rc<dyn VmListPort> {
        Rc::new(Self {
            client: client.clone(),
        })
    }
}

impl VmListPort for HttpVmList {
    fn list(&self, _core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>) {
        let call = HttpCall {
            path: "/vms".into(),
            query: Vec::new(),
            body: None,
            effect: Effect::Reads,
        };
        self.client.call(call, ret);
    }
}
