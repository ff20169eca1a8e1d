//! Keeps a stand-in on the platform's list of VMs.

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

/// Puts `entry` on the platform's list at once, and looks every `interval` whether it is still
/// there with the state that `state` gave last.
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
    let mut told = None;
    while !ended.load(Ordering::Acquire) {
        entry.state = state();
        // Put again only where the stand-in's own state changed or the platform forgot it, so that
        // what is set at the platform by hand, such as "leaving", stays.
        if told != Some(entry.state) || !operator.lists(&entry.name) {
            told = put(&operator, &entry).then_some(entry.state);
        }
        wait(interval, ended);
    }
}

fn put(operator: &Operator, entry: &VmEntry) -> bool {
    let put = operator.change_vms(&VmChange::Put(entry.clone()));
    if let Err(error) = &put {
        log::info!("the platform did not take the registration: {error}");
    }
    put.is_ok()
}

fn wait(interval: Duration, ended: &AtomicBool) {
    let mut left = interval;
    while !left.is_zero() && !ended.load(Ordering::Acquire) {
        let pause = left.min(TICK);
        thread::sleep(pause);
        left -= pause;
    }
}
