//! An open-loop load generator for any address that serves the callers' interface. It checks each
//! answer and reports latencies by prompt length.
//!
//! Terms: a *plan* is the configuration of a run. A *schedule* is the plan's requests with their
//! arrival times, generated in advance from a seed. A *fault* is something the system must never
//! do, such as a crossed answer (one with another prompt's tokens). The *oracle* computes the
//! correct answer to a prompt.
//!
//! Invariants: the same plan and seed give the same schedule. Latency is measured from the
//! scheduled time, so that a late start in the load generator can't hide waiting (coordinated
//! omission). The plan bounds the number of threads and of prompts in memory.

mod answer;
mod balancer;
mod client;
mod direct;
mod exchange;
mod live;
pub mod mix;
pub mod plan;
mod prompt;
pub mod report;
mod run;
pub mod schedule;
mod sse;
mod tally;
mod verdict_check;
mod wire;

pub use answer::{AnswerCheck, AnswerFault, Expected, Oracle, StandInOracle};
pub use direct::HttpDirectEngine;
pub use mix::Mix;
pub use plan::{AccountKey, ClassPlan, DirectEngine, KeyedPlan, LoadPlan, PlanError, ServicePlan};
pub use prompt::PromptMaker;
pub use report::{BandReport, LatencyReport, Report};
pub use run::{LoadRun, spawn};
pub use schedule::{Kind, Planned, Schedule};
pub use verdict_check::{HttpRunSource, RunCount, RunCounts, RunSource};
