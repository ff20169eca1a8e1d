//! Control's events (configurations and leases), passed to the parts that act on them.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_claims::ShardOwner;
use bluebell_config::FleetConfig;
use bluebell_control::{ControlEvent, Duty, Lease};
use stakker::{CX, call};

impl Hub {
    /// Handles a change of the configuration in force or of a lease.
    pub fn on_control(&mut self, cx: CX![], event: ControlEvent) {
        match event {
            ControlEvent::Config { version, config } => self.on_config(cx, version, config),
            ControlEvent::Holder(lease) => self.on_holder(cx, lease),
            ControlEvent::Held { lease, until_ms } => self.on_held(cx, lease, until_ms),
            ControlEvent::Lost(duty) => self.on_lost(cx, duty),
        }
    }

    fn on_config(&mut self, _cx: CX![], version: ConfigVersion, config: Arc<FleetConfig>) {
        log::info!("configuration {version} is in force");
        let parts = &mut self.parts;
        parts.card.config = version;
        parts.metrics.config_version(version);
        parts.requests.set_config(version, Arc::clone(&config));
        parts.callers.set_config(Arc::clone(&config));
        call!([parts.members], config_changed(version));
        self.update_ready();
    }

    fn on_holder(&mut self, cx: CX![], lease: Lease) {
        if let Duty::Shard(shard) = lease.duty {
            let owner = ShardOwner {
                shard,
                incarnation: lease.holder,
                address: lease.address,
            };
            self.parts.claims.set_owner(cx, owner);
        }
    }

    fn on_held(&mut self, cx: CX![], lease: Lease, until_ms: MonoMs) {
        match lease.duty {
            Duty::Shard(shard) => {
                self.parts
                    .claims
                    .shard_held(cx, shard, lease.fencing, until_ms);
            }
            Duty::Directory => {
                call!([self.parts.members], duty_held(lease.fencing, until_ms));
            }
            Duty::Snapshot | Duty::Coordinator(_) => (),
        }
    }

    fn on_lost(&mut self, cx: CX![], duty: Duty) {
        match duty {
            Duty::Shard(shard) => self.parts.claims.shard_lost(cx, shard),
            Duty::Directory => call!([self.parts.members], duty_lost()),
            Duty::Snapshot | Duty::Coordinator(_) => (),
        }
    }
}
