//! Tests the actors that use the log against the stand-in platform under virtual time.

mod appender;
mod support;
mod tail;
