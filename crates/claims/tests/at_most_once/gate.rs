//! A gate around a node's messages, with which a test pauses and kills the node.

use bluebell_base::prelude::*;
use bluebell_peers::{PeerAnswer, PeerCall, PeerPort};
use bluebell_platform::{LogPort, ReadBatch};
use bluebell_stand_ins::platform::FakePlatform;
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Holds back the messages to and from a paused node. Its timers keep firing, as they would in one
/// burst when a paused process resumes, before it reads the messages that have arrived.
#[derive(Clone, Default)]
pub struct Gate(Rc<RefCell<GateState>>);

type Message = Box<dyn FnOnce(&mut Core)>;

#[derive(Default)]
struct GateState {
    paused: bool,
    dead: bool,
    held: VecDeque<Message>,
}

impl Gate {
    /// Kills the node: all later messages are dropped.
    pub fn kill(&self) {
        self.0.borrow_mut().dead = true;
    }

    /// Holds back all messages from now on.
    pub fn pause(&self) {
        self.0.borrow_mut().paused = true;
    }

    /// Passes the messages that were held back, and all later ones.
    pub fn resume(&self, core: &mut Core) {
        self.0.borrow_mut().paused = false;
        let held = std::mem::take(&mut self.0.borrow_mut().held);
        for message in held {
            message(core);
        }
    }

    pub fn pass(&self, core: &mut Core, message: impl FnOnce(&mut Core) + 'static) {
        let mut state = self.0.borrow_mut();
        if state.dead {
            return;
        }
        if state.paused {
            state.held.push_back(Box::new(message));
            return;
        }
        drop(state);
        message(core);
    }

    pub fn wrap<T: 'static>(&self, core: &mut Core, ret: Ret<T>) -> Ret<T> {
        let (gate, deferrer) = (self.clone(), core.deferrer());
        Ret::new(move |value: Option<T>| {
            deferrer.defer(move |stakker| {
                gate.pass(stakker, move |_| match value {
                    Some(value) => ret.ret(value),
                    None => drop(ret),
                });
            });
        })
    }
}

pub struct GatedLog {
    pub inner: Rc<FakePlatform>,
    pub gate: Gate,
}

impl LogPort for GatedLog {
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        let ret = self.gate.wrap(core, ret);
        let (inner, stream) = (Rc::clone(&self.inner), stream.clone());
        self.gate
            .pass(core, move |core| inner.append(core, &stream, records, ret));
    }

    fn read(
        &self,
        core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    ) {
        let ret = self.gate.wrap(core, ret);
        let (inner, stream) = (Rc::clone(&self.inner), stream.clone());
        self.gate.pass(core, move |core| {
            inner.read(core, &stream, from, limit_bytes, ret);
        });
    }
}

pub struct GatedPeers {
    pub inner: Rc<dyn PeerPort>,
    pub gate: Gate,
}

impl PeerPort for GatedPeers {
    fn call(
        &self,
        core: &mut Core,
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    ) {
        let ret = self.gate.wrap(core, ret);
        let (inner, to) = (Rc::clone(&self.inner), to.clone());
        self.gate
            .pass(core, move |core| inner.call(core, &to, call, ret));
    }
}
