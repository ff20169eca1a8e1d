//! Nodes over real sockets, before stand-ins in the same process.

mod leaving;
mod path;
mod ready;
mod streams;
mod support;
