//! Calls the log service over HTTP.

use super::{LogPort, ReadBatch};
use crate::http::{Effect, HttpCall, PlatformClient, is_path_text};
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};
use std::rc::Rc;

/// The body of `POST /log/{stream}/append`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendBody {
    /// The records, in order.
    pub records: Vec<Arc<str>>,
}

/// The answer to `POST /log/{stream}/append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The offset of the first record.
    pub offset: Offset,
}

/// The port to the log service over HTTP.
#[derive(Debug)]
pub struct HttpLog {
    client: PlatformClient,
}

impl HttpLog {
    /// Opens the log through `client`.
    pub fn open(client: &PlatformClient) -> Rc<dyn LogPort> {
        Rc::new(Self {
            client: client.clone(),
        })
    }
}

impl LogPort for HttpLog {
    fn append(
        &self,
        _core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        let body = match serde_json::to_vec(&AppendBody { records }) {
            Ok(body) if is_path_text(stream.as_str()) => body,
            _ => return ret.ret(Err(bad_stream(stream))),
        };
        let call = HttpCall {
            path: format!("/log/{stream}/append"),
            query: Vec::new(),
            body: Some(body),
            effect: Effect::Appends,
        };
        let offset = move |answer: Option<Result<AppendAnswer, Error>>| {
            // `None` means that the node is stopping. Dropping `ret` then reports that to its user.
            if let Some(answer) = answer {
                ret.ret(answer.map(|answer| answer.offset));
            }
        };
        self.client.call(call, Ret::new(offset));
    }

    fn read(
        &self,
        _core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    ) {
        if !is_path_text(stream.as_str()) {
            return ret.ret(Err(bad_stream(stream)));
        }
        let call = HttpCall {
            path: format!("/log/{stream}/read"),
            query: vec![
                ("from", from.0.to_string()),
                ("limit_bytes", limit_bytes.0.to_string()),
            ],
            body: None,
            effect: Effect::Reads,
        };
        self.client.call(call, ret);
    }
}

fn bad_stream(stream: &StreamName) -> Error {
    let message = format!("stream {stream:?} has characters that a path can't carry");
    Error::not_run(ErrorKind::Invalid, message)
}
