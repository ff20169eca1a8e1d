//! Counters of the traffic between a node and the platform, measured as JSON without HTTP.

use bluebell_base::prelude::*;
use bluebell_platform::{LogPort, ReadBatch, VmEntry, VmListPort};
use serde::Serialize;
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The calls and bytes in both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub calls: u64,
    pub bytes: u64,
}

/// The traffic by operation and stream.
pub type Counts = Rc<RefCell<BTreeMap<Arc<str>, Traffic>>>;

/// A platform port that counts its traffic.
pub struct Counting<P> {
    pub inner: Rc<P>,
    pub counts: Counts,
}

fn add(counts: &Counts, name: &str, calls: u64, bytes: usize) {
    let mut counts = counts.borrow_mut();
    let traffic = counts.entry(name.into()).or_default();
    traffic.calls += calls;
    traffic.bytes += bytes as u64;
}

fn size_of<T: Serialize>(value: &T) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

impl<P: LogPort> LogPort for Counting<P> {
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        let name = format!("append {stream}");
        add(&self.counts, &name, 1, size_of(&records));
        self.inner.append(core, stream, records, ret);
    }

    fn read(
        &self,
        core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    ) {
        let (name, counts) = (format!("read {stream}"), self.counts.clone());
        let ret = Ret::new(move |answer: Option<Result<ReadBatch, Error>>| {
            if let Some(answer) = answer {
                add(&counts, &name, 1, answer.as_ref().map_or(0, size_of));
                ret.ret(answer);
            }
        });
        self.inner.read(core, stream, from, limit_bytes, ret);
    }
}

impl<P: VmListPort> VmListPort for Counting<P> {
    fn list(&self, core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>) {
        let counts = self.counts.clone();
        let ret = Ret::new(move |answer: Option<Result<Vec<VmEntry>, Error>>| {
            if let Some(answer) = answer {
                add(&counts, "list", 1, answer.as_ref().map_or(0, size_of));
                ret.ret(answer);
            }
        });
        self.inner.list(core, ret);
    }
}
