//! Open-loop load on any address that speaks the callers' interface, with a check of each answer
//! and a report by prompt length.
//!
//! Terms: a *plan* is what was asked for; a *schedule* is the plan's requests with their
//! instants, made in advance from a seed; a *fault* is something the system must never do, such
//! as a crossed answer; the *oracle* knows the answer that a prompt must get.
//!
//! Invariants: the same plan and seed give the same schedule; latency counts from the scheduled
//! instant, so that a late start of the caller's own can't hide waiting (coordinated omission);
//! threads and prompts in memory are bounded by the plan.

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
mod truth;
mod wire;

pub use answer::{AnswerCheck, AnswerFault, Expected, Oracle, StandInOracle};
pub use direct::HttpDirectEngine;
pub use mix::Mix;
pub use plan::{AccountKey, ClassPlan, DirectEngine, KeyedPlan, LoadPlan, PlanError, ServicePlan};
pub use prompt::PromptMaker;
pub use report::{BandReport, LatencyReport, Report};
pub use run::{LoadRun, spawn};
pub use schedule::{Kind, Planned, Schedule};
pub use truth::{HttpRunSource, RunCount, RunCounts, RunSource};
