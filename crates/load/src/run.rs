//! Runs a load plan: worker threads send the requests of the schedule in turn, and a watcher thread
//! probes nodes and writes the progress line. Returns the report at the end.
//!
//! Invariants: a thread takes the next request of the schedule only when it is free, and waits for
//! its scheduled time. If all threads are busy, the request starts late. Its latency includes the
//! delay, and the report counts the late start.

use crate::balancer::Balancer;
use crate::client::agent;
use crate::exchange::{Exchange, Shared};
use crate::live;
use crate::plan::{LoadPlan, PlanError};
use crate::prompt::PromptMaker;
use crate::report::Report;
use crate::schedule::{Kind, Planned, Schedule};
use crate::tally::Tally;
use crate::verdict_check::{VerdictFaults, compare};
use bluebell_base::prelude::*;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval at which nodes' readiness is probed and the progress line is written.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// The longest sleep of a worker before it checks again whether the run was stopped.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// The state that the threads of a run share.
struct State {
    shared: Shared,
    schedule: Schedule,
    next: AtomicUsize,
    started: AtomicU64,
    stopped: AtomicBool,
    tally: Mutex<Tally>,
}

impl State {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        // The counts are still useful after a thread panicked while it held the lock.
        self.tally
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits until the next request of the schedule is due and returns it; `None` at the end of the
    /// schedule or if the run was stopped.
    fn take_next(&self) -> Option<Planned> {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let planned = *self.schedule.0.get(index)?;
        let at = self.shared.start + Duration::from_micros(planned.at_us);
        while !self.is_stopped() {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let through = u64::from(planned.kind != Kind::Direct);
                self.started.fetch_add(through, Ordering::Relaxed);
                return Some(planned);
            }
            std::thread::sleep(left.min(MAX_SLEEP));
        }
        None
    }

    /// Returns the number of requests offered to the system: all of the schedule, or only those
    /// that were started if the run was stopped early. Direct calls to an engine aren't included.
    fn offered(&self) -> u64 {
        match self.is_stopped() {
            true => self.started.load(Ordering::Relaxed),
            false => self.schedule.offered(),
        }
    }
}

/// A run in progress.
pub struct LoadRun {
    state: Arc<State>,
    workers: Vec<JoinHandle<()>>,
    watcher: JoinHandle<()>,
}

/// Starts a run.
///
/// # Errors
/// Returns every problem of the plan.
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
        started: AtomicU64::new(0),
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

/// Returns a number that differs from run to run, so that keys and prompts of an earlier run are not
/// used again.
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
        let shows_progress = state.shared.plan.live && live::is_terminal();
        while !state.is_stopped() {
            state.shared.balancer.probe(&state.shared.agent);
            if shows_progress {
                live::write(
                    &state.tally(),
                    state.schedule.offered(),
                    state.shared.start.elapsed(),
                );
            }
            std::thread::park_timeout(WATCH_INTERVAL);
        }
        if shows_progress {
            live::end();
        }
    })
}

impl LoadRun {
    /// Stops the run early: requests in progress continue to their end, and no more are started.
    pub fn stop(&self) {
        self.state.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests through the system that have ended so far.
    pub fn ended(&self) -> u64 {
        self.state.tally().ended
    }

    /// Waits for the end of the run, compares verdicts with upstreams' run counts and returns the
    /// report.
    pub fn join(self) -> Report {
        for worker in self.workers {
            if worker.join().is_err() {
                log::error!("a load worker thread panicked; its request is not counted");
            }
        }
        let took_ms = SpanMs(self.state.shared.start.elapsed().as_millis() as u64);
        let offered = self.state.offered();
        self.state.stopped.store(true, Ordering::Relaxed);
        self.watcher.thread().unpark();
        if self.watcher.join().is_err() {
            log::error!("the load watcher thread panicked; nodes were no longer probed");
        }
        let tally = self.state.tally();
        let plan = &self.state.shared.plan;
        Report::of(
            &tally,
            plan.seed,
            offered,
            took_ms,
            plan.oracle.is_some(),
            check_verdicts(plan, &tally),
        )
    }
}

/// Compares verdicts with upstreams' run counts; `None` if the plan has no source of run counts.
fn check_verdicts(plan: &LoadPlan, tally: &Tally) -> Option<VerdictFaults> {
    let source = plan.run_source.as_ref()?;
    Some(compare(&tally.reported_verdicts, &source.counts()))
}
