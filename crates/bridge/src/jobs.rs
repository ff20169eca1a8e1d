//! Blocking jobs on I/O threads, with answers and events delivered on the actor thread.
//!
//! Terms: a *waiter* is the `Ret` or `Fwd` of a job. It must not leave the actor thread, so a job
//! has only its key in the map of *pending* waiters.
//!
//! Invariants: a key is used once; an event for a key that is no longer pending is dropped.

use crate::inbox::{Inbox, InboxSender};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use stakker::{Fwd, Ret};
use std::any::Any;
use std::cell::RefCell;
use std::collections::HashMap;
use std::marker::PhantomData;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

type Job = Box<dyn FnOnce() + Send>;
type Value = Box<dyn Any + Send>;
type Waiters = Rc<RefCell<HashMap<u64, Waiter>>>;

enum Waiter {
    Answer(Box<dyn FnOnce(Value)>),
    Events(Rc<dyn Fn(Value)>),
}

/// The maximum number of jobs that wait for an I/O thread.
const MAX_QUEUED_JOBS: usize = 4096;

/// Runs blocking jobs on I/O threads and delivers their results on the actor thread. It is cheap to
/// clone on its thread.
#[derive(Clone)]
pub struct Bridge {
    link: InboxSender,
    pending: Waiters,
    next_key: Rc<RefCell<u64>>,
    queue: Sender<Job>,
    workers: Arc<Workers>,
}

/// The threads that run queued jobs. They are started as needed, up to a limit.
#[derive(Debug)]
struct Workers {
    queue: Receiver<Job>,
    idle: AtomicUsize,
    started: AtomicUsize,
    limit: usize,
}

impl std::fmt::Debug for Bridge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Bridge")
            .field("pending", &self.pending.borrow().len())
            .field("threads", &self.workers.started.load(Ordering::Relaxed))
            .finish()
    }
}

thread_local! {
    static BRIDGES: RefCell<HashMap<u64, Waiters>> = RefCell::new(HashMap::new());
}

impl Bridge {
    /// Opens a bridge into `inbox` that uses at most `threads` I/O threads.
    pub fn open(inbox: &Inbox, threads: usize) -> Self {
        let (queue, receiver) = bounded(MAX_QUEUED_JOBS);
        let pending: Waiters = Rc::default();
        let workers = Workers {
            queue: receiver,
            idle: AtomicUsize::new(0),
            started: AtomicUsize::new(0),
            limit: threads.max(1),
        };
        let bridge = Self {
            link: inbox.link(),
            pending: pending.clone(),
            next_key: Rc::default(),
            queue,
            workers: Arc::new(workers),
        };
        BRIDGES.with_borrow_mut(|map| map.insert(bridge.id(), pending));
        bridge
    }

    /// Returns a link to the node's inbox.
    pub fn link(&self) -> InboxSender {
        self.link.clone()
    }

    /// Returns the number of jobs whose answer or events are pending.
    pub fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Runs `job` on an I/O thread and passes its result to `ret`.
    ///
    /// If too many jobs are queued, `ret` is called with the result of `refused` at once.
    pub fn call<T: Send + 'static>(
        &self,
        job: impl FnOnce() -> T + Send + 'static,
        refused: impl FnOnce() -> T,
        ret: Ret<T>,
    ) {
        let completer = self.completer(ret);
        let (id, key) = (completer.inner.id, completer.inner.key);
        // A job that panics drops the completer, which drops `ret`. The waiter is then called with
        // `None` instead of never.
        let queued = self.submit(Box::new(move || {
            completer.complete(job());
        }));
        if let Err(job) = queued {
            // Dropping the job drops `ret` with its completer. The refusal would then appear as a
            // missing answer, and the caller would get that its request may have run. The refusal is
            // therefore delivered first, so that the drop finds no waiter.
            deliver_answer(id, key, Box::new(refused()));
            drop(job);
        }
    }

    /// Runs `job` on an I/O thread and passes each event that it sends to `fwd`, in order.
    ///
    /// If too many jobs are queued, returns false and drops `job` without running it.
    pub fn stream<E: Send + 'static>(
        &self,
        job: impl FnOnce(EventSender<E>) + Send + 'static,
        fwd: Fwd<E>,
    ) -> bool {
        let sender = self.sender_to(fwd);
        self.submit(Box::new(move || job(sender))).is_ok()
    }

    /// Creates a completer, which passes a value to `ret` from any thread.
    pub fn completer<T: Send + 'static>(&self, ret: Ret<T>) -> Completer<T> {
        let key = self.add_waiter(Waiter::Answer(Box::new(move |value| {
            if let Ok(value) = value.downcast::<T>() {
                ret.ret(*value);
            }
        })));
        Completer {
            inner: self.sender(key),
        }
    }

    /// Creates a sender, which passes events to `fwd` from any thread, in order.
    pub fn sender_to<E: Send + 'static>(&self, fwd: Fwd<E>) -> EventSender<E> {
        let key = self.add_waiter(Waiter::Events(Rc::new(move |value: Value| {
            if let Ok(value) = value.downcast::<E>() {
                fwd.fwd(*value);
            }
        })));
        self.sender(key)
    }

    fn sender<E>(&self, key: u64) -> EventSender<E> {
        EventSender {
            id: self.id(),
            key,
            link: self.link.clone(),
            event: PhantomData,
        }
    }

    fn id(&self) -> u64 {
        Rc::as_ptr(&self.pending) as u64
    }

    fn add_waiter(&self, waiter: Waiter) -> u64 {
        let mut next = self.next_key.borrow_mut();
        *next += 1;
        self.pending.borrow_mut().insert(*next, waiter);
        *next
    }

    /// Queues a job, or returns it as the error if the queue is full.
    fn submit(&self, job: Job) -> Result<(), Job> {
        self.queue.try_send(job).map_err(TrySendError::into_inner)?;
        self.start_worker();
        Ok(())
    }

    fn start_worker(&self) {
        let workers = &self.workers;
        let has_idle_thread = workers.idle.load(Ordering::Acquire) > workers.queue.len();
        let started = workers.started.load(Ordering::Acquire);
        if has_idle_thread || started >= workers.limit {
            return;
        }
        let own = Arc::clone(workers);
        let spawned = thread::Builder::new()
            .name(format!("io-{started}"))
            .spawn(move || own.run());
        match spawned {
            Ok(_) => {
                workers.started.fetch_add(1, Ordering::AcqRel);
            }
            Err(error) => log::warn!("can't start a thread for an I/O job, the job waits: {error}"),
        }
    }
}

