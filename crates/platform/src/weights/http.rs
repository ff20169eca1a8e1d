//! Queries the weight store over HTTP.

use super::{WeightInfo, WeightPort};
use crate::http::{Effect, HttpCall, PlatformClient, is_path_text};
use bluebell_base::prelude::*;
use stakker::{Core, Ret};
use std::rc::Rc;

/// The port to the weight store over HTTP.
#[derive(Debug)]
pub struct HttpWeights {
    client: PlatformClient,
}

impl HttpWeights {
    /// Opens the store through `client`.
    pub fn open(client: &PlatformClient) -> Rc<dyn WeightPort> {
        Rc::new(Self {
            client: client.clone(),
        })
    }
}

impl WeightPort for HttpWeights {
    fn info(
        &self,
        _core: &mut Core,
        model: &ModelName,
        version: u64,
        ret: Ret<Result<WeightInfo, Error>>,
    ) {
        if !is_path_text(model.as_str()) {
            let message = format!("model {model:?} has characters that a path can't carry");
            return ret.ret(Err(Error::not_run(ErrorKind::Invalid, message)));
        }
        let call = HttpCall {
            path: format!("/weights/{model}/{version}"),
            query: Vec::new(),
            body: None,
            effect: Effect::Reads,
        };
        self.client.call(call, ret);
    }
}
