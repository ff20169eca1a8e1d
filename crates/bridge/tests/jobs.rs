//! The bridge's jobs: answers, events, refusals and panics, on real threads.

use bluebell_bridge::{Bridge, EventSender, Inbox};
use stakker::{Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Generous bound on any wait in these tests.
const PATIENCE: Duration = Duration::from_secs(20);

type Seen = Rc<RefCell<Vec<Option<u32>>>>;

fn drive(inbox: &Inbox, stakker: &mut Stakker, done: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "nothing came within {PATIENCE:?}");
        stakker.run(Instant::now(), false);
        inbox.drain(stakker);
        std::thread::yield_now();
    }
}

fn record(seen: &Seen) -> Ret<u32> {
    let seen = Rc::clone(seen);
    Ret::new(move |value| seen.borrow_mut().push(value))
}

#[test]
fn an_answer_comes_back_on_the_actor_thread() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 2);
    let seen = Seen::default();
    bridge.call(|| 7, || 0, record(&seen));
    drive(&inbox, &mut stakker, || !seen.borrow().is_empty());
    assert_eq!(*seen.borrow(), [Some(7)]);
    assert_eq!(bridge.pending(), 0);
}

#[test]
fn events_keep_their_order() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 2);
    let seen = Seen::default();
    let kept = Rc::clone(&seen);
    let fwd = Fwd::new(move |value: u32| kept.borrow_mut().push(Some(value)));
    let taken = bridge.stream(
        |events| {
            for value in 0..100 {
                events.send(value);
            }
        },
        fwd,
    );
    assert!(taken);
    drive(&inbox, &mut stakker, || bridge.pending() == 0);
    let expected: Vec<_> = (0..100).map(Some).collect();
    assert_eq!(*seen.borrow(), expected);
}

/// A user sees one request hang for ever while others are served: a client library panics on a
/// strange answer, its thread unwinds, and the waiting `Ret` is never called. The bridge must
/// tell the waiter that nothing comes, and its only thread must serve the next job.
#[test]
fn a_panicking_job_drops_its_waiter_and_spares_its_thread() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 1);
    let seen = Seen::default();
    bridge.call(|| panic!("strange answer"), || 0, record(&seen));
    bridge.call(|| 8, || 0, record(&seen));
    drive(&inbox, &mut stakker, || seen.borrow().len() == 2);
    assert_eq!(*seen.borrow(), [None, Some(8)]);
}

/// A user sees a node that answers nobody: under a burst the inbox is full while the actor thread
/// drops the sender of a job it could not queue, and waits for room that only itself could make.
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

/// A user is told that its request may have run, though it never left the node: in a burst the
/// bridge has no room for the call's job, and the dropped job took its waiter with it before the
/// refusal could be delivered.
#[test]
fn a_job_without_room_is_answered_with_its_refusal() {
    let inbox = Inbox::open();
    let mut stakker = Stakker::new(Instant::now());
    let bridge = Bridge::open(&inbox, 1);
    let seen = Seen::default();
    let (release, held) = crossbeam_channel::bounded::<()>(0);
    let hold = move |_: EventSender<u32>| assert!(held.recv().is_err());
    assert!(bridge.stream(hold, Fwd::new(|_| ())));
    while bridge.stream(|_: EventSender<u32>| (), Fwd::new(|_| ())) {}
    bridge.call(|| 7, || 9, record(&seen));
    assert_eq!(*seen.borrow(), [Some(9)]);
    drop(release);
    drive(&inbox, &mut stakker, || bridge.pending() == 0);
    assert_eq!(*seen.borrow(), [Some(9)]);
}
