//! Ports that count calls in a ledger and forward them.

use super::{Kind, SharedLedger};
use bluebell_base::prelude::*;
use bluebell_peers::{PeerAnswer, PeerCall, PeerPort};
use bluebell_platform::{LogPort, ReadBatch, VmEntry, VmListPort};
use serde::Serialize;
use stakker::{Core, Ret};
use std::rc::Rc;

/// The port of a node to the platform.
pub struct CountingPlatform<P> {
    inner: Rc<P>,
    ledger: SharedLedger,
}

/// The port of a node to its peers.
pub struct CountingPeers {
    inner: Rc<dyn PeerPort>,
    ledger: SharedLedger,
}

/// Returns the size of a value as JSON, in bytes.
pub(crate) fn json_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

/// Counts the answer of a call and forwards it.
fn counted<T: Serialize + 'static>(
    ledger: &SharedLedger,
    kind: Kind,
    ret: Ret<Result<T, Error>>,
) -> Ret<Result<T, Error>> {
    let ledger = ledger.clone();
    Ret::new(move |answer: Option<Result<T, Error>>| {
        if let Some(answer) = answer {
            let bytes = answer.as_ref().map_or(0, json_bytes);
            ledger.borrow_mut().add(kind, 0, bytes);
            ret.ret(answer);
        }
    })
}

impl<P> CountingPlatform<P> {
    /// Creates a port that counts the calls of `inner`.
    pub fn open(inner: Rc<P>, ledger: SharedLedger) -> Rc<Self> {
        Rc::new(Self { inner, ledger })
    }
}

fn read_kind(stream: &StreamName) -> Kind {
    match stream.as_str() {
        "config" => Kind::ReadConfig,
        "leases" => Kind::ReadLeases,
        _ => Kind::ReadDirectory,
    }
}

fn append_kind(stream: &StreamName) -> Kind {
    match stream.as_str() {
        "config" => Kind::AppendConfig,
        "leases" => Kind::AppendLeases,
        _ => Kind::AppendDirectory,
    }
}

impl<P: LogPort> LogPort for CountingPlatform<P> {
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        let kind = append_kind(stream);
        self.ledger.borrow_mut().add(kind, 1, json_bytes(&records));
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
        let kind = read_kind(stream);
        self.ledger.borrow_mut().add(kind, 1, 0);
        let ret = counted(&self.ledger, kind, ret);
        self.inner.read(core, stream, from, limit_bytes, ret);
    }
}

impl<P: VmListPort> VmListPort for CountingPlatform<P> {
    fn list(&self, core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>) {
        self.ledger.borrow_mut().add(Kind::List, 1, 0);
        let ret = counted(&self.ledger, Kind::List, ret);
        self.inner.list(core, ret);
    }
}

impl CountingPeers {
    /// Creates a port that counts the calls of `inner`.
    pub fn open(inner: Rc<dyn PeerPort>, ledger: SharedLedger) -> Rc<dyn PeerPort> {
        Rc::new(Self { inner, ledger })
    }
}

impl PeerPort for CountingPeers {
    fn call(
        &self,
        core: &mut Core,
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let bytes = json_bytes(&call);
        self.ledger.borrow_mut().add(Kind::PeerOut, 1, bytes);
        let ret = counted(&self.ledger, Kind::PeerOut, ret);
        self.inner.call(core, to, call, ret);
    }
}