impl Workers {
    fn run(&self) {
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
            let job = self.queue.recv();
            self.idle.fetch_sub(1, Ordering::AcqRel);
            match job {
                Ok(job) => run_catching_panic(job),
                Err(_) => return,
            }
        }
    }
}

/// Runs a job and catches its panic, so that the thread can run other jobs.
fn run_catching_panic(job: Job) {
    if catch_unwind(AssertUnwindSafe(job)).is_err() {
        log::error!("an I/O job panicked; its caller gets no answer");
    }
}

/// Sends the events of a streaming job. Dropping it ends the stream.
#[derive(Debug)]
pub struct EventSender<E> {
    id: u64,
    key: u64,
    link: InboxSender,
    event: PhantomData<fn(E)>,
}

impl<E: Send + 'static> EventSender<E> {
    /// Sends an event. Returns false if the node has ended and the job should end too.
    pub fn send(&self, event: E) -> bool {
        let (id, key) = (self.id, self.key);
        let value: Value = Box::new(event);
        self.link.send(move |_| deliver_event(id, key, value))
    }
}

impl<E> Drop for EventSender<E> {
    fn drop(&mut self) {
        let (id, key) = (self.id, self.key);
        // The actor thread must never send to its own inbox: if the inbox is full, the thread would
        // wait for itself and the node would deadlock. On that thread the waiter is accessible and
        // is dropped directly.
        if waiters_of(id).is_some() {
            return drop_waiter(id, key);
        }
        self.link.send(move |_| drop_waiter(id, key));
    }
}

/// Passes a value to a `Ret` from any thread. Dropping it unused drops the `Ret`.
#[derive(Debug)]
pub struct Completer<T> {
    inner: EventSender<T>,
}

impl<T: Send + 'static> Completer<T> {
    /// Passes the value to the `Ret`. Returns false if the node has ended.
    pub fn complete(self, value: T) -> bool {
        let (id, key) = (self.inner.id, self.inner.key);
        let value: Value = Box::new(value);
        self.inner
            .link
            .send(move |_| deliver_answer(id, key, value))
    }
}

fn waiters_of(id: u64) -> Option<Waiters> {
    BRIDGES.with_borrow(|map| map.get(&id).cloned())
}

fn deliver_answer(id: u64, key: u64, value: Value) {
    let Some(pending) = waiters_of(id) else {
        return;
    };
    let waiter = pending.borrow_mut().remove(&key);
    if let Some(Waiter::Answer(call)) = waiter {
        call(value);
    }
}

fn deliver_event(id: u64, key: u64, value: Value) {
    let Some(pending) = waiters_of(id) else {
        return;
    };
    let call = match pending.borrow().get(&key) {
        Some(Waiter::Events(call)) => Rc::clone(call),
        _ => return,
    };
    call(value);
}

fn drop_waiter(id: u64, key: u64) {
    let Some(pending) = waiters_of(id) else {
        return;
    };
    // The waiter is dropped outside the borrow: a dropped `Ret` runs code that may use the bridge.
    let waiter = pending.borrow_mut().remove(&key);
    drop(waiter);
}
