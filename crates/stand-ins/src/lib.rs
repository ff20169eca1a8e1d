//! Small fakes of what lies outside the system, with faults that can be switched while they run.

pub mod platform;
