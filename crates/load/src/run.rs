//! A run: threads that take the schedule's requests in turn, the probe of nodes, the live line and
//! the report at the end.
//!
//! Invariants: a thread takes the next request of the schedule only when it is free, and waits for
//! its instant; where all are busy the request starts late, which its latency includes and the
//! report counts.

use crate::balancer::Balancer;
use crate::client::agent;
use crate::exchange::{Exchange, Shared};
use crate::live;
use crate::plan::{LoadPlan, PlanError};
use crate::prompt::PromptMaker;
use crate::report::Report;
use crate::schedule::{Kind, Planned, Schedule};
use crate::tally::Tally;
use crate::truth::{Untruths, compare};
use bluebell_base::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often nodes are asked whether they are ready, and the live line is written.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The longest wait for an instant before it is checked whether the run shall stop.
const MAX_NAP: Duration = Duration::from_millis(100);

/// What the threads of a run share.
struct State {
    shared: Shared,
    schedule: Schedule,
    next: AtomicUsize,
    begun: AtomicU64,
    stopped: AtomicBool,
    tally: Mutex<Tally>,
}

impl State {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        // A thread that panicked while counting leaves counts that are still worth reading.
        self.tally
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// The next request of the schedule, at its instant; none at the end or when stopped.
    fn take_next(&self) -> Option<Planned> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let planned = *self.schedule.0.get(index)?;
        let at = self.shared.start + Duration::from_micros(planned.at_us);
        while !self.is_stopped() {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let through = u64::from(planned.kind != Kind::Direct);
                self.begun.fetch_add(through, Ordering::Relaxed);
                return Some(planned);
            }
            std::thread::sleep(left.min(MAX_NAP));
        }
        None
    }

    /// How many requests were to be sent: those of the schedule, or those that began before an
    /// early end.
    fn offered(&self) -> u64 {
        match self.is_stopped() {
            true => self.begun.load(Ordering::Relaxed),
            false => self.schedule.offered(),
        }
    }
}

/// A run under way.
pub struct LoadRun {
    state: Arc<State>,
    workers: Vec<JoinHandle<()>>,
    watcher: JoinHandle<()>,
}

/// Starts a run.
///
/// # Errors
/// Every fault of the plan.
pub fn spawn(plan: LoadPlan) -> Result<LoadRun, Vec<PlanError>> {
    plan.check()?;
    let schedule = Schedule::of(&plan);
    let threads = plan.threads.min(schedule.0.len());
    let state = Arc::new(State {
        shared: Shared {
            balancer: Balancer::new(&plan.targets),
            prompts: PromptMaker::new(run_number(plan.seed)),
            agent: agent(&plan),
            start: Instant::now(),
            plan,
        },
        schedule,
        next: AtomicUsize::new(0),
        begun: AtomicU64::new(0),
        stopped: AtomicBool::new(false),
        tally: Mutex::new(Tally::new()),
    });
    let workers = (0..threads).map(|_| spawn_worker(state.clone())).collect();
    let watcher = spawn_watcher(state.clone());
    Ok(LoadRun {
        state,
        workers,
        watcher,
    })
}

/// Differs from run to run, so that keys and prompts of an earlier run are never met again.
fn run_number(seed: u64) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (now.as_nanos() as u64).rotate_left(17) ^ seed
}

fn spawn_worker(state: Arc<State>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        while let Some(planned) = state.take_next() {
            let record = Exchange::run(&state.shared, planned);
            state.tally().record(record);
        }
    })
}

fn spawn_watcher(state: Arc<State>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let shows = state.shared.plan.live && live::is_seen();
        while !state.is_stopped() {
            state.shared.balancer.probe(&state.shared.agent);
            if shows {
                live::write(
                    &state.tally(),
                    state.schedule.offered(),
                    state.shared.start.elapsed(),
                );
            }
            std::thread::park_timeout(WATCH_INTERVAL);
        }
        if shows {
            live::end();
        }
    })
}

impl LoadRun {
    /// Ends the run early: requests under way end, no further ones begin.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::Relaxed);
    }

    /// How many requests have ended so far.
    pub fn ended(&self) -> u64 {
        self.state.tally().ended
    }

    /// Waits for the end and checks verdicts against what upstreams ran.
    pub fn join(self) -> Report {
        for worker in self.workers {
            if worker.join().is_err() {
                log::error!("a thread of the load panicked; its request is not counted");
            }
        }
        let took_ms = SpanMs(self.state.shared.start.elapsed().as_millis() as u64);
        let offered = self.state.offered();
        self.state.stopped.store(true, Ordering::Relaxed);
        self.watcher.thread().unpark();
        if self.watcher.join().is_err() {
            log::error!("the watcher of the load panicked");
        }
        let tally = self.state.tally();
        let plan = &self.state.shared.plan;
        Report::of(
            &tally,
            plan.seed,
            offered,
            took_ms,
            plan.oracle.is_some(),
            untruths(plan, &tally),
        )
    }
}

/// Compares verdicts with what upstreams ran; none where that can't be known.
fn untruths(plan: &LoadPlan, tally: &Tally) -> Option<Untruths> {
    let source = plan.run_source.as_ref()?;
    Some(compare(&tally.claims, &source.counts()))
}
