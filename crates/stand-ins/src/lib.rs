//! Small stand-ins for what lies outside the system: engines, plain services and the platform,
//! with faults that can be switched while they run.

pub mod engine;
pub mod faults;
pub mod listen;
pub mod platform;
pub mod serve;
pub mod service;
