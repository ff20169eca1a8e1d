//! Blocking jobs on I/O threads, with answers and events delivered on the actor thread.
//!
//! Terms: *pending* holds the `Ret` or `Fwd` of each running job, which must not leave the actor
//! thread; a job knows only its key.
//!
//! Invariants: a key is used once; an event for a key no longer pending is dropped.

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
type Answers = Rc<RefCell<HashMap<u64, Waiter>>>;

enum Waiter {
    Answer(Box<dyn FnOnce(Value)>),
    Events(Rc<dyn Fn(Value)>),
}

/// Jobs that may wait for an I/O thread.
const QUEUED_JOBS: usize = 4096;

/// Runs blocking jobs on threads and brings their results back; cheap to clone on its thread.
#[derive(Clone)]
pub struct Bridge {
    link: InboxSender,
    pending: Answers,
    next_key: Rc<RefCell<u64>>,
    queue: Sender<Job>,
    workers: Arc<Workers>,
}

/// The threads that run queued jobs; started as they are needed, up to a limit.
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
    static PENDING: RefCell<HashMap<u64, Answers>> = RefCell::new(HashMap::new());
}

impl Bridge {
    /// Opens a bridge into `inbox` that uses at most `threads` I/O threads.
    pub fn open(inbox: &Inbox, threads: usize) -> Self {
        let (queue, receiver) = bounded(QUEUED_JOBS);
        let pending: Answers = Rc::default();
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
        PENDING.with_borrow_mut(|map| map.insert(bridge.id(), pending));
        bridge
    }

    /// A link into the node's inbox.
    pub fn link(&self) -> InboxSender {
        self.link.clone()
    }

    /// The number of jobs whose answer or events are still awaited.
    pub fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Runs `job` on an I/O thread and gives its result to `ret`.
    ///
    /// `ret` is called with `refused` at once where too many jobs are queued already.
    pub fn call<T: Send + 'static>(
        &self,
        job: impl FnOnce() -> T + Send + 'static,
        refused: impl FnOnce() -> T,
        ret: Ret<T>,
    ) {
        let completer = self.completer(ret);
        let (id, key) = (completer.inner.id, completer.inner.key);
        // A job that panics drops the completer, which drops `ret`: its waiter is told that no
        // answer comes instead of waiting for ever.
        let queued = self.submit(Box::new(move || {
            completer.complete(job());
        }));
        if let Err(job) = queued {
            // Guards against a refusal that shows as "no answer came", so that a caller would be
            // told that its request may have run: dropping the job drops `ret` with its completer.
            // The refusal goes first, and the drop then finds no waiter.
            deliver_answer(id, key, Box::new(refused()));
            drop(job);
        }
    }

    /// Runs `job` on an I/O thread; each event it sends goes to `fwd`, in order.
    ///
    /// Returns `false`, and drops `job` unrun, where too many jobs are queued already.
    pub fn stream<E: Send + 'static>(
        &self,
        job: impl FnOnce(EventSender<E>) + Send + 'static,
        fwd: Fwd<E>,
    ) -> bool {
        let sender = self.sender_to(fwd);
        self.submit(Box::new(move || job(sender))).is_ok()
    }

    /// Makes a completer: whoever holds it, on any thread, gives `ret` its value.
    pub fn completer<T: Send + 'static>(&self, ret: Ret<T>) -> Completer<T> {
        let key = self.add(Waiter::Answer(Box::new(move |value| {
            if let Ok(value) = value.downcast::<T>() {
                ret.ret(*value);
            }
        })));
        Completer {
            inner: self.sender(key),
        }
    }

    /// Makes a sender: whoever holds it, on any thread, sends events to `fwd`, in order.
    pub fn sender_to<E: Send + 'static>(&self, fwd: Fwd<E>) -> EventSender<E> {
        let key = self.add(Waiter::Events(Rc::new(move |value: Value| {
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

    fn add(&self, waiter: Waiter) -> u64 {
        let mut next = self.next_key.borrow_mut();
        *next += 1;
        self.pending.borrow_mut().insert(*next, waiter);
        *next
    }

    /// Queues a job; hands it back where there is no room.
    fn submit(&self, job: Job) -> Result<(), Job> {
        self.queue.try_send(job).map_err(TrySendError::into_inner)?;
        self.start_worker();
        Ok(())
    }

    fn start_worker(&self) {
        let workers = &self.workers;
        let enough = workers.idle.load(Ordering::Acquire) > workers.queue.len();
        let started = workers.started.load(Ordering::Acquire);
        if enough || started >= workers.limit {
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
            Err(error) => log::warn!("no thread for an I/O job, it waits: {error}"),
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
                Ok(job) => run_guarded(job),
                Err(_) => return,
            }
        }
    }
}

/// Runs a job so that its panic ends the job, not the thread that other jobs wait for.
fn run_guarded(job: Job) {
    if catch_unwind(AssertUnwindSafe(job)).is_err() {
        log::error!("an I/O job panicked; its caller is told that no answer came");
    }
}

/// Sends the events of one streaming job; dropping it ends the stream.
#[derive(Debug)]
pub struct EventSender<E> {
    id: u64,
    key: u64,
    link: InboxSender,
    event: PhantomData<fn(E)>,
}

impl<E: Send + 'static> EventSender<E> {
    /// Sends one event; `false` once the node is gone and the job should end.
    pub fn send(&self, event: E) -> bool {
        let (id, key) = (self.id, self.key);
        let value: Value = Box::new(event);
        self.link.send(move |_| deliver_event(id, key, value))
    }
}

impl<E> Drop for EventSender<E> {
    fn drop(&mut self) {
        let (id, key) = (self.id, self.key);
        // The actor thread must never send to its own inbox: full, it would wait for itself, and
        // the node would stand still. There the waiter is within reach and dropped directly.
        if pending_of(id).is_some() {
            return forget(id, key);
        }
        self.link.send(move |_| forget(id, key));
    }
}

/// Gives one `Ret` its value from any thread; dropping it unused drops the `Ret`.
#[derive(Debug)]
pub struct Completer<T> {
    inner: EventSender<T>,
}

impl<T: Send + 'static> Completer<T> {
    /// Gives the value; `false` once the node is gone.
    pub fn complete(self, value: T) -> bool {
        let (id, key) = (self.inner.id, self.inner.key);
        let value: Value = Box::new(value);
        self.inner
            .link
            .send(move |_| deliver_answer(id, key, value))
    }
}

fn pending_of(id: u64) -> Option<Answers> {
    PENDING.with_borrow(|map| map.get(&id).cloned())
}

fn deliver_answer(id: u64, key: u64, value: Value) {
    let Some(pending) = pending_of(id) else {
        return;
    };
    let waiter = pending.borrow_mut().remove(&key);
    if let Some(Waiter::Answer(call)) = waiter {
        call(value);
    }
}

fn deliver_event(id: u64, key: u64, value: Value) {
    let Some(pending) = pending_of(id) else {
        return;
    };
    let call = match pending.borrow().get(&key) {
        Some(Waiter::Events(call)) => Rc::clone(call),
        _ => return,
    };
    call(value);
}

fn forget(id: u64, key: u64) {
    let Some(pending) = pending_of(id) else {
        return;
    };
    // Dropped outside the borrow: a dropped `Ret` runs code that may use the bridge again.
    let waiter = pending.borrow_mut().remove(&key);
    drop(waiter);
}
