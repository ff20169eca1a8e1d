//! Answers and events from threads that the bridge did not start.

use bluebell_bridge::{Bridge, Inbox};
use stakker::{Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::Instant;

struct Rig {
    stakker: Stakker,
    inbox: Inbox,
    bridge: Bridge,
    received: Rc<RefCell<Vec<Option<u32>>>>,
}

fn rig() -> Rig {
    let inbox = Inbox::open();
    Rig {
        stakker: Stakker::new(Instant::now()),
        bridge: Bridge::open(&inbox, 1),
        inbox,
        received: Rc::default(),
    }
}

impl Rig {
    fn ret(&self) -> Ret<u32> {
        let received = Rc::clone(&self.received);
        Ret::new(move |value| received.borrow_mut().push(value))
    }

    fn received(&mut self) -> Vec<Option<u32>> {
        self.inbox.drain(&mut self.stakker);
        self.received.take()
    }
}

#[test]
fn a_value_arrives_once_and_only_when_the_inbox_is_drained() {
    let mut rig = rig();
    let completer = rig.bridge.completer(rig.ret());
    let sent = thread::spawn(move || completer.complete(7));
    assert!(sent.join().expect("ends"));
    assert!(rig.received.borrow().is_empty());
    assert_eq!(rig.received(), [Some(7)]);
    assert_eq!(rig.received(), []);
    assert_eq!(rig.bridge.pending(), 0);
}

#[test]
fn a_dropped_completer_drops_the_ret() {
    let mut rig = rig();
    let completer = rig.bridge.completer(rig.ret());
    thread::spawn(move || drop(completer)).join().expect("ends");
    assert_eq!(rig.received(), [None]);
    assert_eq!(rig.bridge.pending(), 0);
}

#[test]
fn events_arrive_in_order_until_the_sender_is_dropped() {
    let mut rig = rig();
    let received = Rc::clone(&rig.received);
    let fwd = Fwd::new(move |value: u32| received.borrow_mut().push(Some(value)));
    let sender = rig.bridge.sender_to(fwd);
    let sent = thread::spawn(move || (0..3).all(|value| sender.send(value)));
    assert!(sent.join().expect("ends"));
    assert_eq!(rig.received(), [Some(0), Some(1), Some(2)]);
    assert_eq!(rig.bridge.pending(), 0);
}
