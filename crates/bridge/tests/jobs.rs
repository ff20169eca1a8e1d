//! Jobs of the bridge on real threads: answers, events, refusals and panics.

use bluebell_bridge::{Bridge, EventSender, Inbox};
use stakker::{Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The maximum duration of any wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(20);

type Received = Rc<RefCell<Vec<Option<u32>>>>;

fn drive(inbox: &Inbox, stakker: &mut Stakker, done: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "nothing arrived within {TIMEOUT:?}");
        stakker.run(Instant::now(), false);
        inbox.drain(stakker);
        std::thread::yield_now();
    }
}

fn record(received: &Received) -> Ret<u32> {
    let received = Rc::clone(received);
    Ret::new(move |value| received.borrow_mut().push(value))
}

#[test]
fn an_answer_is_delivered_on_the_actor_thread() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 2);
    let received = Received::default();
    bridge.call(|| 7, || 0, record(&received));
    drive(&inbox, &mut stakker, || !received.borrow().is_empty());
    assert_eq!(*received.borrow(), [Some(7)]);
    assert_eq!(bridge.pending(), 0);
}

#[test]
fn events_keep_their_order() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 2);
    let received = Received::default();
    let kept = Rc::clone(&received);
    let fwd = Fwd::new(move |value: u32| kept.borrow_mut().push(Some(value)));
    let is_queued = bridge.stream(
        |events| {
            for value in 0..100 {
                events.send(value);
            }
        },
        fwd,
    );
    assert!(is_queued);
    drive(&inbox, &mut stakker, || bridge.pending() == 0);
    let expected: Vec<_> = (0..100).map(Some).collect();
    assert_eq!(*received.borrow(), expected);
}

/// A client library panics on an unexpected answer. Its thread unwinds, and if the waiting `Ret` were
/// never called, the request would hang forever while others are served. The bridge must drop the
/// waiter, and its only thread must run the next job.
#[test]
fn a_panicking_job_drops_its_waiter_and_keeps_its_thread() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 1);
    let received = Received::default();
    bridge.call(|| panic!("unexpected answer"), || 0, record(&received));
    bridge.call(|| 8, || 0, record(&received));
    drive(&inbox, &mut stakker, || received.borrow().len() == 2);
    assert_eq!(*received.borrow(), [None, Some(8)]);
}

/// In a burst the inbox is full while the actor thread drops the sender of a job that it could not
/// queue. If the drop waited for the inbox, which only this thread drains, the node would answer no
/// requests.
#[test]
fn dropping_a_sender_on_the_actor_thread_does_not_wait_for_a_full_inbox() {
    let inbox = Inbox::open();
    let bridge = Bridge::open(&inbox, 1);
    let sender = bridge.sender_to(Fwd::new(|_: u32| ()));
    let link = bridge.link();
    let filler = std::thread::spawn(move || while link.send(|_| ()) {});
    while !inbox.is_full() {
        std::thread::yield_now();
    }
    drop(sender);
    assert_eq!(bridge.pending(), 0);
    drop((bridge, inbox));
    filler.join().expect("the filler ends with the inbox");
}

/// In a burst the bridge's queue is full and it refuses the job of a call. If the dropped job dropped
/// its waiter before the refusal is delivered, the caller would get that its request may have run,
/// although the request never left the node.
#[test]
fn a_job_refused_by_a_full_queue_is_answered_with_its_refusal() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 1);
    let received = Received::default();
    let (release, held) = crossbeam_channel::bounded::<()>(0);
    let hold = move |_: EventSender<u32>| assert!(held.recv().is_err());
    assert!(bridge.stream(hold, Fwd::new(|_| ())));
    while bridge.stream(|_: EventSender<u32>| (), Fwd::new(|_| ())) {}
    bridge.call(|| 7, || 9, record(&received));
    assert_eq!(*received.borrow(), [Some(9)]);
    drop(release);
    drive(&inbox, &mut stakker, || bridge.pending() == 0);
    assert_eq!(*received.borrow(), [Some(9)]);
}
