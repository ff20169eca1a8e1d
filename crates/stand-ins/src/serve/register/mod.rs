//! Registers a stand-in with the platform's list of VMs, again and again.

use crate::platform::{Operator, VmChange};
use bluebell_base::prelude::*;
use bluebell_platform::{VmEntry, VmState};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How often the handle's end is looked for.
const TICK: Duration = Duration::from_millis(100);

/// A running registration; dropping it ends it.
#[derive(Debug)]
pub struct Registration {
    ended: Arc<AtomicBool>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Release);
    }
}

/// Posts `entry` to the platform at once and then every `interval`, each time with the state that
/// `state` gives.
pub fn register(
    platform: Address,
    entry: VmEntry,
    interval: Duration,
    state: impl Fn() -> VmState + Send + 'static,
) -> Registration {
    let ended = Arc::new(AtomicBool::new(false));
    let watched = Arc::clone(&ended);
    let spawned = thread::Builder::new()
        .name("register".into())
        .spawn(move || repeat(&platform, entry, interval, &state, &watched));
    if let Err(error) = spawned {
        log::warn!("no thread for the registration: {error}");
    }
    Registration { ended }
}

fn repeat(
    platform: &Address,
    mut entry: VmEntry,
    interval: Duration,
    state: &impl Fn() -> VmState,
    ended: &AtomicBool,
) {
    let operator = Operator::open(platform);
    while !ended.load(Ordering::Acquire) {
        entry.state = state();
        if let Err(error) = operator.change_vms(&VmChange::Put(entry.clone())) {
            log::info!("the platform did not take the registration: {error}");
        }
        let mut left = interval;
        while !left.is_zero() && !ended.load(Ordering::Acquire) {
            let pause = left.min(TICK);
            thread::sleep(pause);
            left -= pause;
        }
    }
}
