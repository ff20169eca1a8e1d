//! Faults of the platform and of processes.

use super::*;

impl Fleet {
    pub fn change_vms(&mut self, change: VmChange) {
        let now_ms = WallMs(self.now_ms.0);
        let mut model = self.model.borrow_mut();
        model.change_vms(now_ms, change).expect("a listed VM");
    }

    /// The weight store holds these versions of model `m`, and gives them at 4 GB/s to all.
    pub fn put_weights(&mut self, versions: &[u64]) {
        for version in versions {
            self.model.borrow_mut().put_weights(WeightInfo {
                model: "m".into(),
                version: *version,
                size_bytes: Bytes(8_000_000_000),
                limit_bytes: PerSecond(4_000_000_000.0),
            });
        }
    }

    /// The log, the list and the weight store refuse all calls.
    pub fn set_platform_down(&mut self, down: bool) {
        self.model.borrow_mut().faults.down = down;
    }

    /// The log refuses all calls; the list and the weight store go on.
    pub fn set_log_down(&mut self, down: bool) {
        let rules = &mut self.model.borrow_mut().faults.rules;
        rules.retain(|rule| rule.client.is_some());
        let outage = |operation| FaultRule {
            operation: Some(operation),
            client: None,
            calls: u32::MAX,
            fault: Fault::Down,
        };
        if down {
            rules.extend([Operation::Append, Operation::Read].map(outage));
        }
    }

    /// Strikes the next calls of one node to the platform.
    pub fn add_fault(&mut self, index: usize, operation: Operation, calls: u32, fault: Fault) {
        let rule = FaultRule {
            operation: Some(operation),
            client: Some(self.nodes[index].name.0.clone()),
            calls,
            fault,
        };
        self.model.borrow_mut().faults.rules.push(rule);
    }

    /// Lets a node renew right now, so that it appends nothing for its leases for a while.
    pub fn mute_leases(&mut self, index: usize) {
        let end = self.leases_end();
        let holder = format!("\"holder\":{}", self.nodes[index].incarnation.0);
        let end_ms = self.now_ms + SpanMs::from_secs(10);
        let done = self.run_until(end_ms, |fleet| {
            let records = fleet.leases_from(end);
            records
                .iter()
                .any(|text| text.contains("renew") && text.contains(&holder))
        });
        if done {
            self.run_ms(100);
        }
    }

    /// Appends a text to the config stream past all nodes.
    pub fn append_config(&mut self, text: &str) {
        let now_ms = WallMs(self.now_ms.0);
        let stream = self.settings.config_stream.clone();
        let mut model = self.model.borrow_mut();
        model
            .append(now_ms, &stream, &[text.into()], false)
            .expect("the log takes it");
    }

    /// Ends a node's process without warning.
    pub fn kill(&mut self, index: usize) {
        self.set_life(index, Life::Dead);
    }

    pub fn pause(&mut self, index: usize) {
        self.set_life(index, Life::Paused);
    }

    pub fn resume(&mut self, index: usize) {
        self.set_life(index, Life::Running);
    }

    pub(super) fn set_life(&mut self, index: usize, life: Life) {
        let node = &mut self.nodes[index];
        node.life = life;
        let mut net = self.net.borrow_mut();
        net.set_dead(&node.address, life == Life::Dead);
    }
}
