//! The parts that both interfaces share: listening, worker threads, bodies, answers and
//! credentials.

pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod credentials;
pub(crate) mod head;
pub(crate) mod limits;
pub(crate) mod listener;
pub(crate) mod outlet;
pub(crate) mod oversize;
pub(crate) mod workers;
