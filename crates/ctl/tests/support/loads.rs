//! Load on a fleet of processes, each answer checked, and what its report must say.

use super::fleet::Fleet;
use super::wait_for;
use bluebell_base::prelude::*;
use bluebell_load::{
    AccountKey, ClassPlan, HttpRunSource, KeyedPlan, LoadPlan, LoadRun, Report, RunCounts,
    RunSource, ServicePlan, StandInOracle,
};
use std::sync::{Mutex, PoisonError};

/// Tokens of each answer: long enough that many answers are under way at any moment.
const ANSWER_TOKENS: Tokens = Tokens(256);

/// What upstreams ran, those included that were asked just before they were killed.
pub struct Runs {
    live: HttpRunSource,
    kept: Mutex<RunCounts>,
}

impl Runs {
    /// The counts of all upstreams of a fleet.
    pub fn of(fleet: &Fleet) -> Arc<Self> {
        Arc::new(Self {
            live: HttpRunSource::open(fleet.upstreams()),
            kept: Mutex::default(),
        })
    }

    /// Keeps what an upstream ran so far, since it is killed next.
    pub fn keep(&self, upstream: &Address) {
        let counts = HttpRunSource::open(vec![upstream.clone()]).counts();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.counts.extend(counts.counts);
    }
}

impl RunSource for Runs {
    fn counts(&self) -> RunCounts {
        let mut counts = self.live.counts();
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        counts.counts.extend(kept.counts.iter().cloned());
        counts
    }
}

/// Work that may be repeated, work that must run at most once, and calls to the service.
pub fn mixed(fleet: &Fleet, runs: &Arc<Runs>, requests: u64, per_second: f64) -> LoadPlan {
    LoadPlan {
        keyed: Some(KeyedPlan {
            class: "notice".into(),
            answer_tokens: ANSWER_TOKENS,
            share: 0.3,
        }),
        service: Some(ServicePlan {
            path: "/services/board/notices".into(),
            share: 0.1,
        }),
        ..repeatable(fleet, runs, requests, per_second)
    }
}

/// Only work that may be repeated.
pub fn repeatable(fleet: &Fleet, runs: &Arc<Runs>, requests: u64, per_second: f64) -> LoadPlan {
    let class = |name: &str, up_to_tokens| ClassPlan {
        name: name.into(),
        up_to_tokens,
        answer_tokens: ANSWER_TOKENS,
    };
    let account = AccountKey::new("demo-key-0");
    LoadPlan {
        rate: PerSecond(per_second),
        requests,
        max_prompt_tokens: Some(Tokens(16_000)),
        classes: vec![
            class("short-draft", Some(Tokens(4_000))),
            class("condensed-text", None),
        ],
        accounts: (0..4)
            .map(|i| AccountKey::new(format!("demo-key-{i}")))
            .collect(),
        oracle: Some(Arc::new(StandInOracle)),
        run_source: Some(runs.clone()),
        patience_ms: SpanMs::from_secs(20),
        live: false,
        ..LoadPlan::new(fleet.callers(), account, "condensed-text".into())
    }
}

/// Starts a load.
pub fn spawn(plan: LoadPlan) -> LoadRun {
    bluebell_load::spawn(plan).unwrap_or_else(|faults| panic!("{faults:?}"))
}

/// Waits until so many requests have ended.
pub fn wait_ended(run: &LoadRun, requests: u64) {
    wait_for("requests to end", || run.ended() >= requests);
}

/// Nothing crossed, doubled, cut or untrue, and each request got its word.
pub fn assert_true(report: &Report) {
    assert!(report.is_clean(), "{report}\n{:?}", report.faults);
    assert_eq!(report.lost, 0, "{report}");
    assert_eq!(report.ended, report.offered, "{report}");
    assert!(report.checked.identity, "{report}");
}
