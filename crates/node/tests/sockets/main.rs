//! Tests of nodes over real sockets, with stand-ins in the same process.

mod leaving;
mod path;
mod ready;
mod streams;
mod support;
